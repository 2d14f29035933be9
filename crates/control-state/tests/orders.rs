//! Orders under crashes, delayed and duplicate delivery, and leaders with stale views: the
//! load limit holds at every step, and the fleet converges to the targets.

use std::collections::BTreeMap;

use juniper_control_state::orders::{EndProof, OrderAction, OrderAnswer};
use juniper_control_state::plan::{EngineView, EngineWeights, PlanInput, Target, plan};
use juniper_control_state::{Answer, Command, ControlState};
use juniper_types::{EngineId, Incarnation, ModelName, WeightsVersion};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const CASES: u64 = 1_500;
const ENGINES: u32 = 6;
/// Default load limit of an empty settings tree.
const LOAD_LIMIT: u32 = 2;
const MIN_SERVING_PERCENT: u8 = 50;

fn model(name: &str) -> ModelName {
    ModelName::new(name).unwrap()
}

fn targets(version: u32) -> Vec<Target> {
    let target =
        |name, demand| Target { model: model(name), weights: WeightsVersion(version), demand };
    vec![target("large", 2.0), target("small", 1.0)]
}

/// Simulated engine.
#[derive(Clone, Debug)]
struct Engine {
    view: EngineView,
    /// Highest accepted token, which survives crashes.
    latest_token: u64,
}

/// Recorded order, which may be delivered at any time and repeatedly.
#[derive(Clone, Debug)]
struct RecordedOrder {
    engine: EngineId,
    token: u64,
    incarnation: Incarnation,
    action: OrderAction,
}

struct World {
    state: ControlState,
    index: u64,
    engines: BTreeMap<EngineId, Engine>,
    recorded_orders: Vec<RecordedOrder>,
    /// Views of the engines, for each of two leaders.
    views: [Vec<EngineView>; 2],
    targets: Vec<Target>,
}

impl World {
    fn new() -> Self {
        let engine = |number| {
            let (engine, incarnation) = (EngineId(number), Incarnation(1));
            let view = EngineView { engine, incarnation, weights: EngineWeights::None };
            (engine, Engine { view, latest_token: 0 })
        };
        World {
            state: ControlState::default(),
            index: 0,
            engines: (1..=ENGINES).map(engine).collect(),
            recorded_orders: Vec::new(),
            views: [Vec::new(), Vec::new()],
            targets: targets(1),
        }
    }

    fn commit(&mut self, command: Command) -> OrderAnswer {
        self.index += 1;
        match self.state.apply(self.index, command) {
            Answer::Order(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    fn observe(&mut self, leader: usize) {
        self.views[leader] = self.engines.values().map(|engine| engine.view.clone()).collect();
    }

    /// Records the orders that a leader plans from its view.
    fn record(&mut self, leader: usize) {
        let loads = plan(PlanInput {
            engines: &self.views[leader],
            targets: &self.targets,
            orders: self.state.orders(),
            load_limit: LOAD_LIMIT,
            min_serving_percent: MIN_SERVING_PERCENT,
        });
        for load in loads {
            let (engine, incarnation, action) = (load.engine, load.incarnation, load.action);
            let command = Command::BeginOrder { engine, incarnation, action: action.clone() };
            if let OrderAnswer::Recorded(token) = self.commit(command) {
                self.recorded_orders.push(RecordedOrder { engine, token, incarnation, action });
            }
        }
    }

    fn deliver(&mut self, number: usize) {
        let Some(order) = self.recorded_orders.get(number).cloned() else { return };
        let engine = self.engines.get_mut(&order.engine).unwrap();
        let is_rejected =
            engine.view.incarnation != order.incarnation || order.token <= engine.latest_token;
        if is_rejected {
            return;
        }
        engine.latest_token = order.token;
        let OrderAction::LoadModel { model, weights } = order.action else { return };
        engine.view.weights = EngineWeights::Loading(model, weights);
    }

    fn finish_load(&mut self, engine: EngineId) {
        let engine = self.engines.get_mut(&engine).unwrap();
        if let EngineWeights::Loading(model, weights) = engine.view.weights.clone() {
            engine.view.weights = EngineWeights::Serving(model, weights);
        }
    }

    fn crash(&mut self, engine: EngineId) {
        let engine = self.engines.get_mut(&engine).unwrap();
        engine.view.incarnation.0 += 1;
        engine.view.weights = EngineWeights::None;
    }

    /// Records the end of every order that has provably ended.
    fn end_orders(&mut self) {
        let orders: Vec<_> = self.state.orders().orders().map(|(e, o)| (e, o.clone())).collect();
        for (id, order) in orders {
            let engine = &self.engines[&id];
            let loading = matches!(engine.view.weights, EngineWeights::Loading(..));
            let proof = if engine.view.incarnation != order.incarnation {
                EndProof::NewIncarnation
            } else if engine.latest_token >= order.token && !loading {
                EndProof::Done
            } else {
                continue;
            };
            self.commit(Command::EndOrder { engine: id, token: order.token, proof });
        }
    }

    fn loading(&self) -> usize {
        let is_loading =
            |engine: &&Engine| matches!(engine.view.weights, EngineWeights::Loading(..));
        self.engines.values().filter(is_loading).count()
    }

    fn serving(&self, target: &Target) -> usize {
        let weights = EngineWeights::Serving(target.model.clone(), target.weights);
        self.engines.values().filter(|engine| engine.view.weights == weights).count()
    }

    fn serving_any_version(&self, name: &str) -> usize {
        let serves = |engine: &&Engine| matches!(&engine.view.weights, EngineWeights::Serving(model, _) if *model == crate::model(name));
        self.engines.values().filter(serves).count()
    }

    /// Runs rounds of planning, delivery and completion until the fleet has converged.
    fn converge(&mut self, mut after_each: impl FnMut(&World)) {
        for _ in 0..60 {
            self.observe(0);
            self.record(0);
            for number in 0..self.recorded_orders.len() {
                self.deliver(number);
            }
            after_each(self);
            for number in 1..=ENGINES {
                self.finish_load(EngineId(number));
            }
            self.end_orders();
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Observe(usize),
    Record(usize),
    Deliver(usize),
    Finish(EngineId),
    Crash(EngineId),
    End,
    NewWeights(u32),
}

impl Arbitrary for Step {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let number = usize::from(u8::arbitrary(gen_));
        let engine = EngineId(number as u32 % ENGINES + 1);
        match u8::arbitrary(gen_) % 12 {
            0..=1 => Step::Observe(number % 2),
            2..=3 => Step::Record(number % 2),
            4..=6 => Step::Deliver(number % 40),
            7..=8 => Step::Finish(engine),
            9 => Step::Crash(engine),
            10 => Step::End,
            _ => Step::NewWeights(number as u32 % 3 + 1),
        }
    }
}

fn limit_holds_and_the_fleet_converges(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    for step in steps {
        match step {
            Step::Observe(leader) => world.observe(leader),
            Step::Record(leader) => world.record(leader),
            Step::Deliver(number) => world.deliver(number),
            Step::Finish(engine) => world.finish_load(engine),
            Step::Crash(engine) => world.crash(engine),
            Step::End => world.end_orders(),
            Step::NewWeights(version) => world.targets = targets(version),
        }
        if world.loading() > LOAD_LIMIT as usize {
            return false;
        }
    }
    world.converge(|_| {});
    let targets = world.targets.clone();
    let restored = ControlState::from_snapshot(&world.state.to_snapshot()).unwrap();
    restored == world.state && (world.serving(&targets[0]), world.serving(&targets[1])) == (4, 2)
}

#[test]
fn the_load_limit_holds_and_the_fleet_converges() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 0x0de5))
        .tests(CASES)
        .quickcheck(limit_holds_and_the_fleet_converges as fn(Vec<Step>) -> bool);
}

#[test]
fn a_rollout_of_new_weights_keeps_half_of_each_model_serving() {
    let mut world = World::new();
    world.converge(|_| {});
    world.targets = targets(2);
    world.converge(|world| {
        assert!(world.serving_any_version("large") >= 2);
        assert!(world.serving_any_version("small") >= 1);
    });
    let targets = targets(2);
    assert_eq!((world.serving(&targets[0]), world.serving(&targets[1])), (4, 2));
}

#[test]
fn empty_engines_are_planned_first() {
    let mut world = World::new();
    world.converge(|_| {});
    world.targets = targets(2);
    world.crash(EngineId(5));
    world.observe(0);
    let loads = plan(PlanInput {
        engines: &world.views[0],
        targets: &world.targets,
        orders: world.state.orders(),
        load_limit: LOAD_LIMIT,
        min_serving_percent: MIN_SERVING_PERCENT,
    });
    assert_eq!((loads[0].engine, loads.len()), (EngineId(5), LOAD_LIMIT as usize));
}

#[test]
fn a_repeated_recording_keeps_its_token_and_tokens_increase() {
    let mut world = World::new();
    let load = |version| OrderAction::LoadModel {
        model: model("large"),
        weights: WeightsVersion(version),
    };
    let begin = |engine, version| Command::BeginOrder {
        engine: EngineId(engine),
        incarnation: Incarnation(1),
        action: load(version),
    };
    assert_eq!(world.commit(begin(1, 1)), OrderAnswer::Recorded(1));
    assert_eq!(world.commit(begin(1, 1)), OrderAnswer::Recorded(1));
    assert_eq!(world.commit(begin(1, 2)), OrderAnswer::Busy(1));
    assert_eq!(world.commit(begin(2, 1)), OrderAnswer::Recorded(2));
    assert_eq!(world.commit(begin(3, 1)), OrderAnswer::LimitReached);
    let end = |token| Command::EndOrder { engine: EngineId(1), token, proof: EndProof::Done };
    assert_eq!(world.commit(end(1)), OrderAnswer::Ended);
    assert_eq!(world.commit(begin(1, 2)), OrderAnswer::Recorded(3));
    assert_eq!(world.commit(end(1)), OrderAnswer::Busy(3));
}
