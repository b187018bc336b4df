//! Failure detection by monitors with 12, 65 and 300 processes: detection times, false positives, bytes sent. With
//! `--nocapture` each test prints its measurements.

mod cluster;

use alderhollow_coordination::monitoring::failure_detector::{FailureDetector, Thresholds};
use alderhollow_coordination::monitoring::monitor::{Message, Monitor, Report, Timings};
use alderhollow_coordination::monitoring::rendezvous::{monitors_of, subjects_of};
use alderhollow_coordination::monitoring::{Millis, NodeNumber};
use cluster::{Cluster, Fault};
use proptest::prelude::*;
use std::collections::BTreeSet;

/// Number of processes, and number of seeds.
const SIZES: [(u32, u64); 3] = [(12, 60), (65, 20), (300, 3)];
/// Number of processes, and number of seeds, of the tests for false positives.
const FALSE_POSITIVE_SIZES: [(u32, u64); 3] = [(12, 30), (65, 10), (300, 3)];
/// The timeout at which a process is dead without any report.
const POLL_TIMEOUT_MS: Millis = 3_000;
const POLL_SLACK_MS: Millis = 450;

/// Sorted times from a fault to its detection, over all seeds of a size.
fn detection_times(
    nodes: u32,
    seeds: u64,
    quota_ms: Option<Millis>,
    loss_percent: u64,
    fault: Fault,
) -> Vec<Millis> {
    let time = |seed| {
        let mut cluster = Cluster::new(seed, nodes);
        cluster.quota_ms = quota_ms;
        cluster.loss_percent = loss_percent;
        let pause = 2_000 + cluster.random(400);
        cluster.run_for(pause);
        let node = cluster.random(u64::from(nodes)) as NodeNumber;
        cluster.faults.insert(node, fault);
        cluster
            .time_to_detection(node, POLL_TIMEOUT_MS + POLL_SLACK_MS)
            .expect("the poll timeout detects it")
    };
    let mut detection_times: Vec<Millis> = (0..seeds).map(time).collect();
    detection_times.sort_unstable();
    detection_times
}

fn median_and_max(detection_times: &[Millis]) -> (Millis, Millis) {
    (
        detection_times[detection_times.len() / 2],
        detection_times[detection_times.len() - 1],
    )
}

#[test]
fn a_dead_process_is_detected_before_its_poll_timeout() {
    for (nodes, seeds) in SIZES {
        for fault in [Fault::Crash, Fault::FreezeUntil(Millis::MAX), Fault::Mute] {
            let (median, longest) = median_and_max(&detection_times(nodes, seeds, None, 0, fault));
            println!("{nodes} processes, {fault:?}: {median} ms, {longest} ms at most");
            assert!(longest <= 1_300, "{nodes} {fault:?}: {longest}");
        }
    }
}

#[test]
fn under_a_cpu_quota_and_message_loss_detection_is_no_later_than_the_poll_timeout() {
    for (nodes, seeds) in SIZES {
        for (quota_ms, loss) in [(Some(6), 0), (None, 10), (Some(6), 10)] {
            let (median, longest) =
                median_and_max(&detection_times(nodes, seeds, quota_ms, loss, Fault::Crash));
            println!(
                "{nodes} processes, quota {quota_ms:?}, loss {loss}%: {median} ms, {longest} ms at most"
            );
            assert!(
                longest <= POLL_TIMEOUT_MS + POLL_SLACK_MS,
                "{nodes}: {longest}"
            );
        }
    }
}

/// A process that receives nothing still polls, so the primary considers it alive whatever its monitors report.
#[test]
fn a_process_that_polls_is_never_declared_dead() {
    for (nodes, _) in SIZES {
        let mut cluster = Cluster::new(1, nodes);
        cluster.run_for(1_000);
        cluster.faults.insert(3, Fault::Deaf);
        assert_eq!(cluster.time_to_detection(3, 10_000), None);
    }
}

#[test]
fn no_process_is_declared_dead_under_message_loss_or_a_cpu_quota() {
    for (nodes, seeds) in FALSE_POSITIVE_SIZES {
        for (quota_ms, loss) in [(None, 10), (Some(6), 0), (Some(6), 10)] {
            for seed in 0..seeds {
                let mut cluster = Cluster::new(seed, nodes);
                cluster.quota_ms = quota_ms;
                cluster.loss_percent = loss;
                for _ in 0..100 {
                    cluster.run_for(300);
                    assert_eq!(
                        cluster.failure_detector.dead(cluster.now),
                        [],
                        "quota {quota_ms:?}, loss {loss}, seed {seed}"
                    );
                }
            }
        }
    }
}

/// One broken link does not cause a detection: the other monitors send probes.
#[test]
fn a_broken_link_between_two_processes_declares_neither_dead() {
    for (nodes, _) in SIZES {
        let all: Vec<NodeNumber> = (0..nodes).collect();
        let mut cluster = Cluster::new(2, nodes);
        let monitor = monitors_of(0, &all, 3)[0];
        cluster.blocked_links.extend([(monitor, 0), (0, monitor)]);
        for _ in 0..100 {
            cluster.run_for(100);
            assert_eq!(cluster.failure_detector.dead(cluster.now), []);
        }
    }
}

#[test]
fn a_frozen_process_suspects_nobody_when_it_resumes_and_is_alive_again() {
    let mut cluster = Cluster::new(5, 12);
    cluster.run_for(1_500);
    let until = cluster.now + 4_000;
    cluster.faults.insert(2, Fault::FreezeUntil(until));
    assert!(cluster.time_to_detection(2, 2_000).is_some());
    cluster.run_for(4_000);
    cluster.faults.clear();
    for _ in 0..200 {
        cluster.run_for(10);
        let dead = cluster.failure_detector.dead(cluster.now);
        assert!(dead.iter().all(|node| *node == 2), "{dead:?}");
    }
    assert_eq!(cluster.failure_detector.dead(cluster.now), []);
}

#[test]
fn joining_and_leaving_processes_are_monitored_by_the_new_membership() {
    let mut cluster = Cluster::new(9, 12);
    cluster.run_for(1_000);
    let membership: Vec<NodeNumber> = (1..14).collect();
    cluster.set_nodes(&membership);
    cluster.run_for(2_000);
    assert_eq!(cluster.failure_detector.dead(cluster.now), []);
    cluster.faults.insert(13, Fault::Crash);
    let took = cluster
        .time_to_detection(13, POLL_TIMEOUT_MS)
        .expect("a new process is monitored");
    assert!(took <= 1_300, "{took}");
}

/// A process that freezes again and again is not dead for longer than the poll interval after it resumes.
#[test]
fn a_flapping_process_is_alive_whenever_it_polls() {
    let mut cluster = Cluster::new(11, 12);
    cluster.run_for(1_000);
    for _ in 0..8 {
        let until = cluster.now + 1_500;
        cluster.faults.insert(4, Fault::FreezeUntil(until));
        cluster.run_for(1_500);
        cluster.faults.clear();
        cluster.run_for(POLL_SLACK_MS);
        assert_eq!(cluster.failure_detector.dead(cluster.now), []);
    }
}

#[test]
fn the_bytes_sent_by_a_process_do_not_grow_with_the_number_of_processes() {
    const SECONDS: u64 = 20;
    for (nodes, _) in SIZES {
        let mut cluster = Cluster::new(3, nodes);
        cluster.run_for(SECONDS * 1_000);
        let mut bytes: Vec<u64> = cluster
            .sent_bytes
            .values()
            .map(|bytes| bytes / SECONDS)
            .collect();
        bytes.sort_unstable();
        let (median, max) = (bytes[bytes.len() / 2], bytes[bytes.len() - 1]);
        println!("{nodes} processes: {median} bytes a second, {max} at most");
        assert!(max < 1_200, "{nodes}: {max}");
    }
}

/// Only the subjects of the removed process get another monitor.
#[test]
fn removing_a_process_changes_only_its_own_monitor_assignments() {
    let all: Vec<NodeNumber> = (0..65).collect();
    let without: Vec<NodeNumber> = (0..64).collect();
    for subject in 0..64 {
        let before: BTreeSet<NodeNumber> = monitors_of(subject, &all, 3).into_iter().collect();
        let after: BTreeSet<NodeNumber> = monitors_of(subject, &without, 3).into_iter().collect();
        let moved = before.difference(&after).count();
        assert_eq!(moved, usize::from(before.contains(&64)));
    }
}

#[test]
fn each_process_has_its_monitors_and_none_monitors_itself() {
    for nodes in [1u32, 2, 3, 4, 12, 65] {
        let all: Vec<NodeNumber> = (0..nodes).collect();
        let assignments: usize = all
            .iter()
            .map(|node| subjects_of(*node, &all, 3).len())
            .sum();
        assert_eq!(assignments, all.len() * 3.min(all.len() - 1));
        for node in &all {
            let subjects = all
                .iter()
                .filter(|subject| monitors_of(**subject, &all, 3).contains(node));
            assert_eq!(
                subjects_of(*node, &all, 3),
                subjects.copied().collect::<Vec<_>>()
            );
        }
        assert!(all
            .iter()
            .all(|node| !subjects_of(*node, &all, 3).contains(node)));
    }
}

#[test]
fn delayed_duplicated_and_foreign_reports_have_no_effect() {
    let suspects = |sequence, suspected: &[NodeNumber]| Report {
        sequence,
        suspected: suspected.iter().copied().collect(),
    };
    let mut failure_detector = FailureDetector::new(Thresholds::default());
    (0..4).for_each(|node| failure_detector.on_poll(0, node, &Report::default()));
    failure_detector.on_poll(1_000, 0, &suspects(5, &[3]));
    failure_detector.on_poll(1_000, 1, &suspects(2, &[]));
    failure_detector.on_poll(1_000, 2, &suspects(1, &[]));
    // A repeated report counts once, a delayed one is ignored, one about an unknown process has no effect.
    failure_detector.on_poll(1_001, 0, &suspects(5, &[3]));
    failure_detector.on_poll(1_001, 1, &suspects(1, &[3]));
    failure_detector.on_poll(1_001, 2, &suspects(2, &[77]));
    assert_eq!(failure_detector.dead(1_100), []);
    failure_detector.on_poll(1_100, 1, &suspects(3, &[3]));
    assert_eq!(failure_detector.dead(1_100), [3]);
    // A poll of the process ends its death; reports of a reporter that no longer polls do not count.
    failure_detector.on_poll(1_200, 3, &Report::default());
    assert_eq!(failure_detector.dead(1_300), []);
    failure_detector.on_poll(2_400, 2, &suspects(3, &[]));
    assert_eq!(failure_detector.dead(2_400), []);
}

/// Arbitrary messages.
fn message() -> impl Strategy<Value = Message> {
    let numbers = (0u64..40, 0u32..20);
    prop_oneof![
        numbers
            .clone()
            .prop_map(|(number, requester)| Message::Probe { number, requester }),
        numbers
            .clone()
            .prop_map(|(number, requester)| Message::Answer { number, requester }),
        numbers.prop_map(|(number, subject)| Message::IndirectProbe { subject, number }),
    ]
}

proptest! {
    /// For any sequence of messages, a monitor sends at most one message in reply to each and suspects only its
    /// subjects.
    #[test]
    fn arbitrary_messages_are_handled_safely(messages in prop::collection::vec((0u32..20, message(), 0u64..200), 0..200)) {
        let all: Vec<NodeNumber> = (0..12).collect();
        let mut monitor = Monitor::new(0, Timings::default());
        monitor.set_nodes(0, &all);
        let subjects = subjects_of(0, &all, 3);
        let mut now = 0;
        for (from, message, pause) in messages {
            now += pause;
            let mut sends = Vec::new();
            monitor.on_message(now, from, message, &mut sends);
            prop_assert!(sends.len() <= 1);
            monitor.on_timer(now, &mut sends);
            prop_assert!(monitor.report().suspected.iter().all(|node| subjects.contains(node)));
        }
    }
}
