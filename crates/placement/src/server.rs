//! State of one server as known to this router.

use std::sync::Arc;
use std::time::Duration;

use juniper_limits::ServerLimit;
use juniper_registry::{Instance, SoftwareVersion};
use juniper_timing::ServerFactor;
use juniper_types::Timestamp;

use crate::brittle::{Rejection, dispatch_interval};
use crate::cache_turnover::CacheTurnover;
use crate::cached_segments::CachedSegments;
use crate::fleet_load::FleetLoad;
use crate::health::Health;
use crate::load::Load;
use crate::reachability_reports::UnreachableReports;
use crate::weights::{ModelKey, ObservedWeights};

/// Time for which this router's own contact with a server outweighs other routers' reports.
const EVIDENCE_TIME: Duration = Duration::from_secs(1);

/// State of one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) instance: Arc<Instance>,
    /// Index of the server in the member list of its service.
    pub(crate) member_index: usize,
    pub(crate) hash: u64,
    pub(crate) health: Health,
    /// Observed relative to expected first outputs, in services with tight objectives.
    pub(crate) factor: ServerFactor,
    /// Reports of other routers that the server is unreachable.
    pub(crate) unreachable_reports: UnreachableReports,
    /// When this router last had an answer or a new connection of the server.
    pub(crate) last_evidence: Option<Timestamp>,
    pub(crate) load: Load,
    /// Requests of all routers to the server.
    pub(crate) fleet_load: FleetLoad,
    /// What the server's answers have shown of its models' weights.
    pub(crate) observed_weights: ObservedWeights,
    /// Whether the server accepts no new requests during a rollout of new weights.
    pub(crate) renewing: bool,
    /// Whether the server has requested a backoff, which may have expired.
    pub(crate) has_requested_backoff: bool,
    /// Whether the server has announced its departure.
    pub(crate) is_departing: bool,
    /// Advertised limit of the server, for all routers together.
    pub(crate) limit: Option<ServerLimit>,
    /// When the requests of all routers last took half of the server's slots.
    pub(crate) half_full_at: Option<Timestamp>,
    /// Interval of the latest request of this router, and number of its requests in the interval.
    pub(crate) own_dispatches: (u64, u32),
    /// Latest rejection of a request while the server was brittle.
    pub(crate) rejection: Option<Rejection>,
    pub(crate) turnover: CacheTurnover,
    /// Expected contents of the server's KV cache.
    pub(crate) cached: CachedSegments,
}

impl Server {
    /// A server without any observations yet.
    pub(crate) fn new(instance: Arc<Instance>, member_index: usize) -> Self {
        let hash = fnv1a(instance.id.as_str());
        let (health, load) = (Health::default(), Load::default());
        Server {
            instance,
            member_index,
            hash,
            health,
            factor: ServerFactor::default(),
            unreachable_reports: UnreachableReports::default(),
            last_evidence: None,
            load,
            fleet_load: FleetLoad::default(),
            observed_weights: ObservedWeights::default(),
            renewing: false,
            has_requested_backoff: false,
            is_departing: false,
            limit: None,
            half_full_at: None,
            own_dispatches: (0, 0),
            rejection: None,
            turnover: CacheTurnover::default(),
            cached: CachedSegments::default(),
        }
    }

    /// Records whether the requests of all routers take half of the server's slots.
    pub(crate) fn record_fill(&mut self, now: Timestamp) {
        let slots = self.instance.report.slots as usize;
        if self.fleet_load.known_requests() * 2 >= slots {
            self.half_full_at = Some(now);
        }
    }

    /// Counts a request of this router.
    pub(crate) fn count_dispatch(&mut self, now: Timestamp) {
        let interval = dispatch_interval(now);
        let (counted, count) = self.own_dispatches;
        let former = if counted == interval { count } else { 0 };
        self.own_dispatches = (interval, former + 1);
    }

    /// Records an answer or a new connection of the server, which contradicts earlier reports that
    /// it is unreachable.
    pub(crate) fn record_evidence(&mut self, now: Timestamp) {
        self.last_evidence = Some(now);
        self.unreachable_reports.contradict(now);
    }

    /// Whether a router in `own_zone` avoids the server because of other routers' reports.
    pub(crate) fn is_reported_unreachable(&self, own_zone: &str, now: Timestamp) -> bool {
        let has_evidence = self.last_evidence.is_some_and(|at| now.since(at) < EVIDENCE_TIME);
        !has_evidence && self.unreachable_reports.is_confirmed(own_zone, now)
    }

    /// Time until the advertised limit admits another request; `None` if it admits one now.
    pub(crate) fn limit_wait(&self, now: Timestamp) -> Option<Duration> {
        self.limit.as_ref()?.remaining_wait(now)
    }

    /// Whether the server may be used, according to its own answers too: the instance list lags
    /// behind them.
    pub(crate) fn is_in_service(&self) -> bool {
        !self.health.replaced && !self.is_departing
    }

    /// Whether the server is known to run this software version.
    pub(crate) fn runs_software(&self, software: &SoftwareVersion) -> bool {
        self.instance.report.software.as_ref() == Some(software)
    }

    /// Version of the model weights on the server; zero if it has none.
    pub(crate) fn version_of(&self, model: &str) -> u64 {
        let stated = self.instance.report.version_of(model).unwrap_or(0);
        stated.max(self.observed_weights.version_of(ModelKey::of(model)))
    }

    /// Whether the server states that it has the model.
    pub(crate) fn lists_model(&self, model: &str) -> bool {
        self.instance.report.version_of(model).is_some()
    }

    /// Model to which cached segments belong; `None` if the server has only one.
    pub(crate) fn cache_model(&self, model: &str) -> Option<ModelKey> {
        let has_several = self.instance.report.models.len() > 1;
        has_several.then(|| ModelKey::of(model))
    }
}

/// FNV-1a hash: all routers have to compute the same value, whatever their build.
pub(crate) fn fnv1a(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
