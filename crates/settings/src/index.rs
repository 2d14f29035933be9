//! Counts over a tree that make its validation incremental.
//!
//! Every check that spans nodes ("unique in the whole tree", "at most so many
//! bytes") reads one of these tables, so a change costs what it touches and not
//! what the tree holds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use juniper_types::{EngineId, TenantName, ZoneName};

use crate::fault::{MAX_NODES, MAX_TREE_BYTES, TreeFault};
use crate::path::SettingsPath;
use crate::tree::{ApiKeyHash, SettingsNode};

/// Where a value stands; a place is listed once for each time.
type Places = Vec<SettingsPath>;

/// The tables.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TreeIndex {
    tenants: BTreeMap<TenantName, BTreeSet<ZoneName>>,
    back_end_ids: BTreeMap<EngineId, Places>,
    back_end_addresses: BTreeMap<SocketAddr, Places>,
    api_keys: BTreeMap<ApiKeyHash, Places>,
    nodes: usize,
    bytes: usize,
}

/// Values whose uniqueness a change may have broken.
#[derive(Debug, Default)]
pub(crate) struct TouchedValues {
    tenants: BTreeSet<TenantName>,
    back_end_ids: BTreeSet<EngineId>,
    back_end_addresses: BTreeSet<SocketAddr>,
    api_keys: BTreeSet<ApiKeyHash>,
}

impl TouchedValues {
    /// Adds the values of a node that has just been put at `path`.
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
    /// Adds a node of `bytes` encoded bytes.
    pub fn insert(&mut self, path: &SettingsPath, node: &SettingsNode, bytes: usize) {
        self.nodes += 1;
        self.bytes += bytes;
        if let SettingsPath::Tenant(zone, tenant) = path {
            self.tenants.entry(tenant.clone()).or_default().insert(zone.clone());
        }
        for back_end in &node.back_ends {
            insert_place(&mut self.back_end_ids, &back_end.id, path);
            insert_place(&mut self.back_end_addresses, &back_end.address, path);
        }
        for key in &node.api_keys {
            insert_place(&mut self.api_keys, key, path);
        }
    }

    /// Takes out a node that was inserted with the same arguments.
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
            remove_place(&mut self.back_end_ids, &back_end.id, path);
            remove_place(&mut self.back_end_addresses, &back_end.address, path);
        }
        for key in &node.api_keys {
            remove_place(&mut self.api_keys, key, path);
        }
    }

    /// Bytes of the encoded tree.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The tenant that an API key belongs to.
    pub fn api_key(&self, hash: &ApiKeyHash) -> Option<&SettingsPath> {
        self.api_keys.get(hash)?.first()
    }

    /// The zone of a back end.
    pub fn back_end(&self, id: EngineId) -> Option<&SettingsPath> {
        self.back_end_ids.get(&id)?.first()
    }

    /// Faults among the `touched` values and the totals.
    pub fn check(&self, touched: &TouchedValues, faults: &mut Vec<TreeFault>) {
        for tenant in &touched.tenants {
            if let Some(zones) = self.tenants.get(tenant).filter(|zones| zones.len() > 1) {
                let zones = zones.iter().cloned().collect();
                faults.push(TreeFault::TenantInManyZones { tenant: tenant.clone(), zones });
            }
        }
        for id in &touched.back_end_ids {
            if let Some(paths) = repeated(&self.back_end_ids, id) {
                faults.push(TreeFault::BackEndIdRepeated { id: *id, paths });
            }
        }
        for address in &touched.back_end_addresses {
            if let Some(paths) = repeated(&self.back_end_addresses, address) {
                faults.push(TreeFault::BackEndAddressRepeated { address: *address, paths });
            }
        }
        for key in &touched.api_keys {
            if let Some(paths) = repeated(&self.api_keys, key) {
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

fn insert_place<K: Ord + Clone>(table: &mut BTreeMap<K, Places>, key: &K, path: &SettingsPath) {
    let places = table.entry(key.clone()).or_default();
    let position = places.partition_point(|place| place < path);
    places.insert(position, path.clone());
}

fn remove_place<K: Ord>(table: &mut BTreeMap<K, Places>, key: &K, path: &SettingsPath) {
    let Some(places) = table.get_mut(key) else {
        return;
    };
    if let Ok(position) = places.binary_search(path) {
        places.remove(position);
    }
    if places.is_empty() {
        table.remove(key);
    }
}

fn repeated<K: Ord>(table: &BTreeMap<K, Places>, key: &K) -> Option<Places> {
    table.get(key).filter(|places| places.len() > 1).cloned()
}
