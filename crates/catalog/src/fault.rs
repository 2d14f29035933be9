//! Why a configuration is invalid.

use std::collections::{HashMap, HashSet};

use crate::model::{Catalog, Route};

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CatalogFault {
    /// A route names a service that the configuration doesn't hold.
    #[error("route {route} names the unknown service {service:?}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes share host and path prefix.
    #[error("routes {first} and {second} share host and path prefix")]
    SamePlace {
        /// The earlier one.
        first: String,
        /// The later one.
        second: String,
    },
    /// The weights of a route add up to zero.
    #[error("the weights of route {route} add up to 0")]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route may hold requests for no time at all.
    #[error("the time-out of route {route} is 0")]
    NoTimeout {
        /// The route.
        route: String,
    },
    /// Two tenants share a key.
    #[error("tenants {first} and {second} share a key")]
    SharedKey {
        /// The earlier one.
        first: String,
        /// The later one.
        second: String,
    },
    /// A limit is no number of units, or below zero.
    #[error("the {field} of tenant {tenant} is {value}, which is no amount")]
    Limit {
        /// The tenant.
        tenant: String,
        /// Which part of the limit.
        field: &'static str,
        /// What was stated.
        value: f64,
    },
    /// Two services have the same name.
    #[error("service {service} stands twice")]
    SameService {
        /// The name.
        service: String,
    },
}

impl Catalog {
    /// Everything that makes the configuration invalid; empty for a valid one.
    pub fn faults(&self) -> Vec<CatalogFault> {
        let mut faults = self.service_faults();
        faults.extend(self.route_faults());
        faults.extend(self.place_faults());
        faults.extend(self.key_faults());
        faults.extend(self.limit_faults());
        faults
    }

    fn service_faults(&self) -> Vec<CatalogFault> {
        let mut names = HashSet::new();
        let repeated = self.services.iter().filter(|service| !names.insert(service.name.as_str()));
        repeated
            .map(|service| CatalogFault::SameService { service: service.name.clone() })
            .collect()
    }

    fn route_faults(&self) -> Vec<CatalogFault> {
        let known: HashSet<&str> =
            self.services.iter().map(|service| service.name.as_str()).collect();
        self.routes.iter().flat_map(|route| faults_of(route, &known)).collect()
    }

    fn place_faults(&self) -> Vec<CatalogFault> {
        let mut places: HashMap<(&str, &str), &Route> = HashMap::new();
        let mut faults = Vec::new();
        for route in &self.routes {
            if let Some(first) = places.insert((&route.host, &route.path_prefix), route) {
                let (first, second) = (first.name.clone(), route.name.clone());
                faults.push(CatalogFault::SamePlace { first, second });
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
                    faults.push(CatalogFault::Limit { tenant: tenant.name.clone(), field, value });
                }
            }
        }
        faults
    }

    fn key_faults(&self) -> Vec<CatalogFault> {
        let mut holders: HashMap<&str, &str> = HashMap::new();
        let mut faults = Vec::new();
        for tenant in &self.tenants {
            for key in &tenant.keys {
                let first = holders.insert(key, &tenant.name);
                if let Some(first) = first.filter(|first| *first != tenant.name) {
                    let (first, second) = (first.to_owned(), tenant.name.clone());
                    faults.push(CatalogFault::SharedKey { first, second });
                }
            }
        }
        faults
    }
}

fn faults_of(route: &Route, known: &HashSet<&str>) -> Vec<CatalogFault> {
    let mut faults = Vec::new();
    for part in &route.split {
        if !known.contains(part.service.as_str()) {
            let (route, service) = (route.name.clone(), part.service.clone());
            faults.push(CatalogFault::UnknownService { route, service });
        }
    }
    if route.split.iter().all(|part| part.weight == 0) {
        faults.push(CatalogFault::NoWeight { route: route.name.clone() });
    }
    if route.timeout_ms == 0 {
        faults.push(CatalogFault::NoTimeout { route: route.name.clone() });
    }
    faults
}
