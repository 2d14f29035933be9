//! Routers tell each other which requests they send where, when those end, and which servers
//! they can't reach.

use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};

use juniper_feed::RelayedBatch;
use juniper_placement::{ChainSighting, Choice, Placement, Reporter, SightingBudget, ToldRequest};
use juniper_protocol::message::{
    Reachability, RelayedNews, RouterNews, ServerLimitNews, ServerNoticeNews, Sighting,
};
use juniper_registry::{InstanceId, StartTime};
use juniper_types::{NodeId, Timestamp};
use tokio::sync::Notify;
use tokio::sync::broadcast::error::RecvError;

use crate::gateway::Gateway;
use crate::lock::lock;

/// Sightings that wait to be told; the rest is left out.
const MAX_QUEUED: usize = 16;

/// Servers whose reachability, limits or notices wait to be told; the rest is told with the next probe
/// or answer, or found out by the others.
const MAX_QUEUED_SERVERS: usize = 64;

/// Ends of requests that wait to be told; others forget the requests of the rest by themselves.
const MAX_QUEUED_ENDS: usize = 64;

/// What the other routers haven't been told yet.
pub(crate) struct NewsQueue {
    news: Mutex<RouterNews>,
    /// Number of the latest request that the others are told of.
    last_number: AtomicU16,
    wake: Notify,
}

impl Default for NewsQueue {
    /// Numbers begin anywhere, so that those of a router that was started again differ from the
    /// ones that others still remember of its earlier life.
    fn default() -> Self {
        let last_number = AtomicU16::new(rand::random());
        NewsQueue { news: Mutex::default(), last_number, wake: Notify::new() }
    }
}

impl NewsQueue {
    /// Notes where a request was sent, which others can't see otherwise: with hundreds of routers
    /// each sends a small part of what a server gets. Returns the request's number, or `None` if
    /// there was no room for it.
    pub(crate) fn push_sighting(&self, choice: &Choice) -> Option<u16> {
        let mut news = lock(&self.news);
        if news.sightings.len() >= MAX_QUEUED {
            return None;
        }
        // Zero stands for no number.
        let number = self.last_number.fetch_add(1, Ordering::Relaxed).wrapping_add(1).max(1);
        news.sightings.push(message(choice.sighting(), number));
        self.wake.notify_one();
        Some(number)
    }

    /// Notes that a request has ended. If too many ends wait, the others forget the request
    /// after a while by themselves.
    pub(crate) fn push_end(&self, number: u16) {
        let mut news = lock(&self.news);
        if news.ended.len() < MAX_QUEUED_ENDS {
            news.ended.push(number);
            self.wake.notify_one();
        }
    }

    /// Notes that this router has reached a server, or could not.
    pub(crate) fn push_reachability(&self, instance: &InstanceId, reached: bool) {
        let queued = &mut lock(&self.news).reachability;
        queued.retain(|told| told.id() != *instance);
        if queued.len() < MAX_QUEUED_SERVERS {
            let (name, started) = (instance.name().clone(), instance.started());
            queued.push(Reachability { instance: name, reached, started });
            self.wake.notify_one();
        }
    }

    /// Notes what a server takes from all routers together. If too much waits, it is told with a
    /// later answer of the server.
    pub(crate) fn push_limit(&self, limit: ServerLimitNews) {
        let mut news = lock(&self.news);
        let queued = news.server_limits.get_or_insert_default();
        queued.retain(|told| told.id() != limit.id());
        if queued.len() < MAX_QUEUED_SERVERS {
            queued.push(limit);
            self.wake.notify_one();
        }
    }

    /// Notes what a server asked of this router.
    pub(crate) fn push_notice(&self, notice: ServerNoticeNews) {
        let mut news = lock(&self.news);
        let queued = news.notices.get_or_insert_default();
        if queued.len() < MAX_QUEUED_SERVERS {
            queued.push(notice);
            self.wake.notify_one();
        }
    }

    /// What waits, with the sightings that tell most, and how many of them are left out. Their ends
    /// are told all the same: who hasn't heard of a request passes over its end.
    fn take(&self, allowed: usize) -> (RouterNews, usize) {
        let mut news = std::mem::take(&mut *lock(&self.news));
        if news.sightings.len() <= allowed {
            return (news, 0);
        }
        news.sightings.sort_by_key(|sighting| std::cmp::Reverse(sighting.tokens));
        let left_out = news.sightings.split_off(allowed);
        (news, left_out.len())
    }
}

/// Tells the other routers what they should know, and learns it from them, for ever.
pub(crate) async fn share(gateway: Arc<Gateway>) {
    let mut received = gateway.feed.subscribe_router_updates();
    let mut budget = SightingBudget::default();
    loop {
        tokio::select! {
            batch = received.recv() => match batch {
                Ok(batch) => learn(&gateway, &batch),
                Err(RecvError::Lagged(missed)) => {
                    log::warn!("event=router_news_missed batches={missed} reason=slow_router");
                    gateway.metrics.news_missed.inc_by(missed);
                }
                Err(RecvError::Closed) => return,
            },
            () = gateway.news.wake.notified() => tell(&gateway, &mut budget).await,
        }
    }
}

/// Tells the others as much as the budget allows.
async fn tell(gateway: &Gateway, budget: &mut SightingBudget) {
    let allowed = budget.allowed(gateway.feed.router_count(), gateway.now());
    let (told, left_out) = gateway.news.take(allowed);
    gateway.metrics.sightings_left_out.inc_by(left_out as u64);
    if !told.is_empty() {
        budget.spend(told.sightings.len());
        gateway.feed.publish(told).await;
    }
}

/// Takes in what other routers told.
fn learn(gateway: &Gateway, batch: &RelayedBatch) {
    let limits = batch.iter().flat_map(|told| told.news.server_limits.iter().flatten());
    limits.for_each(|news| gateway.learn_limit(news));
    let now = gateway.now();
    let mut placement = gateway.placement();
    for RelayedNews { from, zone, news } in batch.iter() {
        let request = |number: u16| ToldRequest { router: *from, number };
        for notice in news.notices.iter().flatten() {
            learn_notice(&mut placement, notice, *from, now);
        }
        for sighting in &news.sightings {
            match sighting.number {
                // A router of an earlier version; the request is forgotten after a while.
                0 => placement.sighted(&read(sighting), now),
                number => placement.heard_sent(request(number), &read(sighting), now),
            }
        }
        news.ended.iter().for_each(|number| placement.heard_end(request(*number)));
        let reporter = Reporter { node: from.0, zone: zone.as_str() };
        for told in &news.reachability {
            let instance = told.id();
            if placement.heard_reachability(reporter, &instance, told.reached, now) {
                log::info!("event=server_reported_unreachable instance={instance}");
                gateway.metrics.servers_reported.inc();
            }
        }
    }
}

/// Takes in what a server asked of another router.
fn learn_notice(
    placement: &mut Placement,
    notice: &ServerNoticeNews,
    from: NodeId,
    now: Timestamp,
) {
    let instance = notice.id();
    if notice.is_leaving && placement.heard_leaving(&instance, now) {
        log::info!("event=server_leaving_heard request=- instance={instance} from={from}");
    }
    if notice.pause_ms > 0 {
        placement.told_of_pause(&instance, from, notice.pause(), now);
    }
}

fn message(sighting: ChainSighting, number: u16) -> Sighting {
    let ChainSighting { instance, version, keys, part_tokens, own_tokens, tokens, read_tokens } =
        sighting;
    Sighting {
        instance: instance.name().clone(),
        version,
        chains: keys,
        part_tokens,
        own_tokens,
        tokens,
        read_tokens,
        number,
    }
}

fn read(sighting: &Sighting) -> ChainSighting {
    ChainSighting {
        instance: InstanceId::started_at(sighting.instance.clone(), StartTime::UNKNOWN),
        version: sighting.version,
        keys: sighting.chains.clone(),
        part_tokens: sighting.part_tokens.clone(),
        own_tokens: sighting.own_tokens,
        tokens: sighting.tokens,
        read_tokens: sighting.read_tokens,
    }
}
