//! Observation of this replica's contact with a quorum, on which the history of software versions
//! depends.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use crate::fleet_publisher::{FleetPublisher, QuorumContact};
use crate::replica::ReplicaView;

const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Age of the latest confirmation above which contact counts as lost; longer than an election.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(5);

/// Age up to which a confirmation shows that no configuration has been accepted.
const RECENT: Duration = Duration::from_secs(1);

/// Follows the contact until cancelled.
pub(crate) async fn follow_quorum_contact(publisher: &FleetPublisher, view: &ReplicaView) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        publisher.follow_contact(contact(view));
    }
}

fn contact(view: &ReplicaView) -> QuorumContact {
    let age = view.confirmed_at.borrow().map(|at| at.elapsed());
    let has_catalog = view.fleet.borrow().catalog().is_some();
    match age {
        Some(age) if age < RECENT && !has_catalog => QuorumContact::BeforeCatalog,
        Some(age) if age < MAX_CONFIRMATION_AGE => QuorumContact::Held,
        _ => QuorumContact::Lost,
    }
}
