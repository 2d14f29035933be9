//! Encoding of the complete state.
//!
//! A snapshot starts with its format version. Replicas read every version up to their
//! own and write their own, which allows rolling upgrades.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use juniper_settings::{SettingsTree, TreeFault, ValidatedTree};
use juniper_types::{EngineId, Revision};
use minicbor::{Decode, Encode};

use crate::change_ids::{ChangeIds, ChangeRecord};
use crate::claims::Claims;
use crate::fleet::{EncodedFleet, FleetState};
use crate::history::History;
use crate::orders::OrderBook;
use crate::rate::WriteRateLimiter;
use crate::settings::SettingsState;
use crate::state::ControlState;

/// Format version of snapshots written by this build.
pub const SNAPSHOT_VERSION: u16 = 1;

/// Error of decoding a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not a valid snapshot.
    #[error("malformed snapshot: {0}")]
    Malformed(#[from] minicbor::decode::Error),
    /// The snapshot was written by a newer build.
    #[error("snapshot version {0} is newer than {SNAPSHOT_VERSION}")]
    Version(u16),
    /// The settings tree in the snapshot is invalid.
    #[error("the settings tree in the snapshot has {} fault(s)", .0.len())]
    Tree(Vec<TreeFault>),
}

#[derive(Decode)]
struct DecodedState {
    #[n(0)]
    version: u16,
    #[n(1)]
    applied: u64,
    #[n(2)]
    revision: Revision,
    #[n(3)]
    tree: SettingsTree,
    #[n(4)]
    history: History,
    #[n(5)]
    change_ids: VecDeque<ChangeRecord>,
    #[n(6)]
    write_rate: WriteRateLimiter,
    #[n(7)]
    claims: Claims,
    #[n(8)]
    fences: BTreeMap<EngineId, u64>,
    #[n(9)]
    last_fence: u64,
    /// Absent in snapshots written by builds without orders.
    #[n(10)]
    orders: Option<OrderBook>,
    /// Absent in snapshots written by builds without generic services.
    #[n(11)]
    fleet: Option<EncodedFleet>,
}

/// Borrowed equivalent of [`DecodedState`], with the same fields in the same order.
#[derive(Encode)]
struct EncodedState<'a> {
    #[n(0)]
    version: u16,
    #[n(1)]
    applied: u64,
    #[n(2)]
    revision: Revision,
    #[n(3)]
    tree: &'a SettingsTree,
    #[n(4)]
    history: &'a History,
    #[n(5)]
    change_ids: &'a VecDeque<ChangeRecord>,
    #[n(6)]
    write_rate: &'a WriteRateLimiter,
    #[n(7)]
    claims: &'a Claims,
    #[n(8)]
    fences: &'a BTreeMap<EngineId, u64>,
    #[n(9)]
    last_fence: u64,
    #[n(10)]
    orders: Option<&'a OrderBook>,
    #[n(11)]
    fleet: Option<EncodedFleet>,
}

impl ControlState {
    /// Encodes the complete state.
    pub fn to_snapshot(&self) -> Vec<u8> {
        to_bytes(&EncodedState {
            version: SNAPSHOT_VERSION,
            applied: self.applied,
            revision: self.settings.revision,
            tree: self.settings.tree.tree(),
            history: &self.settings.history,
            change_ids: self.settings.change_ids.records(),
            write_rate: &self.settings.write_rate,
            claims: &self.claims,
            fences: &self.fences,
            last_fence: self.last_fence,
            orders: Some(&self.orders),
            fleet: Some(EncodedFleet::from(&*self.fleet)),
        })
    }

    /// Decodes a complete state.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let mut header = minicbor::Decoder::new(bytes);
        header.array()?;
        let version = header.u16()?;
        if version > SNAPSHOT_VERSION {
            return Err(SnapshotError::Version(version));
        }
        let decoded: DecodedState = minicbor::decode(bytes)?;
        debug_assert_eq!(decoded.version, version);
        let settings = SettingsState {
            tree: ValidatedTree::new(decoded.tree).map_err(SnapshotError::Tree)?,
            revision: decoded.revision,
            history: decoded.history,
            change_ids: ChangeIds::from_records(decoded.change_ids),
            write_rate: decoded.write_rate,
        };
        Ok(ControlState {
            applied: decoded.applied,
            settings: Arc::new(settings),
            claims: decoded.claims,
            fences: decoded.fences,
            last_fence: decoded.last_fence,
            orders: decoded.orders.unwrap_or_default(),
            fleet: Arc::new(decoded.fleet.map(FleetState::from).unwrap_or_default()),
        })
    }
}

/// Encodes a value into a byte vector.
pub fn to_bytes<T: Encode<()>>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    match minicbor::encode(value, &mut bytes) {
        Ok(()) => bytes,
        Err(error) => unreachable!("encoding into a vector failed: {error}"),
    }
}
