//! Look-up of the route of a request and the account of a key, and ranks of calls.

use std::collections::{BTreeSet, HashMap};

use sha2::{Digest, Sha256};

use crate::catalog::{AccountRule, RouteCatalog, RouteRule, ServiceRule};

/// Size of the SHA-256 digest of a key, in bytes.
const DIGEST_BYTES: usize = 32;

type KeyDigest = [u8; DIGEST_BYTES];

/// Result of looking up the account of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyMatch<'a> {
    /// The catalog contains no accounts, so no key is required.
    NotRequired,
    /// The key belongs to this account.
    Account(&'a AccountRule),
    /// The key is missing or belongs to no account.
    Unknown,
}

/// Priority of a call. The smallest is the most urgent; the account's priority is compared first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallPriority {
    /// Priority of the account, or of the route if the call has no account or its account has none.
    account: u8,
    /// Priority of the route.
    route: u8,
}

impl CallPriority {
    fn of(route: &RouteRule, account: Option<u8>) -> Self {
        Self {
            account: account.unwrap_or(route.priority),
            route: route.priority,
        }
    }
}

/// A valid catalog with its look-up tables.
#[derive(Debug, Default)]
pub struct CatalogIndex {
    catalog: RouteCatalog,
    /// Positions of the routes of a host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Positions of accounts by the digests of their keys. A look-up compares digests only, so its
    /// duration reveals nothing about the keys of the catalog.
    keys: HashMap<KeyDigest, usize>,
    /// Positions of services by name.
    services: HashMap<String, usize>,
    /// Distinct priorities of the calls that each service may get, by name of the service.
    priorities: HashMap<String, BTreeSet<CallPriority>>,
}

impl CatalogIndex {
    /// Indexes a catalog that [`check`](crate::check::check) has found valid.
    pub fn new(catalog: RouteCatalog) -> Self {
        let mut index = Self {
            hosts: index_hosts(&catalog.routes),
            keys: index_keys(&catalog.accounts),
            services: HashMap::new(),
            priorities: index_priorities(&catalog),
            catalog,
        };
        let services = index.catalog.services.iter().enumerate();
        index.services = services
            .map(|(position, service)| (service.name.clone(), position))
            .collect();
        index
    }

    /// The indexed catalog.
    pub fn catalog(&self) -> &RouteCatalog {
        &self.catalog
    }

    /// The route of a request: the one with the longest matching prefix among those of its host.
    ///
    /// `host` may carry a port, `path` must carry no query.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let positions = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut routes = positions.iter().map(|at| &self.catalog.routes[*at]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Rank of a call: the number of more urgent priorities among the calls that a service may get.
    /// The priority of the account decides, and that of the route between accounts of equal
    /// priority.
    pub fn rank(&self, service: &str, route: &RouteRule, account: Option<&AccountRule>) -> u8 {
        let own = CallPriority::of(route, account.and_then(|account| account.priority));
        let before = self.priorities.get(service);
        let before = before.map_or(0, |all| all.range(..own).count());
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// Looks up the account of a key.
    pub fn find_account(&self, key: Option<&[u8]>) -> KeyMatch<'_> {
        if self.catalog.accounts.is_empty() {
            return KeyMatch::NotRequired;
        }
        let position = key.and_then(|key| self.keys.get(&digest(key)));
        position.map_or(KeyMatch::Unknown, |at| {
            KeyMatch::Account(&self.catalog.accounts[*at])
        })
    }

    /// The service with this name.
    pub fn find_service(&self, name: &str) -> Option<&ServiceRule> {
        let position = self.services.get(name)?;
        self.catalog.services.get(*position)
    }
}

fn index_hosts(routes: &[RouteRule]) -> HashMap<String, Vec<usize>> {
    let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
    for (position, route) in routes.iter().enumerate() {
        hosts.entry(route.host.clone()).or_default().push(position);
    }
    for positions in hosts.values_mut() {
        positions.sort_by_key(|at| std::cmp::Reverse(routes[*at].prefix.len()));
    }
    hosts
}

fn index_keys(accounts: &[AccountRule]) -> HashMap<KeyDigest, usize> {
    let mut keys = HashMap::new();
    for (position, account) in accounts.iter().enumerate() {
        for key in &account.keys {
            keys.insert(digest(key.as_bytes()), position);
        }
    }
    keys
}

fn digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}

fn index_priorities(catalog: &RouteCatalog) -> HashMap<String, BTreeSet<CallPriority>> {
    let mut account_priorities: BTreeSet<Option<u8>> = BTreeSet::new();
    account_priorities.extend(catalog.accounts.iter().map(|account| account.priority));
    if catalog.accounts.is_empty() {
        account_priorities.insert(None);
    }
    let mut services: HashMap<String, BTreeSet<CallPriority>> = HashMap::new();
    for route in &catalog.routes {
        for share in route.services.iter().filter(|share| share.weight > 0) {
            let priorities = services.entry(share.service.clone()).or_default();
            let own = account_priorities.iter();
            priorities.extend(own.map(|priority| CallPriority::of(route, *priority)));
        }
    }
    services
}
