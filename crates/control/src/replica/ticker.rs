//! Clock of the consensus protocol.

use std::time::Duration;

use kameo::actor::ActorRef;
use tokio::time::{MissedTickBehavior, interval};

use super::ReplicaActor;
use super::actor::Tick;

/// Length of a tick, the time unit of the consensus settings.
pub(super) const TICK: Duration = Duration::from_millis(50);

/// Sends ticks until the replica ends. Missed ticks, for example while the process was suspended, are
/// skipped, since they would look like silence of the peers.
pub(super) async fn run_ticker(replica: ActorRef<ReplicaActor>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if replica.tell(Tick).await.is_err() {
            return;
        }
    }
}
