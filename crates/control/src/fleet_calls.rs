//! Calls from operators and from servers of generic services, accepted by any replica.
//!
//! Configurations, weight versions and departures are committed before the call is answered.
//! Heartbeats are kept in memory only.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use juniper_catalog::{Catalog, CatalogFault};
use juniper_control_state::{
    AcceptedCatalog, Answer, CatalogAnswer, Command, FleetState, to_bytes,
};
use juniper_protocol::Refusal;
use juniper_registry::{
    Departure, HeartbeatOutcome, InstanceMap, InstanceName, InstanceReport, InstanceState,
    StartTime,
};
use juniper_types::NodeId;
use tokio::time::{sleep, timeout};

use crate::clock::{unix_millis, unix_seconds};
use crate::fleet_publisher::{FleetPublisher, ServerPublishers};
use crate::instances::InstancePublisher;
use crate::known_incarnation::KnownIncarnation;
use crate::metrics::Metrics;
use crate::renewal_log::Renewals;
use crate::replica::ReplicaView;
use crate::replica_group::ReplicaGroup;

/// Time for the end of a caller's connection to arrive after its call. A partition that held both
/// back delivers them a few round trips apart.
const CALLER_CHECK_TIME: Duration = Duration::from_millis(50);

/// Longest time until a state that was read is published.
const PUBLICATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of a fleet call.
#[derive(Debug, thiserror::Error)]
pub enum FleetCallError {
    /// The configuration is invalid.
    #[error("the configuration has {} fault(s), the first: {}", .0.len(), .0[0])]
    Invalid(Vec<CatalogFault>),
    /// The replicas refused the call or no quorum answered in time.
    #[error(transparent)]
    Refused(#[from] Refusal),
}

/// Document of a configuration within the published state, which is not copied.
struct SharedDocument(Arc<FleetState>);

impl AsRef<[u8]> for SharedDocument {
    fn as_ref(&self) -> &[u8] {
        self.0.catalog().map_or(&[], |catalog| &catalog.document)
    }
}

/// Handler of fleet calls.
#[derive(Clone)]
pub struct FleetCalls {
    group: ReplicaGroup,
    instance_publisher: Arc<InstancePublisher>,
    view: ReplicaView,
    fleet_publisher: Arc<FleetPublisher>,
    metrics: Arc<Metrics>,
}

impl FleetCalls {
    pub(crate) fn new(
        group: ReplicaGroup,
        publishers: ServerPublishers,
        view: ReplicaView,
        metrics: Arc<Metrics>,
    ) -> Self {
        let ServerPublishers { observed: instance_publisher, fleet: fleet_publisher } = publishers;
        FleetCalls { group, instance_publisher, view, fleet_publisher, metrics }
    }

    /// Commits a configuration if it is valid and newer than the current one. `document` is the
    /// text as written by the operator.
    ///
    /// # Errors
    /// Fails if the configuration is invalid, whatever its version, or if no quorum commits it.
    pub async fn put_catalog(
        &self,
        catalog: &Catalog,
        document: Vec<u8>,
    ) -> Result<CatalogAnswer, FleetCallError> {
        let version = catalog.version;
        let faults = catalog.faults();
        if !faults.is_empty() {
            log::warn!("event=catalog_refused version={version} reason=\"{}\"", faults[0]);
            return Err(FleetCallError::Invalid(faults));
        }
        let catalog = AcceptedCatalog { version, body: to_bytes(catalog), document };
        let answer = self.write("catalog", Command::PutCatalog { catalog }).await?;
        let Answer::Catalog(answer) = answer else { return Err(Refusal::Unknown.into()) };
        log::info!("event=catalog_acknowledged version={version} answer=\"{answer:?}\"");
        Ok(answer)
    }

    /// Reads the operator's text of the latest configuration, confirmed by a quorum.
    ///
    /// # Errors
    /// Fails if no quorum confirms the read in time.
    pub async fn catalog_document(&self) -> Result<Option<Bytes>, Refusal> {
        let version = |state: &juniper_control_state::ControlState| {
            state.fleet().catalog().map(|catalog| catalog.version)
        };
        let Some(version) = self.group.read(false, version).await? else { return Ok(None) };
        // The state is published a moment after the read. All calls share it.
        let mut published = self.view.fleet.clone();
        let is_read = |fleet: &Arc<FleetState>| {
            fleet.catalog().is_some_and(|catalog| catalog.version >= version)
        };
        let shared = timeout(PUBLICATION_TIMEOUT, published.wait_for(is_read)).await;
        let shared = shared.map_err(|_| Refusal::NoQuorum)?.map_err(|_| Refusal::NoQuorum)?;
        Ok(Some(Bytes::from_owner(SharedDocument(Arc::clone(&shared)))))
    }

    /// Handles a heartbeat. The departure of a draining server is committed before the answer.
    ///
    /// # Errors
    /// Fails if the server is draining and no quorum commits its departure in time.
    pub async fn handle_heartbeat(&self, report: InstanceReport) -> Result<(), Refusal> {
        let departing = (report.state == InstanceState::Draining).then(|| report.id());
        let intake = self.instance_publisher.observe(report);
        if intake == HeartbeatOutcome::NameConflict {
            self.metrics.heartbeats_refused.inc();
            return Ok(());
        }
        match departing {
            Some(id) => self.commit_departure(Departure::of(&id), "draining").await,
            None => Ok(()),
        }
    }

    /// Counts and logs a malformed heartbeat.
    pub fn reject_heartbeat(&self, name: &str, reason: &dyn std::fmt::Display) {
        self.metrics.heartbeats_refused.inc();
        log::warn!("event=heartbeat_refused instance={name:?} reason=\"{reason}\"");
    }

    /// Records the departure of a server that doesn't state its incarnation: of the latest one that
    /// any replica has observed or that `ask_start` learns from the server, or else of all that
    /// started before now.
    ///
    /// The future has to be dropped when the server closes its connection. A call that a partition
    /// delays until its server has ended must not remove the incarnation that runs by then.
    ///
    /// # Errors
    /// Fails if no quorum commits the departure in time.
    pub async fn record_departure<F, S>(
        &self,
        name: InstanceName,
        ask_start: F,
    ) -> Result<(), Refusal>
    where
        F: FnOnce(SocketAddrV4) -> S,
        S: Future<Output = StartTime>,
    {
        sleep(CALLER_CHECK_TIME).await;
        let observed = self.instance_publisher.incarnation_of(&name);
        let fleet_wide = self.fleet_publisher.incarnation_of(&name);
        let stated = match KnownIncarnation::later_of(observed, fleet_wide) {
            Some(latest) if latest.started.is_known() => ask_start(latest.address).await,
            _ => StartTime::UNKNOWN,
        };
        let observed = observed.map_or(StartTime::UNKNOWN, |known| known.started);
        let fleet_wide = fleet_wide.map_or(StartTime::UNKNOWN, |known| known.started);
        log::info!(
            "event=departure_called instance={name} observed_start={} fleet_wide_start={} \
             stated_start={}",
            observed.unix_ms(),
            fleet_wide.unix_ms(),
            stated.unix_ms()
        );
        if fleet_wide > observed {
            self.metrics.departures_observed_elsewhere.inc();
        }
        let now = StartTime::from_unix_ms(unix_millis());
        let departure = Departure::of_latest(name, [observed, fleet_wide, stated], now);
        self.commit_departure(departure, "left").await
    }

    async fn commit_departure(&self, departure: Departure, cause: &str) -> Result<(), Refusal> {
        if self.view.fleet.borrow().departures().covers(&departure) {
            return Ok(());
        }
        let Departure { name: instance, through } = departure;
        let started = through.unix_ms();
        let described = format!("instance={instance} started={started}");
        let command = Command::RecordDeparture { instance, through, at: unix_seconds() };
        self.write("departure", command).await?;
        log::info!("event=departure_recorded {described} word={cause}");
        Ok(())
    }

    /// Sets the target version of a model's weights.
    ///
    /// # Errors
    /// Fails if no quorum commits the version in time.
    pub async fn set_target_weights(&self, model: String, version: u64) -> Result<(), Refusal> {
        let command = Command::SetTargetWeights { model: model.clone(), version };
        self.write("weights", command).await?;
        log::info!("event=weights_named model={model} version={version}");
        Ok(())
    }

    /// Grants the lease of the order dispatcher to `node`.
    ///
    /// # Errors
    /// Fails if no quorum commits the lease in time.
    pub async fn take_order_lease(
        &self,
        node: NodeId,
    ) -> Result<juniper_control_state::OrderLease, Refusal> {
        match self.write("order_lease", Command::TakeOrderLease { node }).await? {
            Answer::OrderLease(lease) => Ok(lease),
            _ => Err(Refusal::Unknown),
        }
    }

    /// Publishes the rollout state to subscribers of this replica.
    pub fn publish_renewals(&self, latest: Renewals) {
        self.instance_publisher.set_renewals(latest);
    }

    /// Publishes servers and rollout state of the whole fleet, as known to this node, to routers
    /// subscribed to a few replicas only.
    pub fn publish_fleet(&self, servers: &InstanceMap, renewals: Renewals) {
        self.fleet_publisher.publish(servers, renewals);
    }

    /// Published state of the replica.
    pub fn view(&self) -> &ReplicaView {
        &self.view
    }

    async fn write(&self, what: &str, command: Command) -> Result<Answer, Refusal> {
        let result = self.group.write(&command).await;
        if let Err(refusal) = &result {
            log::warn!("event=write_failed what={what} reason=\"{refusal}\"");
        }
        result
    }
}
