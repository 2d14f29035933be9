//! The way of the product, and ways that were weighed and not taken.

use juniper_limits::{
    Allowance, ChargeRequest, Decider, FleetShare, LimitOwner, LocalLimits, RateLimit, RequestRate,
    ServerLimit, TokenBucket, ToldLimit, owners,
};
use juniper_types::NodeId;

use crate::fleet::{Fleet, Way, time};

/// Time of day at which a play begins, in milliseconds.
const BEGUN_UNIX_MS: u64 = 1_700_000_000_000;

fn unix_ms(now: u64) -> u64 {
    BEGUN_UNIX_MS + now
}

/// One router.
#[derive(Clone, Default)]
struct Router {
    limit: Option<ServerLimit>,
    local: LocalLimits,
}

/// Replicas keep the account, and routers ask for each request.
pub struct OwnedWay {
    routers: Vec<Router>,
    owners: Vec<LimitOwner>,
    /// Charges that replicas answered.
    pub charges: usize,
}

impl OwnedWay {
    pub fn new(fleet: &Fleet) -> Self {
        let routers = vec![Router::default(); fleet.routers];
        OwnedWay { routers, owners: vec![LimitOwner::default(); fleet.replicas], charges: 0 }
    }

    fn owner(fleet: &Fleet, router: usize, now: u64) -> Option<usize> {
        let connected =
            (0..fleet.replicas).filter(|replica| fleet.seems_connected(router, *replica, now));
        let ordered = owners(connected.map(|replica| NodeId(replica as u64)), "server");
        let first = ordered.first()?.0 as usize;
        let reaches = fleet.has_power(first, now) && !fleet.is_cut(router, now);
        reaches.then_some(first)
    }
}

impl Way for OwnedWay {
    fn sends(&mut self, fleet: &Fleet, router: usize, now: u64, draw: f64) -> bool {
        for (replica, owner) in self.owners.iter_mut().enumerate() {
            if !fleet.has_power(replica, now) {
                *owner = LimitOwner::default();
            }
        }
        let Router { limit, local } = &mut self.routers[router];
        let Some(limit) = limit else { return true };
        let Some(Allowance { limit: rate, version }) = limit.allowance(time(now)) else {
            return true;
        };
        if limit.pause(time(now)).is_some() {
            return false;
        }
        let (account, units) = ("server", 1.0);
        let charge =
            ChargeRequest { account, limit: rate, version, units, is_certain: false, reserve: 0.0 };
        let (verdict, by) = match Self::owner(fleet, router, now) {
            Some(owner) => {
                self.charges += 1;
                let verdict = self.owners[owner].charge(&charge, time(now), draw);
                local.heard(&charge, &verdict, time(now));
                (verdict, Decider::Owner)
            }
            None => {
                let routers = fleet.routers as u32;
                (local.decide(&charge, routers, time(now), draw), Decider::Router)
            }
        };
        limit.decided(&verdict, by, time(now));
        verdict.is_admitted()
    }

    fn answered(
        &mut self,
        router: usize,
        sent_at: u64,
        stated: Option<RequestRate>,
        now: u64,
    ) -> Option<ToldLimit> {
        let known = &mut self.routers[router].limit;
        match (stated, known.as_mut()) {
            (Some(rate), Some(limit)) => {
                limit.heard(rate, time(now), unix_ms(now));
            }
            (Some(rate), None) => {
                *known = Some(ServerLimit::heard_first(rate, time(now), unix_ms(now)));
            }
            (None, Some(limit)) => {
                limit.heard_none(time(sent_at), time(now), unix_ms(now));
            }
            (None, None) => {}
        }
        known.as_mut()?.news(time(now))
    }

    fn told(&mut self, router: usize, told: ToldLimit, now: u64) {
        match &mut self.routers[router].limit {
            Some(limit) => {
                limit.told(told, time(now), unix_ms(now));
            }
            limit => *limit = Some(ServerLimit::told_first(told, time(now))),
        }
    }

    fn forgets(&mut self, router: usize) {
        self.routers[router] = Router::default();
    }
}

/// What each router keeps to by itself, once it has heard the limit.
pub struct AloneWay {
    buckets: Vec<Option<TokenBucket>>,
    rate: f64,
    share: FleetShare,
}

impl AloneWay {
    /// Each keeps to the whole limit.
    pub fn whole(fleet: &Fleet) -> Self {
        Self::with(fleet, FleetShare::even(1))
    }

    /// Each keeps to an even share, by chance where that is less than a request.
    pub fn even(fleet: &Fleet) -> Self {
        Self::with(fleet, FleetShare::even(fleet.routers as u32))
    }

    fn with(fleet: &Fleet, share: FleetShare) -> Self {
        AloneWay { buckets: vec![None; fleet.routers], rate: fleet.rate, share }
    }

    fn part(&self) -> RateLimit {
        let per_second = self.share.of_rate(self.rate);
        RateLimit { per_second, burst: self.share.of_rate(1.0) }
    }
}

impl Way for AloneWay {
    fn sends(&mut self, _fleet: &Fleet, router: usize, now: u64, draw: f64) -> bool {
        let part = self.part();
        let Some(bucket) = &mut self.buckets[router] else { return true };
        bucket.take_by_chance(1.0, part, time(now), draw).is_ok()
    }

    fn answered(
        &mut self,
        router: usize,
        _sent_at: u64,
        stated: Option<RequestRate>,
        now: u64,
    ) -> Option<ToldLimit> {
        let part = self.part();
        let is_first = stated.is_some() && self.buckets[router].is_none();
        if is_first {
            self.buckets[router] = Some(TokenBucket::at_level(0.0, part, time(now)));
        }
        let rate = stated.filter(|_| is_first)?;
        Some(ToldLimit { sequence: 0, rate, is_over: false })
    }

    fn told(&mut self, router: usize, _told: ToldLimit, now: u64) {
        let part = self.part();
        self.buckets[router].get_or_insert(TokenBucket::at_level(0.0, part, time(now)));
    }

    fn forgets(&mut self, router: usize) {
        self.buckets[router] = None;
    }
}
