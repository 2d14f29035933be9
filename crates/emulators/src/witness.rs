//! Detection of invariant violations inside an emulator.
//!
//! The witness tracks the actual tenant of each request and the origin of each
//! cached block, independently of what the router claims. The records survive
//! crashes of the emulated process.

use std::collections::{BTreeMap, HashMap};

use juniper_types::{AdapterName, ModelName, TenantName, Timestamp, WeightsVersion};
use serde::{Deserialize, Serialize};

/// Maximum number of breaches stored with details; later ones are only counted.
const DESCRIBED_BREACHES: usize = 100;

/// Kind of violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BreachKind {
    /// A request used a cached block of another tenant.
    ForeignTenant,
    /// A request used a cached block computed with other weights or another model or adapter.
    ForeignWeights,
    /// A request expected cached blocks without naming the incarnation that holds them.
    UnnamedIncarnation,
    /// A request arrived at a departing engine after the grace period.
    WorkAfterLeaving,
    /// An order was applied with an older fencing token than an order applied before.
    StaleOrder,
    /// An order was applied twice.
    RepeatedOrder,
    /// An at-most-once request was executed again.
    RepeatedExecution,
    /// Two attempts used the same request id.
    RepeatedRequestId,
}

/// One violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// Time of the violation, in milliseconds since the start of the emulator.
    pub at_ms: u64,
    /// Violated invariant.
    pub kind: BreachKind,
    /// Details for diagnosis.
    pub detail: String,
}

/// Origin of the content of a cached block.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Provenance {
    /// Tenant whose prompt produced the block.
    pub owner: TenantName,
    /// Model that computed the block.
    pub model: ModelName,
    /// Adapter that was active, if any.
    pub adapter: Option<AdapterName>,
    /// Version of the weights that computed the block.
    pub weights: WeightsVersion,
}

/// Breaches detected by one emulator.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    counts: BTreeMap<BreachKind, u64>,
    described: Vec<Breach>,
    provenances: Vec<Provenance>,
    provenance_ids: HashMap<Provenance, u32>,
}

impl Witness {
    /// Records a breach.
    pub fn record(&mut self, kind: BreachKind, at: Timestamp, detail: impl Into<String>) {
        *self.counts.entry(kind).or_default() += 1;
        if self.described.len() < DESCRIBED_BREACHES {
            self.described.push(Breach {
                at_ms: at.since(Timestamp::ZERO).as_millis() as u64,
                kind,
                detail: detail.into(),
            });
        }
    }

    /// Number of breaches by kind; kinds without breaches are absent.
    pub fn counts(&self) -> &BTreeMap<BreachKind, u64> {
        &self.counts
    }

    /// Total number of breaches.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// Details of the first breaches.
    pub fn described(&self) -> &[Breach] {
        &self.described
    }

    /// Returns the id of `provenance`, allocating one on first use.
    pub fn provenance_id(&mut self, provenance: &Provenance) -> u32 {
        if let Some(id) = self.provenance_ids.get(provenance) {
            return *id;
        }
        let id = u32::try_from(self.provenances.len()).unwrap_or(u32::MAX);
        self.provenances.push(provenance.clone());
        self.provenance_ids.insert(provenance.clone(), id);
        id
    }

    /// Returns the provenance with `id`.
    pub fn provenance(&self, id: u32) -> &Provenance {
        &self.provenances[id as usize]
    }

    /// Checks that a request with provenance `request` may reuse a block with provenance `block`.
    pub fn check_reuse(&mut self, request: u32, block: u32, at: Timestamp) {
        if request == block {
            return;
        }
        let (expected, actual) = (self.provenance(request), self.provenance(block));
        let kind = if expected.owner == actual.owner {
            BreachKind::ForeignWeights
        } else {
            BreachKind::ForeignTenant
        };
        let detail = format!("wanted={expected:?} held={actual:?}");
        self.record(kind, at, detail);
    }
}
