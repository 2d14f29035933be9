//! Edits of the tree, as writers send them and as deltas carry them.

use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::path::SettingsPath;
use crate::tree::{SettingsNode, SettingsTree};

/// One edit of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case", tag = "edit", deny_unknown_fields)]
pub enum Edit {
    /// Replaces the node at `path` whole, or makes it.
    #[n(0)]
    Put {
        /// Where.
        #[n(0)]
        path: SettingsPath,
        /// The new node.
        #[n(1)]
        node: Box<SettingsNode>,
    },
    /// Removes the node at `path` and everything below it.
    #[n(1)]
    Remove {
        /// Where.
        #[n(0)]
        path: SettingsPath,
    },
}

/// Edits that are accepted or refused together, applied in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(transparent)]
#[cbor(transparent)]
pub struct ChangeSet {
    /// The edits, in order.
    #[n(0)]
    pub edits: Vec<Edit>,
}

impl ChangeSet {
    /// Applies the edits to `tree` without validating the result.
    pub fn apply_to(&self, tree: &mut SettingsTree) {
        for edit in &self.edits {
            match edit {
                Edit::Put { path, node } => {
                    tree.nodes.insert(path.clone(), SettingsNode::clone(node));
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
