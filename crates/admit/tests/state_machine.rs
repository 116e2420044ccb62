//! Property test: random sequences of calls to the admission queue must take each attempt through
//! valid status changes only.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use admit::{AdmitAction, AdmitQueue, AdmitRequest, AdmitSettings, CancelOutcome};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wire::answer::{AttemptKey, PriorityClass};
use wire::member::{EndpointState, ServiceMean};

const SLOTS: u32 = 3;
const QUEUE_LIMIT: u32 = 4;

#[derive(Clone, Debug)]
enum QueueStep {
    Offer {
        account: u64,
        class: PriorityClass,
        deadline_s: u64,
        hops: u8,
        concurrency: u32,
    },
    Finish(usize),
    Cancel(usize),
    Crash,
    SetState(EndpointState),
    Mean(u64),
    Wait(u64),
}

/// Status of an attempt according to the actions returned so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptStatus {
    Waiting,
    Running,
    NotRun,
    Ended,
}

/// Generates the steps. It has no state of its own: [`QueueRun`] tracks the status of each attempt.
#[derive(Clone, Debug)]
struct QueueModel;

fn class() -> impl Strategy<Value = PriorityClass> {
    prop_oneof![
        Just(PriorityClass::Urgent),
        Just(PriorityClass::Interactive),
        Just(PriorityClass::Batch),
    ]
}

fn state() -> impl Strategy<Value = EndpointState> {
    prop_oneof![
        4 => Just(EndpointState::Serving),
        1 => Just(EndpointState::Draining),
        1 => Just(EndpointState::Down),
    ]
}

impl ReferenceStateMachine for QueueModel {
    type State = QueueModel;
    type Transition = QueueStep;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(QueueModel).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        let offer = (0..4_u64, class(), 1..20_u64, 0..4_u8, 0..3_u32);
        let offer =
            offer.prop_map(
                |(account, class, deadline_s, hops, concurrency)| QueueStep::Offer {
                    account,
                    class,
                    deadline_s,
                    hops,
                    concurrency,
                },
            );
        prop_oneof![
            8 => offer,
            4 => (0..8_usize).prop_map(QueueStep::Finish),
            1 => (0..8_usize).prop_map(QueueStep::Cancel),
            1 => Just(QueueStep::Crash),
            1 => state().prop_map(QueueStep::SetState),
            2 => (0..30_u64).prop_map(QueueStep::Mean),
            2 => (1..4_u64).prop_map(QueueStep::Wait),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Self::Transition) -> Self::State {
        state
    }
}

struct QueueRun {
    queue: AdmitQueue,
    now: Instant,
    offered: u128,
    statuses: BTreeMap<AttemptKey, AttemptStatus>,
}

impl QueueRun {
    fn with_status(&self, status: AttemptStatus) -> Vec<AttemptKey> {
        let found = self.statuses.iter().filter(|(_, found)| **found == status);
        found.map(|(key, _)| *key).collect()
    }

    /// Updates the statuses. Only a waiting attempt may be queued, started or refused.
    fn record_actions(&mut self, actions: &[AdmitAction]) {
        for action in actions {
            let (key, next) = match action {
                AdmitAction::Queue(key) => (key, AttemptStatus::Waiting),
                AdmitAction::Start(key) => (key, AttemptStatus::Running),
                AdmitAction::Refuse { key, .. } => (key, AttemptStatus::NotRun),
            };
            let before = self.statuses.insert(*key, next);
            assert_eq!(
                before,
                Some(AttemptStatus::Waiting),
                "{key:?} becomes {next:?}"
            );
        }
    }

    fn offer(&mut self, request: AdmitRequest) {
        let key = request.key;
        let limit = self.queue.load_limit(&request, self.now);
        self.statuses.insert(key, AttemptStatus::Waiting);
        let actions = self.queue.offer(request, self.now);
        self.record_actions(&actions);
        let is_admitted = self.statuses[&key] != AttemptStatus::NotRun;
        if is_admitted && let Some(limit) = limit {
            assert!(
                self.queue.load().total() <= limit,
                "load is above its limit"
            );
        }
    }
}

struct QueueTest;

impl StateMachineTest for QueueTest {
    type SystemUnderTest = QueueRun;
    type Reference = QueueModel;

    fn init_test(_: &QueueModel) -> QueueRun {
        let now = Instant::now();
        let settings = AdmitSettings {
            slots: SLOTS,
            queue_limit: QUEUE_LIMIT,
            join_delay: Duration::from_secs(1),
            ..AdmitSettings::default()
        };
        QueueRun {
            queue: AdmitQueue::new(settings, now),
            now,
            offered: 0,
            statuses: BTreeMap::new(),
        }
    }

    fn apply(mut run: QueueRun, _: &QueueModel, step: QueueStep) -> QueueRun {
        match step {
            QueueStep::Offer {
                account,
                class,
                deadline_s,
                hops,
                concurrency,
            } => {
                run.offered += 1;
                let request = AdmitRequest {
                    key: AttemptKey {
                        request: run.offered,
                        attempt: 1,
                    },
                    account,
                    class,
                    deadline: run.now + Duration::from_secs(deadline_s),
                    hops,
                    is_warm: account == 0,
                    share: 1,
                    rate_per_second: 2.0 * account as f64,
                    concurrency,
                };
                run.offer(request);
            }
            QueueStep::Finish(index) => {
                if let Some(key) = run.with_status(AttemptStatus::Running).get(index) {
                    run.statuses.insert(*key, AttemptStatus::Ended);
                    let actions = run.queue.finish(*key, run.now);
                    run.record_actions(&actions);
                }
            }
            QueueStep::Cancel(index) => {
                if let Some(key) = run.with_status(AttemptStatus::Waiting).get(index) {
                    assert_eq!(run.queue.cancel(*key), CancelOutcome::NotRun);
                    run.statuses.insert(*key, AttemptStatus::NotRun);
                }
            }
            QueueStep::Crash => {
                let actions = run.queue.set_state(EndpointState::Down, run.now);
                run.record_actions(&actions);
                for key in run.queue.fail_running(run.now) {
                    let before = run.statuses.insert(key, AttemptStatus::Ended);
                    assert_eq!(before, Some(AttemptStatus::Running));
                }
            }
            QueueStep::SetState(state) => {
                let actions = run.queue.set_state(state, run.now);
                run.record_actions(&actions);
            }
            QueueStep::Mean(load) => {
                let mean = ServiceMean {
                    service: 1,
                    load,
                    weight: 4,
                    absent: load % 2,
                };
                run.queue.observe_mean(&mean, run.now);
            }
            QueueStep::Wait(seconds) => {
                run.now += Duration::from_secs(seconds);
                let actions = run.queue.tick(run.now);
                run.record_actions(&actions);
            }
        }
        run
    }

    fn check_invariants(run: &QueueRun, _: &QueueModel) {
        run.queue.verify();
        let load = run.queue.load();
        let running: BTreeSet<AttemptKey> = run.queue.running().collect();
        let expected: BTreeSet<AttemptKey> = run
            .with_status(AttemptStatus::Running)
            .into_iter()
            .collect();
        assert_eq!(running, expected);
        let waiting = run.with_status(AttemptStatus::Waiting).len();
        assert_eq!(load.queued as usize, waiting);
        assert!(load.running <= SLOTS);
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 64,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    })]

    #[test]
    fn every_attempt_starts_or_is_refused_once(sequential 1..200 => QueueTest);
}
