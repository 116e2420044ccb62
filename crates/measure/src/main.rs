//! The `sapphire-measure` program: simulates and benchmarks the decision crates.
//!
//! * [`policy`]: the compared policies for choosing an endpoint.
//! * [`skew`]: ratio of the most loaded endpoint's load to the mean load.
//! * [`reuse`]: share of reusable prefix tokens that requests find in the cache of their endpoint.
//! * [`faults`](measure::faults): violations of the delivery guarantees under injected faults.
//! * [`control`]: control traffic of entries, agents and control instances.
//! * [`overhead`]: latency and throughput cost of the path through entry and agent.
//! * [`overload`](measure::overload): results of calls while the offered load exceeds the capacity
//!   of the engines.
//! * [`limit`](measure::limit): how a fleet obeys what endpoints state.
//!   `cold` measures how it sends calls to endpoints that are cold after a start.
//! * [`poison`](measure::poison): retries of a request that crashes each endpoint that runs it.
//! * [`suite`]: the services that skew and reuse are measured on.
//! * [`trial`]: simulation of one policy on one request sequence.
//! * [`workload`], [`fleet`], [`cache`], [`control_plane`]: the request sequence, the endpoints,
//!   their caches, and the delayed views that entries and agents have of them.
//!
//! Exits with 0 when the bound of the measurement holds, with 1 when it doesn't and with 2 for
//! invalid arguments.

mod cache;
mod control;
mod control_plane;
mod fleet;
mod overhead;
mod policy;
mod reuse;
mod skew;
mod suite;
mod trial;
mod workload;

use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use measure::{faults, limit, overload, poison};

/// Exit code of a measurement whose bound does not hold.
const EXIT_BOUND_BROKEN: u8 = 1;
/// Exit code for invalid arguments.
const EXIT_BAD_ARGUMENTS: u8 = 2;

/// Measures the routing, admission and coordination of sapphirecourse.
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
    Poison(poison::PoisonArgs),
    Limit(limit::LimitArgs),
    Cold(limit::ColdArgs),
}

/// Whether the bound of a measurement holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BoundVerdict {
    /// The measured values are within the bound.
    Holds,
    /// A measured value is outside the bound.
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
        MeasureCommand::Poison(args) => BoundVerdict::of(poison::run(&args)),
        MeasureCommand::Limit(args) => BoundVerdict::of(limit::run(&args)),
        MeasureCommand::Cold(args) => BoundVerdict::of(limit::run_cold(&args)),
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
