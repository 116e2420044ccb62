//! Operators that replace and read the catalog.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use catalog::{AccountRule, CallKind, RouteCatalog, RouteRule, ServiceRule, ServiceShare};
use platform::catalog_body::{read_catalog as parse_catalog, write_catalog};
use platform::paths::{READ_CATALOG, REPLACE_CATALOG};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::endpoint::{ACCOUNT, ACCOUNT_KEY};
use crate::history::{CALL_KINDS, SoakHistory, path_segment};
use crate::http::{HttpMessage, HttpStream};

/// Timeout for connecting to a gateway and for each read of its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Exclusive upper bound of the pause between two operations, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;
/// Number of attempts to submit one change.
const MAX_CHANGE_ATTEMPTS: u32 = 30;

/// Host of all routes, and so of all calls.
pub const HOST: &str = "soak.example";
/// Service that all endpoints belong to.
pub const SERVICE: &str = "drafts";

/// Text of the catalog with this version. It depends on the version alone.
pub fn catalog_text(version: u64) -> String {
    write_catalog(&catalog_of(version)).expect("the catalog can be serialized")
}

/// Name of the service whose endpoint answers without end.
pub const FAULTY_SERVICE: &str = "faulty";
/// Prefix of the paths of its unsafe calls.
pub const FAULTY_UNSAFE_PREFIX: &str = "/faulty-unsafe/";
/// Prefix of the paths of its streams.
pub const FAULTY_STREAM_PREFIX: &str = "/faulty-stream/";

/// Text of a catalog that has a further service, to which a route of unsafe calls and one of streams
/// lead.
pub fn faulty_catalog_text(version: u64) -> String {
    let mut catalog = catalog_of(version);
    let faulty = ServiceRule {
        name: FAULTY_SERVICE.to_owned(),
        max_connections: 0,
        ..catalog.services[0].clone()
    };
    catalog.services.push(faulty);
    for (kind, prefix) in [
        (CallKind::Unsafe, FAULTY_UNSAFE_PREFIX),
        (CallKind::Stream, FAULTY_STREAM_PREFIX),
    ] {
        let share = ServiceShare {
            service: FAULTY_SERVICE.to_owned(),
            weight: 1,
        };
        catalog.routes.push(RouteRule {
            name: format!("faulty-{}", path_segment(kind)),
            prefix: prefix.to_owned(),
            services: vec![share],
            ..route_of(kind)
        });
    }
    write_catalog(&catalog).expect("the catalog can be serialized")
}

fn catalog_of(version: u64) -> RouteCatalog {
    RouteCatalog {
        version,
        routes: CALL_KINDS.map(route_of).to_vec(),
        services: vec![ServiceRule {
            name: SERVICE.to_owned(),
            health_path: "/healthz".to_owned(),
            max_connections: 200,
            engine: None,
            cold_start: Duration::ZERO,
            cold_rate: None,
        }],
        accounts: vec![AccountRule {
            name: ACCOUNT.to_owned(),
            keys: vec![ACCOUNT_KEY.to_owned(), format!("old-{version}")],
            priority: None,
            allowed_regions: Vec::new(),
        }],
        ..RouteCatalog::default()
    }
}

fn route_of(kind: CallKind) -> RouteRule {
    RouteRule {
        name: path_segment(kind).to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{}/", path_segment(kind)),
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
        allowed_regions: Vec::new(),
    }
}

/// Submits a catalog to a gateway and returns the status of the answer.
///
/// # Errors
/// The error of the connection if there is no answer.
pub fn send_catalog(gateway: SocketAddr, text: &str) -> io::Result<u16> {
    let request = format!(
        "POST {REPLACE_CATALOG} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    Ok(send_request(gateway, &request)?.status())
}

/// Reads the text of the newest catalog from a gateway; `None` if the gateway can't confirm that
/// its catalog is the newest, or if the answer is incomplete.
///
/// # Errors
/// The error of the connection if there is no answer.
pub fn read_catalog(gateway: SocketAddr) -> io::Result<Option<String>> {
    let answer = send_request(
        gateway,
        &format!("GET {READ_CATALOG} HTTP/1.1\r\nHost: a\r\n\r\n"),
    )?;
    Ok((answer.status() == 200 && answer.is_whole).then(|| answer.text()))
}

/// Version of the catalog with this text; 0 if it can't be parsed.
pub fn version_of(text: &str) -> u64 {
    parse_catalog(text.as_bytes()).map_or(0, |catalog| catalog.version)
}

fn send_request(gateway: SocketAddr, request: &str) -> io::Result<HttpMessage> {
    let mut stream = HttpStream::connect(gateway, ANSWER_TIMEOUT)?;
    stream.send(request.as_bytes())?;
    stream.read()
}

/// Starts the operator `index` of `operator_count`. It submits only versions whose remainder by
/// `operator_count` is `index`, so that no two operators submit the same version.
pub fn start_operator(
    index: u64,
    operator_count: u64,
    seed: u64,
    gateways: Vec<SocketAddr>,
    history: Arc<SoakHistory>,
    is_stopping: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut round = 1;
        while !is_stopping.load(Ordering::SeqCst) {
            let gateway = gateways[random.random_range(0..gateways.len())];
            if random.random() {
                check_read(gateway, &history);
            } else {
                round += random.random_range(1..3);
                change_catalog(
                    round * operator_count + index,
                    &gateways,
                    &history,
                    &mut random,
                );
            }
            thread::sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS)));
        }
    })
}

fn change_catalog(
    version: u64,
    gateways: &[SocketAddr],
    history: &SoakHistory,
    random: &mut Pcg64,
) {
    let text = catalog_text(version);
    for _ in 0..MAX_CHANGE_ATTEMPTS {
        let gateway = gateways[random.random_range(0..gateways.len())];
        match send_catalog(gateway, &text) {
            Ok(200) => return history.record_acknowledged(version),
            Ok(status @ 400..=499) => {
                let violation =
                    format!("valid catalog {version} was answered with status {status}");
                return history.record_violation(violation);
            }
            // Without a quorum or an answer, the same change is submitted again.
            _ => thread::sleep(Duration::from_millis(100)),
        }
    }
}

fn check_read(gateway: SocketAddr, history: &SoakHistory) {
    let acknowledged = history.acknowledged();
    // A gateway that does not answer or has no quorum violates no guarantee.
    let Ok(Some(text)) = read_catalog(gateway) else {
        return;
    };
    let version = version_of(&text);
    if version < acknowledged {
        let violation =
            format!("{gateway} returned catalog {version} after {acknowledged} was acknowledged");
        history.record_violation(violation);
    }
    if text != catalog_text(version) {
        history.record_violation(format!(
            "text of catalog {version} differs from the submitted one"
        ));
    }
}
