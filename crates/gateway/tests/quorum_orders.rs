//! Orders in the replicated log under seeded faults: crashes, torn writes, cut links, lost leaders,
//! full and wiped disks, with the simulated cluster of the crate `store`.

use std::collections::BTreeSet;

use gateway::evacuation::apply_order;
use googletest::prelude::*;
use wire::gateway::EvacuationState;

#[expect(
    dead_code,
    reason = "the tests of the crate `store` use more of the cluster"
)]
mod quorum {
    #[path = "../../../store/tests/quorum/cluster.rs"]
    pub(crate) mod cluster;
    #[path = "../../../store/tests/quorum/folder.rs"]
    pub(crate) mod folder;
    pub(crate) mod machine;
    #[path = "../../../store/tests/quorum/member.rs"]
    pub(crate) mod member;
    #[path = "../../../store/tests/quorum/oracle.rs"]
    pub(crate) mod oracle;
}

use quorum::cluster::FakeCluster;
use quorum::machine::order_of;

const SEEDS: u64 = 40;
const STEPS: usize = 12_000;

// Guards against an acknowledged order that is lost, and against a revision that is not the same at
// all members: a restored or replayed member would then ignore newer orders.
#[gtest]
fn acknowledged_orders_survive_and_all_members_count_the_same_revision() {
    let (mut accepted, mut wipes, mut crashes, mut revisions) = (0, 0, 0, 0);
    for seed in 0..SEEDS {
        let mut cluster = FakeCluster::new([3, 5, 7][seed as usize % 3], seed);
        for _ in 0..STEPS {
            cluster.step();
        }
        cluster.converge();

        let machines = cluster.members.iter().map(|member| {
            let running = member.running.as_ref().expect("a converged member runs");
            &running.machine
        });
        for machine in machines {
            let mut expected = EvacuationState::default();
            for value in &machine.values {
                apply_order(&mut expected, &order_of(*value));
            }
            let held: BTreeSet<u64> = machine.values.iter().copied().collect();
            let lost = cluster.oracle.accepted.values();
            let lost = lost.filter(|value| !held.contains(value)).count();
            expect_that!(machine.evacuations, eq(&expected), "seed {seed}");
            expect_that!(lost, eq(0), "seed {seed}");
            revisions = revisions.max(expected.revision);
        }
        accepted += cluster.oracle.accepted.len();
        wipes += cluster.wipes;
        crashes += cluster.crashes;
    }

    println!(
        "RESULT orders seeds={SEEDS} accepted={accepted} wipes={wipes} crashes={crashes} highest_revision={revisions} lost=0"
    );
    expect_that!(wipes, gt(0));
    expect_that!(revisions, gt(1));
}
