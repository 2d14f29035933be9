//! Directory of servers, merged from the observations of several replicas.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use juniper_types::{NodeId, Timestamp};

use crate::departure::{Departure, Departures};
use crate::incarnation::{InstanceId, InstanceName};
use crate::instance_map::InstanceMap;
use crate::observed::ObservedInstance;
use crate::report::{InstanceReport, InstanceState};

/// Time after which a server that a replica reports as silent is removed. By then the replica has
/// removed it too, which it doesn't report.
const SILENT_RETENTION: Duration = Duration::from_secs(90);

/// Server as known to all replicas together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Latest known incarnation.
    pub id: InstanceId,
    /// Latest heartbeat, shared with the observation that it came from: with thousands of servers,
    /// a second copy would take megabytes in each router.
    pub report: Arc<InstanceReport>,
    /// Whether all replicas that know the incarnation report it as silent.
    pub silent: bool,
    /// Whether the server is departing, by its own report or by the replicated log.
    pub departing: bool,
}

impl Instance {
    /// Server with this heartbeat that is neither silent nor departing.
    pub fn of(report: InstanceReport) -> Self {
        Instance { id: report.id(), report: Arc::new(report), silent: false, departing: false }
    }
}

/// Server as known to one replica.
#[derive(Clone, Debug)]
struct Observation {
    report: Arc<InstanceReport>,
    silent: bool,
    /// Start of the incarnation, from the age that the replica reports.
    began: Timestamp,
    received_at: Timestamp,
}

/// Merged observations of one server.
#[derive(Clone, Debug)]
struct Merged {
    /// Shared with the published views, and replaced when it changes.
    instance: Arc<Instance>,
    began: Timestamp,
}

/// All known servers, with the observations of each replica.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    sources: BTreeMap<NodeId, BTreeMap<InstanceName, Observation>>,
    departures: Departures,
    /// Servers by address. Of several at one address only the one that started last is usable, in
    /// whatever order their heartbeats arrive.
    by_address: BTreeMap<SocketAddrV4, BTreeSet<InstanceName>>,
    merged: BTreeMap<InstanceName, Merged>,
    /// Usable servers: not departing, and not replaced at their address.
    usable: InstanceMap,
}

impl Directory {
    /// Applies the observations of the replica `source`. If `is_complete` is set, they replace all
    /// its earlier ones.
    pub fn apply_observations(
        &mut self,
        source: NodeId,
        observed: Vec<ObservedInstance>,
        is_complete: bool,
        now: Timestamp,
    ) {
        let mut touched: BTreeSet<InstanceName> = BTreeSet::new();
        let known = self.sources.entry(source).or_default();
        if is_complete {
            touched.extend(std::mem::take(known).into_keys());
        }
        for instance in observed {
            let ObservedInstance { report, silent, age_ms } = instance;
            let name = report.name.clone();
            let began = now.before(Duration::from_millis(age_ms));
            let report = Arc::new(report);
            known.insert(name.clone(), Observation { report, silent, began, received_at: now });
            touched.insert(name);
        }
        touched.iter().for_each(|name| self.update_merged(name));
    }

    /// Removes the observations of these servers by the replica `source`.
    pub fn remove_instances(&mut self, source: NodeId, names: &[InstanceName]) {
        let Some(known) = self.sources.get_mut(&source) else { return };
        names.iter().for_each(|name| {
            known.remove(name);
        });
        names.iter().for_each(|name| self.update_merged(name));
    }

    /// Removes the observations of all replicas that aren't in `members`.
    pub fn retain_sources(&mut self, members: &[NodeId]) {
        let gone: Vec<NodeId> =
            self.sources.keys().copied().filter(|node| !members.contains(node)).collect();
        for source in gone {
            let known = self.sources.remove(&source).unwrap_or_default();
            known.keys().for_each(|name| self.update_merged(name));
        }
    }

    /// Records a departure from the replicated log.
    pub fn record_departure(&mut self, departure: &Departure, now: Timestamp) {
        self.departures.add(departure, now);
        self.update_merged(&departure.name);
        let merged = &self.merged;
        self.departures.expire(now, |name| merged.contains_key(name));
    }

    /// Removes servers that have been silent for the retention time, so that memory use depends on
    /// the number of present servers only.
    pub fn expire_silent(&mut self, now: Timestamp) {
        let mut gone: BTreeSet<InstanceName> = BTreeSet::new();
        for known in self.sources.values_mut() {
            known.retain(|name, known| {
                let is_gone = known.silent && now.since(known.received_at) >= SILENT_RETENTION;
                if is_gone {
                    gone.insert(name.clone());
                }
                !is_gone
            });
        }
        gone.iter().for_each(|name| self.update_merged(name));
    }

    /// Number of departures kept.
    pub fn departure_count(&self) -> usize {
        self.departures.count()
    }

    /// All known servers, including departing and silent ones.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.merged.values().map(|merged| &*merged.instance)
    }

    /// Usable servers.
    pub fn usable(&self) -> &InstanceMap {
        &self.usable
    }

    /// Server with the given name, in its latest known incarnation.
    pub fn get(&self, name: &InstanceName) -> Option<&Instance> {
        self.merged.get(name).map(|merged| &*merged.instance)
    }

    /// Server that currently uses an address: among those that aren't silent, the one that started
    /// last. Without start times this is the one whose incarnation began last according to the
    /// replicas, and without ages the one with the lowest sequence number.
    pub fn current_at(&self, address: SocketAddrV4) -> Option<&InstanceName> {
        let servers = self.by_address.get(&address)?;
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

    fn update_merged(&mut self, name: &InstanceName) {
        let earlier = self.merged.remove(name);
        if let Some(earlier) = &earlier {
            self.remove_from_address(earlier.instance.report.address, name);
        }
        self.merge_observations(name, earlier.as_ref());
        if !self.merged.contains_key(name) {
            self.usable.remove(name);
        }
        let addresses = [earlier.as_ref(), self.merged.get(name)];
        let addresses = addresses.into_iter().flatten().map(|known| known.instance.report.address);
        let touched: BTreeSet<SocketAddrV4> = addresses.collect();
        touched.into_iter().for_each(|address| self.refresh_usable(address));
    }

    /// Merges the replicas' observations of a server. Only those of the latest incarnation count.
    fn merge_observations(&mut self, name: &InstanceName, earlier: Option<&Merged>) {
        let observations = self.sources.values().filter_map(|known| known.get(name));
        let newest =
            |observation: &&Observation| (observation.report.started, observation.report.sequence);
        let Some(latest) = observations.clone().max_by_key(newest) else { return };
        let report = Arc::clone(&latest.report);
        let of_latest =
            observations.filter(|observation| observation.report.started == report.started);
        let silent = of_latest.clone().all(|observation| observation.silent);
        let began = of_latest.map(|observation| observation.began).min().unwrap_or(latest.began);
        let id = report.id();
        let draining = report.state == InstanceState::Draining;
        let departing = draining || self.departures.covers(&id);
        self.by_address.entry(report.address).or_default().insert(name.clone());
        let instance = Instance { id, report, silent, departing };
        let unchanged = earlier.filter(|earlier| *earlier.instance == instance);
        let instance =
            unchanged.map_or_else(|| Arc::new(instance), |earlier| Arc::clone(&earlier.instance));
        self.merged.insert(name.clone(), Merged { instance, began });
    }

    /// Updates which of the servers at an address is usable.
    fn refresh_usable(&mut self, address: SocketAddrV4) {
        let newest = self.current_at(address).cloned();
        for name in self.by_address.get(&address).into_iter().flatten() {
            let merged = self.merged.get(name).filter(|known| !known.instance.departing);
            match merged.filter(|_| newest.as_ref() == Some(name)) {
                Some(known) => insert_if_changed(&mut self.usable, &known.instance),
                None => self.usable.remove(name),
            }
        }
    }

    fn remove_from_address(&mut self, address: SocketAddrV4, name: &InstanceName) {
        if let Some(servers) = self.by_address.get_mut(&address) {
            servers.remove(name);
            if servers.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }
}

/// Inserts a server unless the same reference is already there, so that views go on sharing
/// unchanged buckets.
fn insert_if_changed(usable: &mut InstanceMap, instance: &Arc<Instance>) {
    let is_unchanged =
        usable.get(instance.id.name()).is_some_and(|known| Arc::ptr_eq(known, instance));
    if !is_unchanged {
        usable.insert(Arc::clone(instance));
    }
}
