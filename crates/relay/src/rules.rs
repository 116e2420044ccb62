//! Catalog rules that apply to a call, and the fingerprint of a call.

use catalog::{AccountRule, CatalogIndex, KeyMatch, RouteRule};
use fault::FaultKind;
use wire::id::{FingerprintHash, ServiceId, name_id};
use xxhash_rust::xxh3::Xxh3;

use crate::call::CallMetadata;
use crate::session::IncomingCall;

/// The rules that apply to a call.
#[derive(Clone, Copy, Debug)]
pub struct CallRules<'a> {
    /// Route of the call.
    pub route: &'a RouteRule,
    /// Client account of the caller; `None` for callers without one.
    pub account: Option<&'a AccountRule>,
    /// Service that runs the call.
    pub service: ServiceId,
    /// Rank among the calls of the service; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of connections that an endpoint of the service accepts from all instances
    /// together; 0 for no limit.
    pub max_connections: u32,
}

/// Finds the rules that apply to a call. `draw` must be uniformly distributed over all values; it
/// chooses among the services of the route.
///
/// # Errors
/// The kind of fault with which the call is refused.
pub fn resolve_rules<'a>(
    catalog: Option<&'a CatalogIndex>,
    incoming: &IncomingCall,
    metadata: &CallMetadata,
    draw: u64,
) -> Result<CallRules<'a>, FaultKind> {
    let catalog = catalog.ok_or(FaultKind::SettingsStale)?;
    let headers = incoming.head.head().headers();
    let host = headers.get("host").and_then(|host| host.to_str().ok());
    let path = incoming.head.path();
    let route = catalog.find_route(host.unwrap_or_default(), path);
    let route = route.ok_or(FaultKind::UnknownService)?;
    let account = match catalog.find_account(metadata.key.as_deref()) {
        KeyMatch::Account(account) => Some(account),
        KeyMatch::NotRequired => None,
        KeyMatch::Unknown if route.is_public => None,
        KeyMatch::Unknown if metadata.key.is_none() => return Err(FaultKind::MissingKey),
        KeyMatch::Unknown => return Err(FaultKind::UnknownKey),
    };
    let service = route.choose_service(draw).unwrap_or_default();
    Ok(rules_of(catalog, route, account, service))
}

/// The rules of a call whose stream began at the service `origin`.
///
/// # Errors
/// [`FaultKind::OriginUnknown`] if the route no longer leads to that service.
pub fn rules_at<'a>(
    catalog: &'a CatalogIndex,
    rules: CallRules<'a>,
    origin: ServiceId,
) -> Result<CallRules<'a>, FaultKind> {
    let shares = rules.route.services.iter();
    let mut shares = shares.filter(|share| share.weight > 0);
    let share = shares.find(|share| name_id(&share.service) == origin);
    let share = share.ok_or(FaultKind::OriginUnknown)?;
    Ok(rules_of(
        catalog,
        rules.route,
        rules.account,
        &share.service,
    ))
}

fn rules_of<'a>(
    catalog: &'a CatalogIndex,
    route: &'a RouteRule,
    account: Option<&'a AccountRule>,
    service: &str,
) -> CallRules<'a> {
    CallRules {
        route,
        account,
        service: name_id(service),
        rank: catalog.rank(service, route, account),
        max_connections: catalog
            .find_service(service)
            .map_or(0, |rule| rule.max_connections),
    }
}

/// Hash of a call's method, path, query, client account and body. Calls with the same fingerprint
/// are the same work.
pub fn fingerprint(incoming: &IncomingCall, account: Option<&AccountRule>) -> FingerprintHash {
    let mut hasher = Xxh3::new();
    hasher.update(incoming.head.method().as_str().as_bytes());
    let path = incoming.head.uri().path_and_query();
    hasher.update(path.map_or(b"".as_slice(), |path| path.as_str().as_bytes()));
    hasher.update(account.map_or(b"".as_slice(), |account| account.name.as_bytes()));
    hasher.update(&incoming.body);
    hasher.digest()
}
