//! Servers observed by any replica, published to routers that are subscribed to a few replicas only.
//!
//! The caller of [`FleetPublisher::publish`] batches changes; each batch is encoded once for all
//! subscribers.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_protocol::message::encode;
use juniper_protocol::{Message, Push};
use juniper_registry::{
    Instance, InstanceChanges, InstanceMap, InstanceName, InstanceReport, ObservedInstance,
};
use juniper_stream_origins::{HistorySnapshot, ServedVersions, SoftwareHistory};
use juniper_types::Timestamp;
use tokio::sync::watch;

use crate::instances::InstancePublisher;
use crate::known_incarnation::KnownIncarnation;
use crate::renewal_log::{RenewalLog, Renewals, SharedFrame};

/// Maximum number of stored changes, some seconds' worth during a rollout; subscribers further
/// behind get the complete state.
const MAX_CHANGES: usize = 64;

/// Log of changes of the servers observed by any replica.
#[derive(Debug, Default)]
pub struct FleetLog {
    latest: InstanceMap,
    /// Revision of the latest change.
    revision: u64,
    /// Latest changes, encoded, oldest first.
    changes: VecDeque<SharedFrame>,
    /// Complete state, encoded, with its revision.
    complete: Option<(u64, SharedFrame)>,
}

impl FleetLog {
    /// Records the latest state. Returns the latest revision.
    pub fn publish(&mut self, latest: &InstanceMap) -> u64 {
        let changes = latest.changes_from(&self.latest);
        if changes != InstanceChanges::default() {
            self.latest = latest.clone();
            self.revision += 1;
            self.changes.push_back(encode_frame(&changes.changed, false, changes.removed));
            if self.changes.len() > MAX_CHANGES {
                self.changes.pop_front();
            }
        }
        self.revision
    }

    /// Returns the latest revision and the messages that bring a subscriber up to date from
    /// revision `sent`.
    pub fn frames_after(&mut self, sent: Option<u64>) -> (u64, Vec<SharedFrame>) {
        let missing = sent.and_then(|sent| self.revision.checked_sub(sent));
        let missing = missing.and_then(|missing| usize::try_from(missing).ok());
        let frames = match missing.filter(|missing| *missing <= self.changes.len()) {
            Some(missing) => self.changes.iter().rev().take(missing).rev().cloned().collect(),
            None => vec![self.complete_frame()],
        };
        (self.revision, frames)
    }

    /// Returns the complete state in a single message: after the first of several, a subscriber would
    /// take a part of the servers for all of them.
    fn complete_frame(&mut self) -> SharedFrame {
        let cached = self.complete.as_ref().filter(|(revision, _)| *revision == self.revision);
        if let Some((_, frame)) = cached {
            return Arc::clone(frame);
        }
        let complete = encode_frame(self.latest.iter(), true, Vec::new());
        self.complete = Some((self.revision, Arc::clone(&complete)));
        complete
    }
}

fn encode_frame<'a>(
    servers: impl IntoIterator<Item = &'a Arc<Instance>>,
    is_complete: bool,
    removed: Vec<InstanceName>,
) -> SharedFrame {
    let observed = |instance: &Arc<Instance>| ObservedInstance {
        report: InstanceReport::clone(&instance.report),
        silent: instance.silent,
        age_ms: 0,
    };
    let observed = servers.into_iter().map(observed).collect();
    Arc::new(encode(&Message::Push(Push::Instances { observed, is_complete, removed })))
}

/// Publishers of servers.
#[derive(Clone, Default)]
pub struct ServerPublishers {
    /// Servers observed by this replica.
    pub observed: Arc<InstancePublisher>,
    /// Servers observed by any replica, as known to this one.
    pub fleet: Arc<FleetPublisher>,
}

/// Contact of this replica with a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumContact {
    /// A quorum has not confirmed this replica's state for a while.
    Lost,
    /// No configuration was accepted yet, as a quorum has confirmed or the founding of the cluster shows.
    BeforeCatalog,
    /// A quorum has confirmed this replica's state recently.
    Held,
    /// This replica has started recently and was not confirmed yet.
    Awaited,
}

/// Servers and rollout state of the whole fleet, published to subscribers.
pub struct FleetPublisher {
    started: BootInstant,
    servers: Mutex<FleetLog>,
    software_history: Mutex<SoftwareHistory>,
    renewals: Mutex<RenewalLog>,
    /// Latest published revisions of the servers and of the rollout state.
    published: watch::Sender<(u64, u64)>,
}

impl Default for FleetPublisher {
    fn default() -> Self {
        FleetPublisher {
            started: BootInstant::now(),
            servers: Mutex::default(),
            software_history: Mutex::default(),
            renewals: Mutex::default(),
            published: watch::Sender::new((0, 0)),
        }
    }
}

impl FleetPublisher {
    /// Publishes the latest state.
    pub fn publish(&self, servers: &InstanceMap, renewals: Renewals) {
        self.software_history().update(servers, self.now());
        let servers = self.servers().publish(servers);
        let renewals = {
            let mut log = self.renewals();
            log.set_latest(renewals);
            log.publish()
        };
        self.published.send_if_modified(|published| {
            std::mem::replace(published, (servers, renewals)) != (servers, renewals)
        });
    }

    /// Latest incarnation of a usable server that any replica has reported to this node.
    pub fn incarnation_of(&self, name: &InstanceName) -> Option<KnownIncarnation> {
        self.servers().latest.get(name).map(|server| KnownIncarnation::of(&server.report))
    }

    /// Software versions that have served a service.
    pub fn served_versions(&self, service: &str) -> ServedVersions {
        self.software_history().served(service, self.now())
    }

    /// Updates how far the history of software versions is complete. A replica without a quorum may
    /// miss servers that report to others.
    pub fn follow_contact(&self, contact: QuorumContact) {
        let mut history = self.software_history();
        match contact {
            QuorumContact::Lost => history.interrupt(),
            QuorumContact::BeforeCatalog => history.mark_founded(),
            QuorumContact::Held => history.resume(self.now()),
            QuorumContact::Awaited => {}
        }
    }

    /// Number of changes of the history of software versions, and its current state.
    pub fn history_snapshot(&self) -> (u64, HistorySnapshot) {
        let history = self.software_history();
        (history.change_count(), history.snapshot(self.now()))
    }

    /// Restores the history of software versions as it was `elapsed` ago.
    pub fn restore_history(&self, snapshot: &HistorySnapshot, elapsed: Duration) {
        self.software_history().restore(snapshot, elapsed, self.now());
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    fn software_history(&self) -> MutexGuard<'_, SoftwareHistory> {
        self.software_history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the log of server changes.
    pub fn servers(&self) -> MutexGuard<'_, FleetLog> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the log of rollout changes.
    pub fn renewals(&self) -> MutexGuard<'_, RenewalLog> {
        self.renewals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to the published revisions of servers and rollout state.
    pub fn watch(&self) -> watch::Receiver<(u64, u64)> {
        self.published.subscribe()
    }
}
