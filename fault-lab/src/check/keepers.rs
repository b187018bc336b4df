//! `one_keeper`: never two keepers of a key at one instant.

use super::told::{steps, Said, Told, CLOCK};
use super::{Case, Faults, Finding};
use crate::record::{Entry, Event, Micros, Shards};
use std::collections::BTreeMap;

/// Keys, half open.
type Range = (u64, u64);

/// Keys that a front door certainly kept all this time.
struct Block {
    door: usize,
    from: Micros,
    to: Micros,
    keys: Vec<Range>,
}

/// The keys in both, in order.
fn common(a: &[Range], b: &[Range]) -> Vec<Range> {
    let both = |(from, to): &Range| {
        b.iter()
            .map(|(begin, end)| (*from.max(begin), *to.min(end)))
            .collect::<Vec<Range>>()
    };
    let mut common: Vec<Range> = a
        .iter()
        .flat_map(both)
        .filter(|(from, to)| from < to)
        .collect();
    common.sort_unstable();
    common
}

/// What is in two neighbouring answers under one version, no further apart than the shortest lease, was kept all the time
/// between them: to keep it, another would have needed another version, which this one cannot come back from.
fn blocks(told: &Told<'_>) -> Vec<Block> {
    let mut blocks: Vec<Block> = Vec::new();
    for said in &told.shards {
        let mut unbroken = None;
        for (one, next) in steps(said) {
            let (a, b) = (one.answer, next.answer);
            let same = a.version == b.version && a.hash == b.hash;
            if !same || next.from.saturating_sub(one.from) > told.least_lease {
                unbroken = None;
                continue;
            }
            let keys = if a.mine == b.mine {
                a.mine.clone()
            } else {
                common(&a.mine, &b.mine)
            };
            // One block goes on as long as nothing changes and no answer is missing.
            let goes_on = unbroken == Some(one.from)
                && blocks
                    .last()
                    .is_some_and(|block| block.door == one.door && block.keys == keys);
            match blocks.last_mut().filter(|_| goes_on) {
                Some(block) => block.to = next.from,
                None => blocks.push(Block {
                    door: one.door,
                    from: one.to,
                    to: next.from,
                    keys,
                }),
            }
            unbroken = Some(next.from);
        }
    }
    blocks.retain(|block| !block.keys.is_empty() && block.from < block.to);
    blocks.sort_by_key(|block| block.from);
    blocks
}

/// Answers whose keys the one before or after does not have: all others lie within blocks.
fn points<'b, 'a>(told: &'b Told<'a>) -> impl Iterator<Item = &'b Said<'a, Shards>> {
    told.shards.iter().flat_map(|said| {
        said.iter().enumerate().filter_map(|(n, one)| {
            let alike = |other: Option<&Said<'_, Shards>>| {
                other.is_some_and(|other| {
                    other.life == one.life && other.answer.mine == one.answer.mine
                })
            };
            let inner = alike(n.checked_sub(1).and_then(|n| said.get(n))) && alike(said.get(n + 1));
            (!inner && !one.answer.mine.is_empty()).then_some(one)
        })
    })
}

pub(super) fn one_keeper(case: &Case<'_>) -> Finding {
    let mut finding = Finding::new("one_keeper");
    let told = &case.told;
    finding.cases = told.shards.iter().map(Vec::len).sum();
    let blocks = blocks(told);
    // By the two doors and the first keys of both: when, for the first time.
    let mut found: BTreeMap<(usize, usize, Range), Micros> = BTreeMap::new();
    let mut note = |a: usize, b: usize, keys: Vec<Range>, at: Micros| {
        if let Some(first) = keys.first() {
            let at_first = found.entry((a.min(b), a.max(b), *first)).or_insert(at);
            *at_first = at.min(*at_first);
        }
    };
    for (n, one) in blocks.iter().enumerate() {
        let meet = blocks
            .iter()
            .skip(n + 1)
            .take_while(|other| other.from + CLOCK < one.to);
        for other in meet.filter(|other| other.door != one.door && other.from + CLOCK < other.to) {
            note(
                one.door,
                other.door,
                common(&one.keys, &other.keys),
                other.from,
            );
        }
    }
    for one in points(told) {
        let covers = |block: &&Block| {
            block.door != one.door && block.from + CLOCK < one.from && one.to + CLOCK < block.to
        };
        for block in blocks.iter().filter(covers) {
            note(
                one.door,
                block.door,
                common(&one.answer.mine, &block.keys),
                one.from,
            );
        }
    }
    for ((a, b, (from, to)), at) in found {
        finding
            .break_rule(|| format!("d{a} and d{b} both kept [{from}, {to}) at {} ms", at / 1000));
    }
    finding
}

/// How long each version of the map took from the first front door that told of it to the last one, in milliseconds.
/// Those that were killed or stopped meanwhile are left out.
pub(super) fn spread(entries: &[Entry]) -> Vec<f64> {
    let faults = Faults::of(entries);
    let mut first: BTreeMap<u64, BTreeMap<usize, Micros>> = BTreeMap::new();
    let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
    for entry in entries {
        let Event::Shards {
            door,
            answered_us,
            answer,
            ..
        } = &entry.event
        else {
            continue;
        };
        let Some(version) = answer.version else {
            continue;
        };
        let before = newest.insert(*door, version);
        if before != Some(version) {
            first
                .entry(version)
                .or_default()
                .entry(*door)
                .or_insert(*answered_us);
        }
    }
    let mut took = Vec::new();
    for doors in first.values() {
        let begin = doors.values().min().copied().unwrap_or(0);
        let reached = doors.iter().filter(|(door, at)| {
            faults
                .doors
                .get(door)
                .is_none_or(|spans| !super::overlaps(spans, begin, **at))
        });
        let last = reached.map(|(_, at)| *at).max().unwrap_or(begin);
        took.push(last.saturating_sub(begin) as f64 / 1000.0);
    }
    took
}
