//! Validation of configurations.

use std::collections::{HashMap, HashSet};

use crate::model::{Catalog, Route};

/// Validation error of a configuration.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CatalogFault {
    /// Route that refers to an undefined service.
    #[error("route {route} names the unknown service {service:?}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes with the same host and path prefix.
    #[error("routes {first} and {second} share host and path prefix")]
    DuplicateRoute {
        /// Name of the route that comes first.
        first: String,
        /// Name of the route that comes second.
        second: String,
    },
    /// Route whose weights add up to zero.
    #[error("the weights of route {route} add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// Route with a timeout of zero.
    #[error("the time-out of route {route} is 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// Two tenants with the same key.
    #[error("tenants {first} and {second} share a key")]
    SharedKey {
        /// Name of the tenant that comes first.
        first: String,
        /// Name of the tenant that comes second.
        second: String,
    },
    /// Tenant limit that is negative or not finite.
    #[error("the {field} of tenant {tenant} is {value}, which is no amount")]
    InvalidLimit {
        /// Name of the tenant.
        tenant: String,
        /// Field of the limit: `rate` or `burst`.
        field: &'static str,
        /// Invalid value.
        value: f64,
    },
    /// Two services with the same name.
    #[error("service {service} stands twice")]
    DuplicateService {
        /// Name of the services.
        service: String,
    },
}

impl Catalog {
    /// Returns all validation errors; empty for a valid configuration.
    pub fn faults(&self) -> Vec<CatalogFault> {
        let mut faults = self.service_faults();
        faults.extend(self.route_faults());
        faults.extend(self.duplicate_route_faults());
        faults.extend(self.shared_key_faults());
        faults.extend(self.limit_faults());
        faults
    }

    fn service_faults(&self) -> Vec<CatalogFault> {
        let mut names = HashSet::new();
        let repeated = self.services.iter().filter(|service| !names.insert(service.name.as_str()));
        repeated
            .map(|service| CatalogFault::DuplicateService { service: service.name.clone() })
            .collect()
    }

    fn route_faults(&self) -> Vec<CatalogFault> {
        let known: HashSet<&str> =
            self.services.iter().map(|service| service.name.as_str()).collect();
        self.routes.iter().flat_map(|route| faults_of_route(route, &known)).collect()
    }

    fn duplicate_route_faults(&self) -> Vec<CatalogFault> {
        let mut routes_by_prefix: HashMap<(&str, &str), &Route> = HashMap::new();
        let mut faults = Vec::new();
        for route in &self.routes {
            if let Some(first) = routes_by_prefix.insert((&route.host, &route.path_prefix), route) {
                let (first, second) = (first.name.clone(), route.name.clone());
                faults.push(CatalogFault::DuplicateRoute { first, second });
            }
        }
        faults
    }

    fn limit_faults(&self) -> Vec<CatalogFault> {
        let mut faults = Vec::new();
        for tenant in &self.tenants {
            let Some(limit) = &tenant.limit else { continue };
            for (field, value) in [("rate", limit.per_second), ("burst", limit.burst)] {
                if !value.is_finite() || value < 0.0 {
                    faults.push(CatalogFault::InvalidLimit {
                        tenant: tenant.name.clone(),
                        field,
                        value,
                    });
                }
            }
        }
        faults
    }

    fn shared_key_faults(&self) -> Vec<CatalogFault> {
        let mut key_owners: HashMap<&str, &str> = HashMap::new();
        let mut faults = Vec::new();
        for tenant in &self.tenants {
            for key in &tenant.keys {
                let first = key_owners.insert(key, &tenant.name);
                if let Some(first) = first.filter(|first| *first != tenant.name) {
                    let (first, second) = (first.to_owned(), tenant.name.clone());
                    faults.push(CatalogFault::SharedKey { first, second });
                }
            }
        }
        faults
    }
}

fn faults_of_route(route: &Route, known: &HashSet<&str>) -> Vec<CatalogFault> {
    let mut faults = Vec::new();
    for part in &route.split {
        if !known.contains(part.service.as_str()) {
            let (route, service) = (route.name.clone(), part.service.clone());
            faults.push(CatalogFault::UnknownService { route, service });
        }
    }
    if route.split.iter().all(|part| part.weight == 0) {
        faults.push(CatalogFault::ZeroWeight { route: route.name.clone() });
    }
    if route.timeout_ms == 0 {
        faults.push(CatalogFault::ZeroTimeout { route: route.name.clone() });
    }
    faults
}
