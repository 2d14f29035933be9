//! Settings in force on this router, indexed for request lookups.
//!
//! Invariant: the revision in force never decreases. Snapshots and deltas up to this
//! revision are ignored; a delta that skips a revision is an error, after which the
//! subscription restarts from the revision in force.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use juniper_protocol::Push;
use juniper_settings::{
    ApiKeyHash, BackEnd, BackEndKind, EffectiveSettings, SettingsPath, SettingsTree, TrafficKind,
};
use juniper_types::{EngineId, Revision, ServiceName, TenantName, ZoneName};
use subtle::ConstantTimeEq;

/// A tenant with its home zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantHome {
    /// Home zone.
    pub zone: ZoneName,
    /// Name of the tenant.
    pub tenant: TenantName,
}

/// One revision of the settings tree with an index of API keys.
#[derive(Debug, Default)]
pub struct SettingsInForce {
    /// Revision of the tree; zero if no settings are in force.
    pub revision: Revision,
    tree: SettingsTree,
    tenants_by_key: HashMap<ApiKeyHash, TenantHome>,
}

/// A delta that does not follow the revision in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("revision {received} does not follow revision {in_force}")]
pub struct RevisionGap {
    /// Revision in force.
    pub in_force: Revision,
    /// Revision of the received delta.
    pub received: Revision,
}

impl SettingsInForce {
    /// Builds the index of `tree` at `revision`.
    pub fn new(revision: Revision, tree: SettingsTree) -> Self {
        let mut tenants_by_key = HashMap::new();
        for (zone, tenant, node) in tree.tenants() {
            for key in &node.api_keys {
                let home = TenantHome { zone: zone.clone(), tenant: tenant.clone() };
                tenants_by_key.insert(key.clone(), home);
            }
        }
        SettingsInForce { revision, tree, tenants_by_key }
    }

    /// Returns the settings after `push`, or `None` if `push` isn't newer than these.
    pub fn after_push(&self, push: Push) -> Result<Option<SettingsInForce>, RevisionGap> {
        match push {
            Push::Snapshot { revision, tree } if revision > self.revision => {
                Ok(Some(SettingsInForce::new(revision, tree)))
            }
            Push::Delta(delta) if delta.revision > self.revision => {
                if delta.revision.0 != self.revision.0 + 1 {
                    return Err(RevisionGap { in_force: self.revision, received: delta.revision });
                }
                let mut tree = self.tree.clone();
                delta.change.apply_to(&mut tree);
                Ok(Some(SettingsInForce::new(delta.revision, tree)))
            }
            _ => Ok(None),
        }
    }

    /// Returns the settings tree.
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// Returns the tenant of an API key.
    pub fn tenant_of(&self, key: &str) -> Option<&TenantHome> {
        let hash = ApiKeyHash::of(key);
        let (stored, home) = self.tenants_by_key.get_key_value(&hash)?;
        bool::from(stored.0.as_bytes().ct_eq(hash.0.as_bytes())).then_some(home)
    }

    /// Resolves the service of a request: the named one, or without a name the tenant's
    /// first service of `kind`.
    pub fn service_of(
        &self,
        home: &TenantHome,
        named: Option<&ServiceName>,
        kind: TrafficKind,
    ) -> Option<(ServiceName, Arc<EffectiveSettings>)> {
        let resolve = |service: &ServiceName| {
            let path =
                SettingsPath::Service(home.zone.clone(), home.tenant.clone(), service.clone());
            let settings = self.tree.effective(&path);
            (service.clone(), Arc::new(settings))
        };
        let mut services = self.tree.services(&home.zone, &home.tenant);
        match named {
            Some(name) => services.find(|service| *service == name).map(resolve),
            None => services.map(resolve).find(|(_, settings)| settings.traffic == kind),
        }
    }

    /// Returns the engines of `zone` and the engines of each other zone.
    pub fn engines_by_zone(&self, zone: &ZoneName) -> (Vec<EngineId>, Vec<Vec<EngineId>>) {
        let mut by_zone: BTreeMap<&ZoneName, Vec<EngineId>> = BTreeMap::new();
        for (home, back_end) in self.back_ends() {
            if back_end.kind == BackEndKind::Engine {
                by_zone.entry(home).or_default().push(back_end.id);
            }
        }
        let own = by_zone.remove(zone).unwrap_or_default();
        (own, by_zone.into_values().collect())
    }

    /// Iterates over all back ends with their zones.
    pub fn back_ends(&self) -> impl Iterator<Item = (&ZoneName, &BackEnd)> {
        self.tree.back_ends()
    }
}
