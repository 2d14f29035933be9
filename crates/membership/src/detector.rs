//! The failure detector: a pure state machine over ticks and messages.

use std::net::SocketAddr;

use juniper_types::{NodeId, Timestamp};
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::config::DetectorConfig;
use crate::digest::digest;
use crate::gossip::GossipQueue;
use crate::member::{Liveness, Member, Update};
use crate::message::{Message, Purpose};
use crate::table::MemberTable;

/// What the owner of a detector has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send `message` to `address`.
    Send {
        /// Where to.
        address: SocketAddr,
        /// What.
        message: Message,
    },
    /// A member's state changed, as this node sees it.
    Changed(Update),
}

/// A probe that has not been acknowledged.
#[derive(Debug)]
struct PendingProbe {
    target: NodeId,
    sequence: u64,
    sent: Timestamp,
    indirect_sent: bool,
}

/// A probe made for another member.
#[derive(Debug)]
struct RelayedProbe {
    sequence: u64,
    requester: SocketAddr,
    requester_sequence: u64,
    sent: Timestamp,
}

/// The failure detector of one node.
#[derive(Debug)]
pub struct Detector {
    config: DetectorConfig,
    own: Update,
    seeds: Vec<SocketAddr>,
    table: MemberTable,
    gossip: GossipQueue,
    random: ChaCha8Rng,
    order: Vec<NodeId>,
    pending: Option<PendingProbe>,
    relayed: Vec<RelayedProbe>,
    next_probe: Timestamp,
    next_sequence: u64,
    /// Acknowledgements in a row whose digest agreed, or differed.
    agreeing: u32,
    differing: u32,
}

impl Detector {
    /// A detector for `own` that joins through `seeds`.
    pub fn new(config: DetectorConfig, own: Member, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Detector {
            config,
            own: Update { member: own, version: 1, liveness: Liveness::Alive },
            seeds,
            table: MemberTable::default(),
            gossip: GossipQueue::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            order: Vec::new(),
            pending: None,
            relayed: Vec::new(),
            next_probe: Timestamp::ZERO,
            next_sequence: 0,
            agreeing: 0,
            differing: 0,
        }
    }

    /// Everything known of the other members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// This node as it presents itself.
    pub fn own(&self) -> &Update {
        &self.own
    }

    /// Lets time pass. Meant to be called several times within a probe timeout.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.relayed.retain(|probe| now.since(probe.sent) < self.config.probe_interval);
        self.end_suspicions(now, &mut actions);
        self.probe_indirectly(now, &mut actions);
        if now >= self.next_probe {
            self.fail_pending(now, &mut actions);
            self.table.forget_gone(now, self.config.dead_retention);
            self.start_probe(now, &mut actions);
            self.next_probe = now.after(self.jittered_interval());
        }
        actions
    }

    /// Takes in a message.
    pub fn receive(&mut self, message: Message, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        let sender = message.sender.member.clone();
        let digest = message.digest;
        if sender.node == self.own.member.node {
            return actions;
        }
        self.merge(message.sender, now, &mut actions);
        for update in message.updates {
            self.merge(update, now, &mut actions);
        }
        self.tell_if_doubted(&sender, &mut actions);
        match message.purpose {
            Purpose::Probe { sequence } => {
                let purpose = Purpose::Acknowledge { sequence };
                actions.push(self.send(sender.address, purpose));
            }
            Purpose::Acknowledge { sequence } => {
                if self.acknowledged(sequence, &mut actions) {
                    self.compare(digest, sender.address, &mut actions);
                }
            }
            Purpose::IndirectProbe { sequence, target } => {
                self.relay_probe(sender.address, sequence, target, now, &mut actions);
            }
            Purpose::Join => actions.extend(self.member_list(sender.address)),
            Purpose::News => {}
        }
        actions
    }

    /// Announces that this node leaves; its messages go to a few members.
    pub fn leave(&mut self) -> Vec<Action> {
        self.own.version += 1;
        self.own.liveness = Liveness::Left;
        let addresses: Vec<SocketAddr> =
            self.table.present().map(|known| known.update.member.address).collect();
        let fanout = self.config.updates_per_message;
        let chosen = addresses.into_iter().sample(&mut self.random, fanout);
        chosen.into_iter().map(|address| self.send(address, Purpose::News)).collect()
    }

    /// Jitter keeps nodes that started together from probing in step.
    fn jittered_interval(&mut self) -> std::time::Duration {
        let factor = self.random.random_range(0.9..1.1);
        self.config.probe_interval.mul_f64(factor)
    }

    fn retransmit_limit(&self) -> u32 {
        let size = self.table.present().count() as u32 + 2;
        self.config.retransmit_factor * (u32::BITS - size.leading_zeros())
    }

    fn send(&mut self, address: SocketAddr, purpose: Purpose) -> Action {
        let limit = self.retransmit_limit();
        let updates = self.gossip.take(self.config.updates_per_message, limit);
        Action::Send { address, message: self.message(purpose, updates) }
    }

    fn message(&self, purpose: Purpose, updates: Vec<Update>) -> Message {
        Message { sender: self.own.clone(), purpose, updates, digest: self.digest() }
    }

    fn digest(&self) -> u64 {
        let others = self.table.iter().map(|known| &known.update);
        digest(others.chain([&self.own]))
    }

    /// Gossip spreads a few changes quickly. When many come together, comparing
    /// digests finds out who lacks some, and whole lists make it good.
    fn compare(&mut self, theirs: u64, address: SocketAddr, actions: &mut Vec<Action>) {
        if theirs == self.digest() {
            self.differing = 0;
            self.agreeing += 1;
            if self.agreeing >= self.config.agreeing_until_quiet {
                self.gossip.clear();
            }
            return;
        }
        self.agreeing = 0;
        self.differing += 1;
        if self.differing >= self.config.differing_until_list {
            self.differing = 0;
            actions.push(self.send(address, Purpose::Join));
        }
    }

    fn merge(&mut self, update: Update, now: Timestamp, actions: &mut Vec<Action>) {
        if update.member.node == self.own.member.node {
            self.refute(&update);
            return;
        }
        if !self.table.merge(update.clone(), now) {
            return;
        }
        self.gossip.push(update.clone());
        actions.push(Action::Changed(update));
    }

    /// Overrides what others say of this node, an earlier life of it included.
    fn refute(&mut self, said: &Update) {
        if self.own.liveness == Liveness::Left {
            return;
        }
        let differs = said.liveness != Liveness::Alive || said.member != self.own.member;
        if differs && said.version >= self.own.version {
            self.own.version = said.version + 1;
            self.gossip.push(self.own.clone());
        }
    }

    /// A sender that others take for suspect, dead or an earlier life is told,
    /// so that it can refute.
    fn tell_if_doubted(&mut self, sender: &Member, actions: &mut Vec<Action>) {
        let Some(known) = self.table.get(sender.node) else { return };
        let update = known.update.clone();
        if update.liveness == Liveness::Alive && update.member == *sender {
            return;
        }
        let message = self.message(Purpose::News, vec![update]);
        actions.push(Action::Send { address: sender.address, message });
    }

    /// Whether the acknowledgement answers this node's own probe.
    fn acknowledged(&mut self, sequence: u64, actions: &mut Vec<Action>) -> bool {
        let own = self.pending.as_ref().is_some_and(|probe| probe.sequence == sequence);
        if own {
            self.pending = None;
        }
        let found = self.relayed.iter().position(|probe| probe.sequence == sequence);
        if let Some(at) = found {
            let probe = self.relayed.swap_remove(at);
            let purpose = Purpose::Acknowledge { sequence: probe.requester_sequence };
            actions.push(self.send(probe.requester, purpose));
        }
        own
    }

    fn relay_probe(
        &mut self,
        requester: SocketAddr,
        requester_sequence: u64,
        target: NodeId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = self.table.get(target) else { return };
        let address = known.update.member.address;
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        self.relayed.push(RelayedProbe { sequence, requester, requester_sequence, sent: now });
        actions.push(self.send(address, Purpose::Probe { sequence }));
    }

    /// The whole list of members, in messages of a bounded size.
    fn member_list(&mut self, address: SocketAddr) -> Vec<Action> {
        let updates: Vec<Update> = self.table.iter().map(|known| known.update.clone()).collect();
        let message = |updates: &[Update]| self.message(Purpose::News, updates.to_vec());
        updates
            .chunks(self.config.updates_per_list_message)
            .map(|chunk| Action::Send { address, message: message(chunk) })
            .collect()
    }

    fn end_suspicions(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for suspect in self.table.overdue_suspects(now, self.config.suspicion_timeout) {
            self.merge(Update { liveness: Liveness::Dead, ..suspect }, now, actions);
        }
    }

    fn probe_indirectly(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(probe) = &mut self.pending else { return };
        if probe.indirect_sent || now.since(probe.sent) < self.config.probe_timeout {
            return;
        }
        probe.indirect_sent = true;
        let (sequence, target) = (probe.sequence, probe.target);
        let addresses: Vec<SocketAddr> = self
            .table
            .present()
            .filter(|known| known.update.member.node != target)
            .map(|known| known.update.member.address)
            .collect();
        let count = self.config.indirect_probes;
        for address in addresses.into_iter().sample(&mut self.random, count) {
            let purpose = Purpose::IndirectProbe { sequence, target };
            actions.push(self.send(address, purpose));
        }
    }

    fn fail_pending(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(probe) = self.pending.take() else { return };
        let Some(known) = self.table.get(probe.target) else { return };
        if known.update.liveness == Liveness::Alive {
            let update = Update { liveness: Liveness::Suspect, ..known.update.clone() };
            self.merge(update, now, actions);
        }
    }

    fn start_probe(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some((target, address)) = self.next_target() else {
            // Alone: keep trying to join.
            for seed in self.seeds.clone() {
                actions.push(self.send(seed, Purpose::Join));
            }
            return;
        };
        self.try_rejoin(actions);
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        self.pending = Some(PendingProbe { target, sequence, sent: now, indirect_sent: false });
        actions.push(self.send(address, Purpose::Probe { sequence }));
    }

    /// Now and then asks a seed or a gone member for its list. Two parts of a
    /// group that were cut off from each other hold each other for dead, and
    /// forget each other in time; this is how they meet again.
    fn try_rejoin(&mut self, actions: &mut Vec<Action>) {
        if !self.random.random_ratio(1, self.config.rejoin_every) {
            return;
        }
        let gone = self.table.iter().filter(|known| known.update.liveness == Liveness::Dead);
        let gone = gone.map(|known| known.update.member.address);
        let present: Vec<SocketAddr> =
            self.table.present().map(|known| known.update.member.address).collect();
        let absent_seeds = self.seeds.iter().copied().filter(|seed| !present.contains(seed));
        let own = self.own.member.address;
        let candidates = gone.chain(absent_seeds).filter(|address| *address != own);
        if let Some(address) = candidates.choose(&mut self.random) {
            actions.push(self.send(address, Purpose::Join));
        }
    }

    /// Members in a random order, each once before any comes again, so that a
    /// crash is noticed within a bounded number of periods.
    fn next_target(&mut self) -> Option<(NodeId, SocketAddr)> {
        for _ in 0..2 {
            while let Some(node) = self.order.pop() {
                let known = self.table.get(node).map(|known| &known.update);
                let up = known.filter(|update| update.liveness <= Liveness::Suspect);
                if let Some(update) = up {
                    return Some((node, update.member.address));
                }
            }
            self.order = self.table.present().map(|known| known.update.member.node).collect();
            self.order.shuffle(&mut self.random);
        }
        None
    }
}
