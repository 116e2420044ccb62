//! Concurrent settings changes on the same base version, with resends, at control processes. One
//! change must win each version, and a resend must get the answer of the first send, also across a
//! kill of the leader.

use std::thread;

use googletest::prelude::*;
use serde_json::Value;

#[allow(dead_code, reason = "this test needs a part of the fixture")]
mod instances {
    pub(crate) mod fleet;
}

use instances::fleet::{CONFLICT, ControlFleet, UNREACHABLE};

const SIZE: usize = 3;
const OPERATORS: usize = 4;
const ROUNDS: usize = 8;
/// Round before which the leader is killed. It is restarted one round later.
const KILL_ROUND: usize = 3;

/// One operator's change of one round.
#[derive(Clone, Copy)]
struct RaceChange {
    round: usize,
    operator: usize,
    base: u64,
}

impl RaceChange {
    /// Sends the change to an instance until it is decided; returns the status and the body.
    fn send(self, fleet: &ControlFleet, index: usize) -> (u16, Value) {
        let id = format!("round-{}-operator-{}", self.round, self.operator);
        let value = (self.round * OPERATORS + self.operator) as u64;
        fleet.wait_for("decision", || {
            let answer = fleet.send_change(index, &id, self.base, value)?;
            let is_decided = answer.status != UNREACHABLE;
            is_decided.then_some((answer.status, answer.body))
        })
    }
}

/// Every operator sends its change, and then resends it to another instance. Returns the changes
/// with the answers to the first sends.
fn race(fleet: &ControlFleet, round: usize, base: u64, live: &[usize]) -> Vec<(RaceChange, Value)> {
    let send = |operator: usize| {
        let change = RaceChange {
            round,
            operator,
            base,
        };
        let first = change.send(fleet, live[operator % live.len()]);
        let again = change.send(fleet, live[(operator + 1) % live.len()]);
        assert_eq!(first, again, "a resend gets the first answer");
        assert!([200, CONFLICT].contains(&first.0), "{first:?}");
        (change, first.1)
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..OPERATORS)
            .map(|operator| scope.spawn(move || send(operator)))
            .collect();
        let answers = threads.into_iter().map(thread::ScopedJoinHandle::join);
        answers.map(|answer| answer.expect("no panic")).collect()
    })
}

#[gtest]
fn each_version_has_one_winner_and_resends_get_its_answer() {
    let mut fleet = ControlFleet::start(SIZE);
    let leader = fleet.wait_for_leader();
    for index in 0..SIZE {
        fleet.wait_for_version(index, 1);
    }
    let mut changes = Vec::new();
    for round in 0..ROUNDS {
        if round == KILL_ROUND {
            fleet.kill(leader);
        }
        if round == KILL_ROUND + 1 {
            fleet.start_instance(leader);
        }
        let is_live = |index: &usize| round != KILL_ROUND || *index != leader;
        let live: Vec<usize> = (0..SIZE).filter(is_live).collect();
        let base = round as u64 + 1;
        for index in &live {
            fleet.wait_for_version(*index, base);
        }

        let answers = race(&fleet, round, base, &live);

        let winners = answers.iter().filter(|(_, body)| body["version"].is_u64());
        let versions: Vec<u64> = winners
            .filter_map(|(_, body)| body["version"].as_u64())
            .collect();
        expect_that!(versions, elements_are![eq(&(base + 1))], "round {round}");
        changes.extend(answers);
    }

    for (change, first) in changes {
        let (_, again) = change.send(&fleet, change.operator % SIZE);
        expect_that!(again, eq(&first), "round {}", change.round);
    }
    expect_that!(fleet.version(0), some(eq(ROUNDS as u64 + 1)));
}
