//! The inherited settings tree and the settings file of one node.
//!
//! [`tree`] holds the replicated tree that operators and automation rewrite;
//! [`overrides`] holds the values one tree node may set and the resolved values
//! a service ends up with; [`change`] holds edits of the tree.

pub mod address;
pub mod change;
pub mod overrides;
pub mod path;
pub mod tree;

pub use change::{ChangeSet, Edit};
pub use overrides::{CutOffPolicy, EffectiveSettings, Overrides, TrafficKind};
pub use path::{PathError, SettingsPath};
pub use tree::{ApiKeyHash, BackEnd, BackEndKind, SettingsNode, SettingsTree};
