//! `fenced`: what a front door has once told of a newer epoch keeps it from following an older one, and a version of the map
//! is one map everywhere.

use super::told::{Said, Told};
use super::{Case, Finding};
use crate::record::{Micros, Owner, Shards};
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn fenced(case: &Case<'_>) -> Finding {
    let mut finding = Finding::new("fenced");
    let told = &case.told;
    finding.cases = told.owners.iter().map(Vec::len).sum::<usize>();
    finding.cases += told.shards.iter().map(Vec::len).sum::<usize>();
    for door in 0..told.owners.len().max(told.shards.len()) {
        let owners = told.owners.get(door).map_or(&[][..], Vec::as_slice);
        goes_back(owners, &mut finding);
        let shards = told.shards.get(door).map_or(&[][..], Vec::as_slice);
        stale_maps(told, owners, shards, &mut finding);
    }
    two_hashes(told, &mut finding);
    finding
}

fn goes_back(owners: &[Said<'_, Owner>], finding: &mut Finding) {
    let mut highest: Option<(usize, u64)> = None;
    for one in owners {
        let epoch = one.answer.epoch;
        match highest.filter(|(life, _)| *life == one.life) {
            Some((_, known)) if epoch < known => {
                finding.break_rule(|| {
                    format!(
                        "d{} told of epoch {epoch} at {} ms, after {known}",
                        one.door,
                        one.to / 1000
                    )
                });
                // Told once: what follows is held against what it says now.
                highest = Some((one.life, epoch));
            }
            _ => highest = Some((one.life, epoch)),
        }
    }
}

/// Maps that a front door took over though it had told of a higher epoch than theirs by then. A map that another one had in
/// force before this one first told of that epoch had been decided before: to catch up with it is no act of the old owner.
fn stale_maps(
    told: &Told<'_>,
    owners: &[Said<'_, Owner>],
    shards: &[Said<'_, Shards>],
    finding: &mut Finding,
) {
    let map = |one: &Said<'_, Shards>| (one.answer.version, one.answer.hash.clone());
    for (one, next) in super::told::steps(shards) {
        let Some(epoch) = next.answer.epoch.filter(|_| map(one) != map(next)) else {
            continue;
        };
        // It took the map over after the answer before this one.
        let higher = |owner: &&Said<'_, Owner>| {
            owner.life == one.life && owner.to <= one.from && owner.answer.epoch > epoch
        };
        let Some(first) = owners.iter().find(higher) else {
            continue;
        };
        let others = told
            .shards
            .iter()
            .flatten()
            .filter(|other| other.door != one.door);
        let mut before = others.filter(|other| other.from <= first.to);
        if before.any(|other| map(other) == map(next)) {
            finding.excused += 1;
        } else {
            finding.break_rule(|| {
                let version = next.answer.version.unwrap_or(0);
                let (door, at, known) = (next.door, next.to / 1000, first.answer.epoch);
                format!(
                    "d{door} followed version {version} of epoch {epoch} at {at} ms, after it told of {known}"
                )
            });
        }
    }
}

/// When one life of a front door first and last told of a map.
type Times = (Micros, Micros);

fn two_hashes(told: &Told<'_>, finding: &mut Finding) {
    let mut maps: BTreeMap<u64, BTreeMap<(&str, usize, usize), Times>> = BTreeMap::new();
    for one in told.shards.iter().flatten() {
        let (Some(version), Some(hash)) = (one.answer.version, &one.answer.hash) else {
            continue;
        };
        let of_version = maps.entry(version).or_default();
        let times = of_version
            .entry((hash, one.door, one.life))
            .or_insert((one.from, one.to));
        times.1 = one.to;
    }
    for (version, tellers) in maps {
        let mut found = BTreeSet::new();
        for ((hash, door, _), (from, to)) in &tellers {
            for ((other_hash, other, _), (other_from, other_to)) in &tellers {
                if hash >= other_hash || found.contains(&(*hash, *other_hash)) {
                    continue;
                }
                // After a new start of all, versions may begin anew.
                let anew =
                    |end: Micros, begin: Micros| end < begin && told.lives.all_anew(end, begin);
                if anew(*to, *other_from) || anew(*other_to, *from) {
                    continue;
                }
                found.insert((*hash, *other_hash));
                finding.break_rule(|| {
                    format!("version {version} is {hash} at d{door} and {other_hash} at d{other}")
                });
            }
        }
    }
}
