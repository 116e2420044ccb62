//! The `sapphire-measure` program: measures the decision crates by plain calls.
//!
//! * [`policy`]: the ways to choose an endpoint that are compared.
//! * [`skew`]: how far the busiest endpoint sits above the mean.
//! * [`reuse`]: how much of the reusable prefixes returning chats find warm.
//! * [`faults`](measure::faults): what must never happen, under fuzzed faults.
//! * [`control`]: what the nodes spend to coordinate.
//! * [`overhead`]: what the path through entry and agent adds to a direct call.
//! * [`overload`](measure::overload): how calls fare that are more than the engines can run.
//! * [`suite`]: the services that skew and reuse are measured on.
//! * [`trial`]: one policy on one request sequence.
//! * [`workload`], [`fleet`], [`cache`], [`plane`]: the sequence, the endpoints, their caches, and
//!   what entries and agents know of them.
//!
//! Exit code 0 when the bound of the run holds, 1 when it does not, 2 for bad arguments.

mod cache;
mod control;
mod fleet;
mod overhead;
mod plane;
mod policy;
mod reuse;
mod skew;
mod suite;
mod trial;
mod workload;

use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use measure::{faults, overload};

/// Exit code of a run whose bound does not hold.
const EXIT_BOUND_BROKEN: u8 = 1;
/// Exit code of a run with bad arguments.
const EXIT_BAD_ARGUMENTS: u8 = 2;

/// Measures the decisions of sapphirecourse.
#[derive(FromArgs)]
struct MeasureArgs {
    #[argh(subcommand)]
    command: MeasureCommand,
}

/// One measurement.
#[derive(FromArgs)]
#[argh(subcommand)]
enum MeasureCommand {
    Skew(skew::SkewArgs),
    Reuse(reuse::ReuseArgs),
    Control(control::ControlArgs),
    Faults(faults::FaultsArgs),
    Overhead(overhead::OverheadArgs),
    Overload(overload::OverloadArgs),
}

/// Whether the bound of a run holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BoundVerdict {
    /// It holds.
    Holds,
    /// It does not.
    Broken,
}

impl BoundVerdict {
    fn of(holds: bool) -> Self {
        if holds { Self::Holds } else { Self::Broken }
    }
}

fn main() -> ExitCode {
    match parse_args() {
        Ok(args) => exit_code(run(args)),
        Err(exit) => report_early_exit(&exit),
    }
}

fn parse_args() -> Result<MeasureArgs, EarlyExit> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    MeasureArgs::from_args(&["sapphire-measure"], &words)
}

fn run(args: MeasureArgs) -> BoundVerdict {
    match args.command {
        MeasureCommand::Skew(args) => skew::run(&args),
        MeasureCommand::Reuse(args) => reuse::run(&args),
        MeasureCommand::Control(args) => control::run(&args),
        MeasureCommand::Overhead(args) => overhead::run(&args),
        MeasureCommand::Faults(args) => BoundVerdict::of(faults::run(&args)),
        MeasureCommand::Overload(args) => BoundVerdict::of(overload::run(&args)),
    }
}

fn exit_code(verdict: BoundVerdict) -> ExitCode {
    match verdict {
        BoundVerdict::Holds => ExitCode::SUCCESS,
        BoundVerdict::Broken => ExitCode::from(EXIT_BOUND_BROKEN),
    }
}

fn report_early_exit(exit: &EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", exit.output);
    ExitCode::from(EXIT_BAD_ARGUMENTS)
}
