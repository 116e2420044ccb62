//! One run, from the start of the fleet to the check of its history.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fake::fleet::forward::TcpForwarder;
use wire::gateway::ListedEndpoint;

use crate::caller::start_caller;
use crate::crashes::{CrashQueue, CrashTarget, crash_queue, first_version, start_crashes};
use crate::endpoint::{EndpointIdentity, SoakEndpoint};
use crate::fleet::{SoakFleet, SoakGateway};
use crate::history::{HistoryCounts, PoisonScope, SoakHistory};
use crate::list::{ListMode, SoakList};
use crate::operator::{
    SERVICE, catalog_text, read_catalog, send_catalog, start_operator, version_of,
};
use crate::plan::{FaultKind, PlannedFault, draw_plan, draw_statements};
use crate::poison::start_poison_caller;
use crate::statements::EndpointTrouble;

/// Interval at which due faults are started and ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for all gateways to become ready. It is generous because other work may share the
/// machine.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that calls still running after the load are given to end.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Delay of forwarded bytes under [`FaultKind::DelayEndpoint`].
const FORWARD_DELAY: Duration = Duration::from_millis(120);
/// Number of operators that change the catalog concurrently.
const OPERATORS: u64 = 2;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the plan and of the stand-ins.
    pub seed: u64,
    /// Duration of load and faults.
    pub length: Duration,
    /// Number of gateways with a data folder.
    pub stores: u8,
    /// Number of gateways without a data folder.
    pub plain: u8,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of callers.
    pub callers: u64,
    /// Whether endpoints name limits, ask for rest and say that they leave.
    pub has_statements: bool,
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
            has_statements: true,
        }
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakOutcome {
    /// Injected faults, in order.
    pub faults: Vec<FaultKind>,
    /// Numbers of calls.
    pub counts: HistoryCounts,
    /// Newest version of the catalog whose change was acknowledged.
    pub version: u64,
    /// Violations of guarantees; empty if the run passed.
    pub violations: Vec<String>,
}

struct SoakEnvironment {
    fleet: SoakFleet,
    targets: Vec<CrashTarget>,
    crashes: CrashQueue,
    list: Arc<SoakList>,
    history: Arc<SoakHistory>,
}

/// Runs one seed. `folder` receives the settings, data and logs of the gateways.
///
/// # Errors
/// The error of a stand-in or of the file system.
pub fn run_seed(settings: &SoakSettings, folder: &Path) -> io::Result<SoakOutcome> {
    let mut environment = build_environment(settings, folder)?;
    let gateways: Vec<SocketAddr> = environment
        .fleet
        .gateways
        .iter()
        .map(SoakGateway::caller_address)
        .collect();
    let operators: Vec<SocketAddr> = environment
        .fleet
        .gateways
        .iter()
        .map(SoakGateway::operator_address)
        .collect();
    environment.submit_first_catalog(&operators);
    if !environment.fleet.wait_ready(READY_TIMEOUT) {
        environment
            .history
            .record_violation("not every gateway became ready after the start".to_owned());
    }
    environment.fleet.clear_first_start()?;
    let is_stopping = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..settings.callers {
        let seed = settings.seed.wrapping_mul(1000) + number;
        let (gateways, history) = (gateways.clone(), Arc::clone(&environment.history));
        threads.push(start_caller(
            number,
            seed,
            gateways,
            history,
            Arc::clone(&is_stopping),
        ));
    }
    for index in 0..OPERATORS {
        let seed = settings.seed.wrapping_mul(1000) + 900 + index;
        let (gateways, history) = (operators.clone(), Arc::clone(&environment.history));
        threads.push(start_operator(
            index,
            OPERATORS,
            seed,
            gateways,
            history,
            Arc::clone(&is_stopping),
        ));
    }
    for (scope, number) in PoisonScope::ALL.into_iter().zip([999, 997]) {
        threads.push(start_poison_caller(
            scope,
            settings.seed.wrapping_mul(1000) + number,
            gateways.clone(),
            Arc::clone(&is_stopping),
        ));
    }
    let plan = plan_of(settings);
    let faults = environment.inject_faults(&plan, settings.length)?;
    is_stopping.store(true, Ordering::SeqCst);
    for thread in threads {
        if thread.join().is_err() {
            environment
                .history
                .record_violation("a caller or operator panicked".to_owned());
        }
    }
    environment.check_recovery(&operators);
    Ok(SoakOutcome {
        faults,
        counts: environment.history.counts(),
        version: environment.history.acknowledged(),
        violations: environment.history.find_violations(),
    })
}

/// The faults of a run by their start.
fn plan_of(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut plan = draw_plan(settings.seed, settings.length);
    if settings.has_statements {
        plan.extend(draw_statements(settings.seed, settings.length));
    }
    plan.sort_by_key(|fault| fault.at);
    plan
}

fn build_environment(settings: &SoakSettings, folder: &Path) -> io::Result<SoakEnvironment> {
    let history = Arc::new(SoakHistory::default());
    let (crashes, crashed) = crash_queue();
    let mut targets = Vec::new();
    let mut rows = Vec::new();
    for number in 0..settings.endpoints {
        let identity = EndpointIdentity {
            name: format!("endpoint-{number}"),
            version: first_version(number),
        };
        let seed = settings.seed.wrapping_mul(100) + number as u64;
        let endpoint = SoakEndpoint::start(identity.clone(), &history, seed, crashes.clone())?;
        let forwarder = Arc::new(TcpForwarder::start(endpoint.address));
        rows.push(ListedEndpoint {
            name: identity.name,
            service: SERVICE.to_owned(),
            address: forwarder
                .address
                .to_string()
                .parse()
                .expect("an IPv4 address"),
            domain: 0,
            slots: 8,
            is_draining: false,
            version: identity.version,
        });
        targets.push(CrashTarget {
            endpoint,
            forwarder,
        });
    }
    let list = Arc::new(SoakList::start(rows)?);
    let crash_seed = settings.seed.wrapping_mul(1000) + 998;
    start_crashes(crash_seed, crashed, targets.clone(), Arc::clone(&list));
    let fleet = SoakFleet::start(
        folder,
        next_network(),
        settings.stores,
        settings.plain,
        list.address,
    )?;
    Ok(SoakEnvironment {
        fleet,
        targets,
        crashes,
        list,
        history,
    })
}

/// Second and third byte of a loopback network that no other run uses at the same time: each process
/// has four, which its runs take in turn.
pub(crate) fn next_network() -> [u8; 2] {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let run = RUNS.fetch_add(1, Ordering::SeqCst);
    let process_id = std::process::id();
    [
        (process_id >> 6 & 0x7f) as u8 + 64,
        (process_id << 2 & 0xfc) as u8 | run & 3,
    ]
}

impl SoakEnvironment {
    fn submit_first_catalog(&self, operators: &[SocketAddr]) {
        let start = Instant::now();
        let text = catalog_text(1);
        while start.elapsed() < READY_TIMEOUT {
            let gateway = operators[0];
            if send_catalog(gateway, &text).is_ok_and(|status| status == 200) {
                return self.history.record_acknowledged(1);
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn inject_faults(
        &mut self,
        plan: &[PlannedFault],
        length: Duration,
    ) -> io::Result<Vec<FaultKind>> {
        let start = Instant::now();
        let mut pending: VecDeque<PlannedFault> = plan.iter().copied().collect();
        let mut active: Vec<PlannedFault> = Vec::new();
        let mut injected = Vec::new();
        while start.elapsed() < length || !active.is_empty() {
            let now = start.elapsed();
            while let Some(fault) = pending.pop_front_if(|fault| fault.at <= now) {
                self.start_fault(fault.kind)?;
                injected.push(fault.kind);
                active.push(fault);
            }
            let (expired, remaining) = active
                .into_iter()
                .partition(|fault| now >= fault.at + fault.duration);
            active = remaining;
            for fault in expired {
                self.end_fault(fault.kind);
            }
            self.restart_exited();
            thread::sleep(POLL_INTERVAL);
        }
        Ok(injected)
    }

    fn start_fault(&mut self, kind: FaultKind) -> io::Result<()> {
        let gateways = self.fleet.gateways.len();
        let gateway_index = |index: usize| index % gateways;
        let target = |index: usize| &self.targets[index % self.targets.len()];
        let forwarder = |index: usize| &target(index).forwarder;
        if kind.is_gateway_fault() {
            self.history.record_disruption();
        }
        match kind {
            FaultKind::Kill(index) => self.fleet.gateways[gateway_index(index)].kill(),
            FaultKind::DeleteData(index) => {
                let gateway = &mut self.fleet.gateways[gateway_index(index)];
                gateway.kill();
                gateway.delete_data()?;
            }
            FaultKind::Freeze(index) => self.fleet.gateways[gateway_index(index)].set_frozen(true),
            FaultKind::Stop(index) => self.stop(gateway_index(index)),
            FaultKind::KillAll => self.fleet.gateways.iter_mut().for_each(SoakGateway::kill),
            FaultKind::CutEndpoint(index) => forwarder(index).close_connections(),
            FaultKind::StallEndpoint(index) => forwarder(index).stall_connections(),
            FaultKind::MuteEndpoint(index) => forwarder(index).mute_connections(),
            FaultKind::RefuseEndpoint(index) => forwarder(index).refuse_new_connections(true),
            FaultKind::DelayEndpoint(index) => forwarder(index).set_delay(FORWARD_DELAY),
            FaultKind::CrashEndpoint(index) => {
                // The receiver is gone at the end of a run only.
                let _ = self.crashes.send(target(index).endpoint.address);
            }
            FaultKind::DrainEndpoint(index) => self.drain(index, true),
            FaultKind::ListRateLimited => self.list.set_mode(ListMode::RateLimited),
            FaultKind::ListSlow => self.list.set_mode(ListMode::Slow),
            FaultKind::ListInvalid => self.list.set_mode(ListMode::InvalidEntries),
            FaultKind::LimitEndpoint(index, limit) => {
                self.set_trouble(index, Some(EndpointTrouble::Limit(f64::from(limit))));
            }
            FaultKind::RestEndpoint(index, millis) => {
                let rest = Duration::from_millis(millis.into());
                self.set_trouble(index, Some(EndpointTrouble::Rest(rest)));
            }
            FaultKind::LeaveEndpoint(index) => {
                self.set_trouble(index, Some(EndpointTrouble::Leave));
            }
        }
        Ok(())
    }

    fn end_fault(&mut self, kind: FaultKind) {
        let gateways = self.fleet.gateways.len();
        match kind {
            FaultKind::Kill(index) | FaultKind::DeleteData(index) | FaultKind::Stop(index) => {
                self.fleet.gateways[index % gateways].start();
            }
            FaultKind::Freeze(index) => self.fleet.gateways[index % gateways].set_frozen(false),
            FaultKind::KillAll => self.fleet.gateways.iter_mut().for_each(SoakGateway::start),
            FaultKind::RefuseEndpoint(index) => {
                let target = &self.targets[index % self.targets.len()];
                target.forwarder.refuse_new_connections(false);
            }
            FaultKind::DelayEndpoint(index) => {
                let target = &self.targets[index % self.targets.len()];
                target.forwarder.set_delay(Duration::ZERO);
            }
            FaultKind::DrainEndpoint(index) => self.drain(index, false),
            FaultKind::LimitEndpoint(index, _) | FaultKind::RestEndpoint(index, _) => {
                self.set_trouble(index, None);
            }
            FaultKind::LeaveEndpoint(index) => {
                self.set_trouble(index, None);
                let target = &self.targets[index % self.targets.len()];
                // The receiver is gone at the end of a run only.
                let _ = self.crashes.send(target.endpoint.address);
            }
            FaultKind::ListRateLimited | FaultKind::ListSlow | FaultKind::ListInvalid => {
                self.list.set_mode(ListMode::Normal);
            }
            FaultKind::CutEndpoint(_)
            | FaultKind::StallEndpoint(_)
            | FaultKind::MuteEndpoint(_)
            | FaultKind::CrashEndpoint(_) => {}
        }
        if kind.is_gateway_fault() {
            self.history.record_disruption_end();
        }
    }

    /// Stops a gateway with SIGTERM. An exit status other than success is a violation.
    fn stop(&mut self, index: usize) {
        let gateway = &mut self.fleet.gateways[index];
        gateway.terminate();
        if let Some(status) = gateway.wait_exit()
            && !status.success()
        {
            let violation = format!("gateway {index} exited with {status} after SIGTERM");
            self.history.record_violation(violation);
        }
    }

    fn set_trouble(&self, index: usize, trouble: Option<EndpointTrouble>) {
        let target = &self.targets[index % self.targets.len()];
        target.endpoint.statements.set(trouble);
    }

    fn drain(&self, index: usize, is_draining: bool) {
        let target = &self.targets[index % self.targets.len()];
        self.list
            .set_draining(target.forwarder.address, is_draining);
    }

    /// Restarts gateways that have exited unexpectedly. Each such exit is a violation.
    fn restart_exited(&mut self) {
        for (index, gateway) in self.fleet.gateways.iter_mut().enumerate() {
            if let Some(status) = gateway.exit_status() {
                let violation = format!("gateway {index} exited unexpectedly with {status}");
                self.history.record_violation(violation);
                gateway.kill();
                gateway.start();
            }
        }
    }

    /// Checks that every gateway becomes ready after the faults and returns the newest catalog.
    /// Then waits until calls have ended.
    fn check_recovery(&self, operators: &[SocketAddr]) {
        if !self.fleet.wait_ready(READY_TIMEOUT) {
            let violation = "not every gateway became ready after the faults".to_owned();
            self.history.record_violation(violation);
        }
        let acknowledged = self.history.acknowledged();
        for operator in operators {
            if !self.reads_back(*operator, acknowledged) {
                let violation = format!(
                    "{operator} does not return acknowledged catalog {acknowledged} or a newer one unchanged"
                );
                self.history.record_violation(violation);
            }
        }
        // Calls whose callers have disconnected may still run, and must not be executed twice.
        thread::sleep(SETTLE_TIME);
    }

    fn reads_back(&self, operator: SocketAddr, acknowledged: u64) -> bool {
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            if let Ok(Some(text)) = read_catalog(operator) {
                let version = version_of(&text);
                return version >= acknowledged && text == catalog_text(version);
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}
