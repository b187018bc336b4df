//! Coverage of the key space by ranges: gaps, overlaps, and keys that exactly one range covers.
//!
//! Pure functions, used by the validation and by the plans.

use super::map::{Key, ShardRange};

/// Keys `[from, to)`.
pub(super) type Span = (Key, Key);

/// Keys that exactly one range covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CoveredSpan {
    pub from: Key,
    pub to: Key,
    /// Index of the range in the map.
    pub range: usize,
}

/// The key space, by the number of ranges that cover it. Each list is in the order of keys; neighbouring gaps, and
/// neighbouring overlaps, are joined.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Cover {
    pub gaps: Vec<Span>,
    pub overlaps: Vec<Span>,
    pub covered_once: Vec<CoveredSpan>,
}

/// The bounds of a range, in order. A reversed range is a finding of its own, and counts as covering its keys, so that
/// they are not reported as a gap as well.
pub(super) fn normalized_bounds(range: &ShardRange) -> Span {
    (range.from.min(range.to), range.from.max(range.to))
}

/// Sweeps over all bounds in the order of keys. The result does not depend on the order in which the ranges are listed.
pub(super) fn cover(ranges: &[ShardRange], end: Key) -> Cover {
    let mut bounds: Vec<(Key, usize, bool)> = Vec::with_capacity(ranges.len().saturating_mul(2));
    for (number, range) in ranges.iter().enumerate() {
        let (from, to) = normalized_bounds(range);
        if from < to.min(end) {
            bounds.push((from, number, true));
            bounds.push((to.min(end), number, false));
        }
    }
    bounds.sort_unstable();
    // A last bound at the end of the key space, so that a gap before it is found.
    bounds.push((end, 0, false));

    let mut found = Cover::default();
    let (mut position, mut covering, mut covering_xor) = (0, 0_usize, 0_usize);
    for (bound, number, opens) in bounds {
        if position < bound {
            match covering {
                0 => add(&mut found.gaps, position, bound),
                // `covering_xor` is the XOR of the indexes of all ranges open here: with one range open it is the index
                // of that range.
                1 => found.covered_once.push(CoveredSpan {
                    from: position,
                    to: bound,
                    range: covering_xor,
                }),
                _ => add(&mut found.overlaps, position, bound),
            }
            position = bound;
        }
        covering_xor ^= number;
        covering = if opens {
            covering + 1
        } else {
            covering.saturating_sub(1)
        };
    }
    found
}

fn add(spans: &mut Vec<Span>, from: Key, to: Key) {
    match spans.last_mut() {
        Some(last) if last.1 == from => last.1 = to,
        _ => spans.push((from, to)),
    }
}

/// Keys that exactly one range covers in both maps, split at the bounds of either, with the indexes of both ranges.
pub(super) fn intersect(old: &[CoveredSpan], new: &[CoveredSpan]) -> Vec<(Span, usize, usize)> {
    let mut both = Vec::new();
    let (mut old_spans, mut new_spans) = (old.iter().peekable(), new.iter().peekable());
    while let (Some(a), Some(b)) = (old_spans.peek(), new_spans.peek()) {
        let span = (a.from.max(b.from), a.to.min(b.to));
        if span.0 < span.1 {
            both.push((span, a.range, b.range));
        }
        if a.to <= b.to {
            old_spans.next();
        } else {
            new_spans.next();
        }
    }
    both
}

/// The same keys as sorted spans that do not touch.
pub(super) fn merged(spans: &[Span]) -> Vec<Span> {
    let mut sorted: Vec<Span> = spans
        .iter()
        .copied()
        .filter(|span| span.0 < span.1)
        .collect();
    sorted.sort_unstable();
    let mut merged: Vec<Span> = Vec::new();
    for (from, to) in sorted {
        match merged.last_mut() {
            Some(last) if from <= last.1 => last.1 = last.1.max(to),
            _ => merged.push((from, to)),
        }
    }
    merged
}
