//! Everything known of the other members.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_types::{NodeId, Timestamp};

use crate::member::{Liveness, Update};

/// A member and since when it has been in its state.
#[derive(Clone, Debug)]
pub struct Known {
    /// The latest news.
    pub update: Update,
    /// When the state was entered, as seen here.
    pub since: Timestamp,
}

/// Members by node number.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, Known>,
}

impl MemberTable {
    /// Takes in `update`; true if it is news.
    pub fn merge(&mut self, update: Update, now: Timestamp) -> bool {
        let node = update.member.node;
        match self.members.get(&node) {
            Some(known) if !update.overrides(&known.update) => false,
            _ => {
                self.members.insert(node, Known { update, since: now });
                true
            }
        }
    }

    /// What is known of `node`.
    pub fn get(&self, node: NodeId) -> Option<&Known> {
        self.members.get(&node)
    }

    /// Everything that is known.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.members.values()
    }

    /// Members that may be up: alive or suspected.
    pub fn present(&self) -> impl Iterator<Item = &Known> {
        self.iter().filter(|known| known.update.liveness <= Liveness::Suspect)
    }

    /// Suspected members whose time to refute has run out.
    pub fn overdue_suspects(&self, now: Timestamp, timeout: Duration) -> Vec<Update> {
        self.iter()
            .filter(|known| known.update.liveness == Liveness::Suspect)
            .filter(|known| now.since(known.since) >= timeout)
            .map(|known| known.update.clone())
            .collect()
    }

    /// Forgets members that have been gone for longer than `retention`.
    pub fn forget_gone(&mut self, now: Timestamp, retention: Duration) {
        self.members.retain(|_, known| {
            known.update.liveness <= Liveness::Suspect || now.since(known.since) < retention
        });
    }
}
