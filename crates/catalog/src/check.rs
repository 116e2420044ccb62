//! Validation of a catalog.

use std::collections::HashSet;

use derive_more::{Display, Error};

use crate::catalog::{RouteCatalog, RouteRule};

/// Why a catalog is invalid.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CatalogError {
    /// A route names a service that the catalog does not contain.
    #[display("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[display("routes {first} and {second} share host and prefix")]
    DuplicateRoute {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// The prefix of a route does not begin and end with a slash.
    #[display("the prefix of route {route} does not begin and end with a slash")]
    MalformedPrefix {
        /// Name of the route.
        route: String,
    },
    /// No service of a route has a weight above zero.
    #[display("the weights of route {route} add up to 0")]
    ZeroWeights {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is zero.
    #[display("the timeout of route {route} is 0")]
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// Two services have the same name.
    #[display("service {service} is given twice")]
    DuplicateService {
        /// Name of the services.
        service: String,
    },
    /// Two client accounts have the same name.
    #[display("client account {account} is given twice")]
    DuplicateAccount {
        /// Name of the accounts.
        account: String,
    },
    /// Two client accounts have the same key.
    #[display("client accounts {first} and {second} share a key")]
    SharedKey {
        /// Name of the earlier account.
        first: String,
        /// Name of the later account.
        second: String,
    },
}

/// Result of checking a catalog.
pub type Result<T> = std::result::Result<T, CatalogError>;

/// Checks a whole catalog.
///
/// # Errors
/// The first violation that is found.
pub fn check(catalog: &RouteCatalog) -> Result<()> {
    let services = check_services(catalog)?;
    for route in &catalog.routes {
        check_route(route, &services)?;
    }
    check_duplicates(&catalog.routes)?;
    check_accounts(catalog)
}

fn check_services(catalog: &RouteCatalog) -> Result<HashSet<&str>> {
    let mut names = HashSet::new();
    for service in &catalog.services {
        if !names.insert(service.name.as_str()) {
            return Err(CatalogError::DuplicateService {
                service: service.name.clone(),
            });
        }
    }
    Ok(names)
}

fn check_route(route: &RouteRule, services: &HashSet<&str>) -> Result<()> {
    let name = || route.name.clone();
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        return Err(CatalogError::MalformedPrefix { route: name() });
    }
    if route.timeout.is_zero() {
        return Err(CatalogError::NoTimeout { route: name() });
    }
    let mut shares = route.services.iter();
    if let Some(share) = shares.find(|share| !services.contains(share.service.as_str())) {
        return Err(CatalogError::UnknownService {
            route: name(),
            service: share.service.clone(),
        });
    }
    if route.services.iter().all(|share| share.weight == 0) {
        return Err(CatalogError::ZeroWeights { route: name() });
    }
    Ok(())
}

fn check_duplicates(routes: &[RouteRule]) -> Result<()> {
    let mut names = std::collections::HashMap::new();
    for route in routes {
        let key = (route.host.as_str(), route.prefix.as_str());
        if let Some(first) = names.insert(key, &route.name) {
            return Err(CatalogError::DuplicateRoute {
                first: first.clone(),
                second: route.name.clone(),
            });
        }
    }
    Ok(())
}

fn check_accounts(catalog: &RouteCatalog) -> Result<()> {
    let mut names = HashSet::new();
    let mut holders = std::collections::HashMap::new();
    for account in &catalog.accounts {
        if !names.insert(account.name.as_str()) {
            return Err(CatalogError::DuplicateAccount {
                account: account.name.clone(),
            });
        }
        for key in &account.keys {
            let first = holders.insert(key.as_str(), account.name.as_str());
            if let Some(first) = first.filter(|first| *first != account.name) {
                return Err(CatalogError::SharedKey {
                    first: first.to_owned(),
                    second: account.name.clone(),
                });
            }
        }
    }
    Ok(())
}
