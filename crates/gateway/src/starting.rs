//! Requests that come while the gateway has just started.
//!
//! A gateway knows no configuration until a quorum of replicas has confirmed one, some
//! tenths of a second after its start; after a fault that took the replicas too, it comes up beside
//! them. Callers come back a few times only, so a request that is refused in that time is
//! mostly lost. It waits instead, for a bounded part of its own time; the number that waits is
//! bounded too. What can't be served by then is refused with a time to come back.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::gateway::Gateway;

/// Part of a caller's time that its request may wait for the start. It is the part that
/// callers themselves are ready to wait when they are told to come back later.
const WAIT_PART: f64 = 1.0 / 3.0;

/// Longest wait: replicas that all lost power have a leader within about a second.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Requests that may wait at once.
const MAX_WAITING: usize = 256;

/// Largest body of a request that waits, in bytes. All of them take 32 MiB at most.
pub(crate) const MAX_BODY_BYTES: u64 = 128 << 10;

/// Time after the first confirmation until every server that lives has told the replicas
/// so: two heartbeats, which come each 1.2 s.
const SETTLING: Duration = Duration::from_millis(2_400);

/// The start of the gateway, and how many requests wait for it.
#[derive(Debug, Default)]
pub(crate) struct StartQueue {
    waiting: AtomicUsize,
    /// When a confirmed configuration was first seen to be known.
    started_at: OnceLock<Instant>,
}

/// A place among those that wait; dropping it frees it.
pub(crate) struct StartPlace<'a>(&'a AtomicUsize);

impl Drop for StartPlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl StartQueue {
    /// A place, unless too many wait.
    pub(crate) fn enter(&self) -> Option<StartPlace<'_>> {
        let before = self.waiting.fetch_add(1, Ordering::Relaxed);
        let place = StartPlace(&self.waiting);
        (before < MAX_WAITING).then_some(place)
    }
}

/// Until when a request that came at `arrived` and has until `deadline` may wait.
fn wait_until(arrived: Instant, deadline: Instant) -> Instant {
    let part = deadline.saturating_duration_since(arrived).mul_f64(WAIT_PART);
    arrived + part.min(MAX_WAIT)
}

impl Gateway {
    /// Whether a configuration is known that a quorum has confirmed.
    pub(crate) fn has_started(&self) -> bool {
        let has_started =
            self.feed.confirmation_age().is_some() && self.feed.latest().catalog.is_some();
        if has_started {
            self.starting.started_at.get_or_init(Instant::now);
        }
        has_started
    }

    /// Waits until a confirmed configuration is known. Returns whether it is.
    pub(crate) async fn wait_for_start(&self, arrived: Instant, deadline: Instant) -> bool {
        let mut confirmations = self.feed.confirmations();
        let mut views = self.feed.view();
        let started = async {
            while !self.has_started() {
                let changed = tokio::select! {
                    changed = confirmations.changed() => changed,
                    changed = views.changed() => changed,
                };
                if changed.is_err() {
                    return;
                }
            }
        };
        let is_in_time = timeout_at(wait_until(arrived, deadline), started).await.is_ok();
        is_in_time && self.has_started()
    }

    /// Waits until more is known of servers than at `seen` (see `Gateway::views_taken`), if
    /// the gateway has started so lately that servers may live of which it hasn't heard.
    /// Returns whether more is known.
    pub(crate) async fn wait_for_servers(
        &self,
        seen: u64,
        arrived: Instant,
        deadline: Instant,
    ) -> bool {
        let Some(started_at) = self.starting.started_at.get() else { return false };
        let until = wait_until(arrived, deadline).min(*started_at + SETTLING);
        let mut taken = self.views_taken.subscribe();
        let more = taken.wait_for(|taken| *taken > seen);
        matches!(timeout_at(until, more).await, Ok(Ok(_)))
    }
}
