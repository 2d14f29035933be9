//! Production strategy and the alternatives that it is compared with.

use juniper_limits::{
    Allowance, ChargeRequest, Decider, FleetShare, LimitOwner, LocalLimits, PeerLimit, RateLimit,
    RequestRate, ServerLimit, TokenBucket, rank_owners,
};
use juniper_types::NodeId;

use crate::fleet::{Fleet, Strategy, time};

/// Wall-clock time at the start of a simulation, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_700_000_000_000;

fn unix_ms(now: u64) -> u64 {
    START_UNIX_MS + now
}

/// State of one router.
#[derive(Clone, Default)]
struct Router {
    limit: Option<ServerLimit>,
    local: LocalLimits,
}

/// Production strategy: each request is charged to the replica that owns the account.
pub struct OwnerStrategy {
    routers: Vec<Router>,
    owners: Vec<LimitOwner>,
    /// Number of charges that replicas answered.
    pub charges: usize,
}

impl OwnerStrategy {
    pub fn new(fleet: &Fleet) -> Self {
        let routers = vec![Router::default(); fleet.routers];
        OwnerStrategy { routers, owners: vec![LimitOwner::default(); fleet.replicas], charges: 0 }
    }

    fn owner(fleet: &Fleet, router: usize, now: u64) -> Option<usize> {
        let connected_replicas =
            (0..fleet.replicas).filter(|replica| fleet.seems_connected(router, *replica, now));
        let ordered =
            rank_owners(connected_replicas.map(|replica| NodeId(replica as u64)), "server");
        let first = ordered.first()?.0 as usize;
        let reaches = fleet.is_up(first, now) && !fleet.is_partitioned(router, now);
        reaches.then_some(first)
    }
}

impl Strategy for OwnerStrategy {
    fn admits(&mut self, fleet: &Fleet, router: usize, now: u64, draw: f64) -> bool {
        for (replica, owner) in self.owners.iter_mut().enumerate() {
            if !fleet.is_up(replica, now) {
                *owner = LimitOwner::starting_at(time(now));
            }
        }
        let Router { limit, local } = &mut self.routers[router];
        let Some(limit) = limit else { return true };
        let Some(Allowance { limit: rate, version }) = limit.allowance(time(now)) else {
            return true;
        };
        if limit.remaining_wait(time(now)).is_some() {
            return false;
        }
        let (account, units) = ("server", 1.0);
        let charge = ChargeRequest {
            account,
            limit: rate,
            version,
            units,
            is_unconditional: false,
            reserve: 0.0,
        };
        let (verdict, by) = match Self::owner(fleet, router, now) {
            Some(owner) => {
                self.charges += 1;
                let verdict = self.owners[owner].charge(&charge, time(now), draw);
                local.record_verdict(&charge, &verdict, time(now));
                (verdict, Decider::Owner)
            }
            None => {
                let routers = fleet.routers as u32;
                (local.decide(&charge, routers, time(now), draw), Decider::Router)
            }
        };
        limit.record_verdict(&verdict, by, time(now));
        verdict.is_admitted()
    }

    fn observe_answer(
        &mut self,
        router: usize,
        sent_at: u64,
        advertised: Option<RequestRate>,
        now: u64,
    ) -> Option<PeerLimit> {
        let limit = &mut self.routers[router].limit;
        match (advertised, limit.as_mut()) {
            (Some(rate), Some(limit)) => {
                limit.observe_rate(rate, time(now), unix_ms(now));
            }
            (Some(rate), None) => {
                *limit = Some(ServerLimit::from_observation(rate, time(now), unix_ms(now)));
            }
            (None, Some(limit)) => {
                limit.observe_no_limit(time(sent_at), time(now), unix_ms(now));
            }
            (None, None) => {}
        }
        limit.as_mut()?.take_due_report(time(now))
    }

    fn apply_report(&mut self, router: usize, reported: PeerLimit, now: u64) {
        match &mut self.routers[router].limit {
            Some(limit) => {
                limit.apply_report(reported, time(now), unix_ms(now));
            }
            limit => *limit = Some(ServerLimit::from_report(reported, time(now))),
        }
    }

    fn restart(&mut self, router: usize) {
        self.routers[router] = Router::default();
    }
}

/// Alternative strategy: each router enforces the limit locally, once it has observed it.
pub struct LocalStrategy {
    buckets: Vec<Option<TokenBucket>>,
    rate: f64,
    share: FleetShare,
}

impl LocalStrategy {
    /// Each router applies the whole limit.
    pub fn whole(fleet: &Fleet) -> Self {
        Self::with(fleet, FleetShare::even(1))
    }

    /// Each router applies an even share, with probabilistic admission.
    pub fn even(fleet: &Fleet) -> Self {
        Self::with(fleet, FleetShare::even(fleet.routers as u32))
    }

    fn with(fleet: &Fleet, share: FleetShare) -> Self {
        LocalStrategy { buckets: vec![None; fleet.routers], rate: fleet.rate, share }
    }

    fn local_limit(&self) -> RateLimit {
        let per_second = self.share.of_rate(self.rate);
        RateLimit { per_second, burst: self.share.of_rate(1.0) }
    }
}

impl Strategy for LocalStrategy {
    fn admits(&mut self, _fleet: &Fleet, router: usize, now: u64, draw: f64) -> bool {
        let local_limit = self.local_limit();
        let Some(bucket) = &mut self.buckets[router] else { return true };
        bucket.take_probabilistic(1.0, local_limit, time(now), draw).is_ok()
    }

    fn observe_answer(
        &mut self,
        router: usize,
        _sent_at: u64,
        advertised: Option<RequestRate>,
        now: u64,
    ) -> Option<PeerLimit> {
        let local_limit = self.local_limit();
        let is_first = advertised.is_some() && self.buckets[router].is_none();
        if is_first {
            self.buckets[router] = Some(TokenBucket::at_level(0.0, local_limit, time(now)));
        }
        let rate = advertised.filter(|_| is_first)?;
        Some(PeerLimit { sequence: 0, rate, has_ended: false })
    }

    fn apply_report(&mut self, router: usize, _reported: PeerLimit, now: u64) {
        let local_limit = self.local_limit();
        self.buckets[router].get_or_insert(TokenBucket::at_level(0.0, local_limit, time(now)));
    }

    fn restart(&mut self, router: usize) {
        self.buckets[router] = None;
    }
}
