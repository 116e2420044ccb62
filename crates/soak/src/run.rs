//! One run from start to verdict.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fake::fleet::forward::TcpForwarder;
use wire::gateway::ListedEndpoint;

use crate::caller::start_caller;
use crate::endpoint::SoakEndpoint;
use crate::fleet::{SoakFleet, SoakGateway};
use crate::ledger::{LedgerCounts, SoakLedger};
use crate::list::{ListMood, SoakList};
use crate::operator::{
    SERVICE, catalog_text, read_catalog, send_catalog, start_operator, version_of,
};
use crate::plan::{FaultKind, PlannedFault, draw_plan};

/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(20);
/// Longest time of a fleet to get ready, generous as other work shares the machine.
const READY_LIMIT: Duration = Duration::from_secs(60);
/// Time that calls which run at the end are given.
const QUIET_TIME: Duration = Duration::from_secs(5);
/// Delay of bytes to and from a slow endpoint.
const DELAY: Duration = Duration::from_millis(120);
/// Operators who change the catalog at once.
const OPERATORS: u64 = 2;

/// What a run looks like.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the plan.
    pub seed: u64,
    /// Time under load and faults.
    pub length: Duration,
    /// Gateways with a data folder.
    pub stores: u8,
    /// Gateways without one.
    pub plain: u8,
    /// Endpoints.
    pub endpoints: usize,
    /// Callers.
    pub callers: u64,
}

impl Default for SoakSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            length: Duration::from_secs(20),
            stores: 3,
            plain: 2,
            endpoints: 4,
            callers: 12,
        }
    }
}

/// What a run showed.
#[derive(Debug)]
pub struct SoakOutcome {
    /// The faults that were injected.
    pub faults: Vec<FaultKind>,
    /// Counts of calls.
    pub counts: LedgerCounts,
    /// Newest acknowledged version of the catalog.
    pub version: u64,
    /// Broken promises; none in a clean run.
    pub broken: Vec<String>,
}

struct SoakWorld {
    fleet: SoakFleet,
    endpoints: Vec<Arc<SoakEndpoint>>,
    paths: Vec<TcpForwarder>,
    list: SoakList,
    ledger: Arc<SoakLedger>,
}

/// Runs a seed in a folder, which keeps the logs.
///
/// # Errors
/// A stand-in or the folder fails.
pub fn run_seed(settings: &SoakSettings, folder: &Path) -> io::Result<SoakOutcome> {
    let mut world = build_world(settings, folder)?;
    let gateways: Vec<SocketAddr> = world
        .fleet
        .gateways
        .iter()
        .map(SoakGateway::callers)
        .collect();
    let operators: Vec<SocketAddr> = world
        .fleet
        .gateways
        .iter()
        .map(SoakGateway::operators)
        .collect();
    world.put_first_catalog(&operators);
    if !world.fleet.wait_ready(READY_LIMIT) {
        world
            .ledger
            .break_promise("the fleet never got ready".to_owned());
    }
    world.fleet.end_first_start()?;
    let stops = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..settings.callers {
        let seed = settings.seed.wrapping_mul(1000) + number;
        let (gateways, ledger) = (gateways.clone(), Arc::clone(&world.ledger));
        threads.push(start_caller(
            number,
            seed,
            gateways,
            ledger,
            Arc::clone(&stops),
        ));
    }
    for place in 0..OPERATORS {
        let seed = settings.seed.wrapping_mul(1000) + 900 + place;
        let (gateways, ledger) = (operators.clone(), Arc::clone(&world.ledger));
        threads.push(start_operator(
            place,
            OPERATORS,
            seed,
            gateways,
            ledger,
            Arc::clone(&stops),
        ));
    }
    let faults = world.play(&draw_plan(settings.seed, settings.length), settings.length)?;
    stops.store(true, Ordering::SeqCst);
    for thread in threads {
        if thread.join().is_err() {
            world.ledger.break_promise("a stand-in failed".to_owned());
        }
    }
    world.check_recovery(&operators);
    Ok(SoakOutcome {
        faults,
        counts: world.ledger.counts(),
        version: world.ledger.acknowledged(),
        broken: world.ledger.verdict(),
    })
}

fn build_world(settings: &SoakSettings, folder: &Path) -> io::Result<SoakWorld> {
    let ledger = Arc::new(SoakLedger::default());
    let mut endpoints = Vec::new();
    let mut paths = Vec::new();
    let mut rows = Vec::new();
    for number in 0..settings.endpoints {
        let name = format!("endpoint-{number}");
        let seed = settings.seed.wrapping_mul(100) + number as u64;
        let endpoint = SoakEndpoint::start(&name, &ledger, seed)?;
        let path = TcpForwarder::start(endpoint.address);
        rows.push(ListedEndpoint {
            name,
            service: SERVICE.to_owned(),
            address: path.address.to_string().parse().expect("an IPv4 address"),
            domain: 0,
            slots: 8,
            is_draining: false,
        });
        endpoints.push(endpoint);
        paths.push(path);
    }
    let list = SoakList::start(rows)?;
    // A network of its own, so that runs side by side don't meet.
    let process = std::process::id();
    let network = [
        (process >> 7 & 0x7f) as u8 + 64,
        (process << 1 & 0xfe) as u8 | (settings.seed & 1) as u8,
    ];
    let fleet = SoakFleet::start(
        folder,
        network,
        settings.stores,
        settings.plain,
        list.address,
    )?;
    Ok(SoakWorld {
        fleet,
        endpoints,
        paths,
        list,
        ledger,
    })
}

impl SoakWorld {
    fn put_first_catalog(&self, operators: &[SocketAddr]) {
        let start = Instant::now();
        let text = catalog_text(1);
        while start.elapsed() < READY_LIMIT {
            let gateway = operators[0];
            if send_catalog(gateway, &text).is_ok_and(|status| status == 200) {
                return self.ledger.acknowledge(1);
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn play(&mut self, plan: &[PlannedFault], length: Duration) -> io::Result<Vec<FaultKind>> {
        let start = Instant::now();
        let mut coming: VecDeque<PlannedFault> = plan.iter().copied().collect();
        let mut going: Vec<PlannedFault> = Vec::new();
        let mut played = Vec::new();
        while start.elapsed() < length || !going.is_empty() {
            let now = start.elapsed();
            while let Some(fault) = coming.pop_front_if(|fault| fault.at <= now) {
                self.begin(fault.kind)?;
                played.push(fault.kind);
                going.push(fault);
            }
            let (over, rest) = going
                .into_iter()
                .partition(|fault| now >= fault.at + fault.lasts);
            going = rest;
            for fault in over {
                self.end(fault.kind);
            }
            self.watch_ends();
            thread::sleep(STEP);
        }
        Ok(played)
    }

    fn begin(&mut self, kind: FaultKind) -> io::Result<()> {
        let gateways = self.fleet.gateways.len();
        let gateway = |place: usize| place % gateways;
        let path = |place: usize| &self.paths[place % self.paths.len()];
        match kind {
            FaultKind::Kill(place) => self.fleet.gateways[gateway(place)].kill(),
            FaultKind::Wipe(place) => {
                let one = &mut self.fleet.gateways[gateway(place)];
                one.kill();
                one.wipe()?;
            }
            FaultKind::Freeze(place) => self.fleet.gateways[gateway(place)].freeze(true),
            FaultKind::Stop(place) => self.stop(gateway(place)),
            FaultKind::KillAll => self.fleet.gateways.iter_mut().for_each(SoakGateway::kill),
            FaultKind::CutEndpoint(place) => path(place).close_connections(),
            FaultKind::SilenceEndpoint(place) => path(place).stall_connections(),
            FaultKind::MuteEndpoint(place) => path(place).mute_connections(),
            FaultKind::RefuseEndpoint(place) => path(place).refuse_new_connections(true),
            FaultKind::DelayEndpoint(place) => path(place).set_delay(DELAY),
            FaultKind::DrainEndpoint(place) => self.drain(place, true),
            FaultKind::ListRefuses => self.list.set_mood(ListMood::Refusing),
            FaultKind::ListSlow => self.list.set_mood(ListMood::Slow),
            FaultKind::ListForged => self.list.set_mood(ListMood::Forged),
        }
        Ok(())
    }

    fn end(&mut self, kind: FaultKind) {
        let gateways = self.fleet.gateways.len();
        match kind {
            FaultKind::Kill(place) | FaultKind::Wipe(place) | FaultKind::Stop(place) => {
                self.fleet.gateways[place % gateways].start();
            }
            FaultKind::Freeze(place) => self.fleet.gateways[place % gateways].freeze(false),
            FaultKind::KillAll => self.fleet.gateways.iter_mut().for_each(SoakGateway::start),
            FaultKind::RefuseEndpoint(place) => {
                self.paths[place % self.paths.len()].refuse_new_connections(false);
            }
            FaultKind::DelayEndpoint(place) => {
                self.paths[place % self.paths.len()].set_delay(Duration::ZERO);
            }
            FaultKind::DrainEndpoint(place) => self.drain(place, false),
            FaultKind::ListRefuses | FaultKind::ListSlow | FaultKind::ListForged => {
                self.list.set_mood(ListMood::Sound);
            }
            FaultKind::CutEndpoint(_)
            | FaultKind::SilenceEndpoint(_)
            | FaultKind::MuteEndpoint(_) => {}
        }
    }

    /// A graceful stop ends with success.
    fn stop(&mut self, place: usize) {
        let gateway = &mut self.fleet.gateways[place];
        gateway.terminate();
        if let Some(status) = gateway.wait_end()
            && !status.success()
        {
            let broken = format!("gateway {place} ended its graceful stop with {status}");
            self.ledger.break_promise(broken);
        }
    }

    fn drain(&self, place: usize, is_draining: bool) {
        let endpoint = &self.endpoints[place % self.endpoints.len()];
        self.list.set_draining(&endpoint.name, is_draining);
    }

    /// A gateway that ends by itself breaks a promise; it is started again.
    fn watch_ends(&mut self) {
        for (place, gateway) in self.fleet.gateways.iter_mut().enumerate() {
            if let Some(status) = gateway.own_end() {
                let broken = format!("gateway {place} ended by itself with {status}");
                self.ledger.break_promise(broken);
                gateway.kill();
                gateway.start();
            }
        }
    }

    /// After the faults every gateway serves again and knows the newest catalog.
    fn check_recovery(&self, operators: &[SocketAddr]) {
        if !self.fleet.wait_ready(READY_LIMIT) {
            let broken = "not every gateway got ready again".to_owned();
            self.ledger.break_promise(broken);
        }
        let acknowledged = self.ledger.acknowledged();
        for operator in operators {
            if !self.reads_back(*operator, acknowledged) {
                let broken = format!("{operator} does not read back {acknowledged}");
                self.ledger.break_promise(broken);
            }
        }
        // Calls that were cut from their callers may still run; none may start twice.
        thread::sleep(QUIET_TIME);
    }

    fn reads_back(&self, operator: SocketAddr, acknowledged: u64) -> bool {
        let start = Instant::now();
        while start.elapsed() < READY_LIMIT {
            if let Ok(Some(text)) = read_catalog(operator) {
                let version = version_of(&text);
                return version >= acknowledged && text == catalog_text(version);
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}
