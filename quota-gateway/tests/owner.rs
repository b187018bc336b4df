//! Leader election between several gateway processes, with a relay on every directed link and with client traffic.
//!
//! The tests judge the recorded answers of each process to the call `owner`: order and safety exactly, times with wide
//! margins, so that the tests also pass on a busy machine.

mod stage;

use fault_lab::check::Summary;
use fault_lab::record::{Entry, Event, Life, Owner};
use fault_lab::scripted::{closed_port, config, list, target, unused_port, Front, Peer, Program};
use gateway_cluster::leadership::configuration::PeerConfiguration;
use gateway_cluster::leadership::longer;
use gateway_cluster::leadership::wire::{Datagram, Kind};
use gateway_cluster::peers::peer_id_of;
use rustix::process::Signal;
use serde_json::{json, Value};
use stage::{assert_checks_pass, run_scenario, SMALL};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};
const SECOND_US: u64 = 1_000_000;
/// Uncertainty of the record's times, in microseconds: a signal is recorded just after it was sent.
const RECORD_UNCERTAINTY_US: u64 = 10_000;

/// An answer to the call `owner`. It was valid at some instant between the call and the receipt of the answer.
struct Observation<'a> {
    gateway: usize,
    asked_us: u64,
    answered_us: u64,
    answer: &'a Owner,
}

/// The index of a gateway and the epoch in which it leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Leader {
    gateway: usize,
    epoch: u64,
}

/// A fault lab run with leader election, and the lease duration in microseconds.
struct ElectionRun {
    summary: Summary,
    entries: Vec<Entry>,
    lease_us: u64,
}

/// Runs this number of gateways with leader election and asserts that the safety checks pass under these faults.
fn run_election(
    name: &str,
    gateways: usize,
    lease_ms: u64,
    seconds: u32,
    faults: &str,
) -> ElectionRun {
    let text = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    let text = text.replace(
        "doors = 4",
        &format!("doors = {gateways}\nlease_ms = {lease_ms}"),
    );
    let (summary, entries) = run_scenario(name, &(text + faults));
    let run = ElectionRun {
        summary,
        entries,
        lease_us: lease_ms * 1000,
    };
    for finding in &run.summary.findings {
        let safety_checks = ["one_owner", "fenced", "crashes", "lost", "duplicates"];
        assert!(
            finding.broken == 0 || !safety_checks.contains(&finding.check.as_str()),
            "{finding:?}"
        );
    }
    for observation in run.observations(0, u64::MAX) {
        assert_consistent(observation.answer, run.lease_us);
    }
    run
}

/// Checks that one answer is consistent in itself.
fn assert_consistent(answer: &Owner, lease_us: u64) {
    assert_eq!(
        answer.mine,
        answer.owner.as_ref() == Some(&answer.name),
        "{answer:?}"
    );
    assert!(answer.owner.is_some() || answer.left_ms == 0, "{answer:?}");
    assert!(
        answer.left_ms * 1000 <= lease_us && answer.quiet_ms * 1000 <= longer(lease_us) + 1000,
        "{answer:?}"
    );
    assert!(
        !answer.mine || answer.quiet_ms == 0,
        "a gateway in its quiet time cannot be the leader: {answer:?}"
    );
}

impl ElectionRun {
    /// The answers that were requested and received between these times.
    fn observations(&self, from: u64, to: u64) -> Vec<Observation<'_>> {
        let all = self.entries.iter().filter_map(|entry| match &entry.event {
            Event::Owner {
                door: gateway,
                asked_us,
                answered_us,
                answer,
            } => Some(Observation {
                gateway: *gateway,
                asked_us: *asked_us,
                answered_us: *answered_us,
                answer,
            }),
            _ => None,
        });
        all.filter(|observation| observation.asked_us >= from && observation.answered_us <= to)
            .collect()
    }

    /// Start and end times of the faults, in order.
    fn fault_times(&self) -> Vec<u64> {
        let fault = |entry: &&Entry| matches!(entry.event, Event::Fault { .. });
        self.entries
            .iter()
            .filter(fault)
            .map(|entry| entry.us)
            .collect()
    }

    /// The leader when the fault at this time began.
    fn leader_at(&self, fault_us: u64) -> usize {
        let text = self.entries.iter().find_map(|entry| match &entry.event {
            Event::Fault { text, .. } if entry.us == fault_us => Some(text.clone()),
            _ => None,
        });
        let text = text.expect("a recorded fault at this time");
        let number = text
            .split("(owner: d")
            .nth(1)
            .and_then(|rest| rest.strip_suffix(')'));
        number
            .and_then(|number| number.parse().ok())
            .unwrap_or_else(|| panic!("there was no leader: {text}"))
    }

    /// Times at which processes entered this state, in order.
    fn process_event_times(&self, state: Life, from: u64) -> Vec<u64> {
        let has_state =
            |entry: &&Entry| matches!(entry.event, Event::Door { life, .. } if life == state);
        self.entries
            .iter()
            .filter(has_state)
            .map(|entry| entry.us)
            .filter(|at| *at >= from)
            .collect()
    }

    /// Time of the last answer.
    fn last_answer_us(&self) -> u64 {
        self.observations(0, u64::MAX)
            .iter()
            .map(|observation| observation.answered_us)
            .max()
            .unwrap_or(0)
    }

    /// The leader on which these gateways agree in their last answers between these times.
    fn agreed_leader(&self, (from, to): (u64, u64), gateways: &[usize]) -> Leader {
        let observations = self.observations(from, to);
        let last_observation = |gateway: &usize| {
            let observation = observations
                .iter()
                .rev()
                .find(|observation| observation.gateway == *gateway);
            observation
                .unwrap_or_else(|| panic!("d{gateway} gave no answer between {from} and {to}"))
        };
        let first = last_observation(&gateways[0]).answer;
        for gateway in gateways {
            let answer = last_observation(gateway).answer;
            assert_eq!(
                (&answer.owner, answer.epoch),
                (&first.owner, first.epoch),
                "d{gateway} at {to}: {answer:?}"
            );
        }
        let leader = first
            .owner
            .as_ref()
            .unwrap_or_else(|| panic!("there is no leader at {to}: {first:?}"));
        let leader = leader.trim_start_matches('n').parse().expect("a number");
        assert!(
            last_observation(&leader).answer.mine,
            "d{leader} does not know that it is the leader: {:?}",
            last_observation(&leader).answer
        );
        Leader {
            gateway: leader,
            epoch: first.epoch,
        }
    }

    /// The time of the first answer after `from` by which a gateway leads in a later epoch than this, and the gateway.
    fn next_leader(&self, from: u64, epoch: u64) -> (u64, usize) {
        let observations = self.observations(from, u64::MAX);
        let next = observations
            .iter()
            .find(|observation| observation.answer.mine && observation.answer.epoch > epoch);
        next.map(|observation| (observation.answered_us, observation.gateway))
            .unwrap_or_else(|| panic!("no leader follows epoch {epoch}"))
    }

    /// The number of leader requests that this gateway had rejected by its last answer between these times.
    fn rejected_requests(&self, gateway: usize, from: u64, to: u64) -> u64 {
        self.observations(from, to)
            .iter()
            .rev()
            .find(|observation| observation.gateway == gateway)
            .map_or(0, |observation| observation.answer.refused)
    }

    /// Checks that there is no leader until a majority of the processes started after `from` has run for one lease duration.
    fn assert_quiet_time(&self, from: u64, gateways: usize) {
        let started = self.process_event_times(Life::Started, from);
        let quiet_until = started[gateways / 2] + self.lease_us;
        for observation in self.observations(started[0], quiet_until) {
            assert!(
                observation.answer.owner.is_none() && observation.answer.left_ms == 0,
                "d{}: {:?}",
                observation.gateway,
                observation.answer
            );
        }
    }
}

/// The indexes of this many gateways.
fn all_gateways(gateways: usize) -> Vec<usize> {
    (0..gateways).collect()
}

/// The indexes of this many gateways without those in `excluded`.
fn all_except(gateways: usize, excluded: &[usize]) -> Vec<usize> {
    (0..gateways)
        .filter(|gateway| !excluded.contains(gateway))
        .collect()
}

#[test]
fn a_new_cluster_elects_a_leader_only_after_the_quiet_time() {
    let run = run_election("owner-start", 5, 1500, 6, "");
    assert!(assert_checks_pass(&run.summary, "one_owner").cases > 100);
    run.assert_quiet_time(0, 5);
    let epoch = run
        .agreed_leader(
            (run.last_answer_us() - SECOND_US, u64::MAX),
            &all_gateways(5),
        )
        .epoch;
    for gateway in 0..5 {
        let observations: Vec<Observation> = run
            .observations(0, u64::MAX)
            .into_iter()
            .filter(|observation| observation.gateway == gateway)
            .collect();
        assert!(
            observations
                .iter()
                .any(|observation| observation.answer.quiet_ms > 0),
            "no answer of d{gateway} in its quiet time"
        );
        for (previous, next) in observations.iter().zip(observations.iter().skip(1)) {
            // The remaining quiet time decreases with time.
            let passed = next.asked_us.saturating_sub(previous.answered_us) / 1000;
            let max_quiet_ms = (previous.answer.quiet_ms + 1).saturating_sub(passed);
            assert!(
                next.answer.quiet_ms <= max_quiet_ms,
                "d{gateway}: {:?}, {passed} ms later {:?}",
                previous.answer,
                next.answer
            );
        }
        assert!(
            observations
                .iter()
                .all(|observation| observation.answer.owner.is_none()
                    || observation.answer.epoch == epoch),
            "one epoch"
        );
    }
}

/// Kills the leader, and checks that another follows and that the restarted process does not replace it.
fn assert_failover_after_kill(name: &str, gateways: usize) {
    let run = run_election(
        name,
        gateways,
        1000,
        14,
        "[[kill]]\nat_ms = 4000\ndoors = \"owner\"\nback_ms = 5000\n",
    );
    let [killed, restarted] = run.fault_times()[..] else {
        panic!("expected the start and end of one fault")
    };
    let killed_leader = run.leader_at(killed);
    let Leader {
        gateway: leader_before,
        epoch,
    } = run.agreed_leader((killed - SECOND_US, killed), &all_gateways(gateways));
    assert_eq!(leader_before, killed_leader);
    let next = run.agreed_leader(
        (restarted - SECOND_US, restarted),
        &all_except(gateways, &[killed_leader]),
    );
    assert!(
        next.gateway != killed_leader && next.epoch > epoch,
        "{next:?} after {leader_before} in {epoch}"
    );
    assert_eq!(run.next_leader(killed, epoch).1, next.gateway);
    assert_eq!(
        run.agreed_leader(
            (run.last_answer_us() - SECOND_US, u64::MAX),
            &all_gateways(gateways)
        ),
        next,
        "a restarted gateway replaces no leader"
    );
    let unexpected = run
        .observations(restarted, u64::MAX)
        .into_iter()
        .find(|observation| observation.answer.mine && observation.gateway != next.gateway);
    assert!(
        unexpected.is_none(),
        "{:?}",
        unexpected.map(|observation| observation.answer)
    );
}

#[test]
fn a_killed_leader_is_replaced_and_does_not_regain_leadership_at_its_restart() {
    assert_failover_after_kill("owner-kill", 7);
}

#[test]
fn a_killed_leader_of_twelve_gateways_is_replaced() {
    assert_failover_after_kill("owner-kill-12", 12);
}

#[test]
fn a_leader_stopped_for_longer_than_its_lease_is_replaced_and_a_shorter_stop_changes_nothing() {
    let faults = "[[stop]]\nat_ms = 5000\ndoors = \"owner\"\nfor_ms = 10000\n\
                  [[stop]]\nat_ms = 19000\ndoors = \"owner\"\nfor_ms = 600\n";
    let run = run_election("owner-stop", 5, 2000, 23, faults);
    let [stopped, resumed, stopped_again, resumed_again] = run.fault_times()[..] else {
        panic!("expected the starts and ends of two faults")
    };
    let old_leader = run.leader_at(stopped);
    let epoch = run
        .agreed_leader((stopped - SECOND_US, stopped), &all_gateways(5))
        .epoch;
    let next = run.agreed_leader(
        (resumed - SECOND_US, resumed),
        &all_except(5, &[old_leader]),
    );
    assert!(next.gateway != old_leader && next.epoch > epoch);
    // The call was sent while the process was stopped, so this is its first answer after it resumed.
    let first_observation = run
        .observations(stopped + RECORD_UNCERTAINTY_US, u64::MAX)
        .into_iter()
        .find(|observation| observation.gateway == old_leader);
    let first_observation = first_observation.expect("an answer of the resumed process");
    assert!(first_observation.answered_us >= resumed - RECORD_UNCERTAINTY_US);
    let answer = first_observation.answer;
    assert!(
        !answer.mine && (answer.owner.is_some() || answer.left_ms == 0),
        "{answer:?}"
    );
    // Requests of the next leader lay in its socket until their lease was over.
    let rejected = [
        run.rejected_requests(old_leader, 0, stopped),
        run.rejected_requests(old_leader, resumed, stopped_again),
    ];
    assert!(rejected[1] > rejected[0], "{rejected:?}");
    assert_eq!(
        run.agreed_leader((stopped_again - SECOND_US, stopped_again), &all_gateways(5)),
        next
    );
    assert_eq!(run.leader_at(stopped_again), next.gateway);
    assert_eq!(
        run.agreed_leader((resumed_again + SECOND_US, u64::MAX), &all_gateways(5)),
        next,
        "a pause shorter than the lease changes nothing"
    );
}

#[test]
fn a_leader_in_a_minority_partition_is_replaced_by_the_majority() {
    let faults =
        "[[link]]\nat_ms = 4000\nfor_ms = 7000\nfrom = \"owner, d1, d2\"\nto = \"others\"\ncut = true\n";
    let run = run_election("owner-minority", 7, 1000, 16, faults);
    let [cut, healed] = run.fault_times()[..] else {
        panic!("expected the start and end of one fault")
    };
    let old_leader = run.leader_at(cut);
    let epoch = run
        .agreed_leader((cut - SECOND_US, cut), &all_gateways(7))
        .epoch;
    let minority = [old_leader, 1, 2];
    let next = run.agreed_leader((healed - SECOND_US, healed), &all_except(7, &minority));
    assert!(next.epoch > epoch && !minority.contains(&next.gateway));
    for observation in run.observations(cut + run.lease_us + RECORD_UNCERTAINTY_US, healed) {
        assert!(
            !minority.contains(&observation.gateway) || observation.answer.owner.is_none(),
            "d{}: {:?}",
            observation.gateway,
            observation.answer
        );
    }
    assert_eq!(
        run.agreed_leader(
            (run.last_answer_us() - SECOND_US, u64::MAX),
            &all_gateways(7)
        ),
        next,
        "the leader is not replaced"
    );
}

#[test]
fn a_leader_with_one_way_links_is_replaced() {
    // The leader sends and receives nothing; later the next leader receives and its datagrams are lost.
    let faults = "[[link]]\nat_ms = 4000\nfor_ms = 5000\nfrom = \"others\"\nto = \"owner\"\nboth = false\ncut = true\n\
                  [[link]]\nat_ms = 13000\nfor_ms = 5000\nfrom = \"owner\"\nto = \"others\"\nboth = false\ncut = true\n";
    let run = run_election("owner-one-way", 5, 1000, 22, faults);
    let [receive_cut, receive_healed, send_cut, send_healed] = run.fault_times()[..] else {
        panic!("expected the starts and ends of two faults")
    };
    for (cut, healed, until) in [
        (receive_cut, receive_healed, send_cut),
        (send_cut, send_healed, u64::MAX),
    ] {
        let old_leader = run.leader_at(cut);
        let epoch = run
            .agreed_leader((cut - SECOND_US, cut), &all_gateways(5))
            .epoch;
        let next = run.agreed_leader((healed - SECOND_US, healed), &all_except(5, &[old_leader]));
        assert!(
            next.gateway != old_leader && next.epoch > epoch,
            "{next:?} after d{old_leader} in {epoch}"
        );
        let until = until.min(run.last_answer_us());
        assert_eq!(
            run.agreed_leader((until - SECOND_US, until), &all_gateways(5)),
            next,
            "the leader is not replaced"
        );
    }
}

#[test]
fn two_halves_connected_by_one_gateway_have_one_leader() {
    let faults =
        "[[link]]\nat_ms = 4000\nfor_ms = 8000\nfrom = \"d0, d1, d2\"\nto = \"d4, d5, d6\"\ncut = true\n";
    let run = run_election("owner-bridge", 7, 1000, 17, faults);
    let [_, healed] = run.fault_times()[..] else {
        panic!("expected the start and end of one fault")
    };
    // d3 reaches all, and each half with it is a majority.
    let observations = run.observations(healed - 2 * SECOND_US, healed);
    assert!(
        observations
            .iter()
            .any(|observation| observation.answer.mine),
        "there is a leader"
    );
    assert!(
        observations
            .iter()
            .any(|observation| observation.gateway == 3 && observation.answer.owner.is_some()),
        "d3 knows the leader"
    );
    run.agreed_leader(
        (run.last_answer_us() - SECOND_US, u64::MAX),
        &all_gateways(7),
    );
}

#[test]
fn claims_delayed_by_a_lease_are_rejected_and_not_followed() {
    // First the leader's datagrams are delayed by more than a lease, half of them duplicated; then the round trip is.
    let faults =
        "[[link]]\nat_ms = 4000\nfor_ms = 6000\nfrom = \"owner\"\nto = \"others\"\nboth = false\ndelay_ms = 1500\ndouble = 0.5\n\
         [[link]]\nat_ms = 14000\nfor_ms = 6000\nfrom = \"owner\"\nto = \"others\"\ndelay_ms = 800\ndouble = 0.5\n";
    let run = run_election("owner-slow", 5, 1000, 24, faults);
    let [delayed, healed, delayed_again, healed_again] = run.fault_times()[..] else {
        panic!("expected the starts and ends of two faults")
    };
    for (delayed, healed) in [(delayed, healed), (delayed_again, healed_again)] {
        let old_leader = run.leader_at(delayed);
        let epoch = run
            .agreed_leader((delayed - SECOND_US, delayed), &all_gateways(5))
            .epoch;
        for observation in run.observations(delayed + run.lease_us + 100_000, healed) {
            let follows = observation.answer.epoch == epoch && observation.answer.owner.is_some();
            assert!(
                !follows,
                "d{} follows d{old_leader} in {epoch}: {:?}",
                observation.gateway, observation.answer
            );
        }
        let next = run.agreed_leader((healed - SECOND_US, healed), &all_except(5, &[old_leader]));
        assert!(next.gateway != old_leader && next.epoch > epoch);
    }
    let old_leader = run.leader_at(delayed);
    for gateway in all_except(5, &[old_leader]) {
        let rejected = [
            run.rejected_requests(gateway, 0, delayed),
            run.rejected_requests(gateway, delayed, healed),
        ];
        assert!(rejected[1] > rejected[0], "d{gateway}: {rejected:?}");
    }
    run.agreed_leader(
        (run.last_answer_us() - SECOND_US, u64::MAX),
        &all_gateways(5),
    );
}

#[test]
fn claims_received_after_lease_expiry_are_rejected_even_without_a_later_epoch() {
    // All links are cut, except that the leader's datagrams arrive, delayed by more than a lease.
    let faults =
        "[[link]]\nat_ms = 4000\nfor_ms = 5000\nfrom = \"doors\"\nto = \"doors\"\ncut = true\n\
         [[link]]\nat_ms = 4020\nfor_ms = 4900\nfrom = \"owner\"\nto = \"others\"\nboth = false\ndelay_ms = 1500\ndouble = 0.5\n";
    let run = run_election("owner-late", 5, 1000, 13, faults);
    let [cut, delayed, healed, _] = run.fault_times()[..] else {
        panic!("expected the starts and ends of two faults")
    };
    let old_leader = run.leader_at(delayed);
    let epoch = run
        .agreed_leader((cut - SECOND_US, cut), &all_gateways(5))
        .epoch;
    for observation in run.observations(delayed + run.lease_us + 100_000, healed) {
        assert!(
            observation.answer.owner.is_none() && observation.answer.epoch == epoch,
            "d{}: {:?}",
            observation.gateway,
            observation.answer
        );
    }
    for gateway in all_except(5, &[old_leader]) {
        let rejected = [
            run.rejected_requests(gateway, 0, cut),
            run.rejected_requests(gateway, delayed, healed),
        ];
        assert!(rejected[1] > rejected[0], "d{gateway}: {rejected:?}");
    }
    run.agreed_leader(
        (run.last_answer_us() - SECOND_US, u64::MAX),
        &all_gateways(5),
    );
}

#[test]
fn a_lease_starts_at_the_vote_request_however_late_the_vote_arrives() {
    // Votes reach the leader delayed by half a lease; then all its vote requests are lost.
    let faults =
        "[[link]]\nat_ms = 4000\nfor_ms = 9000\nfrom = \"others\"\nto = \"owner\"\nboth = false\ndelay_ms = 1000\n\
         [[link]]\nat_ms = 8000\nfor_ms = 5000\nfrom = \"owner\"\nto = \"others\"\nboth = false\ncut = true\n";
    let run = run_election("owner-late-answers", 5, 2000, 16, faults);
    let [delayed, cut, healed, _] = run.fault_times()[..] else {
        panic!("expected the starts and ends of two faults")
    };
    let old_leader = run.leader_at(delayed);
    let epoch = run
        .agreed_leader((delayed - SECOND_US, delayed), &all_gateways(5))
        .epoch;
    assert_eq!(run.leader_at(cut), old_leader);
    let before = run.observations(cut - SECOND_US, cut);
    assert!(
        before
            .iter()
            .any(|observation| observation.answer.mine && observation.answer.epoch == epoch),
        "the leader renews its lease although votes arrive late"
    );
    let (_, next) = run.next_leader(cut, epoch);
    assert_ne!(next, old_leader);
    run.agreed_leader((healed - SECOND_US, healed), &all_except(5, &[old_leader]));
}

#[test]
fn a_leader_that_shuts_down_releases_its_lease_before_expiry() {
    let run = run_election(
        "owner-ends",
        5,
        4000,
        11,
        "[[restart]]\nat_ms = 8000\ndoors = \"owner\"\nevery_ms = 1000\n",
    );
    let terminated = run.fault_times()[0];
    let old_leader = run.leader_at(terminated);
    let epoch = run
        .agreed_leader((terminated - SECOND_US, terminated), &all_gateways(5))
        .epoch;
    let (at, next) = run.next_leader(terminated, epoch);
    assert_ne!(next, old_leader);
    // The lease is renewed four times in its duration: without a release it would last for three quarters of it more.
    assert!(
        at - terminated < 2 * SECOND_US,
        "{} ms",
        (at - terminated) / 1000
    );
    let later = run.agreed_leader(
        (run.last_answer_us() - SECOND_US, u64::MAX),
        &all_except(5, &[old_leader]),
    );
    assert!(later.gateway == next && later.epoch > epoch);
}

#[test]
fn a_rolling_restart_faster_than_the_quiet_time_ends_with_one_leader() {
    let faults = "[[restart]]\nat_ms = 5000\ndoors = \"doors\"\nat_once = 1\nevery_ms = 1000\n";
    let run = run_election("owner-rolling", 5, 2000, 20, faults);
    let begun = run.fault_times()[0];
    let epoch = run
        .agreed_leader((begun - SECOND_US, begun), &all_gateways(5))
        .epoch;
    assert_eq!(run.process_event_times(Life::Started, begun).len(), 5);
    let later = run
        .agreed_leader(
            (run.last_answer_us() - SECOND_US, u64::MAX),
            &all_gateways(5),
        )
        .epoch;
    assert!(
        later > epoch,
        "all processes of epoch {epoch} have ended: {later}"
    );
}

#[test]
fn a_cluster_killed_at_once_has_no_leader_for_a_lease_and_then_one() {
    let faults = "[[kill]]\nat_ms = 4000\ndoors = \"doors\"\nback_ms = 700\n";
    let run = run_election("owner-all-killed", 5, 1500, 12, faults);
    let [killed, restarted] = run.fault_times()[..] else {
        panic!("expected the start and end of one fault")
    };
    let epoch = run
        .agreed_leader((killed - SECOND_US, killed), &all_gateways(5))
        .epoch;
    run.assert_quiet_time(restarted - RECORD_UNCERTAINTY_US, 5);
    let later = run
        .agreed_leader(
            (run.last_answer_us() - SECOND_US, u64::MAX),
            &all_gateways(5),
        )
        .epoch;
    assert!(later > epoch, "{later} after {epoch}");
}

/// Faults that replace the peer set of these gateways by `members`, one gateway after the other.
fn peer_set_change(at_ms: u64, gateways: &[usize], members: &str) -> String {
    let fault = |(n, gateway): (u64, &usize)| {
        let at_ms = at_ms + 300 * n;
        format!("[[roster]]\nat_ms = {at_ms}\ndoors = \"d{gateway}\"\nmembers = \"{members}\"\n")
    };
    (0..).zip(gateways).map(fault).collect()
}

#[test]
fn a_changed_peer_set_elects_one_member_as_leader_even_after_the_leader_was_removed() {
    let (low, high) = ([0, 1, 2], [3, 4, 5]);
    let faults = peer_set_change(4000, &low, "d0, d1, d2")
        + &peer_set_change(10_000, &low, "doors")
        + &peer_set_change(16_000, &high, "d3, d4, d5")
        + &peer_set_change(22_000, &high, "doors");
    let run = run_election("owner-roster", 6, 1000, 28, &faults);
    let fault_times = run.fault_times();
    let [low_shrunk, low_grown, high_shrunk, high_grown] = [0, 3, 6, 9].map(|n| fault_times[n]);
    let mut epochs = vec![
        run.agreed_leader((low_shrunk - SECOND_US, low_shrunk), &all_gateways(6))
            .epoch,
    ];
    for (gateways, until) in [(&low, low_grown), (&high, high_grown)] {
        // The removed gateways keep their old peer set and go on as candidates.
        let Leader {
            gateway: leader,
            epoch,
        } = run.agreed_leader((until - SECOND_US, until), gateways);
        assert!(
            gateways.contains(&leader),
            "d{leader} is not in the peer set"
        );
        epochs.push(epoch);
    }
    let leader = run
        .agreed_leader((high_shrunk - SECOND_US, high_shrunk), &all_gateways(6))
        .gateway;
    assert!(
        leader < 3,
        "added gateways do not replace the leader: d{leader}"
    );
    epochs.push(
        run.agreed_leader(
            (run.last_answer_us() - SECOND_US, u64::MAX),
            &all_gateways(6),
        )
        .epoch,
    );
    assert!(epochs.is_sorted() && epochs[2] > epochs[1], "{epochs:?}");
}

/// Configurations of this number of gateways in one peer set.
fn configurations(count: usize, lease_ms: u64) -> Vec<Value> {
    let port = |config: &Value| {
        let at: SocketAddr = config["listen"]
            .as_str()
            .expect("text")
            .parse()
            .expect("an address");
        SocketAddr::from((at.ip(), unused_port())).to_string()
    };
    // A backend that accepts connections: without one a process takes over from no predecessor.
    let backend = target("s-00000000", Peer::start().address, "ready");
    let known = || list(std::slice::from_ref(&backend));
    let mut configs: Vec<Value> = (0..count).map(|_| config(closed_port(), known())).collect();
    let ports: Vec<String> = configs.iter().map(port).collect();
    for (n, config) in configs.iter_mut().enumerate() {
        config["name"] = json!(format!("n{n}"));
        let others = (0..count).filter(|other| *other != n);
        let peers: Vec<Value> = others
            .map(|n| json!({"name": format!("n{n}"), "address": ports[n]}))
            .collect();
        config["fleet"] =
            json!({"listen": ports[n], "peers": peers, "probe_ms": 200, "lease_ms": lease_ms});
    }
    configs
}

/// The answer to the call `owner`; `None` for an error.
fn leader_answer(gateway: &Front) -> Option<Owner> {
    serde_json::from_str(gateway.call("owner").lines().next()?).ok()
}

/// The processes that claimed leadership, each with its epoch, in order.
#[derive(Default)]
struct ObservedLeaders(Vec<(String, u64)>);

impl ObservedLeaders {
    /// Calls `owner` at each of these processes, one after the other, and returns the answers.
    fn ask(&mut self, gateways: &[(&str, &Front)]) -> Vec<Owner> {
        let mut answers = Vec::new();
        for (process, gateway) in gateways {
            let Some(answer) = leader_answer(gateway) else {
                continue;
            };
            let own = (process.to_string(), answer.epoch);
            if answer.mine && self.0.last() != Some(&own) {
                // An epoch claimed again after another would mean two leaders at one instant.
                assert!(
                    self.0.last().is_none_or(|(_, last)| *last < answer.epoch),
                    "{own:?} after {:?}",
                    self.0
                );
                self.0.push(own);
            }
            answers.push(answer);
        }
        answers
    }

    /// Calls `owner` until all of these processes know the same leader, which is one of them. Returns its index and epoch.
    fn until_agreed(&mut self, gateways: &[(&str, &Front)]) -> (usize, u64) {
        let begin = Instant::now();
        loop {
            let answers = self.ask(gateways);
            let first = answers
                .first()
                .map(|answer| (answer.owner.clone(), answer.epoch));
            let same = answers
                .iter()
                .all(|answer| Some((answer.owner.clone(), answer.epoch)) == first);
            if let (true, Some(index)) = (same, answers.iter().position(|answer| answer.mine)) {
                if answers.len() == gateways.len() {
                    return (index, answers[index].epoch);
                }
            }
            assert!(
                begin.elapsed() < Duration::from_secs(40),
                "no agreement on a leader: {answers:?}"
            );
            sleep(Duration::from_millis(10));
        }
    }
}

#[test]
fn at_most_one_process_of_a_gateway_leads_during_a_takeover() {
    let gateways: Vec<Front> = configurations(3, 1000)
        .iter()
        .map(|config| PROGRAM.start(config))
        .collect();
    let mut leaders = ObservedLeaders::default();
    let named_gateways: Vec<(&str, &Front)> =
        ["n0", "n1", "n2"].into_iter().zip(&gateways).collect();
    let (index, epoch) = leaders.until_agreed(&named_gateways);
    // A process ends with the thread that started it, so another thread makes the calls meanwhile.
    let taken_over = AtomicBool::new(false);
    let successor = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !taken_over.load(Ordering::Relaxed) {
                leaders.ask(&named_gateways);
            }
        });
        let successor = gateways[index].successor();
        taken_over.store(true, Ordering::Relaxed);
        successor
    });
    let (mut all, mut running) = (named_gateways.clone(), named_gateways.clone());
    all.push(("successor", &successor));
    running[index] = ("successor", &successor);
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(3) {
        leaders.ask(&all);
        sleep(Duration::from_millis(5));
    }
    let (_, later) = leaders.until_agreed(&running);
    assert!(
        later > epoch,
        "leadership passed to the successor process or to another gateway: {:?}",
        leaders.0
    );
    gateways[index].terminate();
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        leaders.ask(&running);
        sleep(Duration::from_millis(5));
    }
    assert_eq!(
        leaders.until_agreed(&running).1,
        later,
        "the first process has no lease left to release"
    );
}

#[test]
fn a_call_queued_while_the_leader_was_stopped_is_answered_with_the_current_time() {
    let gateways: Vec<Front> = configurations(3, 1000)
        .iter()
        .map(|config| PROGRAM.start(config))
        .collect();
    let named_gateways: Vec<(&str, &Front)> =
        ["n0", "n1", "n2"].into_iter().zip(&gateways).collect();
    let (index, epoch) = ObservedLeaders::default().until_agreed(&named_gateways);
    let old_leader = &gateways[index];
    // The connections are accepted before the process is stopped; it reads the calls before timers and datagrams.
    let mut callers: Vec<TcpStream> = (0..8)
        .map(|_| {
            TcpStream::connect(old_leader.admin).expect("the admin listener accepts the connection")
        })
        .collect();
    assert!(
        leader_answer(old_leader).is_some_and(|answer| answer.mine),
        "the connections opened before this call are accepted"
    );
    old_leader.signal(Signal::STOP);
    for caller in &mut callers {
        caller
            .write_all(b"owner\n")
            .expect("the kernel buffers the call");
    }
    sleep(Duration::from_secs(4));
    old_leader.signal(Signal::CONT);
    for mut caller in callers {
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer");
        let answer: Owner = serde_json::from_str(answer.lines().next().expect("a line"))
            .expect("an answer to owner");
        assert!(
            !answer.mine && (answer.owner.is_some() || answer.left_ms == 0),
            "{answer:?}"
        );
    }
    let (_, later) = ObservedLeaders::default().until_agreed(&named_gateways);
    assert!(later > epoch, "another leader was elected meanwhile");
}

/// Starts a gateway with its log in a file, and returns the path of that file.
fn start_with_log(name: &str, config: &Value) -> (Front, std::path::PathBuf) {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.log"));
    let file = File::create(&path).expect("the log file is created");
    (PROGRAM.start_with(config, file.into()), path)
}

const LEASE_MISMATCH_ADVICE: &str = "set one fleet.lease_ms at every gateway, and start them again";

#[test]
fn a_gateway_with_a_different_lease_does_not_vote_and_the_logs_give_the_remedy() {
    let mut configs = configurations(3, 1000);
    configs[2]["fleet"]["lease_ms"] = json!(1500);
    let mut gateways: Vec<(Front, std::path::PathBuf)> = configs
        .iter()
        .enumerate()
        .map(|(n, config)| start_with_log(&format!("owner-lease-{n}"), config))
        .collect();
    let named_gateways: Vec<(&str, &Front)> = ["n0", "n1", "n2"]
        .into_iter()
        .zip(gateways.iter().map(|(gateway, _)| gateway))
        .collect();
    let mut leaders = ObservedLeaders::default();
    let (index, _) = leaders.until_agreed(&named_gateways);
    assert!(index < 2, "only n0 and n1 vote for each other");
    // Without one of the two, the other has no majority, as n2 does not vote for it.
    drop(gateways.remove(1 - index));
    let remaining = [("the leader", &gateways[0].0), ("n2", &gateways[1].0)];
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(3) {
        let answers: Vec<Owner> = remaining
            .iter()
            .filter_map(|(_, gateway)| leader_answer(gateway))
            .collect();
        assert!(
            begin.elapsed() < Duration::from_millis(1200)
                || answers.iter().all(|answer| !answer.mine),
            "{answers:?}"
        );
        sleep(Duration::from_millis(20));
    }
    for (_, log) in &gateways {
        let log = std::fs::read_to_string(log).expect("the log file is readable");
        assert!(log.contains(LEASE_MISMATCH_ADVICE), "{log}");
    }
}

#[test]
fn a_gateway_without_a_lease_does_not_vote_and_the_others_elect_a_leader() {
    let mut configs = configurations(3, 500);
    let fleet = configs[2]["fleet"].as_object_mut().expect("an object");
    fleet.remove("lease_ms");
    let mut gateways: Vec<Front> = configs.iter().map(|config| PROGRAM.start(config)).collect();
    let named_gateways: Vec<(&str, &Front)> = ["n0", "n1"].into_iter().zip(&gateways).collect();
    let mut leaders = ObservedLeaders::default();
    let (index, _) = leaders.until_agreed(&named_gateways);
    let answer = gateways[2].call("owner");
    assert!(
        answer.starts_with("error no owner here: the configuration has no fleet.lease_ms; set it"),
        "{answer}"
    );
    drop(gateways.remove(1 - index));
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        let answer = leader_answer(&gateways[0]);
        assert!(
            begin.elapsed() < Duration::from_millis(700)
                || answer.iter().all(|answer| !answer.mine),
            "{answer:?}"
        );
        sleep(Duration::from_millis(20));
    }
}

/// Sends malformed datagrams, and well-formed ones under a name that is in no peer set.
struct UnknownSender {
    socket: UdpSocket,
    well_formed: Vec<Vec<u8>>,
    malformed: Vec<Vec<u8>>,
}

/// Added to an epoch, gives one that the processes do not reach during a test.
const EPOCH_DISTANCE: u64 = 1_000_000_000;

impl UnknownSender {
    fn new(epoch: u64) -> UnknownSender {
        let peer_sets = PeerConfiguration::new(["n0", "n1", "n2"].map(peer_id_of).to_vec());
        let from = peer_id_of("unknown_sender");
        let encoded = |kind| {
            let datagram = Datagram {
                from,
                incarnation: 7,
                to_incarnation: 0,
                tick: 1,
                peer_sets: peer_sets.report(),
                epoch: epoch + EPOCH_DISTANCE,
                kind,
            };
            datagram.encode()
        };
        let ask = Kind::Ask {
            number: 1,
            epoch: epoch + EPOCH_DISTANCE,
            lease_ms: 1000,
            until: Some(u64::MAX),
        };
        let well_formed = vec![
            encoded(ask),
            encoded(Kind::Release { epoch, next: from }),
            encoded(ask),
        ];
        let cut_short = well_formed[0][..well_formed[0].len() - 1].to_vec();
        let too_long = [&well_formed[0][..], b"more"].concat();
        let malformed = vec![
            b"\x02".to_vec(),
            vec![2; 40],
            vec![2; 1400],
            vec![2; 1500],
            cut_short,
            too_long,
        ];
        UnknownSender {
            socket: UdpSocket::bind("127.0.0.1:0").expect("the socket is bound"),
            well_formed,
            malformed,
        }
    }

    fn send(&self, bytes: &[u8], to: &Value) {
        // A datagram that does not fit in the socket's buffer is lost, as it may be on the network.
        let _ = self
            .socket
            .send_to(bytes, to["fleet"]["listen"].as_str().expect("text"));
    }
}

/// A counter from a group in the answer to the call `fleet`.
fn dropped_count(gateway: &Front, group: &str, key: &str) -> u64 {
    let line = gateway.call("fleet");
    let answer: Value =
        serde_json::from_str(line.lines().next().expect("a line")).expect("a JSON object");
    answer[group][key].as_u64().expect("a count")
}

#[test]
fn malformed_datagrams_and_unknown_senders_change_nothing_even_in_a_flood() {
    let configs = configurations(3, 1000);
    let gateways: Vec<Front> = configs.iter().map(|config| PROGRAM.start(config)).collect();
    let named_gateways: Vec<(&str, &Front)> =
        ["n0", "n1", "n2"].into_iter().zip(&gateways).collect();
    let mut leaders = ObservedLeaders::default();
    let (index, epoch) = leaders.until_agreed(&named_gateways);
    let unknown_sender = UnknownSender::new(epoch);
    for config in &configs {
        unknown_sender
            .malformed
            .iter()
            .chain(&unknown_sender.well_formed)
            .for_each(|bytes| unknown_sender.send(bytes, config));
    }
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        // The datagrams have no effect on the answers.
        let answers = leaders.ask(&named_gateways);
        assert!(
            answers
                .iter()
                .all(|answer| answer.epoch == epoch && answer.refused == 0),
            "{answers:?}"
        );
        sleep(Duration::from_millis(20));
    }
    assert_eq!(leaders.until_agreed(&named_gateways), (index, epoch));
    // Flood a follower, then the leader, whose socket has no space for votes meanwhile.
    for n in [(index + 1) % 3, index] {
        for _ in 0..30_000 {
            unknown_sender.send(&unknown_sender.well_formed[0], &configs[n]);
        }
        assert_eq!(
            leaders.ask(&named_gateways).len(),
            3,
            "all answer during the flood"
        );
    }
    let (_, later) = leaders.until_agreed(&named_gateways);
    assert!(
        later < epoch + EPOCH_DISTANCE,
        "the epoch of an unknown sender is not adopted: {later}"
    );
}

#[test]
fn malformed_datagrams_and_unknown_senders_are_counted() {
    let configs = configurations(3, 1000);
    let gateway = PROGRAM.start(&configs[0]);
    let unknown_sender = UnknownSender::new(1);
    let begin = Instant::now();
    while leader_answer(&gateway).is_none() {
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "the election has not started"
        );
        sleep(Duration::from_millis(20));
    }
    unknown_sender
        .malformed
        .iter()
        .chain(&unknown_sender.well_formed)
        .for_each(|bytes| unknown_sender.send(bytes, &configs[0]));
    let begin = Instant::now();
    let count = |key| dropped_count(&gateway, "dropped", key);
    while count("malformed") < unknown_sender.malformed.len() as u64
        || count("unknown") < unknown_sender.well_formed.len() as u64
    {
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "{}",
            gateway.call("fleet")
        );
        sleep(Duration::from_millis(20));
    }
}
