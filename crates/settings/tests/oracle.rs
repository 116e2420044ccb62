//! Compares the history and a holder with a simple model under resends, concurrent changes,
//! snapshots, lost and reordered updates, and restarts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use fault::FaultKind;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use settings::{SettingsHistory, SettingsHolder, SettingsTree};
use wire::command::{SettingEdit, SettingsChange};
use wire::id::SettingsVersion;
use wire::message::SettingsUpdate;

const TREE: &str = "
queue_limit = 3
services.s.kind = 'plain'
endpoints.a = { service = 's', weight = 1 }
endpoints.b = { service = 's', weight = 1 }
";
const PATHS: [&str; 4] = [
    "queue_limit",
    "endpoints.a.weight",
    "endpoints.a.places",
    "endpoints.b.weight",
];

/// The answer to a change, without the message of a fault.
type Answer = Result<SettingsVersion, FaultKind>;
/// Values that are set, by path.
type Values = BTreeMap<&'static str, u8>;

#[derive(Clone, Debug)]
enum Step {
    /// A new change whose base is `behind` versions before the current one.
    Change { behind: u64, edits: Values },
    /// A change with an id that another change may already have used.
    Reuse { id: usize, edits: Values },
    /// A resend of an earlier change.
    Resend { index: usize },
    /// The history is saved to a snapshot and restored from it.
    Snapshot,
    /// An update between two recent versions reaches the holder.
    Deliver { from_behind: u64, to_behind: u64 },
    /// A confirmation of an earlier version reaches the holder.
    Confirm { behind: u64 },
    /// The holder's process restarts.
    Restart,
}

/// The model: the values of every version, and every answer.
#[derive(Clone, Debug, Default)]
struct Oracle {
    /// Values and changed branches of each version; the index is the version minus 1.
    versions: Vec<(Values, BTreeSet<&'static str>)>,
    changes: Vec<(SettingsChange, Answer)>,
    answers: BTreeMap<String, (SettingsChange, Answer)>,
}

impl Oracle {
    fn current(&self) -> SettingsVersion {
        self.versions.len() as u64
    }

    fn send(&mut self, id: String, base: SettingsVersion, edits: &Values) {
        let change = change(id.clone(), base, edits);
        let answer = match self.answers.get(&id) {
            Some((first, answer)) if is_same(first, &change) => *answer,
            Some(_) => Err(FaultKind::KeyConflict),
            None => self.decide(base, edits),
        };
        let first = (change.clone(), answer);
        self.answers.entry(id).or_insert(first);
        self.changes.push((change, answer));
    }

    fn decide(&mut self, base: SettingsVersion, edits: &Values) -> Answer {
        let touched: BTreeSet<&str> = edits.keys().map(|path| branch_of(path)).collect();
        let since = &self.versions[base as usize..];
        let conflicts = |other: &BTreeSet<&str>| {
            let has_root = touched.contains("") || other.contains("");
            has_root || !touched.is_disjoint(other)
        };
        if since.iter().any(|(_, other)| conflicts(other)) {
            return Err(FaultKind::VersionConflict);
        }
        if edits
            .iter()
            .any(|(path, value)| *path != "queue_limit" && *value == 0)
        {
            return Err(FaultKind::InvalidSettings);
        }
        let mut values = self
            .versions
            .last()
            .map(|it| it.0.clone())
            .unwrap_or_default();
        values.extend(edits.iter().map(|(path, value)| (*path, *value)));
        self.versions.push((values, touched));
        Ok(self.current())
    }
}

/// Whether two changes are equal apart from their base.
fn is_same(left: &SettingsChange, right: &SettingsChange) -> bool {
    left.operator == right.operator && left.edits == right.edits
}

fn branch_of(path: &'static str) -> &'static str {
    path.rsplit_once('.').map_or("", |(branch, _)| branch)
}

fn change(change_id: String, base: SettingsVersion, edits: &Values) -> SettingsChange {
    let edits = edits.iter().map(|(path, value)| SettingEdit {
        path: (*path).to_owned(),
        value: Some(value.to_string()),
    });
    SettingsChange {
        change_id,
        base,
        operator: "anna".to_owned(),
        edits: edits.collect(),
    }
}

fn edits() -> impl Strategy<Value = Values> {
    prop::collection::btree_map(prop::sample::select(&PATHS[..]), 0..6u8, 1..3)
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let first = SettingsHistory::first_change(&first_tree());
        let values = Values::from([
            ("queue_limit", 3),
            ("endpoints.a.weight", 1),
            ("endpoints.b.weight", 1),
        ]);
        let oracle = Oracle {
            versions: vec![(values, BTreeSet::from([""]))],
            changes: vec![(first.clone(), Ok(1))],
            answers: BTreeMap::from([(first.change_id.clone(), (first, Ok(1)))]),
        };
        Just(oracle).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..3u64, edits()).prop_map(|(behind, edits)| Step::Change { behind, edits }),
            1 => (0..50usize, edits()).prop_map(|(id, edits)| Step::Reuse { id, edits }),
            2 => (0..50usize).prop_map(|index| Step::Resend { index }),
            1 => Just(Step::Snapshot),
            3 => (0..4u64, 0..3u64).prop_map(|(from_behind, to_behind)| Step::Deliver {
                from_behind,
                to_behind
            }),
            2 => (0..3u64).prop_map(|behind| Step::Confirm { behind }),
            1 => Just(Step::Restart),
        ]
        .boxed()
    }

    fn apply(mut oracle: Self, step: &Step) -> Self {
        match step {
            Step::Change { behind, edits } => {
                let base = oracle.current().saturating_sub(*behind).max(1);
                oracle.send(format!("c{}", oracle.changes.len()), base, edits);
            }
            Step::Reuse { id, edits } => {
                oracle.send(format!("c{id}"), oracle.current(), edits);
            }
            Step::Resend { index } => {
                let (again, _) = oracle.changes[index % oracle.changes.len()].clone();
                let answer = match &oracle.answers[&again.change_id] {
                    (first, answer) if is_same(first, &again) => *answer,
                    _ => Err(FaultKind::KeyConflict),
                };
                oracle.changes.push((again, answer));
            }
            Step::Snapshot | Step::Deliver { .. } | Step::Confirm { .. } | Step::Restart => {}
        }
        oracle
    }
}

/// The system under test, with the state of the history at every version.
struct Fleet {
    histories: Vec<SettingsHistory>,
    holder: SettingsHolder,
    /// Highest version that was in force since the holder's last restart.
    highest: SettingsVersion,
    now: Instant,
}

impl Fleet {
    fn history(&mut self) -> &mut SettingsHistory {
        self.histories.last_mut().expect("there is a first version")
    }

    fn behind(&self, count: u64) -> &SettingsHistory {
        let last = self.histories.len() - 1;
        &self.histories[last.saturating_sub(count as usize)]
    }

    fn apply_change(&mut self, change: &SettingsChange) -> Answer {
        let mut next = self.history().clone();
        let answer = next.apply(change, Duration::ZERO);
        next.verify().expect("the invariants hold");
        if next.version() > self.history().version() {
            self.histories.push(next);
        } else {
            *self.history() = next;
        }
        answer.map_err(|fault| fault.kind)
    }

    fn deliver(&mut self, update: &SettingsUpdate) {
        let _ = self.holder.apply(update, self.now);
        let version = self.holder.version();
        assert!(version >= self.highest, "the holder went back");
        self.highest = version;
        let Some(fleet) = self.holder.fleet() else {
            return;
        };
        let expected = &self.histories[version as usize - 1];
        assert_eq!(Some(&**fleet), expected.resolved().as_ref());
    }
}

fn first_tree() -> SettingsTree {
    SettingsTree::parse(TREE).expect("the tree parses")
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        let mut history = SettingsHistory::default();
        let first = SettingsHistory::first_change(&first_tree());
        history.apply(&first, Duration::ZERO).expect("accepted");
        Fleet {
            histories: vec![history],
            holder: SettingsHolder::default(),
            highest: 0,
            now: Instant::now(),
        }
    }

    fn apply(mut fleet: Self, oracle: &Oracle, step: Step) -> Self {
        match step {
            Step::Change { .. } | Step::Reuse { .. } | Step::Resend { .. } => {
                let (change, expected) = oracle.changes.last().expect("it was sent");
                assert_eq!(fleet.apply_change(change), *expected);
            }
            Step::Snapshot => {
                let text = serde_json::to_string(fleet.history()).expect("writes");
                *fleet.history() = serde_json::from_str(&text).expect("reads");
            }
            Step::Deliver {
                from_behind,
                to_behind,
            } => {
                let held = fleet.behind(from_behind).version();
                let update = fleet.behind(to_behind).update_since(held);
                // Only a quorum sends confirmations; `Step::Confirm` does that.
                if !matches!(update, SettingsUpdate::Confirmed { .. }) {
                    fleet.deliver(&update);
                }
            }
            Step::Confirm { behind } => {
                let version = fleet.behind(behind).version();
                fleet.deliver(&SettingsUpdate::Confirmed { version });
            }
            Step::Restart => {
                fleet.holder = SettingsHolder::default();
                fleet.highest = 0;
            }
        }
        fleet
    }

    fn check_invariants(fleet: &Self, oracle: &Oracle) {
        let history = fleet.behind(0);
        assert_eq!(history.version(), oracle.current());
        for (index, (values, _)) in oracle.versions.iter().enumerate() {
            let tree = history.tree_at(index as u64 + 1).expect("it is kept");
            for (path, value) in values {
                let expected = toml::Value::Integer(i64::from(*value));
                assert_eq!(tree.get(path), Some(expected), "version {}", index + 1);
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn history_and_holder_agree_with_the_oracle(sequential 1..60 => Fleet);
}
