//! Finding the route of a request and the account of a key.

use std::collections::{BTreeSet, HashMap};

use sha2::{Digest, Sha256};

use crate::catalog::{AccountRule, RouteCatalog, RouteRule, ServiceRule};

/// Bytes of the digest of a key.
const DIGEST_BYTES: usize = 32;

type KeyDigest = [u8; DIGEST_BYTES];

/// What a key stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyMatch<'a> {
    /// The catalog holds no accounts, so no key is needed.
    NotRequired,
    /// The key belongs to this account.
    Account(&'a AccountRule),
    /// The key is missing or belongs to no account.
    Unknown,
}

/// How urgent a call is, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallPriority {
    /// Priority of the account, or of the route for accounts that have none.
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

/// A checked catalog with its look-up tables.
#[derive(Debug, Default)]
pub struct CatalogIndex {
    catalog: RouteCatalog,
    /// Positions of the routes of a host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Positions of accounts by the digest of their keys. A look-up compares digests only, so its
    /// duration tells nothing about a key.
    keys: HashMap<KeyDigest, usize>,
    services: HashMap<String, usize>,
    /// Priorities of the calls that a service may get, the most urgent first.
    priorities: HashMap<String, BTreeSet<CallPriority>>,
}

impl CatalogIndex {
    /// Indexes a catalog that was checked before.
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

    /// The catalog.
    pub fn catalog(&self) -> &RouteCatalog {
        &self.catalog
    }

    /// The route of a request: among those of its host the one with the longest prefix.
    ///
    /// `host` may carry a port, `path` must carry no query.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let positions = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut routes = positions.iter().map(|at| &self.catalog.routes[*at]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Rank of a call among those that a service may get; 0 is the most urgent. The priority of the
    /// account goes first, that of the route decides between equal ones.
    pub fn rank(&self, service: &str, route: &RouteRule, account: Option<&AccountRule>) -> u8 {
        let own = CallPriority::of(route, account.and_then(|account| account.priority));
        let before = self.priorities.get(service);
        let before = before.map_or(0, |all| all.range(..own).count());
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// The account of a key.
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
    let mut of_accounts: BTreeSet<Option<u8>> = BTreeSet::new();
    of_accounts.extend(catalog.accounts.iter().map(|account| account.priority));
    if catalog.accounts.is_empty() {
        of_accounts.insert(None);
    }
    let mut services: HashMap<String, BTreeSet<CallPriority>> = HashMap::new();
    for route in &catalog.routes {
        for share in route.services.iter().filter(|share| share.weight > 0) {
            let priorities = services.entry(share.service.clone()).or_default();
            let own = of_accounts.iter();
            priorities.extend(own.map(|priority| CallPriority::of(route, *priority)));
        }
    }
    services
}
