//! Phases of a run: cluster creation, faults, recovery and final checks.

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

/// Start of the fault phase.
const QUIET_START: Micros = 2 * SECOND;

/// End of the fault phase; all faults end here.
const FAULTS_END: Micros = 20 * SECOND;

/// Time limit for the run to complete after the fault phase.
const FINISH_LIMIT: Micros = 90 * SECOND;

const ZONES: u64 = 3;

/// Options of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Seed of all random decisions.
    pub seed: u64,
    /// Planted fault, if any.
    pub planted: Option<Planted>,
    /// Whether to record a trace.
    pub traced: bool,
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// Descriptions of the violations found.
    pub violations: Vec<String>,
    /// Trace lines, if tracing was enabled.
    pub trace: Vec<String>,
    /// Number of handled events; equal for equal seeds.
    pub events: u64,
}

/// Runs a workload against a simulated cluster, with faults drawn from the seed.
pub fn run<W: Workload>(options: RunOptions, workload: W) -> RunReport {
    let mut world = World::new(options, workload);
    world.create_cluster();
    world.run_until(FAULTS_END);
    world.heal();
    let state = world.wait_for_completion();
    world.report(state)
}

/// Draws process options with small windows and chunks, frequent snapshots and early
/// replacement of lost voters, so that rare code paths run often.
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
            deferred: BTreeMap::new(),
            observer: Observer::default(),
            trace: Trace::new(options.traced),
            clients: workload.clients(),
            workload,
            bench,
            faults_ended: false,
            messages: 0,
            events: 0,
        }
    }

    /// Creates a cluster, starts machines and workload, and schedules the faults.
    fn create_cluster(&mut self) {
        // One initial voter, as when an operator creates a cluster, or all at once.
        let voter_count = if self.random.chance(200) { 1 } else { self.target_voters() };
        let voters = self.machines.values().take(voter_count).map(|m| (m.id, zone_name(m.zone)));
        let membership = Membership::of_voters(ClusterEpoch::first(self.random.number()), voters);
        self.note(|| format!("{voter_count} voters: {membership:?}"));
        for machine in self.machines.values_mut() {
            let initial = Some(&membership).filter(|membership| membership.contains(machine.id));
            let formatted = machine.format(initial);
            debug_assert!(formatted.is_ok());
        }
        let nodes = self.bench.nodes.clone();
        nodes.into_iter().for_each(|node| self.start_machine(node));
        let count = self.machines.len() as u64;
        // Drawn separately, so that it doesn't change the other draws of a seed.
        let mut separate = self.random.clone().fork();
        let mut schedule = fault::draw_schedule(&mut self.random, count, QUIET_START, FAULTS_END);
        schedule.extend(fault::draw_lost_disk_and_power(
            &mut separate,
            count,
            QUIET_START,
            FAULTS_END,
        ));
        for (at, fault) in schedule {
            self.queue.schedule_after(at, Event::InjectFault(fault));
        }
        self.with_workload(|workload, bench| workload.start(bench));
    }

    fn target_voters(&self) -> usize {
        self.machines.values().next().map_or(0, Machine::target_voters)
    }

    /// Starts the process on `node` unless it is already running.
    pub(super) fn start_machine(&mut self, node: NodeId) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if machine.process.is_some() {
            return;
        }
        match machine.start() {
            Ok(()) => {
                let (id, incarnation, damaged) = (machine.id, machine.incarnation, machine.damaged);
                if damaged {
                    self.observer.report(ClusterViolation::UndetectedCorruption { node });
                }
                self.note(|| format!("{node} starts as {id}"));
                let first_tick = self.random.between(0, TICK);
                self.queue.schedule_after(first_tick, Event::Tick(node, incarnation));
                self.run_process(node);
            }
            Err(error) => self.handle_start_failure(node, &error),
        }
    }

    /// Ends all faults, starts all machines and lets the workload finish.
    fn heal(&mut self) {
        self.note(|| "all faults ended".to_owned());
        self.faults_ended = true;
        self.network.heal();
        for node in self.bench.nodes.clone() {
            if let Some(machine) = self.machines.get_mut(&node) {
                machine.disk.repair();
                machine.sync_time = 2 * MILLI;
                let incarnation = machine.incarnation;
                self.resume(node, incarnation);
                self.start_machine(node);
            }
        }
        self.with_workload(|workload, bench| workload.finish(bench));
    }

    /// Waits until the workload has finished and all replicas agree. Returns the agreed state,
    /// or the latest state after a timeout.
    fn wait_for_completion(&mut self) -> Option<Rc<ControlState>> {
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
            true => "replica states differ",
            false => "the workload has not finished",
        };
        let waited_seconds = FINISH_LIMIT / SECOND;
        self.observer.report(ClusterViolation::NoProgress { waited_seconds, what });
        self.latest_state()
    }

    /// Adds the status of all replicas to the trace.
    fn note_statuses(&mut self) {
        let statuses: Vec<_> = self.machines.values().map(Machine::status).collect();
        for status in statuses.into_iter().flatten() {
            self.note(|| format!("{status:?}"));
        }
    }

    fn report(mut self, state: Option<Rc<ControlState>>) -> RunReport {
        let found = state.map_or(Vec::new(), |state| self.workload.check(&state));
        let mut violations: Vec<String> = found.iter().map(ToString::to_string).collect();
        violations.extend(self.observer.violations().iter().map(ToString::to_string));
        for violation in violations.clone() {
            self.note(|| format!("VIOLATION: {violation}"));
        }
        RunReport { violations, trace: self.trace.into_lines(), events: self.events }
    }
}
