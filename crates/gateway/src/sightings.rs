//! Routers tell each other where prompts were sent.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniper_placement::{ChainSighting, Choice, SightingBudget};
use juniper_protocol::message::Sighting;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;
use crate::lock::lock;

/// Time for which sightings are gathered before other routers are told.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// Sightings that wait to be told; the rest is left out.
const MAX_QUEUED: usize = 16;

/// Sightings of this router that the others haven't been told of yet.
#[derive(Default)]
pub(crate) struct SightingQueue(Mutex<Vec<Sighting>>);

impl SightingQueue {
    /// Notes where a prompt was sent. Parts that can't be moved concern nobody else.
    /// Returns whether there was room for it.
    pub(crate) fn push(&self, choice: &Choice) -> bool {
        if choice.keys.is_empty() || !choice.is_movable {
            return true;
        }
        let sighting = message(choice.sighting());
        let mut queued = lock(&self.0);
        let has_room = queued.len() < MAX_QUEUED;
        if has_room {
            queued.push(sighting);
        }
        has_room
    }

    /// The sightings that tell most, and how many are left out.
    fn take(&self, allowed: usize) -> (Vec<Sighting>, usize) {
        let mut queued = std::mem::take(&mut *lock(&self.0));
        let left_out = queued.len().saturating_sub(allowed);
        if left_out > 0 {
            queued.sort_by_key(|sighting| std::cmp::Reverse(sighting.tokens));
            queued.truncate(allowed);
        }
        (queued, left_out)
    }
}

/// Tells the other routers where prompts were sent, and learns it from them, for ever.
pub(crate) async fn share(gateway: Arc<Gateway>) {
    let mut received = gateway.feed.sightings();
    let mut budget = SightingBudget::default();
    let mut ticks = interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            sightings = received.recv() => match sightings {
                Ok(sightings) => learn(&gateway, sightings),
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
            _ = ticks.tick() => tell(&gateway, &mut budget).await,
        }
    }
}

/// Tells the others as much as the budget allows.
async fn tell(gateway: &Gateway, budget: &mut SightingBudget) {
    let allowed = budget.allowed(gateway.feed.routers(), gateway.now());
    let (told, left_out) = gateway.sightings.take(allowed);
    gateway.metrics.sightings_left_out.inc_by(left_out as u64);
    if !told.is_empty() {
        budget.spend(told.len());
        gateway.feed.tell(told).await;
    }
}

fn learn(gateway: &Gateway, sightings: Vec<Sighting>) {
    let now = gateway.now();
    let mut placement = gateway.placement();
    for sighting in sightings {
        placement.sighted(&read(sighting), now);
    }
}

fn message(sighting: ChainSighting) -> Sighting {
    let ChainSighting { instance, version, keys, part_tokens, own_tokens, tokens, read_tokens } =
        sighting;
    Sighting { instance, version, chains: keys, part_tokens, own_tokens, tokens, read_tokens }
}

fn read(sighting: Sighting) -> ChainSighting {
    let Sighting { instance, version, chains, part_tokens, own_tokens, tokens, read_tokens } =
        sighting;
    ChainSighting { instance, version, keys: chains, part_tokens, own_tokens, tokens, read_tokens }
}
