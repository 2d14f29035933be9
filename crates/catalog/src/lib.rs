//! Whole configurations of generic services.
//!
//! A [`Catalog`] names every route, service and tenant of a deployment at one
//! version. It is checked whole before it is accepted ([`Catalog::faults`]) and
//! looked up by host, path and key once it is in force ([`CatalogIndex`]).
//!
//! Nothing in this crate performs I/O, reads a clock or draws a random number.

mod fault;
mod index;
mod model;
mod split;

pub use fault::CatalogFault;
pub use index::{CatalogIndex, KeyAccess};
pub use model::address;
pub use model::{
    Catalog, EngineProfile, LimitUnit, RequestLimits, Route, RouteKind, Service, SplitPart,
    StoreProfile, Tenant, TenantLimit,
};
pub use split::WeightedSplit;
