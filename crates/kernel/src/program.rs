//! The start of a program: arguments, settings file, logs.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use settings::process::{self, ProcessFile};
use watch::LogSettings;
use wire::id::IncarnationNumber;

/// Exit code for a faulty command line or settings file.
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

/// Reads the command line, the settings file and the files that it refers to, and sets up logs.
///
/// # Errors
/// The exit code when the process has to end now: success after `--check`, failure after faults,
/// which are printed with the name of `part`.
pub fn start<T: ProcessFile>(part: &str) -> Result<T, ExitCode> {
    start_file(part).map(|(settings, _)| settings)
}

/// Like [`start`], for a program that follows its settings file: returns the file's path too.
///
/// # Errors
/// Those of [`start`].
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

/// A number that grows from one life of this instance to the next.
pub fn new_incarnation() -> IncarnationNumber {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}
