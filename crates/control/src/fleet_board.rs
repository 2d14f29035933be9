//! What all replicas together know of servers, as this replica has heard, for routers that follow a
//! few replicas.
//!
//! Changes are gathered by whoever calls [`FleetBoard::publish`] and encoded once for all followers.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use juniper_protocol::message::encode;
use juniper_protocol::{Message, Push};
use juniper_registry::{
    Instance, InstanceChanges, InstanceMap, InstanceName, InstanceReport, ObservedInstance,
};
use tokio::sync::watch;

use crate::instances::InstanceBoard;
use crate::renewals::{RenewalLog, Renewals, SharedFrame};

/// Changes that are kept for followers; one that is further behind gets everything. They are some
/// seconds of a rollout.
const MAX_CHANGES: usize = 64;

/// What all replicas know of servers, as a series of changes.
#[derive(Debug, Default)]
pub struct FleetLog {
    latest: InstanceMap,
    /// Number of the latest change.
    revision: u64,
    /// The latest changes, encoded, the oldest first.
    changes: VecDeque<SharedFrame>,
    /// Everything, encoded, with the number of the change that it is as of.
    whole: Option<(u64, SharedFrame)>,
}

impl FleetLog {
    /// Takes over what is known now. Returns the number of the latest change.
    pub fn publish(&mut self, latest: &InstanceMap) -> u64 {
        let changes = latest.changes_from(&self.latest);
        if changes != InstanceChanges::default() {
            self.latest = latest.clone();
            self.revision += 1;
            self.changes.push_back(frame(&changes.changed, false, changes.removed));
            if self.changes.len() > MAX_CHANGES {
                self.changes.pop_front();
            }
        }
        self.revision
    }

    /// What a follower that has everything up to `sent` has to be told, with the number of the
    /// latest change.
    pub fn frames_after(&mut self, sent: Option<u64>) -> (u64, Vec<SharedFrame>) {
        let missing = sent.and_then(|sent| self.revision.checked_sub(sent));
        let missing = missing.and_then(|missing| usize::try_from(missing).ok());
        let frames = match missing.filter(|missing| *missing <= self.changes.len()) {
            Some(missing) => self.changes.iter().rev().take(missing).rev().cloned().collect(),
            None => vec![self.whole()],
        };
        (self.revision, frames)
    }

    /// Everything in one message: a follower that took it in by parts would know few servers until
    /// the last part has come.
    fn whole(&mut self) -> SharedFrame {
        let known = self.whole.as_ref().filter(|(revision, _)| *revision == self.revision);
        if let Some((_, frame)) = known {
            return Arc::clone(frame);
        }
        let whole = frame(self.latest.iter(), true, Vec::new());
        self.whole = Some((self.revision, Arc::clone(&whole)));
        whole
    }
}

fn frame<'a>(
    servers: impl IntoIterator<Item = &'a Arc<Instance>>,
    whole: bool,
    gone: Vec<InstanceName>,
) -> SharedFrame {
    let heard = |instance: &Arc<Instance>| ObservedInstance {
        report: InstanceReport::clone(&instance.report),
        silent: instance.silent,
        age_ms: 0,
    };
    let heard = servers.into_iter().map(heard).collect();
    Arc::new(encode(&Message::Push(Push::Instances { heard, whole, gone })))
}

/// What this replica tells of servers: what it has heard itself, and what all replicas know.
#[derive(Clone, Default)]
pub struct ServerBoards {
    /// What it has heard itself.
    pub heard: Arc<InstanceBoard>,
    /// What all replicas know, as this one has heard.
    pub fleet: Arc<FleetBoard>,
}

/// What all replicas know of servers and renewals, and numbers that tell of changes.
pub struct FleetBoard {
    servers: Mutex<FleetLog>,
    renewals: Mutex<RenewalLog>,
    published: watch::Sender<(u64, u64)>,
}

impl Default for FleetBoard {
    fn default() -> Self {
        FleetBoard {
            servers: Mutex::default(),
            renewals: Mutex::default(),
            published: watch::Sender::new((0, 0)),
        }
    }
}

impl FleetBoard {
    /// Takes over what is known now.
    pub fn publish(&self, servers: &InstanceMap, renewals: Renewals) {
        let servers = self.servers().publish(servers);
        let renewals = {
            let mut log = self.renewals();
            log.announce(renewals);
            log.publish()
        };
        self.published.send_if_modified(|known| {
            std::mem::replace(known, (servers, renewals)) != (servers, renewals)
        });
    }

    /// What is told of servers.
    pub fn servers(&self) -> MutexGuard<'_, FleetLog> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is told of renewals.
    pub fn renewals(&self) -> MutexGuard<'_, RenewalLog> {
        self.renewals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells of changes.
    pub fn watch(&self) -> watch::Receiver<(u64, u64)> {
        self.published.subscribe()
    }
}
