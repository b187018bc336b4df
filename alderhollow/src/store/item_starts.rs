//! Selects the items to run next, across all groups that this store leads: those with the earliest deadline that can still
//! be met, among the routes whose service can start an item now.

use super::group_engine::GroupEngine;
use super::node::StoreNode;
use crate::executor::{Postponement, PostponementReason};
use crate::metrics;
use alderhollow_batch::api::{ItemStart, RunEnd, RunId};
use alderhollow_batch::work::Turn;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;

/// Items that are postponed in one round, so that a round ends soon.
const MAX_POSTPONED_PER_ROUND: usize = 256;

/// An item to run, with its group.
pub struct GroupItemStart {
    /// The group.
    pub group: Rc<GroupEngine>,
    /// The item.
    pub item: ItemStart,
}

/// The ready items of a route in one group.
struct ReadyItems {
    group: Rc<GroupEngine>,
    route: String,
}

/// A candidate for the next start, ordered by the turn of its next item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    turn: Turn,
    /// Index in the list of ready items.
    index: usize,
}

impl StoreNode {
    /// Starts items while there is capacity. Returns whether items wait that may start soon.
    pub(super) fn start_items(self: &Rc<Self>) -> bool {
        let ready = self.ready_items();
        let waiting = self.waiting_by_route(&ready);
        self.runs.begin_round(self.led_share(), &waiting);
        let (startable, stranded): (BTreeSet<String>, BTreeSet<String>) = waiting
            .into_keys()
            .partition(|route| self.runs.has_backend(route));
        for ReadyItems { group, .. } in &ready {
            group.set_stranded_routes(&stranded);
        }
        self.start_in_order(&ready);
        !startable.is_empty()
    }

    /// Returns the routes with ready items in each of the groups.
    fn ready_items(self: &Rc<Self>) -> Vec<ReadyItems> {
        let mut ready = Vec::new();
        for group in self.groups().into_iter().filter(|group| group.has_work()) {
            let routes = self.with_group(&group, |engine, now_ms| engine.routes_with_work(now_ms));
            ready.extend(routes.into_iter().map(|route| ReadyItems {
                group: group.clone(),
                route,
            }));
        }
        ready
    }

    /// Returns the number of waiting items in all groups, for each route with ready items.
    fn waiting_by_route(&self, ready: &[ReadyItems]) -> BTreeMap<String, usize> {
        let groups = self.groups();
        let routes: BTreeSet<&String> = ready.iter().map(|ready| &ready.route).collect();
        let waiting_items = |route: &str| {
            let in_group = |group: &Rc<GroupEngine>| {
                self.read_group(group, |engine, _| engine.waiting_items(route))
            };
            groups.iter().map(in_group).sum()
        };
        routes
            .into_iter()
            .map(|route| (route.clone(), waiting_items(route)))
            .collect()
    }

    /// Starts items in the order of their turns. A route that may not start an item now is passed over.
    fn start_in_order(self: &Rc<Self>, ready: &[ReadyItems]) {
        let mut postponed = 0;
        let mut passed_over: BTreeSet<&str> = BTreeSet::new();
        let mut candidates: BinaryHeap<Reverse<Candidate>> = (0..ready.len())
            .filter_map(|index| self.candidate(ready, index))
            .collect();
        while let Some(Reverse(Candidate { index, .. })) = candidates.pop() {
            let Some(ReadyItems { group, route }) = ready.get(index) else {
                continue;
            };
            if passed_over.contains(route.as_str()) {
                continue;
            }
            let Some(admission) = self.runs.admit(route) else {
                passed_over.insert(route);
                continue;
            };
            let items = self.with_group(group, |engine, now_ms| engine.take_work(now_ms, route, 1));
            // A group that returns nothing is no longer a validated primary: it is retried at the next tick.
            let Some(item) = items.into_iter().next() else {
                continue;
            };
            if let Some(postponement) = self.runs.postponement(&admission, &item) {
                self.postpone(group, item.run, postponement);
                postponed += 1;
            } else {
                let group = group.clone();
                self.runs
                    .start(self, admission, GroupItemStart { group, item });
            }
            if postponed < MAX_POSTPONED_PER_ROUND {
                candidates.extend(self.candidate(ready, index));
            }
        }
    }

    /// Postpones an item that no backend can run now, without a start.
    fn postpone(&self, group: &GroupEngine, run: RunId, postponement: Postponement) {
        let Postponement {
            reason,
            retry_after_ms,
        } = postponement;
        match reason {
            PostponementReason::TooLarge => metrics::get().store.item_too_large(),
            PostponementReason::OtherWeights => metrics::get().store.item_without_weights(),
        }
        let end = RunEnd::Postponed { retry_after_ms };
        self.with_group(group, |engine, now_ms| engine.run_ended(now_ms, run, end));
    }

    /// Returns the candidate for the next start among these ready items.
    fn candidate(&self, ready: &[ReadyItems], index: usize) -> Option<Reverse<Candidate>> {
        let ReadyItems { group, route } = ready.get(index)?;
        let turn = self.read_group(group, |engine, now_ms| engine.first_turn(now_ms, route))?;
        Some(Reverse(Candidate { turn, index }))
    }
}
