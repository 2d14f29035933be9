//! What a router makes of what several replicas heard.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use juniper_types::NodeId;

use crate::heard::HeardInstance;
use crate::report::{InstanceId, InstanceReport, InstanceState};

/// A server as several replicas know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its latest heartbeat.
    pub report: InstanceReport,
    /// Whether every replica that knows it finds it silent.
    pub silent: bool,
    /// Whether it is leaving, by its own word or by the replicated log.
    pub leaving: bool,
}

/// All servers that are known, by what each replica heard.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    sources: BTreeMap<NodeId, BTreeMap<InstanceId, HeardInstance>>,
    departed: BTreeSet<InstanceId>,
    /// Life that was heard of last at an address. An earlier one there is gone.
    newest_at: BTreeMap<SocketAddrV4, InstanceId>,
    merged: BTreeMap<InstanceId, Instance>,
}

impl Directory {
    /// Takes in what the replica on `source` heard. With `whole` it is all that
    /// the replica knows, and what it knew before is void.
    pub fn hear(&mut self, source: NodeId, heard: Vec<HeardInstance>, whole: bool) {
        let mut touched: BTreeSet<InstanceId> = BTreeSet::new();
        let known = self.sources.entry(source).or_default();
        if whole {
            touched.extend(std::mem::take(known).into_keys());
        }
        for instance in heard {
            let id = instance.report.id.clone();
            let is_new = !self.merged.contains_key(&id) && !instance.silent;
            if is_new {
                self.newest_at.insert(instance.report.address, id.clone());
            }
            known.insert(id.clone(), instance);
            touched.insert(id);
        }
        touched.iter().for_each(|id| self.merge(id));
    }

    /// Forgets every replica that isn't in `members`.
    pub fn keep_sources(&mut self, members: &[NodeId]) {
        let gone: Vec<NodeId> =
            self.sources.keys().copied().filter(|node| !members.contains(node)).collect();
        for source in gone {
            let known = self.sources.remove(&source).unwrap_or_default();
            known.keys().for_each(|id| self.merge(id));
        }
    }

    /// These servers, and no others, are leaving or gone by the replicated log.
    pub fn set_departed(&mut self, departed: BTreeSet<InstanceId>) {
        let changed: Vec<InstanceId> =
            self.departed.symmetric_difference(&departed).cloned().collect();
        self.departed = departed;
        changed.iter().for_each(|id| self.merge(id));
    }

    /// Every server that is known, leaving and silent ones too.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.merged.values()
    }

    /// The server with this id.
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.merged.get(id)
    }

    /// The life that was heard of last at an address.
    pub fn newest_at(&self, address: SocketAddrV4) -> Option<&InstanceId> {
        self.newest_at.get(&address)
    }

    fn merge(&mut self, id: &InstanceId) {
        let views = self.sources.values().filter_map(|known| known.get(id));
        let latest = views.clone().max_by_key(|view| view.report.sequence);
        let Some(latest) = latest else {
            if let Some(forgotten) = self.merged.remove(id) {
                self.newest_at
                    .retain(|address, newest| *address != forgotten.report.address || newest != id);
            }
            return;
        };
        let report = latest.report.clone();
        let silent = views.clone().all(|view| view.silent);
        let draining = report.state == InstanceState::Draining;
        let leaving = draining || self.departed.contains(id);
        self.merged.insert(id.clone(), Instance { report, silent, leaving });
    }
}
