//! The configuration file that each program reads at start.
//!
//! It is validated like the settings tree: all faults are reported at once, each with its path.

use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use toml::{Table, Value};

use crate::check::check_table;
use crate::defaults;
use crate::files::{AGENT, CONTROL, ENTRY, GATEWAY};
use crate::location::CheckLocation;
use crate::schema::BranchSpec;
use crate::tree::{Result, SettingFault, SettingsTree, syntax_fault};

/// Maximum number of control instances in a fleet.
const MAX_CONTROL_INSTANCES: usize = 7;

/// Identity, secret and HTTP address of the instance itself, in the file of every program but the
/// gateway.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Unique name of this instance.
    pub name: String,
    /// Failure domain that the instance runs in.
    pub failure_domain: String,
    /// File with the secret that authenticates the processes to each other.
    pub secret_file: PathBuf,
    /// Address of the HTTP server.
    pub http: SocketAddr,
    /// Number of client accounts that have a label of their own in the metrics.
    #[serde(default = "default_account_labels")]
    pub account_labels: usize,
}

fn default_account_labels() -> usize {
    defaults::ACCOUNT_LABELS
}

/// Configuration file of the entry program.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// This instance.
    pub instance: InstanceSettings,
    /// Link addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Limits on clients.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Configuration file of the agent program.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// This instance.
    pub instance: InstanceSettings,
    /// Link addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Address on which the agent accepts links from entries.
    pub link: SocketAddr,
    /// Name of the endpoint in the settings tree.
    pub endpoint: String,
    /// Address of the endpoint's HTTP server.
    pub endpoint_http: SocketAddr,
    /// Limits on clients.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// One of the control instances.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// Its name.
    pub name: String,
    /// Its link address.
    pub link: SocketAddr,
}

/// Configuration file of the control program.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// This instance.
    pub instance: InstanceSettings,
    /// Address on which the instance accepts links from other processes.
    pub link: SocketAddr,
    /// All control instances, this one included.
    pub peers: Vec<ControlPeer>,
    /// Data folder.
    pub data: PathBuf,
    /// TOML file with the settings tree for the first start.
    pub first_tree: Option<PathBuf>,
    /// Address of the platform's list of instances.
    pub platform_list: Option<SocketAddr>,
    /// Limits on clients.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Configuration file of the gateway program.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Unique name of this instance.
    pub name: String,
    /// Failure domain that the instance runs in.
    pub failure_domain: String,
    /// Region of each failure domain, by name. Failure domains may be missing.
    #[serde(default, deserialize_with = "read_name_map")]
    pub domains: BTreeMap<String, String>,
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address that serves the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address that serves operators.
    pub operators: SocketAddr,
    /// Address that serves the metrics.
    pub metrics: Option<SocketAddr>,
    /// Address on which the other gateways reach this one.
    pub link: SocketAddrV4,
    /// Seed gateways, from which this one learns about the others.
    pub seeds: Vec<SocketAddrV4>,
    /// Link port of every seed, if `seeds` lists addresses with another port.
    pub seed_link_port: Option<u16>,
    /// Data folder.
    pub data: Option<PathBuf>,
    /// Number of data folders that may be lost at the same time.
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: usize,
    /// Whether the fleet as a whole is starting for the first time, so that no stream has begun.
    #[serde(default)]
    pub first_start: bool,
    /// Whether client accounts share the slots of a service over all gateways.
    #[serde(default)]
    pub share_accounts: bool,
    /// File with the secret that authenticates the gateways to each other.
    pub secret_file: Option<PathBuf>,
    /// Time between SIGTERM and SIGKILL, in seconds.
    #[serde(default = "default_grace_s")]
    pub grace_s: f64,
    /// The platform's list of endpoints.
    pub list: ListSettings,
    /// The retry budget.
    pub retries: RetrySettings,
    /// Limits on clients.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Limits on clients that hold memory or connections.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Memory of the machine in MB.
    pub memory_mb: Option<u64>,
    /// Byte budget in MB.
    pub budget_mb: Option<u64>,
    /// Maximum number of connections of callers.
    pub connections: usize,
    /// Maximum number of connections from one peer address; 0 is unlimited.
    pub connections_per_address: usize,
    /// Requests in a row on one connection without waiting for the answer before.
    pub pipelined_requests: usize,
    /// Maximum time between two parts of a body in milliseconds.
    pub body_pause_ms: u64,
    /// Maximum time for a body in seconds.
    pub body_time_s: f64,
    /// Minimum rate of bodies and answers in bytes a second.
    pub min_bytes_per_s: u64,
    /// Time by which a body or an answer may be late, in seconds.
    pub grace_s: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            memory_mb: None,
            budget_mb: None,
            connections: defaults::CONNECTIONS,
            connections_per_address: defaults::CONNECTIONS_PER_ADDRESS,
            pipelined_requests: defaults::PIPELINED_REQUESTS,
            body_pause_ms: defaults::BODY_PAUSE_MS,
            body_time_s: defaults::BODY_TIME_S,
            min_bytes_per_s: defaults::MIN_BYTES_PER_S,
            grace_s: defaults::LIMITS_GRACE_S,
        }
    }
}

impl LimitSettings {
    /// Size of the byte budget of a program with one thread, in bytes.
    pub fn budget_bytes(&self) -> usize {
        self.budget_or(1.0)
    }

    /// Size of the byte budget of a program with several threads, in bytes.
    pub fn threaded_budget_bytes(&self) -> usize {
        self.budget_or(defaults::THREADED_BUDGET_PART)
    }

    /// The configured budget, or else this part of the default.
    fn budget_or(&self, part: f64) -> usize {
        let by_memory = |memory: u64| memory as f64 * defaults::BUDGET_SHARE;
        let default = self.memory_mb.map_or(defaults::BUDGET_MB as f64, by_memory);
        let megabytes = self.budget_mb.unwrap_or((default * part) as u64);
        megabytes.max(defaults::MIN_BUDGET_MB) as usize * 1024 * 1024
    }

    fn faults(&self) -> Vec<SettingFault> {
        let (Some(memory), Some(budget)) = (self.memory_mb, self.budget_mb) else {
            return Vec::new();
        };
        if budget as f64 <= memory as f64 * defaults::MAX_BUDGET_SHARE {
            return Vec::new();
        }
        let reason = format!("is {budget} MB, more than half of `memory_mb`, {memory} MB");
        vec![setting_fault("limits.budget_mb", reason)]
    }
}

/// The platform's list of endpoints.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListSettings {
    /// Address of the list.
    pub address: SocketAddr,
    /// Polling interval in milliseconds.
    #[serde(default = "default_list_interval_ms")]
    pub interval_ms: u64,
    /// Longest time in milliseconds by which the list is behind when it is read.
    #[serde(default = "default_list_lag_ms")]
    pub lag_ms: u64,
}

/// The retry budget of a service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Retries allowed for each request within the window.
    pub ratio: f64,
    /// Retries allowed within the window in addition, over all gateways together.
    pub extra: f64,
    /// Length of the sliding window in seconds.
    pub window_s: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: defaults::RETRY_RATIO,
            extra: defaults::RETRY_EXTRA,
            window_s: defaults::RETRY_WINDOW_S,
        }
    }
}

/// Reads a table, or a JSON object in a string.
fn read_name_map<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<BTreeMap<String, String>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum NameMap {
        Table(BTreeMap<String, String>),
        Json(String),
    }
    match NameMap::deserialize(deserializer)? {
        NameMap::Table(map) => Ok(map),
        NameMap::Json(text) => serde_json::from_str(&text).map_err(serde::de::Error::custom),
    }
}

fn default_tolerated_losses() -> usize {
    defaults::TOLERATED_LOSSES as usize
}

fn default_grace_s() -> f64 {
    defaults::GRACE_S
}

fn default_list_interval_ms() -> u64 {
    defaults::LIST_INTERVAL_MS
}

fn default_list_lag_ms() -> u64 {
    defaults::LIST_LAG_MS
}

impl GatewaySettings {
    /// Link addresses of the seeds.
    pub fn seed_links(&self) -> Vec<SocketAddrV4> {
        let link_of = |seed: &SocketAddrV4| {
            SocketAddrV4::new(*seed.ip(), self.seed_link_port.unwrap_or(seed.port()))
        };
        self.seeds.iter().map(link_of).collect()
    }
}

/// The configuration file of a program: its keys, and the constraints between their values.
pub trait ProcessFile: DeserializeOwned {
    /// The keys of the file.
    const SPEC: &'static BranchSpec;

    /// Violated constraints between values, each of which is valid by itself.
    fn consistency_faults(&self) -> Vec<SettingFault>;

    /// Other files that the program reads at start, with the keys that name them.
    fn referenced_files(&self) -> Vec<ReferencedFile<'_>>;
}

/// A file that a configuration file refers to.
#[derive(Clone, Copy, Debug)]
pub enum ReferencedFile<'a> {
    /// A secret: the dotted path of the key that names the file, and the path of the file.
    Secret(&'static str, &'a Path),
    /// A settings tree: the dotted path of the key that names the file, and the path of the file.
    Tree(&'static str, &'a Path),
}

/// Reads and validates a configuration file.
///
/// # Errors
/// Every fault with its path.
pub fn load<T: ProcessFile>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        let reason = format!("cannot be read: {error}");
        vec![setting_fault(path.display(), reason)]
    })?;
    parse(&text)
}

/// Parses and validates the text of a configuration file.
///
/// # Errors
/// Every fault with its path.
pub fn parse<T: ProcessFile>(text: &str) -> Result<T> {
    let table = text
        .parse::<Table>()
        .map_err(|error| vec![syntax_fault(text, &error)])?;
    let mut faults = Vec::new();
    check_table(&CheckLocation::ROOT, &table, T::SPEC, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    let file: T = Value::Table(table)
        .try_into()
        .map_err(|error: toml::de::Error| vec![setting_fault("file", error.message())])?;
    match file.consistency_faults() {
        faults if faults.is_empty() => Ok(file),
        faults => Err(faults),
    }
}

/// Reads and validates a configuration file and the files that it refers to.
///
/// # Errors
/// Every fault with its path.
pub fn check<T: ProcessFile>(path: &Path) -> Result<T> {
    let file: T = load(path)?;
    let referenced = file.referenced_files();
    let faults: Vec<SettingFault> = referenced.into_iter().flat_map(file_faults).collect();
    if faults.is_empty() {
        Ok(file)
    } else {
        Err(faults)
    }
}

fn file_faults(referenced: ReferencedFile<'_>) -> Vec<SettingFault> {
    let (ReferencedFile::Secret(key, path) | ReferencedFile::Tree(key, path)) = referenced;
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            let reason = format!("{} cannot be read: {error}", path.display());
            return vec![setting_fault(key, reason)];
        }
    };
    match referenced {
        ReferencedFile::Secret(..) if text.trim().is_empty() => {
            vec![setting_fault(key, format!("{} is empty", path.display()))]
        }
        ReferencedFile::Secret(..) => Vec::new(),
        ReferencedFile::Tree(..) => tree_faults(key, &text),
    }
}

fn tree_faults(key: &str, text: &str) -> Vec<SettingFault> {
    let checked = SettingsTree::parse(text).and_then(|tree| tree.resolve(0));
    let faults = checked.err().unwrap_or_default();
    let inside = faults
        .into_iter()
        .map(|fault| setting_fault(format!("{key}: {}", fault.path), fault.reason));
    inside.collect()
}

impl ProcessFile for EntrySettings {
    const SPEC: &'static BranchSpec = &ENTRY;

    fn consistency_faults(&self) -> Vec<SettingFault> {
        let mut faults = control_faults(&self.control);
        faults.extend(self.limits.faults());
        faults
    }

    fn referenced_files(&self) -> Vec<ReferencedFile<'_>> {
        vec![referenced_secret(&self.instance)]
    }
}

impl ProcessFile for AgentSettings {
    const SPEC: &'static BranchSpec = &AGENT;

    fn consistency_faults(&self) -> Vec<SettingFault> {
        let mut faults = control_faults(&self.control);
        faults.extend(listener_faults(&self.instance, self.link));
        faults.extend(self.limits.faults());
        faults
    }

    fn referenced_files(&self) -> Vec<ReferencedFile<'_>> {
        vec![referenced_secret(&self.instance)]
    }
}

impl ProcessFile for ControlSettings {
    const SPEC: &'static BranchSpec = &CONTROL;

    fn consistency_faults(&self) -> Vec<SettingFault> {
        let mut faults = listener_faults(&self.instance, self.link);
        faults.extend(peer_faults(self));
        faults.extend(self.limits.faults());
        faults
    }

    fn referenced_files(&self) -> Vec<ReferencedFile<'_>> {
        let tree = self.first_tree.as_deref();
        let tree = tree.map(|path| ReferencedFile::Tree("first_tree", path));
        [referenced_secret(&self.instance)]
            .into_iter()
            .chain(tree)
            .collect()
    }
}

impl ProcessFile for GatewaySettings {
    const SPEC: &'static BranchSpec = &GATEWAY;

    fn consistency_faults(&self) -> Vec<SettingFault> {
        let own = [self.callers, self.readiness, self.operators];
        let is_shared = |(index, address): (usize, &SocketAddr)| own[..index].contains(address);
        if own.iter().enumerate().any(is_shared) {
            let reason = "`callers`, `readiness` and `operators` must be different addresses";
            return vec![setting_fault("callers", reason)];
        }
        self.limits.faults()
    }

    fn referenced_files(&self) -> Vec<ReferencedFile<'_>> {
        let secret = self.secret_file.as_deref();
        let referenced = secret.map(|path| ReferencedFile::Secret("secret_file", path));
        referenced.into_iter().collect()
    }
}

fn referenced_secret(instance: &InstanceSettings) -> ReferencedFile<'_> {
    ReferencedFile::Secret("instance.secret_file", &instance.secret_file)
}

fn control_faults(control: &[SocketAddr]) -> Vec<SettingFault> {
    if control.len() <= MAX_CONTROL_INSTANCES {
        return Vec::new();
    }
    let reason = format!("has more than {MAX_CONTROL_INSTANCES} addresses");
    vec![setting_fault("control", reason)]
}

fn listener_faults(instance: &InstanceSettings, link: SocketAddr) -> Vec<SettingFault> {
    if instance.http != link || link.port() == 0 {
        return Vec::new();
    }
    vec![setting_fault(
        "link",
        "is the same address as `instance.http`".to_owned(),
    )]
}

fn peer_faults(settings: &ControlSettings) -> Vec<SettingFault> {
    let peers = &settings.peers;
    let mut faults = Vec::new();
    if peers.len().is_multiple_of(2) || peers.len() > MAX_CONTROL_INSTANCES {
        let reason = format!("has {} instances, expected 1, 3, 5 or 7", peers.len());
        faults.push(setting_fault("peers", reason));
    }
    let mut names = HashSet::new();
    let mut links = HashSet::new();
    for (index, peer) in peers.iter().enumerate() {
        if !names.insert(&peer.name) {
            let reason = format!("`{}` is listed more than once", peer.name);
            faults.push(setting_fault(format!("peers.{index}.name"), reason));
        }
        if !links.insert(peer.link) {
            let reason = format!("`{}` is listed more than once", peer.link);
            faults.push(setting_fault(format!("peers.{index}.link"), reason));
        }
    }
    if !names.contains(&settings.instance.name) {
        let reason = format!(
            "this instance, `{}`, is missing from the list",
            settings.instance.name
        );
        faults.push(setting_fault("peers", reason));
    }
    faults
}

fn setting_fault(path: impl ToString, reason: impl Into<String>) -> SettingFault {
    SettingFault {
        path: path.to_string(),
        reason: reason.into(),
    }
}
