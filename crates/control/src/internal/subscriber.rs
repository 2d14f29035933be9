//! Pushes settings to one node: deltas, a snapshot when it is far behind, and
//! a sign of life every second.

use std::sync::Arc;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_protocol::{Message, Push, Refusal, Reply};
use juniper_types::Revision;
use rand::RngExt;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{MissedTickBehavior, interval};

use super::InternalFace;
use super::session::{Outgoing, OutgoingSender, Peer, send_reply};
use crate::published::PushFrame;

/// Pace of [`Push::Alive`].
const ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Range of the pause asked of a node that finds too many snapshots under way,
/// in milliseconds. The jitter spreads a herd out.
const RETRY_RANGE_MS: std::ops::Range<u64> = 200..1_500;

/// The session ended, or the replica stopped.
struct Ended;

/// Runs a subscription until its session ends.
pub(super) async fn run(
    face: Arc<InternalFace>,
    peer: Peer,
    sender: OutgoingSender,
    call: u64,
    from: Revision,
) {
    let committed = face.view.published.borrow().revision;
    let permit = Arc::clone(&face.snapshots).try_acquire_owned().ok();
    let needs_snapshot = face.view.published.borrow().after(from).is_none();
    if needs_snapshot && permit.is_none() {
        let retry_after_ms = rand::rng().random_range(RETRY_RANGE_MS);
        face.metrics.subscriptions_refused.inc();
        let refusal = Refusal::Overloaded { retry_after_ms };
        return send_reply(&sender, call, Reply::Refused(refusal)).await;
    }
    send_reply(&sender, call, Reply::Subscribed { committed }).await;
    face.reports.report(&peer.identity, peer.address, from);
    let permit = permit.filter(|_| needs_snapshot);
    let subscriber = Subscriber { face, sender, sent: from, permit };
    let Err(Ended) = subscriber.push_for_ever().await;
}

struct Subscriber {
    face: Arc<InternalFace>,
    sender: OutgoingSender,
    /// The revision that the node has once it has read everything sent.
    sent: Revision,
    /// Permit for the first snapshot, taken before the subscription was granted.
    permit: Option<OwnedSemaphorePermit>,
}

impl Subscriber {
    async fn push_for_ever(mut self) -> Result<std::convert::Infallible, Ended> {
        let mut published = self.face.view.published.clone();
        let mut alive = interval(ALIVE_INTERVAL);
        alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.push_changes().await?;
            tokio::select! {
                changed = published.changed() => changed.map_err(|_| Ended)?,
                _ = alive.tick() => self.push_alive().await?,
            }
        }
    }

    async fn push_changes(&mut self) -> Result<(), Ended> {
        let changes = self.face.view.published.borrow().after(self.sent);
        let Some(frames) = changes else { return self.push_snapshot().await };
        for frame in frames {
            self.note(&frame);
            self.send(Outgoing::delta(frame)).await?;
        }
        Ok(())
    }

    fn note(&mut self, frame: &PushFrame) {
        self.sent = frame.revision;
        self.face.metrics.pushed_bytes.inc_by(frame.payload.len() as u64);
    }

    /// Sends the whole tree, unless too many are on their way; then the next sign
    /// of life tries again. Waiting here would silence the signs of life.
    async fn push_snapshot(&mut self) -> Result<(), Ended> {
        let free = || Arc::clone(&self.face.snapshots).try_acquire_owned().ok();
        let Some(permit) = self.permit.take().or_else(free) else { return Ok(()) };
        let frame = self.face.replica.snapshot_frame().await.ok_or(Ended)?;
        self.face.metrics.snapshots_pushed.inc();
        self.note(&frame);
        self.send(Outgoing::snapshot(frame, permit)).await
    }

    async fn push_alive(&self) -> Result<(), Ended> {
        let committed = self.face.view.published.borrow().revision;
        let Some(confirmed_at) = *self.face.view.confirmed_at.borrow() else {
            return Ok(());
        };
        let confirmed_ms = millis_since(confirmed_at);
        let push = Push::Alive { committed, confirmed_ms };
        self.send(Outgoing::message(&Message::Push(push))).await
    }

    async fn send(&self, frame: Outgoing) -> Result<(), Ended> {
        self.sender.send(frame).await.map_err(|_| Ended)
    }
}

fn millis_since(instant: BootInstant) -> u64 {
    u64::try_from(instant.elapsed().as_millis()).unwrap_or(u64::MAX)
}
