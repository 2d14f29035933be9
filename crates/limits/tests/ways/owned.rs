//! The way of the product: the replica that owns the tenant is asked for each request.

use juniper_limits::{ChargeRequest, LimitOwner, LocalLimits, owners};
use juniper_types::{NodeId, Timestamp};

use crate::world::{Arrival, KEYS_HONOURED_MS, Way, World};

pub struct OwnedWay {
    owners: Vec<LimitOwner>,
    routers: Vec<LocalLimits>,
    /// When each router last heard any replica, in milliseconds.
    heard: Vec<u64>,
}

impl OwnedWay {
    pub fn new(world: &World) -> Self {
        OwnedWay {
            owners: vec![LimitOwner::default(); world.replicas],
            routers: vec![LocalLimits::default(); world.routers],
            heard: vec![0; world.routers],
        }
    }

    /// The replica that answers, if one does: the first that seems connected, or the second if
    /// the first owns nothing.
    fn owner(world: &World, arrival: &Arrival) -> Option<usize> {
        let (router, now) = (arrival.router, arrival.at);
        let connected =
            (0..world.replicas).filter(|replica| world.seems_connected(router, *replica, now));
        let ordered = owners(connected.map(|replica| NodeId(replica as u64)), "tenant");
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

impl Way for OwnedWay {
    fn admits(&mut self, world: &World, arrival: &Arrival, now: Timestamp) -> bool {
        let request = ChargeRequest {
            account: "tenant",
            limit: world.limit,
            version: 1,
            units: arrival.units,
            is_certain: false,
            reserve: 0.0,
        };
        for (replica, owner) in self.owners.iter_mut().enumerate() {
            if !world.has_power(replica, arrival.at) {
                *owner = LimitOwner::default();
            }
        }
        let router = arrival.router;
        if (0..world.replicas).any(|replica| world.reaches(router, replica, arrival.at)) {
            self.heard[router] = arrival.at;
        }
        if arrival.at - self.heard[router] > KEYS_HONOURED_MS {
            return false;
        }
        let local = &mut self.routers[router];
        match Self::owner(world, arrival) {
            Some(owner) => {
                let verdict = self.owners[owner].charge(&request, now, arrival.draw);
                local.heard(&request, &verdict, now);
                verdict.is_admitted()
            }
            None => local.decide(&request, world.routers as u32, now, arrival.draw).is_admitted(),
        }
    }
}
