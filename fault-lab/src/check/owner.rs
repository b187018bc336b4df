//! `one_owner`: never two owners at one instant, and each owner under an epoch of its own that is higher than those before.

use super::told::{Said, Told, CLOCK};
use super::{Case, Finding};
use crate::record::{Entry, Event, Life, Micros, Owner};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What one life of a front door told of its office under one epoch.
struct Term<'a> {
    door: usize,
    life: usize,
    epoch: u64,
    name: &'a str,
    /// The first and the last answer: each was true at some instant from one time to the other.
    first: (Micros, Micros),
    last: (Micros, Micros),
    /// When it certainly held the office, whatever the instants of the answers.
    held: Vec<(Micros, Micros)>,
}

impl Term<'_> {
    /// Whether all of this time lies in one in which it certainly held the office.
    fn covers(&self, from: Micros, to: Micros) -> bool {
        self.held
            .iter()
            .any(|(begin, end)| begin + CLOCK < from && to + CLOCK < *end)
    }

    /// The longest time for which both certainly held the office.
    fn meets(&self, other: &Term<'_>) -> Micros {
        let common = |a: &(Micros, Micros)| {
            other
                .held
                .iter()
                .map(|b| a.1.min(b.1).saturating_sub(a.0.max(b.0)))
                .max()
                .unwrap_or(0)
        };
        self.held.iter().map(common).max().unwrap_or(0)
    }

    fn words(&self) -> String {
        format!(
            "d{} (epoch {}, {} to {} ms)",
            self.door,
            self.epoch,
            self.first.0 / 1000,
            self.last.1 / 1000
        )
    }
}

/// The terms, in the order in which they were first told.
///
/// Two neighbouring answers under one epoch say that the office was held all the time between them: an epoch is one term,
/// which cannot be given back and taken up again. Only what the first of them still had left is counted, as a door may have
/// been silent for longer: from the end of its answer, at the latest instant of it, for what was left at the earliest.
fn terms<'a>(told: &Told<'a>) -> Vec<Term<'a>> {
    let mut terms: BTreeMap<(usize, usize, u64), Term<'a>> = BTreeMap::new();
    for said in &told.owners {
        let mut before: Option<&Said<'a, Owner>> = None;
        // Whether the last time that was written down goes on up to the answer before this one.
        let mut unbroken = false;
        for one in said {
            if !one.answer.mine {
                before = None;
                continue;
            }
            let window = (one.from, one.to);
            let term = terms
                .entry((one.door, one.life, one.answer.epoch))
                .or_insert_with(|| Term {
                    door: one.door,
                    life: one.life,
                    epoch: one.answer.epoch,
                    name: &one.answer.name,
                    first: window,
                    last: window,
                    held: Vec::new(),
                });
            term.last = window;
            let same = |before: &&Said<'a, Owner>| {
                before.life == one.life && before.answer.epoch == one.answer.epoch
            };
            if let Some(before) = before.filter(same) {
                let left = before
                    .from
                    .saturating_add(before.answer.left_ms.saturating_mul(1000));
                let until = left.min(one.from);
                match term.held.last_mut().filter(|_| unbroken) {
                    Some(held) => held.1 = until.max(held.1),
                    None => term.held.push((before.to, until.max(before.to))),
                }
                unbroken = until == one.from;
            } else {
                unbroken = false;
            }
            before = Some(one);
        }
    }
    let mut terms: Vec<Term<'a>> = terms.into_values().collect();
    terms.sort_by_key(|term| term.first);
    terms
}

pub(super) fn one_owner(case: &Case<'_>) -> Finding {
    let mut finding = Finding::new("one_owner");
    let told = &case.told;
    finding.cases = told.owners.iter().map(Vec::len).sum();
    finding.excused = told.between_lives;
    let terms = terms(told);
    two_at_once(told, &terms, &mut finding);
    epochs(told, &terms, &mut finding);
    told_otherwise(told, &terms, &mut finding);
    after_stalls(told, &mut finding);
    finding
}

/// Two certain times that overlap, and an answer of one owner that lies wholly in a certain time of another's.
fn two_at_once(told: &Told<'_>, terms: &[Term<'_>], finding: &mut Finding) {
    let mut found = BTreeSet::new();
    for (n, one) in terms.iter().enumerate() {
        for (m, other) in terms.iter().enumerate().skip(n + 1) {
            if one.door != other.door && one.meets(other) > CLOCK {
                found.insert((n, m));
            }
        }
    }
    for one in told.owners.iter().flatten().filter(|one| one.answer.mine) {
        let is_its = |term: &Term<'_>| {
            (term.door, term.life, term.epoch) == (one.door, one.life, one.answer.epoch)
        };
        let others = terms
            .iter()
            .enumerate()
            .filter(|(_, term)| term.door != one.door);
        for (m, _) in others.filter(|(_, term)| term.covers(one.from, one.to)) {
            if let Some(n) = terms.iter().position(is_its) {
                found.insert((n.min(m), n.max(m)));
            }
        }
    }
    for (n, m) in found {
        finding.break_rule(|| {
            format!(
                "{} and {} were owners at one instant",
                terms[n].words(),
                terms[m].words()
            )
        });
    }
}

/// An epoch is one owner's, and later owners have higher ones. Where each life that ran then was over in between,
/// nobody that lives need know of the earlier one.
fn epochs(told: &Told<'_>, terms: &[Term<'_>], finding: &mut Finding) {
    for (n, later) in terms.iter().enumerate() {
        // The worst of the earlier ones is enough.
        let wrong = |earlier: &&Term<'_>| {
            earlier.epoch == later.epoch
                || (earlier.epoch > later.epoch && earlier.last.1 < later.first.0)
        };
        let earlier = terms
            .iter()
            .take(n)
            .filter(wrong)
            .max_by_key(|earlier| earlier.last.1);
        let Some(earlier) = earlier else { continue };
        if told.lives.all_anew(earlier.last.1, later.first.0) {
            finding.excused += 1;
        } else {
            finding.break_rule(|| {
                format!(
                    "{} came after {}, under no higher epoch",
                    later.words(),
                    earlier.words()
                )
            });
        }
    }
}

/// Nobody knows of another owner, under the same epoch or a higher one, while one certainly holds the office.
fn told_otherwise(told: &Told<'_>, terms: &[Term<'_>], finding: &mut Finding) {
    let mut found = BTreeSet::new();
    // What a door tells of itself has been judged.
    for one in told.owners.iter().flatten().filter(|one| !one.answer.mine) {
        let Some(owner) = &one.answer.owner else {
            continue;
        };
        let wrong = |term: &&Term<'_>| {
            term.name != owner && one.answer.epoch >= term.epoch && term.covers(one.from, one.to)
        };
        let Some(term) = terms.iter().find(wrong) else {
            continue;
        };
        if found.insert((one.door, one.life, one.answer.epoch, term.door)) {
            finding.break_rule(|| {
                let (at, epoch) = (one.from / 1000, one.answer.epoch);
                format!(
                    "d{} told at {at} ms of {owner} (epoch {epoch}) while it was {}",
                    one.door,
                    term.words()
                )
            });
        }
    }
}

/// Whoever stood still for longer than a lease does not say that it is the owner when it wakes. One that was asked before
/// it was stopped may have come to its answer by then; one that has been elected anew has a higher epoch.
fn after_stalls(told: &Told<'_>, finding: &mut Finding) {
    let Some(lease) = told.lease else { return };
    for said in &told.owners {
        let Some(door) = said.first().map(|one| one.door) else {
            continue;
        };
        for (begin, end) in told.lives.stops.get(&door).into_iter().flatten() {
            if *end == Micros::MAX || end - begin <= lease + CLOCK {
                continue;
            }
            let asked_before = |one: &&Said<'_, Owner>| one.asked <= begin + CLOCK;
            let before = || said.iter().take_while(asked_before);
            let late = before()
                .last()
                .is_some_and(|one| one.to > *end && one.answer.mine);
            finding.excused += usize::from(late);
            let Some(first) = said.iter().find(|one| !asked_before(one)) else {
                continue;
            };
            let known = before().filter(|one| one.life == first.life);
            let highest = known.map(|one| one.answer.epoch).max();
            if first.answer.mine && highest.is_some_and(|highest| first.answer.epoch <= highest) {
                let (at, epoch) = (first.to / 1000, first.answer.epoch);
                let stood = (end - begin) / 1000;
                finding.break_rule(|| {
                    format!("d{door} stood still for {stood} ms and said at {at} ms that it was the owner (epoch {epoch})")
                });
            }
        }
    }
}

/// How long nobody was known to be the owner after a fault of the one who was.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gap {
    pub door: usize,
    pub fault: Life,
    pub at_ms: f64,
    /// Up to the first answer by which another was it, or itself in a new life; `None`: never.
    pub ms: Option<f64>,
}

/// One for each kill, stop or planned end of an owner. A stop over which it stayed the owner is none.
pub(super) fn gaps(entries: &[Entry]) -> Vec<Gap> {
    let mut gaps: Vec<(Gap, Micros, bool)> = Vec::new();
    // Who told last that it is the owner, and when that was over at the latest.
    let mut last: Option<(usize, Micros)> = None;
    let mut starts: BTreeMap<usize, Micros> = BTreeMap::new();
    for entry in entries {
        match &entry.event {
            Event::Door {
                door,
                life: Life::Started,
            } => drop(starts.insert(*door, entry.us)),
            Event::Door {
                door,
                life: life @ (Life::Killed | Life::Stopped | Life::Terminated),
            } => {
                let was = last.is_some_and(|(owner, until)| owner == *door && entry.us <= until);
                // A planned end that takes too long is ended by a kill: that is one fault.
                let again = gaps.iter().any(|(gap, _, open)| *open && gap.door == *door);
                if was && !again {
                    let at_ms = entry.us as f64 / 1000.0;
                    gaps.push((
                        Gap {
                            door: *door,
                            fault: *life,
                            at_ms,
                            ms: None,
                        },
                        entry.us,
                        true,
                    ));
                }
            }
            Event::Owner {
                door,
                asked_us,
                answered_us,
                answer,
            } if answer.mine => {
                last = Some((
                    *door,
                    answered_us.saturating_add(answer.left_ms.saturating_mul(1000)),
                ));
                let began = starts.get(door).copied().unwrap_or(0);
                gaps.retain_mut(|(gap, fault, open)| {
                    if !*open || *asked_us <= *fault {
                        return true;
                    }
                    let other = gap.door != *door || began > *fault;
                    if other {
                        gap.ms = Some(answered_us.saturating_sub(*fault) as f64 / 1000.0);
                        *open = false;
                    }
                    other || gap.fault != Life::Stopped
                });
            }
            _ => {}
        }
    }
    gaps.into_iter().map(|(gap, ..)| gap).collect()
}
