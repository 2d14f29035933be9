//! Plans which engine loads which weights next. Pure: views and targets in, loads out.
//!
//! What restores service fastest comes first: empty engines take the model that
//! lacks most of its share. Then engines move from models with too many to
//! models with too few, and last engines with older weights take the new ones, a
//! few at a time, so that enough of each model keeps serving. The plan is only a
//! wish: the log decides ([`crate::orders`]), and a plan made from an old view
//! can at worst be refused.

use std::collections::BTreeMap;

use juniper_types::{EngineId, Incarnation, ModelName, WeightsVersion};

use crate::orders::{OrderAction, OrderBook};

/// What an engine holds, as it said last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Holding {
    /// Nothing: it has just started.
    Nothing,
    /// Weights that serve.
    Serving(ModelName, WeightsVersion),
    /// Weights that are being loaded; nothing serves.
    Loading(ModelName, WeightsVersion),
}

/// An engine that answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Which one.
    pub engine: EngineId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// What it holds.
    pub holding: Holding,
}

/// A model that should be served.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The model.
    pub model: ModelName,
    /// Version of its weights.
    pub weights: WeightsVersion,
    /// Its share of the demand, relative to the other targets.
    pub demand: f64,
}

/// Everything that a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// Engines that answer and aren't leaving.
    pub engines: &'a [EngineView],
    /// Models to serve, each once.
    pub targets: &'a [Target],
    /// Orders that may be under way.
    pub orders: &'a OrderBook,
    /// Loads that the weight store takes at once.
    pub load_limit: u32,
    /// Share of a model's engines, in percent, that keeps serving while others
    /// take new weights.
    pub min_serving_percent: u8,
}

/// A load to record and then to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedLoad {
    /// The engine.
    pub engine: EngineId,
    /// The life of it that was seen.
    pub incarnation: Incarnation,
    /// What to load.
    pub action: OrderAction,
}

/// Engines of one model while a plan is made.
#[derive(Clone, Debug, Default)]
struct Count {
    wanted: usize,
    /// Engines that hold it, are loading it or are planned to.
    assigned: usize,
    serving: usize,
}

/// The loads to order next, the most urgent first.
pub fn plan(situation: Situation<'_>) -> Vec<PlannedLoad> {
    let free = (situation.load_limit as usize).saturating_sub(situation.orders.loads());
    let mut planner = Planner::new(situation);
    planner.fill_empty();
    planner.move_surplus();
    planner.renew_weights();
    planner.loads.truncate(free);
    planner.loads
}

struct Planner<'a> {
    situation: Situation<'a>,
    counts: BTreeMap<&'a ModelName, Count>,
    loads: Vec<PlannedLoad>,
}

impl<'a> Planner<'a> {
    fn new(situation: Situation<'a>) -> Self {
        let mut counts: BTreeMap<&ModelName, Count> = BTreeMap::new();
        let wanted = share_out(situation.engines.len(), situation.targets);
        for (target, wanted) in situation.targets.iter().zip(wanted) {
            counts.entry(&target.model).or_default().wanted = wanted;
        }
        let mut planner = Planner { situation, counts, loads: Vec::new() };
        situation.engines.iter().for_each(|view| planner.count(view));
        planner
    }

    /// Counts what an engine will hold once the order to it is done.
    fn count(&mut self, view: &'a EngineView) {
        let ordered = self.situation.orders.active(view.engine);
        let ordered = ordered.filter(|order| order.incarnation == view.incarnation);
        let (model, serves) = match (ordered.map(|order| &order.action), &view.holding) {
            (Some(OrderAction::LoadModel { model, .. }), _) => (model, false),
            (_, Holding::Serving(model, _)) => (model, true),
            (_, Holding::Loading(model, _)) => (model, false),
            (_, Holding::Nothing) => return,
        };
        let count = self.counts.entry(model).or_default();
        count.assigned += 1;
        count.serving += usize::from(serves);
    }

    /// Engines that no order is under way to, with what they hold.
    fn idle(&self) -> impl Iterator<Item = &'a EngineView> + use<'a> {
        let orders = self.situation.orders;
        self.situation.engines.iter().filter(move |view| orders.active(view.engine).is_none())
    }

    /// The target that lacks most of its share, if one lacks any.
    fn neediest(&self) -> Option<&'a Target> {
        let lack = |target: &&Target| {
            let count = &self.counts[&target.model];
            count.wanted.saturating_sub(count.assigned) * 1_000 / count.wanted.max(1)
        };
        self.situation.targets.iter().filter(|target| lack(target) > 0).max_by_key(lack)
    }

    fn order(&mut self, view: &EngineView, target: &'a Target) {
        self.counts.entry(&target.model).or_default().assigned += 1;
        let (model, weights) = (target.model.clone(), target.weights);
        self.loads.push(PlannedLoad {
            engine: view.engine,
            incarnation: view.incarnation,
            action: OrderAction::LoadModel { model, weights },
        });
    }

    fn fill_empty(&mut self) {
        for view in self.idle().filter(|view| view.holding == Holding::Nothing) {
            let Some(target) = self.neediest() else { return };
            self.order(view, target);
        }
    }

    fn move_surplus(&mut self) {
        for view in self.idle() {
            let Holding::Serving(model, _) = &view.holding else { continue };
            let has_surplus = self.counts.get(model).is_some_and(|c| c.assigned > c.wanted);
            if !has_surplus || !self.may_stop_serving(model) {
                continue;
            }
            let Some(target) = self.neediest() else { return };
            self.stop_serving(model);
            if let Some(count) = self.counts.get_mut(model) {
                count.assigned -= 1;
            }
            self.order(view, target);
        }
    }

    fn renew_weights(&mut self) {
        for view in self.idle() {
            let Holding::Serving(model, weights) = &view.holding else { continue };
            let target = self.situation.targets.iter().find(|target| target.model == *model);
            let Some(target) = target.filter(|target| target.weights != *weights) else { continue };
            let planned = self.loads.iter().any(|load| load.engine == view.engine);
            if planned || !self.may_stop_serving(model) {
                continue;
            }
            self.stop_serving(model);
            if let Some(count) = self.counts.get_mut(model) {
                count.assigned -= 1;
            }
            self.order(view, target);
        }
    }

    /// Whether one engine less may serve `model` for a while. A model that is not
    /// wanted needs none; a single engine must stop to change at all.
    fn may_stop_serving(&self, model: &ModelName) -> bool {
        let Some(count) = self.counts.get(model) else { return true };
        let share = usize::from(self.situation.min_serving_percent);
        let needed = (count.wanted * share).div_ceil(100).min(count.wanted.saturating_sub(1));
        count.serving > needed
    }

    fn stop_serving(&mut self, model: &ModelName) {
        if let Some(count) = self.counts.get_mut(model) {
            count.serving -= 1;
        }
    }
}

/// Engines for each target: by demand, rounded by the largest remainder, and one
/// for each target with any demand while there are enough.
fn share_out(engines: usize, targets: &[Target]) -> Vec<usize> {
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
