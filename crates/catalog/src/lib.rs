//! The catalog: routes, services and client accounts of a deployment under one version.
//!
//! A catalog replaces any with a lower version. It is checked and replaced as a whole, so the
//! active rules always come from a single version.
//!
//! * [`catalog`]: the catalog and its parts.
//! * [`check`]: validation of a catalog.
//! * [`index`]: look-up of the route of a request and the account of a key, and ranks of calls.
//! * [`split`]: choice of a route's service by weight.

pub mod catalog;
pub mod check;
pub mod index;
pub mod split;

pub use catalog::{
    AccountRule, CallKind, CallLimits, CatalogVersion, EngineRule, RouteCatalog, RouteRule,
    ServiceRule, ServiceShare,
};
pub use check::{CatalogError, Result};
pub use index::{CatalogIndex, KeyMatch};
