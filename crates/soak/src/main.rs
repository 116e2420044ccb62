//! The `sapphire-soak` program.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use soak::hostile::{HostileKind, HostileSettings, run_hostile};
use soak::run::{SoakSettings, run_seed};

/// Runs gateways under random faults and checks their guarantees.
#[derive(FromArgs)]
struct SoakArgs {
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds to run, one after another (default 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// duration of load and faults in each run, in minutes (default 0.35)
    #[argh(option, default = "0.35")]
    minutes: f64,
    /// number of gateways with a data folder (default 3)
    #[argh(option, default = "3")]
    stores: u8,
    /// number of gateways without a data folder (default 2)
    #[argh(option, default = "2")]
    plain: u8,
    /// number of callers (default 12)
    #[argh(option, default = "12")]
    callers: u64,
    /// leave out limits, rests and leaving of endpoints, as in runs before there were any
    #[argh(switch)]
    no_statements: bool,
    /// run clients that hold memory and connections, each kind alone and each pair, in place of faults
    #[argh(switch)]
    hostile: bool,
    /// with --hostile, run ordinary callers alone and leave the table `limits` out
    #[argh(switch)]
    calm: bool,
    /// keep the directories of runs that passed, too
    #[argh(switch)]
    keep: bool,
    /// directory that keeps the settings, data and logs of failed runs
    #[argh(option, default = "std::env::temp_dir().join(\"sapphire-soak\")")]
    folder: PathBuf,
}

fn main() -> ExitCode {
    let args: SoakArgs = argh::from_env();
    if args.hostile {
        return run_hostile_kinds(&args);
    }
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let settings = SoakSettings {
            seed,
            length: Duration::from_secs_f64(args.minutes * 60.0),
            stores: args.stores,
            plain: args.plain,
            callers: args.callers,
            has_statements: !args.no_statements,
            ..SoakSettings::default()
        };
        let folder = args.folder.join(format!("seed-{seed}"));
        let ran = std::fs::create_dir_all(&folder).and_then(|()| run_seed(&settings, &folder));
        let outcome = match ran {
            Ok(outcome) => outcome,
            Err(error) => {
                eprintln!("soak: run of seed {seed} aborted: {error}");
                return ExitCode::from(2);
            }
        };
        for violation in &outcome.violations {
            println!("seed {seed}: {violation}");
        }
        let counts = outcome.counts;
        println!(
            "RESULT soak seed={seed} faults={} calls={} served={} promised={} version={} \
             streams={} begun={} returns={} resumed={} poison_runs={} late_runs={} part_runs={} late_part_runs={} broken={}",
            outcome.faults.len(),
            counts.calls,
            counts.served,
            counts.not_run,
            outcome.version,
            counts.streams,
            counts.begun,
            counts.returns,
            counts.resumed,
            counts.poison_runs,
            counts.late_runs,
            counts.part_runs,
            counts.late_part_runs,
            outcome.violations.len()
        );
        if !outcome.violations.is_empty() {
            failed.push(seed);
        } else if !args.keep {
            let _ = std::fs::remove_dir_all(&folder);
        }
    }
    println!("RESULT soak seeds={} failed={failed:?}", args.seeds);
    match failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Memory of the machines that the limits are made for, in MB.
const MEMORY_MB: u64 = 160;

fn run_hostile_kinds(args: &SoakArgs) -> ExitCode {
    let mut sets: Vec<Vec<HostileKind>> = Vec::new();
    for (index, first) in HostileKind::ALL.into_iter().enumerate() {
        sets.push(vec![first]);
        let others = HostileKind::ALL[index + 1..].iter();
        sets.extend(others.map(|second| vec![first, *second]));
    }
    if args.calm {
        sets = vec![Vec::new()];
    }
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        for kinds in &sets {
            let settings = HostileSettings {
                seed,
                kinds: kinds.clone(),
                length: Duration::from_secs_f64(args.minutes * 60.0),
                memory_mb: if args.calm { 0 } else { MEMORY_MB },
                limits: String::new(),
            };
            let folder = args.folder.join(format!("hostile-{seed}-{kinds:?}"));
            let ran = std::fs::create_dir_all(&folder);
            let outcome = match ran.and_then(|()| run_hostile(&settings, &folder)) {
                Ok(outcome) => outcome,
                Err(error) => {
                    eprintln!("soak: run of {kinds:?} aborted: {error}");
                    return ExitCode::from(2);
                }
            };
            let violations = outcome.violations(MEMORY_MB);
            println!(
                "RESULT hostile seed={seed} kinds={kinds:?} peak_mb={:.1} calls={} served={} median_us={} checks={} late={} longest_ms={} opened={} violations={violations:?}",
                outcome.peak_mb,
                outcome.calls,
                outcome.served,
                outcome.median_call.as_micros(),
                outcome.checks,
                outcome.late_checks,
                outcome.longest_check.as_millis(),
                outcome.opened
            );
            if violations.is_empty() {
                let _ = std::fs::remove_dir_all(&folder);
            } else {
                failed += 1;
            }
        }
    }
    println!("RESULT hostile failed={failed}");
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
