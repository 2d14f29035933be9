//! Planning of weight loads, as a pure function of engine views and targets.
//!
//! The first loads fill empty engines with the models farthest below their allocation. The
//! next ones reassign engines of models above their allocation, and the last ones replace
//! outdated weights, while enough engines of each model keep serving. Planned loads take
//! effect only once the log accepts them as orders ([`crate::orders`]), so that a plan made
//! from a stale view can be rejected.

use std::collections::BTreeMap;

use juniper_types::{EngineId, Incarnation, ModelName, WeightsVersion};

use crate::orders::{OrderAction, OrderBook};

/// Weights of an engine according to its latest report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineWeights {
    /// No weights are loaded.
    None,
    /// Weights are loaded and being served.
    Serving(ModelName, WeightsVersion),
    /// Weights are being loaded; the engine serves no requests.
    Loading(ModelName, WeightsVersion),
}

/// Latest view of a reachable engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Id of the engine.
    pub engine: EngineId,
    /// Current incarnation of the engine.
    pub incarnation: Incarnation,
    /// Loaded weights.
    pub weights: EngineWeights,
}

/// Model that should be served.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the model.
    pub model: ModelName,
    /// Target version of the weights.
    pub weights: WeightsVersion,
    /// Demand relative to the other targets.
    pub demand: f64,
}

/// Input of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Reachable engines that aren't departing.
    pub engines: &'a [EngineView],
    /// Models to serve, each listed once.
    pub targets: &'a [Target],
    /// Orders that may be in flight.
    pub orders: &'a OrderBook,
    /// Maximum number of concurrent loads from the weight store.
    pub load_limit: u32,
    /// Minimum share of a model's engines, in percent, that keeps serving while others
    /// load weights.
    pub min_serving_percent: u8,
}

/// Load to be recorded as an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedLoad {
    /// Engine that loads the weights.
    pub engine: EngineId,
    /// Incarnation of the engine for which the load is planned.
    pub incarnation: Incarnation,
    /// Load action.
    pub action: OrderAction,
}

/// Number of engines for a model during planning.
#[derive(Clone, Debug, Default)]
struct EngineCounts {
    /// Engines allocated to the model.
    wanted: usize,
    /// Engines that serve the model, are loading it or have a planned load of it.
    assigned: usize,
    serving: usize,
}

/// Plans the next loads, in descending order of urgency.
pub fn plan(input: PlanInput<'_>) -> Vec<PlannedLoad> {
    let free = (input.load_limit as usize).saturating_sub(input.orders.loads());
    let mut planner = Planner::new(input);
    planner.fill_empty();
    planner.reassign_surplus();
    planner.replace_outdated_weights();
    planner.loads.truncate(free);
    planner.loads
}

struct Planner<'a> {
    input: PlanInput<'a>,
    counts: BTreeMap<&'a ModelName, EngineCounts>,
    loads: Vec<PlannedLoad>,
}

impl<'a> Planner<'a> {
    fn new(input: PlanInput<'a>) -> Self {
        let mut counts: BTreeMap<&ModelName, EngineCounts> = BTreeMap::new();
        let wanted = allocate_engines(input.engines.len(), input.targets);
        for (target, wanted) in input.targets.iter().zip(wanted) {
            counts.entry(&target.model).or_default().wanted = wanted;
        }
        let mut planner = Planner { input, counts, loads: Vec::new() };
        input.engines.iter().for_each(|view| planner.count(view));
        planner
    }

    /// Counts an engine for the model that it has after completion of any order in flight.
    fn count(&mut self, view: &'a EngineView) {
        let ordered = self.input.orders.active(view.engine);
        let ordered = ordered.filter(|order| order.incarnation == view.incarnation);
        let (model, serves) = match (ordered.map(|order| &order.action), &view.weights) {
            (Some(OrderAction::LoadModel { model, .. }), _) => (model, false),
            (_, EngineWeights::Serving(model, _)) => (model, true),
            (_, EngineWeights::Loading(model, _)) => (model, false),
            (_, EngineWeights::None) => return,
        };
        let count = self.counts.entry(model).or_default();
        count.assigned += 1;
        count.serving += usize::from(serves);
    }

    /// Engines without an order in flight.
    fn idle_engines(&self) -> impl Iterator<Item = &'a EngineView> + use<'a> {
        let orders = self.input.orders;
        self.input.engines.iter().filter(move |view| orders.active(view.engine).is_none())
    }

    /// Target with the largest relative shortfall of engines, if any has a shortfall.
    fn most_underserved_target(&self) -> Option<&'a Target> {
        let shortfall_permille = |target: &&Target| {
            let count = &self.counts[&target.model];
            count.wanted.saturating_sub(count.assigned) * 1_000 / count.wanted.max(1)
        };
        self.input
            .targets
            .iter()
            .filter(|target| shortfall_permille(target) > 0)
            .max_by_key(shortfall_permille)
    }

    fn plan_load(&mut self, view: &EngineView, target: &'a Target) {
        self.counts.entry(&target.model).or_default().assigned += 1;
        let (model, weights) = (target.model.clone(), target.weights);
        self.loads.push(PlannedLoad {
            engine: view.engine,
            incarnation: view.incarnation,
            action: OrderAction::LoadModel { model, weights },
        });
    }

    fn fill_empty(&mut self) {
        for view in self.idle_engines().filter(|view| view.weights == EngineWeights::None) {
            let Some(target) = self.most_underserved_target() else { return };
            self.plan_load(view, target);
        }
    }

    fn reassign_surplus(&mut self) {
        for view in self.idle_engines() {
            let EngineWeights::Serving(model, _) = &view.weights else { continue };
            let has_surplus = self.counts.get(model).is_some_and(|c| c.assigned > c.wanted);
            if !has_surplus || !self.may_stop_serving(model) {
                continue;
            }
            let Some(target) = self.most_underserved_target() else { return };
            self.stop_serving(model);
            if let Some(count) = self.counts.get_mut(model) {
                count.assigned -= 1;
            }
            self.plan_load(view, target);
        }
    }

    fn replace_outdated_weights(&mut self) {
        for view in self.idle_engines() {
            let EngineWeights::Serving(model, weights) = &view.weights else { continue };
            let target = self.input.targets.iter().find(|target| target.model == *model);
            let Some(target) = target.filter(|target| target.weights != *weights) else { continue };
            let planned = self.loads.iter().any(|load| load.engine == view.engine);
            if planned || !self.may_stop_serving(model) {
                continue;
            }
            self.stop_serving(model);
            if let Some(count) = self.counts.get_mut(model) {
                count.assigned -= 1;
            }
            self.plan_load(view, target);
        }
    }

    /// Whether one more engine may stop serving `model`. The required number of engines is at
    /// most one less than the allocation, so that a single engine can be updated.
    fn may_stop_serving(&self, model: &ModelName) -> bool {
        let Some(count) = self.counts.get(model) else { return true };
        let percent = usize::from(self.input.min_serving_percent);
        let required = (count.wanted * percent).div_ceil(100).min(count.wanted.saturating_sub(1));
        count.serving > required
    }

    fn stop_serving(&mut self, model: &ModelName) {
        if let Some(count) = self.counts.get_mut(model) {
            count.serving -= 1;
        }
    }
}

/// Allocates engines to the targets in proportion to their demand, rounded with the largest
/// remainder method. Every target with demand gets at least one engine if there are enough.
fn allocate_engines(engines: usize, targets: &[Target]) -> Vec<usize> {
    let demand: Vec<f64> = targets.iter().map(|target| target.demand.max(0.0)).collect();
    let total: f64 = demand.iter().sum();
    if total <= 0.0 {
        return vec![0; targets.len()];
    }
    let exact: Vec<f64> = demand.iter().map(|d| d / total * engines as f64).collect();
    let at_least = |share: &f64| usize::from(*share > 0.0).max(*share as usize);
    let mut shares: Vec<usize> = exact.iter().map(at_least).collect();
    let distance = |at: usize, shares: &[usize]| exact[at] - shares[at] as f64;
    while shares.iter().sum::<usize>() < engines {
        let most = |a: &usize, b: &usize| distance(*a, &shares).total_cmp(&distance(*b, &shares));
        let Some(at) = (0..shares.len()).filter(|at| exact[*at] > 0.0).max_by(most) else { break };
        shares[at] += 1;
    }
    while shares.iter().sum::<usize>() > engines {
        let least = |a: &usize, b: &usize| distance(*a, &shares).total_cmp(&distance(*b, &shares));
        let Some(at) = (0..shares.len()).filter(|at| shares[*at] > 0).min_by(least) else { break };
        shares[at] -= 1;
    }
    shares
}
