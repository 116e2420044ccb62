//! Fleet of real processes on loopback, for tests.
//!
//! * [`process`]: a process with its log file and signals.
//! * [`forward`]: a TCP forwarder that stalls, delays or closes its connections.
//! * [`caller`]: blocking HTTP client for callers and operators.
//! * [`plan`]: size, settings files and commands of a fleet.
//!
//! The programs are taken from the target folder of the test executable, so
//! `cargo build --workspace` or `cargo test --workspace` has to run first.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;
use watch::FleetStatus;
use watch::status::InstanceStatus;

use caller::{CallerAnswer, HttpCall};
use forward::TcpForwarder;
use plan::{FleetPlan, OPERATOR_KEY};
use process::FleetProcess;

pub mod caller;
pub mod forward;
pub mod plan;
pub mod process;

/// Longest time to wait for a condition. Generous, since other work shares the machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Locked by a running fleet, so that a test executable runs one fleet at a time.
static RUNNING_FLEET: Mutex<()> = Mutex::new(());

/// Waits until `condition` holds. Panics after [`WAIT_TIMEOUT`] and names the condition as `what`.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "condition not met in time: {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A running instance of a program.
pub struct FleetInstance {
    /// Name in the settings.
    pub name: String,
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// The process.
    pub process: FleetProcess,
    /// Forwarders to the control instances.
    pub control_forwarders: Vec<TcpForwarder>,
}

/// A running endpoint and its agent.
pub struct FleetEndpoint {
    /// The fake endpoint.
    pub endpoint: FleetInstance,
    /// The agent of the endpoint.
    pub agent: FleetInstance,
    /// Address on which the agent accepts links.
    pub link: SocketAddr,
    /// Forwarder from the agent to the endpoint.
    pub forwarder: TcpForwarder,
}

/// A running fleet. Its processes are killed when it is dropped.
pub struct TestFleet {
    /// Control instances.
    pub controls: Vec<FleetInstance>,
    /// Entries.
    pub entries: Vec<FleetInstance>,
    /// Engines of the service `redaction`, named `engine-0` onwards.
    pub engines: Vec<FleetEndpoint>,
    /// The endpoint of the plain service `guichet`, named `plain-0`.
    pub plain: FleetEndpoint,
    folder: TempDir,
    _running: MutexGuard<'static, ()>,
}

impl TestFleet {
    /// Starts a fleet and waits until it is ready. Waits first while another fleet runs.
    pub fn start(plan: &FleetPlan) -> Self {
        let running = RUNNING_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
        let folder = TempDir::new().expect("a temporary folder");
        let spec = plan.write(folder.path());
        let controls = spec.controls.into_iter().map(FleetInstance::start);
        let controls = controls.collect();
        let engines = spec.engines.into_iter().map(FleetEndpoint::start);
        let engines = engines.collect();
        let plain = FleetEndpoint::start(spec.plain);
        let entries = spec.entries.into_iter().map(FleetInstance::start);
        let entries = entries.collect();
        let fleet = Self {
            controls,
            entries,
            engines,
            plain,
            folder,
            _running: running,
        };
        fleet.wait_ready();
        fleet
    }

    /// Creates a request to an entry for a streamed chat completion of one message.
    pub fn chat(&self, entry: usize, prompt: &str, tokens: u64) -> HttpCall {
        let body = json!({
            "model": plan::MODEL,
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        HttpCall::post(self.entries[entry].http, "/v1/chat/completions", &body)
            .key(plan::ACCOUNT_KEY)
    }

    /// Creates a request to an entry for an order at the plain service.
    pub fn order(&self, entry: usize, text: &str) -> HttpCall {
        let body = Value::String(text.to_owned());
        HttpCall::post(self.entries[entry].http, "/service/guichet/orders", &body)
            .key(plan::ACCOUNT_KEY)
    }

    /// Returns the number of orders that the plain service has executed.
    pub fn placed_orders(&self) -> u64 {
        let stats = HttpCall::get(self.plain.endpoint.http, "/stats").send();
        stats.json()["orders"].as_u64().unwrap_or_default()
    }

    /// Returns a counter of an engine's statistics by its name.
    pub fn engine_count(&self, engine: usize, name: &str) -> u64 {
        let stats = HttpCall::get(self.engines[engine].endpoint.http, "/stats").send();
        stats.json()[name].as_u64().unwrap_or_default()
    }

    /// Returns the fleet status from a control instance.
    pub fn status(&self, control: usize) -> FleetStatus {
        let http = self.controls[control].http;
        let call = HttpCall::get(http, "/operator/status").key(OPERATOR_KEY);
        serde_json::from_slice(&call.send().body).unwrap_or_default()
    }

    /// Sets one value of the settings tree, retrying until the change is accepted. `value` is a
    /// TOML literal. Returns the new version.
    pub fn set(&self, change_id: &str, path: &str, value: &str) -> u64 {
        let mut version = None;
        wait_for("a settings change is accepted", || {
            version = self.try_set(change_id, path, value);
            version.is_some()
        });
        version.unwrap_or_default()
    }

    /// Waits until every instance reports this settings version or a later one.
    pub fn wait_version(&self, version: u64) {
        let count = self.controls.len() + self.entries.len() + self.engines.len() + 1;
        wait_for("a settings version is in force everywhere", || {
            let instances = self.status(0).instances;
            let is_current = |instance: &InstanceStatus| instance.settings >= version;
            instances.len() == count && instances.iter().all(is_current)
        });
    }

    /// Returns the text of all logs, for the message of a failing test.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        let files = fs::read_dir(self.folder.path()).into_iter().flatten();
        let mut paths: Vec<PathBuf> = files.flatten().map(|file| file.path()).collect();
        paths.sort();
        for path in paths
            .iter()
            .filter(|path| path.extension() == Some("log".as_ref()))
        {
            text.push_str(&format!("--- {}\n", path.display()));
            text.push_str(&fs::read_to_string(path).unwrap_or_default());
        }
        text
    }

    fn try_set(&self, change_id: &str, path: &str, value: &str) -> Option<u64> {
        self.controls.iter().find_map(|control| {
            let read = HttpCall::get(control.http, "/operator/settings").key(OPERATOR_KEY);
            let base = read.send().json()["version"].as_u64()?;
            let body = json!({"change_id": change_id, "base": base,
                "edits": [{"path": path, "value": value}]});
            let change = HttpCall::post(control.http, "/operator/changes", &body);
            change.key(OPERATOR_KEY).send().json()["version"].as_u64()
        })
    }

    fn wait_ready(&self) {
        for entry in 0..self.entries.len() {
            wait_for("each entry serves chats", || {
                self.chat(entry, "ready?", 1).send().is_whole()
            });
            let http = self.entries[entry].http;
            let probe = HttpCall::get(http, "/service/guichet/ready").key(plan::ACCOUNT_KEY);
            wait_for("each entry serves the plain service", || {
                let answer: CallerAnswer = probe.send();
                answer.status == 200
            });
        }
        let count = self.engines.len() + 1;
        wait_for("control knows every endpoint", || {
            self.status(0).endpoints.len() == count
        });
    }
}

impl FleetInstance {
    fn start(spec: plan::InstanceSpec) -> Self {
        Self {
            name: spec.name,
            http: spec.http,
            process: FleetProcess::start(spec.command),
            control_forwarders: spec.control_forwarders,
        }
    }

    /// Kills the process and starts it again with the same command.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = FleetProcess::start(self.process.command.clone());
    }
}

impl FleetEndpoint {
    fn start(spec: plan::EndpointSpec) -> Self {
        Self {
            endpoint: FleetInstance::start(spec.endpoint),
            agent: FleetInstance::start(spec.agent),
            link: spec.link,
            forwarder: spec.forwarder,
        }
    }
}
