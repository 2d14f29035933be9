//! Engines, routers, callers and faults of one run.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use juniper_emulators::engine::{Engine, EngineConfig, EngineRequest, EventFaults, Output};
use juniper_routing::ServingKey;
use juniper_types::{
    BlockHash, CacheScope, Incarnation, ModelName, NameError, RequestId, TenantName, Timestamp,
    WeightsVersion, ZoneName,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::router::Router;
use super::{Focus, PlantedFault};

const ENGINES: usize = 4;
const ROUTERS: usize = 2;
const STEP: Duration = Duration::from_millis(10);

/// Steps with traffic and faults, then without, until everything has settled:
/// longer than the life of a prediction and of every delay.
const BUSY_STEPS: u64 = 1_500;
const QUIET_STEPS: u64 = 800;

/// Small caches, so that evictions are frequent.
const CACHE_BLOCKS: u32 = 96;
const PREFIX_BLOCKS: usize = 12;
const OWN_BLOCKS: usize = 3;
const PREFIXES: u64 = 12;

/// Time that an engine stays down, and that a leaving one has left.
const DOWN_STEPS: u64 = 60;
const LEAVING_STEPS: u64 = 500;

/// Age of the platform's list: beyond the time allowed for a drain, so that
/// only the engine's own word is in time.
const PLATFORM_LAG_STEPS: u64 = 300;

/// Chances in a step, or of a poll.
const REQUEST_CHANCE: f64 = 0.5;
const CRASH_CHANCE: f64 = 0.002;
const RESTART_CHANCE: f64 = 0.002;
const LOST_POLL_CHANCE: f64 = 0.1;

/// Steps between polls of events and of load.
const EVENT_POLL_STEPS: u64 = 5;
const LOAD_POLL_STEPS: u64 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineState {
    Up,
    Down { until: u64 },
    Leaving { since: u64 },
}

pub(super) struct Fleet {
    planted: Option<PlantedFault>,
    focus: Focus,
    random: ChaCha8Rng,
    zone: ZoneName,
    serving: ServingKey,
    tenants: [TenantName; 2],
    engines: Vec<Engine>,
    states: Vec<EngineState>,
    routers: Vec<Router>,
    in_flight: HashMap<RequestId, usize>,
    chains: Vec<Arc<[BlockHash]>>,
    requests: u64,
    lives: u64,
    step: u64,
    trace: Vec<String>,
}

impl Fleet {
    pub(super) fn new(
        seed: u64,
        focus: Focus,
        planted: Option<PlantedFault>,
    ) -> Result<Self, NameError> {
        let model = ModelName::new("base")?;
        let weights = WeightsVersion(1);
        let zone = ZoneName::new("zone-1")?;
        let engines = (0..ENGINES as u64)
            .map(|engine| {
                let config = EngineConfig {
                    cache_blocks: CACHE_BLOCKS,
                    report_every_token: false,
                    events: EventFaults { loss: 0.02, ..EventFaults::default() },
                    ..EngineConfig::reference(model.clone(), weights, seed ^ engine)
                };
                Engine::new(config, Incarnation(engine + 1), Timestamp::ZERO)
            })
            .collect();
        let routers = (0..ROUTERS).map(|_| Router::new(ENGINES, &zone, planted)).collect();
        Ok(Fleet {
            planted,
            focus,
            random: ChaCha8Rng::seed_from_u64(seed),
            serving: ServingKey { model, adapter: None, weights },
            zone,
            tenants: [TenantName::new("tenant-1")?, TenantName::new("tenant-2")?],
            engines,
            states: vec![EngineState::Up; ENGINES],
            routers,
            in_flight: HashMap::new(),
            chains: Vec::new(),
            requests: 0,
            lives: ENGINES as u64,
            step: 0,
            trace: Vec::new(),
        })
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(STEP * self.step as u32)
    }

    pub(super) fn run(&mut self) {
        for step in 0..BUSY_STEPS + QUIET_STEPS {
            self.step = step;
            let busy = step < BUSY_STEPS;
            if busy {
                self.draw_faults();
            }
            self.advance_engines();
            self.poll(busy);
            if busy && self.random.random_bool(REQUEST_CHANCE) {
                self.request();
            }
        }
    }

    fn note(&mut self, event: std::fmt::Arguments<'_>) {
        self.trace.push(format!("at_ms={} {event}", self.now().as_millis()));
    }

    fn draw_faults(&mut self) {
        let engine = self.random.random_range(0..ENGINES);
        if self.states[engine] == EngineState::Up && self.random.random_bool(CRASH_CHANCE) {
            match self.focus {
                Focus::Routing => self.crash(engine),
                Focus::Drain => self.leave(engine),
            }
        }
        if self.random.random_bool(RESTART_CHANCE) {
            let router = self.random.random_range(0..ROUTERS);
            self.restart(router);
            self.note(format_args!("event=router_restart router={router}"));
        }
    }

    /// A router that starts reads the platform's list and every engine's load at
    /// once, as its feeds do.
    fn restart(&mut self, router: usize) {
        let now = self.now();
        self.routers[router] = Router::new(ENGINES, &self.zone, self.planted);
        for (position, engine) in self.engines.iter().enumerate() {
            let listed = matches!(self.states[position], EngineState::Leaving { since }
                if since + PLATFORM_LAG_STEPS <= self.step);
            self.routers[router].platform_says(position, listed);
            if !self.random.random_bool(LOST_POLL_CHANCE) {
                self.routers[router].poll_load(position, engine, now);
            }
        }
    }

    fn crash(&mut self, engine: usize) {
        let now = self.now();
        self.engines[engine].crash(now);
        self.states[engine] = EngineState::Down { until: self.step + DOWN_STEPS };
        self.note(format_args!("event=engine_crash engine={engine}"));
    }

    fn leave(&mut self, engine: usize) {
        let now = self.now();
        self.engines[engine].leave(now);
        self.states[engine] = EngineState::Leaving { since: self.step };
        self.note(format_args!("event=engine_leaves engine={engine}"));
    }

    /// The engine is back, or has been replaced, with an empty cache.
    fn start(&mut self, engine: usize) {
        let now = self.now();
        self.lives += 1;
        self.engines[engine].start(Incarnation(self.lives), now);
        self.states[engine] = EngineState::Up;
        for router in &mut self.routers {
            router.platform_says(engine, false);
        }
        self.note(format_args!("event=engine_start engine={engine}"));
    }

    fn advance_engines(&mut self) {
        let now = self.now();
        for engine in 0..ENGINES {
            match self.states[engine] {
                EngineState::Down { until } if until <= self.step => self.start(engine),
                EngineState::Leaving { since } if since + LEAVING_STEPS <= self.step => {
                    self.crash(engine);
                }
                EngineState::Leaving { since } if since + PLATFORM_LAG_STEPS == self.step => {
                    self.routers.iter_mut().for_each(|router| router.platform_says(engine, true));
                }
                _ => {}
            }
            for output in self.engines[engine].advance(now) {
                self.take_output(engine, &output, now);
            }
        }
    }

    fn take_output(&mut self, engine: usize, output: &Output, now: Timestamp) {
        if let Output::LoadNeeded { load, .. } = output {
            self.engines[engine].complete_load(load, now);
            return;
        }
        let Some(id) = output.request() else {
            return;
        };
        let Some(router) = self.in_flight.get(&id).copied() else {
            return;
        };
        match output {
            Output::FirstToken { .. } => self.routers[router].first_token(engine, id, now),
            Output::Finished { .. } | Output::Dropped { .. } => {
                self.in_flight.remove(&id);
                self.routers[router].finished(engine, id, now);
            }
            _ => {}
        }
    }

    fn poll(&mut self, may_fail: bool) {
        let now = self.now();
        for (number, router) in self.routers.iter_mut().enumerate() {
            for (position, engine) in self.engines.iter().enumerate() {
                let turn = self.step + (number * ENGINES + position) as u64;
                let lost = may_fail && self.random.random_bool(LOST_POLL_CHANCE);
                if turn.is_multiple_of(LOAD_POLL_STEPS) && !lost {
                    router.poll_load(position, engine, now);
                }
                if turn.is_multiple_of(EVENT_POLL_STEPS) && !lost {
                    router.poll_events(position, engine, now);
                }
            }
        }
    }

    /// A prompt: every tenant uses the same words.
    fn chain(&self, scope: &CacheScope, prefix: u64) -> Arc<[BlockHash]> {
        let seed = match self.planted {
            Some(PlantedFault::TenantLeftOut) => {
                CacheScope { tenant: self.tenants[0].clone(), ..scope.clone() }.seed()
            }
            _ => scope.seed(),
        };
        let mut previous = seed;
        (0..PREFIX_BLOCKS + OWN_BLOCKS)
            .map(|depth| {
                let word = if depth < PREFIX_BLOCKS { prefix } else { self.requests + PREFIXES };
                previous = previous.next(&word.to_be_bytes());
                previous
            })
            .collect()
    }

    fn request(&mut self) {
        let now = self.now();
        self.requests += 1;
        let tenant = self.tenants[self.random.random_range(0..2)].clone();
        let scope = CacheScope {
            tenant: tenant.clone(),
            model: self.serving.model.clone(),
            adapter: None,
            weights: self.serving.weights,
        };
        let prefix = self.random.random_range(0..PREFIXES);
        let blocks = self.chain(&scope, prefix);
        self.chains.push(blocks.clone());
        let mut request = EngineRequest {
            id: RequestId(u128::from(self.requests)),
            scope,
            owner: tenant,
            prompt_tokens: blocks.len() as u32 * juniper_types::BLOCK_TOKENS + 1,
            blocks,
            output_tokens: 4,
            resume_from: 0,
            priority: 5,
            deadline: Some(now.after(Duration::from_secs(30))),
            incarnation: None,
            expected_blocks: 0,
        };
        let id = request.id;
        let number = self.random.random_range(0..ROUTERS);
        let router = &mut self.routers[number];
        let Some(decision) = router.route(&mut request, &self.serving, now, &mut self.random)
        else {
            return;
        };
        let engine = decision.engine.0 as usize;
        let taken = self.engines[engine].submit(request, now);
        match &taken {
            Ok(()) => {
                self.in_flight.insert(id, number);
            }
            Err(_) => self.routers[number].finished(engine, id, now),
        }
        let outcome = taken.map_or_else(|refusal| refusal.to_string(), |()| "taken".to_owned());
        self.note(format_args!(
            "event=routed request={id} router={number} engine={engine} expected_blocks={} \
             outcome=\"{outcome}\"",
            decision.expected_blocks
        ));
    }

    /// What the engines' witnesses counted, and what routers believe wrongly.
    pub(super) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (position, engine) in self.engines.iter().enumerate() {
            for (kind, count) in engine.witness().counts() {
                violations.push(format!("engine {position}: {kind:?} {count} times"));
            }
        }
        for (number, router) in self.routers.iter().enumerate() {
            let believed = |chain| router.believed_too_much(chain, &self.engines, self.now());
            if let Some((engine, excess)) = self.chains.iter().find_map(|chain| believed(chain)) {
                violations.push(format!(
                    "router {number}: {excess} blocks believed on {engine} are not there"
                ));
            }
        }
        violations
    }

    pub(super) fn into_trace(self) -> Vec<String> {
        self.trace
    }
}
