//! Stateful fuzzing of the claim, attempt and answer state machines against an oracle.
//!
//! Simulates entries, agents and a control quorum around the production state machines, in one
//! thread. Frames are dropped, delayed, duplicated and reordered; processes and endpoints crash; a
//! control instance is partitioned, restarted and caught up. The oracle observes only what
//! endpoints execute and what callers are told.
//!
//! * [`oracle`]: counts violations of the guarantees.
//! * [`network`]: frames in flight.
//! * [`quorum`]: the control quorum: a committed log that three instances apply.
//! * [`agent`]: an agent and its endpoint.
//! * [`execution`]: execution of attempts by an agent's endpoint.
//! * [`entry`]: an entry and its calls.
//! * [`step`]: the possible steps with their weights.
//! * [`simulation`]: the simulated cluster.

pub mod agent;
pub mod entry;
mod execution;
pub mod network;
pub mod oracle;
pub mod quorum;
pub mod simulation;
pub mod step;

use argh::FromArgs;

use self::oracle::FaultCounts;
use self::simulation::FaultSimulation;

/// inject faults and count violations of the delivery guarantees
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct FaultsArgs {
    /// seed of the simulation
    #[argh(option, default = "7")]
    pub seed: u64,
    /// number of simulated steps
    #[argh(option, default = "100_000")]
    pub steps: u64,
}

/// Runs the simulation and prints its result. Returns whether there were no violations.
pub fn run(args: &FaultsArgs) -> bool {
    let mut simulation = FaultSimulation::new(args.seed);
    for _ in 0..args.steps {
        simulation.step();
    }
    simulation.quiesce();
    let (counts, work) = (simulation.counts(), simulation.work());
    println!(
        "faults: requests={} executions={} told_ran={} told_not_run={} told_unknown={} \
         answers_replayed={} crashes={} quarantined={}",
        work.requests,
        work.executions,
        work.told_ran,
        work.told_not_run,
        work.told_unknown,
        work.answers_replayed,
        work.crashes,
        work.quarantined,
    );
    print_result(args, counts);
    counts == FaultCounts::default()
}

fn print_result(args: &FaultsArgs, counts: FaultCounts) {
    println!(
        "RESULT faults policy=warm seed={} steps={} lost={} doubled={} crossed={} \
         false_not_run={} reverted={} over_crashed={}",
        args.seed,
        args.steps,
        counts.lost,
        counts.doubled,
        counts.crossed,
        counts.false_not_run,
        counts.reverted,
        counts.over_crashed,
    );
}
