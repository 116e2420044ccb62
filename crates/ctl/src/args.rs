//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::{EarlyExit, FromArgs};

/// Name of the program.
pub const PROGRAM: &str = "sapphirectl";

/// Reads and changes the settings of a fleet, and shows its status.
#[derive(Debug, FromArgs)]
#[argh(note = "Global options may be given before or after the command.

The operator key is read from --key-file or from the environment variable
SAPPHIRE_OPERATOR_KEY.")]
#[argh(error_code(0, "Done."))]
#[argh(error_code(1, "Unexpected error; the message says what."))]
#[argh(error_code(2, "The command line is wrong, or a key or address is missing."))]
#[argh(error_code(
    3,
    "The fleet refused: the settings are invalid or the request is malformed."
))]
#[argh(error_code(4, "Conflict: the same branches changed, or the change id is taken."))]
#[argh(error_code(5, "The operator key is unknown or lacks the permission."))]
#[argh(error_code(6, "There is no such setting, endpoint, version or request."))]
#[argh(error_code(
    7,
    "No instance answered in time; a change may be sent again with its id."
))]
#[argh(error_code(8, "Accepted, but its effect was not complete in time."))]
pub struct CtlArgs {
    /// address of a control instance's HTTP server; repeat it for failover
    #[argh(option)]
    pub control: Vec<SocketAddr>,
    /// address of an entry's HTTP server, for why and watch; repeatable
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// file with the operator key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// how long to try to reach an instance, in seconds; default 10
    #[argh(option, default = "10")]
    pub timeout: u64,
    /// print responses and errors as JSON
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: CtlCommand,
}

/// Command to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum CtlCommand {
    /// Shows settings.
    Get(GetArgs),
    /// Changes settings.
    Set(SetArgs),
    /// Shows the difference between two versions.
    Diff(DiffArgs),
    /// Shows the most recent changes.
    History(HistoryArgs),
    /// Restores an earlier version with a new change.
    Rollback(RollbackArgs),
    /// Drains endpoints.
    Drain(DrainArgs),
    /// Ends the draining of endpoints.
    Undrain(UndrainArgs),
    /// Shows instances, endpoints and the version in force.
    Status(StatusArgs),
    /// Explains how a request was routed.
    Why(WhyArgs),
    /// Follows decisions as they are made.
    Watch(WatchArgs),
    /// Lists or lifts quarantines.
    Quarantine(QuarantineArgs),
    /// Shows a gateway, reads or replaces its catalog, and evacuates failure domains.
    Gateway(GatewayArgs),
    /// Prints the hash of a key.
    HashKey(HashKeyArgs),
}

/// Show a setting, or all settings of a branch.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// dotted path; default the whole tree
    #[argh(positional, default = "String::new()")]
    pub path: String,
    /// show resolved values with the origin of each
    #[argh(switch)]
    pub origin: bool,
    /// version to show; default the current one
    #[argh(option)]
    pub version: Option<u64>,
}

/// Change settings atomically.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct SetArgs {
    /// PATH=VALUE; a VALUE that is not valid TOML is taken as a string
    #[argh(positional)]
    pub assignments: Vec<String>,
    /// remove the value or branch at this path; repeatable
    #[argh(option)]
    pub unset: Vec<String>,
    /// version that the change is based on; default the current one
    #[argh(option)]
    pub base: Option<u64>,
    /// id of the change; a resend with the same id gets the first answer
    #[argh(option)]
    pub change_id: Option<String>,
    /// wait until the change is in force at every live instance
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, in seconds; default 8
    #[argh(option, default = "8")]
    pub wait_s: u64,
}

/// Show the difference between two versions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// version to compare from
    #[argh(positional)]
    pub from: u64,
    /// version to compare to; default the current one
    #[argh(positional)]
    pub to: Option<u64>,
}

/// Show the most recent changes, newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// number of changes; default 20
    #[argh(option, default = "20")]
    pub limit: usize,
}

/// Restore an earlier version with a new change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArgs {
    /// version to restore
    #[argh(positional)]
    pub version: u64,
    /// id of the change; a resend with the same id gets the first answer
    #[argh(option)]
    pub change_id: Option<String>,
    /// wait until the change is in force at every live instance
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, in seconds; default 8
    #[argh(option, default = "8")]
    pub wait_s: u64,
}

/// Drain endpoints: they finish their requests and accept no new ones.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// names of endpoints
    #[argh(positional)]
    pub endpoints: Vec<String>,
    /// id of the change; a resend with the same id gets the first answer
    #[argh(option)]
    pub change_id: Option<String>,
    /// wait until the endpoints are idle
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, in seconds; default 120
    #[argh(option, default = "120")]
    pub wait_s: u64,
}

/// End the draining of endpoints, so that they accept requests again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct UndrainArgs {
    /// names of endpoints
    #[argh(positional)]
    pub endpoints: Vec<String>,
    /// id of the change; a resend with the same id gets the first answer
    #[argh(option)]
    pub change_id: Option<String>,
    /// wait until the endpoints serve
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, in seconds; default 8
    #[argh(option, default = "8")]
    pub wait_s: u64,
}

/// Show instances, endpoints and the version in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Explain how a request was routed. Needs --entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "why")]
pub struct WhyArgs {
    /// the X-Request-Id of the response
    #[argh(positional)]
    pub request: String,
}

/// Follow decisions as they are made. Needs --entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchArgs {
    /// only decisions for this client account
    #[argh(option)]
    pub account: Option<String>,
    /// only decisions for this service
    #[argh(option)]
    pub service: Option<String>,
    /// only decisions for this endpoint
    #[argh(option)]
    pub endpoint: Option<String>,
    /// exit after this number of decisions
    #[argh(option)]
    pub count: Option<u64>,
    /// print the recorded decisions and exit
    #[argh(switch)]
    pub once: bool,
}

/// List or lift quarantines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: QuarantineCommand,
}

/// Commands for quarantines.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum QuarantineCommand {
    /// Lists the quarantined requests.
    List(ListArgs),
    /// Lifts the quarantine of one request.
    Lift(LiftArgs),
}

/// List the requests that are refused because they crashed endpoints.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {}

/// Lift the quarantine of a request, so that it may run again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lift")]
pub struct LiftArgs {
    /// fingerprint, as printed by `quarantine list`
    #[argh(positional)]
    pub fingerprint: String,
}

/// Show a gateway, read or replace its catalog, evacuate failure domains; --control is a gateway's operator address.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: GatewayCommand,
}

/// Commands for a gateway.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum GatewayCommand {
    /// Shows the status of the gateway.
    Status(GatewayStatusArgs),
    /// Reads the newest catalog.
    Catalog(CatalogArgs),
    /// Replaces the catalog.
    Replace(ReplaceArgs),
    /// Evacuates failure domains.
    Evacuate(EvacuateArgs),
}

/// Show the status of a gateway: catalog, leader, other gateways, endpoints.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct GatewayStatusArgs {}

/// Read the newest catalog, confirmed by a quorum.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "catalog")]
pub struct CatalogArgs {}

/// Replace the catalog with the one in a JSON file; its version must be the highest.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replace")]
pub struct ReplaceArgs {
    /// file with the catalog
    #[argh(positional)]
    pub file: PathBuf,
}

/// Order that no calls are sent to the endpoints of a failure domain, revoke the order, or show which
/// gateways obey.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "evacuate")]
pub struct EvacuateArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: EvacuateCommand,
}

/// Commands for evacuations.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum EvacuateCommand {
    /// Orders an evacuation.
    Begin(BeginArgs),
    /// Revokes an evacuation.
    Finish(FinishArgs),
    /// Shows the evacuations.
    Show(ShowArgs),
}

/// Send no calls to the endpoints of a failure domain; calls that run there finish.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "begin")]
pub struct BeginArgs {
    /// failure domain
    #[argh(positional)]
    pub domain: String,
}

/// Send calls to the endpoints of a failure domain again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "finish")]
pub struct FinishArgs {
    /// failure domain
    #[argh(positional)]
    pub domain: String,
}

/// Show the evacuated failure domains, and the revision that each gateway obeys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {}

/// Print the hash of the key in --key-file or on standard input.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKeyArgs {
    /// generate a new key and print it with its hash
    #[argh(switch)]
    pub generate: bool,
}

/// Global options that take a value.
const GLOBAL_VALUE_OPTIONS: [&str; 4] = ["--control", "--entry", "--key-file", "--timeout"];
/// Global options without a value.
const GLOBAL_SWITCHES: [&str; 1] = ["--json"];

/// Parses the arguments that follow the program name.
///
/// # Errors
/// The help text if it was requested, or a description of the invalid argument.
pub fn parse(args: &[String]) -> Result<CtlArgs, EarlyExit> {
    let hoisted = hoist_global_options(args);
    let texts: Vec<&str> = hoisted.iter().map(String::as_str).collect();
    CtlArgs::from_args(&[PROGRAM], &texts)
}

/// Moves global options in front of the command, where argh expects them, and splits
/// `--option=value`. Arguments after `--` stay in place.
fn hoist_global_options(args: &[String]) -> Vec<String> {
    let mut front = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.iter();
    while let Some(arg) = args.next() {
        if arg == "--" {
            rest.push(arg.clone());
            break;
        }
        let (name, value) = split_option(arg);
        if GLOBAL_SWITCHES.contains(&name) {
            front.push(arg.clone());
        } else if GLOBAL_VALUE_OPTIONS.contains(&name) {
            front.push(name.to_owned());
            front.extend(value.map(str::to_owned).or_else(|| args.next().cloned()));
        } else {
            rest.push(arg.clone());
        }
    }
    front.extend(rest);
    front.extend(args.cloned());
    front
}

fn split_option(arg: &str) -> (&str, Option<&str>) {
    match arg.split_once('=') {
        Some((name, value)) if name.starts_with("--") => (name, Some(value)),
        _ => (arg, None),
    }
}
