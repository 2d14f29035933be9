//! Replicated state of the fleet of generic services: configuration, target versions of
//! weights, departures, quarantine and the order lease.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use juniper_registry::{Departure, InstanceId, InstanceName, StartTime};
use juniper_types::{NodeId, RequestFingerprint};
use minicbor::{Decode, Encode};

use crate::departures::{DepartureLog, DepartureParts};
use crate::quarantine::{Quarantine, QuarantinedRequest};

/// Accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AcceptedCatalog {
    /// Version of the configuration.
    #[n(0)]
    pub version: u64,
    /// Encoded `juniper_catalog::Catalog`, as sent to routers.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub body: Vec<u8>,
    /// Original document from the operator.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub document: Vec<u8>,
}

/// Lease of the control node that issues orders to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OrderLease {
    /// Node that holds the lease.
    #[n(0)]
    pub holder: NodeId,
    /// Fencing token of the holder's orders.
    #[n(1)]
    pub token: u64,
    /// Latest other node that held the lease, if any.
    #[n(2)]
    pub previous: Option<NodeId>,
}

/// Answer to a new configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum CatalogAnswer {
    /// The configuration is in force.
    #[n(0)]
    Accepted,
    /// The same or a higher version was in force already and remains so.
    #[n(1)]
    Unchanged {
        /// Version in force.
        #[n(0)]
        current: u64,
    },
}

/// Replicated state of the fleet of generic services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetState {
    pub(crate) revision: u64,
    pub(crate) catalog: Option<Arc<AcceptedCatalog>>,
    pub(crate) weights: BTreeMap<String, u64>,
    pub(crate) departures: DepartureLog,
    pub(crate) order_lease: Option<OrderLease>,
    pub(crate) quarantine: Quarantine,
}

/// Encoding of a [`FleetState`].
#[derive(Encode, Decode)]
pub(crate) struct EncodedFleet {
    #[n(0)]
    revision: u64,
    #[n(1)]
    catalog: Option<AcceptedCatalog>,
    #[n(2)]
    weights: BTreeMap<String, u64>,
    #[n(3)]
    departures: VecDeque<InstanceName>,
    #[n(4)]
    departures_total: u64,
    #[n(5)]
    order_lease: Option<OrderLease>,
    /// Absent in snapshots of earlier builds.
    #[n(6)]
    #[cbor(default)]
    quarantine: Quarantine,
    /// Latest start time of the departed incarnations, for each departure. Absent in snapshots of
    /// earlier builds.
    #[n(7)]
    #[cbor(default)]
    departed_through: Vec<StartTime>,
    /// Time of each departure, in seconds since the Unix epoch. Absent in snapshots of earlier
    /// builds.
    #[n(8)]
    #[cbor(default)]
    departed_at: Vec<u64>,
}

impl From<&FleetState> for EncodedFleet {
    fn from(state: &FleetState) -> Self {
        let DepartureParts { names, through, at, total } = state.departures.to_parts();
        EncodedFleet {
            revision: state.revision,
            catalog: state.catalog.as_deref().cloned(),
            weights: state.weights.clone(),
            departures: names,
            departures_total: total,
            order_lease: state.order_lease,
            quarantine: state.quarantine.clone(),
            departed_through: through,
            departed_at: at,
        }
    }
}

impl From<EncodedFleet> for FleetState {
    fn from(encoded: EncodedFleet) -> Self {
        let departures = DepartureParts {
            names: encoded.departures,
            through: encoded.departed_through,
            at: encoded.departed_at,
            total: encoded.departures_total,
        };
        FleetState {
            revision: encoded.revision,
            catalog: encoded.catalog.map(Arc::new),
            weights: encoded.weights,
            departures: departures.into(),
            order_lease: encoded.order_lease,
            quarantine: encoded.quarantine,
        }
    }
}

impl FleetState {
    /// Log index of the latest change; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Configuration in force.
    pub fn catalog(&self) -> Option<&Arc<AcceptedCatalog>> {
        self.catalog.as_ref()
    }

    /// Target version of the weights, by model.
    pub fn weights(&self) -> &BTreeMap<String, u64> {
        &self.weights
    }

    /// Departing and departed servers.
    pub fn departures(&self) -> &DepartureLog {
        &self.departures
    }

    /// Whether a departure of the incarnation is recorded.
    pub fn has_departed(&self, id: &InstanceId) -> bool {
        self.departures.has_departed(id)
    }

    /// Order lease in force.
    pub fn order_lease(&self) -> Option<OrderLease> {
        self.order_lease
    }

    /// Quarantined requests.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    pub(crate) fn quarantine_request(&mut self, index: u64, request: QuarantinedRequest) {
        if self.quarantine.add(request) {
            self.revision = index;
        }
    }

    pub(crate) fn release_request(&mut self, index: u64, request: &RequestFingerprint) {
        if self.quarantine.release(request) {
            self.revision = index;
        }
    }

    pub(crate) fn put_catalog(&mut self, index: u64, catalog: AcceptedCatalog) -> CatalogAnswer {
        let current = self.catalog.as_ref().map(|catalog| catalog.version);
        if let Some(current) = current.filter(|current| *current >= catalog.version) {
            return CatalogAnswer::Unchanged { current };
        }
        self.catalog = Some(Arc::new(catalog));
        self.revision = index;
        CatalogAnswer::Accepted
    }

    /// Sets the target version of the weights of `model`. A lower version than the current
    /// one has no effect. Returns the version in force.
    pub(crate) fn set_target_weights(&mut self, index: u64, model: String, version: u64) -> u64 {
        let current = self.weights.get(&model).copied().unwrap_or(0);
        if version > current {
            self.weights.insert(model, version);
            self.revision = index;
        }
        current.max(version)
    }

    pub(crate) fn record_departure(&mut self, index: u64, departure: Departure, at: u64) {
        self.departures.add(departure, at);
        self.revision = index;
    }

    /// Assigns the order lease to `node` with a new token.
    pub(crate) fn take_order_lease(&mut self, node: NodeId, token: u64) -> OrderLease {
        let previous = self.order_lease.and_then(|lease| match lease.holder == node {
            true => lease.previous,
            false => Some(lease.holder),
        });
        let lease = OrderLease { holder: node, token, previous };
        self.order_lease = Some(lease);
        lease
    }
}
