//! Machines with a CPU quota: they run at full speed until it is spent, then stop for the rest of a period of 100 ms,
//! all machines at the same time.

use crate::cluster::{Cluster, PERIOD_MS};
use crate::faults;
use alderhollow_coordination::replica::interface::Millis;
use std::panic::{catch_unwind, AssertUnwindSafe};

const SEEDS: u64 = 250;
/// Number of machines, and how many of them may be lost at once.
const SIZES: [(usize, usize); 4] = [(3, 1), (5, 2), (6, 2), (8, 2)];
/// A sufficient number of inputs per machine and period. A primary with seven peers receives five heartbeat answers a
/// second from each of them and the acknowledgements of commands: about 50 inputs a second, five a period.
const ENOUGH_INPUTS: u64 = 12;
/// A cluster of eight can't keep up with this quota; only safety is required.
const TOO_FEW_INPUTS: u64 = 2;
/// Time for which a cluster without faults is observed.
const OBSERVATION_MS: Millis = 10_000;
/// Duration of the faults; then the maximum time to the next commit.
const FAULT_DURATION_MS: Millis = 2_500;
const RECOVERY_MS: Millis = 5_000;

fn cluster_with_quota(seed: u64, machines: usize, tolerate: usize, inputs: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, machines, tolerate);
    let all_run = |cluster: &Cluster| {
        cluster
            .machines
            .iter()
            .all(|machine| machine.process.is_some())
    };
    cluster.run_until_holds(8_000, "a fully replicated cluster", |cluster| {
        all_run(cluster) && cluster.is_fully_replicated()
    });
    cluster.set_cpu_quota(inputs);
    cluster
}

fn seeds_that_fail(run_all_seeds: impl Fn(u64)) -> Vec<u64> {
    (0..SEEDS)
        .filter(|seed| catch_unwind(AssertUnwindSafe(|| run_all_seeds(*seed))).is_err())
        .collect()
}

/// Machines that are stopped for most of each period are not considered failed: the epoch does not change, and the
/// lease does not expire.
#[test]
fn pauses_by_a_cpu_quota_change_no_epoch_and_expire_no_lease() {
    for (machines, tolerate) in SIZES {
        let failed = seeds_that_fail(|seed| {
            let mut cluster = cluster_with_quota(seed, machines, tolerate, ENOUGH_INPUTS);
            let epoch = cluster.record().expect("a fully replicated cluster").number;
            for _ in 0..OBSERVATION_MS {
                cluster.run_for(1);
                assert!(
                    cluster.lease_holder().is_some(),
                    "the lease ran out at {}",
                    cluster.now
                );
            }
            assert_eq!(cluster.record().expect("a lease holder").number, epoch);
            assert!(cluster
                .acknowledged_at
                .last()
                .is_some_and(|at| *at + 1_000 > cluster.now));
        });
        assert!(
            failed.is_empty(),
            "with {machines} machines, {} seeds failed: {failed:?}",
            failed.len()
        );
    }
}

/// All faults under the quota. The oracle compares all states, and the cluster recovers afterwards.
#[test]
fn a_cluster_under_a_cpu_quota_stays_safe_under_faults_and_recovers() {
    for (machines, tolerate) in SIZES {
        let failed = seeds_that_fail(|seed| {
            let mut cluster = cluster_with_quota(seed, machines, tolerate, ENOUGH_INPUTS);
            faults::inject_faults(&mut cluster, FAULT_DURATION_MS);
            faults::end_faults(&mut cluster);
            let started_at = cluster.now;
            cluster.run_until_holds(RECOVERY_MS, "a commit after the faults", |cluster| {
                cluster
                    .acknowledged_at
                    .last()
                    .is_some_and(|at| *at > started_at)
            });
        });
        assert!(
            failed.is_empty(),
            "with {machines} machines, {} seeds failed: {failed:?}",
            failed.len()
        );
    }
}

/// Far too small a quota stops the cluster without violating safety; the backlog is processed once the quota is raised.
#[test]
fn too_small_a_cpu_quota_is_safe_and_the_cluster_recovers_once_it_is_raised() {
    for (machines, tolerate) in SIZES {
        let failed = seeds_that_fail(|seed| {
            let mut cluster = cluster_with_quota(seed, machines, tolerate, TOO_FEW_INPUTS);
            faults::inject_faults(&mut cluster, FAULT_DURATION_MS);
            faults::end_faults(&mut cluster);
            cluster.set_cpu_quota(40 * ENOUGH_INPUTS);
            let started_at = cluster.now;
            cluster.run_until_holds(RECOVERY_MS, "a commit after the faults", |cluster| {
                cluster
                    .acknowledged_at
                    .last()
                    .is_some_and(|at| *at > started_at)
            });
        });
        assert!(
            failed.is_empty(),
            "with {machines} machines, {} seeds failed: {failed:?}",
            failed.len()
        );
    }
}

/// Checks the simulated quota itself: with three inputs per period, the machine stops until the next period.
#[test]
fn inputs_beyond_the_quota_wait_for_the_next_period() {
    let mut cluster = cluster_with_quota(1, 3, 1, 3);
    let machine = cluster.lease_holder().expect("a fully replicated cluster");
    let next_period = cluster.now - cluster.now % PERIOD_MS + PERIOD_MS;
    cluster.run_until(next_period);
    let stands_still = |cluster: &Cluster| cluster.machines[machine].frozen_until > cluster.now;
    cluster.run_until_holds(PERIOD_MS, "the quota is spent", stands_still);
    assert_eq!(
        cluster.machines[machine].frozen_until,
        next_period + PERIOD_MS
    );
}
