//! Routers tell each other which requests they send where, when those end, and which servers
//! they can't reach.

use std::sync::{Arc, Mutex};

use juniper_feed::RelayedBatch;
use juniper_placement::{ChainSighting, Choice, Reporter, SightingBudget};
use juniper_protocol::message::{Reachability, RelayedNews, RouterNews, Sighting};
use juniper_registry::InstanceId;
use tokio::sync::Notify;
use tokio::sync::broadcast::error::RecvError;

use crate::gateway::Gateway;
use crate::lock::lock;

/// Sightings that wait to be told; the rest is left out.
const MAX_QUEUED: usize = 16;

/// Servers whose reachability waits to be told; the rest is told with its next probe.
const MAX_QUEUED_SERVERS: usize = 64;

/// Requests that the others weren't told of and that haven't ended, at most.
const MAX_UNTOLD: usize = 64;

/// What waits to be told, and what must not be told any more.
#[derive(Default)]
struct Waiting {
    news: RouterNews,
    /// Servers of requests that were left out. Their ends must not be told either.
    untold: Vec<InstanceId>,
}

impl Waiting {
    fn leave_out(&mut self, instance: InstanceId) {
        if self.untold.len() < MAX_UNTOLD {
            self.untold.push(instance);
        }
    }
}

/// What the other routers haven't been told yet.
#[derive(Default)]
pub(crate) struct NewsQueue {
    waiting: Mutex<Waiting>,
    wake: Notify,
}

impl NewsQueue {
    /// Notes where a request was sent, which others can't see otherwise: with hundreds of routers
    /// each sends a small part of what a server gets. Returns whether there was room for it.
    pub(crate) fn push_sighting(&self, choice: &Choice) -> bool {
        let mut waiting = lock(&self.waiting);
        if waiting.news.sightings.len() >= MAX_QUEUED {
            waiting.leave_out(choice.instance.clone());
            return false;
        }
        waiting.news.sightings.push(message(choice.sighting()));
        self.wake.notify_one();
        true
    }

    /// Notes that a request has ended. If too many ends wait, the others forget the request
    /// after a while by themselves.
    pub(crate) fn push_end(&self, instance: &InstanceId) {
        let mut waiting = lock(&self.waiting);
        if let Some(place) = waiting.untold.iter().position(|untold| untold == instance) {
            waiting.untold.swap_remove(place);
        } else if waiting.news.ended.len() < MAX_QUEUED {
            waiting.news.ended.push(instance.clone());
            self.wake.notify_one();
        }
    }

    /// Notes that this router has reached a server, or could not.
    pub(crate) fn push_reachability(&self, instance: &InstanceId, reached: bool) {
        let queued = &mut lock(&self.waiting).news.reachability;
        queued.retain(|told| told.instance != *instance);
        if queued.len() < MAX_QUEUED_SERVERS {
            queued.push(Reachability { instance: instance.clone(), reached });
            self.wake.notify_one();
        }
    }

    /// What waits, with the sightings that tell most, and how many of them are left out.
    fn take(&self, allowed: usize) -> (RouterNews, usize) {
        let mut waiting = lock(&self.waiting);
        let mut news = std::mem::take(&mut waiting.news);
        if news.sightings.len() <= allowed {
            return (news, 0);
        }
        news.sightings.sort_by_key(|sighting| std::cmp::Reverse(sighting.tokens));
        let left_out = news.sightings.split_off(allowed);
        let count = left_out.len();
        left_out.into_iter().for_each(|sighting| waiting.leave_out(sighting.instance));
        (news, count)
    }
}

/// Tells the other routers what they should know, and learns it from them, for ever.
pub(crate) async fn share(gateway: Arc<Gateway>) {
    let mut received = gateway.feed.news();
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
    let allowed = budget.allowed(gateway.feed.routers(), gateway.now());
    let (told, left_out) = gateway.news.take(allowed);
    gateway.metrics.sightings_left_out.inc_by(left_out as u64);
    if !told.is_empty() {
        budget.spend(told.sightings.len());
        gateway.feed.tell(told).await;
    }
}

/// Takes in what other routers told.
fn learn(gateway: &Gateway, batch: &RelayedBatch) {
    let now = gateway.now();
    let mut placement = gateway.placement();
    for RelayedNews { from, zone, news } in batch.iter() {
        for sighting in &news.sightings {
            placement.sighted(&read(sighting), now);
        }
        news.ended.iter().for_each(|instance| placement.heard_end(instance));
        let reporter = Reporter { node: from.0, zone: zone.as_str() };
        for Reachability { instance, reached } in &news.reachability {
            if placement.heard_reachability(reporter, instance, *reached, now) {
                log::info!("event=server_reported_unreachable instance={instance}");
                gateway.metrics.servers_reported.inc();
            }
        }
    }
}

fn message(sighting: ChainSighting) -> Sighting {
    let ChainSighting { instance, version, keys, part_tokens, own_tokens, tokens, read_tokens } =
        sighting;
    Sighting { instance, version, chains: keys, part_tokens, own_tokens, tokens, read_tokens }
}

fn read(sighting: &Sighting) -> ChainSighting {
    ChainSighting {
        instance: sighting.instance.clone(),
        version: sighting.version,
        keys: sighting.chains.clone(),
        part_tokens: sighting.part_tokens.clone(),
        own_tokens: sighting.own_tokens,
        tokens: sighting.tokens,
        read_tokens: sighting.read_tokens,
    }
}
