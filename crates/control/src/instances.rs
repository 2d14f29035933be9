//! The servers that send their heartbeats to this replica.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use juniper_protocol::message::encode;
use juniper_protocol::{Message, Push};
use juniper_registry::{
    HeartbeatOutcome, InstanceName, InstanceReport, ObservedInstances, StartTime,
};
use juniper_types::Timestamp;
use tokio::sync::{Notify, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::renewals::{RenewalLog, Renewals, SharedFrame};

/// Silence after which a server counts as gone. Heartbeats come about every
/// second and may be late by some.
const SILENT_AFTER: Duration = Duration::from_secs(6);

/// Pace at which silence is looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two pushes to the nodes that follow this replica. While weights are
/// rolled out, dozens of servers change each second; hundreds of nodes are told of each change.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a push is encoded anew, since it tells how long servers have lived.
const FRAME_AGE: Duration = Duration::from_millis(500);

/// An encoded push of what changed between two numbers.
#[derive(Debug)]
struct InstanceFrame {
    after: Option<u64>,
    up_to: u64,
    payload: SharedFrame,
    made_at: Instant,
}

/// What this replica heard, and numbers that tell of changes.
pub struct InstanceBoard {
    started: Instant,
    heard: Mutex<ObservedInstances>,
    renewals: Mutex<RenewalLog>,
    /// Something is to be published.
    wake: Notify,
    /// Number of the latest change of servers that is published.
    instances_published: watch::Sender<u64>,
    /// Number of the latest change of renewals that is published.
    renewals_published: watch::Sender<u64>,
    /// The latest push of servers: most followers have the same behind them.
    frame: Mutex<Option<InstanceFrame>>,
}

impl Default for InstanceBoard {
    fn default() -> Self {
        InstanceBoard {
            started: Instant::now(),
            heard: Mutex::new(ObservedInstances::new(SILENT_AFTER)),
            renewals: Mutex::default(),
            wake: Notify::new(),
            instances_published: watch::Sender::new(0),
            renewals_published: watch::Sender::new(0),
            frame: Mutex::new(None),
        }
    }
}

impl InstanceBoard {
    fn lock(&self) -> MutexGuard<'_, ObservedInstances> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Takes a heartbeat in.
    pub fn hear(&self, report: InstanceReport) -> HeartbeatOutcome {
        let described = format!(
            "instance={} started={} service={} address={} zone={} state={:?} models={:?} sequence={}",
            report.name,
            report.started.unix_ms(),
            report.service,
            report.address,
            report.zone,
            report.state,
            report.models.iter().map(|held| held.version).collect::<Vec<_>>(),
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

    /// When the incarnation started that this replica heard last under a name, if it tells.
    pub fn start_of(&self, name: &InstanceName) -> Option<StartTime> {
        self.lock().latest_start(name)
    }

    /// A push of what changed after `after`, or of everything, with the number of the latest
    /// change.
    pub fn instances_after(&self, after: Option<u64>) -> (u64, SharedFrame) {
        let mut frame = self.frame.lock().unwrap_or_else(PoisonError::into_inner);
        let (up_to, heard) = {
            let heard = self.lock();
            let up_to = heard.revision();
            let is_same = |known: &&InstanceFrame| {
                known.after == after && known.up_to == up_to && known.made_at.elapsed() < FRAME_AGE
            };
            let same = frame.as_ref().filter(is_same);
            if let Some(known) = same {
                return (up_to, Arc::clone(&known.payload));
            }
            (up_to, heard.changes_after(after.unwrap_or(0), self.now()))
        };
        let push = Push::Instances { heard, whole: after.is_none(), gone: Vec::new() };
        let payload = Arc::new(encode(&Message::Push(push)));
        let made_at = Instant::now();
        *frame = Some(InstanceFrame { after, up_to, payload: Arc::clone(&payload), made_at });
        (up_to, payload)
    }

    /// Notes which servers are being renewed, for those who follow this replica.
    pub fn announce(&self, latest: Renewals) {
        if self.renewals().announce(latest) {
            self.wake.notify_one();
        }
    }

    /// What is told of renewals.
    pub fn renewals(&self) -> MutexGuard<'_, RenewalLog> {
        self.renewals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells of changes of servers.
    pub fn watch_instances(&self) -> watch::Receiver<u64> {
        self.instances_published.subscribe()
    }

    /// Tells of changes of renewals.
    pub fn watch_renewals(&self) -> watch::Receiver<u64> {
        self.renewals_published.subscribe()
    }

    /// Publishes what has changed, for ever: the first change at once, what follows it within
    /// `PUBLISH_INTERVAL` together.
    pub async fn keep_publishing(&self) {
        loop {
            self.wake.notified().await;
            let instances = self.lock().revision();
            publish(&self.instances_published, instances);
            let renewals = self.renewals().publish();
            publish(&self.renewals_published, renewals);
            sleep(PUBLISH_INTERVAL).await;
        }
    }

    fn expire(&self) {
        let mut heard = self.lock();
        let expired = heard.mark_silent(self.now());
        for id in &expired {
            log::warn!("event=instance_silent instance={id} after_ms={}", SILENT_AFTER.as_millis());
        }
        if !expired.is_empty() {
            self.wake.notify_one();
        }
    }

    /// Looks for silent servers, for ever.
    pub async fn keep_expiring(&self) {
        let mut ticks = interval(EXPIRY_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.expire();
        }
    }
}

fn publish(published: &watch::Sender<u64>, latest: u64) {
    published.send_if_modified(|known| std::mem::replace(known, latest) != latest);
}
