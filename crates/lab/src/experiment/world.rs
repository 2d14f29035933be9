//! Simulation of callers, routers, networks and engines in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use juniper_emulators::engine::{Engine, EngineRequest, Output};
use juniper_emulators::trace::TraceHeader;
use juniper_types::{Incarnation, RequestId, Timestamp};

use super::deployment::Deployment;
use super::measure::{Measure, Recorder};
use super::policy::{
    AttemptId, Choice, EventsWanted, FleetState, Held, Policy, RoutingInput, Wait,
};
use super::workload::Job;

/// Maximum attempts for one request, including the first.
const MAX_ATTEMPTS: u64 = 3;

/// Interval at which a router polls the load of an engine.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which a router polls the cache events of an engine.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the last arrival at which the run ends.
const DRAIN_TIME: Duration = Duration::from_secs(120);

/// Faults injected into a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Only delay and loss of cache events and load reports.
    Nothing,
    /// Restart of all routers at this time, with loss of their state.
    RouterRestarts(Timestamp),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    EngineWakes(usize),
    Delivered(u64),
    FirstToken { engine: usize, attempt: AttemptId, router: usize },
    Ended { engine: usize, attempt: AttemptId, router: usize },
    PollLoad { router: usize, engine: usize },
    PollEvents { router: usize, engine: usize },
    RoutersRestart,
    WaitExpires(u64),
}

/// Request in the form that is submitted to the engine.
pub fn engine_request(input: &RoutingInput<'_>, choice: Option<&Choice>) -> EngineRequest {
    let job = input.job;
    EngineRequest {
        id: RequestId(u128::from(input.attempt.0)),
        scope: job.scope.clone(),
        owner: job.tenant.clone(),
        blocks: job.blocks.clone(),
        prompt_tokens: job.prompt_tokens,
        output_tokens: job.output_tokens,
        resume_from: 0,
        priority: job.priority,
        deadline: Some(job.at.after(Duration::from_millis(job.settings.deadline_ms))),
        incarnation: choice.and_then(|choice| choice.incarnation),
        expected_blocks: choice.map_or(0, |choice| choice.expected_blocks),
    }
}

/// State of one run of a policy.
pub struct World<'a> {
    deployment: &'a Deployment,
    jobs: &'a [Job],
    policy: &'a mut dyn Policy,
    engines: Vec<Engine>,
    engine_zones: Vec<usize>,
    wake_times: Vec<Option<Timestamp>>,
    in_transit: Vec<(usize, EngineRequest)>,
    held: Vec<Held>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    end: Timestamp,
    recorder: Recorder<'a>,
}

/// Zone of each engine; engines are spread evenly.
pub fn engine_zones(header: &TraceHeader) -> Vec<usize> {
    (0..header.engines as usize).map(|engine| engine % header.zones.len()).collect()
}

impl<'a> World<'a> {
    /// Creates a fleet with empty caches. Requests that arrive before `measure_from`
    /// warm the caches and are not measured.
    pub fn new(
        header: &TraceHeader,
        deployment: &'a Deployment,
        jobs: &'a [Job],
        policy: &'a mut dyn Policy,
        measure_from: Timestamp,
    ) -> Self {
        let engine_zones = engine_zones(header);
        let engines: Vec<Engine> = (0..engine_zones.len())
            .map(|engine| {
                let incarnation = Incarnation(engine as u64 + 1);
                Engine::new(deployment.engine(header, engine), incarnation, Timestamp::ZERO)
            })
            .collect();
        let last = jobs.last().map_or(Timestamp::ZERO, |job| job.at);
        let mut world = World {
            deployment,
            jobs,
            policy,
            wake_times: vec![None; engines.len()],
            engines,
            engine_zones,
            in_transit: Vec::new(),
            held: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            end: last.after(DRAIN_TIME),
            recorder: Recorder::new(jobs, measure_from),
        };
        world.schedule_polls(header.zones.len());
        for (position, job) in jobs.iter().enumerate() {
            world.schedule(job.at, Event::Arrival(position));
        }
        world
    }

    /// Staggers the polls of different routers and engines.
    fn schedule_polls(&mut self, routers: usize) {
        let pairs = routers * self.engines.len();
        for router in 0..routers {
            for engine in 0..self.engines.len() {
                let place = (engine * routers + router) as u32;
                let load_at = LOAD_POLL_INTERVAL * place / pairs as u32;
                let events_at = EVENT_POLL_INTERVAL * place / pairs as u32;
                self.schedule(Timestamp::ZERO.after(load_at), Event::PollLoad { router, engine });
                let poll = Event::PollEvents { router, engine };
                self.schedule(Timestamp::ZERO.after(events_at), poll);
            }
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Runs the simulation to its end and returns the measurements.
    pub fn run(mut self, disturbance: Disturbance) -> Measure {
        if let Disturbance::RouterRestarts(at) = disturbance {
            self.schedule(at, Event::RoutersRestart);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > self.end {
                break;
            }
            self.handle(event, now);
        }
        self.recorder.finish()
    }

    fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Arrival(job) => self.attempt(job, 0, &[], now),
            Event::EngineWakes(engine) if self.wake_times[engine] == Some(now) => {
                self.wake_times[engine] = None;
                self.collect(engine, now);
            }
            Event::EngineWakes(_) => {}
            Event::Delivered(attempt) => self.deliver(attempt, now),
            Event::FirstToken { engine, attempt, router } => {
                self.policy.first_token(router, engine, attempt, now);
                self.release(now, |held| held.waits_for == attempt);
            }
            Event::Ended { engine, attempt, router } => {
                self.policy.finished(router, engine, attempt, now);
                self.release(now, |held| held.waits_for == attempt);
            }
            Event::WaitExpires(attempt) => {
                let id = RequestId(u128::from(attempt));
                self.release(now, |held| held.request.id == id);
            }
            Event::PollLoad { router, engine } => {
                self.poll_load(router, engine, now);
                self.schedule(now.after(LOAD_POLL_INTERVAL), Event::PollLoad { router, engine });
            }
            Event::PollEvents { router, engine } => {
                self.poll_events(router, engine, now);
                self.schedule(now.after(EVENT_POLL_INTERVAL), Event::PollEvents { router, engine });
            }
            Event::RoutersRestart => self.policy.restart(),
        }
    }

    fn attempt(&mut self, job: usize, number: u64, excluded: &[usize], now: Timestamp) {
        let router = self.jobs[job].zone;
        let attempt = AttemptId(job as u64 * MAX_ATTEMPTS + number);
        let input = RoutingInput { attempt, job: &self.jobs[job], excluded, router };
        let fleet =
            FleetState { engines: &self.engines, in_transit: &self.in_transit, held: &self.held };
        let Ok(choice) = self.policy.choose(&input, fleet, now) else {
            self.recorder.refused(job);
            return;
        };
        let request = engine_request(&input, Some(&choice));
        let engine = choice.engine;
        match choice.wait {
            None => self.send(engine, request, router, now),
            Some(Wait { attempt: waits_for, at_most }) => {
                self.held.push(Held { waits_for, engine, request });
                self.schedule(now.after(at_most), Event::WaitExpires(attempt.0));
            }
        }
    }

    fn send(&mut self, engine: usize, request: EngineRequest, router: usize, now: Timestamp) {
        let attempt = request.id.0 as u64;
        self.in_transit.push((engine, request));
        let one_way = self.one_way(router, engine);
        self.schedule(now.after(one_way), Event::Delivered(attempt));
    }

    /// Sends the held requests whose wait satisfies `is_over`.
    fn release(&mut self, now: Timestamp, is_over: impl Fn(&Held) -> bool) {
        let (over, held): (Vec<Held>, Vec<Held>) =
            std::mem::take(&mut self.held).into_iter().partition(is_over);
        self.held = held;
        for Held { engine, request, .. } in over {
            let router = self.jobs[(request.id.0 as u64 / MAX_ATTEMPTS) as usize].zone;
            self.send(engine, request, router, now);
        }
    }

    fn one_way(&self, router: usize, engine: usize) -> Duration {
        self.deployment.one_way(router, self.engine_zones[engine])
    }

    fn deliver(&mut self, attempt: u64, now: Timestamp) {
        let id = RequestId(u128::from(attempt));
        let Some(place) = self.in_transit.iter().position(|(_, request)| request.id == id) else {
            return;
        };
        let (engine, request) = self.in_transit.remove(place);
        let taken = self.engines[engine].submit(request, now).is_ok();
        self.collect(engine, now);
        if taken {
            return;
        }
        let job = (attempt / MAX_ATTEMPTS) as usize;
        let number = attempt % MAX_ATTEMPTS;
        let router = self.jobs[job].zone;
        self.policy.finished(router, engine, AttemptId(attempt), now);
        if number + 1 < MAX_ATTEMPTS {
            self.attempt(job, number + 1, &[engine], now);
        } else {
            self.recorder.refused(job);
        }
    }

    /// Processes an engine's outputs and schedules its next wake-up.
    fn collect(&mut self, engine: usize, now: Timestamp) {
        for output in self.engines[engine].advance(now) {
            self.note(engine, &output);
        }
        let next = self.engines[engine].next_event_time();
        if let Some(at) = next
            && self.wake_times[engine] != next
        {
            self.wake_times[engine] = next;
            self.schedule(at, Event::EngineWakes(engine));
        }
    }

    fn note(&mut self, engine: usize, output: &Output) {
        let Some(id) = output.request() else {
            return;
        };
        let attempt = AttemptId(id.0 as u64);
        let job = (attempt.0 / MAX_ATTEMPTS) as usize;
        let router = self.jobs[job].zone;
        let one_way = self.one_way(router, engine);
        match output {
            Output::Started { cached_tokens, .. } => self.recorder.started(job, *cached_tokens),
            Output::FirstToken { at, .. } => {
                let arrives = at.after(one_way);
                self.recorder.first_token(job, arrives);
                self.schedule(arrives, Event::FirstToken { engine, attempt, router });
            }
            Output::Finished { at, statistics, .. } => {
                self.recorder.finished(job, at.after(one_way), *statistics);
                self.schedule(at.after(one_way), Event::Ended { engine, attempt, router });
            }
            Output::Dropped { at, .. } => {
                self.recorder.dropped(job);
                self.schedule(at.after(one_way), Event::Ended { engine, attempt, router });
            }
            _ => {}
        }
    }

    fn poll_load(&mut self, router: usize, engine: usize, now: Timestamp) {
        if let Some(report) = self.engines[engine].load_report(now) {
            self.policy.load(router, engine, &report, now);
        }
    }

    fn poll_events(&mut self, router: usize, engine: usize, now: Timestamp) {
        let state = &self.engines[engine];
        let complete = match self.policy.events_after(router, engine) {
            EventsWanted::Nothing => return,
            EventsWanted::Snapshot => false,
            EventsWanted::After(incarnation, after) if incarnation == state.incarnation() => {
                let events = state.events().events_after(after, now);
                self.policy.events(router, engine, incarnation, &events)
            }
            EventsWanted::After(..) => false,
        };
        if !complete {
            self.policy.snapshot(router, engine, &self.engines[engine]);
        }
    }
}
