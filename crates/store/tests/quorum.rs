//! Stateful fuzzing of consensus and store against an oracle.

use googletest::prelude::*;

mod quorum {
    pub(crate) mod cluster;
    pub(crate) mod folder;
    pub(crate) mod member;
    pub(crate) mod oracle;
}

use quorum::cluster::Fleet;

const SEEDS: u64 = 120;
const STEPS: usize = 12_000;

/// Names the seed when a check fails.
struct SeedNote(u64);

impl Drop for SeedNote {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed with seed {}", self.0);
        }
    }
}

fn run_seed(seed: u64) -> Fleet {
    let _note = SeedNote(seed);
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
    let mut swaps = 0;
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
        swaps += fleet.swaps;
        crashes += fleet.crashes;
    }

    println!(
        "RESULT quorum seeds={SEEDS} accepted={accepted} wipes={wipes} swaps={swaps} crashes={crashes} lost=0 reverted=0"
    );
    expect_that!(wipes, ge(SEEDS as u32 / 10));
}

/// Changes after which a hand-over is over.
const QUIET_CHANGES: usize = 30;

fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(3, seed);
    fleet.settle();
    fleet
}

#[gtest]
fn loss_right_after_a_repair_loses_nothing() {
    for seed in 0..20 {
        let mut fleet = settled_fleet(seed);

        for round in 0..6 {
            fleet.wipe(round % 3);
            fleet.settle();
        }

        expect_that!(fleet.wipes, eq(6));
        expect_that!(fleet.oracle.accepted.len(), ge(7));
    }
}

#[gtest]
fn member_that_was_replaced_while_away_joins_again() {
    for seed in 0..20 {
        let mut fleet = settled_fleet(seed);
        let away = (seed % 3) as usize;

        fleet.swap_folder(away);
        fleet.run_until_settled();
        fleet.swap_folder(away);
        fleet.run_until_settled();

        expect_that!(fleet.swaps, eq(2));
    }
}

#[gtest]
fn newcomers_become_voters_and_outlive_the_founders() {
    for seed in 0..20 {
        let _note = SeedNote(seed);
        let mut fleet = Fleet::growing(1, 7, seed);
        fleet.settle();

        for _ in 0..2 {
            fleet.join();
            fleet.settle();
        }
        fleet.leave(0);
        fleet.join();
        fleet.settle();

        let founder_is_gone = fleet.leader().is_some_and(|leader| leader != 0);
        expect_that!(founder_is_gone, eq(true));
        expect_that!(fleet.oracle.accepted.len(), ge(4));
    }
}

#[gtest]
fn voters_are_replaced_at_other_addresses_without_loss() {
    for seed in 0..20 {
        let _note = SeedNote(seed);
        let mut fleet = Fleet::growing(3, 7, seed);
        fleet.settle();

        for round in 0..4 {
            fleet.leave(round);
            fleet.join();
            fleet.settle();
        }

        expect_that!(fleet.members.len(), eq(7));
        expect_that!(fleet.oracle.accepted.len(), ge(5));
    }
}

#[gtest]
fn planned_successor_leaves_a_quorum_when_the_next_voter_is_lost() {
    // A successor joins first, the voter that it follows stops, and the leader is lost right after.
    for seed in 0..20 {
        let _note = SeedNote(seed);
        let mut fleet = Fleet::growing(3, 7, seed);
        fleet.settle();
        fleet.join();
        fleet.settle();
        let leader = fleet.leader().expect("settled fleet has a leader");
        let stopped = (leader + 1) % 3;

        fleet.announce_leave(stopped);
        for _ in 0..QUIET_CHANGES {
            fleet.run_others(None);
        }
        fleet.leave(stopped);
        let lost = fleet.leader().expect("the others lead on");
        fleet.leave(lost);

        expect_that!(fleet.run_others(None), eq(true));
    }
}

#[gtest]
fn removals_leave_as_many_voters_as_losses_need() {
    let mut fleet = Fleet::growing(5, 7, 3);
    for member in &mut fleet.members {
        member.settings.min_voters = 5;
    }
    fleet.settle();

    fleet.announce_leave(1);
    fleet.leave(1);
    fleet.run_others(None);

    expect_that!(fleet.voters(), eq(5));
}

#[gtest]
fn growth_under_random_faults_loses_nothing() {
    for seed in 1000..1030 {
        let _note = SeedNote(seed);
        let mut fleet = Fleet::growing(3, 5, seed);
        for step in 0..8_000 {
            fleet.step();
            if step == 2_000 || step == 5_000 {
                fleet.join();
            }
        }

        fleet.settle();

        let values = &fleet.members[0].running.as_ref().unwrap().values;
        let mut known = values.iter();
        for value in fleet.oracle.accepted.values() {
            assert!(
                known.any(|other| other == value),
                "seed {seed}: {value} lost"
            );
        }
    }
}

#[gtest]
fn fleet_without_growth_keeps_its_founders() {
    let mut fleet = Fleet::growing(3, 0, 1);
    fleet.settle();

    fleet.join();
    fleet.run_others(None);

    let leader = fleet.leader().expect("settled fleet has a leader");
    let running = fleet.members[leader].running.as_ref().unwrap();
    expect_that!(running.core.status().members.voters.len(), eq(3));
}

#[gtest]
fn isolated_leader_changes_and_confirms_nothing() {
    for seed in 0..20 {
        let mut fleet = settled_fleet(seed);
        let old = fleet.leader().expect("settled fleet has a leader");
        let accepted = fleet.oracle.accepted.len();

        fleet.isolate(old);
        fleet.run_others(Some(old));
        fleet.propose(old);
        fleet.read(old);

        expect_that!(fleet.leader(), not(some(eq(old))));
        expect_that!(fleet.oracle.accepted.len(), gt(accepted));
        fleet.settle();
    }
}

#[gtest]
fn leader_with_a_full_disk_hands_over() {
    for seed in 0..20 {
        let mut fleet = settled_fleet(seed);
        let old = fleet.leader().expect("settled fleet has a leader");

        fleet.fill_disk(old);
        let handed_over = (0..QUIET_CHANGES).any(|_| {
            fleet.run_others(None);
            fleet.leader() != Some(old)
        });

        expect_that!(handed_over, eq(true));
        expect_that!(fleet.run_others(None), eq(true));
    }
}
