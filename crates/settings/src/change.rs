//! Edits of the settings tree, as sent by operators and carried in deltas.

use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::path::SettingsPath;
use crate::tree::{SettingsNode, SettingsTree};

/// Edit of one node, or removal of a subtree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case", tag = "edit", deny_unknown_fields)]
pub enum Edit {
    /// Creates or replaces the node at `path`. An empty root is equivalent to an absent
    /// one.
    #[n(0)]
    Put {
        /// Path of the node.
        #[n(0)]
        path: SettingsPath,
        /// New content of the node.
        #[n(1)]
        node: Box<SettingsNode>,
    },
    /// Removes the node at `path` and everything below it.
    #[n(1)]
    Remove {
        /// Path of the node.
        #[n(0)]
        path: SettingsPath,
    },
}

/// Edits that are accepted or rejected as a unit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(transparent)]
#[cbor(transparent)]
pub struct ChangeSet {
    /// Edits in the order of their application.
    #[n(0)]
    pub edits: Vec<Edit>,
}

impl ChangeSet {
    /// Applies the edits to `tree` without validating the result.
    pub fn apply_to(&self, tree: &mut SettingsTree) {
        for edit in &self.edits {
            match edit {
                Edit::Put { path, node } => {
                    if SettingsTree::is_empty_root(path, node) {
                        tree.nodes.remove(path);
                    } else {
                        tree.nodes.insert(path.clone(), SettingsNode::clone(node));
                    }
                }
                Edit::Remove { path } => {
                    for path in tree.paths_within(path) {
                        tree.nodes.remove(&path);
                    }
                }
            }
        }
    }
}
