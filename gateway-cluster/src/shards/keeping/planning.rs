//! Which map the owner proposes next, once all ranges of the last one are where they belong.

use super::sending::LOOK;
use super::term::{finish_offer, waits, Term};
use super::{Keeping, Note};
use crate::engine::Micros;
use crate::names::{id_of, Id};
use crate::ownership::office::Office;
use crate::shards::map::Map;
use crate::shards::wire::{State, Told};
use crate::shards::{plan, validate, Limits};
use std::collections::BTreeSet;

/// Most keys that move at once by the owner's own plans, in thousandths.
const PLANNED_PERMILLE: u32 = 250;

impl Keeping {
    /// The next map, if there is one to be decided and the last one is where it belongs.
    pub(super) fn change(&mut self, now: Micros, term: &mut Term, office: &Office) -> bool {
        let Some(current) = &term.current else {
            return false;
        };
        self.fleet.epoch = term.epoch;
        let (fleet, limits) = (&self.fleet, self.limits);
        let lives: BTreeSet<Id> = fleet.living().map(id_of).collect();
        if now < term.look_at || !office.is_majority(|name| lives.contains(&name)) {
            return false;
        }
        if !waits(now, term).0.is_empty() {
            return false;
        }
        term.look_at = now + LOOK;
        let mut note = None;
        let mut next = plan::without(current, fleet, &limits).unwrap_or_else(|problem| {
            note = Some(Note::Refused(problem.to_string()));
            None
        });
        let mut offer = None;
        let mut refused = Vec::new();
        for offered in term
            .offers
            .iter()
            .filter(|offered| offered.state == State::Waiting)
        {
            if next.is_some() {
                break;
            }
            let map = Map {
                parent: current.hash(),
                epoch: term.epoch,
                ..offered.map.clone()
            };
            let findings = validate(Some(current), &map, fleet, &limits);
            if findings.is_empty() {
                (next, offer) = (Some(map), Some(offered.hash));
            } else {
                refused.push((offered.hash, findings.iter().map(Told::from).collect()));
            }
        }
        if next.is_none() && now >= term.elected + self.keep {
            let planned = Limits {
                moved_permille: PLANNED_PERMILLE,
                ..limits
            };
            let keeps: BTreeSet<&str> = current
                .ranges
                .iter()
                .map(|range| range.keeper.as_str())
                .collect();
            let new = fleet.living().filter(|name| !keeps.contains(name));
            next = plan::joined(current, new, fleet, &planned).unwrap_or_else(|problem| {
                note = Some(Note::Refused(problem.to_string()));
                None
            });
        }
        for (hash, findings) in refused {
            finish_offer(term, hash, State::Refused, findings);
        }
        if let Some(note) = note {
            self.note(note);
        }
        let Some(map) = next else { return false };
        self.begin(now, term, map, false, offer);
        true
    }
}
