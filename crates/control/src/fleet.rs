//! The calls of operators and servers of generic services, which any replica takes.
//!
//! What must not be lost (configurations, versions of weights, departures) is
//! answered once it is committed. Heartbeats are kept in memory only.

use std::sync::Arc;

use juniper_catalog::{Catalog, CatalogFault};
use juniper_control_state::{AcceptedCatalog, Answer, CatalogAnswer, Command, to_bytes};
use juniper_protocol::Refusal;
use juniper_registry::{
    Departure, InstanceId, InstanceMap, InstanceName, InstanceReport, InstanceState, Intake,
    StartTime,
};
use juniper_types::NodeId;

use crate::clock::{unix_millis, unix_seconds};
use crate::fleet_board::{FleetBoard, ServerBoards};
use crate::forward::Group;
use crate::instances::InstanceBoard;
use crate::metrics::Metrics;
use crate::renewals::Renewals;
use crate::replica::ReplicaView;

/// Why a call was not carried out.
#[derive(Debug, thiserror::Error)]
pub enum FleetCallError {
    /// The configuration is invalid.
    #[error("the configuration has {} fault(s), the first: {}", .0.len(), .0[0])]
    Invalid(Vec<CatalogFault>),
    /// No quorum carried it out in time.
    #[error(transparent)]
    Refused(#[from] Refusal),
}

/// Takes the calls.
#[derive(Clone)]
pub struct FleetCalls {
    group: Group,
    board: Arc<InstanceBoard>,
    view: ReplicaView,
    fleet_board: Arc<FleetBoard>,
    metrics: Arc<Metrics>,
}

impl FleetCalls {
    pub(crate) fn new(
        group: Group,
        boards: ServerBoards,
        view: ReplicaView,
        metrics: Arc<Metrics>,
    ) -> Self {
        let ServerBoards { heard: board, fleet: fleet_board } = boards;
        FleetCalls { group, board, view, fleet_board, metrics }
    }

    /// Puts a configuration in force, if it is valid and the newest. `document` is
    /// the operator's own text of it.
    ///
    /// # Errors
    /// Fails when it is invalid, whatever its version, or when no quorum takes it.
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

    /// The operator's text of the newest configuration, confirmed by a quorum.
    ///
    /// # Errors
    /// Fails when no quorum confirms it in time.
    pub async fn catalog_document(&self) -> Result<Option<Vec<u8>>, Refusal> {
        let document = |state: &juniper_control_state::ControlState| {
            state.fleet().catalog().map(|held| held.document.clone())
        };
        self.group.read(false, document).await
    }

    /// Takes a heartbeat. That a server is leaving is recorded before the answer.
    ///
    /// # Errors
    /// Fails when the server is leaving and no quorum records it in time.
    pub async fn heartbeat(&self, report: InstanceReport) -> Result<(), Refusal> {
        let leaving = (report.state == InstanceState::Draining).then(|| report.id());
        let intake = self.board.hear(report);
        if intake == Intake::OtherWriter {
            self.metrics.heartbeats_refused.inc();
            return Ok(());
        }
        match leaving {
            Some(id) => self.depart(&id, "draining").await,
            None => Ok(()),
        }
    }

    /// Counts and logs a heartbeat that can't be read. It names no server; the others hold.
    pub fn refuse_heartbeat(&self, name: &str, reason: &dyn std::fmt::Display) {
        self.metrics.heartbeats_refused.inc();
        log::warn!("event=heartbeat_refused instance={name:?} reason=\"{reason}\"");
    }

    /// A server has left. It doesn't tell which incarnation of it: the one that this replica heard
    /// last, or else every one that started before now. A call that was held up while the server
    /// started again must not take the new one away.
    ///
    /// # Errors
    /// Fails when no quorum records it in time.
    pub async fn leave(&self, name: InstanceName) -> Result<(), Refusal> {
        let now = || StartTime::from_unix_ms(unix_millis());
        let started = self.board.start_of(&name).unwrap_or_else(now);
        self.depart(&InstanceId::started_at(name, started), "left").await
    }

    async fn depart(&self, id: &InstanceId, word: &str) -> Result<(), Refusal> {
        if self.view.fleet.borrow().has_departed(id) {
            return Ok(());
        }
        let Departure { name: instance, through } = Departure::of(id);
        let command = Command::RecordDeparture { instance, through, at: unix_seconds() };
        self.write("departure", command).await?;
        let started = id.started().unix_ms();
        log::info!("event=departure_recorded instance={id} started={started} word={word}");
        Ok(())
    }

    /// Names the version of weights that a model should have.
    ///
    /// # Errors
    /// Fails when no quorum takes it in time.
    pub async fn name_weights(&self, model: String, version: u64) -> Result<(), Refusal> {
        let command = Command::SetTargetWeights { model: model.clone(), version };
        self.write("weights", command).await?;
        log::info!("event=weights_named model={model} version={version}");
        Ok(())
    }

    /// Makes `node` the one that gives orders.
    ///
    /// # Errors
    /// Fails when no quorum takes it in time.
    pub async fn take_order_lease(
        &self,
        node: NodeId,
    ) -> Result<juniper_control_state::OrderLease, Refusal> {
        match self.write("order_lease", Command::TakeOrderLease { node }).await? {
            Answer::OrderLease(lease) => Ok(lease),
            _ => Err(Refusal::Unknown),
        }
    }

    /// Tells those who follow this replica which servers are being renewed.
    pub fn announce(&self, latest: Renewals) {
        self.board.announce(latest);
    }

    /// Tells routers that follow a few replicas what all replicas know of servers and renewals, as
    /// this node has heard from them.
    pub fn publish_fleet(&self, servers: &InstanceMap, renewals: Renewals) {
        self.fleet_board.publish(servers, renewals);
    }

    /// What the replica publishes.
    pub fn view(&self) -> &ReplicaView {
        &self.view
    }

    async fn write(&self, what: &str, command: Command) -> Result<Answer, Refusal> {
        let written = self.group.write(&command).await;
        if let Err(refusal) = &written {
            log::warn!("event=write_failed what={what} reason=\"{refusal}\"");
        }
        written
    }
}
