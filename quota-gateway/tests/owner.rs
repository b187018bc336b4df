//! The owner of a fleet of several processes, over relays on every directed link, with clients' traffic on. What is judged is
//! what each process told in its life: order and safety exactly, times generously, as a busy machine is no fault of the
//! program.

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
use stage::{carry, kept, SMALL};
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
const SECOND: u64 = 1_000_000;
/// What the record's times may be apart without telling anything: a signal is written down just after it was sent.
const CLOCK: u64 = 10_000;

/// An answer to the call `owner`: true at some instant between its two times.
struct Said<'a> {
    door: usize,
    asked: u64,
    answered: u64,
    told: &'a Owner,
}

/// A run, and the length of the lease in it.
struct Run {
    summary: Summary,
    entries: Vec<Entry>,
    lease: u64,
}

/// Runs so many front doors with an owner. Whatever is done to them, these checks are kept.
fn run(name: &str, doors: usize, lease_ms: u64, seconds: u32, faults: &str) -> Run {
    let text = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    let text = text.replace(
        "doors = 4",
        &format!("doors = {doors}\nlease_ms = {lease_ms}"),
    );
    let (summary, entries) = carry(name, &(text + faults));
    let run = Run {
        summary,
        entries,
        lease: lease_ms * 1000,
    };
    for finding in &run.summary.findings {
        let always = ["one_owner", "fenced", "crashes", "lost", "duplicates"];
        assert!(
            finding.broken == 0 || !always.contains(&finding.check.as_str()),
            "{finding:?}"
        );
    }
    for said in run.said(0, u64::MAX) {
        sound(said.told, run.lease);
    }
    run
}

/// What every answer has to be in itself.
fn sound(told: &Owner, lease: u64) {
    assert_eq!(
        told.mine,
        told.owner.as_ref() == Some(&told.name),
        "{told:?}"
    );
    assert!(told.owner.is_some() || told.left_ms == 0, "{told:?}");
    assert!(
        told.left_ms * 1000 <= lease && told.quiet_ms * 1000 <= longer(lease) + 1000,
        "{told:?}"
    );
    assert!(
        !told.mine || told.quiet_ms == 0,
        "who promises nothing yet cannot own: {told:?}"
    );
}

impl Run {
    /// What was asked and answered between these times.
    fn said(&self, from: u64, to: u64) -> Vec<Said<'_>> {
        let all = self.entries.iter().filter_map(|entry| match &entry.event {
            Event::Owner {
                door,
                asked_us,
                answered_us,
                answer,
            } => Some(Said {
                door: *door,
                asked: *asked_us,
                answered: *answered_us,
                told: answer,
            }),
            _ => None,
        });
        all.filter(|said| said.asked >= from && said.answered <= to)
            .collect()
    }

    /// When the faults began and ended, in order.
    fn moments(&self) -> Vec<u64> {
        let fault = |entry: &&Entry| matches!(entry.event, Event::Fault { .. });
        self.entries
            .iter()
            .filter(fault)
            .map(|entry| entry.us)
            .collect()
    }

    /// Who was the owner when this fault began.
    fn owner_at(&self, moment: u64) -> usize {
        let text = self.entries.iter().find_map(|entry| match &entry.event {
            Event::Fault { text, .. } if entry.us == moment => Some(text.clone()),
            _ => None,
        });
        let text = text.expect("a fault");
        let number = text
            .split("(owner: d")
            .nth(1)
            .and_then(|words| words.strip_suffix(')'));
        number
            .and_then(|number| number.parse().ok())
            .unwrap_or_else(|| panic!("nobody owned: {text}"))
    }

    /// When processes were in this state, in order.
    fn lives(&self, of: Life, from: u64) -> Vec<u64> {
        let is = |entry: &&Entry| matches!(entry.event, Event::Door { life, .. } if life == of);
        self.entries
            .iter()
            .filter(is)
            .map(|entry| entry.us)
            .filter(|at| *at >= from)
            .collect()
    }

    fn end(&self) -> u64 {
        self.said(0, u64::MAX)
            .iter()
            .map(|said| said.answered)
            .max()
            .unwrap_or(0)
    }

    /// The owner and its term, on which these front doors agree in their last answers between these times.
    fn agreed(&self, (from, to): (u64, u64), doors: &[usize]) -> (usize, u64) {
        let said = self.said(from, to);
        let last = |door: &usize| {
            let last = said.iter().rev().find(|said| said.door == *door);
            last.unwrap_or_else(|| panic!("d{door} told nothing between {from} and {to}"))
        };
        let first = last(&doors[0]).told;
        for door in doors {
            let told = last(door).told;
            assert_eq!(
                (&told.owner, told.epoch),
                (&first.owner, first.epoch),
                "d{door} at {to}: {told:?}"
            );
        }
        let owner = first
            .owner
            .as_ref()
            .unwrap_or_else(|| panic!("nobody owns at {to}: {first:?}"));
        let owner = owner.trim_start_matches('n').parse().expect("a number");
        assert!(
            last(&owner).told.mine,
            "d{owner} is taken for the owner: {:?}",
            last(&owner).told
        );
        (owner, first.epoch)
    }

    /// The first answer after this time by which a later term than this has an owner, and that one.
    fn next(&self, from: u64, epoch: u64) -> (u64, usize) {
        let said = self.said(from, u64::MAX);
        let next = said
            .iter()
            .find(|said| said.told.mine && said.told.epoch > epoch);
        next.map(|said| (said.answered, said.door))
            .unwrap_or_else(|| panic!("no owner follows term {epoch}"))
    }

    /// Acts that this front door had refused by its last answer between these times.
    fn refused(&self, door: usize, from: u64, to: u64) -> u64 {
        self.said(from, to)
            .iter()
            .rev()
            .find(|said| said.door == door)
            .map_or(0, |said| said.told.refused)
    }

    /// Nobody owns before a majority of the processes that start from here on is older than a lease.
    fn quiet_first(&self, from: u64, doors: usize) {
        let started = self.lives(Life::Started, from);
        let free = started[doors / 2] + self.lease;
        for said in self.said(started[0], free) {
            assert!(
                said.told.owner.is_none() && said.told.left_ms == 0,
                "d{}: {:?}",
                said.door,
                said.told
            );
        }
    }
}

fn all(doors: usize) -> Vec<usize> {
    (0..doors).collect()
}

fn but(doors: usize, gone: &[usize]) -> Vec<usize> {
    (0..doors).filter(|door| !gone.contains(door)).collect()
}

#[test]
fn a_fleet_that_starts_has_no_owner_in_the_quiet_time_and_then_one() {
    let run = run("owner-start", 5, 1500, 6, "");
    assert!(kept(&run.summary, "one_owner").cases > 100);
    run.quiet_first(0, 5);
    let (_, epoch) = run.agreed((run.end() - SECOND, u64::MAX), &all(5));
    for door in 0..5 {
        let said: Vec<Said> = run
            .said(0, u64::MAX)
            .into_iter()
            .filter(|said| said.door == door)
            .collect();
        assert!(
            said.iter().any(|said| said.told.quiet_ms > 0),
            "d{door} was not heard in its quiet time"
        );
        for (one, next) in said.iter().zip(said.iter().skip(1)) {
            // The quiet time passes as time does.
            let passed = next.asked.saturating_sub(one.answered) / 1000;
            let most = (one.told.quiet_ms + 1).saturating_sub(passed);
            assert!(
                next.told.quiet_ms <= most,
                "d{door}: {:?}, {passed} ms later {:?}",
                one.told,
                next.told
            );
        }
        assert!(
            said.iter()
                .all(|said| said.told.owner.is_none() || said.told.epoch == epoch),
            "one term"
        );
    }
}

fn owner_killed(name: &str, doors: usize) {
    let run = run(
        name,
        doors,
        1000,
        14,
        "[[kill]]\nat_ms = 4000\ndoors = \"owner\"\nback_ms = 5000\n",
    );
    let [killed, back] = run.moments()[..] else {
        panic!("one fault")
    };
    let dead = run.owner_at(killed);
    let (before, epoch) = run.agreed((killed - SECOND, killed), &all(doors));
    assert_eq!(before, dead);
    let next = run.agreed((back - SECOND, back), &but(doors, &[dead]));
    assert!(
        next.0 != dead && next.1 > epoch,
        "{next:?} after {before} in {epoch}"
    );
    assert_eq!(run.next(killed, epoch).1, next.0);
    assert_eq!(
        run.agreed((run.end() - SECOND, u64::MAX), &all(doors)),
        next,
        "who comes back unseats nobody"
    );
    let unseated = run
        .said(back, u64::MAX)
        .into_iter()
        .find(|said| said.told.mine && said.door != next.0);
    assert!(unseated.is_none(), "{:?}", unseated.map(|said| said.told));
}

#[test]
fn an_owner_that_is_killed_is_followed_by_another_and_unseats_nobody_when_it_is_back() {
    owner_killed("owner-kill", 7);
}

#[test]
fn an_owner_of_twelve_that_is_killed_is_followed_by_another() {
    owner_killed("owner-kill-12", 12);
}

#[test]
fn an_owner_that_stood_still_owns_no_more_when_it_wakes_unless_that_was_short() {
    let faults = "[[stop]]\nat_ms = 5000\ndoors = \"owner\"\nfor_ms = 10000\n\
                  [[stop]]\nat_ms = 19000\ndoors = \"owner\"\nfor_ms = 600\n";
    let run = run("owner-stop", 5, 2000, 23, faults);
    let [stopped, woken, again, on] = run.moments()[..] else {
        panic!("two faults")
    };
    let old = run.owner_at(stopped);
    let (_, epoch) = run.agreed((stopped - SECOND, stopped), &all(5));
    let next = run.agreed((woken - SECOND, woken), &but(5, &[old]));
    assert!(next.0 != old && next.1 > epoch);
    // Asked while it stood still, unless it had just been asked: this is the first thing that it says.
    let first = run
        .said(stopped + CLOCK, u64::MAX)
        .into_iter()
        .find(|said| said.door == old);
    let first = first.expect("it wakes");
    assert!(first.answered >= woken - CLOCK);
    let told = first.told;
    assert!(
        !told.mine && (told.owner.is_some() || told.left_ms == 0),
        "{told:?}"
    );
    // What the next owner told it meanwhile lay in its socket for longer than it was good for.
    let refused = [run.refused(old, 0, stopped), run.refused(old, woken, again)];
    assert!(refused[1] > refused[0], "{refused:?}");
    assert_eq!(run.agreed((again - SECOND, again), &all(5)), next);
    assert_eq!(run.owner_at(again), next.0);
    assert_eq!(
        run.agreed((on + SECOND, u64::MAX), &all(5)),
        next,
        "for less than a lease: it stays"
    );
}

#[test]
fn an_owner_that_is_cut_off_with_a_minority_is_followed_by_one_of_the_others() {
    let faults =
        "[[link]]\nat_ms = 4000\nfor_ms = 7000\nfrom = \"owner, d1, d2\"\nto = \"others\"\ncut = true\n";
    let run = run("owner-minority", 7, 1000, 16, faults);
    let [cut, healed] = run.moments()[..] else {
        panic!("one fault")
    };
    let old = run.owner_at(cut);
    let (_, epoch) = run.agreed((cut - SECOND, cut), &all(7));
    let few = [old, 1, 2];
    let next = run.agreed((healed - SECOND, healed), &but(7, &few));
    assert!(next.1 > epoch && !few.contains(&next.0));
    for said in run.said(cut + run.lease + CLOCK, healed) {
        assert!(
            !few.contains(&said.door) || said.told.owner.is_none(),
            "d{}: {:?}",
            said.door,
            said.told
        );
    }
    assert_eq!(
        run.agreed((run.end() - SECOND, u64::MAX), &all(7)),
        next,
        "it is not unseated"
    );
}

#[test]
fn an_owner_whose_links_are_cut_one_way_is_followed_by_another() {
    // It sends and hears nothing; then another hears and is not heard.
    let faults = "[[link]]\nat_ms = 4000\nfor_ms = 5000\nfrom = \"others\"\nto = \"owner\"\nboth = false\ncut = true\n\
                  [[link]]\nat_ms = 13000\nfor_ms = 5000\nfrom = \"owner\"\nto = \"others\"\nboth = false\ncut = true\n";
    let run = run("owner-one-way", 5, 1000, 22, faults);
    let [deaf, hears, mute, heard] = run.moments()[..] else {
        panic!("two faults")
    };
    for (cut, healed, until) in [(deaf, hears, mute), (mute, heard, u64::MAX)] {
        let old = run.owner_at(cut);
        let (_, epoch) = run.agreed((cut - SECOND, cut), &all(5));
        let next = run.agreed((healed - SECOND, healed), &but(5, &[old]));
        assert!(
            next.0 != old && next.1 > epoch,
            "{next:?} after d{old} in {epoch}"
        );
        let until = until.min(run.end());
        assert_eq!(
            run.agreed((until - SECOND, until), &all(5)),
            next,
            "it is not unseated"
        );
    }
}

#[test]
fn two_halves_that_one_door_joins_have_one_owner() {
    let faults =
        "[[link]]\nat_ms = 4000\nfor_ms = 8000\nfrom = \"d0, d1, d2\"\nto = \"d4, d5, d6\"\ncut = true\n";
    let run = run("owner-bridge", 7, 1000, 17, faults);
    let [_, healed] = run.moments()[..] else {
        panic!("one fault")
    };
    // The one in the middle reaches all, and each half with it is a majority.
    let told = run.said(healed - 2 * SECOND, healed);
    assert!(told.iter().any(|said| said.told.mine), "somebody owns");
    assert!(
        told.iter()
            .any(|said| said.door == 3 && said.told.owner.is_some()),
        "the middle knows it"
    );
    run.agreed((run.end() - SECOND, u64::MAX), &all(7));
}

#[test]
fn claims_that_are_late_by_a_lease_are_refused_and_followed_by_nobody() {
    // What it says is late by more than a lease, and half of it comes twice; then the way there and back takes longer.
    let faults =
        "[[link]]\nat_ms = 4000\nfor_ms = 6000\nfrom = \"owner\"\nto = \"others\"\nboth = false\ndelay_ms = 1500\ndouble = 0.5\n\
         [[link]]\nat_ms = 14000\nfor_ms = 6000\nfrom = \"owner\"\nto = \"others\"\ndelay_ms = 800\ndouble = 0.5\n";
    let run = run("owner-slow", 5, 1000, 24, faults);
    let [slow, whole, slower, end] = run.moments()[..] else {
        panic!("two faults")
    };
    for (slow, whole) in [(slow, whole), (slower, end)] {
        let old = run.owner_at(slow);
        let (_, epoch) = run.agreed((slow - SECOND, slow), &all(5));
        for said in run.said(slow + run.lease + 100_000, whole) {
            let follows = said.told.epoch == epoch && said.told.owner.is_some();
            assert!(
                !follows,
                "d{} follows d{old} in {epoch}: {:?}",
                said.door, said.told
            );
        }
        let next = run.agreed((whole - SECOND, whole), &but(5, &[old]));
        assert!(next.0 != old && next.1 > epoch);
    }
    let old = run.owner_at(slow);
    for door in but(5, &[old]) {
        let refused = [run.refused(door, 0, slow), run.refused(door, slow, whole)];
        assert!(refused[1] > refused[0], "d{door}: {refused:?}");
    }
    run.agreed((run.end() - SECOND, u64::MAX), &all(5));
}

#[test]
fn claims_that_come_when_their_lease_is_over_are_refused_also_where_no_later_term_is_known() {
    // Nobody hears anybody, but for the owner's words, which are late by more than a lease.
    let faults =
        "[[link]]\nat_ms = 4000\nfor_ms = 5000\nfrom = \"doors\"\nto = \"doors\"\ncut = true\n\
         [[link]]\nat_ms = 4020\nfor_ms = 4900\nfrom = \"owner\"\nto = \"others\"\nboth = false\ndelay_ms = 1500\ndouble = 0.5\n";
    let run = run("owner-late", 5, 1000, 13, faults);
    let [cut, slow, whole, _] = run.moments()[..] else {
        panic!("two faults")
    };
    let old = run.owner_at(slow);
    let (_, epoch) = run.agreed((cut - SECOND, cut), &all(5));
    for said in run.said(slow + run.lease + 100_000, whole) {
        assert!(
            said.told.owner.is_none() && said.told.epoch == epoch,
            "d{}: {:?}",
            said.door,
            said.told
        );
    }
    for door in but(5, &[old]) {
        let refused = [run.refused(door, 0, cut), run.refused(door, slow, whole)];
        assert!(refused[1] > refused[0], "d{door}: {refused:?}");
    }
    run.agreed((run.end() - SECOND, u64::MAX), &all(5));
}

#[test]
fn a_lease_counts_from_the_question_however_late_the_answer_is() {
    // Answers come to the owner late by half a lease; then its questions come to nobody any more.
    let faults =
        "[[link]]\nat_ms = 4000\nfor_ms = 9000\nfrom = \"others\"\nto = \"owner\"\nboth = false\ndelay_ms = 1000\n\
         [[link]]\nat_ms = 8000\nfor_ms = 5000\nfrom = \"owner\"\nto = \"others\"\nboth = false\ncut = true\n";
    let run = run("owner-late-answers", 5, 2000, 16, faults);
    let [slow, cut, whole, _] = run.moments()[..] else {
        panic!("two faults")
    };
    let old = run.owner_at(slow);
    let (_, epoch) = run.agreed((slow - SECOND, slow), &all(5));
    assert_eq!(run.owner_at(cut), old);
    let before = run.said(cut - SECOND, cut);
    assert!(
        before
            .iter()
            .any(|said| said.told.mine && said.told.epoch == epoch),
        "it renews all the same"
    );
    let (_, next) = run.next(cut, epoch);
    assert_ne!(next, old);
    run.agreed((whole - SECOND, whole), &but(5, &[old]));
}

#[test]
fn an_owner_that_is_told_to_end_hands_the_office_on_before_its_lease_is_over() {
    let run = run(
        "owner-ends",
        5,
        4000,
        11,
        "[[restart]]\nat_ms = 8000\ndoors = \"owner\"\nevery_ms = 1000\n",
    );
    let told = run.moments()[0];
    let old = run.owner_at(told);
    let (_, epoch) = run.agreed((told - SECOND, told), &all(5));
    let (at, next) = run.next(told, epoch);
    assert_ne!(next, old);
    // A lease that is renewed four times in its length would not be over before three quarters of it.
    assert!(at - told < 2 * SECOND, "{} ms", (at - told) / 1000);
    let later = run.agreed((run.end() - SECOND, u64::MAX), &but(5, &[old]));
    assert!(later.0 == next && later.1 > epoch);
}

#[test]
fn restarts_of_all_faster_than_the_quiet_time_leave_one_owner_in_the_end() {
    let faults = "[[restart]]\nat_ms = 5000\ndoors = \"doors\"\nat_once = 1\nevery_ms = 1000\n";
    let run = run("owner-rolling", 5, 2000, 20, faults);
    let begun = run.moments()[0];
    let (_, epoch) = run.agreed((begun - SECOND, begun), &all(5));
    assert_eq!(run.lives(Life::Started, begun).len(), 5);
    let (_, later) = run.agreed((run.end() - SECOND, u64::MAX), &all(5));
    assert!(
        later > epoch,
        "no process is left that had a part in {epoch}: {later}"
    );
}

#[test]
fn a_fleet_that_was_killed_all_at_once_has_no_owner_for_a_lease_and_then_one() {
    let faults = "[[kill]]\nat_ms = 4000\ndoors = \"doors\"\nback_ms = 700\n";
    let run = run("owner-all-killed", 5, 1500, 12, faults);
    let [killed, back] = run.moments()[..] else {
        panic!("one fault")
    };
    let (_, epoch) = run.agreed((killed - SECOND, killed), &all(5));
    run.quiet_first(back - CLOCK, 5);
    let (_, later) = run.agreed((run.end() - SECOND, u64::MAX), &all(5));
    assert!(later > epoch, "{later} after {epoch}");
}

/// Tells these front doors, one after the other, that the fleet has those members.
fn told(at_ms: u64, doors: &[usize], members: &str) -> String {
    let one = |(n, door): (u64, &usize)| {
        let at_ms = at_ms + 300 * n;
        format!("[[roster]]\nat_ms = {at_ms}\ndoors = \"d{door}\"\nmembers = \"{members}\"\n")
    };
    (0..).zip(doors).map(one).collect()
}

#[test]
fn a_roster_that_shrinks_and_grows_has_one_owner_of_its_own_also_where_the_owner_is_taken_out() {
    let (low, high) = ([0, 1, 2], [3, 4, 5]);
    let faults = told(4000, &low, "d0, d1, d2")
        + &told(10_000, &low, "doors")
        + &told(16_000, &high, "d3, d4, d5")
        + &told(22_000, &high, "doors");
    let run = run("owner-roster", 6, 1000, 28, &faults);
    let moments = run.moments();
    let [shrunk, grown, other, whole] = [0, 3, 6, 9].map(|n| moments[n]);
    let mut epochs = vec![run.agreed((shrunk - SECOND, shrunk), &all(6)).1];
    for (doors, until) in [(&low, grown), (&high, whole)] {
        // Those that were taken out are not told of it, and go on asking.
        let (owner, epoch) = run.agreed((until - SECOND, until), doors);
        assert!(doors.contains(&owner), "d{owner} is not in the roster");
        epochs.push(epoch);
    }
    let (owner, _) = run.agreed((other - SECOND, other), &all(6));
    assert!(
        owner < 3,
        "who owns is not unseated by those that come: d{owner}"
    );
    epochs.push(run.agreed((run.end() - SECOND, u64::MAX), &all(6)).1);
    assert!(epochs.is_sorted() && epochs[2] > epochs[1], "{epochs:?}");
}

/// So many front doors that know each other, as configurations.
fn several(count: usize, lease_ms: u64) -> Vec<Value> {
    let port = |config: &Value| {
        let at: SocketAddr = config["listen"]
            .as_str()
            .expect("text")
            .parse()
            .expect("an address");
        SocketAddr::from((at.ip(), unused_port())).to_string()
    };
    // A backend that takes connections, as a process takes over once it has one.
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

/// The answer to the call `owner`, if it is one.
fn owner(front: &Front) -> Option<Owner> {
    serde_json::from_str(front.call("owner").lines().next()?).ok()
}

/// Who told of which term that it is its own, one after the other.
#[derive(Default)]
struct Terms(Vec<(String, u64)>);

impl Terms {
    /// Asks each of these processes once, one after the other. Returns what they told.
    fn ask(&mut self, fronts: &[(&str, &Front)]) -> Vec<Owner> {
        let mut answers = Vec::new();
        for (process, front) in fronts {
            let Some(told) = owner(front) else { continue };
            let own = (process.to_string(), told.epoch);
            if told.mine && self.0.last() != Some(&own) {
                // A term that was told of, then another, cannot be told of again: the two would have been at once.
                assert!(
                    self.0.last().is_none_or(|(_, last)| *last < told.epoch),
                    "{own:?} after {:?}",
                    self.0
                );
                self.0.push(own);
            }
            answers.push(told);
        }
        answers
    }

    /// Asks until all of these know the same owner, which is one of them. Returns its place and its term.
    fn until_agreed(&mut self, fronts: &[(&str, &Front)]) -> (usize, u64) {
        let begin = Instant::now();
        loop {
            let told = self.ask(fronts);
            let first = told.first().map(|told| (told.owner.clone(), told.epoch));
            let same = told
                .iter()
                .all(|told| Some((told.owner.clone(), told.epoch)) == first);
            if let (true, Some(place)) = (same, told.iter().position(|told| told.mine)) {
                if told.len() == fronts.len() {
                    return (place, told[place].epoch);
                }
            }
            assert!(
                begin.elapsed() < Duration::from_secs(40),
                "they do not agree: {told:?}"
            );
            sleep(Duration::from_millis(10));
        }
    }
}

#[test]
fn an_office_is_never_held_by_both_processes_of_a_door_that_is_taken_over() {
    let fronts: Vec<Front> = several(3, 1000)
        .iter()
        .map(|config| PROGRAM.start(config))
        .collect();
    let mut terms = Terms::default();
    let named: Vec<(&str, &Front)> = ["n0", "n1", "n2"].into_iter().zip(&fronts).collect();
    let (place, epoch) = terms.until_agreed(&named);
    // Processes end with the thread that starts them: another one asks meanwhile.
    let taken_over = AtomicBool::new(false);
    let second = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !taken_over.load(Ordering::Relaxed) {
                terms.ask(&named);
            }
        });
        let second = fronts[place].successor();
        taken_over.store(true, Ordering::Relaxed);
        second
    });
    let (mut all, mut living) = (named.clone(), named.clone());
    all.push(("second", &second));
    living[place] = ("second", &second);
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(3) {
        terms.ask(&all);
        sleep(Duration::from_millis(5));
    }
    let (_, later) = terms.until_agreed(&living);
    assert!(
        later > epoch,
        "its office went on to another process, or to another door: {:?}",
        terms.0
    );
    fronts[place].terminate();
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        terms.ask(&living);
        sleep(Duration::from_millis(5));
    }
    assert_eq!(
        terms.until_agreed(&living).1,
        later,
        "the first process had nothing left to give back"
    );
}

#[test]
fn a_question_that_waited_while_the_owner_stood_still_is_answered_by_the_clock() {
    let fronts: Vec<Front> = several(3, 1000)
        .iter()
        .map(|config| PROGRAM.start(config))
        .collect();
    let named: Vec<(&str, &Front)> = ["n0", "n1", "n2"].into_iter().zip(&fronts).collect();
    let (place, epoch) = Terms::default().until_agreed(&named);
    let old = &fronts[place];
    // Taken in before it is stopped: the line alone is missing, and comes before its timers and all datagrams.
    let mut callers: Vec<TcpStream> = (0..8)
        .map(|_| TcpStream::connect(old.admin).expect("the operators' door accepts"))
        .collect();
    assert!(
        owner(old).is_some_and(|told| told.mine),
        "it has taken those before this one in"
    );
    old.signal(Signal::STOP);
    for caller in &mut callers {
        caller.write_all(b"owner\n").expect("the system takes it");
    }
    sleep(Duration::from_secs(4));
    old.signal(Signal::CONT);
    for mut caller in callers {
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer comes");
        let told: Owner =
            serde_json::from_str(answer.lines().next().expect("a line")).expect("an owner");
        assert!(
            !told.mine && (told.owner.is_some() || told.left_ms == 0),
            "{told:?}"
        );
    }
    let (_, later) = Terms::default().until_agreed(&named);
    assert!(later > epoch, "another was chosen meanwhile");
}

/// Starts a front door with its log in a file, and tells where that is.
fn logged(name: &str, config: &Value) -> (Front, std::path::PathBuf) {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.log"));
    let file = File::create(&path).expect("a file");
    (PROGRAM.start_with(config, file.into()), path)
}

const ONE_LEASE: &str = "set one fleet.lease_ms at every gateway, and start them again";

#[test]
fn a_door_with_another_lease_grants_nothing_and_the_logs_say_what_to_do() {
    let mut configs = several(3, 1000);
    configs[2]["fleet"]["lease_ms"] = json!(1500);
    let mut fronts: Vec<(Front, std::path::PathBuf)> = configs
        .iter()
        .enumerate()
        .map(|(n, config)| logged(&format!("owner-lease-{n}"), config))
        .collect();
    let named: Vec<(&str, &Front)> = ["n0", "n1", "n2"]
        .into_iter()
        .zip(fronts.iter().map(|(front, _)| front))
        .collect();
    let mut terms = Terms::default();
    let (place, _) = terms.until_agreed(&named);
    assert!(place < 2, "only two grant each other");
    // Without one of the two the other has no majority, as the third grants nothing.
    drop(fronts.remove(1 - place));
    let left = [("the owner", &fronts[0].0), ("n2", &fronts[1].0)];
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(3) {
        let told: Vec<Owner> = left.iter().filter_map(|(_, front)| owner(front)).collect();
        assert!(
            begin.elapsed() < Duration::from_millis(1200) || told.iter().all(|told| !told.mine),
            "{told:?}"
        );
        sleep(Duration::from_millis(20));
    }
    for (_, log) in &fronts {
        let log = std::fs::read_to_string(log).expect("a log");
        assert!(log.contains(ONE_LEASE), "{log}");
    }
}

#[test]
fn a_door_without_a_lease_grants_nothing_and_the_others_own_all_the_same() {
    let mut configs = several(3, 500);
    let fleet = configs[2]["fleet"].as_object_mut().expect("an object");
    fleet.remove("lease_ms");
    let mut fronts: Vec<Front> = configs.iter().map(|config| PROGRAM.start(config)).collect();
    let named: Vec<(&str, &Front)> = ["n0", "n1"].into_iter().zip(&fronts).collect();
    let mut terms = Terms::default();
    let (place, _) = terms.until_agreed(&named);
    let answer = fronts[2].call("owner");
    assert!(
        answer.starts_with("error no owner here: the configuration has no fleet.lease_ms; set it"),
        "{answer}"
    );
    drop(fronts.remove(1 - place));
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        let told = owner(&fronts[0]);
        assert!(
            begin.elapsed() < Duration::from_millis(700) || told.iter().all(|told| !told.mine),
            "{told:?}"
        );
        sleep(Duration::from_millis(20));
    }
}

/// What makes no sense, and words of a name that no roster has, from a socket of nobody's.
struct Stranger {
    socket: UdpSocket,
    words: Vec<Vec<u8>>,
    junk: Vec<Vec<u8>>,
}

/// A term that the clocks of these processes do not reach in a test.
const FAR: u64 = 1_000_000_000;

impl Stranger {
    fn new(epoch: u64) -> Stranger {
        let rosters = PeerConfiguration::new(["n0", "n1", "n2"].map(peer_id_of).to_vec());
        let from = peer_id_of("stranger");
        let word = |kind| {
            let word = Datagram {
                from,
                incarnation: 7,
                to_incarnation: 0,
                tick: 1,
                peer_sets: rosters.told(),
                epoch: epoch + FAR,
                kind,
            };
            word.encode()
        };
        let ask = Kind::Ask {
            number: 1,
            epoch: epoch + FAR,
            lease_ms: 1000,
            until: Some(u64::MAX),
        };
        let words = vec![
            word(ask),
            word(Kind::Release { epoch, next: from }),
            word(ask),
        ];
        let cut_short = words[0][..words[0].len() - 1].to_vec();
        let too_long = [&words[0][..], b"more"].concat();
        let junk = vec![
            b"\x02".to_vec(),
            vec![2; 40],
            vec![2; 1400],
            vec![2; 1500],
            cut_short,
            too_long,
        ];
        Stranger {
            socket: UdpSocket::bind("127.0.0.1:0").expect("a port"),
            words,
            junk,
        }
    }

    fn say(&self, bytes: &[u8], to: &Value) {
        // What the system has no room for is lost, as anywhere on the way.
        let _ = self
            .socket
            .send_to(bytes, to["fleet"]["listen"].as_str().expect("text"));
    }
}

/// A count in the answer to the call `fleet`.
fn counted(front: &Front, group: &str, key: &str) -> u64 {
    let line = front.call("fleet");
    let told: Value = serde_json::from_str(line.lines().next().expect("a line")).expect("a view");
    told[group][key].as_u64().expect("a count")
}

#[test]
fn what_is_no_word_of_the_fleet_moves_nobody_and_a_flood_of_it_neither() {
    let configs = several(3, 1000);
    let fronts: Vec<Front> = configs.iter().map(|config| PROGRAM.start(config)).collect();
    let named: Vec<(&str, &Front)> = ["n0", "n1", "n2"].into_iter().zip(&fronts).collect();
    let mut terms = Terms::default();
    let (place, epoch) = terms.until_agreed(&named);
    let stranger = Stranger::new(epoch);
    for config in &configs {
        stranger
            .junk
            .iter()
            .chain(&stranger.words)
            .for_each(|bytes| stranger.say(bytes, config));
    }
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        // Each is asked, and each answers as if nothing had come.
        let told = terms.ask(&named);
        assert!(
            told.iter()
                .all(|told| told.epoch == epoch && told.refused == 0),
            "{told:?}"
        );
        sleep(Duration::from_millis(20));
    }
    assert_eq!(terms.until_agreed(&named), (place, epoch));
    // A flood at one that follows, and at the owner, whose socket has no room for grants meanwhile.
    for n in [(place + 1) % 3, place] {
        for _ in 0..30_000 {
            stranger.say(&stranger.words[0], &configs[n]);
        }
        assert_eq!(terms.ask(&named).len(), 3, "they answer meanwhile");
    }
    let (_, later) = terms.until_agreed(&named);
    assert!(later < epoch + FAR, "no term of a stranger's: {later}");
}

#[test]
fn what_is_no_word_of_the_office_is_counted() {
    let configs = several(3, 1000);
    let front = PROGRAM.start(&configs[0]);
    let stranger = Stranger::new(1);
    let begin = Instant::now();
    while owner(&front).is_none() {
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "it has no office"
        );
        sleep(Duration::from_millis(20));
    }
    stranger
        .junk
        .iter()
        .chain(&stranger.words)
        .for_each(|bytes| stranger.say(bytes, &configs[0]));
    let begin = Instant::now();
    let count = |key| counted(&front, "dropped", key);
    while count("malformed") < stranger.junk.len() as u64
        || count("unknown") < stranger.words.len() as u64
    {
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "{}",
            front.call("fleet")
        );
        sleep(Duration::from_millis(20));
    }
}
