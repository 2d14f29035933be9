//! Exchange of updates with the other routers: where requests were dispatched, when they ended,
//! which servers are unreachable, and the limits and notices of servers.

use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniper_feed::RelayedBatch;
use juniper_placement::{
    Choice, DispatchRecord, ModelKey, Placement, ReportBudget, ReportedRequest, Reporter,
};
use juniper_protocol::message::{
    BrittleServiceUpdate, DispatchReport, Reachability, RelayedUpdate, RouterUpdate,
    ServerLimitUpdate, ServerNoticeUpdate,
};
use juniper_registry::{InstanceId, StartTime};
use juniper_stream_origins::StreamRecord;
use juniper_types::{NodeId, Timestamp};
use tokio::sync::Notify;
use tokio::sync::broadcast::error::RecvError;

use crate::gateway::Gateway;
use crate::lock::lock;

/// Maximum number of queued dispatch reports; further ones are dropped.
const MAX_QUEUED_REPORTS: usize = 16;

/// Maximum number of servers with a queued reachability, limit or notice each. Further ones are
/// published after the next probe or answer, or observed by the other routers themselves.
const MAX_QUEUED_SERVERS: usize = 64;

/// Maximum number of queued ends of requests. The other routers expire requests whose end isn't
/// reported.
const MAX_QUEUED_COMPLETIONS: usize = 64;

/// Maximum number of queued records of streams, more than begin while the queue is being published.
const MAX_QUEUED_STREAMS: usize = 1_024;

/// Average interval between the probes with which all routers verify reports of one server.
const VERIFICATION_INTERVAL: Duration = Duration::from_millis(20);

/// Bounds on the time over which the routers spread these probes.
const MIN_VERIFICATION_WINDOW: Duration = Duration::from_millis(100);
const MAX_VERIFICATION_WINDOW: Duration = Duration::from_secs(2);

/// Updates not yet published to the other routers.
pub(crate) struct UpdateQueue {
    pending: Mutex<RouterUpdate>,
    /// Number of the last request in the dispatch reports.
    last_number: AtomicU16,
    wake: Notify,
}

impl Default for UpdateQueue {
    /// Starts numbering at a random value, so that numbers differ from those that other routers still
    /// keep from before a restart.
    fn default() -> Self {
        let last_number = AtomicU16::new(rand::random());
        UpdateQueue { pending: Mutex::default(), last_number, wake: Notify::new() }
    }
}

impl UpdateQueue {
    /// Queues a dispatch report, without which other routers don't see this router's load: with
    /// hundreds of routers each sends a small share of a server's requests. Returns the request's
    /// number, or `None` if the queue is full.
    pub(crate) fn push_dispatch(&self, choice: &Choice) -> Option<u16> {
        let mut pending = lock(&self.pending);
        if pending.dispatches.len() >= MAX_QUEUED_REPORTS {
            return None;
        }
        // Zero means that the request has no number.
        let number = self.last_number.fetch_add(1, Ordering::Relaxed).wrapping_add(1).max(1);
        pending.dispatches.push(to_message(choice.dispatch_record(), number));
        self.wake.notify_one();
        Some(number)
    }

    /// Queues the end of a request. If the queue is full, the other routers expire the request.
    pub(crate) fn push_completion(&self, number: u16) {
        let mut pending = lock(&self.pending);
        if pending.ended_requests.len() < MAX_QUEUED_COMPLETIONS {
            pending.ended_requests.push(number);
            self.wake.notify_one();
        }
    }

    /// Queues where a stream began. If the queue is full, callers can't resume the stream at other
    /// routers.
    pub(crate) fn push_stream_record(&self, record: StreamRecord) {
        let mut pending = lock(&self.pending);
        let queued = pending.stream_records.get_or_insert_default();
        if queued.len() < MAX_QUEUED_STREAMS {
            queued.push(record);
            self.wake.notify_one();
        }
    }

    /// Queues whether this router could connect to a server.
    pub(crate) fn push_reachability(&self, instance: &InstanceId, reached: bool) {
        let queued = &mut lock(&self.pending).reachability;
        queued.retain(|queued| queued.id() != *instance);
        if queued.len() < MAX_QUEUED_SERVERS {
            let (name, started) = (instance.name().clone(), instance.started());
            queued.push(Reachability { instance: name, reached, started });
            self.wake.notify_one();
        }
    }

    /// Queues a server's advertised limit. If the queue is full, a later answer of the server
    /// queues it again.
    pub(crate) fn push_limit(&self, limit: ServerLimitUpdate) {
        let mut pending = lock(&self.pending);
        let queued = pending.server_limits.get_or_insert_default();
        queued.retain(|queued| queued.id() != limit.id());
        if queued.len() < MAX_QUEUED_SERVERS {
            queued.push(limit);
            self.wake.notify_one();
        }
    }

    /// Queues a server's backoff or departure.
    pub(crate) fn push_notice(&self, notice: ServerNoticeUpdate) {
        let mut pending = lock(&self.pending);
        let queued = pending.notices.get_or_insert_default();
        if queued.len() < MAX_QUEUED_SERVERS {
            queued.push(notice);
            self.wake.notify_one();
        }
    }

    /// Queues that the servers of a service are brittle, and one of them if it has just rejected a
    /// request.
    pub(crate) fn push_brittle(
        &self,
        service: &str,
        tolerance: u32,
        rejecting: Option<&InstanceId>,
    ) {
        let mut pending = lock(&self.pending);
        let queued = pending.brittle_services.get_or_insert_default();
        let known = queued.iter().position(|known| known.service == service);
        let position = known.unwrap_or_else(|| {
            let service = service.to_owned();
            queued.push(BrittleServiceUpdate { service, tolerance, rejecting: Vec::new() });
            queued.len() - 1
        });
        let update = &mut queued[position];
        update.tolerance = tolerance;
        if update.rejecting.len() < MAX_QUEUED_SERVERS {
            update.rejecting.extend(rejecting.map(|instance| instance.name().clone()));
        }
        self.wake.notify_one();
    }

    /// Takes all queued updates, but at most `allowed` dispatch reports, those with most tokens.
    /// Also returns the number of reports dropped. Their ends stay queued: other routers ignore the
    /// end of an unknown request.
    fn take(&self, allowed: usize) -> (RouterUpdate, usize) {
        let mut pending = std::mem::take(&mut *lock(&self.pending));
        if pending.dispatches.len() <= allowed {
            return (pending, 0);
        }
        pending.dispatches.sort_by_key(|report| std::cmp::Reverse(report.uncached_tokens));
        let dropped = pending.dispatches.split_off(allowed);
        (pending, dropped.len())
    }
}

/// Publishes updates to the other routers and applies theirs. Runs until the feed ends.
pub(crate) async fn exchange(gateway: Arc<Gateway>) {
    let mut received = gateway.feed.subscribe_router_updates();
    let mut relay = gateway.feed.relay_changes();
    let mut budget = ReportBudget::default();
    loop {
        tokio::select! {
            batch = received.recv() => match batch {
                Ok(batch) => apply_peer_updates(&gateway, &batch),
                Err(RecvError::Lagged(missed)) => {
                    log::warn!("event=router_news_missed batches={missed} reason=slow_router");
                    gateway.metrics.missed_update_batches.inc_by(missed);
                }
                Err(RecvError::Closed) => return,
            },
            changed = relay.changed() => {
                if changed.is_err() {
                    return;
                }
                if relay.borrow_and_update().is_some() {
                    gateway.publish_own_origins().await;
                }
            }
            () = gateway.updates.wake.notified() => publish(&gateway, &mut budget).await,
        }
    }
}

/// Publishes the queued updates, with as many dispatch reports as the budget allows.
async fn publish(gateway: &Gateway, budget: &mut ReportBudget) {
    let allowed = budget.allowed(gateway.feed.router_count(), gateway.now());
    let (updates, dropped) = gateway.updates.take(allowed);
    gateway.metrics.dropped_dispatch_reports.inc_by(dropped as u64);
    if !updates.is_empty() {
        budget.spend(updates.dispatches.len());
        gateway.feed.publish(updates).await;
    }
}

/// Applies updates of other routers.
fn apply_peer_updates(gateway: &Gateway, batch: &RelayedBatch) {
    let limits = batch.iter().flat_map(|update| update.update.server_limits.iter().flatten());
    limits.for_each(|limit| gateway.apply_peer_limit(limit));
    record_tunnel_peers(gateway, batch);
    let brittle = batch.iter().flat_map(|update| update.update.brittle_services.iter().flatten());
    brittle.for_each(|update| gateway.apply_peer_brittle(update));
    let now = gateway.now();
    let own = gateway.feed.identity().node;
    let verification_window = verification_window(gateway.feed.router_count());
    let mut placement = gateway.placement();
    for RelayedUpdate { from, zone, update } in batch.iter() {
        let request = |number: u16| ReportedRequest { router: *from, number };
        for notice in update.notices.iter().flatten() {
            let is_shared = notice.through == Some(own) || gateway.tunnel_peers().has_open(*from);
            apply_peer_notice(&mut placement, notice, *from, is_shared, now);
        }
        for report in &update.dispatches {
            match report.request_number {
                // Sent by a router of an earlier version; the request expires.
                0 => placement.apply_untracked_dispatch(&from_message(report), now),
                number => {
                    placement.apply_peer_dispatch(request(number), &from_message(report), now)
                }
            }
        }
        update
            .ended_requests
            .iter()
            .for_each(|number| placement.apply_peer_completion(request(*number), now));
        let reporter = Reporter { node: from.0, zone: zone.as_str() };
        for report in &update.reachability {
            let instance = report.id();
            let verify_after = verification_window.mul_f64(rand::random());
            let reached = report.reached;
            if placement.apply_peer_reachability(reporter, &instance, reached, verify_after, now) {
                log::info!("event=server_reported_unreachable instance={instance}");
                gateway.metrics.servers_reported_unreachable.inc();
            }
        }
    }
}

/// Records the routers that sent requests to servers, and so may open tunnels.
fn record_tunnel_peers(gateway: &Gateway, batch: &RelayedBatch) {
    let mut peers = gateway.tunnel_peers();
    for RelayedUpdate { from, zone, update } in batch.iter() {
        if !update.dispatches.is_empty() || !update.ended_requests.is_empty() {
            peers.record_update(*from, zone.as_str(), gateway.now(), rand::random());
        }
    }
}

/// Time over which routers spread their probes of a server that was reported as unreachable. The first
/// probe that succeeds is published, and ends the others' suspicion too.
fn verification_window(routers: u32) -> Duration {
    (VERIFICATION_INTERVAL * routers).clamp(MIN_VERIFICATION_WINDOW, MAX_VERIFICATION_WINDOW)
}

/// Applies a server's notice that the router `from` observed. `is_shared` states that the server can't
/// tell the requests of both routers apart, since a tunnel carries those of one of them.
fn apply_peer_notice(
    placement: &mut Placement,
    notice: &ServerNoticeUpdate,
    from: NodeId,
    is_shared: bool,
    now: Timestamp,
) {
    let instance = notice.id();
    if notice.is_departing && placement.record_departure(&instance, now) {
        log::info!("event=server_leaving_heard request=- instance={instance} from={from}");
    }
    if notice.backoff_ms == 0 {
        return;
    }
    if is_shared {
        placement.observe_backoff(&instance, notice.backoff(), now);
    } else {
        placement.apply_peer_backoff(&instance, from, notice.backoff(), now);
    }
}

fn to_message(report: DispatchRecord, number: u16) -> DispatchReport {
    let DispatchRecord {
        instance,
        model,
        version,
        keys,
        segment_tokens,
        own_tokens,
        tokens,
        prefill_tokens,
    } = report;
    DispatchReport {
        instance: instance.name().clone(),
        version,
        prefix_hashes: keys,
        segment_tokens,
        unshared_tokens: own_tokens,
        uncached_tokens: tokens,
        prefill_tokens,
        request_number: number,
        model: model.map(ModelKey::number),
    }
}

fn from_message(report: &DispatchReport) -> DispatchRecord {
    DispatchRecord {
        instance: InstanceId::started_at(report.instance.clone(), StartTime::UNKNOWN),
        model: report.model.map(ModelKey::from_number),
        version: report.version,
        keys: report.prefix_hashes.clone(),
        segment_tokens: report.segment_tokens.clone(),
        own_tokens: report.unshared_tokens,
        tokens: report.uncached_tokens,
        prefill_tokens: report.prefill_tokens,
    }
}
