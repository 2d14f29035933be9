//! Failure detector as a pure state machine over ticks and messages.

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

/// Actions for the owner of a detector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send `message` to `address`.
    Send {
        /// Address of the receiver.
        address: SocketAddr,
        /// Message to send.
        message: Message,
    },
    /// The state of a member changed in this node's view.
    Changed(Update),
}

/// Probe without an acknowledgement.
#[derive(Debug)]
struct PendingProbe {
    target: NodeId,
    sequence: u64,
    sent: Timestamp,
    indirect_sent: bool,
}

/// Indirect probe on behalf of another member.
#[derive(Debug)]
struct RelayedProbe {
    sequence: u64,
    requester: SocketAddr,
    requester_sequence: u64,
    sent: Timestamp,
}

/// Failure detector of one node.
#[derive(Debug)]
pub struct Detector {
    config: DetectorConfig,
    own: Update,
    seeds: Vec<SocketAddr>,
    table: MemberTable,
    gossip: GossipQueue,
    random: ChaCha8Rng,
    probe_order: Vec<NodeId>,
    pending: Option<PendingProbe>,
    relayed: Vec<RelayedProbe>,
    next_probe: Timestamp,
    next_sequence: u64,
    /// Number of consecutive acknowledgements whose digest agreed.
    agreeing_digests: u32,
    /// Number of consecutive acknowledgements whose digest differed.
    differing_digests: u32,
}

impl Detector {
    /// Creates a detector for the member `own`, which joins through `seeds`.
    pub fn new(config: DetectorConfig, own: Member, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Detector {
            config,
            own: Update { member: own, version: 1, liveness: Liveness::Alive },
            seeds,
            table: MemberTable::default(),
            gossip: GossipQueue::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            probe_order: Vec::new(),
            pending: None,
            relayed: Vec::new(),
            next_probe: Timestamp::ZERO,
            next_sequence: 0,
            agreeing_digests: 0,
            differing_digests: 0,
        }
    }

    /// Table of the other members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// State that this node announces of itself.
    pub fn own(&self) -> &Update {
        &self.own
    }

    /// Advances the time. Has to be called several times within a probe timeout.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.relayed.retain(|probe| now.since(probe.sent) < self.config.probe_interval);
        self.expire_suspicions(now, &mut actions);
        self.probe_indirectly(now, &mut actions);
        if now >= self.next_probe {
            self.suspect_pending_target(now, &mut actions);
            self.table.remove_expired(now, self.config.dead_retention);
            self.start_probe(now, &mut actions);
            self.next_probe = now.after(self.jittered_interval());
        }
        actions
    }

    /// Processes a received message.
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
        self.notify_if_doubted(&sender, &mut actions);
        match message.purpose {
            Purpose::Probe { sequence } => {
                let purpose = Purpose::Acknowledge { sequence };
                actions.push(self.send_action(sender.address, purpose));
            }
            Purpose::Acknowledge { sequence } => {
                if self.handle_acknowledgement(sequence, &mut actions) {
                    self.compare_digest(digest, sender.address, &mut actions);
                }
            }
            Purpose::IndirectProbe { sequence, target } => {
                self.relay_probe(sender.address, sequence, target, now, &mut actions);
            }
            Purpose::Join => actions.extend(self.member_list_messages(sender.address)),
            Purpose::Updates => {}
        }
        actions
    }

    /// Announces to a few members that this node leaves the group.
    pub fn leave(&mut self) -> Vec<Action> {
        self.own.version += 1;
        self.own.liveness = Liveness::Left;
        let addresses: Vec<SocketAddr> =
            self.table.present().map(|known| known.update.member.address).collect();
        let fanout = self.config.updates_per_message;
        let chosen = addresses.into_iter().sample(&mut self.random, fanout);
        chosen.into_iter().map(|address| self.send_action(address, Purpose::Updates)).collect()
    }

    /// Probe interval with jitter, so that nodes that started together don't probe in step.
    fn jittered_interval(&mut self) -> std::time::Duration {
        let factor = self.random.random_range(0.9..1.1);
        self.config.probe_interval.mul_f64(factor)
    }

    fn retransmit_limit(&self) -> u32 {
        let size = self.table.present().count() as u32 + 2;
        self.config.retransmit_factor * (u32::BITS - size.leading_zeros())
    }

    fn send_action(&mut self, address: SocketAddr, purpose: Purpose) -> Action {
        let limit = self.retransmit_limit();
        let updates = self.gossip.take_updates(self.config.updates_per_message, limit);
        Action::Send { address, message: self.build_message(purpose, updates) }
    }

    fn build_message(&self, purpose: Purpose, updates: Vec<Update>) -> Message {
        Message { sender: self.own.clone(), purpose, updates, digest: self.digest() }
    }

    fn digest(&self) -> u64 {
        let others = self.table.iter().map(|known| &known.update);
        digest(others.chain([&self.own]))
    }

    /// Compares a received digest with the own one. Repeated differences mean that gossip is too
    /// slow to spread many changes at once; the complete list is then requested.
    fn compare_digest(&mut self, received: u64, address: SocketAddr, actions: &mut Vec<Action>) {
        if received == self.digest() {
            self.differing_digests = 0;
            self.agreeing_digests += 1;
            if self.agreeing_digests >= self.config.agreeing_until_gossip_cleared {
                self.gossip.clear();
            }
            return;
        }
        self.agreeing_digests = 0;
        self.differing_digests += 1;
        if self.differing_digests >= self.config.differing_until_list_request {
            self.differing_digests = 0;
            actions.push(self.send_action(address, Purpose::Join));
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

    /// Overrides outdated reports about this node, including those about an earlier incarnation.
    fn refute(&mut self, reported: &Update) {
        if self.own.liveness == Liveness::Left {
            return;
        }
        let differs = reported.liveness != Liveness::Alive || reported.member != self.own.member;
        if differs && reported.version >= self.own.version {
            self.own.version = reported.version + 1;
            self.gossip.push(self.own.clone());
        }
    }

    /// Notifies a sender that is known as suspected, dead or of another incarnation, so that it can
    /// refute this.
    fn notify_if_doubted(&mut self, sender: &Member, actions: &mut Vec<Action>) {
        let Some(known) = self.table.get(sender.node) else { return };
        let update = known.update.clone();
        if update.liveness == Liveness::Alive && update.member == *sender {
            return;
        }
        let message = self.build_message(Purpose::Updates, vec![update]);
        actions.push(Action::Send { address: sender.address, message });
    }

    /// Processes an acknowledgement; returns whether it answers this node's own probe.
    fn handle_acknowledgement(&mut self, sequence: u64, actions: &mut Vec<Action>) -> bool {
        let is_own = self.pending.as_ref().is_some_and(|probe| probe.sequence == sequence);
        if is_own {
            self.pending = None;
        }
        let index = self.relayed.iter().position(|probe| probe.sequence == sequence);
        if let Some(index) = index {
            let probe = self.relayed.swap_remove(index);
            let purpose = Purpose::Acknowledge { sequence: probe.requester_sequence };
            actions.push(self.send_action(probe.requester, purpose));
        }
        is_own
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
        actions.push(self.send_action(address, Purpose::Probe { sequence }));
    }

    /// Messages with the complete member list.
    fn member_list_messages(&mut self, address: SocketAddr) -> Vec<Action> {
        let updates: Vec<Update> = self.table.iter().map(|known| known.update.clone()).collect();
        let message = |updates: &[Update]| self.build_message(Purpose::Updates, updates.to_vec());
        updates
            .chunks(self.config.updates_per_list_message)
            .map(|chunk| Action::Send { address, message: message(chunk) })
            .collect()
    }

    fn expire_suspicions(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
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
            actions.push(self.send_action(address, purpose));
        }
    }

    fn suspect_pending_target(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(probe) = self.pending.take() else { return };
        let Some(known) = self.table.get(probe.target) else { return };
        if known.update.liveness == Liveness::Alive {
            let update = Update { liveness: Liveness::Suspect, ..known.update.clone() };
            self.merge(update, now, actions);
        }
    }

    fn start_probe(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some((target, address)) = self.next_target() else {
            // No other member is known: try to join again.
            for seed in self.seeds.clone() {
                actions.push(self.send_action(seed, Purpose::Join));
            }
            return;
        };
        self.try_rejoin(actions);
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        self.pending = Some(PendingProbe { target, sequence, sent: now, indirect_sent: false });
        actions.push(self.send_action(address, Purpose::Probe { sequence }));
    }

    /// Occasionally requests the member list from a dead member or an absent seed. After a
    /// partition both sides have declared each other dead and removed each other; without this they
    /// would never merge again.
    fn try_rejoin(&mut self, actions: &mut Vec<Action>) {
        if !self.random.random_ratio(1, self.config.rejoin_interval_probes) {
            return;
        }
        let dead = self.table.iter().filter(|known| known.update.liveness == Liveness::Dead);
        let dead = dead.map(|known| known.update.member.address);
        let present: Vec<SocketAddr> =
            self.table.present().map(|known| known.update.member.address).collect();
        let absent_seeds = self.seeds.iter().copied().filter(|seed| !present.contains(seed));
        let own = self.own.member.address;
        let candidates = dead.chain(absent_seeds).filter(|address| *address != own);
        if let Some(address) = candidates.choose(&mut self.random) {
            actions.push(self.send_action(address, Purpose::Join));
        }
    }

    /// Next member to probe, in a random order in which each member comes once before any comes
    /// again, so that a crash is detected within a bounded number of periods.
    fn next_target(&mut self) -> Option<(NodeId, SocketAddr)> {
        for _ in 0..2 {
            while let Some(node) = self.probe_order.pop() {
                let known = self.table.get(node).map(|known| &known.update);
                let present = known.filter(|update| update.liveness <= Liveness::Suspect);
                if let Some(update) = present {
                    return Some((node, update.member.address));
                }
            }
            self.probe_order = self.table.present().map(|known| known.update.member.node).collect();
            self.probe_order.shuffle(&mut self.random);
        }
        None
    }
}
