//! The check that every gateway makes before it accepts a map.

use super::cover::{cover, intersect, merged, normalized_bounds, Cover};
use super::finding::{shown, Finding, MAX_FINDINGS_PER_RULE};
use super::map::{MapHash, ShardMap};
use super::{ClusterState, Limits, PeerCondition};
use std::collections::BTreeMap;

/// All findings against a map; empty if it may come into force. At most [`MAX_FINDINGS_PER_RULE`] for each rule,
/// followed by one with the number of those left out; in the order of [`Rule::ALL`](super::Rule::ALL), within a rule in
/// the order of keys or of the list. Takes time in `n log n` and memory in `n` of the number of ranges, for any input.
///
/// Each fault is reported once:
/// * a reversed range is `empty`, and counts as covering the keys between its bounds; an empty range covers nothing;
/// * gaps and overlaps are those of the key space, whatever the order of the list. Keys past its end are reported by
///   `beyond` only;
/// * keys that are covered twice or not at all count neither as moved nor for a share, since their owner is undefined;
/// * an owner that had more than its share, and gets no more keys, is accepted.
///
/// Keys whose owner in force is gone (dead, leaving or not in the peer set) do not count as moved. They do count as
/// moving: a move that is not complete has another gateway at its other end, which may still act as the owner.
///
/// Without a map in force (a gateway after its start) version 1 has no parent, and each later version has one.
pub fn validate(
    in_force: Option<&ShardMap>,
    new: &ShardMap,
    cluster: &ClusterState,
    limits: &Limits,
) -> Vec<Finding> {
    let covered = cover(&new.ranges, limits.keys);
    let mut findings = Vec::new();
    push_findings(
        &mut findings,
        covered
            .gaps
            .iter()
            .map(|&(from, to)| Finding::Gap { from, to }),
    );
    push_findings(
        &mut findings,
        covered
            .overlaps
            .iter()
            .map(|&(from, to)| Finding::Overlap { from, to }),
    );
    push_findings(&mut findings, empty(new));
    push_findings(&mut findings, order(new));
    push_findings(&mut findings, beyond(new, limits));
    push_findings(&mut findings, owners(new, cluster));
    push_findings(&mut findings, parent(in_force, new));
    push_findings(&mut findings, version(in_force, new));
    push_findings(&mut findings, epoch(in_force, new, cluster));
    let change = in_force.map(|old| Change::new(old, new, &covered, limits));
    push_findings(
        &mut findings,
        change
            .iter()
            .flat_map(|change| change.moved(cluster, limits)),
    );
    push_findings(
        &mut findings,
        shares(change.as_ref(), new, &covered, cluster, limits),
    );
    push_findings(
        &mut findings,
        change.iter().flat_map(|change| change.moving(cluster)),
    );
    let size = Finding::Size {
        ranges: new.ranges.len(),
        max: limits.ranges,
    };
    push_findings(
        &mut findings,
        (new.ranges.len() > limits.ranges).then_some(size),
    );
    findings
}

/// Appends the findings of one rule, up to the limit, and the number of those left out.
fn push_findings(all: &mut Vec<Finding>, of_one_rule: impl IntoIterator<Item = Finding>) {
    let mut findings = of_one_rule.into_iter();
    all.extend(findings.by_ref().take(MAX_FINDINGS_PER_RULE));
    let (mut more, mut rule) = (0, None);
    for finding in findings {
        more += 1;
        rule = Some(finding.rule());
    }
    all.extend(rule.map(|rule| Finding::More { rule, more }));
}

fn empty(new: &ShardMap) -> impl Iterator<Item = Finding> + '_ {
    new.ranges
        .iter()
        .filter(|range| range.from >= range.to)
        .map(|range| {
            let (from, to) = (range.from, range.to);
            match from == to {
                true => Finding::Empty { from, to },
                false => Finding::Reversed { from, to },
            }
        })
}

/// Compares each range with the one listed before it. A swap of two neighbours yields one finding, of any two ranges at
/// most two. Empty ranges are skipped.
fn order(new: &ShardMap) -> impl Iterator<Item = Finding> + '_ {
    let normalized_bounds = || {
        new.ranges
            .iter()
            .map(normalized_bounds)
            .filter(|(from, to)| from < to)
    };
    normalized_bounds()
        .zip(normalized_bounds().skip(1))
        .filter(|(before, next)| next.0 < before.0)
        .map(|(before, (from, to))| Finding::Order {
            from,
            to,
            after: before.0,
        })
}

fn beyond<'a>(new: &'a ShardMap, limits: &'a Limits) -> impl Iterator<Item = Finding> + 'a {
    let end = limits.keys;
    let bounds = new
        .ranges
        .iter()
        .map(normalized_bounds)
        .filter(move |(from, to)| from < to && *to > end);
    bounds.map(move |(from, to)| Finding::Beyond {
        from: from.max(end),
        to,
        end,
    })
}

fn owners<'a>(new: &'a ShardMap, cluster: &'a ClusterState) -> impl Iterator<Item = Finding> + 'a {
    new.ranges.iter().filter_map(|range| {
        let (from, to) = (range.from, range.to);
        let owner = || shown(&range.owner);
        match cluster.gateways.get(&range.owner) {
            Some(PeerCondition::Alive) => None,
            Some(PeerCondition::Dead) => Some(Finding::OwnerDead {
                from,
                to,
                owner: owner(),
            }),
            Some(PeerCondition::Leaving) => Some(Finding::OwnerLeaving {
                from,
                to,
                owner: owner(),
            }),
            None => Some(Finding::OwnerUnknown {
                from,
                to,
                owner: owner(),
            }),
        }
    })
}

fn parent(in_force: Option<&ShardMap>, new: &ShardMap) -> Option<Finding> {
    let parent = new.parent;
    if let Some(old) = in_force {
        let needed = old.hash();
        return (parent != needed).then_some(Finding::Parent { parent, needed });
    }
    match (new.version, parent) {
        // Version 0 is reported by its own rule.
        (0, _) | (1, MapHash::NONE) => None,
        (1, _) => Some(Finding::ParentOfFirst { parent }),
        (version, MapHash::NONE) => Some(Finding::ParentMissing { version }),
        _ => None,
    }
}

fn version(in_force: Option<&ShardMap>, new: &ShardMap) -> Option<Finding> {
    let version = new.version;
    let Some(old) = in_force else {
        return (version == 0).then_some(Finding::Version { version, needed: 1 });
    };
    match old.version.checked_add(1) {
        None => Some(Finding::VersionLast {
            version: old.version,
        }),
        Some(needed) => (version != needed).then_some(Finding::Version { version, needed }),
    }
}

fn epoch(in_force: Option<&ShardMap>, new: &ShardMap, cluster: &ClusterState) -> Option<Finding> {
    let needed = cluster.epoch.max(in_force.map_or(0, |old| old.epoch));
    (new.epoch < needed).then_some(Finding::Epoch {
        epoch: new.epoch,
        needed,
    })
}

/// Keys of each owner, of those that exactly one range covers.
fn owned_keys<'a>(map: &'a ShardMap, covered: &Cover) -> BTreeMap<&'a str, u64> {
    let mut owned_keys = BTreeMap::new();
    for span in &covered.covered_once {
        if let Some(range) = map.ranges.get(span.range) {
            *owned_keys.entry(range.owner.as_str()).or_default() += span.to - span.from;
        }
    }
    owned_keys
}

fn shares(
    change: Option<&Change>,
    new: &ShardMap,
    covered: &Cover,
    cluster: &ClusterState,
    limits: &Limits,
) -> Vec<Finding> {
    let max = limits.max_owned(cluster.living().count());
    let over = owned_keys(new, covered)
        .into_iter()
        .filter(|(owner, keys)| {
            let had = change
                .and_then(|change| change.owned_keys.get(owner))
                .copied();
            // Keys assigned to a gateway that is not alive are reported by the rule `owner`.
            *keys > max && had.is_none_or(|had| *keys > had) && cluster.is_alive(owner)
        });
    over.map(|(owner, keys)| Finding::Share {
        owner: shown(owner),
        keys,
        max,
    })
    .collect()
}

/// Keys `[from, to)` that change their owner, with both owners.
struct Moves<'a> {
    from: u64,
    to: u64,
    old: &'a str,
    new: &'a str,
}

/// Difference between a new map and the map in force.
struct Change<'a> {
    /// Keys of each owner in the map in force.
    owned_keys: BTreeMap<&'a str, u64>,
    moves: Vec<Moves<'a>>,
}

impl<'a> Change<'a> {
    fn new(old: &'a ShardMap, new: &'a ShardMap, covered: &Cover, limits: &Limits) -> Change<'a> {
        let before = cover(&old.ranges, limits.keys);
        let mut moves: Vec<Moves> = Vec::new();
        for ((from, to), had, has) in intersect(&before.covered_once, &covered.covered_once) {
            let (Some(had), Some(has)) = (old.ranges.get(had), new.ranges.get(has)) else {
                continue;
            };
            if had.owner == has.owner {
                continue;
            }
            match moves.last_mut() {
                // A move that crosses a bound of either map is split there: the parts are joined again.
                Some(last) if last.to == from && last.old == had.owner && last.new == has.owner => {
                    last.to = to;
                }
                _ => moves.push(Moves {
                    from,
                    to,
                    old: &had.owner,
                    new: &has.owner,
                }),
            }
        }
        Change {
            owned_keys: owned_keys(old, &before),
            moves,
        }
    }

    fn moved(&self, cluster: &ClusterState, limits: &Limits) -> Option<Finding> {
        let counted = self
            .moves
            .iter()
            .filter(|moves| cluster.is_alive(moves.old));
        let keys = counted.map(|moves| moves.to - moves.from).sum();
        let max = limits.max_moved();
        (keys > max).then_some(Finding::Moved { keys, max })
    }

    fn moving(&self, cluster: &ClusterState) -> Vec<Finding> {
        let moving = merged(&cluster.moving);
        let mut found = Vec::new();
        for moves in &self.moves {
            let first = moving.partition_point(|span| span.1 <= moves.from);
            for span in moving
                .iter()
                .skip(first)
                .take_while(|span| span.0 < moves.to)
            {
                let (from, to) = (span.0.max(moves.from), span.1.min(moves.to));
                found.push(Finding::Moving {
                    from,
                    to,
                    old: shown(moves.old),
                    new: shown(moves.new),
                });
            }
        }
        found
    }
}
