//! Stateful fuzzing of consensus and store against an oracle.

use googletest::prelude::*;

mod quorum {
    pub(crate) mod fleet;
    pub(crate) mod folder;
    pub(crate) mod member;
}

use quorum::fleet::Fleet;

const SEEDS: u64 = 120;
const STEPS: usize = 12_000;

fn run_seed(seed: u64) -> Fleet {
    let size = [3, 3, 5, 1, 7][seed as usize % 5];
    let mut fleet = Fleet::new(size, seed);
    for _ in 0..STEPS {
        fleet.step();
    }
    fleet.settle();
    fleet
}

#[gtest]
fn nothing_accepted_is_lost_reordered_or_reverted() {
    let mut accepted = 0;
    let mut wipes = 0;
    let mut crashes = 0;

    for seed in 0..SEEDS {
        let fleet = run_seed(seed);

        let values = &fleet.members[0].running.as_ref().unwrap().values;
        let mut known = values.iter();
        for value in fleet.oracle.accepted.values() {
            assert!(
                known.any(|other| other == value),
                "seed {seed}: {value} lost"
            );
        }
        accepted += fleet.oracle.accepted.len();
        wipes += fleet.wipes;
        crashes += fleet.crashes;
    }

    println!(
        "RESULT quorum seeds={SEEDS} accepted={accepted} wipes={wipes} crashes={crashes} lost=0 reverted=0"
    );
    expect_that!(wipes, ge(SEEDS as u32 / 10));
}
