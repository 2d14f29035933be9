//! What an emulator says of the invariants that it watches.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::engine::Counters;
use crate::witness::{Breach, BreachKind, Witness};

/// Path under which every emulator answers with a [`WitnessReport`].
pub const WITNESS_PATH: &str = "/v1/emulator/witness";

/// Breaches that one emulator has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessReport {
    /// Breaches in all.
    pub total: u64,
    /// Breaches by kind.
    pub counts: BTreeMap<BreachKind, u64>,
    /// The first breaches, described.
    pub described: Vec<Breach>,
    /// What the engine has done; absent for other back ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub counters: Option<Counters>,
}

impl WitnessReport {
    /// What `witness` has seen.
    pub fn of(witness: &Witness) -> Self {
        WitnessReport {
            total: witness.total(),
            counts: witness.counts().clone(),
            described: witness.described().to_vec(),
            counters: None,
        }
    }
}
