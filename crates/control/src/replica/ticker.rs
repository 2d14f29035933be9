//! The replica's clock.

use std::time::Duration;

use kameo::actor::ActorRef;
use tokio::time::{MissedTickBehavior, interval};

use super::ReplicaActor;
use super::actor::Tick;

/// Length of a tick. The agreement's settings are chosen for it.
pub(super) const TICK: Duration = Duration::from_millis(50);

/// Ticks until the replica ends. Ticks that were missed, for example while the
/// process was frozen, are left out: they would look like silence of the peers.
pub(super) async fn keep_ticking(replica: ActorRef<ReplicaActor>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if replica.tell(Tick).await.is_err() {
            return;
        }
    }
}
