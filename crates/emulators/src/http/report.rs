//! Report of the invariant violations that an emulator has detected.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::engine::Counters;
use crate::witness::{Breach, BreachKind, Witness};

/// Path of the [`WitnessReport`] on every emulator.
pub const WITNESS_PATH: &str = "/v1/emulator/witness";

/// Invariant violations detected by one emulator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessReport {
    /// Total number of breaches.
    pub total: u64,
    /// Number of breaches by kind.
    pub counts: BTreeMap<BreachKind, u64>,
    /// Details of the first breaches.
    pub described: Vec<Breach>,
    /// Counters of an engine; absent for other back ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub counters: Option<Counters>,
}

impl WitnessReport {
    /// Creates a report of the breaches recorded by `witness`.
    pub fn of(witness: &Witness) -> Self {
        WitnessReport {
            total: witness.total(),
            counts: witness.counts().clone(),
            described: witness.described().to_vec(),
            counters: None,
        }
    }
}
