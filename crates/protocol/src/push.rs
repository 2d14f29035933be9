//! What a replica tells without being asked.

use juniper_registry::{InstanceName, ObservedInstance};
use juniper_settings::{ChangeSet, SettingsTree};
use juniper_types::Revision;
use minicbor::{Decode, Encode};

use crate::fleet::{FleetNews, RenewalNews};

/// Messages that nobody asked for.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Push {
    /// The next accepted change.
    #[n(0)]
    Delta(#[n(0)] SettingsDelta),
    /// The whole tree, for a node that has fallen too far behind.
    #[n(1)]
    Snapshot {
        /// Revision of the tree.
        #[n(0)]
        revision: Revision,
        /// The tree.
        #[n(1)]
        tree: SettingsTree,
    },
    /// Sent at a steady pace so that silence can be told from a quiet tree.
    #[n(2)]
    Alive {
        /// Latest revision committed on the replica.
        #[n(0)]
        committed: Revision,
        /// Milliseconds since a quorum last confirmed that the replica is current.
        #[n(1)]
        confirmed_ms: u64,
    },
    /// What the fleet of generic services agrees on has changed.
    #[n(3)]
    Fleet(#[n(0)] FleetNews),
    /// Servers that the replica has heard of.
    #[n(4)]
    Instances {
        /// The servers.
        #[n(0)]
        heard: Vec<ObservedInstance>,
        /// Whether these are all that the replica knows.
        #[n(1)]
        whole: bool,
        /// Servers that aren't there any more; told only to who asked for [`FollowFleet`](crate::message::Request::FollowFleet).
        #[n(2)]
        #[cbor(default)]
        gone: Vec<InstanceName>,
    },
    /// Servers that the one who gives orders is renewing: all of them, then what changes.
    #[n(5)]
    Renewals(#[n(0)] RenewalNews),
}

/// One accepted change of the tree.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct SettingsDelta {
    /// The revision that the change makes; its predecessor must be in force already.
    #[n(0)]
    pub revision: Revision,
    /// The edits.
    #[n(1)]
    pub change: ChangeSet,
}
