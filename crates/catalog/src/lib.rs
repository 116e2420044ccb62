//! Routes, services and client accounts of a deployment, as one versioned whole.
//!
//! A catalog replaces the one before it by its version. It is checked as a whole, so what is in
//! force is never partly new.
//!
//! * [`catalog`]: the catalog and its parts.
//! * [`check`]: what makes a catalog invalid.
//! * [`index`]: finding the route of a request and the account of a key.
//! * [`split`]: choosing one of the services of a route.

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
