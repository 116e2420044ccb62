//! The file that each program reads at its start.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::tree::{Result, SettingFault};

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

/// Reads and checks a program's file.
///
/// # Errors
/// Every fault with its path.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).map_err(|error| file_fault(path, &error))?;
    toml::from_str(&text).map_err(|error| file_fault(path, &error))
}

fn file_fault(path: &Path, error: &dyn std::error::Error) -> Vec<SettingFault> {
    vec![SettingFault {
        path: path.display().to_string(),
        reason: error.to_string(),
    }]
}
