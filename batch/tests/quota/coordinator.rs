//! Grants of a quota coordinator.

use alderhollow_batch::quota::{
    home_group, Coordinator, CoordinatorId, Decision, QuotaGrant, QuotaReport, ReportId,
};

pub(crate) const ID: CoordinatorId = CoordinatorId {
    epoch: 5,
    session: 2,
};
pub(crate) const MAX: u64 = 1_000;

/// A report of a group at epoch 1.
pub(crate) fn report(group: u32, sequence: u64, used: u64, wanted: u64) -> QuotaReport {
    QuotaReport {
        coordinator: ID,
        route: "route".to_owned(),
        group,
        id: ReportId {
            group_epoch: 1,
            session: 1,
            sequence,
        },
        used,
        wanted: if wanted == 0 {
            Vec::new()
        } else {
            vec![wanted]
        },
        rejected_total: 0,
    }
}

/// A coordinator of two groups to which both have reported; group 1 uses `used` tokens.
fn of_two(used: u64) -> Coordinator {
    let mut coordinator = Coordinator::new(ID, vec![1, 1]);
    coordinator.report(0, MAX, &report(0, 1, 0, 0));
    // It requests more than is available, so that there is contention and no headroom.
    coordinator.report(0, MAX, &report(1, 1, used, MAX + 1));
    coordinator
}

fn limit(grant: &QuotaGrant) -> u64 {
    match grant.decision {
        Decision::Counted { limit, .. } => limit,
        Decision::Unsure => panic!("unsure"),
    }
}

fn available(grant: &QuotaGrant) -> u64 {
    match grant.decision {
        Decision::Counted { available, .. } => available,
        Decision::Unsure => panic!("unsure"),
    }
}

#[test]
fn nothing_is_granted_before_all_groups_have_reported() {
    let mut coordinator = Coordinator::new(ID, vec![1, 1, 1]);
    for group in [0, 1, 1] {
        let grant = coordinator.report(0, MAX, &report(group, u64::from(group) + 1, 10, 10));
        assert_eq!(grant.decision, Decision::Unsure);
    }
    let grant = coordinator.report(0, MAX, &report(2, 1, 10, 10));
    assert!(limit(&grant) >= 20);
    assert_eq!(available(&grant), 970);
}

#[test]
fn routes_are_counted_apart_and_can_be_forgotten() {
    let mut coordinator = of_two(900);
    let other = QuotaReport {
        route: "other".to_owned(),
        ..report(0, 2, 0, 1)
    };
    assert_eq!(
        coordinator.report(0, MAX, &other).decision,
        Decision::Unsure
    );
    coordinator.retain_routes(|route| route == "other");
    assert_eq!(
        coordinator.report(0, MAX, &report(0, 3, 0, 1)).decision,
        Decision::Unsure
    );
}

#[test]
fn a_report_to_another_coordinator_is_not_counted() {
    for other in [
        CoordinatorId {
            epoch: 5,
            session: 0,
        },
        CoordinatorId {
            epoch: 5,
            session: 1,
        },
        CoordinatorId {
            epoch: 4,
            session: 9,
        },
        CoordinatorId {
            epoch: 6,
            session: 0,
        },
    ] {
        let mut coordinator = Coordinator::new(ID, vec![1]);
        let stray = QuotaReport {
            coordinator: other,
            ..report(0, 1, 0, 10)
        };
        let grant = coordinator.report(0, MAX, &stray);
        assert_eq!((grant.coordinator, grant.decision), (ID, Decision::Unsure));
        assert_eq!(coordinator.counters().ignored, 1);
    }
}

#[test]
fn a_primary_that_was_replaced_before_the_coordinator_began_is_not_counted() {
    let mut coordinator = Coordinator::new(ID, vec![2]);
    assert_eq!(
        coordinator.report(0, MAX, &report(0, 1, 0, 10)).decision,
        Decision::Unsure
    );
    let successor = ReportId {
        group_epoch: 2,
        session: 1,
        sequence: 1,
    };
    let grant = coordinator.report(
        0,
        MAX,
        &QuotaReport {
            id: successor,
            ..report(0, 1, 0, 10)
        },
    );
    assert!(limit(&grant) >= 10);
}

#[test]
fn an_unknown_group_is_not_counted() {
    let mut coordinator = of_two(0);
    assert_eq!(
        coordinator.report(0, MAX, &report(2, 9, 0, 1)).decision,
        Decision::Unsure
    );
    assert_eq!(
        Coordinator::new(ID, vec![])
            .report(0, MAX, &report(0, 1, 0, 1))
            .decision,
        Decision::Unsure
    );
}

#[test]
fn the_sum_of_counts_never_exceeds_the_limit() {
    let mut coordinator = of_two(600);
    assert_eq!(
        limit(&coordinator.report(1, MAX, &report(0, 2, 0, 400))),
        400
    );
    assert_eq!(
        limit(&coordinator.report(2, MAX, &report(1, 2, 600, 1))),
        600
    );
    assert_eq!(
        limit(&coordinator.report(3, MAX, &report(0, 3, 100, 300))),
        400
    );
    assert_eq!(coordinator.counters().violations, 0);
}

#[test]
fn each_request_that_still_fits_is_granted_and_no_more() {
    let mut coordinator = of_two(600);
    let some = QuotaReport {
        wanted: vec![150, 500, 200, 51, 50],
        ..report(0, 2, 0, 0)
    };
    assert_eq!(limit(&coordinator.report(1, MAX, &some)), 400);
    let none = QuotaReport {
        wanted: vec![401, 500],
        ..report(0, 3, 0, 0)
    };
    let grant = coordinator.report(1, MAX, &none);
    assert_eq!((limit(&grant), available(&grant)), (0, 400));
    assert_eq!(coordinator.counters().short, 3);
}

#[test]
fn only_used_tokens_make_a_submission_over_quota() {
    let mut coordinator = of_two(0);
    coordinator.report(1, MAX, &report(1, 2, 100, 800));
    let grant = coordinator.report(1, MAX, &report(0, 2, 0, 500));
    assert_eq!(
        (limit(&grant), available(&grant)),
        (0, 900),
        "it fits once group 1 has returned what it does not use"
    );
    coordinator.report(2, MAX, &report(1, 3, 100, 0));
    assert_eq!(
        limit(&coordinator.report(3, MAX, &report(0, 3, 0, 500))),
        500
    );
}

#[test]
fn headroom_is_a_fraction_of_the_remaining_tokens_without_contention() {
    let mut coordinator = of_two(0);
    assert_eq!(
        limit(&coordinator.report(999, MAX, &report(0, 2, 100, 100))),
        200,
        "contention"
    );
    assert_eq!(
        limit(&coordinator.report(1_000, MAX, &report(0, 3, 100, 100))),
        300,
        "an eighth of 800"
    );
}

#[test]
fn a_duplicate_report_gets_the_same_answer_and_a_late_one_is_ignored() {
    let mut coordinator = of_two(0);
    let first = coordinator.report(2_000, MAX, &report(0, 2, 0, 100));
    coordinator.report(2_000, MAX, &report(1, 2, 700, 0));
    let again = coordinator.report(2_000, MAX, &report(0, 2, 0, 100));
    assert_eq!(again.decision, first.decision);
    assert_eq!(
        coordinator.report(2_000, MAX, &report(0, 1, 0, 0)).decision,
        Decision::Unsure
    );
    let taken = limit(&first);
    let grant = coordinator.report(2_000, MAX, &report(1, 3, 700, 200));
    assert!(
        limit(&grant) + taken <= MAX,
        "the late report did not free what was granted: {grant:?}"
    );
}

#[test]
fn a_successors_first_report_replaces_the_count_also_with_a_lower_sequence() {
    let mut coordinator = of_two(600);
    coordinator.report(1, MAX, &report(0, 7, 0, 400));
    let successor = ReportId {
        group_epoch: 2,
        session: 1,
        sequence: 1,
    };
    coordinator.report(
        1,
        MAX,
        &QuotaReport {
            id: successor,
            ..report(0, 1, 300, 0)
        },
    );
    let wants = |sequence| QuotaReport {
        wanted: vec![1; 400],
        ..report(1, sequence, 600, 0)
    };
    assert_eq!(limit(&coordinator.report(2, MAX, &wants(2))), 700);
    let restarted = ReportId {
        group_epoch: 2,
        session: 2,
        sequence: 1,
    };
    coordinator.report(
        3,
        MAX,
        &QuotaReport {
            id: restarted,
            ..report(0, 1, 100, 0)
        },
    );
    assert_eq!(limit(&coordinator.report(4, MAX, &wants(3))), 900);
}

#[test]
fn nothing_is_granted_while_more_is_used_than_the_limit() {
    let mut coordinator = of_two(900);
    let successor = ReportId {
        group_epoch: 2,
        session: 1,
        sequence: 1,
    };
    let over = QuotaReport {
        id: successor,
        ..report(0, 1, 300, 1)
    };
    let grant = coordinator.report(1, MAX, &over);
    assert_eq!(
        (limit(&grant), available(&grant)),
        (100, 0),
        "nothing takes the place of the first 200 that end"
    );
    let other = coordinator.report(1, MAX, &report(1, 2, 900, 1));
    assert_eq!((limit(&other), available(&other)), (700, 0));
    assert_eq!(coordinator.counters().violations, 0);
}

#[test]
fn a_changed_limit_applies_from_the_next_report_on() {
    let mut coordinator = of_two(600);
    coordinator.report(0, MAX, &report(1, 2, 600, 0));
    assert_eq!(limit(&coordinator.report(1, 700, &report(0, 2, 0, 200))), 0);
    assert_eq!(
        limit(&coordinator.report(1, 800, &report(0, 3, 0, 200))),
        200
    );
    assert_eq!(
        limit(&coordinator.report(1, 0, &report(0, 4, 0, u64::MAX))),
        u64::MAX,
        "no limit"
    );
}

#[test]
fn maximum_values_do_not_overflow() {
    let mut coordinator = of_two(u64::MAX);
    let grant = coordinator.report(u64::MAX, u64::MAX, &report(0, 2, u64::MAX, u64::MAX));
    assert_eq!((limit(&grant), available(&grant)), (0, 0));
    assert_eq!(coordinator.counters().violations, 0);
}

#[test]
fn the_reading_covers_all_groups() {
    let mut coordinator = Coordinator::new(ID, vec![1, 1]);
    assert_eq!(
        coordinator.report(0, MAX, &report(0, 1, 100, 0)).reading,
        None
    );
    coordinator.report(0, MAX, &report(1, 1, 200, 0));
    let refused = QuotaReport {
        rejected_total: 70,
        ..report(0, 2, 100, 0)
    };
    coordinator.report(300, MAX, &refused);
    coordinator.report(301, MAX, &refused);
    let more = QuotaReport {
        rejected_total: 90,
        ..report(0, 3, 150, 0)
    };
    let reading = coordinator
        .report(600, MAX, &more)
        .reading
        .expect("a reading");
    assert_eq!(
        (reading.waiting, reading.beyond, reading.length_ms),
        (350, 90, 600)
    );
}

#[test]
fn the_home_group_of_a_route_is_valid_and_stable() {
    let homes: Vec<u32> = (0..64)
        .map(|index| home_group(&format!("route-{index}"), 16))
        .collect();
    assert!(homes.iter().all(|home| *home < 16));
    assert!(
        (0..16).filter(|group| homes.contains(group)).count() > 8,
        "they are spread: {homes:?}"
    );
    assert_eq!(home_group("route", 1), 0);
    assert_eq!(home_group("route", 0), 0);
    assert_eq!(
        home_group("lots", 1 << 16),
        26_110,
        "processes of different versions must agree"
    );
}

#[test]
fn reports_without_a_limit_are_not_counted_under_a_later_limit() {
    let mut coordinator = Coordinator::new(ID, vec![1, 1]);
    assert_eq!(
        coordinator.report(0, 0, &report(1, 1, 10, 0)).decision,
        Decision::Unsure
    );
    // Group 1 accepts jobs without a limit; then the limit is restored, and group 1 learns of it last.
    assert_eq!(
        coordinator.report(0, MAX, &report(0, 1, 0, 500)).decision,
        Decision::Unsure
    );
    coordinator.report(0, MAX, &report(1, 2, 2 * MAX, 0));
    let late = coordinator.report(0, MAX, &report(0, 2, 0, 500));
    assert_eq!((limit(&late), available(&late)), (0, 0));
}
