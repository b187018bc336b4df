//! The list as it was last told, and what is taken from an agent that lags behind it.
//!
//! Versions grow. An agent whose version is older than the one held has not heard yet what was told before, as may be
//! after SIGHUP, so until it has caught up its list may take away and not give back: a backend that drains or is gone
//! stays so, unless it has started anew since. Discovery may also count anew from a lower number, for good: after `LAG`
//! the list is taken as the agent has it.

use crate::backends::discovery::{List, State, Target};
use quota_gateway::{ListKind, Millis};
use std::collections::BTreeMap;

/// An agent lags by so much at the most.
const LAG: Millis = 30_000.0;

type Targets = BTreeMap<String, Target>;

#[derive(Default)]
pub(crate) struct Catalog {
    /// What is in force.
    targets: Targets,
    /// The newest version taken in, and when that was told, in Unix time.
    rev: u64,
    heard: Millis,
    behind: Option<Behind>,
}

/// An agent that lags.
struct Behind {
    since: Millis,
    /// The newest version, and the agent's.
    newest: Targets,
    own: Targets,
}

impl Catalog {
    pub(crate) fn targets(&self) -> Vec<Target> {
        self.targets.values().cloned().collect()
    }

    /// Takes a list in at `now`, in Unix time. What follows from it.
    pub(crate) fn take_in(&mut self, kind: ListKind, list: List, now: Millis) -> (ListKind, List) {
        let is_older = kind != ListKind::Cached && list.rev < self.rev;
        if !is_older && self.behind.is_none() {
            apply(&mut self.targets, kind, &list);
            (self.rev, self.heard) = (list.rev.max(self.rev), now);
            return (kind, list);
        }
        let mut behind = self.behind.take().unwrap_or_else(|| {
            let newest = self.targets.clone();
            Behind {
                since: now,
                own: newest.clone(),
                newest,
            }
        });
        apply(&mut behind.own, kind, &list);
        if is_older && now < behind.since + LAG {
            self.targets = behind.in_force(self.heard, now);
            self.behind = Some(behind);
        } else {
            (self.targets, self.rev, self.heard) = (behind.own, list.rev, now);
        }
        (
            ListKind::Full,
            List {
                rev: self.rev,
                all: true,
                targets: self.targets(),
            },
        )
    }
}

impl Behind {
    fn in_force(&self, heard: Millis, now: Millis) -> Targets {
        let known = self
            .newest
            .iter()
            .filter(|(uid, held)| match self.own.get(*uid) {
                // A start that the agent has not heard of, or a backend that has gone.
                None => held.boot_ms + LAG > now,
                Some(_) => true,
            });
        let known = known.map(|(uid, held)| match self.own.get(uid) {
            Some(told) if told.boot_ms > held.boot_ms => (uid.clone(), told.clone()),
            Some(told) if told.boot_ms == held.boot_ms && held.state == State::Ready => {
                (uid.clone(), told.clone())
            }
            _ => (uid.clone(), held.clone()),
        });
        // What the newest version does not have is gone, unless it has started since.
        let started = self
            .own
            .iter()
            .filter(|(uid, told)| !self.newest.contains_key(*uid) && told.boot_ms > heard);
        known
            .chain(started.map(|(uid, told)| (uid.clone(), told.clone())))
            .collect()
    }
}

fn apply(targets: &mut Targets, kind: ListKind, list: &List) {
    if kind != ListKind::Delta {
        targets.clear();
    }
    for target in &list.targets {
        match target.state {
            State::Gone => drop(targets.remove(&target.uid)),
            _ => drop(targets.insert(target.uid.clone(), target.clone())),
        }
    }
}

#[cfg(test)]
mod tests;
