//! Routers tell each other where prompts were sent.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniper_placement::{ChainSighting, Choice};
use juniper_protocol::message::Sighting;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;
use crate::lock::lock;

/// Time for which sightings are gathered before other routers are told.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// Sightings told at once; the rest is left out.
const MAX_QUEUED: usize = 16;

/// Sightings of this router that the others haven't been told of yet.
#[derive(Default)]
pub(crate) struct SightingQueue(Mutex<Vec<Sighting>>);

impl SightingQueue {
    /// Notes where a prompt was sent. Parts that can't be moved concern nobody else.
    pub(crate) fn push(&self, choice: &Choice) {
        if choice.keys.is_empty() || !choice.is_movable {
            return;
        }
        let ChainSighting { instance, version, keys, tokens, read_tokens } = choice.sighting();
        let mut queued = lock(&self.0);
        if queued.len() < MAX_QUEUED {
            queued.push(Sighting { instance, version, chains: keys, tokens, read_tokens });
        }
    }

    fn take(&self) -> Vec<Sighting> {
        std::mem::take(&mut *lock(&self.0))
    }
}

/// Tells the other routers where prompts were sent, and learns it from them, for ever.
pub(crate) async fn share(gateway: Arc<Gateway>) {
    let mut received = gateway.feed.sightings();
    let mut ticks = interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            sightings = received.recv() => match sightings {
                Ok(sightings) => learn(&gateway, sightings),
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
            _ = ticks.tick() => {
                let queued = gateway.sightings.take();
                if !queued.is_empty() {
                    gateway.feed.tell(queued).await;
                }
            }
        }
    }
}

fn learn(gateway: &Gateway, sightings: Vec<Sighting>) {
    let now = gateway.now();
    let mut placement = gateway.placement();
    for Sighting { instance, version, chains, tokens, read_tokens } in sightings {
        let sighting = ChainSighting { instance, version, keys: chains, tokens, read_tokens };
        placement.sighted(&sighting, now);
    }
}
