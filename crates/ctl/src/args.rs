//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::{EarlyExit, FromArgs};

/// Name of the program.
pub const PROGRAM: &str = "sapphirectl";

/// Reads and changes the settings of a fleet, and shows what the fleet does.
#[derive(Debug, FromArgs)]
#[argh(note = "Options of the program may stand before or after the command.

The operator key is read from --key-file or from the environment variable
SAPPHIRE_OPERATOR_KEY.")]
#[argh(error_code(0, "Done."))]
#[argh(error_code(1, "Something unexpected; the message says what."))]
#[argh(error_code(2, "The command line is wrong, or a key or address is missing."))]
#[argh(error_code(
    3,
    "The fleet refused: the settings are invalid or the request is malformed."
))]
#[argh(error_code(4, "Conflict: the same branches changed, or the change id is taken."))]
#[argh(error_code(5, "The operator key is unknown or may not do this."))]
#[argh(error_code(6, "There is no such setting, endpoint, version or request."))]
#[argh(error_code(7, "Nobody answered in time; a change may be sent again with its id."))]
#[argh(error_code(8, "Accepted, but not in force everywhere, or not idle, in time."))]
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
    /// answer and report errors as JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: CtlCommand,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum CtlCommand {
    /// Shows settings.
    Get(GetArgs),
    /// Changes settings.
    Set(SetArgs),
    /// Shows what differs between two versions.
    Diff(DiffArgs),
    /// Shows the last changes.
    History(HistoryArgs),
    /// Returns to an earlier version by a new change.
    Rollback(RollbackArgs),
    /// Lets endpoints finish their work and take none.
    Drain(DrainArgs),
    /// Lets endpoints take work again.
    Undrain(UndrainArgs),
    /// Shows instances, endpoints and the version in force.
    Status(StatusArgs),
    /// Explains where a request went.
    Why(WhyArgs),
    /// Follows decisions as they are made.
    Watch(WatchArgs),
    /// Lists or lifts quarantines.
    Quarantine(QuarantineArgs),
    /// Shows a gateway, and reads or replaces its catalog.
    Gateway(GatewayArgs),
    /// Prints the hash of a key.
    HashKey(HashKeyArgs),
}

/// Show a setting, or every setting of a branch.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// dotted path; the whole tree when left out
    #[argh(positional, default = "String::new()")]
    pub path: String,
    /// show resolved values and where each comes from
    #[argh(switch)]
    pub origin: bool,
    /// an earlier version
    #[argh(option)]
    pub version: Option<u64>,
}

/// Change settings, all together or not at all.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct SetArgs {
    /// PATH=VALUE; VALUE is a TOML value, or else taken as text
    #[argh(positional)]
    pub assignments: Vec<String>,
    /// remove the value or branch at this path; repeatable
    #[argh(option)]
    pub unset: Vec<String>,
    /// version that the change is based on; default the current one
    #[argh(option)]
    pub base: Option<u64>,
    /// id of the change; a resend under the same id gets the first answer
    #[argh(option)]
    pub change_id: Option<String>,
    /// wait until the change is in force at every live instance
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, in seconds; default 8
    #[argh(option, default = "8")]
    pub wait_s: u64,
}

/// Show what differs between two versions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// version to start from
    #[argh(positional)]
    pub from: u64,
    /// version to lead to; default the current one
    #[argh(positional)]
    pub to: Option<u64>,
}

/// Show the last changes, newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// how many; default 20
    #[argh(option, default = "20")]
    pub limit: usize,
}

/// Return to an earlier version by a new change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArgs {
    /// version whose tree is wanted
    #[argh(positional)]
    pub version: u64,
    /// id of the change; a resend under the same id gets the first answer
    #[argh(option)]
    pub change_id: Option<String>,
    /// wait until the change is in force at every live instance
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, in seconds; default 8
    #[argh(option, default = "8")]
    pub wait_s: u64,
}

/// Let endpoints finish their work and take none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// names of endpoints
    #[argh(positional)]
    pub endpoints: Vec<String>,
    /// id of the change; a resend under the same id gets the first answer
    #[argh(option)]
    pub change_id: Option<String>,
    /// wait until the endpoints are idle
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, in seconds; default 120
    #[argh(option, default = "120")]
    pub wait_s: u64,
}

/// Let endpoints take work again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct UndrainArgs {
    /// names of endpoints
    #[argh(positional)]
    pub endpoints: Vec<String>,
    /// id of the change; a resend under the same id gets the first answer
    #[argh(option)]
    pub change_id: Option<String>,
    /// wait until the endpoints take work
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

/// Explain where a request went. Needs --entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "why")]
pub struct WhyArgs {
    /// the X-Request-Id of the answer
    #[argh(positional)]
    pub request: String,
}

/// Follow decisions as they are made. Needs --entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchArgs {
    /// only this client account
    #[argh(option)]
    pub account: Option<String>,
    /// only this service
    #[argh(option)]
    pub service: Option<String>,
    /// only this endpoint
    #[argh(option)]
    pub endpoint: Option<String>,
    /// stop after this many lines
    #[argh(option)]
    pub count: Option<u64>,
    /// print what is there and stop
    #[argh(switch)]
    pub once: bool,
}

/// List or lift quarantines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: QuarantineCommand,
}

/// What to do with quarantines.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum QuarantineCommand {
    /// Lists them.
    List(ListArgs),
    /// Lifts one.
    Lift(LiftArgs),
}

/// List the requests that are refused because they crashed endpoints.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {}

/// Let a quarantined request run again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lift")]
pub struct LiftArgs {
    /// fingerprint as the list shows it
    #[argh(positional)]
    pub fingerprint: String,
}

/// Show a gateway, and read or replace its catalog; --control is a gateway's operator address.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: GatewayCommand,
}

/// What to do with a gateway.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum GatewayCommand {
    /// Shows what it knows.
    Status(GatewayStatusArgs),
    /// Reads the newest catalog.
    Catalog(CatalogArgs),
    /// Replaces the catalog.
    Replace(ReplaceArgs),
}

/// Show what a gateway knows: catalog, leader, other gateways, endpoints.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct GatewayStatusArgs {}

/// Read the newest catalog, confirmed by a quorum.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "catalog")]
pub struct CatalogArgs {}

/// Replace the catalog by the one in a JSON file; its version must be the highest.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replace")]
pub struct ReplaceArgs {
    /// file with the catalog
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print the hash of the key in --key-file or on standard input.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKeyArgs {
    /// make a new key and print it with its hash
    #[argh(switch)]
    pub generate: bool,
}

/// Options of the program that take a value.
const GLOBAL_VALUE_OPTIONS: [&str; 4] = ["--control", "--entry", "--key-file", "--timeout"];
/// Options of the program without a value.
const GLOBAL_SWITCHES: [&str; 1] = ["--json"];

/// Parses the arguments after the name of the program.
///
/// # Errors
/// The help text, or what is wrong.
pub fn parse(args: &[String]) -> Result<CtlArgs, EarlyExit> {
    let hoisted = hoist_global_options(args);
    let texts: Vec<&str> = hoisted.iter().map(String::as_str).collect();
    CtlArgs::from_args(&[PROGRAM], &texts)
}

/// Moves the options of the program before the command, and splits `--option=value`.
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
