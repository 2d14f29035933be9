//! The witness: an emulator's own count of broken invariants.
//!
//! The witness knows what the router can't be trusted to say: whose request it
//! truly is and where each cached block truly came from. It outlives crashes of
//! the emulated process.

use std::collections::{BTreeMap, HashMap};

use juniper_types::{AdapterName, ModelName, TenantName, Timestamp, WeightsVersion};
use serde::{Deserialize, Serialize};

/// Breaches described one by one; the counts go on beyond this.
const DESCRIBED_BREACHES: usize = 100;

/// Which invariant was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BreachKind {
    /// A request used a cached block of another tenant.
    ForeignTenant,
    /// A request used a cached block of other weights, model or adapter.
    ForeignWeights,
    /// A request was planned on blocks of an incarnation that it did not name.
    UnnamedIncarnation,
    /// Work was sent to an engine that had been leaving for longer than the grace.
    WorkAfterLeaving,
    /// An order took effect under an older fencing token than an earlier one.
    StaleOrder,
    /// An order took effect twice.
    RepeatedOrder,
    /// A request that may run once ran again.
    RepeatedExecution,
    /// A request id was used for two attempts.
    RepeatedRequestId,
}

/// One broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// When, in milliseconds since the emulator's origin.
    pub at_ms: u64,
    /// Which invariant.
    pub kind: BreachKind,
    /// What was seen.
    pub detail: String,
}

/// Where the content of a cached block came from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Provenance {
    /// Tenant whose prompt filled it.
    pub owner: TenantName,
    /// Model that computed it.
    pub model: ModelName,
    /// Adapter that was active.
    pub adapter: Option<AdapterName>,
    /// Weights that computed it.
    pub weights: WeightsVersion,
}

/// Breaches that one emulator has seen.
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
            self.described.push(Breach { at_ms: at.as_millis(), kind, detail: detail.into() });
        }
    }

    /// Breaches by kind; kinds without any are absent.
    pub fn counts(&self) -> &BTreeMap<BreachKind, u64> {
        &self.counts
    }

    /// Breaches in all.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// The first breaches, described.
    pub fn described(&self) -> &[Breach] {
        &self.described
    }

    /// A small number that stands for `provenance`.
    pub fn provenance_id(&mut self, provenance: &Provenance) -> u32 {
        if let Some(id) = self.provenance_ids.get(provenance) {
            return *id;
        }
        let id = u32::try_from(self.provenances.len()).unwrap_or(u32::MAX);
        self.provenances.push(provenance.clone());
        self.provenance_ids.insert(provenance.clone(), id);
        id
    }

    /// The provenance that `id` stands for.
    pub fn provenance(&self, id: u32) -> &Provenance {
        &self.provenances[id as usize]
    }

    /// Checks that a request with provenance `mine` may use a block with provenance `found`.
    pub fn check_reuse(&mut self, mine: u32, found: u32, at: Timestamp) {
        if mine == found {
            return;
        }
        let (wanted, held) = (self.provenance(mine), self.provenance(found));
        let kind = if wanted.owner == held.owner {
            BreachKind::ForeignWeights
        } else {
            BreachKind::ForeignTenant
        };
        let detail = format!("wanted={wanted:?} held={held:?}");
        self.record(kind, at, detail);
    }
}
