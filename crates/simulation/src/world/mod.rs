//! Run of a simulated cluster: machines, network, clients and faults in virtual time.

mod injection;
mod observer;
mod setup;

use std::collections::BTreeMap;
use std::rc::Rc;

use juniper_consensus::Message;
use juniper_control_state::ControlState;
use juniper_types::NodeId;

use crate::fault::Fault;
use crate::machine::Machine;
use crate::network::{Endpoint, Network, Partition, Zone};
use crate::process::ProcessError;
use crate::queue::{EventQueue, MILLI, Micros, SECOND};
use crate::random::Random;
use crate::request::{Call, Reply, Request};
use crate::trace::Trace;
use crate::workload::{Bench, Workload};

pub use observer::{ClusterViolation, Observer};
pub use setup::{RunOptions, RunReport, run};

/// Interval between replica ticks.
const TICK: Micros = 50 * MILLI;

/// Number of messages between those that are encoded and decoded before delivery.
const CODEC_CHECK_INTERVAL: u64 = 16;

/// Event limit of a run, to stop when messages multiply; ordinary runs have less than a
/// tenth of it.
const MAX_EVENTS: u64 = 400_000;

/// Scheduled event of a run.
#[derive(Debug)]
enum Event {
    Tick(NodeId, u64),
    Deliver(Message),
    WritePersisted(NodeId, u64, u64),
    Request(NodeId, Call, Request),
    Reply(Call, Reply),
    Timer(Call),
    InjectFault(Fault),
    EndFault(FaultEnd),
    Start(NodeId),
    Resume(NodeId, u64),
}

/// Fault condition to end.
#[derive(Debug)]
enum FaultEnd {
    Partition(Partition),
    Network,
    Disk(NodeId),
}

/// State of a run.
struct World<W> {
    queue: EventQueue<Event>,
    random: Random,
    network: Network,
    machines: BTreeMap<NodeId, Machine>,
    /// Events for suspended processes, delivered when they resume.
    deferred: BTreeMap<NodeId, Vec<Event>>,
    observer: Observer,
    trace: Trace,
    workload: W,
    clients: Vec<Zone>,
    bench: Bench,
    /// Whether the fault phase is over; later faults are ignored.
    faults_ended: bool,
    messages: u64,
    events: u64,
}

impl<W: Workload> World<W> {
    /// Handles events until virtual time `end`, or until none is left.
    fn run_until(&mut self, end: Micros) {
        while self.queue.now() < end && self.events < MAX_EVENTS {
            let Some(event) = self.queue.pop() else { return };
            self.events += 1;
            self.handle(event);
        }
        if self.events >= MAX_EVENTS {
            self.observer.report(ClusterViolation::EventLimitExceeded { events: MAX_EVENTS });
        }
    }

    fn note(&mut self, text: impl FnOnce() -> String) {
        self.trace.note(self.queue.now(), text);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node, incarnation) => self.tick(node, incarnation),
            Event::Deliver(ref message) => {
                let node = message.to;
                self.deliver_event(node, event);
            }
            Event::WritePersisted(node, ..) | Event::Request(node, ..) => {
                self.deliver_event(node, event)
            }
            Event::Reply(call, reply) => {
                self.with_workload(|workload, bench| workload.on_reply(bench, call, reply));
            }
            Event::Timer(call) => {
                self.with_workload(|workload, bench| workload.on_timer(bench, call));
            }
            Event::InjectFault(fault) if !self.faults_ended => self.inject_fault(fault),
            Event::InjectFault(_) => {}
            Event::EndFault(end) => self.end_fault(end),
            Event::Start(node) => self.start_machine(node),
            Event::Resume(node, incarnation) => self.resume(node, incarnation),
        }
    }

    fn tick(&mut self, node: NodeId, incarnation: u64) {
        let Some(machine) = self.machines.get_mut(&node).filter(|m| m.incarnation == incarnation)
        else {
            return;
        };
        let frozen = machine.frozen;
        if let Some(process) = machine.process.as_mut().filter(|_| !frozen) {
            process.tick();
            self.run_process(node);
        }
        self.queue.schedule_after(TICK, Event::Tick(node, incarnation));
    }

    /// Delivers an event to the process on `node`, or defers it while the process is suspended.
    fn deliver_event(&mut self, node: NodeId, event: Event) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if machine.frozen {
            self.deferred.entry(node).or_default().push(event);
            return;
        }
        let clock = machine.clock_ms(self.queue.now());
        let Some(process) = &mut machine.process else { return };
        process.set_clock(clock);
        let mut immediate_reply = None;
        let result = match event {
            Event::Deliver(message) => {
                process.step(message);
                Ok(())
            }
            Event::WritePersisted(_, incarnation, number) if incarnation == machine.incarnation => {
                process.complete_write(number)
            }
            Event::Request(_, call, request) => {
                immediate_reply = process.handle_request(call, request).map(|reply| (call, reply));
                Ok(())
            }
            _ => Ok(()),
        };
        match result {
            Ok(()) => self.run_process(node),
            Err(error) => self.end_process(node, &error),
        }
        if let Some((call, reply)) = immediate_reply {
            self.send_reply(node, call, reply);
        }
    }

    /// Runs the process on `node` and schedules its writes, messages and replies.
    fn run_process(&mut self, node: NodeId) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let Some(process) = &mut machine.process else { return };
        let effects = match process.run() {
            Ok(effects) => effects,
            Err(error) => return self.end_process(node, &error),
        };
        self.check_replica(node);
        for (position, checksum) in effects.applied {
            self.observer.observe_applied(node, position, checksum);
        }
        for number in effects.writes {
            let Some(machine) = self.machines.get_mut(&node) else { continue };
            let (incarnation, delay) = (machine.incarnation, machine.draw_sync_time());
            self.queue.schedule_after(delay, Event::WritePersisted(node, incarnation, number));
        }
        effects.messages.into_iter().for_each(|message| self.send(message));
        for (call, reply) in effects.replies {
            self.send_reply(node, call, reply);
        }
    }

    /// Checks the invariants of the replica on `node`.
    fn check_replica(&mut self, node: NodeId) {
        let process = self.machines.get(&node).and_then(|machine| machine.process.as_ref());
        let Some(replica) = process.map(|process| process.replica()) else { return };
        if replica.is_leader() {
            let status = replica.status();
            self.observer.observe_leader(status.term, status.id);
        }
        if let Some(reason) = replica.stop_reason() {
            self.observer.report(ClusterViolation::Stopped { node, reason });
        }
    }

    fn end_process(&mut self, node: NodeId, error: &ProcessError) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let power_lost = machine.disk.is_without_power();
        machine.stop(power_lost);
        if !matches!(error, ProcessError::Storage(_)) {
            let cause = error.to_string();
            self.observer.report(ClusterViolation::UndecodableState { node, cause });
        }
        let kind = if power_lost { "power cut" } else { "process ended" };
        self.note(|| format!("{node} {kind}: {error}"));
        self.schedule_restart(node);
    }

    fn schedule_restart(&mut self, node: NodeId) {
        let delay = self.random.between(50 * MILLI, 2 * SECOND);
        self.queue.schedule_after(delay, Event::Start(node));
    }

    fn endpoint_of(&self, node: NodeId) -> Endpoint {
        self.machines.get(&node).map_or(Endpoint { zone: 0, node: Some(node) }, Machine::endpoint)
    }

    fn client_endpoint(&self, client: usize) -> Endpoint {
        Endpoint { zone: self.clients.get(client).copied().unwrap_or(0), node: None }
    }

    fn send(&mut self, message: Message) {
        self.messages += 1;
        let message = match self.messages.is_multiple_of(CODEC_CHECK_INTERVAL) {
            true => self.round_trip(message),
            false => message,
        };
        let (from, to) = (self.endpoint_of(message.from.node), self.endpoint_of(message.to));
        for delay in self.network.delivery_delays(from, to) {
            self.queue.schedule_after(delay, Event::Deliver(message.clone()));
        }
    }

    /// Encodes and decodes a message; reports a violation if the result differs.
    fn round_trip(&mut self, message: Message) -> Message {
        let bytes = juniper_control_state::to_bytes(&message);
        match minicbor::decode::<Message>(&bytes) {
            Ok(decoded) if decoded == message => decoded,
            _ => {
                self.observer.report(ClusterViolation::CodecMismatch { node: message.from.node });
                message
            }
        }
    }

    fn send_reply(&mut self, node: NodeId, call: Call, reply: Reply) {
        let (from, to) = (self.endpoint_of(node), self.client_endpoint(call.client));
        for delay in self.network.delivery_delays(from, to) {
            self.queue.schedule_after(delay, Event::Reply(call, reply.clone()));
        }
    }

    /// Calls the workload, then schedules the requests and timers that it issued.
    fn with_workload(&mut self, callback: impl FnOnce(&mut W, &mut Bench)) {
        self.bench.now = self.queue.now();
        callback(&mut self.workload, &mut self.bench);
        for note in std::mem::take(&mut self.bench.notes) {
            self.note(|| note);
        }
        for (delay, call) in std::mem::take(&mut self.bench.timers) {
            self.queue.schedule_after(delay, Event::Timer(call));
        }
        for (node, call, request) in std::mem::take(&mut self.bench.sent) {
            let (from, to) = (self.client_endpoint(call.client), self.endpoint_of(node));
            for delay in self.network.delivery_delays(from, to) {
                self.queue.schedule_after(delay, Event::Request(node, call, request.clone()));
            }
        }
    }

    /// State of the leader, if all replicas have applied exactly its committed entries.
    fn agreed_state(&self) -> Option<Rc<ControlState>> {
        let processes = || self.machines.values().map(|machine| machine.process.as_ref());
        let leader = processes().flatten().find(|process| process.replica().is_leader())?;
        let commit = leader.replica().status().commit;
        let agrees = |process: Option<&crate::process::Process>| {
            process.is_some_and(|process| {
                process.replica().status().applied == commit && process.state() == leader.state()
            })
        };
        processes().all(agrees).then(|| Rc::clone(leader.state()))
    }

    /// State of the replica that has applied the most entries.
    fn latest_state(&self) -> Option<Rc<ControlState>> {
        let processes = self.machines.values().filter_map(|machine| machine.process.as_ref());
        let latest = processes.max_by_key(|process| process.state().applied())?;
        Some(Rc::clone(latest.state()))
    }
}
