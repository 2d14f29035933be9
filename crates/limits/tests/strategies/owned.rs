//! Production strategy: each request is charged to the replica that owns the account.

use juniper_limits::{ChargeRequest, LimitOwner, LocalLimits, rank_owners};
use juniper_types::{NodeId, Timestamp};

use crate::world::{Arrival, KEY_CACHE_TTL_MS, Strategy, World};

pub struct OwnerStrategy {
    owners: Vec<LimitOwner>,
    routers: Vec<LocalLimits>,
    /// When each router last reached any replica, in milliseconds.
    reached_at: Vec<u64>,
}

impl OwnerStrategy {
    pub fn new(world: &World) -> Self {
        OwnerStrategy {
            owners: vec![LimitOwner::default(); world.replicas],
            routers: vec![LocalLimits::default(); world.routers],
            reached_at: vec![0; world.routers],
        }
    }

    /// The owner that answers, if any: the first replica that seems connected, or the second one
    /// if the first isn't confirmed by a quorum.
    fn owner(world: &World, arrival: &Arrival) -> Option<usize> {
        let (router, now) = (arrival.router, arrival.at);
        let connected =
            (0..world.replicas).filter(|replica| world.seems_connected(router, *replica, now));
        let ordered = rank_owners(connected.map(|replica| NodeId(replica as u64)), "tenant");
        for node in ordered.into_iter().take(2) {
            let replica = node.0 as usize;
            if !world.reaches(router, replica, now) {
                return None;
            }
            if world.is_confirmed(replica, now) {
                return Some(replica);
            }
        }
        None
    }
}

impl Strategy for OwnerStrategy {
    fn admits(&mut self, world: &World, arrival: &Arrival, now: Timestamp) -> bool {
        let request = ChargeRequest {
            account: "tenant",
            limit: world.limit,
            version: 1,
            units: arrival.units,
            is_unconditional: false,
            reserve: 0.0,
        };
        for (replica, owner) in self.owners.iter_mut().enumerate() {
            if !world.is_up(replica, arrival.at) {
                *owner = LimitOwner::starting_at(now);
            }
        }
        let router = arrival.router;
        if (0..world.replicas).any(|replica| world.reaches(router, replica, arrival.at)) {
            self.reached_at[router] = arrival.at;
        }
        if arrival.at - self.reached_at[router] > KEY_CACHE_TTL_MS {
            return false;
        }
        let local = &mut self.routers[router];
        match Self::owner(world, arrival) {
            Some(owner) => {
                let verdict = self.owners[owner].charge(&request, now, arrival.draw);
                local.record_verdict(&request, &verdict, now);
                verdict.is_admitted()
            }
            None => local.decide(&request, world.routers as u32, now, arrival.draw).is_admitted(),
        }
    }
}
