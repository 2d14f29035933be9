//! Servers observed by this replica through their heartbeats.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use juniper_protocol::message::encode;
use juniper_protocol::{Message, Push};
use juniper_registry::{HeartbeatOutcome, InstanceName, InstanceReport, ObservedInstances};
use juniper_types::Timestamp;
use tokio::sync::{Notify, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::known_incarnation::KnownIncarnation;
use crate::renewal_log::{RenewalLog, Renewals, SharedFrame};

/// Time without a heartbeat after which a server is considered silent. Servers send a heartbeat
/// about once a second.
const SILENT_AFTER: Duration = Duration::from_secs(6);

/// Interval between checks for silent servers.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between publications. During a rollout, dozens of servers change each second,
/// and each publication goes to hundreds of subscribers.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum age of a cached push, which contains the ages of servers.
const MAX_FRAME_AGE: Duration = Duration::from_millis(500);

/// Encoded push of the changes between two revisions.
#[derive(Debug)]
struct InstanceFrame {
    after: Option<u64>,
    up_to: u64,
    payload: SharedFrame,
    encoded_at: Instant,
}

/// Servers observed by this replica and its rollout state, published to subscribers.
pub struct InstancePublisher {
    started: Instant,
    observed: Mutex<ObservedInstances>,
    renewals: Mutex<RenewalLog>,
    /// Notified when there are changes to publish.
    wake: Notify,
    /// Latest published revision of the servers.
    instances_published: watch::Sender<u64>,
    /// Latest published revision of the rollout state.
    renewals_published: watch::Sender<u64>,
    /// Latest encoded push of servers, cached because most subscribers need the same one.
    cached_frame: Mutex<Option<InstanceFrame>>,
}

impl Default for InstancePublisher {
    fn default() -> Self {
        InstancePublisher {
            started: Instant::now(),
            observed: Mutex::new(ObservedInstances::new(SILENT_AFTER)),
            renewals: Mutex::default(),
            wake: Notify::new(),
            instances_published: watch::Sender::new(0),
            renewals_published: watch::Sender::new(0),
            cached_frame: Mutex::new(None),
        }
    }
}

impl InstancePublisher {
    fn lock(&self) -> MutexGuard<'_, ObservedInstances> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Records a heartbeat.
    pub fn observe(&self, report: InstanceReport) -> HeartbeatOutcome {
        let described = format!(
            "instance={} started={} service={} address={} zone={} state={:?} models={:?} sequence={}",
            report.name,
            report.started.unix_ms(),
            report.service,
            report.address,
            report.zone,
            report.state,
            report.models.iter().map(|model| model.version).collect::<Vec<_>>(),
            report.sequence
        );
        let intake = self.lock().observe(report, self.now());
        match intake {
            HeartbeatOutcome::Changed => log::info!("event=instance_heard {described}"),
            HeartbeatOutcome::Restarted { former } => {
                log::info!("event=instance_restarted {described} former={}", former.unix_ms());
            }
            HeartbeatOutcome::NameConflict => {
                log::warn!("event=heartbeat_refused reason=no_start_time {described}");
            }
            HeartbeatOutcome::Unchanged | HeartbeatOutcome::Outdated => {}
        }
        if matches!(intake, HeartbeatOutcome::Changed | HeartbeatOutcome::Restarted { .. }) {
            self.wake.notify_one();
        }
        intake
    }

    /// Incarnation last observed by this replica under a name.
    pub fn incarnation_of(&self, name: &InstanceName) -> Option<KnownIncarnation> {
        self.lock().latest_report(name).map(KnownIncarnation::of)
    }

    /// Returns the latest revision and a push of the changes after revision `after`, or of all
    /// servers.
    pub fn instances_after(&self, after: Option<u64>) -> (u64, SharedFrame) {
        let mut cached = self.cached_frame.lock().unwrap_or_else(PoisonError::into_inner);
        let (up_to, observed) = {
            let instances = self.lock();
            let up_to = instances.revision();
            let is_same = |frame: &&InstanceFrame| {
                frame.after == after
                    && frame.up_to == up_to
                    && frame.encoded_at.elapsed() < MAX_FRAME_AGE
            };
            let same = cached.as_ref().filter(is_same);
            if let Some(frame) = same {
                return (up_to, Arc::clone(&frame.payload));
            }
            (up_to, instances.changes_after(after.unwrap_or(0), self.now()))
        };
        let push = Push::Instances { observed, is_complete: after.is_none(), removed: Vec::new() };
        let payload = Arc::new(encode(&Message::Push(push)));
        let encoded_at = Instant::now();
        *cached = Some(InstanceFrame { after, up_to, payload: Arc::clone(&payload), encoded_at });
        (up_to, payload)
    }

    /// Sets the rollout state to publish to subscribers of this replica.
    pub fn set_renewals(&self, latest: Renewals) {
        if self.renewals().set_latest(latest) {
            self.wake.notify_one();
        }
    }

    /// Locks the log of rollout changes.
    pub fn renewals(&self) -> MutexGuard<'_, RenewalLog> {
        self.renewals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to the published revision of the servers.
    pub fn watch_instances(&self) -> watch::Receiver<u64> {
        self.instances_published.subscribe()
    }

    /// Subscribes to the published revision of the rollout state.
    pub fn watch_renewals(&self) -> watch::Receiver<u64> {
        self.renewals_published.subscribe()
    }

    /// Publishes changes until cancelled: the first change at once, all that follow within
    /// `PUBLISH_INTERVAL` together.
    pub async fn run_publishing(&self) {
        loop {
            self.wake.notified().await;
            let instances = self.lock().revision();
            publish(&self.instances_published, instances);
            let renewals = self.renewals().publish();
            publish(&self.renewals_published, renewals);
            sleep(PUBLISH_INTERVAL).await;
        }
    }

    fn expire_silent(&self) {
        let mut instances = self.lock();
        let expired = instances.mark_silent(self.now());
        for id in &expired {
            log::warn!("event=instance_silent instance={id} after_ms={}", SILENT_AFTER.as_millis());
        }
        if !expired.is_empty() {
            self.wake.notify_one();
        }
    }

    /// Expires silent servers until cancelled.
    pub async fn run_expiry(&self) {
        let mut ticks = interval(EXPIRY_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.expire_silent();
        }
    }
}

fn publish(published: &watch::Sender<u64>, latest: u64) {
    published.send_if_modified(|published| std::mem::replace(published, latest) != latest);
}
