//! Pushes of settings to one node: changes, a snapshot if the node is far behind, and a heartbeat
//! every second.

use std::sync::Arc;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_protocol::{Message, Push, Refusal, Reply};
use juniper_types::Revision;
use rand::RngExt;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{MissedTickBehavior, interval};

use super::InternalApi;
use super::session::{Outgoing, OutgoingSender, Peer, send_reply};
use crate::published_settings::PushFrame;

/// Interval of [`Push::Alive`].
const ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Range of the random time after which a node should retry a subscription refused for too many
/// snapshots in flight, in milliseconds.
const RETRY_RANGE_MS: std::ops::Range<u64> = 200..1_500;

/// Marker that the session has ended or the replica has stopped.
struct SessionEnded;

/// Runs a subscription until its session ends.
pub(super) async fn run(
    api: Arc<InternalApi>,
    peer: Peer,
    sender: OutgoingSender,
    call: u64,
    from: Revision,
) {
    let committed = api.view.published.borrow().revision;
    let permit = Arc::clone(&api.snapshots).try_acquire_owned().ok();
    let needs_snapshot = api.view.published.borrow().after(from).is_none();
    if needs_snapshot && permit.is_none() {
        let retry_after_ms = rand::rng().random_range(RETRY_RANGE_MS);
        api.metrics.subscriptions_refused.inc();
        let refusal = Refusal::Overloaded { retry_after_ms };
        return send_reply(&sender, call, Reply::Refused(refusal)).await;
    }
    send_reply(&sender, call, Reply::Subscribed { committed }).await;
    api.reports.record(&peer.identity, peer.address, from);
    let permit = permit.filter(|_| needs_snapshot);
    let subscriber = Subscriber { api, sender, sent: from, permit };
    let Err(SessionEnded) = subscriber.push_until_ended().await;
}

struct Subscriber {
    api: Arc<InternalApi>,
    sender: OutgoingSender,
    /// Revision of the node once it has applied everything sent.
    sent: Revision,
    /// Permit for the first snapshot, acquired before the subscription was accepted.
    permit: Option<OwnedSemaphorePermit>,
}

impl Subscriber {
    async fn push_until_ended(mut self) -> Result<std::convert::Infallible, SessionEnded> {
        let mut published = self.api.view.published.clone();
        let mut alive = interval(ALIVE_INTERVAL);
        alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.push_changes().await?;
            tokio::select! {
                changed = published.changed() => changed.map_err(|_| SessionEnded)?,
                _ = alive.tick() => self.push_alive().await?,
            }
        }
    }

    async fn push_changes(&mut self) -> Result<(), SessionEnded> {
        let changes = self.api.view.published.borrow().after(self.sent);
        let Some(frames) = changes else { return self.push_snapshot().await };
        for frame in frames {
            self.record_sent(&frame);
            self.send(Outgoing::delta(frame)).await?;
        }
        Ok(())
    }

    fn record_sent(&mut self, frame: &PushFrame) {
        self.sent = frame.revision;
        self.api.metrics.pushed_bytes.inc_by(frame.payload.len() as u64);
    }

    /// Sends a snapshot, unless too many are in flight; then the next heartbeat retries. Waiting here
    /// would delay heartbeats.
    async fn push_snapshot(&mut self) -> Result<(), SessionEnded> {
        let free = || Arc::clone(&self.api.snapshots).try_acquire_owned().ok();
        let Some(permit) = self.permit.take().or_else(free) else { return Ok(()) };
        let frame = self.api.replica.snapshot_frame().await.ok_or(SessionEnded)?;
        self.api.metrics.snapshots_pushed.inc();
        self.record_sent(&frame);
        self.send(Outgoing::snapshot(frame, permit)).await
    }

    async fn push_alive(&self) -> Result<(), SessionEnded> {
        let committed = self.api.view.published.borrow().revision;
        let Some(confirmed_at) = *self.api.view.confirmed_at.borrow() else {
            return Ok(());
        };
        let confirmed_ms = millis_since(confirmed_at);
        let push = Push::Alive { committed, confirmed_ms };
        self.send(Outgoing::message(&Message::Push(push))).await
    }

    async fn send(&self, frame: Outgoing) -> Result<(), SessionEnded> {
        self.sender.send(frame).await.map_err(|_| SessionEnded)
    }
}

fn millis_since(instant: BootInstant) -> u64 {
    u64::try_from(instant.elapsed().as_millis()).unwrap_or(u64::MAX)
}
