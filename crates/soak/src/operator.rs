//! An operator who changes and reads the catalog.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use catalog::{AccountRule, CallKind, RouteCatalog, RouteRule, ServiceRule, ServiceShare};
use platform::catalog_body::{read_catalog as read_body, write_catalog};
use platform::paths::{READ_CATALOG, REPLACE_CATALOG};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::endpoint::{ACCOUNT, ACCOUNT_KEY};
use crate::http::{HttpMessage, HttpStream};
use crate::ledger::{KINDS, SoakLedger, word_of};

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_millis(1500);
/// Longest pause between two acts.
const MOST_PAUSE_MS: u64 = 300;
/// Tries of one change.
const CHANGE_TRIES: u32 = 30;

/// Host of the calls.
pub const HOST: &str = "soak.example";
/// The service of all endpoints.
pub const SERVICE: &str = "drafts";

/// The catalog with this version.
pub fn catalog_text(version: u64) -> String {
    let catalog = RouteCatalog {
        version,
        routes: KINDS.map(route_of).to_vec(),
        services: vec![ServiceRule {
            name: SERVICE.to_owned(),
            health_path: "/healthz".to_owned(),
            max_connections: 200,
            engine: None,
        }],
        accounts: vec![AccountRule {
            name: ACCOUNT.to_owned(),
            keys: vec![ACCOUNT_KEY.to_owned(), format!("old-{version}")],
            priority: None,
        }],
        ..RouteCatalog::default()
    };
    write_catalog(&catalog).expect("the catalog has a text")
}

fn route_of(kind: CallKind) -> RouteRule {
    RouteRule {
        name: word_of(kind).to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{}/", word_of(kind)),
        kind,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(500),
        max_event_gap: Some(Duration::from_millis(250)),
        priority: 1,
        services: vec![ServiceShare {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
        max_attempts: 3,
        is_public: false,
        has_prompt: false,
    }
}

/// Sends a catalog to a gateway; tells its status.
///
/// # Errors
/// No answer.
pub fn send_catalog(gateway: SocketAddr, text: &str) -> io::Result<u16> {
    let head = format!(
        "POST {REPLACE_CATALOG} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    Ok(ask(gateway, &head)?.status())
}

/// Reads the catalog's text from a gateway, if it is sure of the newest.
///
/// # Errors
/// No answer.
pub fn read_catalog(gateway: SocketAddr) -> io::Result<Option<String>> {
    let answer = ask(
        gateway,
        &format!("GET {READ_CATALOG} HTTP/1.1\r\nHost: a\r\n\r\n"),
    )?;
    Ok((answer.status() == 200 && answer.is_whole).then(|| answer.text()))
}

/// The version of a catalog's text.
pub fn version_of(text: &str) -> u64 {
    read_body(text.as_bytes()).map_or(0, |catalog| catalog.version)
}

fn ask(gateway: SocketAddr, request: &str) -> io::Result<HttpMessage> {
    let mut stream = HttpStream::connect(gateway, LIMIT)?;
    stream.send(request.as_bytes())?;
    stream.read()
}

/// Starts an operator. Of several, each takes the versions with its own rest.
pub fn start_operator(
    place: u64,
    operators: u64,
    seed: u64,
    gateways: Vec<SocketAddr>,
    ledger: Arc<SoakLedger>,
    stops: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut step = 1;
        while !stops.load(Ordering::SeqCst) {
            let gateway = gateways[random.random_range(0..gateways.len())];
            if random.random() {
                check_read(gateway, &ledger);
            } else {
                step += random.random_range(1..3);
                change(step * operators + place, &gateways, &ledger, &mut random);
            }
            thread::sleep(Duration::from_millis(random.random_range(0..MOST_PAUSE_MS)));
        }
    })
}

fn change(version: u64, gateways: &[SocketAddr], ledger: &SoakLedger, random: &mut Pcg64) {
    let text = catalog_text(version);
    for _ in 0..CHANGE_TRIES {
        let gateway = gateways[random.random_range(0..gateways.len())];
        match send_catalog(gateway, &text) {
            Ok(200) => return ledger.acknowledge(version),
            Ok(status @ 400..=499) => {
                let broken = format!("valid catalog {version} was answered {status}");
                return ledger.break_promise(broken);
            }
            // No quorum, or no answer: the same change again.
            _ => thread::sleep(Duration::from_millis(100)),
        }
    }
}

fn check_read(gateway: SocketAddr, ledger: &SoakLedger) {
    let acknowledged = ledger.acknowledged();
    // Without an answer there is nothing to check.
    let Ok(Some(text)) = read_catalog(gateway) else {
        return;
    };
    let version = version_of(&text);
    if version < acknowledged {
        let broken = format!("{gateway} read {version} after {acknowledged} was acknowledged");
        ledger.break_promise(broken);
    }
    if text != catalog_text(version) {
        ledger.break_promise(format!("catalog {version} was read back changed"));
    }
}
