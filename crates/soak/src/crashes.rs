//! Crashes and restarts of the stand-in endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use fake::fleet::forward::TcpForwarder;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::endpoint::{EndpointIdentity, SoakEndpoint};
use crate::list::SoakList;

/// Range of the time for which a crashed endpoint is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 400..2500;
/// The same for an endpoint that is replaced at its address at once.
const REPLACED_MS: std::ops::Range<u64> = 1..20;
/// Time from the restart of an endpoint under another name until the list shows it.
const LIST_LAG: Duration = Duration::from_millis(700);

/// Software versions that serve side by side.
const SOFTWARE_VERSIONS: [&str; 2] = ["v1", "v2"];

/// How a crashed endpoint returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndpointReturn {
    /// Under its name, after a while.
    SameName,
    /// Under another name and with the other software version, after a while.
    NewName,
    /// Under another name, at once.
    Replaced,
}

/// An endpoint and the forwarder through which gateways reach it.
#[derive(Clone)]
pub struct CrashTarget {
    /// The endpoint.
    pub endpoint: Arc<SoakEndpoint>,
    /// The forwarder.
    pub forwarder: Arc<TcpForwarder>,
}

/// Queue of crashes, by the address of the endpoint.
pub type CrashQueue = Sender<SocketAddr>;

/// Creates the queue of crashes and its receiver.
pub fn crash_queue() -> (CrashQueue, Receiver<SocketAddr>) {
    channel()
}

/// Starts a thread that crashes the endpoints whose addresses arrive, until all senders are gone.
pub fn start_crashes(
    seed: u64,
    addresses: Receiver<SocketAddr>,
    targets: Vec<CrashTarget>,
    list: Arc<SoakList>,
) {
    thread::spawn(move || {
        let mut random = Pcg64::seed_from_u64(seed);
        for address in addresses {
            let target = targets
                .iter()
                .find(|target| target.endpoint.address == address);
            let Some(target) = target.cloned() else {
                continue;
            };
            let (kind, pause) = draw_return(&mut random);
            target.forwarder.go_down();
            let list = Arc::clone(&list);
            thread::spawn(move || bring_back(&target, kind, pause, &list));
        }
    });
}

fn draw_return(random: &mut Pcg64) -> (EndpointReturn, Duration) {
    let kind = match random.random_range(0..3) {
        0 => EndpointReturn::SameName,
        1 => EndpointReturn::NewName,
        _ => EndpointReturn::Replaced,
    };
    let range = match kind {
        EndpointReturn::Replaced => REPLACED_MS,
        EndpointReturn::SameName | EndpointReturn::NewName => DOWN_MS,
    };
    (kind, Duration::from_millis(random.random_range(range)))
}

fn bring_back(target: &CrashTarget, kind: EndpointReturn, pause: Duration, list: &SoakList) {
    thread::sleep(pause);
    target.endpoint.statements.set(None);
    if kind == EndpointReturn::SameName {
        return target.forwarder.come_up();
    }
    let EndpointIdentity { name, version } = target.endpoint.identity();
    let identity = EndpointIdentity {
        name: format!("{name}-"),
        version: match kind {
            EndpointReturn::NewName => other_version(&version),
            EndpointReturn::SameName | EndpointReturn::Replaced => version,
        },
    };
    target.endpoint.set_identity(identity.clone());
    target.forwarder.come_up();
    thread::sleep(LIST_LAG);
    list.set_identity(target.forwarder.address, &identity);
}

/// Software version of the endpoint with this number when it first starts.
pub fn first_version(number: usize) -> String {
    SOFTWARE_VERSIONS[number % SOFTWARE_VERSIONS.len()].to_owned()
}

fn other_version(version: &str) -> String {
    let mut others = SOFTWARE_VERSIONS.iter().filter(|other| **other != version);
    others.next().copied().unwrap_or(version).to_owned()
}
