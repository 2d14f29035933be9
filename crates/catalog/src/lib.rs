//! Versioned configuration of routes, services and tenants.
//!
//! A [`Catalog`] defines all routes, services and tenants of a deployment at one version. A new
//! version is validated as a whole ([`Catalog::faults`]) and indexed by host, path and key
//! ([`CatalogIndex`]).
//!
//! This crate performs no I/O, reads no clock and uses no randomness.

mod fault;
mod index;
mod model;
mod objectives;
mod split;

pub use fault::CatalogFault;
pub use index::{CatalogIndex, KeyAccess};
pub use model::address;
pub use model::{
    Catalog, EngineProfile, LimitUnit, RequestLimits, Route, RouteKind, Service, SplitPart,
    StoreProfile, Tenant, TenantLimit,
};
pub use split::WeightedSplit;
