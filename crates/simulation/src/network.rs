//! The network between machines and clients: delays, loss, copies and cuts.

use std::collections::BTreeMap;

use juniper_types::NodeId;

use crate::queue::Micros;
use crate::random::Random;

/// Number of a zone.
pub type Zone = u64;

/// Where a message starts or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The zone.
    pub zone: Zone,
    /// The machine; clients have none.
    pub node: Option<NodeId>,
}

/// What the network does to messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// Messages lost, of a thousand.
    pub loss: u64,
    /// Messages that arrive twice, of a thousand.
    pub duplication: u64,
    /// Shortest one-way delay.
    pub delay_min: Micros,
    /// Longest one-way delay; delays that differ reorder messages.
    pub delay_max: Micros,
}

impl Conditions {
    /// A good network: one to two milliseconds one way, as between today's zones.
    pub const GOOD: Conditions =
        Conditions { loss: 0, duplication: 0, delay_min: 1_000, delay_max: 2_000 };
}

/// One thing that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cut {
    /// Nothing gets from the first zone to the second.
    Zones(Zone, Zone),
    /// Nothing reaches the machine.
    Inbound(NodeId),
    /// Nothing leaves the machine.
    Outbound(NodeId),
}

/// The network.
#[derive(Debug)]
pub struct Network {
    random: Random,
    /// What it does at the moment.
    pub conditions: Conditions,
    /// Cuts in force, each with how often it was made and not mended.
    cuts: BTreeMap<Cut, u64>,
}

impl Network {
    /// A good network.
    pub fn new(random: Random) -> Self {
        Network { random, conditions: Conditions::GOOD, cuts: BTreeMap::new() }
    }

    /// Makes a cut.
    pub fn cut(&mut self, cut: Cut) {
        *self.cuts.entry(cut).or_default() += 1;
    }

    /// Mends a cut once.
    pub fn mend(&mut self, cut: Cut) {
        if let Some(count) = self.cuts.get_mut(&cut) {
            *count -= 1;
        }
        self.cuts.retain(|_, count| *count > 0);
    }

    /// Mends everything.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.conditions = Conditions::GOOD;
    }

    /// Delays after which a message arrives: none if it is lost, two if it is copied.
    pub fn deliveries(&mut self, from: Place, to: Place) -> Vec<Micros> {
        if self.is_cut(from, to) || self.random.chance(self.conditions.loss) {
            return Vec::new();
        }
        let copies = if self.random.chance(self.conditions.duplication) { 2 } else { 1 };
        let Conditions { delay_min, delay_max, .. } = self.conditions;
        (0..copies).map(|_| self.random.between(delay_min, delay_max)).collect()
    }

    fn is_cut(&self, from: Place, to: Place) -> bool {
        let is_cut = |cut: Cut| self.cuts.contains_key(&cut);
        is_cut(Cut::Zones(from.zone, to.zone))
            || from.node.is_some_and(|node| is_cut(Cut::Outbound(node)))
            || to.node.is_some_and(|node| is_cut(Cut::Inbound(node)))
    }
}
