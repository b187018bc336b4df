//! What customers' work needs of the connections that it comes on, without I/O: a backend's book of the state that lives in
//! them, and the figures of a run that follow.
//!
//! A backend knows its connections, who used each one last, and when. It knows no runs: state for a run is over once its
//! customer has sent nothing to this backend for as long as the plan says. Each backend judges alone. One that starts anew
//! knows nobody, so that nothing is missed there.

use crate::fleet::Facts;
use crate::model::Millis;
use crate::record::{Ending, Entry, Event};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

/// How customers' work depends on the connection, in the terms of database poolers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Any connection will do.
    #[default]
    Statement,
    /// The requests of one run need the same connection.
    Transaction,
    /// All requests need the same connection.
    Session,
}

/// What one customer's work needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    pub kind: Kind,
    /// State for a run is over so long after the last request.
    pub run_gap_ms: Millis,
    /// What comes through each front door has state of its own, as a pooler's clients have; else the customer has one state,
    /// which is lost when a request comes by way of another front door.
    pub per_door: bool,
}

/// What became of a request that may need state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It needs none yet, and begins it on its connection.
    First,
    /// It is there.
    Kept,
    /// Another customer used the connection in between.
    Shared,
    /// It is on another connection of the same front door.
    Elsewhere,
    /// It is on a connection of another front door.
    OtherDoor,
    /// It went with the connection that it was on.
    Closed,
}

impl State {
    /// Whether the request fails for want of it.
    pub fn is_lost(self) -> bool {
        !matches!(self, State::First | State::Kept)
    }
}

/// A connection, by its number in a backend's book.
pub type Connection = u64;

/// Where a customer's state is.
#[derive(Debug)]
struct Held {
    on: Connection,
    door: usize,
    used: Millis,
}

/// A connection that stands.
#[derive(Debug)]
struct Open {
    door: usize,
    /// The customer that used it last.
    last: Option<u64>,
}

/// What one backend knows of its connections and of the state in them.
#[derive(Debug, Default)]
pub struct Book {
    numbered: Connection,
    open: HashMap<Connection, Open>,
    /// By customer, and by front door where each has its own.
    held: HashMap<(u64, Option<usize>), Held>,
}

impl Book {
    /// A connection from this front door comes up.
    pub fn opened(&mut self, door: usize) -> Connection {
        self.numbered += 1;
        self.open.insert(self.numbered, Open { door, last: None });
        self.numbered
    }

    /// A connection ends, and the state on it.
    pub fn closed(&mut self, connection: Connection) {
        self.open.remove(&connection);
    }

    /// Connections that stand.
    pub fn connections(&self) -> usize {
        self.open.len()
    }

    /// The backend stands anew: it knows nobody. Connections end by themselves.
    pub fn forget(&mut self) {
        self.held.clear();
    }

    /// A request runs. `None` where it may come on any connection. State that is lost is begun anew where the request came.
    pub fn runs(
        &mut self,
        now: Millis,
        on: Connection,
        customer: u64,
        need: Need,
    ) -> Option<State> {
        let open = self.open.get_mut(&on)?;
        let (door, last) = (open.door, open.last.replace(customer));
        if need.kind == Kind::Statement {
            return None;
        }
        let key = (customer, need.per_door.then_some(door));
        let before = self.held.insert(
            key,
            Held {
                on,
                door,
                used: now,
            },
        );
        let Some(before) = before else {
            return Some(State::First);
        };
        if need.kind == Kind::Transaction && now - before.used > need.run_gap_ms {
            return Some(State::First);
        }
        Some(match self.open.contains_key(&before.on) {
            _ if before.on == on && last == Some(customer) => State::Kept,
            _ if before.on == on => State::Shared,
            false => State::Closed,
            true if before.door == door => State::Elsewhere,
            true => State::OtherDoor,
        })
    }
}

/// What became of the customers of one plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fared {
    pub plan: String,
    pub kind: Kind,
    /// What clients sent, what was refused, what ended as failed for them, and for how much of this state was lost at a
    /// backend.
    pub requests: usize,
    pub refused: usize,
    pub failed: usize,
    pub failed_by_break: usize,
    /// Attempts that needed state at a backend, and those that failed for want of it.
    pub needed: usize,
    pub breaks: usize,
    /// Those that failed, by what became of the state.
    pub by_cause: BTreeMap<State, usize>,
    /// How many of the same attempts would have failed if each customer had a connection of its own from each front door to
    /// each backend, for good; and how many connections that were. A door might have picked otherwise then.
    pub breaks_if_private: usize,
    pub private_connections: usize,
}

/// What a run with customers that are bound to connections comes to.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    pub plans: Vec<Fared>,
    /// Connections open at all backends together, sampled each second.
    pub connections_mean: f64,
    pub connections_most: usize,
}

/// A backend at which each customer has a connection of its own from each front door.
#[derive(Default)]
struct Private {
    book: Book,
    own: HashMap<(usize, u64), Connection>,
}

/// Computes it from a run's record. `None` where nobody is bound.
pub fn bound(facts: &Facts, entries: &[Entry]) -> Option<Bound> {
    if !facts.binds() {
        return None;
    }
    let mut plans: Vec<Fared> = facts
        .plans
        .iter()
        .map(|plan| Fared {
            plan: plan.name.clone(),
            kind: plan.kind,
            requests: 0,
            refused: 0,
            failed: 0,
            failed_by_break: 0,
            needed: 0,
            breaks: 0,
            by_cause: BTreeMap::new(),
            breaks_if_private: 0,
            private_connections: 0,
        })
        .collect();
    let (mut sent, mut broken) = (HashMap::<&str, usize>::new(), HashSet::<&str>::new());
    let mut samples: BTreeMap<u64, usize> = BTreeMap::new();
    let mut private: HashMap<usize, Private> = HashMap::new();
    for entry in entries {
        match &entry.event {
            Event::Sent { id, plan, .. } => {
                sent.insert(id, *plan);
                if let Some(fared) = plans.get_mut(*plan) {
                    fared.requests += 1;
                }
            }
            Event::Ended { id, ending, .. } => {
                let Some(fared) = sent.get(id.as_str()).and_then(|plan| plans.get_mut(*plan))
                else {
                    continue;
                };
                let failed = *ending == Ending::Failed;
                fared.refused += usize::from(*ending == Ending::Refused);
                fared.failed += usize::from(failed);
                fared.failed_by_break += usize::from(failed && broken.contains(id.as_str()));
            }
            Event::State {
                id,
                backend,
                door,
                customer,
                plan,
                state,
                ..
            } => {
                let (Some(fared), Some(rules)) = (plans.get_mut(*plan), facts.plans.get(*plan))
                else {
                    continue;
                };
                fared.needed += usize::from(*state != State::First);
                if state.is_lost() {
                    broken.insert(id);
                    fared.breaks += 1;
                    *fared.by_cause.entry(*state).or_default() += 1;
                }
                let Private { book, own } = private.entry(*backend).or_default();
                let on = *own.entry((*door, *customer)).or_insert_with(|| {
                    fared.private_connections += 1;
                    book.opened(*door)
                });
                let state = book.runs(entry.us as f64 / 1000.0, on, *customer, rules.need());
                fared.breaks_if_private += usize::from(state.is_some_and(State::is_lost));
            }
            Event::Backend { backend, state } if state == "restart" => {
                private.entry(*backend).or_default().book.forget();
            }
            // Each backend tells within some milliseconds after each whole second. Those before the traffic do not count.
            Event::Connections { open, .. } if !sent.is_empty() => {
                *samples.entry(entry.us / 1_000_000).or_default() += open;
            }
            _ => {}
        }
    }
    let connections_mean = samples.values().sum::<usize>() as f64 / samples.len().max(1) as f64;
    let connections_most = samples.values().max().copied().unwrap_or(0);
    Some(Bound {
        plans,
        connections_mean,
        connections_most,
    })
}

impl Bound {
    /// Plain lines for people.
    pub fn lines(&self) -> Vec<String> {
        let percent = |part: usize, of: usize| 100.0 * part as f64 / of.max(1) as f64;
        let mut lines: Vec<String> = self
            .plans
            .iter()
            .map(|fared| {
                let Fared { requests, refused, failed, failed_by_break, needed, breaks, .. } = fared;
                let kind = format!("{:?}", fared.kind).to_lowercase();
                let causes = serde_json::to_string(&fared.by_cause).unwrap_or_default();
                format!(
                    "{:<12}{kind:<12}{requests} requests, {refused} refused, {failed} failed ({:.2}%), {failed_by_break} of them by a break; \
                     {breaks} of {needed} that needed state broke ({:.1}%) {causes}; if private, {} break on {} connections",
                    fared.plan,
                    percent(*failed, *requests),
                    percent(*breaks, *needed),
                    fared.breaks_if_private,
                    fared.private_connections,
                )
            })
            .collect();
        lines.push(format!(
            "connections open at the backends: {:.1} in the mean, {} at most",
            self.connections_mean, self.connections_most
        ));
        lines
    }
}

#[cfg(test)]
mod tests;
