//! The inherited settings tree and the settings file of one node.
//!
//! [`tree`] defines the replicated tree that operators and automation edit,
//! [`overrides`] the values that a tree node can set and the values in effect for a
//! service, and [`change`] edits of the tree. [`node_file`] reads the settings file of
//! one daemon.

pub mod address;
pub mod change;
pub mod fault;
mod index;
pub mod node_file;
pub mod overrides;
pub mod path;
mod ranges;
pub mod tree;
pub mod validated;

pub use change::{ChangeSet, Edit};
pub use fault::TreeFault;
pub use node_file::{
    CommonSettings, ControlSettings, NodeFile, NodeFileError, NodeOverride, PeerDiscovery,
    ReplicaTuning, RouterSettings,
};
pub use overrides::{EffectiveSettings, Overrides, PartitionPolicy, TrafficKind};
pub use path::{PathError, SettingsPath};
pub use tree::{ApiKeyHash, BackEnd, BackEndKind, SettingsNode, SettingsTree};
pub use validated::{NodeChange, ValidatedTree, validate};
