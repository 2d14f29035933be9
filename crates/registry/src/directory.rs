//! What a router makes of what several replicas heard.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use juniper_types::{NodeId, Timestamp};

use crate::departure::{Departure, Departures};
use crate::heard::HeardInstance;
use crate::incarnation::{InstanceId, InstanceName};
use crate::instance_map::InstanceMap;
use crate::report::{InstanceReport, InstanceState};

/// Time after which a server that a replica finds silent is forgotten. Replicas forget it by then
/// too, and don't tell; without it a router would keep every server that ever was.
const FORGET_SILENT_AFTER: Duration = Duration::from_secs(90);

/// A server as several replicas know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The incarnation.
    pub id: InstanceId,
    /// Its latest heartbeat, shared with what is known of the replica that told it: with thousands of
    /// servers, a second copy is megabytes at each router.
    pub report: Arc<InstanceReport>,
    /// Whether every replica that knows it finds it silent.
    pub silent: bool,
    /// Whether it is leaving, by its own word or by the replicated log.
    pub leaving: bool,
}

impl Instance {
    /// A server that has sent this heartbeat and isn't leaving.
    pub fn of(report: InstanceReport) -> Self {
        Instance { id: report.id(), report: Arc::new(report), silent: false, leaving: false }
    }
}

/// Microseconds from the origin of the router's time, below zero for what was before it.
type Moment = i64;

/// A server as one replica knows it.
#[derive(Clone, Debug)]
struct Known {
    report: Arc<InstanceReport>,
    silent: bool,
    /// When its incarnation began, by the replica's word.
    began: Moment,
    told_at: Timestamp,
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
    sources: BTreeMap<NodeId, BTreeMap<InstanceName, Known>>,
    departures: Departures,
    /// Servers that are known at an address. One that began later has taken the place of the
    /// others, in whatever order their heartbeats come.
    at_address: BTreeMap<SocketAddrV4, BTreeSet<InstanceName>>,
    merged: BTreeMap<InstanceName, Merged>,
    /// Servers that may be used: they aren't leaving and have their address.
    usable: InstanceMap,
}

impl Directory {
    /// Takes in what the replica on `source` heard. With `whole` it is all that
    /// the replica knows, and what it knew before is void.
    pub fn hear(&mut self, source: NodeId, heard: Vec<HeardInstance>, whole: bool, now: Timestamp) {
        let mut touched: BTreeSet<InstanceName> = BTreeSet::new();
        let known = self.sources.entry(source).or_default();
        if whole {
            touched.extend(std::mem::take(known).into_keys());
        }
        for instance in heard {
            let HeardInstance { report, silent, age_ms } = instance;
            let name = report.name.clone();
            let began = moment(now).saturating_sub_unsigned(age_ms.saturating_mul(1_000));
            let report = Arc::new(report);
            known.insert(name.clone(), Known { report, silent, began, told_at: now });
            touched.insert(name);
        }
        touched.iter().for_each(|name| self.merge(name));
    }

    /// Forgets what the replica on `source` knew of these servers: they are gone.
    pub fn forget(&mut self, source: NodeId, names: &[InstanceName]) {
        let Some(known) = self.sources.get_mut(&source) else { return };
        names.iter().for_each(|name| {
            known.remove(name);
        });
        names.iter().for_each(|name| self.merge(name));
    }

    /// Forgets every replica that isn't in `members`.
    pub fn keep_sources(&mut self, members: &[NodeId]) {
        let gone: Vec<NodeId> =
            self.sources.keys().copied().filter(|node| !members.contains(node)).collect();
        for source in gone {
            let known = self.sources.remove(&source).unwrap_or_default();
            known.keys().for_each(|name| self.merge(name));
        }
    }

    /// A server is leaving or gone by the replicated log.
    pub fn depart(&mut self, departure: &Departure, now: Timestamp) {
        self.departures.add(departure, now);
        self.merge(&departure.name);
        let merged = &self.merged;
        self.departures.forget(now, |name| merged.contains_key(name));
    }

    /// Forgets servers that have been silent for long, so that what is kept grows with the
    /// servers that there are and not with those that there were.
    pub fn forget_gone(&mut self, now: Timestamp) {
        let mut gone: BTreeSet<InstanceName> = BTreeSet::new();
        for known in self.sources.values_mut() {
            known.retain(|name, known| {
                let is_gone = known.silent && now.since(known.told_at) >= FORGET_SILENT_AFTER;
                if is_gone {
                    gone.insert(name.clone());
                }
                !is_gone
            });
        }
        gone.iter().for_each(|name| self.merge(name));
    }

    /// Departures that are remembered.
    pub fn departures(&self) -> usize {
        self.departures.count()
    }

    /// Every server that is known, leaving and silent ones too.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.merged.values().map(|merged| &*merged.instance)
    }

    /// The servers that may be used.
    pub fn usable(&self) -> &InstanceMap {
        &self.usable
    }

    /// The latest incarnation of this server.
    pub fn get(&self, name: &InstanceName) -> Option<&Instance> {
        self.merged.get(name).map(|merged| &*merged.instance)
    }

    /// The server that has an address: of those that aren't silent the one that started last. Where
    /// servers don't tell when they started, it is the one that began last by the replicas' word,
    /// or that has sent fewer heartbeats where replicas don't tell ages.
    pub fn newest_at(&self, address: SocketAddrV4) -> Option<&InstanceName> {
        let servers = self.at_address.get(&address)?;
        if servers.len() == 1 {
            return servers.first();
        }
        let rank = |name: &&InstanceName| {
            let merged = self.merged.get(*name);
            merged.map(|merged| {
                let Merged { instance, began } = merged;
                let report = &instance.report;
                (!instance.silent, report.started, *began, Reverse(report.sequence))
            })
        };
        servers.iter().max_by_key(rank)
    }

    fn merge(&mut self, name: &InstanceName) {
        let earlier = self.merged.remove(name);
        if let Some(earlier) = &earlier {
            self.leave_address(earlier.instance.report.address, name);
        }
        self.merge_views(name, earlier.as_ref());
        if !self.merged.contains_key(name) {
            self.usable.remove(name);
        }
        let addresses = [earlier.as_ref(), self.merged.get(name)];
        let addresses = addresses.into_iter().flatten().map(|known| known.instance.report.address);
        let touched: BTreeSet<SocketAddrV4> = addresses.collect();
        touched.into_iter().for_each(|address| self.refresh_usable(address));
    }

    /// Makes one of what the replicas know of a server. Only the incarnation that started last
    /// counts: a replica that still knows an earlier one says nothing of it.
    fn merge_views(&mut self, name: &InstanceName, earlier: Option<&Merged>) {
        let views = self.sources.values().filter_map(|known| known.get(name));
        let newest = |view: &&Known| (view.report.started, view.report.sequence);
        let Some(latest) = views.clone().max_by_key(newest) else { return };
        let report = Arc::clone(&latest.report);
        let of_latest = views.filter(|view| view.report.started == report.started);
        let silent = of_latest.clone().all(|view| view.silent);
        let began = of_latest.map(|view| view.began).min().unwrap_or(latest.began);
        let id = report.id();
        let draining = report.state == InstanceState::Draining;
        let leaving = draining || self.departures.covers(&id);
        self.at_address.entry(report.address).or_default().insert(name.clone());
        let instance = Instance { id, report, silent, leaving };
        let unchanged = earlier.filter(|earlier| *earlier.instance == instance);
        let instance =
            unchanged.map_or_else(|| Arc::new(instance), |earlier| Arc::clone(&earlier.instance));
        self.merged.insert(name.clone(), Merged { instance, began });
    }

    /// Finds out which of the servers at an address may be used.
    fn refresh_usable(&mut self, address: SocketAddrV4) {
        let newest = self.newest_at(address).cloned();
        for name in self.at_address.get(&address).into_iter().flatten() {
            let merged = self.merged.get(name).filter(|known| !known.instance.leaving);
            match merged.filter(|_| newest.as_ref() == Some(name)) {
                Some(known) => keep(&mut self.usable, &known.instance),
                None => self.usable.remove(name),
            }
        }
    }

    fn leave_address(&mut self, address: SocketAddrV4, name: &InstanceName) {
        if let Some(servers) = self.at_address.get_mut(&address) {
            servers.remove(name);
            if servers.is_empty() {
                self.at_address.remove(&address);
            }
        }
    }
}

/// Puts a server in, unless it is there: views go on sharing what doesn't change.
fn keep(usable: &mut InstanceMap, instance: &Arc<Instance>) {
    let is_kept = usable.get(instance.id.name()).is_some_and(|known| Arc::ptr_eq(known, instance));
    if !is_kept {
        usable.insert(Arc::clone(instance));
    }
}

fn moment(now: Timestamp) -> Moment {
    i64::try_from(now.0).unwrap_or(i64::MAX)
}
