//! What a router makes of what several replicas heard.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use juniper_types::{NodeId, Timestamp};

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

/// Microseconds from the origin of the router's time, below zero for what was before it.
type Moment = i64;

/// A server as one replica knows it.
#[derive(Clone, Debug)]
struct Known {
    heard: HeardInstance,
    /// When its life began, by the replica's word.
    began: Moment,
}

/// A server as all replicas together know it.
#[derive(Clone, Debug)]
struct Merged {
    /// Shared with the views of it, and replaced when something of it changes.
    instance: Arc<Instance>,
    began: Moment,
}

/// All servers that are known, by what each replica heard.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    sources: BTreeMap<NodeId, BTreeMap<InstanceId, Known>>,
    departed: BTreeSet<InstanceId>,
    /// Lives that are known at an address. One that began later has taken the place of the
    /// others, in whatever order their heartbeats come.
    at_address: BTreeMap<SocketAddrV4, BTreeSet<InstanceId>>,
    merged: BTreeMap<InstanceId, Merged>,
    /// Servers that may be used: they aren't leaving and have their address.
    usable: BTreeMap<InstanceId, Arc<Instance>>,
}

impl Directory {
    /// Takes in what the replica on `source` heard. With `whole` it is all that
    /// the replica knows, and what it knew before is void.
    pub fn hear(&mut self, source: NodeId, heard: Vec<HeardInstance>, whole: bool, now: Timestamp) {
        let mut touched: BTreeSet<InstanceId> = BTreeSet::new();
        let known = self.sources.entry(source).or_default();
        if whole {
            touched.extend(std::mem::take(known).into_keys());
        }
        for instance in heard {
            let id = instance.report.id.clone();
            let began = moment(now).saturating_sub_unsigned(instance.age_ms.saturating_mul(1_000));
            known.insert(id.clone(), Known { heard: instance, began });
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
        self.merged.values().map(|merged| &*merged.instance)
    }

    /// The servers that may be used. It costs one pointer each, so that a push that changes one of
    /// thousands costs little.
    pub fn usable(&self) -> Vec<Arc<Instance>> {
        self.usable.values().cloned().collect()
    }

    /// The server with this id.
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.merged.get(id).map(|merged| &*merged.instance)
    }

    /// The life that has an address: of those that aren't silent the one that began last, or that
    /// has sent fewer heartbeats where replicas don't tell ages.
    pub fn newest_at(&self, address: SocketAddrV4) -> Option<&InstanceId> {
        let lives = self.at_address.get(&address)?;
        if lives.len() == 1 {
            return lives.first();
        }
        let rank = |id: &&InstanceId| {
            let merged = self.merged.get(*id);
            merged.map(|merged| {
                let Merged { instance, began } = merged;
                (!instance.silent, *began, Reverse(instance.report.sequence))
            })
        };
        lives.iter().max_by_key(rank)
    }

    fn merge(&mut self, id: &InstanceId) {
        let earlier = self.merged.remove(id);
        if let Some(earlier) = &earlier {
            self.leave_address(earlier.instance.report.address, id);
        }
        self.usable.remove(id);
        self.merge_views(id, earlier.as_ref());
        let addresses = [earlier.as_ref(), self.merged.get(id)];
        let addresses = addresses.into_iter().flatten().map(|known| known.instance.report.address);
        let touched: BTreeSet<SocketAddrV4> = addresses.collect();
        touched.into_iter().for_each(|address| self.refresh_usable(address));
    }

    fn merge_views(&mut self, id: &InstanceId, earlier: Option<&Merged>) {
        let views = self.sources.values().filter_map(|known| known.get(id));
        let latest = views.clone().max_by_key(|view| view.heard.report.sequence);
        let Some(latest) = latest else { return };
        let report = latest.heard.report.clone();
        let silent = views.clone().all(|view| view.heard.silent);
        let began = views.clone().map(|view| view.began).min().unwrap_or(latest.began);
        let draining = report.state == InstanceState::Draining;
        let leaving = draining || self.departed.contains(id);
        self.at_address.entry(report.address).or_default().insert(id.clone());
        let instance = Instance { report, silent, leaving };
        let unchanged = earlier.filter(|earlier| *earlier.instance == instance);
        let instance =
            unchanged.map_or_else(|| Arc::new(instance), |earlier| Arc::clone(&earlier.instance));
        self.merged.insert(id.clone(), Merged { instance, began });
    }

    /// Finds out which of the lives at an address may be used.
    fn refresh_usable(&mut self, address: SocketAddrV4) {
        let newest = self.newest_at(address).cloned();
        for id in self.at_address.get(&address).into_iter().flatten() {
            let merged = self.merged.get(id).filter(|known| !known.instance.leaving);
            match merged.filter(|_| newest.as_ref() == Some(id)) {
                Some(known) => self.usable.insert(id.clone(), Arc::clone(&known.instance)),
                None => self.usable.remove(id),
            };
        }
    }

    fn leave_address(&mut self, address: SocketAddrV4, id: &InstanceId) {
        if let Some(lives) = self.at_address.get_mut(&address) {
            lives.remove(id);
            if lives.is_empty() {
                self.at_address.remove(&address);
            }
        }
    }
}

fn moment(now: Timestamp) -> Moment {
    i64::try_from(now.0).unwrap_or(i64::MAX)
}
