//! Selects the items to run next, across all groups that this store leads: those with the earliest deadline that can still
//! be met.

use super::group_engine::GroupEngine;
use super::node::StoreNode;
use alderhollow_batch::api::ItemStart;
use alderhollow_batch::work::Turn;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::rc::Rc;

/// An item to run, with its group.
pub struct GroupItemStart {
    /// The group.
    pub group: Rc<GroupEngine>,
    /// The item.
    pub item: ItemStart,
}

/// A group with ready items of a route, ordered by the turn of its next item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueGroup {
    turn: Turn,
    /// Index in the list of groups.
    index: usize,
}

impl StoreNode {
    /// Starts items while there is capacity. Returns whether any route had waiting items.
    pub(super) fn start_items(self: &Rc<Self>) -> bool {
        let groups: Vec<Rc<GroupEngine>> = self
            .groups()
            .into_iter()
            .filter(|group| group.has_work())
            .collect();
        let routes = self.routes_with_work(&groups);
        for route in &routes {
            let max_items = self
                .runs
                .startable_items(self.led_share(), self.waiting_items());
            if max_items == 0 {
                break;
            }
            let starts = self.take_earliest_due(&groups, route, max_items);
            self.runs.start(self, starts);
        }
        !routes.is_empty()
    }

    /// Returns the routes with waiting items in any of the groups.
    fn routes_with_work(self: &Rc<Self>, groups: &[Rc<GroupEngine>]) -> BTreeSet<String> {
        let routes = |group: &Rc<GroupEngine>| {
            self.with_group(group, |engine, now_ms| engine.routes_with_work(now_ms))
        };
        groups.iter().flat_map(routes).collect()
    }

    /// Returns the number of waiting items in all groups.
    fn waiting_items(&self) -> usize {
        self.groups()
            .iter()
            .map(|group| self.read_group(group, |engine, _| engine.load().0))
            .sum()
    }

    /// Takes up to `max_items` items of a route, earliest due first.
    fn take_earliest_due(
        self: &Rc<Self>,
        groups: &[Rc<GroupEngine>],
        route: &str,
        max_items: usize,
    ) -> Vec<GroupItemStart> {
        let due_group = |index: usize| {
            let turn = self.read_group(&groups[index], |engine, now_ms| {
                engine.first_turn(now_ms, route)
            })?;
            Some(Reverse(DueGroup { turn, index }))
        };
        let mut due_groups: BinaryHeap<Reverse<DueGroup>> =
            (0..groups.len()).filter_map(due_group).collect();
        let mut starts = Vec::new();
        while starts.len() < max_items {
            let Some(Reverse(DueGroup { index, .. })) = due_groups.pop() else {
                break;
            };
            let group = &groups[index];
            let items = self.with_group(group, |engine, now_ms| engine.take_work(now_ms, route, 1));
            // A group that returns nothing is no longer a validated primary: it is retried at the next tick.
            if !items.is_empty() {
                due_groups.extend(due_group(index));
            }
            starts.extend(items.into_iter().map(|item| GroupItemStart {
                group: group.clone(),
                item,
            }));
        }
        starts
    }
}
