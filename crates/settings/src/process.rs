//! The file that each program reads at its start.
//!
//! Checked like the settings tree: every fault at once, each with its path.

use std::collections::HashSet;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::check::check_table;
use crate::defaults;
use crate::files::{AGENT, CONTROL, ENTRY, GATEWAY};
use crate::location::CheckLocation;
use crate::schema::BranchSpec;
use crate::tree::{Result, SettingFault, SettingsTree, syntax_fault};

/// Control instances of one fleet at most.
const MAX_CONTROL_INSTANCES: usize = 7;

/// What every program needs to know about itself.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Unique name of this instance.
    pub name: String,
    /// Failure domain that it runs in.
    pub failure_domain: String,
    /// File with the secret that authenticates the processes to each other.
    pub secret_file: PathBuf,
    /// Address of the HTTP server.
    pub http: SocketAddr,
    /// Client accounts with a label of their own in the metrics.
    #[serde(default = "default_account_labels")]
    pub account_labels: usize,
}

fn default_account_labels() -> usize {
    defaults::ACCOUNT_LABELS
}

/// File of the entry program.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// This instance.
    pub instance: InstanceSettings,
    /// Link addresses of the control instances.
    pub control: Vec<SocketAddr>,
}

/// File of the agent program.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// This instance.
    pub instance: InstanceSettings,
    /// Link addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Address on which entries reach this agent.
    pub link: SocketAddr,
    /// Name of the endpoint in the settings tree.
    pub endpoint: String,
    /// Address of the endpoint's HTTP server.
    pub endpoint_http: SocketAddr,
}

/// Another control instance.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// Its name.
    pub name: String,
    /// Its link address.
    pub link: SocketAddr,
}

/// File of the control program.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// This instance.
    pub instance: InstanceSettings,
    /// Address on which the other processes reach this one.
    pub link: SocketAddr,
    /// All control instances, this one included.
    pub peers: Vec<ControlPeer>,
    /// Data folder.
    pub data: PathBuf,
    /// Settings tree of the first start, as a TOML file.
    pub first_tree: Option<PathBuf>,
    /// Address of the platform's list of instances.
    pub platform_list: Option<SocketAddr>,
}

/// File of the gateway program.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Unique name of this instance.
    pub name: String,
    /// Failure domain that it runs in.
    pub failure_domain: String,
    /// Address on which callers reach it.
    pub callers: SocketAddr,
    /// Address on which the balancer asks whether it is ready.
    pub readiness: SocketAddr,
    /// Address on which operators reach it.
    pub operators: SocketAddr,
    /// Address that serves the metrics.
    pub metrics: Option<SocketAddr>,
    /// Address on which the other gateways reach it.
    pub link: SocketAddrV4,
    /// Gateways that it asks for the others.
    pub seeds: Vec<SocketAddrV4>,
    /// Port of the link at every seed, when the seeds are given by another address.
    pub seed_link_port: Option<u16>,
    /// Data folder.
    pub data: Option<PathBuf>,
    /// Data folders that may be lost at once.
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: usize,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// File with the secret that authenticates the gateways to each other.
    pub secret_file: Option<PathBuf>,
    /// Seconds from SIGTERM to SIGKILL.
    #[serde(default = "default_grace_s")]
    pub grace_s: f64,
    /// The platform's list of endpoints.
    pub list: ListSettings,
    /// The budget of repeats.
    pub retries: RetrySettings,
}

/// The platform's list of endpoints.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListSettings {
    /// Address of the list.
    pub address: SocketAddr,
    /// Milliseconds between two readings.
    #[serde(default = "default_list_interval_ms")]
    pub interval_ms: u64,
}

/// The budget of repeats of a service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Repeats for each request within the window.
    pub ratio: f64,
    /// Repeats within the window beyond that, of all gateways together.
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

fn default_tolerated_losses() -> usize {
    defaults::TOLERATED_LOSSES as usize
}

fn default_grace_s() -> f64 {
    defaults::GRACE_S
}

fn default_list_interval_ms() -> u64 {
    defaults::LIST_INTERVAL_MS
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

/// A program's file: its keys, and what they must satisfy together.
pub trait ProcessFile: DeserializeOwned {
    /// The keys of the file.
    const SPEC: &'static BranchSpec;

    /// Faults that show only when every value is valid by itself.
    fn consistency_faults(&self) -> Vec<SettingFault>;

    /// Files that the program reads at its start, by key.
    fn referenced_files(&self) -> Vec<ReferencedFile<'_>>;
}

/// A file that a program's file refers to.
#[derive(Clone, Copy, Debug)]
pub enum ReferencedFile<'a> {
    /// The secret; the path of its key comes first.
    Secret(&'static str, &'a Path),
    /// A settings tree; the path of its key comes first.
    Tree(&'static str, &'a Path),
}

/// Reads and checks a program's file.
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

/// Checks the text of a program's file.
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

/// Reads and checks a program's file and the files that it refers to, for `--check`.
///
/// # Errors
/// Every fault with its path.
pub fn check<T: ProcessFile>(path: &Path) -> Result<T> {
    let file: T = load(path)?;
    let needed = file.referenced_files();
    let faults: Vec<SettingFault> = needed.into_iter().flat_map(file_faults).collect();
    if faults.is_empty() {
        Ok(file)
    } else {
        Err(faults)
    }
}

fn file_faults(needed: ReferencedFile<'_>) -> Vec<SettingFault> {
    let (ReferencedFile::Secret(key, path) | ReferencedFile::Tree(key, path)) = needed;
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            let reason = format!("{} cannot be read: {error}", path.display());
            return vec![setting_fault(key, reason)];
        }
    };
    match needed {
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
        control_faults(&self.control)
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
            let reason = "`callers`, `readiness` and `operators` share an address";
            return vec![setting_fault("callers", reason)];
        }
        Vec::new()
    }

    fn referenced_files(&self) -> Vec<ReferencedFile<'_>> {
        let secret = self.secret_file.as_deref();
        let needed = secret.map(|path| ReferencedFile::Secret("secret_file", path));
        needed.into_iter().collect()
    }
}

fn referenced_secret(instance: &InstanceSettings) -> ReferencedFile<'_> {
    ReferencedFile::Secret("instance.secret_file", &instance.secret_file)
}

fn control_faults(control: &[SocketAddr]) -> Vec<SettingFault> {
    if control.len() <= MAX_CONTROL_INSTANCES {
        return Vec::new();
    }
    let reason = format!("holds more than {MAX_CONTROL_INSTANCES} addresses");
    vec![setting_fault("control", reason)]
}

fn listener_faults(instance: &InstanceSettings, link: SocketAddr) -> Vec<SettingFault> {
    if instance.http != link || link.port() == 0 {
        return Vec::new();
    }
    vec![setting_fault("link", "is also `instance.http`".to_owned())]
}

fn peer_faults(settings: &ControlSettings) -> Vec<SettingFault> {
    let peers = &settings.peers;
    let mut faults = Vec::new();
    if peers.len().is_multiple_of(2) || peers.len() > MAX_CONTROL_INSTANCES {
        let reason = format!("holds {} instances, expected 1, 3, 5 or 7", peers.len());
        faults.push(setting_fault("peers", reason));
    }
    let mut names = HashSet::new();
    let mut links = HashSet::new();
    for (index, peer) in peers.iter().enumerate() {
        if !names.insert(&peer.name) {
            let reason = format!("`{}` stands twice", peer.name);
            faults.push(setting_fault(format!("peers.{index}.name"), reason));
        }
        if !links.insert(peer.link) {
            let reason = format!("`{}` stands twice", peer.link);
            faults.push(setting_fault(format!("peers.{index}.link"), reason));
        }
    }
    if !names.contains(&settings.instance.name) {
        let reason = format!("do not hold this instance, `{}`", settings.instance.name);
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
