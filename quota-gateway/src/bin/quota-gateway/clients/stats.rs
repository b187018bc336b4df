//! What staff read of the front door: how many requests ended how, and how many are in hand.

use crate::operators::cost::Gauge;
use alderhollow_dataplane::activity::Busy;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use serde_json::{json, Map, Value};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    Served,
    Refused,
    Failed,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Ended {
    served: u64,
    refused: u64,
    failed: u64,
}

/// All counts are from this process's start.
#[derive(Default)]
pub(crate) struct Stats {
    ended: RefCell<Vec<Ended>>,
    /// Attempts whose last byte was written.
    pub attempts: Rc<Cell<u64>>,
    in_flight: Cell<u64>,
    /// Connections of clients, and to discovery.
    pub clients: Gauge,
    pub discovery: Gauge,
    pub reloads_ok: Cell<u64>,
    pub reloads_failed: Cell<u64>,
}

impl Stats {
    pub(crate) fn new(classes: usize) -> Rc<Stats> {
        Rc::new(Stats {
            ended: vec![Ended::default(); classes].into(),
            ..Stats::default()
        })
    }

    /// A request of this class, from here until the entry is dropped.
    pub(crate) fn enter(self: &Rc<Self>, class: usize) -> Entry {
        Entry {
            stats: self.clone(),
            class,
            taken: false,
            fate: Fate::Failed,
        }
    }

    /// How many requests have come, those in hand too.
    pub(crate) fn requests(&self) -> u64 {
        let ended = self.ended.borrow();
        self.in_flight.get()
            + ended
                .iter()
                .map(|ended| ended.served + ended.refused + ended.failed)
                .sum::<u64>()
    }

    /// One line of JSON.
    pub(crate) fn line(&self, classes: &[String], known: usize, excluded: usize) -> String {
        let by_class = |count: fn(&Ended) -> u64| -> Map<String, Value> {
            let ended = self.ended.borrow();
            classes
                .iter()
                .cloned()
                .zip(ended.iter().map(|ended| count(ended).into()))
                .collect()
        };
        json!({
            "served": by_class(|ended| ended.served),
            "refused": by_class(|ended| ended.refused),
            "failed": by_class(|ended| ended.failed),
            "attempts": self.attempts.get(),
            "in_flight": self.in_flight.get(),
            "backends_known": known,
            "backends_excluded": excluded,
            "reloads_ok": self.reloads_ok.get(),
            "reloads_failed": self.reloads_failed.get(),
        })
        .to_string()
    }
}

/// Stands for one request. Dropped, it counts how that ended: as a failure, unless something else came about.
pub(crate) struct Entry {
    stats: Rc<Stats>,
    class: usize,
    taken: bool,
    fate: Fate,
}

impl Entry {
    /// The request is here to its last byte.
    pub(crate) fn taken(&mut self) {
        if !std::mem::replace(&mut self.taken, true) {
            self.stats.in_flight.set(self.stats.in_flight.get() + 1);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if self.taken {
            self.stats.in_flight.set(self.stats.in_flight.get() - 1);
        }
        let ended = &mut self.stats.ended.borrow_mut()[self.class];
        *match self.fate {
            Fate::Served => &mut ended.served,
            Fate::Refused => &mut ended.refused,
            Fate::Failed => &mut ended.failed,
        } += 1;
    }
}

/// An answer's body. The request that it answers ends with it: as `fate` says if all of it was taken to be
/// written, else as a failure.
pub(crate) struct Answered<B> {
    body: B,
    entry: Option<Entry>,
    fate: Fate,
    /// The client's connection is held busy until the answer's end.
    pub busy: Option<Busy>,
}

impl<B: Body> Answered<B> {
    pub(crate) fn new(body: B, entry: Option<Entry>, fate: Fate) -> Answered<B> {
        let mut answered = Answered {
            body,
            entry,
            fate,
            busy: None,
        };
        answered.note_end();
        answered
    }
    fn note_end(&mut self) {
        if let Some(entry) = self.entry.as_mut().filter(|_| self.body.is_end_stream()) {
            entry.fate = self.fate;
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Answered<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none() {
            let fate = self.fate;
            if let Some(entry) = &mut self.entry {
                entry.fate = fate;
            }
        }
        self.note_end();
        Poll::Ready(frame)
    }
    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[cfg(test)]
mod tests;
