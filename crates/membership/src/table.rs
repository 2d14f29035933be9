//! Table of the other members.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_types::{NodeId, Timestamp};

use crate::member::{Liveness, Update};

/// Latest update of a member and the time of its state.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// Latest update.
    pub update: Update,
    /// Time at which this node learned of the state.
    pub since: Timestamp,
}

/// Other members by node id.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, KnownMember>,
}

impl MemberTable {
    /// Applies `update`; returns whether it overrides what is known.
    pub fn merge(&mut self, update: Update, now: Timestamp) -> bool {
        let node = update.member.node;
        match self.members.get(&node) {
            Some(known) if !update.overrides(&known.update) => false,
            _ => {
                self.members.insert(node, KnownMember { update, since: now });
                true
            }
        }
    }

    /// Latest state of `node`.
    pub fn get(&self, node: NodeId) -> Option<&KnownMember> {
        self.members.get(&node)
    }

    /// All known members.
    pub fn iter(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    /// Members that may be up: alive or suspected ones.
    pub fn present(&self) -> impl Iterator<Item = &KnownMember> {
        self.iter().filter(|known| known.update.liveness <= Liveness::Suspect)
    }

    /// Suspected members whose suspicion timeout has passed.
    pub fn overdue_suspects(&self, now: Timestamp, timeout: Duration) -> Vec<Update> {
        self.iter()
            .filter(|known| known.update.liveness == Liveness::Suspect)
            .filter(|known| now.since(known.since) >= timeout)
            .map(|known| known.update.clone())
            .collect()
    }

    /// Removes members that have been dead, or have left, for at least `retention`.
    pub fn remove_expired(&mut self, now: Timestamp, retention: Duration) {
        self.members.retain(|_, known| {
            known.update.liveness <= Liveness::Suspect || now.since(known.since) < retention
        });
    }
}
