//! Engines, routers, requests and faults of one run.

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

/// Steps with traffic and faults.
const BUSY_STEPS: u64 = 1_500;

/// Steps without traffic and faults, longer than the lifetime of predictions and all
/// delays.
const QUIET_STEPS: u64 = 800;

/// Cache capacity of an engine in blocks, small enough for frequent evictions.
const CACHE_BLOCKS: u32 = 96;
const PREFIX_BLOCKS: usize = 12;
const UNIQUE_BLOCKS: usize = 3;
const PREFIXES: u64 = 12;

/// Steps until a crashed engine restarts, and until a departing engine stops.
const DOWN_STEPS: u64 = 60;
const DEPARTURE_STEPS: u64 = 500;

/// Delay of the platform's list. Longer than the limit for a drain, so that only
/// the engine's own report is in time.
const PLATFORM_LAG_STEPS: u64 = 300;

/// Probabilities per step, or per poll.
const REQUEST_CHANCE: f64 = 0.5;
const CRASH_CHANCE: f64 = 0.002;
const RESTART_CHANCE: f64 = 0.002;
const LOST_POLL_CHANCE: f64 = 0.1;

/// Intervals between polls of events and of load, in steps.
const EVENT_POLL_STEPS: u64 = 5;
const LOAD_POLL_STEPS: u64 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineState {
    Up,
    Down { until: u64 },
    Departing { since: u64 },
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
    last_incarnation: u64,
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
            last_incarnation: ENGINES as u64,
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
            self.poll_engines(busy);
            if busy && self.random.random_bool(REQUEST_CHANCE) {
                self.dispatch_request();
            }
        }
    }

    fn record_event(&mut self, event: std::fmt::Arguments<'_>) {
        self.trace.push(format!("at_ms={} {event}", self.now().as_millis()));
    }

    fn draw_faults(&mut self) {
        let engine = self.random.random_range(0..ENGINES);
        if self.states[engine] == EngineState::Up && self.random.random_bool(CRASH_CHANCE) {
            match self.focus {
                Focus::Routing => self.crash(engine),
                Focus::Drain => self.start_departure(engine),
            }
        }
        if self.random.random_bool(RESTART_CHANCE) {
            let router = self.random.random_range(0..ROUTERS);
            self.restart_router(router);
            self.record_event(format_args!("event=router_restart router={router}"));
        }
    }

    /// Restarts a router, which reads the platform's list and every engine's load at
    /// once.
    fn restart_router(&mut self, router: usize) {
        let now = self.now();
        self.routers[router] = Router::new(ENGINES, &self.zone, self.planted);
        for (position, engine) in self.engines.iter().enumerate() {
            let listed = matches!(self.states[position], EngineState::Departing { since }
                if since + PLATFORM_LAG_STEPS <= self.step);
            self.routers[router].apply_platform_departure(position, listed);
            if !self.random.random_bool(LOST_POLL_CHANCE) {
                self.routers[router].poll_load(position, engine, now);
            }
        }
    }

    fn crash(&mut self, engine: usize) {
        let now = self.now();
        self.engines[engine].crash(now);
        self.states[engine] = EngineState::Down { until: self.step + DOWN_STEPS };
        self.record_event(format_args!("event=engine_crash engine={engine}"));
    }

    fn start_departure(&mut self, engine: usize) {
        let now = self.now();
        self.engines[engine].leave(now);
        self.states[engine] = EngineState::Departing { since: self.step };
        self.record_event(format_args!("event=engine_leaves engine={engine}"));
    }

    /// Starts an engine or its replacement, with an empty cache.
    fn start(&mut self, engine: usize) {
        let now = self.now();
        self.last_incarnation += 1;
        self.engines[engine].start(Incarnation(self.last_incarnation), now);
        self.states[engine] = EngineState::Up;
        for router in &mut self.routers {
            router.apply_platform_departure(engine, false);
        }
        self.record_event(format_args!("event=engine_start engine={engine}"));
    }

    fn advance_engines(&mut self) {
        let now = self.now();
        for engine in 0..ENGINES {
            match self.states[engine] {
                EngineState::Down { until } if until <= self.step => self.start(engine),
                EngineState::Departing { since } if since + DEPARTURE_STEPS <= self.step => {
                    self.crash(engine);
                }
                EngineState::Departing { since } if since + PLATFORM_LAG_STEPS == self.step => {
                    self.routers
                        .iter_mut()
                        .for_each(|router| router.apply_platform_departure(engine, true));
                }
                _ => {}
            }
            for output in self.engines[engine].advance(now) {
                self.handle_output(engine, &output, now);
            }
        }
    }

    fn handle_output(&mut self, engine: usize, output: &Output, now: Timestamp) {
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

    fn poll_engines(&mut self, may_fail: bool) {
        let now = self.now();
        for (number, router) in self.routers.iter_mut().enumerate() {
            for (position, engine) in self.engines.iter().enumerate() {
                let poll_step = self.step + (number * ENGINES + position) as u64;
                let lost = may_fail && self.random.random_bool(LOST_POLL_CHANCE);
                if poll_step.is_multiple_of(LOAD_POLL_STEPS) && !lost {
                    router.poll_load(position, engine, now);
                }
                if poll_step.is_multiple_of(EVENT_POLL_STEPS) && !lost {
                    router.poll_events(position, engine, now);
                }
            }
        }
    }

    /// Block hashes of a prompt. All tenants use the same prompts.
    fn chain(&self, scope: &CacheScope, prefix: u64) -> Arc<[BlockHash]> {
        let seed = match self.planted {
            Some(PlantedFault::TenantNotHashed) => {
                CacheScope { tenant: self.tenants[0].clone(), ..scope.clone() }.seed()
            }
            _ => scope.seed(),
        };
        let mut previous = seed;
        (0..PREFIX_BLOCKS + UNIQUE_BLOCKS)
            .map(|depth| {
                let word = if depth < PREFIX_BLOCKS { prefix } else { self.requests + PREFIXES };
                previous = previous.next(&word.to_be_bytes());
                previous
            })
            .collect()
    }

    fn dispatch_request(&mut self) {
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
        let result = self.engines[engine].submit(request, now);
        match &result {
            Ok(()) => {
                self.in_flight.insert(id, number);
            }
            Err(_) => self.routers[number].finished(engine, id, now),
        }
        let outcome = result.map_or_else(|refusal| refusal.to_string(), |()| "taken".to_owned());
        self.record_event(format_args!(
            "event=routed request={id} router={number} engine={engine} expected_blocks={} \
             outcome=\"{outcome}\"",
            decision.expected_blocks
        ));
    }

    /// Violations counted by the engines' witnesses, and overestimated cache contents.
    pub(super) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (position, engine) in self.engines.iter().enumerate() {
            for (kind, count) in engine.witness().counts() {
                violations.push(format!("engine {position}: {kind:?} {count} times"));
            }
        }
        for (number, router) in self.routers.iter().enumerate() {
            let overestimate = |chain| router.find_overestimate(chain, &self.engines, self.now());
            if let Some((engine, excess)) = self.chains.iter().find_map(|chain| overestimate(chain))
            {
                violations.push(format!(
                    "router {number} overestimates the cached prefix on {engine} by {excess} blocks"
                ));
            }
        }
        violations
    }

    pub(super) fn into_trace(self) -> Vec<String> {
        self.trace
    }
}
