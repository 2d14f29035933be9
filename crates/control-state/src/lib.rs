//! Replicated state machine: settings revisions, claims, fencing tokens and orders.
//!
//! [`ControlState::apply`] is deterministic: it performs no I/O, reads no clock
//! and draws no random numbers. Replicas that apply the same commands in the
//! same order have the same state and return the same answers.

pub mod answer;
mod change_ids;
pub mod claims;
pub mod command;
pub mod departures;
pub mod fleet;
pub mod history;
pub mod orders;
pub mod plan;
pub mod quarantine;
pub mod rate;
pub mod settings;
pub mod snapshot;
pub mod state;

pub use answer::{Answer, SettleAnswer, WriteAnswer};
pub use change_ids::MAX_CHANGE_IDS;
pub use claims::Claims;
pub use command::{Command, MAX_COMMAND_BYTES, WriteHeader};
pub use departures::DepartureLog;
pub use fleet::{AcceptedCatalog, CatalogAnswer, FleetState, OrderLease};
pub use history::{History, HistoryEntry};
pub use orders::{OrderAction, OrderAnswer, OrderBook};
pub use quarantine::{Quarantine, QuarantineChange, QuarantinedRequest};
pub use settings::SettingsState;
pub use snapshot::{SnapshotError, to_bytes};
pub use state::ControlState;
