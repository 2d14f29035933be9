//! The encoded form of the whole state.
//!
//! A snapshot starts with its version. A replica reads every version up to its
//! own and writes its own, so replicas are upgraded one after the other.

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
use crate::rate::WriteRate;
use crate::settings::SettingsState;
use crate::state::ControlState;

/// Version of the snapshot that this program writes.
pub const SNAPSHOT_VERSION: u16 = 1;

/// Why a snapshot can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are no snapshot.
    #[error("malformed snapshot: {0}")]
    Malformed(#[from] minicbor::decode::Error),
    /// The snapshot was written by a newer program.
    #[error("snapshot version {0} is newer than {SNAPSHOT_VERSION}")]
    Version(u16),
    /// The tree in the snapshot has faults.
    #[error("the tree in the snapshot has {} fault(s)", .0.len())]
    Tree(Vec<TreeFault>),
}

#[derive(Decode)]
struct Decoded {
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
    rate: WriteRate,
    #[n(7)]
    claims: Claims,
    #[n(8)]
    fences: BTreeMap<EngineId, u64>,
    #[n(9)]
    last_fence: u64,
    /// Absent in snapshots written before there were orders.
    #[n(10)]
    orders: Option<OrderBook>,
    /// Absent in snapshots written before there were generic services.
    #[n(11)]
    fleet: Option<EncodedFleet>,
}

/// The same fields in the same order, borrowed.
#[derive(Encode)]
struct Encoded<'a> {
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
    rate: &'a WriteRate,
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
    /// Encodes the whole state.
    pub fn to_snapshot(&self) -> Vec<u8> {
        to_bytes(&Encoded {
            version: SNAPSHOT_VERSION,
            applied: self.applied,
            revision: self.settings.revision,
            tree: self.settings.tree.tree(),
            history: &self.settings.history,
            change_ids: self.settings.change_ids.records(),
            rate: &self.settings.rate,
            claims: &self.claims,
            fences: &self.fences,
            last_fence: self.last_fence,
            orders: Some(&self.orders),
            fleet: Some(EncodedFleet::from(&*self.fleet)),
        })
    }

    /// Reads a whole state.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let mut header = minicbor::Decoder::new(bytes);
        header.array()?;
        let version = header.u16()?;
        if version > SNAPSHOT_VERSION {
            return Err(SnapshotError::Version(version));
        }
        let decoded: Decoded = minicbor::decode(bytes)?;
        debug_assert_eq!(decoded.version, version);
        let settings = SettingsState {
            tree: ValidatedTree::new(decoded.tree).map_err(SnapshotError::Tree)?,
            revision: decoded.revision,
            history: decoded.history,
            change_ids: ChangeIds::from_records(decoded.change_ids),
            rate: decoded.rate,
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

/// Encodes into memory, which can't fail.
pub fn to_bytes<T: Encode<()>>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    match minicbor::encode(value, &mut bytes) {
        Ok(()) => bytes,
        Err(error) => unreachable!("a vector takes every byte: {error}"),
    }
}
