//! A configuration ready for lookups.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::{Catalog, Route, Service, Tenant};

/// What a key gives access to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyAccess<'a> {
    /// The key belongs to this tenant.
    Tenant(&'a Tenant),
    /// No key is needed.
    Open,
    /// The key is unknown, or there is none where one is needed.
    Denied,
}

/// A configuration with tables for routes, services and keys.
#[derive(Clone, Debug, Default)]
pub struct CatalogIndex {
    catalog: Arc<Catalog>,
    /// Routes of a host, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    services: HashMap<String, usize>,
    keys: HashMap<String, usize>,
}

impl CatalogIndex {
    /// Builds the tables of a valid configuration.
    pub fn new(catalog: Arc<Catalog>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in catalog.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(place);
        }
        for places in hosts.values_mut() {
            places.sort_by_key(|place| usize::MAX - catalog.routes[*place].path_prefix.len());
        }
        let services = catalog.services.iter().enumerate();
        let services = services.map(|(place, service)| (service.name.clone(), place)).collect();
        let tenants = catalog.tenants.iter().enumerate();
        let keys = tenants
            .flat_map(|(place, tenant)| tenant.keys.iter().map(move |key| (key.clone(), place)))
            .collect();
        CatalogIndex { hosts, services, keys, catalog }
    }

    /// The configuration.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Place of the route that serves `path` of `host`: the one with the longest prefix.
    pub fn route_at(&self, host: &str, path: &str) -> Option<usize> {
        let places = match self.hosts.get(host) {
            Some(places) => places,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let begins = |place: &&usize| path.starts_with(&self.catalog.routes[**place].path_prefix);
        places.iter().find(begins).copied()
    }

    /// The route at a place that [`CatalogIndex::route_at`] has named.
    pub fn route(&self, place: usize) -> Option<&Route> {
        self.catalog.routes.get(place)
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).and_then(|place| self.catalog.services.get(*place))
    }

    /// What `key` gives access to on `route`.
    pub fn access(&self, route: &Route, key: Option<&str>) -> KeyAccess<'_> {
        let place = key.and_then(|key| self.keys.get(key));
        if let Some(tenant) = place.and_then(|place| self.catalog.tenants.get(*place)) {
            return KeyAccess::Tenant(tenant);
        }
        match route.anonymous || self.catalog.tenants.is_empty() {
            true => KeyAccess::Open,
            false => KeyAccess::Denied,
        }
    }
}
