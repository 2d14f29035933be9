//! Messages pushed by control replicas to subscribers.

use juniper_registry::{InstanceName, ObservedInstance};
use juniper_settings::{ChangeSet, SettingsTree};
use juniper_types::Revision;
use minicbor::{Decode, Encode};

use crate::fleet::FleetUpdate;
use crate::weights::RenewalUpdate;

/// Message pushed to a subscriber.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Push {
    /// Next accepted change of the settings.
    #[n(0)]
    Delta(#[n(0)] SettingsDelta),
    /// Complete settings tree, for a subscriber that has fallen too far behind.
    #[n(1)]
    Snapshot {
        /// Revision of the tree.
        #[n(0)]
        revision: Revision,
        /// Settings at that revision.
        #[n(1)]
        tree: SettingsTree,
    },
    /// Heartbeat, sent at a fixed interval, which distinguishes a lost replica from unchanged
    /// settings.
    #[n(2)]
    Alive {
        /// Latest revision committed on the replica.
        #[n(0)]
        committed: Revision,
        /// Time since a quorum last confirmed that the replica is current, in milliseconds.
        #[n(1)]
        confirmed_ms: u64,
    },
    /// Change of the replicated fleet state of generic services.
    #[n(3)]
    Fleet(#[n(0)] FleetUpdate),
    /// Servers observed by the control replicas.
    #[n(4)]
    Instances {
        /// Observed servers.
        #[n(0)]
        observed: Vec<ObservedInstance>,
        /// Whether `observed` lists all servers that the replica knows.
        #[n(1)]
        is_complete: bool,
        /// Servers that no longer exist; sent only to subscribers of
        /// [`FollowFleet`](crate::message::Request::FollowFleet).
        #[n(2)]
        #[cbor(default)]
        removed: Vec<InstanceName>,
    },
    /// Servers that the order dispatcher is renewing: first all of them, then changes.
    #[n(5)]
    Renewals(#[n(0)] RenewalUpdate),
}

/// Accepted change of the settings tree.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct SettingsDelta {
    /// Revision produced by the change, which applies to the revision before it.
    #[n(0)]
    pub revision: Revision,
    /// Edits of the settings tree.
    #[n(1)]
    pub change: ChangeSet,
}
