//! The settings in force on this router, with the lookups that requests need.
//!
//! Invariant: the revision in force never goes down. A snapshot or delta below
//! or equal to it is dropped, whoever sent it; a delta that skips a revision is
//! refused so that the subscription starts again from what is in force.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use juniper_protocol::Push;
use juniper_settings::{
    ApiKeyHash, BackEnd, BackEndKind, EffectiveSettings, SettingsPath, SettingsTree, TrafficKind,
};
use juniper_types::{EngineId, Revision, ServiceName, TenantName, ZoneName};
use subtle::ConstantTimeEq;

/// A tenant and where it stands in the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantHome {
    /// Home zone.
    pub zone: ZoneName,
    /// Name.
    pub tenant: TenantName,
}

/// One revision of the tree with its lookups.
#[derive(Debug, Default)]
pub struct InForce {
    /// The revision; zero means that nothing is in force.
    pub revision: Revision,
    tree: SettingsTree,
    tenants_by_key: HashMap<ApiKeyHash, TenantHome>,
}

/// A delta that does not follow the revision in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("revision {received} does not follow revision {in_force}")]
pub struct MissedRevision {
    /// What is in force.
    pub in_force: Revision,
    /// What was received.
    pub received: Revision,
}

impl InForce {
    /// Puts `tree` in force as `revision`.
    pub fn new(revision: Revision, tree: SettingsTree) -> Self {
        let mut tenants_by_key = HashMap::new();
        for (zone, tenant, node) in tree.tenants() {
            for key in &node.api_keys {
                let home = TenantHome { zone: zone.clone(), tenant: tenant.clone() };
                tenants_by_key.insert(key.clone(), home);
            }
        }
        InForce { revision, tree, tenants_by_key }
    }

    /// The state after `push`, or `None` if it brings nothing newer.
    pub fn after(&self, push: Push) -> Result<Option<InForce>, MissedRevision> {
        match push {
            Push::Snapshot { revision, tree } if revision > self.revision => {
                Ok(Some(InForce::new(revision, tree)))
            }
            Push::Delta(delta) if delta.revision > self.revision => {
                if delta.revision.0 != self.revision.0 + 1 {
                    return Err(MissedRevision {
                        in_force: self.revision,
                        received: delta.revision,
                    });
                }
                let mut tree = self.tree.clone();
                delta.change.apply_to(&mut tree);
                Ok(Some(InForce::new(delta.revision, tree)))
            }
            _ => Ok(None),
        }
    }

    /// The tree in force.
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// The tenant that `key` belongs to.
    pub fn tenant_of(&self, key: &str) -> Option<&TenantHome> {
        let hash = ApiKeyHash::of(key);
        let (stored, home) = self.tenants_by_key.get_key_value(&hash)?;
        bool::from(stored.0.as_bytes().ct_eq(hash.0.as_bytes())).then_some(home)
    }

    /// Resolves the service of a request: the named one, or else the tenant's
    /// first service of the wanted kind.
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

    /// The engines of `zone`, and those of each other zone.
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

    /// Every back end with its zone.
    pub fn back_ends(&self) -> impl Iterator<Item = (&ZoneName, &BackEnd)> {
        self.tree.back_ends()
    }
}
