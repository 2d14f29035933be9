//! Merges the pushes of several replicas into one view. Performs no I/O and reads no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use juniper_catalog::{Catalog, CatalogIndex};
use juniper_clock::BootInstant;
use juniper_protocol::message::{
    CatalogBody, FleetUpdate, KnownVersion, QuarantineUpdate, RenewalUpdate, WeightsAge,
};
use juniper_registry::{Departure, Directory, InstanceId, InstanceName, ObservedInstance};
use juniper_types::{NodeId, RequestFingerprint, Timestamp, ZoneName};

use crate::confirmation::Confirmation;
use crate::view::{FleetView, WantedWeights};

/// Time after which a requested catalog is requested from another replica.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// State that one replica has pushed.
#[derive(Clone, Debug, Default)]
struct ReplicaState {
    revision: u64,
    catalog_version: u64,
    /// Members of the group, with their zones as far as known.
    members: BTreeMap<NodeId, Option<ZoneName>>,
    /// Whether the replica is in the zone of this node.
    in_own_zone: bool,
    connected: bool,
    /// Servers to which the replica is rolling out new weights.
    renewing: BTreeSet<InstanceId>,
    /// Confirmation (time and log index) that is pending until the view has reached its index.
    pending_confirmation: Option<(BootInstant, u64)>,
    /// Quarantined requests as of the revision.
    quarantined: Arc<BTreeSet<RequestFingerprint>>,
}

impl ReplicaState {
    fn apply_quarantine(&mut self, update: QuarantineUpdate) {
        let quarantined = Arc::make_mut(&mut self.quarantined);
        if update.is_complete {
            quarantined.clear();
        }
        quarantined.extend(update.added);
        for request in &update.released {
            quarantined.remove(request);
        }
    }
}

/// Result of merging a push.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether the view has changed.
    pub changed: bool,
    /// Replica to request the catalog from, and the version above which it is needed.
    pub fetch: Option<(NodeId, u64)>,
}

/// Builder of the view from the pushes of all replicas.
#[derive(Debug, Default)]
pub struct FleetViewBuilder {
    view: FleetView,
    replicas: BTreeMap<NodeId, ReplicaState>,
    directory: Directory,
    confirmation: Option<Confirmation>,
    /// Version of the requested catalog, and the time of the request.
    pending_fetch: Option<(u64, Timestamp)>,
}

impl FleetViewBuilder {
    /// Current view.
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Latest confirmation of the view.
    pub fn confirmation(&self) -> Option<Confirmation> {
        self.confirmation
    }

    /// Members of the group according to the connected replicas.
    pub fn members(&self) -> BTreeSet<NodeId> {
        let connected = self.replicas.values().filter(|replica| replica.connected);
        connected.flat_map(|replica| replica.members.keys().copied()).collect()
    }

    /// Members of the group with their zones, as far as any connected replica knows them.
    pub fn member_zones(&self) -> BTreeMap<NodeId, Option<ZoneName>> {
        let mut zones: BTreeMap<NodeId, Option<ZoneName>> = BTreeMap::new();
        for replica in self.replicas.values().filter(|replica| replica.connected) {
            for (node, zone) in &replica.members {
                let known = zones.entry(*node).or_default();
                if known.is_none() {
                    known.clone_from(zone);
                }
            }
        }
        zones
    }

    /// Records whether a replica is in the zone of this node.
    pub fn set_in_own_zone(&mut self, node: NodeId, in_own_zone: bool) {
        self.replicas.entry(node).or_default().in_own_zone = in_own_zone;
    }

    /// Drops the servers that other replicas pushed.
    pub fn retain_only_source(&mut self, node: NodeId) {
        self.directory.retain_sources(&[node]);
    }

    /// Removes servers that a replica reports as gone.
    pub fn remove_instances(&mut self, node: NodeId, removed: &[InstanceName]) -> MergeOutcome {
        self.directory.remove_instances(node, removed);
        MergeOutcome { changed: self.refresh_instances(), fetch: None }
    }

    /// Records that the link to a replica was established or lost.
    pub fn set_connected(&mut self, node: NodeId, connected: bool) -> MergeOutcome {
        let replica = self.replicas.entry(node).or_default();
        replica.connected = connected;
        // The replica reports rollouts again after the connection is re-established, if it still
        // dispatches the orders.
        replica.renewing.clear();
        MergeOutcome { changed: self.refresh_renewing(), fetch: None }
    }

    /// Applies the servers in rollout and the known weight versions that a replica pushed.
    pub fn apply_renewals(&mut self, node: NodeId, update: RenewalUpdate) -> MergeOutcome {
        let replica = self.replicas.entry(node).or_default();
        if update.is_complete {
            replica.renewing.clear();
        }
        let ended: BTreeSet<InstanceId> = update.ended_ids().into_iter().collect();
        replica.renewing.retain(|instance| !ended.contains(instance));
        replica.renewing.extend(update.renewing_ids());
        let changed = self.merge_versions(update.versions);
        MergeOutcome { changed: self.refresh_renewing() || changed, fetch: None }
    }

    fn refresh_renewing(&mut self) -> bool {
        let replicas = self.replicas.values();
        let renewing = replicas.flat_map(|replica| replica.renewing.iter().cloned()).collect();
        let changed = *self.view.renewing != renewing;
        if changed {
            self.view.renewing = Arc::new(renewing);
        }
        changed
    }

    /// Adds versions of weights that the servers haven't reported themselves yet, and drops those
    /// that they have.
    fn merge_versions(&mut self, latest: Vec<KnownVersion>) -> bool {
        if latest.is_empty() {
            return false;
        }
        let directory = &self.directory;
        let is_unreported = |known: &KnownVersion| {
            let server = directory.get(&known.instance);
            let server = server.filter(|server| server.id.is_same(&known.id()));
            server
                .is_some_and(|server| server.report.version_of(&known.model) < Some(known.version))
        };
        let latest: Vec<KnownVersion> = latest.into_iter().filter(is_unreported).collect();
        let is_replaced = |known: &KnownVersion| {
            latest.iter().any(|new| (&new.instance, &new.model) == (&known.instance, &known.model))
        };
        let earlier = self.view.versions.iter().filter(|known| is_unreported(known));
        let mut versions: Vec<KnownVersion> =
            earlier.filter(|known| !is_replaced(known)).cloned().collect();
        versions.extend(latest.iter().cloned());
        self.view.versions = Arc::new(versions);
        true
    }

    /// Applies the fleet state that a replica pushed.
    pub fn apply_fleet_update(
        &mut self,
        node: NodeId,
        update: FleetUpdate,
        now: Timestamp,
    ) -> MergeOutcome {
        let departed = update.departed();
        let members = members_of(&update);
        let replica = self.replicas.entry(node).or_default();
        replica.revision = replica.revision.max(update.revision);
        replica.catalog_version = replica.catalog_version.max(update.catalog_version);
        replica.members = members;
        if let Some(quarantine) = update.quarantine {
            replica.apply_quarantine(quarantine);
        }
        let mut changed = self.record_wanted_weights(update.weights, now);
        let ages = update.weights_ages.unwrap_or_default();
        changed |= self.apply_weights_ages(ages, now).changed;
        for departed in departed {
            self.directory.record_departure(&Departure::of(&departed), now);
        }
        changed |= self.refresh_instances();
        let members = self.members();
        let members: Vec<NodeId> = members.into_iter().collect();
        if !members.is_empty() {
            self.directory.retain_sources(&members);
            changed |= self.refresh_instances();
        }
        changed |= self.refresh_quarantined();
        changed |= self.advance();
        MergeOutcome { changed, fetch: self.next_fetch(now) }
    }

    /// Adopts the quarantine of the replica with the highest revision: a lagging replica would add
    /// released requests again.
    fn refresh_quarantined(&mut self) -> bool {
        let Some(newest) = self.replicas.values().max_by_key(|replica| replica.revision) else {
            return false;
        };
        let changed = self.view.quarantined != newest.quarantined;
        if changed {
            self.view.quarantined = Arc::clone(&newest.quarantined);
        }
        changed
    }

    /// Applies servers that a replica pushed; `is_complete` says that these are all it knows.
    pub fn apply_instances(
        &mut self,
        node: NodeId,
        observed: Vec<ObservedInstance>,
        is_complete: bool,
        now: Timestamp,
    ) -> MergeOutcome {
        self.directory.apply_observations(node, observed, is_complete, now);
        MergeOutcome { changed: self.refresh_instances(), fetch: None }
    }

    /// Applies a requested catalog; `None` means that the replica has no newer one.
    ///
    /// # Errors
    /// Fails when the catalog can't be decoded.
    pub fn apply_catalog(
        &mut self,
        body: Option<CatalogBody>,
        now: Timestamp,
    ) -> Result<MergeOutcome, minicbor::decode::Error> {
        self.pending_fetch = None;
        if let Some(body) = body.filter(|body| body.version > self.view.catalog_version()) {
            let catalog: Catalog = minicbor::decode(&body.body)?;
            self.view.catalog = Some(Arc::new(CatalogIndex::new(Arc::new(catalog))));
            self.advance();
            return Ok(MergeOutcome { changed: true, fetch: self.next_fetch(now) });
        }
        Ok(MergeOutcome { changed: false, fetch: self.next_fetch(now) })
    }

    /// Records a replica's confirmation that it was current at `at` and had applied the log up to
    /// `revision` then.
    pub fn record_confirmation(&mut self, node: NodeId, at: BootInstant, revision: u64) {
        if self.view.revision >= revision {
            self.accept_confirmation(Confirmation { at, replica: node });
        } else {
            self.replicas.entry(node).or_default().pending_confirmation = Some((at, revision));
        }
    }

    fn accept_confirmation(&mut self, confirmation: Confirmation) {
        if self.confirmation.is_none_or(|latest| latest.at < confirmation.at) {
            self.confirmation = Some(confirmation);
        }
    }

    /// Replica to request a catalog from and the version held, if a newer catalog exists and no
    /// request is pending.
    pub fn next_fetch(&mut self, now: Timestamp) -> Option<(NodeId, u64)> {
        let held = self.view.catalog_version();
        let has_newer =
            |replica: &ReplicaState| replica.connected && replica.catalog_version > held;
        let newer = self.replicas.iter().filter(|(_, replica)| has_newer(replica));
        // Catalogs are large; a replica of the own zone is preferred, to save traffic between
        // zones.
        let (node, newest_version) = newer
            .max_by_key(|(_, replica)| (replica.catalog_version, replica.in_own_zone))
            .map(|(node, replica)| (*node, replica.catalog_version))?;
        let is_pending = self.pending_fetch.is_some_and(|(version, requested_at)| {
            version >= newest_version && now.since(requested_at) < FETCH_TIMEOUT
        });
        if is_pending {
            return None;
        }
        self.pending_fetch = Some((newest_version, now));
        Some((node, held))
    }

    fn record_wanted_weights(&mut self, wanted: BTreeMap<String, u64>, now: Timestamp) -> bool {
        let mut changed = false;
        for (model, version) in wanted {
            let known = self.view.weights.get(&model).map_or(0, WantedWeights::version);
            if version > known {
                changed |= self.view.weights.entry(model).or_default().record_version(version, now);
            }
        }
        changed
    }

    /// Applies the times for which a replica has known versions of weights.
    pub fn apply_weights_ages(&mut self, ages: Vec<WeightsAge>, now: Timestamp) -> MergeOutcome {
        let mut changed = false;
        for WeightsAge { model, version, age_ms } in ages {
            let at = now.before(Duration::from_millis(age_ms));
            changed |= self.view.weights.entry(model).or_default().record_version(version, at);
        }
        MergeOutcome { changed, fetch: None }
    }

    /// Advances the view's revision to the highest one whose state it holds completely, and accepts
    /// the confirmations that were pending for it.
    fn advance(&mut self) -> bool {
        let held = self.view.catalog_version();
        let complete = self.replicas.values().filter(|replica| replica.catalog_version <= held);
        let revision = complete.map(|replica| replica.revision).max().unwrap_or(0);
        if revision <= self.view.revision {
            return false;
        }
        self.view.revision = revision;
        let take_reached = |(node, replica): (&NodeId, &mut ReplicaState)| {
            let pending = &mut replica.pending_confirmation;
            let (at, _) = pending.take_if(|(_, needed)| *needed <= revision)?;
            Some(Confirmation { at, replica: *node })
        };
        let reached: Vec<Confirmation> =
            self.replicas.iter_mut().filter_map(take_reached).collect();
        reached.into_iter().for_each(|confirmation| self.accept_confirmation(confirmation));
        true
    }

    /// Removes servers that have been silent for longer than the retention time.
    pub fn expire_silent_instances(&mut self, now: Timestamp) -> MergeOutcome {
        self.directory.expire_silent(now);
        MergeOutcome { changed: self.refresh_instances(), fetch: None }
    }

    fn refresh_instances(&mut self) -> bool {
        let is_changed = !self.directory.usable().is_copy_of(&self.view.instances);
        if is_changed {
            self.view.instances = self.directory.usable().clone();
        }
        is_changed
    }
}

/// Members named by an update. A zone that the replica doesn't know is `None`.
fn members_of(update: &FleetUpdate) -> BTreeMap<NodeId, Option<ZoneName>> {
    let zones = update.member_zones.iter().cloned().map(Some).chain(std::iter::repeat(None));
    let known = |zone: Option<ZoneName>| zone.filter(|zone| *zone != ZoneName::unknown());
    update.members.iter().copied().zip(zones.map(known)).collect()
}
