//! Fault injection with fixed seeds, and as a property test that shrinks failing step sequences.

use googletest::prelude::*;
use measure::faults::oracle::FaultCounts;
use measure::faults::simulation::FaultSimulation;
use measure::faults::step::SimulationStep;
use proptest::prelude::*;
use proptest::strategy::Union;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Seeds of the runs with random steps.
const SEEDS: std::ops::Range<u64> = 100..130;
/// Steps of each run with random steps.
const LONG_STEPS: u64 = 5_000;
/// Seed of the simulations in the property test.
const PROPERTY_SEED: u64 = 7;

#[gtest]
fn nothing_is_lost_doubled_crossed_or_reverted() {
    for seed in SEEDS {
        let mut simulation = FaultSimulation::new(seed);

        for _ in 0..LONG_STEPS {
            simulation.step();
        }
        simulation.quiesce();

        expect_that!(
            simulation.counts(),
            eq(FaultCounts::default()),
            "seed {seed}"
        );
        expect_that!(simulation.work().executions, gt(0), "seed {seed}");
    }
}

/// Generator of step sequences: any step may follow any other.
struct StepSequence;

impl ReferenceStateMachine for StepSequence {
    type State = ();
    type Transition = SimulationStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<SimulationStep> {
        let weighted = SimulationStep::WEIGHTED.map(|(step, weight)| (weight, Just(step)));
        Union::new_weighted(weighted.to_vec()).boxed()
    }

    fn apply((): (), _: &SimulationStep) {}
}

struct SimulationTest;

impl StateMachineTest for SimulationTest {
    type SystemUnderTest = FaultSimulation;
    type Reference = StepSequence;

    fn init_test((): &()) -> FaultSimulation {
        FaultSimulation::new(PROPERTY_SEED)
    }

    fn apply(mut simulation: FaultSimulation, (): &(), step: SimulationStep) -> FaultSimulation {
        simulation.apply(step);
        simulation
    }

    fn check_invariants(simulation: &FaultSimulation, (): &()) {
        assert_eq!(simulation.counts(), FaultCounts::default());
    }

    fn teardown(mut simulation: FaultSimulation, (): ()) {
        simulation.quiesce();
        assert_eq!(simulation.counts(), FaultCounts::default());
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..Config::default()
    })]

    #[test]
    fn no_sequence_of_steps_violates_a_guarantee(sequential 1..600 => SimulationTest);
}
