//! Keeps asking a quorum whether this replica is current.

use std::time::{Duration, Instant};

use juniper_control_state::ControlState;
use juniper_types::Revision;
use kameo::actor::ActorRef;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::{Query, ReplicaActor};

/// Pace of the question. Nodes learn the age of their settings from the answer.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Asks for ever and notes when each confirmed question was asked.
pub async fn keep_confirmed(
    replica: ActorRef<ReplicaActor>,
    confirmed_at: watch::Sender<Option<Instant>>,
) {
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while replica.is_alive() {
        ticks.tick().await;
        let asked = Instant::now();
        if replica.ask(Query { confirm: true, read: revision }).await.is_ok() {
            confirmed_at.send_replace(Some(asked));
        }
    }
}

fn revision(state: &ControlState) -> Revision {
    state.settings().revision()
}
