//! Admission of prompts.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

use crate::scarcity::{Resource, ScarcityLimits, ServerUsage, ServiceScarcity};
use crate::shares::{Demand, fair_level, max_min_level};
use crate::sizes::{MIN_SIZES, PromptSizes, SizeClass};

/// Half-life of the demand of a class. A router of a large deployment gets about ten prompts per
/// second, so a shorter one would measure single prompts.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);

/// Half-life of the demand of a tenant, of which a router gets about one prompt per second.
const TENANT_HALF_LIFE: Duration = Duration::from_secs(20);

/// Weight of a rank relative to the next more urgent one: of its demand, a quarter as much is
/// admitted, until all demand of the more urgent one is.
const RANK_WEIGHT: f64 = 0.25;

/// Number of tenants at which those without recent demand are removed.
const MIN_CLEANUP_THRESHOLD: usize = 1_024;

/// Demand below which a tenant is removed, in tokens.
const MIN_DEMAND: f64 = 1.0;

/// Time after a shortage during which each decision looks at all servers.
const SHORTAGE_TIME: Duration = Duration::from_secs(1);

/// Step of the rounding thresholds: the golden ratio, whose multiples are evenly distributed.
const ROUNDING_STEP: f64 = 0.618_033_988_749_895;

/// A prompt that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptDemand {
    /// Priority rank, 0 for the most urgent.
    pub rank: u8,
    /// Hash of the tenant's name; zero without tenants.
    pub tenant: u64,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Tokens of prefill and output on the chosen server.
    pub work_tokens: u32,
    /// Latency objective of the first output.
    pub objective: Duration,
    /// Longest gap of the stream that is still in time; `None` without a stream.
    pub max_gap: Option<Duration>,
}

/// Why a prompt isn't admitted.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{} is scarce: {estimate:.2} of {limit:.2}", resource.as_str())]
pub struct Overload {
    /// The scarcest resource.
    pub resource: Resource,
    /// Size class of the prompt.
    pub size_class: SizeClass,
    /// Share of the class's demand that is admitted.
    pub share: f64,
    /// Level of use on three quarters of the servers: milliseconds of waits and gaps, shares of
    /// slots and memory.
    pub estimate: f64,
    /// Level from which the resource is scarce.
    pub limit: f64,
}

/// Kind of prompts: those of the same rank and objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KindKey {
    rank: u8,
    objective: Duration,
}

impl PromptDemand {
    fn kind(&self) -> KindKey {
        KindKey { rank: self.rank, objective: self.objective }
    }
}

/// Demand of one kind.
#[derive(Clone, Debug)]
struct Kind {
    work: Decaying,
    prompts: Decaying,
    sizes: PromptSizes,
}

impl Kind {
    /// Mean work of recent prompts.
    fn mean_work(&self, now: Timestamp) -> f64 {
        self.work.at(now) / self.prompts.at(now).max(f64::MIN_POSITIVE)
    }
}

/// Demand of one tenant for one kind of prompts.
#[derive(Clone, Debug)]
struct TenantDemand {
    work: Decaying,
    /// Work to which each size class is entitled less the work that was admitted.
    balances: [Decaying; SizeClass::COUNT],
}

impl Default for TenantDemand {
    fn default() -> Self {
        let none = Decaying::new(DEMAND_HALF_LIFE);
        TenantDemand { work: Decaying::new(TENANT_HALF_LIFE), balances: [none; SizeClass::COUNT] }
    }
}

/// Admission of the prompts of one service at one router.
///
/// What can be admitted while a resource is scarce is divided between ranks by weight, within a
/// rank between kinds and within a kind between tenants by max-min fairness, and within a tenant
/// between size classes in proportion to their demand.
#[derive(Clone, Debug)]
pub struct PromptAdmission {
    kinds: HashMap<KindKey, Kind>,
    tenants: HashMap<(KindKey, u64), TenantDemand>,
    cleanup_threshold: usize,
    /// When a resource was last scarce.
    scarce_at: Option<Timestamp>,
    /// Threshold from 0 to 1 by which the next entitlement to a part of a prompt is rounded.
    rounding: f64,
}

impl Default for PromptAdmission {
    fn default() -> Self {
        PromptAdmission {
            kinds: HashMap::new(),
            tenants: HashMap::new(),
            cleanup_threshold: MIN_CLEANUP_THRESHOLD,
            scarce_at: None,
            rounding: ROUNDING_STEP,
        }
    }
}

impl PromptAdmission {
    /// Decides on a prompt and records its demand.
    ///
    /// # Errors
    /// Returns the scarce resource if the prompt's class is above its share of it.
    pub fn decide(
        &mut self,
        demand: &PromptDemand,
        scarcity: &ServiceScarcity,
        now: Timestamp,
    ) -> Result<(), Overload> {
        let size_class = self.record(demand, now);
        let limits = self.limits(demand, now);
        let Some(shortage) = scarcity.scarcest(&limits) else { return Ok(()) };
        self.scarce_at = Some(now);
        // Shares are unknown after a restart.
        let Some(size_class) = size_class else { return Ok(()) };
        let share = self.tenant_share(demand, shortage.admitted_share, now);
        if self.take(demand, size_class, share, now) {
            return Ok(());
        }
        Err(Overload {
            resource: shortage.resource,
            size_class,
            share,
            estimate: shortage.level,
            limit: shortage.limit,
        })
    }

    /// Whether the best server for the prompt is used so little that the scarcity over all servers
    /// needn't be computed. After a shortage it must be: routers learn late that a server has become
    /// free, and would all send to it without regard to shares.
    pub fn is_spare(&self, demand: &PromptDemand, best: &ServerUsage, now: Timestamp) -> bool {
        let was_scarce = self.scarce_at.is_some_and(|at| now.since(at) < SHORTAGE_TIME);
        !was_scarce && best.is_spare(&self.limits(demand, now))
    }

    /// Records a demand. Returns the size class, if it is known.
    fn record(&mut self, demand: &PromptDemand, now: Timestamp) -> Option<SizeClass> {
        let work = f64::from(demand.work_tokens);
        let kind = self.kinds.entry(demand.kind()).or_insert_with(|| Kind {
            work: Decaying::new(DEMAND_HALF_LIFE),
            prompts: Decaying::new(DEMAND_HALF_LIFE),
            sizes: PromptSizes::default(),
        });
        let size_class = kind.sizes.class_of(demand.tokens);
        kind.sizes.record(demand.tokens, now);
        kind.work.add(work, now);
        kind.prompts.add(1.0, now);
        if self.tenants.len() >= self.cleanup_threshold {
            self.tenants.retain(|_, tenant| tenant.work.at(now) >= MIN_DEMAND);
            self.cleanup_threshold = (self.tenants.len() * 2).max(MIN_CLEANUP_THRESHOLD);
        }
        self.tenants.entry((demand.kind(), demand.tenant)).or_default().work.add(work, now);
        size_class
    }

    /// Levels from which resources are scarce, with the shortest objective of the ranks with recent
    /// demand. One for all ranks: otherwise an urgent rank with a short objective would be refused
    /// earlier than a less urgent one with a long one.
    fn limits(&self, demand: &PromptDemand, now: Timestamp) -> ScarcityLimits {
        let kinds = self.kinds.iter().filter(|(_, kind)| kind.work.at(now) >= MIN_DEMAND);
        let objectives = kinds.map(|(kind, _)| kind.objective).chain([demand.objective]);
        let objective = objectives.min().unwrap_or(demand.objective);
        ScarcityLimits { objective, max_gap: demand.max_gap }
    }

    /// Share of the tenant's demand that is admitted, if `admitted_share` of all demand is.
    fn tenant_share(&self, demand: &PromptDemand, admitted_share: f64, now: Timestamp) -> f64 {
        let weight = |rank: u8| RANK_WEIGHT.powi(i32::from(rank));
        let mut ranks: BTreeMap<u8, f64> = BTreeMap::new();
        for (kind, state) in &self.kinds {
            *ranks.entry(kind.rank).or_default() += state.work.at(now);
        }
        let rank_work = ranks.get(&demand.rank).copied().unwrap_or_default();
        let total: f64 = ranks.values().sum();
        let ranks = ranks.into_iter().map(|(rank, work)| Demand { work, weight: weight(rank) });
        let level = fair_level(ranks.collect(), total * admitted_share);
        let rank_share = (level * weight(demand.rank)).min(1.0);

        let of_rank = self.kinds.iter().filter(|(kind, _)| kind.rank == demand.rank);
        let level =
            max_min_level(of_rank.map(|(_, kind)| kind.work.at(now)), rank_work * rank_share);
        let kind_work = self.kinds.get(&demand.kind()).map_or(0.0, |kind| kind.work.at(now));
        let capacity = level.min(kind_work);

        let of_kind = self.tenants.iter().filter(|((kind, _), _)| *kind == demand.kind());
        let works: Vec<f64> = of_kind.map(|(_, tenant)| tenant.work.at(now)).collect();
        // The demands of tenants decay more slowly than that of their kind.
        let capacity = works.iter().sum::<f64>() * capacity / kind_work.max(MIN_DEMAND);
        let level = max_min_level(works.into_iter(), capacity);
        // The prompt counts like a mean one. With its own work, a tenant of few prompts would be
        // above its share whenever it sends a long one.
        let own = self.tenants.get(&(demand.kind(), demand.tenant));
        let own = own.map_or(0.0, |tenant| tenant.work.at(now)) - f64::from(demand.work_tokens);
        let mean = self.kinds.get(&demand.kind()).map_or(0.0, |kind| kind.mean_work(now));
        (level / (own.max(0.0) + mean).max(MIN_DEMAND)).min(1.0)
    }

    /// Credits the prompt's class with `share` of the prompt's work, and takes the work if the
    /// class is entitled to it. Parts of a prompt are rounded at evenly distributed thresholds, so
    /// that classes with few prompts get their share too.
    fn take(
        &mut self,
        demand: &PromptDemand,
        size_class: SizeClass,
        share: f64,
        now: Timestamp,
    ) -> bool {
        let work = f64::from(demand.work_tokens);
        let tenant = self.tenants.entry((demand.kind(), demand.tenant)).or_default();
        let balance = &mut tenant.balances[size_class as usize];
        balance.add(work * share, now);
        let is_entitled = balance.at(now) >= work * self.rounding;
        if is_entitled {
            balance.add(-work, now);
        }
        self.rounding = (self.rounding + ROUNDING_STEP).fract();
        is_entitled
    }

    /// Number of prompts of a rank from which on prompts may be refused.
    pub const MIN_PROMPTS: usize = MIN_SIZES;
}
