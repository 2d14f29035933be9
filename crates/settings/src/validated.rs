//! Settings tree that is always valid, with incremental validation of changes.

use std::collections::BTreeMap;

use juniper_types::EngineId;
use minicbor::encode::Write;
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::change::{ChangeSet, Edit};
use crate::fault::TreeFault;
use crate::index::{TouchedValues, TreeIndex};
use crate::path::SettingsPath;
use crate::ranges::check_node;
use crate::tree::{ApiKeyHash, SettingsNode, SettingsTree};

/// Effect of a change on one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct NodeChange {
    /// Path of the node.
    #[n(0)]
    pub path: SettingsPath,
    /// Node before the change, if it existed.
    #[n(1)]
    pub before: Option<SettingsNode>,
    /// Node after the change, if it exists.
    #[n(2)]
    pub after: Option<SettingsNode>,
}

impl NodeChange {
    /// Edit with the same effect.
    ///
    /// A removed root becomes a put of an empty root, because removing the root would
    /// remove the whole tree.
    pub fn to_edit(&self) -> Edit {
        let path = self.path.clone();
        match &self.after {
            Some(node) => Edit::Put { path, node: Box::new(node.clone()) },
            None if path == SettingsPath::Root => Edit::Put { path, node: Box::default() },
            None => Edit::Remove { path },
        }
    }

    /// Change that reverts this one.
    pub fn inverse(&self) -> NodeChange {
        NodeChange {
            path: self.path.clone(),
            before: self.after.clone(),
            after: self.before.clone(),
        }
    }
}

/// Converts `changes` to edits. Removals come first, because removing a node also removes
/// the nodes below it, which may be put by another edit.
pub fn to_change_set(changes: &[NodeChange]) -> ChangeSet {
    let (puts, removals): (Vec<_>, Vec<_>) = changes.iter().partition(|c| c.after.is_some());
    let edits = removals.into_iter().chain(puts).map(NodeChange::to_edit).collect();
    ChangeSet { edits }
}

/// Returns all faults of `tree`, found by validation of the whole tree.
pub fn validate(tree: &SettingsTree) -> Vec<TreeFault> {
    match ValidatedTree::new(tree.clone()) {
        Ok(_) => Vec::new(),
        Err(faults) => faults,
    }
}

/// Valid tree with an index for incremental validation.
///
/// Invariant: `index` describes exactly the nodes of `tree`, and `tree` has no
/// fault. A rejected change leaves both unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValidatedTree {
    tree: SettingsTree,
    index: TreeIndex,
}

impl ValidatedTree {
    /// Validates the whole of `tree`.
    pub fn new(mut tree: SettingsTree) -> Result<Self, Vec<TreeFault>> {
        tree.nodes.retain(|path, node| !SettingsTree::is_empty_root(path, node));
        let mut index = TreeIndex::default();
        for (path, node) in &tree.nodes {
            index.insert(path, node, encoded_bytes(path, node));
        }
        let validated = ValidatedTree { tree, index };
        let faults = validated.faults_of(validated.tree.nodes.keys());
        if faults.is_empty() { Ok(validated) } else { Err(faults) }
    }

    /// Settings tree.
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// Size of the encoded tree, in bytes.
    pub fn bytes(&self) -> usize {
        self.index.bytes()
    }

    /// Path of the tenant that an API key belongs to.
    pub fn api_key(&self, hash: &ApiKeyHash) -> Option<&SettingsPath> {
        self.index.api_key(hash)
    }

    /// Path of the zone that lists a back end.
    pub fn back_end(&self, id: EngineId) -> Option<&SettingsPath> {
        self.index.back_end(id)
    }

    /// Applies `change` if the resulting tree has no fault. The cost depends on the nodes
    /// that the change touches, not on the size of the tree.
    pub fn apply(&mut self, change: &ChangeSet) -> Result<Vec<NodeChange>, Vec<TreeFault>> {
        let mut before = BTreeMap::new();
        for edit in &change.edits {
            self.apply_edit(edit, &mut before);
        }
        let faults = self.faults_of(before.keys());
        if faults.is_empty() {
            return Ok(self.effects(before));
        }
        for (path, node) in before {
            self.replace_node(&path, node);
        }
        Err(faults)
    }

    fn apply_edit(
        &mut self,
        edit: &Edit,
        before: &mut BTreeMap<SettingsPath, Option<SettingsNode>>,
    ) {
        match edit {
            Edit::Put { path, node } => {
                let old = self.replace_node(path, Some(SettingsNode::clone(node)));
                before.entry(path.clone()).or_insert(old);
            }
            Edit::Remove { path } => {
                for path in self.tree.paths_within(path) {
                    let old = self.replace_node(&path, None);
                    before.entry(path).or_insert(old);
                }
            }
        }
    }

    /// Puts or removes one node and returns the previous one.
    fn replace_node(
        &mut self,
        path: &SettingsPath,
        node: Option<SettingsNode>,
    ) -> Option<SettingsNode> {
        let old = self.tree.nodes.remove(path);
        if let Some(old) = &old {
            self.index.remove(path, old, encoded_bytes(path, old));
        }
        let node = node.filter(|node| !SettingsTree::is_empty_root(path, node));
        if let Some(node) = node {
            self.index.insert(path, &node, encoded_bytes(path, &node));
            self.tree.nodes.insert(path.clone(), node);
        }
        old
    }

    fn effects(&self, before: BTreeMap<SettingsPath, Option<SettingsNode>>) -> Vec<NodeChange> {
        let changes = before.into_iter().map(|(path, before)| {
            let after = self.tree.nodes.get(&path).cloned();
            NodeChange { path, before, after }
        });
        changes.filter(|change| change.before != change.after).collect()
    }

    /// Returns the faults that involve the nodes at `paths`, and faults of the totals.
    ///
    /// If the tree was valid before the nodes at `paths` changed, these are all its
    /// faults: a removal includes all nodes below, so only a node that was put can lack
    /// its parent or have repeated values.
    fn faults_of<'a>(&self, paths: impl Iterator<Item = &'a SettingsPath>) -> Vec<TreeFault> {
        let mut faults = Vec::new();
        let mut touched = TouchedValues::default();
        for path in paths {
            let Some(node) = self.tree.nodes.get(path) else {
                continue;
            };
            check_node(path, node, encoded_bytes(path, node), &mut faults);
            let parent = path.parent().filter(|parent| *parent != SettingsPath::Root);
            if parent.is_some_and(|parent| !self.tree.nodes.contains_key(&parent)) {
                faults.push(TreeFault::ParentMissing { path: path.clone() });
            }
            touched.add(path, node);
        }
        self.index.check(&touched, &mut faults);
        faults.sort();
        faults
    }
}

/// Writer that counts bytes and discards them.
struct ByteCounter(usize);

impl Write for ByteCounter {
    type Error = std::convert::Infallible;

    fn write_all(&mut self, bytes: &[u8]) -> Result<(), Self::Error> {
        self.0 += bytes.len();
        Ok(())
    }
}

/// Size that a node adds to the encoded tree, in bytes.
fn encoded_bytes(path: &SettingsPath, node: &SettingsNode) -> usize {
    let mut counter = ByteCounter(0);
    match minicbor::encode((path, node), &mut counter) {
        Ok(()) => counter.0,
        Err(error) => unreachable!("counting bytes cannot fail: {error}"),
    }
}
