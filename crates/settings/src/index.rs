//! Index of a settings tree for incremental validation.
//!
//! Checks across nodes, such as uniqueness and the total size, read this index, so the
//! cost of a change depends on the nodes it touches and not on the size of the tree.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use juniper_types::{EngineId, TenantName, ZoneName};

use crate::fault::{MAX_NODES, MAX_TREE_BYTES, TreeFault};
use crate::path::SettingsPath;
use crate::tree::{ApiKeyHash, SettingsNode};

/// Sorted paths of the nodes that list a value, one for each occurrence.
type Occurrences = Vec<SettingsPath>;

/// Values that must be unique, by their nodes, and the totals of a tree.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TreeIndex {
    tenants: BTreeMap<TenantName, BTreeSet<ZoneName>>,
    back_end_ids: BTreeMap<EngineId, Occurrences>,
    back_end_addresses: BTreeMap<SocketAddr, Occurrences>,
    api_keys: BTreeMap<ApiKeyHash, Occurrences>,
    nodes: usize,
    bytes: usize,
}

/// Values that a change has added and whose uniqueness must be checked again.
#[derive(Debug, Default)]
pub(crate) struct TouchedValues {
    tenants: BTreeSet<TenantName>,
    back_end_ids: BTreeSet<EngineId>,
    back_end_addresses: BTreeSet<SocketAddr>,
    api_keys: BTreeSet<ApiKeyHash>,
}

impl TouchedValues {
    /// Adds the values of the new node at `path`.
    pub fn add(&mut self, path: &SettingsPath, node: &SettingsNode) {
        if let SettingsPath::Tenant(_, tenant) = path {
            self.tenants.insert(tenant.clone());
        }
        for back_end in &node.back_ends {
            self.back_end_ids.insert(back_end.id);
            self.back_end_addresses.insert(back_end.address);
        }
        self.api_keys.extend(node.api_keys.iter().cloned());
    }
}

impl TreeIndex {
    /// Adds a node whose encoded size is `bytes`.
    pub fn insert(&mut self, path: &SettingsPath, node: &SettingsNode, bytes: usize) {
        self.nodes += 1;
        self.bytes += bytes;
        if let SettingsPath::Tenant(zone, tenant) = path {
            self.tenants.entry(tenant.clone()).or_default().insert(zone.clone());
        }
        for back_end in &node.back_ends {
            insert_occurrence(&mut self.back_end_ids, &back_end.id, path);
            insert_occurrence(&mut self.back_end_addresses, &back_end.address, path);
        }
        for key in &node.api_keys {
            insert_occurrence(&mut self.api_keys, key, path);
        }
    }

    /// Removes a node that was inserted with the same arguments.
    pub fn remove(&mut self, path: &SettingsPath, node: &SettingsNode, bytes: usize) {
        self.nodes -= 1;
        self.bytes -= bytes;
        if let SettingsPath::Tenant(zone, tenant) = path
            && let Some(zones) = self.tenants.get_mut(tenant)
        {
            zones.remove(zone);
            if zones.is_empty() {
                self.tenants.remove(tenant);
            }
        }
        for back_end in &node.back_ends {
            remove_occurrence(&mut self.back_end_ids, &back_end.id, path);
            remove_occurrence(&mut self.back_end_addresses, &back_end.address, path);
        }
        for key in &node.api_keys {
            remove_occurrence(&mut self.api_keys, key, path);
        }
    }

    /// Size of the encoded tree, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Path of the tenant that an API key belongs to.
    pub fn api_key(&self, hash: &ApiKeyHash) -> Option<&SettingsPath> {
        self.api_keys.get(hash)?.first()
    }

    /// Path of the zone that lists a back end.
    pub fn back_end(&self, id: EngineId) -> Option<&SettingsPath> {
        self.back_end_ids.get(&id)?.first()
    }

    /// Adds the faults of the `touched` values and of the totals to `faults`.
    pub fn check(&self, touched: &TouchedValues, faults: &mut Vec<TreeFault>) {
        for tenant in &touched.tenants {
            if let Some(zones) = self.tenants.get(tenant).filter(|zones| zones.len() > 1) {
                let zones = zones.iter().cloned().collect();
                faults.push(TreeFault::TenantInManyZones { tenant: tenant.clone(), zones });
            }
        }
        for id in &touched.back_end_ids {
            if let Some(paths) = repeated_paths(&self.back_end_ids, id) {
                faults.push(TreeFault::BackEndIdRepeated { id: *id, paths });
            }
        }
        for address in &touched.back_end_addresses {
            if let Some(paths) = repeated_paths(&self.back_end_addresses, address) {
                faults.push(TreeFault::BackEndAddressRepeated { address: *address, paths });
            }
        }
        for key in &touched.api_keys {
            if let Some(paths) = repeated_paths(&self.api_keys, key) {
                faults.push(TreeFault::ApiKeyRepeated { paths });
            }
        }
        if self.nodes > MAX_NODES {
            faults.push(TreeFault::TooManyNodes { nodes: self.nodes as u64 });
        }
        if self.bytes > MAX_TREE_BYTES {
            faults.push(TreeFault::TreeTooLarge { bytes: self.bytes as u64 });
        }
    }
}

fn insert_occurrence<K: Ord + Clone>(
    table: &mut BTreeMap<K, Occurrences>,
    key: &K,
    path: &SettingsPath,
) {
    let occurrences = table.entry(key.clone()).or_default();
    let position = occurrences.partition_point(|other| other < path);
    occurrences.insert(position, path.clone());
}

fn remove_occurrence<K: Ord>(table: &mut BTreeMap<K, Occurrences>, key: &K, path: &SettingsPath) {
    let Some(occurrences) = table.get_mut(key) else {
        return;
    };
    if let Ok(position) = occurrences.binary_search(path) {
        occurrences.remove(position);
    }
    if occurrences.is_empty() {
        table.remove(key);
    }
}

fn repeated_paths<K: Ord>(table: &BTreeMap<K, Occurrences>, key: &K) -> Option<Occurrences> {
    table.get(key).filter(|occurrences| occurrences.len() > 1).cloned()
}
