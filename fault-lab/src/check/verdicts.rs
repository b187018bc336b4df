//! `verdicts`: what front doors tell of customers, held against what these need in truth.
//!
//! The record has each customer's plan with its requests, and the plan says what the customer needs. That a verdict comes
//! late or is not there breaks nothing: `unknown` is held as cautiously as most need.

use super::{median_and_worst, Case, Finding};
use crate::fleet::Facts;
use crate::kinds::Kind;
use crate::record::{Entry, Event, Life, Micros, Pooling, Session};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// The part of the answers in the last half of a run that may hold a customer without state for more, and how many answers it
/// takes to tell.
const HELD_FOR_MORE: f64 = 0.05;
const ENOUGH: usize = 20;

/// How customers of one kind were told of.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub kind: Kind,
    /// Customers that were asked for, and those of which one verdict was told more often than all else in the last half.
    pub customers: usize,
    pub with_verdict: usize,
    /// The median time from the first request of the run to the first word of that verdict.
    pub first_told_median_ms: Option<f64>,
    /// Answers in the last half, and those that tell less than the truth, the truth, and more.
    pub answers: usize,
    pub less: usize,
    pub right: usize,
    pub more: usize,
}

fn truth(kind: Kind) -> Pooling {
    match kind {
        Kind::Statement => Pooling::Statement,
        Kind::Transaction => Pooling::Transaction,
        Kind::Session => Pooling::Session,
    }
}

/// `unknown` is held as `transaction`.
fn caution(pooling: Pooling) -> Pooling {
    match pooling {
        Pooling::Unknown => Pooling::Transaction,
        known => known,
    }
}

/// One customer and all that was told of it, by time.
struct Asked<'a> {
    customer: u64,
    kind: Kind,
    answers: Vec<(Micros, &'a Session)>,
}

/// The customers that were asked for, and from when on the last half of the run is.
fn asked<'a>(facts: &Facts, entries: &'a [Entry]) -> (Vec<Asked<'a>>, Micros, Micros) {
    let mut plans: HashMap<u64, usize> = HashMap::new();
    let mut first = None;
    for entry in entries {
        if let Event::Sent { customer, plan, .. } = &entry.event {
            first.get_or_insert(entry.us);
            plans.insert(*customer, *plan);
        }
    }
    let first = first.unwrap_or(0);
    let half = first + (facts.seconds.max(0.0) * 500_000.0) as Micros;
    let mut all: BTreeMap<u64, Asked> = BTreeMap::new();
    for entry in entries {
        let Event::Session {
            customer,
            answered_us,
            answer,
            ..
        } = &entry.event
        else {
            continue;
        };
        // One that never sent anything has no truth.
        let Some(plan) = plans.get(customer).and_then(|plan| facts.plans.get(*plan)) else {
            continue;
        };
        let new = || Asked {
            customer: *customer,
            kind: plan.kind,
            answers: Vec::new(),
        };
        all.entry(*customer)
            .or_insert_with(new)
            .answers
            .push((*answered_us, answer));
    }
    (all.into_values().collect(), first, half)
}

pub(super) fn verdicts(case: &Case<'_>) -> Finding {
    let mut finding = Finding::new("verdicts");
    let (all, _, half) = asked(case.facts, case.entries);
    for Asked {
        customer,
        kind,
        answers,
    } in &all
    {
        finding.cases += answers.len();
        let late = || answers.iter().filter(|(at, _)| *at >= half);
        if *kind == Kind::Statement {
            let (of, held) = (
                late().count(),
                late()
                    .filter(|(_, told)| told.pooling > Pooling::Statement)
                    .count(),
            );
            if of >= ENOUGH && held as f64 > HELD_FOR_MORE * of as f64 {
                finding.break_rule(|| {
                    format!(
                        "customer {customer:x} has no state and was held for more in {held} of {of} answers"
                    )
                });
            }
            continue;
        }
        for (at, _) in answers
            .iter()
            .filter(|(_, told)| told.pooling == Pooling::Statement)
        {
            finding.break_rule(|| {
                format!(
                    "customer {customer:x} is bound ({kind:?}) and was told as free at {} ms",
                    at / 1000
                )
            });
        }
    }
    keepers(case, &mut finding);
    fences(case, &mut finding);
    finding
}

/// Whoever is told to keep a customer is one of the front doors.
fn keepers(case: &Case<'_>, finding: &mut Finding) {
    for entry in case.entries {
        let Event::Session {
            door,
            customer,
            answer,
            ..
        } = &entry.event
        else {
            continue;
        };
        let Some(keeper) = &answer.keeper else {
            continue;
        };
        let known = (0..case.facts.doors).any(|door| *keeper == format!("n{door}"));
        if !known {
            finding.break_rule(|| {
                format!("d{door} told that {keeper} keeps {customer:x}, which is no front door")
            });
        }
    }
}

/// Within one life a front door goes back to no older word on a customer. A keeper tells what it would say now, under the fence
/// that it has now; once it keeps no more it tells what it said last, which may have been under an older one. That is excused as
/// long as it is no less cautious.
fn fences(case: &Case<'_>, finding: &mut Finding) {
    let mut last: HashMap<(usize, u64), &Session> = HashMap::new();
    let mut started: HashMap<usize, Micros> = HashMap::new();
    for entry in case.entries {
        match &entry.event {
            Event::Door {
                door,
                life: Life::Started,
            } => {
                started.insert(*door, entry.us);
                last.retain(|(of, _), _| of != door);
            }
            Event::Session {
                door,
                customer,
                asked_us,
                answered_us,
                answer,
            } => {
                // Asked before a start and answered after it, it may be of either life.
                if started.get(door).is_some_and(|start| asked_us <= start) {
                    finding.excused += 1;
                    continue;
                }
                // A front door that has no verdict tells the map's fence; one that it then hears may be older than this map.
                if answer.pooling == Pooling::Unknown && answer.age_ms == 0 {
                    continue;
                }
                let fence = |told: &Session| (told.epoch, told.version);
                let now = fence(answer);
                let before = last.insert((*door, *customer), answer);
                if let Some(told) = before.filter(|told| now < fence(told)) {
                    let kept = told
                        .keeper
                        .as_ref()
                        .is_some_and(|keeper| *keeper == format!("n{door}"));
                    if kept && caution(answer.pooling) >= caution(told.pooling) {
                        finding.excused += 1;
                        continue;
                    }
                    finding.break_rule(|| {
                        format!(
                            "d{door} went back from {:?} to {now:?} (epoch, version) for {customer:x} at {} ms",
                            fence(told),
                            answered_us / 1000
                        )
                    });
                }
            }
            _ => {}
        }
    }
}

/// How each kind was told of; nothing where nobody was asked.
pub(super) fn told(facts: &Facts, entries: &[Entry]) -> Vec<Told> {
    let (all, first, half) = asked(facts, entries);
    let of = |kind: Kind| {
        let all: Vec<&Asked> = all.iter().filter(|one| one.kind == kind).collect();
        if all.is_empty() {
            return None;
        }
        let (mut answers, mut less, mut right, mut more) = (0, 0, 0, 0);
        let mut times = Vec::new();
        for one in &all {
            let mut counts: BTreeMap<Pooling, usize> = BTreeMap::new();
            for (_, told) in one.answers.iter().filter(|(at, _)| *at >= half) {
                answers += 1;
                *counts.entry(told.pooling).or_default() += 1;
                match told.pooling {
                    Pooling::Unknown => {}
                    pooling if pooling < truth(kind) => less += 1,
                    pooling if pooling == truth(kind) => right += 1,
                    _ => more += 1,
                }
            }
            let total: usize = counts.values().sum();
            let most = counts
                .into_iter()
                .find(|(pooling, count)| *pooling != Pooling::Unknown && *count * 2 > total);
            let Some((most, _)) = most else { continue };
            let at = one.answers.iter().find(|(_, told)| told.pooling == most);
            times.extend(at.map(|(at, _)| at.saturating_sub(first) as f64 / 1000.0));
        }
        let (customers, with_verdict) = (all.len(), times.len());
        let first_told_median_ms = median_and_worst(times).0;
        Some(Told {
            kind,
            customers,
            with_verdict,
            first_told_median_ms,
            answers,
            less,
            right,
            more,
        })
    };
    [Kind::Statement, Kind::Transaction, Kind::Session]
        .into_iter()
        .filter_map(of)
        .collect()
}

#[cfg(test)]
mod tests;
