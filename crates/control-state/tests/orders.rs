//! Orders under crashes, late and repeated delivery and leaders with old views: the
//! limit on loads holds at every step, and the fleet ends up as the targets ask.

use std::collections::BTreeMap;

use juniper_control_state::orders::{EndProof, OrderAction, OrderAnswer};
use juniper_control_state::plan::{EngineView, Holding, Situation, Target, plan};
use juniper_control_state::{Answer, Command, ControlState};
use juniper_types::{EngineId, Incarnation, ModelName, WeightsVersion};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const CASES: u64 = 1_500;
const ENGINES: u32 = 6;
/// The limit that an empty tree sets.
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

/// An engine as far as orders concern it. Its newest token outlives its crashes.
#[derive(Clone, Debug)]
struct Engine {
    view: EngineView,
    newest: u64,
}

/// A recorded order, which may be delivered at any time and any number of times.
#[derive(Clone, Debug)]
struct Letter {
    engine: EngineId,
    token: u64,
    incarnation: Incarnation,
    action: OrderAction,
}

struct World {
    state: ControlState,
    index: u64,
    engines: BTreeMap<EngineId, Engine>,
    letters: Vec<Letter>,
    /// What each of two leaders believes.
    views: [Vec<EngineView>; 2],
    targets: Vec<Target>,
}

impl World {
    fn new() -> Self {
        let engine = |number| {
            let (engine, incarnation) = (EngineId(number), Incarnation(1));
            let view = EngineView { engine, incarnation, holding: Holding::Nothing };
            (engine, Engine { view, newest: 0 })
        };
        World {
            state: ControlState::default(),
            index: 0,
            engines: (1..=ENGINES).map(engine).collect(),
            letters: Vec::new(),
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

    /// A leader plans from what it believes and records its orders.
    fn record(&mut self, leader: usize) {
        let loads = plan(Situation {
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
                self.letters.push(Letter { engine, token, incarnation, action });
            }
        }
    }

    fn deliver(&mut self, letter: usize) {
        let Some(letter) = self.letters.get(letter).cloned() else { return };
        let engine = self.engines.get_mut(&letter.engine).unwrap();
        let is_refused =
            engine.view.incarnation != letter.incarnation || letter.token <= engine.newest;
        if is_refused {
            return;
        }
        engine.newest = letter.token;
        let OrderAction::LoadModel { model, weights } = letter.action else { return };
        engine.view.holding = Holding::Loading(model, weights);
    }

    fn finish_load(&mut self, engine: EngineId) {
        let engine = self.engines.get_mut(&engine).unwrap();
        if let Holding::Loading(model, weights) = engine.view.holding.clone() {
            engine.view.holding = Holding::Serving(model, weights);
        }
    }

    fn crash(&mut self, engine: EngineId) {
        let engine = self.engines.get_mut(&engine).unwrap();
        engine.view.incarnation.0 += 1;
        engine.view.holding = Holding::Nothing;
    }

    /// Records the end of every order that the engines' answers prove to be over.
    fn end_orders(&mut self) {
        let orders: Vec<_> = self.state.orders().orders().map(|(e, o)| (e, o.clone())).collect();
        for (id, order) in orders {
            let engine = &self.engines[&id];
            let loading = matches!(engine.view.holding, Holding::Loading(..));
            let proof = if engine.view.incarnation != order.incarnation {
                EndProof::NewLife
            } else if engine.newest >= order.token && !loading {
                EndProof::Done
            } else {
                continue;
            };
            self.commit(Command::EndOrder { engine: id, token: order.token, proof });
        }
    }

    fn loading(&self) -> usize {
        let is_loading = |engine: &&Engine| matches!(engine.view.holding, Holding::Loading(..));
        self.engines.values().filter(is_loading).count()
    }

    fn serving(&self, wanted: &Target) -> usize {
        let holds = Holding::Serving(wanted.model.clone(), wanted.weights);
        self.engines.values().filter(|engine| engine.view.holding == holds).count()
    }

    fn serving_any_version(&self, name: &str) -> usize {
        let serves = |engine: &&Engine| matches!(&engine.view.holding, Holding::Serving(model, _) if *model == crate::model(name));
        self.engines.values().filter(serves).count()
    }

    /// Lets everything happen in turn until nothing changes any more.
    fn settle(&mut self, mut after_each: impl FnMut(&World)) {
        for _ in 0..60 {
            self.observe(0);
            self.record(0);
            for letter in 0..self.letters.len() {
                self.deliver(letter);
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

fn limit_holds_and_the_fleet_settles(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    for step in steps {
        match step {
            Step::Observe(leader) => world.observe(leader),
            Step::Record(leader) => world.record(leader),
            Step::Deliver(letter) => world.deliver(letter),
            Step::Finish(engine) => world.finish_load(engine),
            Step::Crash(engine) => world.crash(engine),
            Step::End => world.end_orders(),
            Step::NewWeights(version) => world.targets = targets(version),
        }
        if world.loading() > LOAD_LIMIT as usize {
            return false;
        }
    }
    world.settle(|_| {});
    let last = world.targets.clone();
    let restored = ControlState::from_snapshot(&world.state.to_snapshot()).unwrap();
    restored == world.state && (world.serving(&last[0]), world.serving(&last[1])) == (4, 2)
}

#[test]
fn the_limit_on_loads_holds_and_the_fleet_settles_whatever_happens() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 0x0de5))
        .tests(CASES)
        .quickcheck(limit_holds_and_the_fleet_settles as fn(Vec<Step>) -> bool);
}

#[test]
fn a_rolling_change_of_weights_keeps_half_of_each_model_serving() {
    let mut world = World::new();
    world.settle(|_| {});
    world.targets = targets(2);
    world.settle(|world| {
        assert!(world.serving_any_version("large") >= 2);
        assert!(world.serving_any_version("small") >= 1);
    });
    let wanted = targets(2);
    assert_eq!((world.serving(&wanted[0]), world.serving(&wanted[1])), (4, 2));
}

#[test]
fn empty_engines_come_before_moves_and_newer_weights() {
    let mut world = World::new();
    world.settle(|_| {});
    world.targets = targets(2);
    world.crash(EngineId(5));
    world.observe(0);
    let loads = plan(Situation {
        engines: &world.views[0],
        targets: &world.targets,
        orders: world.state.orders(),
        load_limit: LOAD_LIMIT,
        min_serving_percent: MIN_SERVING_PERCENT,
    });
    assert_eq!((loads[0].engine, loads.len()), (EngineId(5), LOAD_LIMIT as usize));
}

#[test]
fn a_resent_record_keeps_its_token_and_tokens_grow() {
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
