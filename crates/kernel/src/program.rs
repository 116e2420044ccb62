//! Program start-up: command line, settings file, logging.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use settings::process::{self, ProcessFile};
use watch::LogSettings;
use wire::id::IncarnationNumber;

/// Exit code for an invalid command line or settings file.
const USAGE_EXIT_CODE: u8 = 2;

/// Runs one program of sapphirecourse until SIGTERM.
#[derive(FromArgs)]
pub struct ProgramArgs {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
    /// check the settings file and exit
    #[argh(switch)]
    pub check: bool,
    /// log level: off, error, warn, info, debug or trace
    #[argh(option)]
    pub log_level: Option<String>,
    /// log format: text or json
    #[argh(option)]
    pub log_format: Option<String>,
}

/// Parses the command line, reads the settings file and the files that it refers to, and sets up
/// logging.
///
/// # Errors
/// The exit code if the process should exit: success after `--check`, failure after errors, which
/// are printed to standard error with the prefix `part`.
pub fn start<T: ProcessFile>(part: &str) -> Result<T, ExitCode> {
    start_file(part).map(|(settings, _)| settings)
}

/// Like [`start`], but also returns the path of the settings file, for a program that reloads it.
///
/// # Errors
/// Same as [`start`].
pub fn start_file<T: ProcessFile>(part: &str) -> Result<(T, PathBuf), ExitCode> {
    let args: ProgramArgs = argh::from_env();
    let settings = process::check::<T>(&args.settings).map_err(|faults| {
        for fault in faults {
            eprintln!("{part}: {fault}");
        }
        ExitCode::from(USAGE_EXIT_CODE)
    })?;
    if args.check {
        return Err(ExitCode::SUCCESS);
    }
    let logs = LogSettings::choose(args.log_level.as_deref(), args.log_format.as_deref());
    logs.and_then(LogSettings::install).map_err(|error| {
        eprintln!("{part}: {error}");
        ExitCode::from(USAGE_EXIT_CODE)
    })?;
    Ok((settings, args.settings))
}

/// Returns a number that increases with each start of this instance: the wall clock in nanoseconds.
pub fn new_incarnation() -> IncarnationNumber {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}
