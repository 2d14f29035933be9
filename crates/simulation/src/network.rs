//! Simulated network between machines and clients: delay, loss, duplication and partitions.

use std::collections::BTreeMap;

use juniper_types::NodeId;

use crate::queue::Micros;
use crate::random::Random;

/// Zone number.
pub type Zone = u64;

/// Source or destination of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Zone of the machine or client.
    pub zone: Zone,
    /// Node of the machine; `None` for a client.
    pub node: Option<NodeId>,
}

/// Loss, duplication and delay that apply to all messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// Lost messages, per mille.
    pub loss: u64,
    /// Messages delivered twice, per mille.
    pub duplication: u64,
    /// Shortest one-way delay.
    pub delay_min: Micros,
    /// Longest one-way delay; messages with different delays may be reordered.
    pub delay_max: Micros,
}

impl Conditions {
    /// Healthy network: no loss, one to two milliseconds one-way delay, typical between zones.
    pub const GOOD: Conditions =
        Conditions { loss: 0, duplication: 0, delay_min: 1_000, delay_max: 2_000 };
}

/// One-way network partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Partition {
    /// Blocks messages from the first zone to the second.
    Zones(Zone, Zone),
    /// Blocks all messages to the machine.
    Inbound(NodeId),
    /// Blocks all messages from the machine.
    Outbound(NodeId),
}

/// Simulated network.
#[derive(Debug)]
pub struct Network {
    random: Random,
    /// Conditions in force.
    pub conditions: Conditions,
    /// Active partitions, each with the number of overlapping faults that cause it.
    partitions: BTreeMap<Partition, u64>,
}

impl Network {
    /// Creates a network without faults.
    pub fn new(random: Random) -> Self {
        Network { random, conditions: Conditions::GOOD, partitions: BTreeMap::new() }
    }

    /// Adds a partition; partitions of overlapping faults are counted.
    pub fn add_partition(&mut self, partition: Partition) {
        *self.partitions.entry(partition).or_default() += 1;
    }

    /// Removes one occurrence of a partition.
    pub fn remove_partition(&mut self, partition: Partition) {
        if let Some(count) = self.partitions.get_mut(&partition) {
            *count -= 1;
        }
        self.partitions.retain(|_, count| *count > 0);
    }

    /// Removes all partitions and restores good conditions.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.conditions = Conditions::GOOD;
    }

    /// Delays after which copies of a message arrive: none if lost, two if duplicated.
    pub fn delivery_delays(&mut self, from: Endpoint, to: Endpoint) -> Vec<Micros> {
        if self.is_blocked(from, to) || self.random.chance(self.conditions.loss) {
            return Vec::new();
        }
        let copies = if self.random.chance(self.conditions.duplication) { 2 } else { 1 };
        let Conditions { delay_min, delay_max, .. } = self.conditions;
        (0..copies).map(|_| self.random.between(delay_min, delay_max)).collect()
    }

    fn is_blocked(&self, from: Endpoint, to: Endpoint) -> bool {
        let is_blocked = |partition: Partition| self.partitions.contains_key(&partition);
        is_blocked(Partition::Zones(from.zone, to.zone))
            || from.node.is_some_and(|node| is_blocked(Partition::Outbound(node)))
            || to.node.is_some_and(|node| is_blocked(Partition::Inbound(node)))
    }
}
