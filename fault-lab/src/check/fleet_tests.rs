//! The checks of owner, keepers and fences: each against records that break it, and against the nearest that keep it.

use super::*;
use crate::record::{Owner, Shards};
use crate::scenario::Scenario;

fn found(check: &str, events: &[(u64, Event)]) -> (usize, usize) {
    let entries: Vec<Entry> = events
        .iter()
        .map(|(ms, event)| Entry {
            us: ms * 1000,
            event: event.clone(),
        })
        .collect();
    let scenario = Scenario::shipped("calm")
        .expect("it ships")
        .expect("it makes sense");
    let facts = Facts {
        checks: vec![check.into()],
        doors: 3,
        ..scenario.facts(1)
    };
    let findings = findings(&facts, &entries);
    assert_eq!(findings.len(), 1, "one check was asked for");
    (findings[0].broken, findings[0].excused)
}

/// An answer to `owner`, asked at one moment and answered at the other.
fn told(
    door: usize,
    (asked, answered): (u64, u64),
    owner: Option<usize>,
    epoch: u64,
) -> (u64, Event) {
    let answer = Owner {
        name: format!("n{door}"),
        owner: owner.map(|owner| format!("n{owner}")),
        epoch,
        mine: owner == Some(door),
        left_ms: if owner == Some(door) { 1000 } else { 0 },
        quiet_ms: 0,
        refused: 0,
    };
    (
        answered,
        Event::Owner {
            door,
            asked_us: asked * 1000,
            answered_us: answered * 1000,
            answer,
        },
    )
}

/// A door that tells that it is the owner, each 500 ms from one moment to another, each time within 2 ms.
fn owner(door: usize, epoch: u64, from: u64, to: u64) -> Vec<(u64, Event)> {
    (from..=to)
        .step_by(500)
        .map(|at| told(door, (at, at + 2), Some(door), epoch))
        .collect()
}

fn sorted(parts: &[Vec<(u64, Event)>]) -> Vec<(u64, Event)> {
    let mut all = parts.concat();
    all.sort_by_key(|(ms, _)| *ms);
    all
}

fn lives(life: Life, door: usize, ms: u64) -> (u64, Event) {
    (ms, Event::Door { door, life })
}

fn lease() -> (u64, Event) {
    (0, Event::Lease { lease_ms: 1000 })
}

#[test]
fn two_owners_at_one_instant_are_found_and_two_that_only_touch_are_not() {
    let one = owner(0, 1, 0, 2000);
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[one.clone(), owner(1, 2, 1600, 3100)])
        ),
        (1, 0)
    );
    // The last answer of the one was asked at 2000: what it had left may have been given back since.
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[one.clone(), owner(1, 2, 1998, 2998)])
        ),
        (0, 0)
    );
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[one.clone(), owner(1, 2, 2001, 3001)])
        ),
        (0, 0)
    );
    // From 1993 to 2000: more than the clock's slack; from 1995: not more.
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[one.clone(), owner(1, 2, 1991, 2991)])
        ),
        (1, 0)
    );
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[one.clone(), owner(1, 2, 1993, 2993)])
        ),
        (0, 0)
    );
    // One answer, wholly within the time of another.
    let alone = vec![told(1, (1700, 1720), Some(1), 2)];
    assert_eq!(found("one_owner", &sorted(&[one.clone(), alone])), (1, 0));
    // One that may have been true after it.
    let late = vec![told(1, (1700, 2500), Some(1), 2)];
    assert_eq!(found("one_owner", &sorted(&[one, late])), (0, 0));
    // No answer of either lies within what is certain of the other, and yet both held it from 1500 to 1900.
    let slow = vec![
        told(1, (900, 1500), Some(1), 1),
        told(1, (2300, 2302), Some(1), 1),
    ];
    assert_eq!(
        found("one_owner", &sorted(&[owner(0, 2, 1000, 2000), slow])),
        (1, 0)
    );
}

#[test]
fn an_owner_holds_the_office_for_no_longer_than_it_told_while_it_is_silent() {
    // 1000 ms left at 0, and the next answer at 3000: what is certain ends at 1000.
    let silent = |door, epoch| {
        vec![
            told(door, (0, 2), Some(door), epoch),
            told(door, (3000, 3002), Some(door), epoch),
        ]
    };
    let other = |from| {
        vec![
            told(1, (from, from + 2), Some(1), 2),
            told(1, (from + 90, from + 92), Some(1), 2),
        ]
    };
    let broken = |from| found("one_owner", &sorted(&[silent(0, 3), other(from)]));
    assert_eq!(broken(800).0, 1);
    assert_eq!(
        broken(1100),
        (0, 0),
        "and the epoch of the one is not later than that of the other"
    );
    // A no in between ends it as well.
    let no = vec![told(0, (500, 502), None, 1)];
    let around = |ms| vec![told(0, (ms, ms + 2), Some(0), 1)];
    let other = vec![
        told(1, (520, 522), Some(1), 2),
        told(1, (700, 702), Some(1), 2),
    ];
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[around(0), no, around(900), other.clone()])
        ),
        (0, 0)
    );
    assert_eq!(
        found("one_owner", &sorted(&[around(0), around(900), other])),
        (1, 0)
    );
}

#[test]
fn an_epoch_of_two_owners_or_one_that_goes_back_is_found_unless_all_began_anew() {
    let (one, later) = (owner(0, 5, 0, 1000), |door, epoch| {
        owner(door, epoch, 3000, 4000)
    });
    assert_eq!(
        found("one_owner", &sorted(&[one.clone(), later(1, 6)])),
        (0, 0)
    );
    assert_eq!(
        found("one_owner", &sorted(&[one.clone(), later(1, 5)])),
        (1, 0)
    );
    assert_eq!(
        found("one_owner", &sorted(&[one.clone(), later(1, 4)])),
        (1, 0)
    );
    let starts: Vec<_> = (0..3)
        .map(|door| lives(Life::Started, door, 2000))
        .collect();
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[one.clone(), later(1, 4), starts[..2].to_vec()])
        ),
        (1, 0)
    );
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[one.clone(), later(1, 4), starts.clone()])
        ),
        (0, 1)
    );
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[one.clone(), later(0, 5), starts[..1].to_vec()])
        ),
        (1, 0)
    );
    // Dead at one instant is enough, also where one comes back late or had died before.
    let kills: Vec<_> = [900, 1500, 1500].into_iter().enumerate().collect();
    let kills = kills
        .into_iter()
        .map(|(door, ms)| lives(Life::Killed, 2 - door, ms))
        .collect::<Vec<_>>();
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[one.clone(), later(1, 4), kills.clone()])
        ),
        (0, 1)
    );
    let back = vec![lives(Life::Started, 2, 950)];
    assert_eq!(
        found(
            "one_owner",
            &sorted(&[one.clone(), later(1, 4), kills, back])
        ),
        (1, 0)
    );
    // Taken under two epochs by one door: nothing is wrong.
    assert_eq!(found("one_owner", &sorted(&[one, later(0, 6)])), (0, 0));
}

#[test]
fn a_door_that_tells_of_a_newer_owner_while_there_is_one_is_found() {
    let one = owner(0, 5, 0, 2000);
    let tells = |owner, epoch| {
        found(
            "one_owner",
            &sorted(&[one.clone(), vec![told(2, (700, 702), Some(owner), epoch)]]),
        )
    };
    assert_eq!(tells(1, 6), (1, 0));
    assert_eq!(tells(1, 5), (1, 0));
    assert_eq!(tells(1, 4), (0, 0), "it has not heard yet");
    assert_eq!(tells(0, 6), (0, 0));
    let late = vec![told(2, (1900, 2010), Some(1), 6)];
    assert_eq!(
        found("one_owner", &sorted(&[one, late])),
        (0, 0),
        "it may have been true after that"
    );
}

#[test]
fn an_owner_that_wakes_after_more_than_its_lease_and_says_so_first_is_found() {
    let stall = |begin, end, first| {
        let before = told(0, (0, 2), Some(0), 5);
        let signals = vec![
            lives(Life::Stopped, 0, begin),
            lives(Life::Continued, 0, end),
        ];
        found(
            "one_owner",
            &sorted(&[vec![lease(), before], signals, vec![first]]),
        )
    };
    assert_eq!(stall(100, 2100, told(0, (150, 2105), Some(0), 5)), (1, 0));
    assert_eq!(stall(100, 2100, told(0, (150, 2105), None, 5)), (0, 0));
    assert_eq!(
        stall(100, 2100, told(0, (150, 2105), Some(0), 6)),
        (0, 0),
        "elected anew"
    );
    assert_eq!(
        stall(100, 1050, told(0, (150, 1060), Some(0), 5)),
        (0, 0),
        "shorter than the lease"
    );
    assert_eq!(
        stall(100, 2100, told(0, (90, 2105), Some(0), 5)),
        (0, 1),
        "it was asked before"
    );
    // Asked in its stall, it was the owner when it woke, at 2100, where another one was.
    let signals = vec![
        lives(Life::Stopped, 0, 100),
        lives(Life::Continued, 0, 2100),
    ];
    let woken = vec![told(0, (150, 2110), Some(0), 7)];
    let both = sorted(&[vec![lease()], signals, woken, owner(1, 6, 1600, 3100)]);
    assert_eq!(found("one_owner", &both), (1, 0));
}

#[test]
fn answers_that_a_start_came_between_are_left_out() {
    let one = owner(0, 5, 0, 2000);
    let other = vec![told(1, (500, 600), Some(1), 7)];
    assert_eq!(
        found("one_owner", &sorted(&[one.clone(), other.clone()])),
        (1, 0)
    );
    let start = vec![lives(Life::Started, 1, 550)];
    assert_eq!(found("one_owner", &sorted(&[one, other, start])), (0, 1));
}

fn map(
    door: usize,
    ms: u64,
    version: u64,
    hash: &str,
    epoch: u64,
    mine: &[(u64, u64)],
) -> (u64, Event) {
    let answer = Shards {
        version: Some(version),
        epoch: Some(epoch),
        hash: Some(hash.into()),
        mine: mine.to_vec(),
        next: None,
        proposal: None,
    };
    (
        ms + 2,
        Event::Shards {
            door,
            asked_us: ms * 1000,
            answered_us: (ms + 2) * 1000,
            answer,
        },
    )
}

fn keeps(door: usize, version: u64, from: u64, to: u64, mine: &[(u64, u64)]) -> Vec<(u64, Event)> {
    (from..=to)
        .step_by(100)
        .map(|at| map(door, at, version, "h", 1, mine))
        .collect()
}

#[test]
fn a_key_with_two_keepers_at_one_instant_is_found_and_neighbours_are_not() {
    let broken = |parts: &[Vec<(u64, Event)>]| found("one_keeper", &sorted(parts)).0;
    let one = keeps(0, 1, 0, 1000, &[(0, 10), (20, 30)]);
    assert_eq!(
        broken(&[one.clone(), keeps(1, 1, 50, 950, &[(10, 20), (30, 40)])]),
        0
    );
    assert_eq!(broken(&[one.clone(), keeps(1, 1, 50, 950, &[(10, 21)])]), 1);
    assert_eq!(
        broken(&[one.clone(), keeps(1, 2, 50, 950, &[(9, 20)])]),
        1,
        "whatever the versions"
    );
    // One after the other.
    assert_eq!(
        broken(&[one.clone(), keeps(1, 2, 998, 1598, &[(0, 10)])]),
        0
    );
    assert_eq!(
        broken(&[one.clone(), keeps(1, 2, 890, 1590, &[(0, 10)])]),
        1
    );
    // One answer within the other's time, and one that gives up what it had under the same version.
    assert_eq!(broken(&[one, vec![map(1, 550, 2, "g", 2, &[(5, 6)])]]), 1);
    let released = [keeps(0, 1, 0, 400, &[(0, 10)]), keeps(0, 1, 500, 900, &[])];
    assert_eq!(
        broken(&[released.concat(), keeps(1, 1, 402, 900, &[(0, 10)])]),
        0
    );
    assert_eq!(
        broken(&[released.concat(), keeps(1, 1, 250, 900, &[(0, 10)])]),
        1
    );
    // No answer of either lies within what is certain of the other, and yet both kept it from 300 to 597.
    let two = vec![
        map(0, 100, 1, "h", 1, &[(0, 10)]),
        map(0, 600, 1, "h", 1, &[(0, 10)]),
    ];
    let (at, mut slow) = map(1, 298, 1, "h", 1, &[(0, 10)]);
    if let Event::Shards { asked_us, .. } = &mut slow {
        *asked_us = 97_000;
    }
    assert_eq!(
        broken(&[two, vec![(at, slow), map(1, 597, 1, "h", 1, &[(0, 10)])]]),
        1
    );
    // Silent for longer than the shortest lease: nobody knows what it kept meanwhile.
    let silent = vec![
        map(0, 0, 1, "h", 1, &[(0, 10)]),
        map(0, 2000, 1, "h", 1, &[(0, 10)]),
    ];
    assert_eq!(broken(&[silent, keeps(1, 2, 900, 1500, &[(0, 10)])]), 0);
}

#[test]
fn an_epoch_that_a_door_takes_back_is_found_within_one_life() {
    let back = vec![told(0, (0, 2), None, 5), told(0, (50, 52), None, 4)];
    assert_eq!(found("fenced", &back), (1, 0));
    let start = vec![lives(Life::Started, 0, 30)];
    assert_eq!(found("fenced", &sorted(&[back, start])), (0, 0));
}

#[test]
fn a_map_of_an_older_epoch_than_the_door_knew_is_found_unless_it_stood_before() {
    let known = vec![told(0, (100, 102), None, 7)];
    let takes = |epoch| vec![map(0, 150, 1, "a", 3, &[]), map(0, 200, 2, "b", epoch, &[])];
    assert_eq!(found("fenced", &sorted(&[known.clone(), takes(7)])), (0, 0));
    assert_eq!(found("fenced", &sorted(&[known.clone(), takes(6)])), (1, 0));
    let early = vec![told(0, (160, 162), None, 7)];
    assert_eq!(
        found("fenced", &sorted(&[early, takes(6)])),
        (0, 0),
        "it may have taken it over before"
    );
    let stood = |ms| vec![map(1, ms, 2, "b", 6, &[])];
    assert_eq!(
        found("fenced", &sorted(&[known.clone(), takes(6), stood(60)])),
        (0, 1)
    );
    assert_eq!(
        found("fenced", &sorted(&[known, takes(6), stood(120)])),
        (1, 0)
    );
}

#[test]
fn two_maps_under_one_version_are_found_unless_all_began_anew() {
    let two = |hash| vec![map(0, 0, 4, "a", 1, &[]), map(1, 900, 4, hash, 1, &[])];
    assert_eq!(found("fenced", &two("a")), (0, 0));
    assert_eq!(found("fenced", &two("b")), (1, 0));
    let starts: Vec<_> = (0..3).map(|door| lives(Life::Started, door, 500)).collect();
    assert_eq!(
        found("fenced", &sorted(&[two("b"), starts[1..].to_vec()])),
        (1, 0)
    );
    assert_eq!(found("fenced", &sorted(&[two("b"), starts])), (0, 0));
}

#[test]
fn figures_tell_how_long_there_was_no_owner_and_how_long_a_map_took() {
    let events = sorted(&[
        owner(0, 1, 0, 2000),
        vec![lives(Life::Killed, 0, 2100), lives(Life::Started, 0, 2600)],
        owner(1, 2, 3500, 5000),
        // It stays the owner: no gap.
        vec![
            lives(Life::Stopped, 1, 5100),
            lives(Life::Continued, 1, 5300),
        ],
        owner(1, 2, 5500, 6000),
        vec![
            lives(Life::Killed, 2, 6050),
            lives(Life::Terminated, 1, 6100),
            lives(Life::Killed, 1, 6900),
        ],
        keeps(0, 7, 3000, 3000, &[]),
        keeps(1, 7, 3400, 3400, &[]),
    ]);
    let entries: Vec<Entry> = events
        .into_iter()
        .map(|(ms, event)| Entry {
            us: ms * 1000,
            event,
        })
        .collect();
    let scenario = Scenario::shipped("calm")
        .expect("it ships")
        .expect("it makes sense");
    let figures = figures(&scenario.facts(1), &entries);
    let gap = |door, fault, at_ms, ms| Gap {
        door,
        fault,
        at_ms,
        ms,
    };
    let gaps = vec![
        gap(0, Life::Killed, 2100.0, Some(1402.0)),
        gap(1, Life::Terminated, 6100.0, None),
    ];
    assert_eq!(figures.owner_gaps, gaps);
    assert_eq!(
        (figures.owner_gap_worst_ms, figures.owner_gaps_without_end),
        (Some(1402.0), 1)
    );
    assert_eq!(figures.map_everywhere_worst_ms, Some(400.0));
}
