//! Requests that arrive before the gateway has a configuration.
//!
//! A gateway has no configuration until a quorum of replicas has recently confirmed one, some tenths of
//! a second after the start, or longer if the replicas are restarting too. Callers retry only a few
//! times, so a refused request would mostly be lost. Such requests wait instead, up to a share of
//! their own deadline and a maximum number; the others are refused with `Retry-After`.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use juniper_feed::ConfirmedView;
use tokio::time::{Instant, timeout_at};

use crate::gateway::Gateway;

/// Share of the time to a request's deadline that it may wait for the start; callers wait as long
/// when told to retry later.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// Longest wait: replicas elect a leader within about a second after they all lost power.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 256;

/// Largest body of a waiting request, in bytes; 32 MiB for all of them.
pub(crate) const MAX_BODY_BYTES: u64 = 128 << 10;

/// Time after the first confirmation until all running servers have registered with the replicas:
/// two heartbeat intervals of 1.2 s.
const SETTLING_TIME: Duration = Duration::from_millis(2_400);

/// Time within which a gateway that starts connects to all replicas that it can reach.
const REPLICA_CONNECT_TIME: Duration = Duration::from_secs(1);

/// State of the gateway's start, with the number of waiting requests.
#[derive(Debug, Default)]
pub(crate) struct StartupQueue {
    waiting: AtomicUsize,
    /// Time at which a recently confirmed configuration was first observed.
    started_at: OnceLock<Instant>,
}

/// Permit to wait, released when dropped.
pub(crate) struct StartupPermit<'a>(&'a AtomicUsize);

impl Drop for StartupPermit<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl StartupQueue {
    /// Returns a permit unless too many requests wait.
    pub(crate) fn try_enter(&self) -> Option<StartupPermit<'_>> {
        let before = self.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = StartupPermit(&self.waiting);
        (before < MAX_WAITING).then_some(permit)
    }
}

/// Time until which a request with these times may wait.
fn wait_until(arrived: Instant, deadline: Instant) -> Instant {
    let share = deadline.saturating_duration_since(arrived).mul_f64(MAX_WAIT_SHARE);
    arrived + share.min(MAX_WAIT)
}

impl Gateway {
    /// Whether a configuration has been known that a quorum had confirmed recently enough for keys to
    /// be honoured. Its confirmation may have become too old since.
    pub(crate) fn has_started(&self) -> bool {
        if self.startup.started_at.get().is_some() {
            return true;
        }
        let is_usable = |ConfirmedView { view, confirmation }: ConfirmedView| {
            let age = confirmation.at.elapsed();
            view.catalog.is_some() && age < self.settings.key_age_limit()
        };
        let has_started = self.feed.confirmed_view().is_some_and(is_usable);
        if has_started {
            self.startup.started_at.get_or_init(Instant::now);
        }
        has_started
    }

    /// Whether all replicas within reach lost their quorum before this gateway started, so that
    /// requests are refused at once rather than wait for the start.
    pub(crate) fn lacks_quorum(&self) -> bool {
        let has_reached_replicas = self.started.elapsed() > REPLICA_CONNECT_TIME;
        has_reached_replicas && !self.has_started() && self.feed.confirmation().is_some()
    }

    /// Waits for a confirmed configuration. Returns whether one is known.
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

    /// Waits until the placement has applied more than `seen` views (see `Gateway::applied_views`).
    /// Returns whether it has, or false if the gateway started so long ago that all running servers
    /// must be known.
    pub(crate) async fn wait_for_servers(
        &self,
        seen: u64,
        arrived: Instant,
        deadline: Instant,
    ) -> bool {
        let Some(started_at) = self.startup.started_at.get() else { return false };
        let until = wait_until(arrived, deadline).min(*started_at + SETTLING_TIME);
        let mut applied = self.applied_views.subscribe();
        let newer = applied.wait_for(|applied| *applied > seen);
        matches!(timeout_at(until, newer).await, Ok(Ok(_)))
    }
}
