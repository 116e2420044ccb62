//! Stateful fuzzing of the outcome machines against an oracle.
//!
//! Entries, agents and a control quorum of the real state machines are driven by plain calls.
//! Frames are dropped, delayed, duplicated and reordered; processes and endpoints crash; a
//! control instance is partitioned, restarted and caught up. The oracle sees only what endpoints
//! execute and what callers are told.
//!
//! * [`oracle`]: counts what must never happen.
//! * [`network`]: frames on their way.
//! * [`quorum`]: control: a committed log applied by three instances.
//! * [`agent`]: an agent and its endpoint.
//! * [`execution`]: what an agent lets its endpoint execute.
//! * [`entry`]: an entry and its calls.
//! * [`step`]: what may happen in one step, with its weight.
//! * [`world`]: everything together.

pub mod agent;
pub mod entry;
mod execution;
pub mod network;
pub mod oracle;
pub mod quorum;
pub mod step;
pub mod world;

use argh::FromArgs;

use self::oracle::FaultCounts;
use self::world::FaultWorld;

/// fuzz the outcome machines with faults and count what must never happen
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct FaultsArgs {
    /// seed of the steps
    #[argh(option, default = "7")]
    pub seed: u64,
    /// steps to take
    #[argh(option, default = "100_000")]
    pub steps: u64,
}

/// Runs the fuzzing, prints its result, and returns whether every count is 0.
pub fn run(args: &FaultsArgs) -> bool {
    let mut world = FaultWorld::new(args.seed);
    for _ in 0..args.steps {
        world.step();
    }
    world.quiesce();
    let (counts, work) = (world.counts(), world.work());
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
