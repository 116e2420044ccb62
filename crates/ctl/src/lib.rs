//! The operators' command line client, `sapphirectl`.
//!
//! * [`args`]: command-line arguments.
//! * [`edit`]: converts assignments on the command line to edits.
//! * [`client`]: HTTP client for control instances and entries, with failover.
//! * [`change`]: the commands that change the settings.
//! * [`read`]: the commands that read settings, status and decisions.
//! * [`follow`]: the command that follows decisions as they are made.
//! * [`gateway`]: the commands for gateways.
//! * [`key`]: operator and account keys.
//! * [`print`](mod@print): output of responses as text or JSON.
//! * [`error`]: errors and exit codes.

pub mod args;
pub mod change;
pub mod client;
pub mod edit;
pub mod error;
pub mod follow;
pub mod gateway;
pub mod key;
pub mod print;
pub mod read;

use std::io::Write;

use crate::args::{CtlArgs, CtlCommand, QuarantineCommand};
use crate::client::OperatorClient;
use crate::error::Result;

/// Runs one command and writes its output to `out`.
///
/// # Errors
/// The reason why the command failed; [`error::CtlError::exit`] gives the exit code.
pub async fn run(args: CtlArgs, key: Option<String>, out: &mut dyn Write) -> Result<()> {
    if let CtlCommand::HashKey(command) = &args.command {
        return key::hash_key(command, args.key_file.as_deref(), args.json, out);
    }
    // Gateways do not authenticate operators, so the commands for gateways need no key.
    let key = match &args.command {
        CtlCommand::Gateway(_) => Some(key.unwrap_or_default()),
        _ => key,
    };
    let client = OperatorClient::new(&args, key)?;
    let json = args.json;
    match args.command {
        CtlCommand::Get(command) => read::get(&client, &command, json, out).await,
        CtlCommand::Set(command) => change::set(&client, &command, json, out).await,
        CtlCommand::Diff(command) => read::diff(&client, &command, json, out).await,
        CtlCommand::History(command) => read::history(&client, &command, json, out).await,
        CtlCommand::Rollback(command) => change::rollback(&client, &command, json, out).await,
        CtlCommand::Drain(command) => change::drain(&client, &command, json, out).await,
        CtlCommand::Undrain(command) => change::undrain(&client, &command, json, out).await,
        CtlCommand::Status(_) => read::status(&client, json, out).await,
        CtlCommand::Why(command) => read::why(&client, &command, json, out).await,
        CtlCommand::Watch(command) => follow::watch(&client, &command, json, out).await,
        CtlCommand::Quarantine(command) => match command.command {
            QuarantineCommand::List(_) => read::quarantined(&client, json, out).await,
            QuarantineCommand::Lift(lift) => change::lift(&client, &lift, json, out).await,
        },
        CtlCommand::Gateway(command) => gateway::run(&client, &command, json, out).await,
        CtlCommand::HashKey(_) => Ok(()),
    }
}
