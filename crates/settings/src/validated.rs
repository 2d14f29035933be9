//! A settings tree that is known to be valid, changed one change at a time.

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

/// What one change did to one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct NodeChange {
    /// The node.
    #[n(0)]
    pub path: SettingsPath,
    /// The node before, if there was one.
    #[n(1)]
    pub before: Option<SettingsNode>,
    /// The node after, if there is one.
    #[n(2)]
    pub after: Option<SettingsNode>,
}

impl NodeChange {
    /// The edit that does the same.
    pub fn to_edit(&self) -> Edit {
        let path = self.path.clone();
        match &self.after {
            Some(node) => Edit::Put { path, node: Box::new(node.clone()) },
            None => Edit::Remove { path },
        }
    }

    /// The change that takes this one back.
    pub fn inverse(&self) -> NodeChange {
        NodeChange {
            path: self.path.clone(),
            before: self.after.clone(),
            after: self.before.clone(),
        }
    }
}

/// Edits that do what `changes` say, in an order that never removes a node
/// that a later edit puts: removals come first.
pub fn to_change_set(changes: &[NodeChange]) -> ChangeSet {
    let (puts, removals): (Vec<_>, Vec<_>) = changes.iter().partition(|c| c.after.is_some());
    let edits = removals.into_iter().chain(puts).map(NodeChange::to_edit).collect();
    ChangeSet { edits }
}

/// Every fault of `tree`, found by a walk over the whole of it.
pub fn validate(tree: &SettingsTree) -> Vec<TreeFault> {
    match ValidatedTree::new(tree.clone()) {
        Ok(_) => Vec::new(),
        Err(faults) => faults,
    }
}

/// A valid tree with the tables that keep it so cheaply.
///
/// Invariant: `index` describes exactly the nodes of `tree`, and `tree` has no
/// fault. A refused change leaves both as they were.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValidatedTree {
    tree: SettingsTree,
    index: TreeIndex,
}

impl ValidatedTree {
    /// Checks the whole of `tree`.
    pub fn new(tree: SettingsTree) -> Result<Self, Vec<TreeFault>> {
        let mut index = TreeIndex::default();
        for (path, node) in &tree.nodes {
            index.insert(path, node, encoded_bytes(path, node));
        }
        let validated = ValidatedTree { tree, index };
        let faults = validated.faults_of(validated.tree.nodes.keys());
        if faults.is_empty() { Ok(validated) } else { Err(faults) }
    }

    /// The tree.
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// Bytes of the encoded tree.
    pub fn bytes(&self) -> usize {
        self.index.bytes()
    }

    /// The tenant that an API key belongs to.
    pub fn api_key(&self, hash: &ApiKeyHash) -> Option<&SettingsPath> {
        self.index.api_key(hash)
    }

    /// The zone node that lists a back end.
    pub fn back_end(&self, id: EngineId) -> Option<&SettingsPath> {
        self.index.back_end(id)
    }

    /// Applies `change` if the resulting tree has no fault. Costs what the
    /// change touches, not what the tree holds.
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
            self.set(&path, node);
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
                let old = self.set(path, Some(SettingsNode::clone(node)));
                before.entry(path.clone()).or_insert(old);
            }
            Edit::Remove { path } => {
                for path in self.tree.paths_within(path) {
                    let old = self.set(&path, None);
                    before.entry(path).or_insert(old);
                }
            }
        }
    }

    /// Puts or removes one node and returns what was there.
    fn set(&mut self, path: &SettingsPath, node: Option<SettingsNode>) -> Option<SettingsNode> {
        let old = self.tree.nodes.remove(path);
        if let Some(old) = &old {
            self.index.remove(path, old, encoded_bytes(path, old));
        }
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

    /// Faults that the nodes at `paths` take part in, and faults of the totals.
    ///
    /// If the tree was valid before the nodes at `paths` changed, these are all
    /// its faults: a removal takes every node below with it, so only a node
    /// that was put can miss its parent, and only its values can be repeated.
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

/// Counts bytes and keeps none.
struct ByteCounter(usize);

impl Write for ByteCounter {
    type Error = std::convert::Infallible;

    fn write_all(&mut self, bytes: &[u8]) -> Result<(), Self::Error> {
        self.0 += bytes.len();
        Ok(())
    }
}

/// Bytes that a node adds to the encoded tree.
fn encoded_bytes(path: &SettingsPath, node: &SettingsNode) -> usize {
    let mut counter = ByteCounter(0);
    match minicbor::encode((path, node), &mut counter) {
        Ok(()) => counter.0,
        Err(error) => unreachable!("a counter takes every byte: {error}"),
    }
}
