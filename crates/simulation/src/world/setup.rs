//! Sets a run up, takes it through its faults and to its end.

use std::collections::BTreeMap;
use std::rc::Rc;

use juniper_consensus::{ClusterEpoch, Membership, ReplicaConfig};
use juniper_control_state::ControlState;
use juniper_types::NodeId;

use super::{ClusterViolation, Event, MAX_EVENTS, Observer, TICK, World};
use crate::fault;
use crate::machine::{Machine, new_identity, zone_name};
use crate::network::Network;
use crate::planted::Planted;
use crate::process::ProcessOptions;
use crate::queue::{EventQueue, MILLI, Micros, SECOND};
use crate::random::Random;
use crate::trace::Trace;
use crate::workload::{Bench, Workload};

/// Time before the first fault.
const QUIET_START: Micros = 2 * SECOND;

/// Time at which the last fault strikes and everything is mended.
const FAULTS_END: Micros = 20 * SECOND;

/// Longest time for everything to be finished after that.
const FINISH_LIMIT: Micros = 90 * SECOND;

const ZONES: u64 = 3;

/// What to run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Everything follows from it.
    pub seed: u64,
    /// The planted fault, if any.
    pub planted: Option<Planted>,
    /// Whether to keep a trace.
    pub traced: bool,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// What was wrong, in words.
    pub violations: Vec<String>,
    /// The trace, if it was asked for.
    pub trace: Vec<String>,
    /// Events handled; equal for equal seeds.
    pub events: u64,
}

/// Runs a workload against replicas under the faults that the seed brings.
pub fn run<W: Workload>(options: RunOptions, workload: W) -> RunReport {
    let mut world = World::new(options, workload);
    world.found();
    world.run_until(FAULTS_END);
    world.heal();
    let state = world.finish();
    world.report(state)
}

/// Settings of the replicas that make everything happen often: small windows,
/// small chunks, early snapshots, early replacement of lost voters.
fn draw_options(random: &mut Random, options: RunOptions, machines: u64) -> ProcessOptions {
    let nodes: Vec<NodeId> = (1..=machines).map(NodeId).collect();
    let own = new_identity(NodeId(0), random);
    let mut replica = ReplicaConfig::new(own, zone_name(0), nodes);
    replica.target_voters = if machines >= 5 && random.chance(350) { 5 } else { 3 };
    replica.lost_voter_ticks = random.between(30, 80);
    replica.lost_learner_ticks = 300;
    replica.retained_entries = random.between(0, 20) as usize;
    replica.max_append_bytes = random.between(200, 6_000) as usize;
    replica.max_in_flight_entries = random.between(2, 64);
    replica.snapshot_chunk_bytes = random.between(300, 4_000) as usize;
    ProcessOptions { replica, snapshot_every: random.between(5, 60), planted: options.planted }
}

impl<W: Workload> World<W> {
    fn new(options: RunOptions, workload: W) -> Self {
        let mut random = Random::new(options.seed);
        let count = random.pick(&[3, 4, 5, 5, 5]).unwrap_or(3);
        let process = draw_options(&mut random, options, count);
        let machine = |number: u64, random: &mut Random| {
            let zone = number % ZONES;
            let id = new_identity(NodeId(number), random);
            let mut process = process.clone();
            process.replica.zone = zone_name(zone);
            Machine::new(id, zone, process, random.fork())
        };
        let machines: BTreeMap<NodeId, Machine> =
            (1..=count).map(|number| (NodeId(number), machine(number, &mut random))).collect();
        let bench = Bench {
            now: 0,
            random: random.fork(),
            nodes: machines.keys().copied().collect(),
            sent: Vec::new(),
            timers: Vec::new(),
            notes: Vec::new(),
            traced: options.traced,
        };
        World {
            queue: EventQueue::default(),
            network: Network::new(random.fork()),
            random,
            machines,
            held: BTreeMap::new(),
            observer: Observer::default(),
            trace: Trace::new(options.traced),
            clients: workload.clients(),
            workload,
            bench,
            mended: false,
            messages: 0,
            events: 0,
        }
    }

    /// Makes a new cluster, starts everything and plans the faults.
    fn found(&mut self) {
        // Founded on one machine as an operator does, or with all voters at once.
        let target = if self.random.chance(200) { 1 } else { self.target_voters() };
        let voters = self.machines.values().take(target).map(|m| (m.id, zone_name(m.zone)));
        let membership = Membership::of_voters(ClusterEpoch::first(self.random.number()), voters);
        self.note(|| format!("{target} voters: {membership:?}"));
        for machine in self.machines.values_mut() {
            let initial = Some(&membership).filter(|membership| membership.contains(machine.id));
            let formatted = machine.format(initial);
            debug_assert!(formatted.is_ok());
        }
        let nodes = self.bench.nodes.clone();
        nodes.into_iter().for_each(|node| self.start_machine(node));
        let count = self.machines.len() as u64;
        for (at, fault) in fault::plan(&mut self.random, count, QUIET_START, FAULTS_END) {
            self.queue.after(at, Event::Strike(fault));
        }
        self.with_workload(|workload, bench| workload.start(bench));
    }

    fn target_voters(&self) -> usize {
        self.machines.values().next().map_or(0, Machine::target_voters)
    }

    /// Starts the process on `node`, unless it runs.
    pub(super) fn start_machine(&mut self, node: NodeId) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if machine.process.is_some() {
            return;
        }
        match machine.start() {
            Ok(()) => {
                let (id, life, damaged) = (machine.id, machine.life, machine.damaged);
                if damaged {
                    self.observer.report(ClusterViolation::DamageUnnoticed { node });
                }
                self.note(|| format!("{node} starts as {id}"));
                let first_tick = self.random.between(0, TICK);
                self.queue.after(first_tick, Event::Tick(node, life));
                self.pump(node);
            }
            Err(error) => self.start_failed(node, &error),
        }
    }

    /// Mends everything.
    fn heal(&mut self) {
        self.note(|| "everything is mended".to_owned());
        self.mended = true;
        self.network.heal();
        for node in self.bench.nodes.clone() {
            if let Some(machine) = self.machines.get_mut(&node) {
                machine.disk.repair();
                machine.sync_time = 2 * MILLI;
                let life = machine.life;
                self.resume(node, life);
                self.start_machine(node);
            }
        }
        self.with_workload(|workload, bench| workload.finish(bench));
    }

    /// Waits until the clients are done and all replicas agree. Returns the state
    /// that they agree on, or else the latest there is.
    fn finish(&mut self) -> Option<Rc<ControlState>> {
        let limit = self.queue.now() + FINISH_LIMIT;
        while self.queue.now() < limit && self.events < MAX_EVENTS {
            let next = self.queue.now() + 500 * MILLI;
            self.run_until(next);
            if self.workload.is_finished()
                && let Some(state) = self.agreed_state()
            {
                return Some(state);
            }
        }
        self.note_statuses();
        let what = match self.workload.is_finished() {
            true => "the replicas do not agree",
            false => "clients wait for answers",
        };
        let waited_seconds = FINISH_LIMIT / SECOND;
        self.observer.report(ClusterViolation::NoProgress { waited_seconds, what });
        self.latest_state()
    }

    /// Writes down where every replica stands.
    fn note_statuses(&mut self) {
        let statuses: Vec<_> = self.machines.values().map(Machine::status).collect();
        for status in statuses.into_iter().flatten() {
            self.note(|| format!("{status:?}"));
        }
    }

    fn report(mut self, state: Option<Rc<ControlState>>) -> RunReport {
        let seen = state.map_or(Vec::new(), |state| self.workload.check(&state));
        let mut violations: Vec<String> = seen.iter().map(ToString::to_string).collect();
        violations.extend(self.observer.violations().iter().map(ToString::to_string));
        for violation in violations.clone() {
            self.note(|| format!("VIOLATION: {violation}"));
        }
        RunReport { violations, trace: self.trace.into_lines(), events: self.events }
    }
}
