//! Makes one view of what several replicas push. Pure: pushes and time in, view out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use juniper_catalog::{Catalog, CatalogIndex};
use juniper_protocol::message::{
    CatalogBody, FleetUpdate, KnownVersion, QuarantineUpdate, RenewalUpdate,
};
use juniper_registry::{Departure, Directory, HeardInstance, InstanceId, InstanceName};
use juniper_types::{NodeId, RequestFingerprint, Timestamp, ZoneName};

use crate::view::{FleetView, WantedWeights};

/// Time after which a configuration that was asked for is asked for elsewhere.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// What the latest news of a replica amount to.
#[derive(Clone, Debug, Default)]
struct Source {
    revision: u64,
    catalog_version: u64,
    /// The replicas, with their zones where they are known.
    members: BTreeMap<NodeId, Option<ZoneName>>,
    /// Whether it is in the zone of this node.
    near: bool,
    connected: bool,
    routers: u32,
    /// Servers that the replica is renewing.
    renewing: BTreeSet<InstanceId>,
    /// A confirmation that waits until the view has caught up with its revision.
    unproved: Option<(Timestamp, u64)>,
    /// Requests in quarantine as of its revision.
    quarantined: Arc<BTreeSet<RequestFingerprint>>,
}

impl Source {
    fn take_quarantine(&mut self, news: QuarantineUpdate) {
        let quarantined = Arc::make_mut(&mut self.quarantined);
        if news.is_complete {
            quarantined.clear();
        }
        quarantined.extend(news.added);
        for request in &news.released {
            quarantined.remove(request);
        }
    }
}

/// What has to be done after something was taken in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FoldOutcome {
    /// The view has changed.
    pub changed: bool,
    /// Ask this replica for the configuration above the version.
    pub fetch: Option<(NodeId, u64)>,
}

/// Merges the pushes of all replicas.
#[derive(Debug, Default)]
pub struct FleetFold {
    view: FleetView,
    sources: BTreeMap<NodeId, Source>,
    directory: Directory,
    confirmed_at: Option<Timestamp>,
    /// The configuration that was asked for, and when.
    fetching: Option<(u64, Timestamp)>,
}

impl FleetFold {
    /// The view.
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Time up to which a quorum has confirmed that the view was complete.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// The replicas that connected ones name as members.
    pub fn members(&self) -> BTreeSet<NodeId> {
        let connected = self.sources.values().filter(|source| source.connected);
        connected.flat_map(|source| source.members.keys().copied()).collect()
    }

    /// The same, with their zones where any replica knows them.
    pub fn member_zones(&self) -> BTreeMap<NodeId, Option<ZoneName>> {
        let mut zones: BTreeMap<NodeId, Option<ZoneName>> = BTreeMap::new();
        for source in self.sources.values().filter(|source| source.connected) {
            for (node, zone) in &source.members {
                let known = zones.entry(*node).or_default();
                if known.is_none() {
                    known.clone_from(zone);
                }
            }
        }
        zones
    }

    /// Whether a replica is in the zone of this node.
    pub fn set_near(&mut self, node: NodeId, near: bool) {
        self.sources.entry(node).or_default().near = near;
    }

    /// What one replica knows of servers is all that is known.
    pub fn keep_only(&mut self, node: NodeId) {
        self.directory.keep_sources(&[node]);
    }

    /// Servers that a replica has told to be gone.
    pub fn forget(&mut self, node: NodeId, gone: &[InstanceName]) -> FoldOutcome {
        self.directory.forget(node, gone);
        FoldOutcome { changed: self.refresh_instances(), fetch: None }
    }

    /// A replica is followed from now on, or can't be any more.
    pub fn set_connected(&mut self, node: NodeId, connected: bool) -> FoldOutcome {
        let source = self.sources.entry(node).or_default();
        source.connected = connected;
        // Who gives orders is known again only once it says so.
        source.renewing.clear();
        FoldOutcome { changed: self.refresh_renewing(), fetch: None }
    }

    /// Servers that a replica is renewing, and versions of weights that it knows of.
    pub fn renewals(&mut self, node: NodeId, news: RenewalUpdate) -> FoldOutcome {
        let source = self.sources.entry(node).or_default();
        if news.is_complete {
            source.renewing.clear();
        }
        let ended: BTreeSet<InstanceId> = news.ended_ids().into_iter().collect();
        source.renewing.retain(|instance| !ended.contains(instance));
        source.renewing.extend(news.renewing_ids());
        let changed = self.learn_versions(news.versions);
        FoldOutcome { changed: self.refresh_renewing() || changed, fetch: None }
    }

    fn refresh_renewing(&mut self) -> bool {
        let sources = self.sources.values();
        let renewing = sources.flat_map(|source| source.renewing.iter().cloned()).collect();
        let changed = *self.view.renewing != renewing;
        if changed {
            self.view.renewing = Arc::new(renewing);
        }
        changed
    }

    /// Keeps versions until the servers' own reports have them.
    fn learn_versions(&mut self, latest: Vec<KnownVersion>) -> bool {
        if latest.is_empty() {
            return false;
        }
        let directory = &self.directory;
        let is_news = |known: &KnownVersion| {
            let server = directory.get(&known.instance);
            let server = server.filter(|server| server.id.is_same(&known.id()));
            server
                .is_some_and(|server| server.report.version_of(&known.model) < Some(known.version))
        };
        let latest: Vec<KnownVersion> = latest.into_iter().filter(is_news).collect();
        let is_told_anew = |known: &KnownVersion| {
            latest.iter().any(|new| (&new.instance, &new.model) == (&known.instance, &known.model))
        };
        let earlier = self.view.versions.iter().filter(|known| is_news(known));
        let mut versions: Vec<KnownVersion> =
            earlier.filter(|known| !is_told_anew(known)).cloned().collect();
        versions.extend(latest.iter().cloned());
        self.view.versions = Arc::new(versions);
        true
    }

    /// Routers that follow a replica.
    pub fn set_routers(&mut self, node: NodeId, routers: u32) {
        self.sources.entry(node).or_default().routers = routers;
    }

    /// Routers that are known to exist: as many as the best informed replica
    /// names that is connected.
    pub fn routers(&self) -> u32 {
        let connected = self.sources.values().filter(|source| source.connected);
        connected.map(|source| source.routers).max().unwrap_or(0).max(1)
    }

    /// News of what the fleet agrees on.
    pub fn news(&mut self, node: NodeId, news: FleetUpdate, now: Timestamp) -> FoldOutcome {
        let departed = news.departed();
        let members = members_of(&news);
        let source = self.sources.entry(node).or_default();
        source.revision = source.revision.max(news.revision);
        source.catalog_version = source.catalog_version.max(news.catalog_version);
        source.members = members;
        if let Some(news) = news.quarantine {
            source.take_quarantine(news);
        }
        let mut changed = self.want_weights(news.weights, now);
        for departed in departed {
            self.directory.depart(&Departure::of(&departed), now);
        }
        changed |= self.refresh_instances();
        let members = self.members();
        let members: Vec<NodeId> = members.into_iter().collect();
        if !members.is_empty() {
            self.directory.keep_sources(&members);
            changed |= self.refresh_instances();
        }
        changed |= self.refresh_quarantined();
        changed |= self.advance();
        FoldOutcome { changed, fetch: self.next_fetch(now) }
    }

    /// Takes over the quarantine of the replica that has applied most of the log: one that lags
    /// behind would bring back what was released.
    fn refresh_quarantined(&mut self) -> bool {
        let Some(newest) = self.sources.values().max_by_key(|source| source.revision) else {
            return false;
        };
        let changed = self.view.quarantined != newest.quarantined;
        if changed {
            self.view.quarantined = Arc::clone(&newest.quarantined);
        }
        changed
    }

    /// Servers that a replica has heard of.
    pub fn instances(
        &mut self,
        node: NodeId,
        heard: Vec<HeardInstance>,
        whole: bool,
        now: Timestamp,
    ) -> FoldOutcome {
        self.directory.hear(node, heard, whole, now);
        FoldOutcome { changed: self.refresh_instances(), fetch: None }
    }

    /// A configuration that was asked for.
    ///
    /// # Errors
    /// Fails when it can't be read.
    pub fn catalog(
        &mut self,
        body: Option<CatalogBody>,
        now: Timestamp,
    ) -> Result<FoldOutcome, minicbor::decode::Error> {
        self.fetching = None;
        if let Some(body) = body.filter(|body| body.version > self.view.catalog_version()) {
            let catalog: Catalog = minicbor::decode(&body.body)?;
            self.view.catalog = Some(Arc::new(CatalogIndex::new(Arc::new(catalog))));
            self.advance();
            return Ok(FoldOutcome { changed: true, fetch: self.next_fetch(now) });
        }
        Ok(FoldOutcome { changed: false, fetch: self.next_fetch(now) })
    }

    /// A replica said that it was current at `at` and had applied the log up to
    /// `revision` for certain then.
    pub fn confirmed(&mut self, node: NodeId, at: Timestamp, revision: u64) {
        if self.view.revision >= revision {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        } else {
            self.sources.entry(node).or_default().unproved = Some((at, revision));
        }
    }

    /// The configuration to ask for and where, if one is missing and none is on its way.
    pub fn next_fetch(&mut self, now: Timestamp) -> Option<(NodeId, u64)> {
        let held = self.view.catalog_version();
        let has_newer = |source: &Source| source.connected && source.catalog_version > held;
        let newer = self.sources.iter().filter(|(_, source)| has_newer(source));
        // Configurations are large: one from a replica of the own zone crosses to no other zone.
        let (node, newest) = newer
            .max_by_key(|(_, source)| (source.catalog_version, source.near))
            .map(|(node, source)| (*node, source.catalog_version))?;
        let under_way = self
            .fetching
            .is_some_and(|(version, asked)| version >= newest && now.since(asked) < FETCH_TIMEOUT);
        if under_way {
            return None;
        }
        self.fetching = Some((newest, now));
        Some((node, held))
    }

    fn want_weights(&mut self, wanted: BTreeMap<String, u64>, now: Timestamp) -> bool {
        let mut changed = false;
        for (model, version) in wanted {
            let known = self.view.weights.get(&model).map_or(0, WantedWeights::version);
            if version > known {
                self.view.weights.entry(model).or_default().name(version, now);
                changed = true;
            }
        }
        changed
    }

    /// Moves the view's revision up to what it holds whole, and accepts the
    /// confirmations that waited for it.
    fn advance(&mut self) -> bool {
        let held = self.view.catalog_version();
        let whole = self.sources.values().filter(|source| source.catalog_version <= held);
        let revision = whole.map(|source| source.revision).max().unwrap_or(0);
        if revision <= self.view.revision {
            return false;
        }
        self.view.revision = revision;
        for source in self.sources.values_mut() {
            if let Some((at, _)) = source.unproved.take_if(|(_, needed)| *needed <= revision) {
                self.confirmed_at = self.confirmed_at.max(Some(at));
            }
        }
        true
    }

    /// Forgets servers that have been gone for long.
    pub fn forget_gone(&mut self, now: Timestamp) -> FoldOutcome {
        self.directory.forget_gone(now);
        FoldOutcome { changed: self.refresh_instances(), fetch: None }
    }

    fn refresh_instances(&mut self) -> bool {
        let is_changed = !self.directory.usable().is_copy_of(&self.view.instances);
        if is_changed {
            self.view.instances = self.directory.usable().clone();
        }
        is_changed
    }
}

/// The members that news name. A zone that replicas don't know counts as none.
fn members_of(news: &FleetUpdate) -> BTreeMap<NodeId, Option<ZoneName>> {
    let zones = news.member_zones.iter().cloned().map(Some).chain(std::iter::repeat(None));
    let known = |zone: Option<ZoneName>| zone.filter(|zone| *zone != ZoneName::unknown());
    news.members.iter().copied().zip(zones.map(known)).collect()
}
