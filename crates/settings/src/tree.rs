//! Settings tree: nodes by path, lookup and inheritance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use juniper_types::{EngineId, ServiceName, TenantName, ZoneName};
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::overrides::{EffectiveSettings, Overrides};
use crate::path::SettingsPath;
use crate::validated::NodeChange;

/// Hash of an API key. The key itself is never stored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
#[derive(Encode, Decode)]
#[cbor(transparent)]
pub struct ApiKeyHash(#[n(0)] pub String);

/// Number of hexadecimal digits in a hash.
const API_KEY_HASH_DIGITS: usize = 64;

/// Key derivation context that separates these hashes from other uses of BLAKE3.
const API_KEY_CONTEXT: &str = "juniperhollow api key v1";

impl ApiKeyHash {
    /// Hashes `key`.
    pub fn of(key: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(API_KEY_CONTEXT);
        hasher.update(key.as_bytes());
        ApiKeyHash(hasher.finalize().to_hex().to_string())
    }

    /// Whether this is the hash of `key`, compared in constant time.
    pub fn matches(&self, key: &str) -> bool {
        self.0.as_bytes().ct_eq(ApiKeyHash::of(key).0.as_bytes()).into()
    }

    /// Whether the text consists of 64 lower-case hexadecimal digits.
    pub fn is_well_formed(&self) -> bool {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        self.0.len() == API_KEY_HASH_DIGITS && self.0.bytes().all(is_digit)
    }
}

/// Kind of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum BackEndKind {
    /// Model engine.
    #[n(0)]
    Engine,
    /// Application server.
    #[n(1)]
    Application,
    /// Preview server.
    #[n(2)]
    Preview,
    /// KV cache store.
    #[n(3)]
    CacheStore,
}

/// Back end of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
#[cbor(map)]
pub struct BackEnd {
    /// Id of the back end, unique in the whole tree.
    #[n(0)]
    pub id: EngineId,
    /// Kind of the back end.
    #[n(1)]
    pub kind: BackEndKind,
    /// Address of the HTTP API.
    #[cbor(n(2), with = "crate::address")]
    pub address: SocketAddr,
    /// Whether an operator is draining the back end, which then receives no new requests.
    #[n(3)]
    #[serde(default)]
    pub leaving: bool,
}

/// Node of the settings tree.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(default, deny_unknown_fields)]
#[cbor(map)]
pub struct SettingsNode {
    /// Values that the node sets. Other values are inherited.
    #[n(0)]
    pub overrides: Overrides,
    /// Back ends, allowed on zones only.
    #[n(1)]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub back_ends: Vec<BackEnd>,
    /// Hashes of the API keys of callers, allowed on tenants only.
    #[n(2)]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub api_keys: Vec<ApiKeyHash>,
}

/// Settings tree. A valid tree contains the parent of every node, except that the root
/// may be absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(transparent)]
#[cbor(transparent)]
pub struct SettingsTree {
    /// Nodes by path. An absent root is equivalent to an empty one.
    #[n(0)]
    pub nodes: BTreeMap<SettingsPath, SettingsNode>,
}

impl SettingsTree {
    /// Node at `path`, if it exists.
    pub fn node(&self, path: &SettingsPath) -> Option<&SettingsNode> {
        self.nodes.get(path)
    }

    /// Whether the node is an empty root, which is equivalent to an absent one.
    pub(crate) fn is_empty_root(path: &SettingsPath, node: &SettingsNode) -> bool {
        *path == SettingsPath::Root && *node == SettingsNode::default()
    }

    /// Values in effect at `path`, with those inherited from the levels above it. Levels
    /// that are absent from the tree are skipped.
    pub fn effective(&self, path: &SettingsPath) -> EffectiveSettings {
        let mut merged = Overrides::default();
        let mut current = Some(path.clone());
        while let Some(level) = current {
            if let Some(node) = self.nodes.get(&level) {
                merged.inherit(&node.overrides);
            }
            current = level.parent();
        }
        EffectiveSettings::resolve(&merged)
    }

    /// Back ends with their zones, in path order.
    pub fn back_ends(&self) -> impl Iterator<Item = (&ZoneName, &BackEnd)> {
        self.nodes.iter().flat_map(|(path, node)| {
            let zone = match path {
                SettingsPath::Zone(zone) => Some(zone),
                _ => None,
            };
            zone.into_iter().flat_map(|zone| node.back_ends.iter().map(move |b| (zone, b)))
        })
    }

    /// Tenants with their home zones and nodes, in path order.
    pub fn tenants(&self) -> impl Iterator<Item = (&ZoneName, &TenantName, &SettingsNode)> {
        self.nodes.iter().filter_map(|(path, node)| match path {
            SettingsPath::Tenant(zone, tenant) => Some((zone, tenant, node)),
            _ => None,
        })
    }

    /// Names of the services of a tenant.
    pub fn services<'a>(
        &'a self,
        zone: &'a ZoneName,
        tenant: &'a TenantName,
    ) -> impl Iterator<Item = &'a ServiceName> {
        let first = SettingsPath::first_service(zone, tenant);
        self.nodes.range(first..).map_while(move |(path, _)| match path {
            SettingsPath::Service(z, t, service) if z == zone && t == tenant => Some(service),
            _ => None,
        })
    }

    /// Paths of the node at `path`, if it exists, and of all nodes below it.
    pub fn paths_within(&self, path: &SettingsPath) -> Vec<SettingsPath> {
        let within = |candidate: &SettingsPath| candidate.is_within(path);
        match path {
            SettingsPath::Service(..) => {
                self.nodes.get(path).map(|_| path.clone()).into_iter().collect()
            }
            SettingsPath::Tenant(zone, tenant) => {
                let own = self.nodes.get(path).map(|_| path.clone());
                let services = self.services(zone, tenant).map(|service| {
                    SettingsPath::Service(zone.clone(), tenant.clone(), service.clone())
                });
                own.into_iter().chain(services).collect()
            }
            _ => self.nodes.keys().filter(|candidate| within(candidate)).cloned().collect(),
        }
    }

    /// Changes from `self` to `newer`, in path order.
    pub fn diff(&self, newer: &SettingsTree) -> Vec<NodeChange> {
        let paths: BTreeSet<&SettingsPath> = self.nodes.keys().chain(newer.nodes.keys()).collect();
        let changes = paths.into_iter().map(|path| NodeChange {
            path: path.clone(),
            before: self.nodes.get(path).cloned(),
            after: newer.nodes.get(path).cloned(),
        });
        changes.filter(|change| change.before != change.after).collect()
    }
}
