//! Classification of customers: counts, the statistical test, the owner's decisions, and all of it with simulated
//! traffic of known truth. Each failure names its seed.

use gateway_cluster::protocol::Micros;
use gateway_cluster::sessions::evidence::{
    ConnectionUse, Evidence, Failure, Outcome, Report, Tally, Window,
};
use gateway_cluster::sessions::judge::{self, Found};
use gateway_cluster::sessions::sim::{customer_mix, run, Fault, Plan, SimulatedCustomer};
use gateway_cluster::sessions::verdicts::{
    grant, Grant, Input, Limits, Output, OwnerContext, VerdictAggregator, VerdictRejection,
    VerdictTable,
};
use gateway_cluster::sessions::verdicts::{
    Usage, Verdict, VerdictSequence, SESSION_VERDICT_TTL, VERDICT_TTL,
};
use gateway_cluster::sessions::{FencingToken, Pooling};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Micros = 1_000_000;
const FAILED: Outcome = Outcome::Failed(Failure::Http500);
const TOKEN: FencingToken = FencingToken {
    epoch: 1,
    version: 1,
};

fn window(changed: [u16; 2]) -> Window {
    Window {
        changed: Tally {
            requests: changed[0],
            failed: [changed[1], 0, 0],
        },
        reused: Tally {
            requests: 100,
            failed: [0; 3],
        },
        control: [1000, 5],
        control_changed: [500, 3],
    }
}

fn report(
    gateway: &str,
    incarnation: u64,
    sequence: u64,
    in_run: [u16; 2],
    between_runs: [u16; 2],
) -> Report {
    let (in_run, between_runs) = (vec![(window(in_run), 1)], vec![(window(between_runs), 1)]);
    Report {
        gateway: gateway.into(),
        incarnation,
        sequence,
        customer: 7,
        pooling: Pooling::Unknown,
        in_run,
        between_runs,
    }
}

/// Passes an input to an owner of two gateways, `a` and `b`.
fn input(
    owner: &mut VerdictAggregator,
    now: Micros,
    input: Input,
    gone: &[&str],
    may_relax: bool,
) -> Vec<Output> {
    let scene = OwnerContext {
        token: TOKEN,
        owns: &|_| true,
        gateways_of: &|_| vec!["a".to_string(), "b".to_string()],
        is_gone: &|gateway| gone.contains(&gateway),
        may_relax,
    };
    let mut outputs = Vec::new();
    owner.on_input(now, input, &scene, &mut outputs);
    outputs
}

fn owner_of(reports: &[Report]) -> VerdictAggregator {
    let mut owner = VerdictAggregator::new(1, 100);
    for report in reports {
        input(&mut owner, SECOND, Input::Report(report.clone()), &[], true);
    }
    owner
}

fn current_verdict(owner: &VerdictAggregator) -> Verdict {
    owner.verdict(SECOND, 7, TOKEN).expect("a report was taken")
}

/// Simulates the three kinds and some customers at the edge, and checks the error rates.
fn assert_classified(fault: Fault, seed: u64) {
    let plan = Plan {
        gateways: 2 + seed as usize % 3,
        customers: customer_mix(),
        fault,
        time: 200 * SECOND,
        lossy: true,
        use_verdicts: true,
        owner_replaced_at: Some(130 * SECOND),
        seed,
    };
    let out = run(&plan);
    for (customer, seen) in plan.customers.iter().zip(&out.seen) {
        assert_eq!(
            seen.false_statements, 0,
            "{fault:?}, seed {seed}: {customer:?}"
        );
        assert_eq!(
            seen.false_transactions, 0,
            "{fault:?}, seed {seed}: {customer:?}"
        );
        if customer.rate >= 10.0 {
            assert!(
                seen.right.is_some_and(|at| at < 130 * SECOND),
                "{fault:?}, seed {seed}: {customer:?} {seen:?}"
            );
        }
    }
    let free = plan
        .customers
        .iter()
        .zip(&out.seen)
        .filter(|(customer, _)| customer.truth == Pooling::Statement);
    let held: Vec<Micros> = free.map(|(_, seen)| seen.overclassified_time).collect();
    let part = held.iter().sum::<Micros>() as f64 / (held.len() as f64 * plan.time as f64);
    assert!(
        part <= 0.05,
        "{fault:?}, seed {seed}: {part} of the time of stateless customers"
    );
}

#[test]
fn customers_are_classified_without_faults_and_with_a_failing_backend() {
    assert_classified(Fault::None, 1);
    assert_classified(Fault::BackendUnhealthy, 2);
    assert_classified(Fault::BackendDown, 3);
}

#[test]
fn customers_are_classified_with_a_partitioned_gateway_and_restarting_backends() {
    assert_classified(Fault::GatewayPartitioned, 4);
    assert_classified(Fault::BackendRestarts, 5);
}

#[test]
fn customers_are_classified_in_overload_and_with_stale_connections() {
    assert_classified(Fault::Overload, 6);
    assert_classified(Fault::StaleConnections, 7);
}

#[test]
fn a_changed_customer_is_reclassified_and_all_gateways_apply_it_within_a_second() {
    for seed in 1..4 {
        let changes_at = Some((200 * SECOND, Pooling::Session));
        let customer = SimulatedCustomer {
            changes_at,
            ..SimulatedCustomer::new(Pooling::Statement, 10.0)
        };
        let others = (0..20).map(|_| SimulatedCustomer::new(Pooling::Statement, 1.0));
        let plan = Plan {
            gateways: 3,
            customers: std::iter::once(customer).chain(others).collect(),
            fault: Fault::None,
            time: 300 * SECOND,
            lossy: true,
            use_verdicts: true,
            owner_replaced_at: None,
            seed,
        };
        let seen = run(&plan).seen.swap_remove(0);
        let (Some(right), Some(everywhere)) = (seen.right, seen.everywhere) else {
            panic!("seed {seed}: {seen:?}");
        };
        assert!(
            (200 * SECOND..230 * SECOND).contains(&right),
            "seed {seed}: {seen:?}"
        );
        assert!(everywhere - right <= SECOND, "seed {seed}: {seen:?}");
    }
}

/// The counts of a customer whose requests on changed connections have one outcome, at a gateway whose backend serves
/// some others with another outcome.
fn counted_requests(others: u64, outcome: Outcome, own: Outcome) -> [u32; 2] {
    let mut gateway = Evidence::new("a", 1, 100, 1);
    for second in 0..20 {
        for other in 0..others {
            gateway.record_request(
                second * SECOND,
                100 + other,
                0,
                ConnectionUse::Kept,
                outcome,
            );
        }
        gateway.record_request(second * SECOND, 7, 0, ConnectionUse::ChangedBetween, own);
    }
    let report = gateway.report(60 * SECOND, 7, Pooling::Unknown);
    let (changed, failed) =
        report
            .between_runs
            .iter()
            .fold((0, 0), |(changed, failed), (window, _)| {
                (
                    changed + u32::from(window.changed.requests),
                    failed + window.changed.failures(),
                )
            });
    [changed, failed]
}

#[test]
fn seconds_with_failing_or_missing_other_customers_are_not_counted() {
    assert_eq!(
        counted_requests(10, Outcome::Fine, FAILED),
        [20, 20],
        "it fails and others do not"
    );
    assert_eq!(
        counted_requests(10, FAILED, FAILED),
        [0, 0],
        "the backend is unhealthy"
    );
    assert_eq!(
        counted_requests(10, FAILED, Outcome::Fine),
        [0, 0],
        "successes at an unhealthy backend do not count either"
    );
    assert_eq!(
        counted_requests(0, Outcome::Fine, FAILED),
        [0, 0],
        "there is no control group"
    );
    assert_eq!(
        counted_requests(10, Outcome::Fine, Outcome::CustomersOwn),
        [0, 0],
        "the customer closed its connection"
    );
}

/// Evidence with a limit of customers: a hundred customers with counts, then three floods of ten thousand.
fn flooded_evidence(limit: usize) -> Evidence {
    let mut gateway = Evidence::new("a", 1, limit, 1);
    for second in 0..20 {
        for customer in 0..100 {
            gateway.record_request(
                second * SECOND,
                customer,
                0,
                ConnectionUse::ChangedBetween,
                Outcome::Fine,
            );
        }
        gateway.evaluate(second * SECOND);
    }
    for round in 0..3 {
        let now = (30 + 10 * round) * SECOND;
        for customer in 0..10_000 {
            gateway.record_request(
                now,
                1000 + customer,
                0,
                ConnectionUse::ChangedBetween,
                Outcome::Fine,
            );
        }
        gateway.evaluate(now + 3 * SECOND);
    }
    assert_eq!(gateway.customers(), limit);
    for customer in 0..100 {
        assert!(
            !gateway
                .report(100 * SECOND, customer, Pooling::Unknown)
                .between_runs
                .is_empty(),
            "customer {customer}"
        );
    }
    gateway
}

#[test]
fn a_flood_of_customers_stays_within_the_limit_and_evicts_none_with_evidence() {
    let excluded = flooded_evidence(500).excluded();
    assert!(
        excluded.evicted > 10_000,
        "new customers evict new customers: {excluded:?}"
    );
    assert!(
        excluded.queue_full > 0,
        "the number of waiting entries is bounded: {excluded:?}"
    );
    let excluded = flooded_evidence(100).excluded();
    assert_eq!(
        excluded.evicted, 0,
        "if all are protected no new customer is taken: {excluded:?}"
    );
    assert!(Evidence::new("a", 1, 8192, 1).max_bytes() < 12 << 20);
}

#[test]
fn the_longest_report_fits_in_a_datagram() {
    let mut full = report(
        "a-door-with-a-long-name.example",
        u64::MAX,
        u64::MAX,
        [0, 0],
        [0, 0],
    );
    let limit = Tally {
        requests: u16::MAX,
        failed: [u16::MAX; 3],
    };
    let window = Window {
        changed: limit,
        reused: limit,
        control: [u32::MAX; 2],
        control_changed: [u32::MAX; 2],
    };
    full.in_run = vec![(window, u32::MAX); 4];
    full.between_runs = full.in_run.clone();
    let bytes = postcard::to_allocvec(&full).expect("plain data");
    assert!(bytes.len() <= 1400, "{}", bytes.len());
}

#[test]
fn the_statistical_test_keeps_its_documented_error_rates() {
    let mut chance = Pcg64Mcg::seed_from_u64(1);
    let (mut bound, mut free) = (0, 0);
    // Failure rates at the edge of no effect and of an effect, with a control group that fails 1 in 200 requests.
    for (rate, wrong, count) in [
        (0.15, Found::Bound, &mut bound),
        (0.60, Found::Free, &mut free),
    ] {
        for _ in 0..1000 {
            let mut windows: Vec<Window> = Vec::new();
            for request in 0..128 {
                if request % 32 == 0 {
                    windows.insert(0, window([0, 0]));
                }
                windows[0].changed.requests += 1;
                windows[0].changed.failed[0] += u16::from(chance.random_bool(rate));
                if judge::test(&[windows.clone()]) == wrong {
                    *count += 1;
                    break;
                }
            }
        }
    }
    assert!(
        bound <= 3,
        "{bound} of 1,000 without effect were found bound; four beginnings at 1e-4 each allow 0.4"
    );
    assert_eq!(free, 0, "of 1,000 with an effect");
    assert_eq!(judge::requests_to_share(), 21);
    let gateways = [vec![window([32, 0])], vec![window([14, 14])]];
    assert_eq!(
        judge::test(&gateways),
        Found::Bound,
        "old windows of one gateway do not hide a change seen by another"
    );
    let [clean, some] = [window([32, 0]), window([4, 4])];
    let apart = [
        vec![window([0, 0]), some, clean, clean],
        vec![some, clean, clean, clean],
    ];
    assert_eq!(
        judge::test(&apart),
        Found::Undecided,
        "old successes do not take back a verdict caused by new breaks"
    );
    let test = |changed| judge::test(&[vec![window(changed)]]);
    assert_eq!(
        [test([21, 0]), test([12, 12]), test([3, 3])],
        [Found::Free, Found::Bound, Found::Undecided]
    );
}

#[test]
fn failures_without_a_change_or_of_all_changed_connections_do_not_make_a_customer_bound() {
    let mut own = window([32, 20]);
    own.reused = Tally {
        requests: 100,
        failed: [60, 0, 0],
    };
    assert_eq!(
        judge::test(&[vec![own]]),
        Found::Undecided,
        "its requests on reused connections fail as often"
    );
    let mut stale = window([32, 24]);
    assert_eq!(judge::test(&[vec![stale]]), Found::Bound);
    stale.control_changed = [500, 400];
    assert_eq!(
        judge::test(&[vec![stale]]),
        Found::Undecided,
        "others' changed requests fail as often"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    #[test]
    fn lost_duplicated_and_late_reports_do_not_change_the_evidence(
        order in prop::collection::vec((0usize..2, 1u64..3, 1u64..9), 1..60),
    ) {
        let gateways = ["a", "b"];
        // The counts of a gateway grow with the sequence number of its report.
        let nth = |gateway: usize, incarnation: u64, sequence: u64| {
            let count = (10 * incarnation + sequence) as u16;
            report(gateways[gateway], incarnation, sequence, [count, 0], [count, 0])
        };
        let received: Vec<Report> = order.iter().map(|&(gateway, incarnation, sequence)| nth(gateway, incarnation, sequence)).collect();
        let mut last: Vec<(usize, u64, u64)> = Vec::new();
        for &(gateway, incarnation, sequence) in &order {
            match last.iter_mut().find(|known| (known.0, known.1) == (gateway, incarnation)) {
                Some(known) => known.2 = known.2.max(sequence),
                None => last.push((gateway, incarnation, sequence)),
            }
        }
        let highest: Vec<Report> =
            last.iter().map(|&(gateway, incarnation, sequence)| nth(gateway, incarnation, sequence)).collect();
        prop_assert_eq!(current_verdict(&owner_of(&received)).evidence, current_verdict(&owner_of(&highest)).evidence);
    }
}

#[test]
fn a_new_owner_requests_reports_counts_nothing_twice_and_keeps_restrictions() {
    let mut reports = [
        report("a", 1, 9, [20, 0], [12, 12]),
        report("b", 1, 4, [20, 0], [12, 12]),
    ];
    let old = owner_of(&reports);
    assert_eq!(current_verdict(&old).pooling, Pooling::Session);
    let mut new = VerdictAggregator::new(2, 100);
    // Gateways now apply `session`, so new counts do not show breaks any more.
    reports[0] = Report {
        pooling: Pooling::Session,
        ..report("a", 1, 10, [0, 0], [0, 0])
    };
    let outputs = input(
        &mut new,
        SECOND,
        Input::Report(reports[0].clone()),
        &[],
        true,
    );
    assert!(
        outputs.contains(&Output::RequestReport {
            gateway: "b".into(),
            customer: 7
        }),
        "{outputs:?}"
    );
    assert_eq!(
        new.pooling_of(7),
        Pooling::Session,
        "as the gateway applies it"
    );
    reports[1].pooling = Pooling::Session;
    input(
        &mut new,
        SECOND,
        Input::Report(reports[1].clone()),
        &[],
        true,
    );
    assert_eq!(
        current_verdict(&new).evidence.changed_between,
        [12, 12],
        "the counts of each gateway once"
    );
}

#[test]
fn a_restarted_gateway_is_counted_per_incarnation_and_late_reports_are_ignored() {
    let first = report("a", 1, 9, [20, 0], [20, 0]);
    let second = report("a", 2, 1, [3, 0], [3, 0]);
    let late = report("a", 1, 8, [19, 0], [19, 0]);
    assert_eq!(
        current_verdict(&owner_of(&[first, second, late]))
            .evidence
            .changed_in_run,
        [23, 0]
    );
}

#[test]
fn relaxing_waits_for_all_reports_and_a_majority_and_restricting_for_none() {
    let free = report("a", 1, 1, [32, 0], [32, 0]);
    let mut owner = VerdictAggregator::new(1, 100);
    input(&mut owner, SECOND, Input::Report(free), &[], true);
    assert_eq!(owner.pooling_of(7), Pooling::Unknown, "b has not answered");
    let outputs = input(&mut owner, 3 * SECOND, Input::Tick, &[], true);
    assert!(
        outputs.contains(&Output::RequestReport {
            gateway: "b".into(),
            customer: 7
        }),
        "it is asked again"
    );
    input(&mut owner, 5 * SECOND, Input::Tick, &["b"], false);
    assert_eq!(
        owner.pooling_of(7),
        Pooling::Unknown,
        "this side is a minority"
    );
    input(&mut owner, 7 * SECOND, Input::Tick, &["b"], true);
    assert_eq!(owner.pooling_of(7), Pooling::Statement, "b is gone");
    let bound = report("a", 1, 2, [32, 0], [32, 32]);
    let outputs = input(&mut owner, 8 * SECOND, Input::Report(bound), &[], false);
    assert_eq!(owner.pooling_of(7), Pooling::Session);
    let said = |output: &&Output| matches!(output, Output::SendVerdict { verdict, .. } if verdict.pooling == Pooling::Session);
    assert_eq!(
        outputs.iter().filter(said).count(),
        2,
        "both gateways get it at once: {outputs:?}"
    );
    let mut again = 0;
    for tick in 1..12 {
        let outputs = input(
            &mut owner,
            8 * SECOND + tick * SECOND / 12,
            Input::Tick,
            &[],
            false,
        );
        again += outputs.iter().filter(said).count();
    }
    assert_eq!(again, 10, "and five times more within the second");
}

fn verdict(pooling: Pooling, token: FencingToken, sequence: u64) -> Verdict {
    let mut verdict = current_verdict(&owner_of(&[report("a", 1, 1, [0, 0], [0, 0])]));
    (verdict.pooling, verdict.token, verdict.sequence) = (
        pooling,
        token,
        VerdictSequence {
            incarnation: 1,
            number: sequence,
        },
    );
    verdict
}

#[test]
fn a_gateway_rejects_superseded_and_outdated_verdicts_and_relaxing_on_a_minority_side() {
    let mut table = VerdictTable::new(10);
    let two = FencingToken {
        epoch: 2,
        version: 1,
    };
    assert_eq!(
        table.on_verdict(0, verdict(Pooling::Session, two, 5), true),
        Ok(())
    );
    let old = table.on_verdict(0, verdict(Pooling::Statement, TOKEN, 9), true);
    assert_eq!(
        old,
        Err(VerdictRejection::Superseded {
            received: TOKEN,
            known: two
        })
    );
    assert_eq!(
        table.on_verdict(0, verdict(Pooling::Statement, two, 5), true),
        Err(VerdictRejection::Outdated)
    );
    assert_eq!(
        table.on_verdict(0, verdict(Pooling::Statement, two, 6), false),
        Err(VerdictRejection::Minority)
    );
    assert_eq!(table.in_force(0, 7, 0, true), Pooling::Session);
    assert_eq!(
        table.on_verdict(0, verdict(Pooling::Statement, two, 6), true),
        Ok(())
    );
    assert_eq!(table.in_force(0, 7, 0, true), Pooling::Statement);
}

#[test]
fn verdicts_expire_after_their_owner_failed_but_are_not_relaxed_on_a_minority_side() {
    let mut table = VerdictTable::new(10);
    assert_eq!(
        table.on_verdict(0, verdict(Pooling::Statement, TOKEN, 1), true),
        Ok(())
    );
    assert_eq!(
        table.in_force(9 * VERDICT_TTL, 7, 9 * VERDICT_TTL, true),
        Pooling::Statement,
        "the owner is alive"
    );
    assert_eq!(
        table.in_force(VERDICT_TTL - 1, 7, 0, true),
        Pooling::Statement
    );
    assert_eq!(table.in_force(VERDICT_TTL, 7, 0, true), Pooling::Unknown);
    assert_eq!(
        table.in_force(VERDICT_TTL, 7, 0, false),
        Pooling::Unknown,
        "that is a step towards caution"
    );
    assert_eq!(
        table.on_verdict(0, verdict(Pooling::Session, TOKEN, 2), true),
        Ok(())
    );
    assert_eq!(
        table.in_force(SESSION_VERDICT_TTL - 1, 7, 0, true),
        Pooling::Session
    );
    assert_eq!(
        table.in_force(SESSION_VERDICT_TTL, 7, 0, true),
        Pooling::Unknown
    );
    assert_eq!(
        table.in_force(SESSION_VERDICT_TTL, 7, 0, false),
        Pooling::Session
    );
}

#[test]
fn private_connections_stay_within_their_limits() {
    let limits = Limits::default();
    let mut usage = Usage {
        descriptors: [400, 0],
        backend: [40, 0],
        own: 0,
    };
    let mut granted = 0;
    while grant(&limits, &usage) == Grant::Private {
        usage.descriptors[1] += 1;
        usage.backend[1] += 1;
        granted += 1;
    }
    assert_eq!(
        (granted, grant(&limits, &usage)),
        (10, Grant::Backend),
        "a quarter of the backend's 40"
    );
    usage.backend = [4000, 10];
    usage.descriptors[1] = 50;
    assert_eq!(
        grant(&limits, &usage),
        Grant::Descriptors,
        "an eighth of 400"
    );
    assert_eq!(
        grant(
            &limits,
            &Usage {
                own: 1,
                descriptors: [400, 0],
                backend: [40, 0]
            }
        ),
        Grant::Each
    );
}
