//! Lookup tables of a configuration.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::{Catalog, Route, Service, Tenant};

/// Result of a key check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyAccess<'a> {
    /// Valid key of this tenant.
    Tenant(&'a Tenant),
    /// No valid key, on a route that needs none.
    Open,
    /// Missing or unknown key.
    Denied,
}

/// Configuration indexed by host and path, service name and key.
#[derive(Clone, Debug, Default)]
pub struct CatalogIndex {
    catalog: Arc<Catalog>,
    /// Indexes of the routes of a host, sorted by descending prefix length.
    hosts: HashMap<String, Vec<usize>>,
    services: HashMap<String, usize>,
    keys: HashMap<String, usize>,
}

impl CatalogIndex {
    /// Indexes a valid configuration.
    pub fn new(catalog: Arc<Catalog>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in catalog.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indexes in hosts.values_mut() {
            indexes.sort_by_key(|index| usize::MAX - catalog.routes[*index].path_prefix.len());
        }
        let services = catalog.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index)).collect();
        let tenants = catalog.tenants.iter().enumerate();
        let keys = tenants
            .flat_map(|(index, tenant)| tenant.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        CatalogIndex { hosts, services, keys, catalog }
    }

    /// Returns the indexed configuration.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Index of the route for `host` and `path`: the one with the longest matching prefix.
    pub fn find_route_index(&self, host: &str, path: &str) -> Option<usize> {
        let indexes = match self.hosts.get(host) {
            Some(indexes) => indexes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let matches = |index: &&usize| path.starts_with(&self.catalog.routes[**index].path_prefix);
        indexes.iter().find(matches).copied()
    }

    /// Returns the route at an index from [`CatalogIndex::find_route_index`].
    pub fn route(&self, index: usize) -> Option<&Route> {
        self.catalog.routes.get(index)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).and_then(|index| self.catalog.services.get(*index))
    }

    /// Checks `key` for a request to `route`. Without tenants every route is open.
    pub fn access(&self, route: &Route, key: Option<&str>) -> KeyAccess<'_> {
        let index = key.and_then(|key| self.keys.get(key));
        if let Some(tenant) = index.and_then(|index| self.catalog.tenants.get(*index)) {
            return KeyAccess::Tenant(tenant);
        }
        match route.anonymous || self.catalog.tenants.is_empty() {
            true => KeyAccess::Open,
            false => KeyAccess::Denied,
        }
    }
}
