//! A whole run: machines, network, clients and faults in virtual time.

mod observer;
mod setup;
mod strike;

use std::collections::BTreeMap;
use std::rc::Rc;

use juniper_consensus::Message;
use juniper_control_state::ControlState;
use juniper_types::NodeId;

use crate::fault::Fault;
use crate::machine::Machine;
use crate::network::{Cut, Network, Place, Zone};
use crate::process::ProcessError;
use crate::queue::{EventQueue, MILLI, Micros, SECOND};
use crate::random::Random;
use crate::request::{Call, Reply, Request};
use crate::trace::Trace;
use crate::workload::{Bench, Workload};

pub use observer::{ClusterViolation, Observer};
pub use setup::{RunOptions, RunReport, run};

/// One tick of the replicas.
const TICK: Micros = 50 * MILLI;

/// One message in so many is delivered as decoded from its bytes.
const CODEC_SAMPLE: u64 = 16;

/// Events in a run beyond which messages must be multiplying; an ordinary run has
/// fewer than a tenth.
const MAX_EVENTS: u64 = 400_000;

/// Something that happens at a time.
#[derive(Debug)]
enum Event {
    Tick(NodeId, u64),
    Deliver(Message),
    Saved(NodeId, u64, u64),
    Ask(NodeId, Call, Request),
    Answer(Call, Reply),
    Timer(Call),
    Strike(Fault),
    Mend(Mend),
    Start(NodeId),
    Resume(NodeId, u64),
}

/// The end of a fault.
#[derive(Debug)]
enum Mend {
    Cut(Cut),
    Network,
    Disk(NodeId),
}

/// Everything in a run.
struct World<W> {
    queue: EventQueue<Event>,
    random: Random,
    network: Network,
    machines: BTreeMap<NodeId, Machine>,
    /// What reached a process that stands still.
    held: BTreeMap<NodeId, Vec<Event>>,
    observer: Observer,
    trace: Trace,
    workload: W,
    clients: Vec<Zone>,
    bench: Bench,
    /// Whether the time of faults is over.
    mended: bool,
    messages: u64,
    events: u64,
}

impl<W: Workload> World<W> {
    /// Handles events until `end`.
    fn run_until(&mut self, end: Micros) {
        while self.queue.now() < end && self.events < MAX_EVENTS {
            let Some(event) = self.queue.pop() else { return };
            self.events += 1;
            self.handle(event);
        }
        if self.events >= MAX_EVENTS {
            self.observer.report(ClusterViolation::Storm { events: MAX_EVENTS });
        }
    }

    fn note(&mut self, text: impl FnOnce() -> String) {
        self.trace.note(self.queue.now(), text);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node, life) => self.tick(node, life),
            Event::Deliver(ref message) => {
                let node = message.to;
                self.reach(node, event);
            }
            Event::Saved(node, ..) | Event::Ask(node, ..) => self.reach(node, event),
            Event::Answer(call, reply) => {
                self.with_workload(|workload, bench| workload.on_reply(bench, call, reply));
            }
            Event::Timer(call) => {
                self.with_workload(|workload, bench| workload.on_timer(bench, call));
            }
            Event::Strike(fault) if !self.mended => self.strike(fault),
            Event::Strike(_) => {}
            Event::Mend(mend) => self.mend(mend),
            Event::Start(node) => self.start_machine(node),
            Event::Resume(node, life) => self.resume(node, life),
        }
    }

    fn tick(&mut self, node: NodeId, life: u64) {
        let Some(machine) = self.machines.get_mut(&node).filter(|m| m.life == life) else { return };
        let frozen = machine.frozen;
        if let Some(process) = machine.process.as_mut().filter(|_| !frozen) {
            process.tick();
            self.pump(node);
        }
        self.queue.after(TICK, Event::Tick(node, life));
    }

    /// Hands an event to the process on `node`, now or when it goes on.
    fn reach(&mut self, node: NodeId, event: Event) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if machine.frozen {
            self.held.entry(node).or_default().push(event);
            return;
        }
        let clock = machine.clock_ms(self.queue.now());
        let Some(process) = &mut machine.process else { return };
        process.set_clock(clock);
        let mut replied = None;
        let done = match event {
            Event::Deliver(message) => {
                process.step(message);
                Ok(())
            }
            Event::Saved(_, life, number) if life == machine.life => process.saved(number),
            Event::Ask(_, call, request) => {
                replied = process.ask(call, request).map(|reply| (call, reply));
                Ok(())
            }
            _ => Ok(()),
        };
        match done {
            Ok(()) => self.pump(node),
            Err(error) => self.end_process(node, &error),
        }
        if let Some((call, reply)) = replied {
            self.answer(node, call, reply);
        }
    }

    /// Lets the process on `node` do what there is to do.
    fn pump(&mut self, node: NodeId) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let Some(process) = &mut machine.process else { return };
        let effects = match process.run() {
            Ok(effects) => effects,
            Err(error) => return self.end_process(node, &error),
        };
        self.watch(node);
        for (position, checksum) in effects.applied {
            self.observer.applied(node, position, checksum);
        }
        for number in effects.writes {
            let Some(machine) = self.machines.get_mut(&node) else { continue };
            let (life, delay) = (machine.life, machine.draw_sync_time());
            self.queue.after(delay, Event::Saved(node, life, number));
        }
        effects.messages.into_iter().for_each(|message| self.send(message));
        for (call, reply) in effects.replies {
            self.answer(node, call, reply);
        }
    }

    /// Looks for breaches on one replica.
    fn watch(&mut self, node: NodeId) {
        let process = self.machines.get(&node).and_then(|machine| machine.process.as_ref());
        let Some(replica) = process.map(|process| process.replica()) else { return };
        if replica.is_leader() {
            let status = replica.status();
            self.observer.leads(status.term, status.id);
        }
        if let Some(reason) = replica.stop_reason() {
            self.observer.report(ClusterViolation::Stopped { node, reason });
        }
    }

    fn end_process(&mut self, node: NodeId, error: &ProcessError) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let power = machine.disk.is_without_power();
        machine.stop(power);
        if !matches!(error, ProcessError::Storage(_)) {
            let cause = error.to_string();
            self.observer.report(ClusterViolation::Unreadable { node, cause });
        }
        let kind = if power { "power cut" } else { "process ended" };
        self.note(|| format!("{node} {kind}: {error}"));
        self.start_later(node);
    }

    fn start_later(&mut self, node: NodeId) {
        let delay = self.random.between(50 * MILLI, 2 * SECOND);
        self.queue.after(delay, Event::Start(node));
    }

    fn place_of(&self, node: NodeId) -> Place {
        self.machines.get(&node).map_or(Place { zone: 0, node: Some(node) }, Machine::place)
    }

    fn client_place(&self, client: usize) -> Place {
        Place { zone: self.clients.get(client).copied().unwrap_or(0), node: None }
    }

    fn send(&mut self, message: Message) {
        self.messages += 1;
        let message = match self.messages.is_multiple_of(CODEC_SAMPLE) {
            true => self.recode(message),
            false => message,
        };
        let (from, to) = (self.place_of(message.from.node), self.place_of(message.to));
        for delay in self.network.deliveries(from, to) {
            self.queue.after(delay, Event::Deliver(message.clone()));
        }
    }

    /// The message as it comes out of its own bytes.
    fn recode(&mut self, message: Message) -> Message {
        let bytes = juniper_control_state::to_bytes(&message);
        match minicbor::decode::<Message>(&bytes) {
            Ok(decoded) if decoded == message => decoded,
            _ => {
                self.observer.report(ClusterViolation::Codec { node: message.from.node });
                message
            }
        }
    }

    fn answer(&mut self, node: NodeId, call: Call, reply: Reply) {
        let (from, to) = (self.place_of(node), self.client_place(call.client));
        for delay in self.network.deliveries(from, to) {
            self.queue.after(delay, Event::Answer(call, reply.clone()));
        }
    }

    /// Calls the workload and does what it asked for.
    fn with_workload(&mut self, act: impl FnOnce(&mut W, &mut Bench)) {
        self.bench.now = self.queue.now();
        act(&mut self.workload, &mut self.bench);
        for note in std::mem::take(&mut self.bench.notes) {
            self.note(|| note);
        }
        for (delay, call) in std::mem::take(&mut self.bench.timers) {
            self.queue.after(delay, Event::Timer(call));
        }
        for (node, call, request) in std::mem::take(&mut self.bench.sent) {
            let (from, to) = (self.client_place(call.client), self.place_of(node));
            for delay in self.network.deliveries(from, to) {
                self.queue.after(delay, Event::Ask(node, call, request.clone()));
            }
        }
    }

    /// The state of the leader, if every replica has arrived at it.
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

    /// The state of the replica that has applied most.
    fn latest_state(&self) -> Option<Rc<ControlState>> {
        let processes = self.machines.values().filter_map(|machine| machine.process.as_ref());
        let latest = processes.max_by_key(|process| process.state().applied())?;
        Some(Rc::clone(latest.state()))
    }
}
