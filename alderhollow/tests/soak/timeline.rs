//! What struck a tier, and when.

use super::troubles::Trouble;
use std::cell::RefCell;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;
use tokio::time::Instant;

/// Beginning or end of a trouble.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Edge {
    Begin,
    End,
}

struct Entry {
    at: Duration,
    edge: Edge,
    trouble: Trouble,
}

/// The troubles so far, in order.
pub(crate) struct Timeline {
    started: Instant,
    entries: RefCell<Vec<Entry>>,
}

impl Timeline {
    /// A timeline whose times count from now.
    pub(crate) fn new() -> Timeline {
        Timeline {
            started: Instant::now(),
            entries: RefCell::default(),
        }
    }

    /// Notes the beginning or the end of a trouble.
    pub(crate) fn note(&self, edge: Edge, trouble: &Trouble) {
        let entry = Entry {
            at: self.started.elapsed(),
            edge,
            trouble: trouble.clone(),
        };
        self.entries.borrow_mut().push(entry);
    }

    /// Time since its beginning.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Number of troubles that began.
    pub(crate) fn troubles(&self) -> usize {
        self.entries
            .borrow()
            .iter()
            .filter(|entry| matches!(entry.edge, Edge::Begin))
            .count()
    }
}

impl Display for Timeline {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for entry in self.entries.borrow().iter() {
            let edge = match entry.edge {
                Edge::Begin => "begins",
                Edge::End => "ends",
            };
            writeln!(
                f,
                "{:8.3} s  {} {edge}",
                entry.at.as_secs_f64(),
                entry.trouble
            )?;
        }
        Ok(())
    }
}
