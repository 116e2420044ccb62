//! Which rules apply to a call, and what makes two calls the same.

use catalog::{AccountRule, CatalogIndex, KeyMatch, RouteRule};
use fault::FaultKind;
use wire::id::{FingerprintHash, ServiceId, name_id};
use xxhash_rust::xxh3::Xxh3;

use crate::call::CallNotes;
use crate::session::IncomingCall;

/// The rules that apply to a call.
#[derive(Clone, Copy, Debug)]
pub struct CallRules<'a> {
    /// Its route.
    pub route: &'a RouteRule,
    /// The client account that sends it; none on public routes.
    pub account: Option<&'a AccountRule>,
    /// The service that takes it.
    pub service: ServiceId,
    /// Rank among the calls that the service may get; 0 is the most urgent.
    pub rank: u8,
    /// Connections that an endpoint of the service accepts from all instances; 0 for any number.
    pub connections: u32,
}

/// Finds the rules for a call. `draw` is uniform over all values and decides between the services of its
/// route.
///
/// # Errors
/// The kind of answer for a call that no rule lets in.
pub fn identify<'a>(
    catalog: Option<&'a CatalogIndex>,
    incoming: &IncomingCall,
    notes: &CallNotes,
    draw: u64,
) -> Result<CallRules<'a>, FaultKind> {
    let catalog = catalog.ok_or(FaultKind::SettingsStale)?;
    let headers = incoming.head.head().headers();
    let host = headers.get("host").and_then(|host| host.to_str().ok());
    let path = incoming.head.path();
    let route = catalog.find_route(host.unwrap_or_default(), path);
    let route = route.ok_or(FaultKind::UnknownService)?;
    let account = match catalog.find_account(notes.key.as_deref()) {
        KeyMatch::Account(account) => Some(account),
        KeyMatch::NotRequired => None,
        KeyMatch::Unknown if route.is_public => None,
        KeyMatch::Unknown if notes.key.is_none() => return Err(FaultKind::MissingKey),
        KeyMatch::Unknown => return Err(FaultKind::UnknownKey),
    };
    let service = route.choose_service(draw).unwrap_or_default();
    Ok(CallRules {
        route,
        account,
        service: name_id(service),
        rank: catalog.rank(service, route, account),
        connections: catalog
            .find_service(service)
            .map_or(0, |rule| rule.max_connections),
    })
}

/// What makes two calls the same work: their method, path, query, account and body.
pub fn fingerprint(incoming: &IncomingCall, account: Option<&AccountRule>) -> FingerprintHash {
    let mut hasher = Xxh3::new();
    hasher.update(incoming.head.method().as_str().as_bytes());
    let path = incoming.head.uri().path_and_query();
    hasher.update(path.map_or(b"".as_slice(), |path| path.as_str().as_bytes()));
    hasher.update(account.map_or(b"".as_slice(), |account| account.name.as_bytes()));
    hasher.update(&incoming.body);
    hasher.digest()
}
