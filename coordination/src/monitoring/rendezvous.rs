//! Rendezvous hashing: the monitors of a process are those with the highest scores for it. A process that joins or
//! leaves changes the monitors of few others.

use super::NodeNumber;

/// Hashes a pair of processes, with the finalizer of `SplitMix64`.
fn score(subject: NodeNumber, monitor: NodeNumber) -> u64 {
    let mut mixed =
        (u64::from(subject) << 32 | u64::from(monitor)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The monitors of a process, the highest score first: `count` of them, or all other processes if there are fewer.
pub fn monitors_of(subject: NodeNumber, nodes: &[NodeNumber], count: usize) -> Vec<NodeNumber> {
    let others = nodes.iter().filter(|node| **node != subject);
    let mut scored: Vec<(u64, NodeNumber)> =
        others.map(|node| (score(subject, *node), *node)).collect();
    scored.sort_unstable_by(|one, other| other.cmp(one));
    scored
        .into_iter()
        .take(count)
        .map(|(_, node)| node)
        .collect()
}

/// The processes that `monitor` monitors.
pub fn subjects_of(monitor: NodeNumber, nodes: &[NodeNumber], count: usize) -> Vec<NodeNumber> {
    let others = nodes.iter().filter(|node| **node != monitor);
    others
        .filter(|subject| is_monitor(monitor, **subject, nodes, count))
        .copied()
        .collect()
}

/// Whether fewer than `count` other processes have a higher score. It usually stops after a few of them.
fn is_monitor(
    monitor: NodeNumber,
    subject: NodeNumber,
    nodes: &[NodeNumber],
    count: usize,
) -> bool {
    let own = (score(subject, monitor), monitor);
    let others = nodes
        .iter()
        .filter(|node| **node != subject && **node != monitor);
    let higher = others.filter(|other| (score(subject, **other), **other) > own);
    higher.take(count).count() < count
}
