//! A congestion window: how much may be in flight, so that what waits for the members' disks, and with it for the
//! primary's link, stays short.
//!
//! As in TCP, the window grows slowly while it is what limits and commits come promptly, and shrinks at once when they are
//! late, at most once per round. A round is counted, not timed: it is over when something that began after the round has
//! left. So the window adapts to whatever link, disk and length of runs it meets. What it counts is its owner's choice:
//! items, or bytes.

/// Part of the window that a prompt round adds: one n-th.
const GROWTH_DIVISOR: usize = 8;
/// Part of what is in flight that a late round takes away: one n-th.
const SHRINK_DIVISOR: usize = 4;

/// How quickly records are committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitPace {
    /// As quickly as wanted.
    Prompt,
    /// The oldest uncommitted record has waited for too long.
    Late,
}

/// How much may be in flight.
#[derive(Debug, Clone)]
pub struct CongestionWindow {
    size: usize,
    min_size: usize,
    /// How much was put in flight so far.
    started: u64,
    /// The round is over when so much has left.
    round_ends_at: u64,
    /// Whether something had to wait for the window in this round.
    limits: bool,
    has_shrunk: bool,
}

impl CongestionWindow {
    /// A window that starts at a size, and never shrinks below another one.
    pub fn new(first: usize, min_size: usize) -> CongestionWindow {
        CongestionWindow {
            size: first,
            min_size,
            started: 0,
            round_ends_at: 0,
            limits: false,
            has_shrunk: false,
        }
    }

    /// How much may be in flight.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Whether commits were ever late: only then does the size say something about the link.
    pub fn has_shrunk(&self) -> bool {
        self.has_shrunk
    }

    /// How much may be started while so much is in flight.
    pub fn available(&self, in_flight: usize) -> usize {
        self.size.saturating_sub(in_flight)
    }

    /// So much was put in flight.
    pub fn record_started(&mut self, amount: usize) {
        self.started += amount as u64;
    }

    /// Something had to wait for the window.
    pub fn record_limited(&mut self) {
        self.limits = true;
    }

    /// Adapts the window, if its round is over.
    pub fn adapt(&mut self, pace: CommitPace, in_flight: usize) {
        let left = self.started.saturating_sub(in_flight as u64);
        if left < self.round_ends_at {
            return;
        }
        match pace {
            CommitPace::Late => self.shrink(in_flight),
            CommitPace::Prompt if self.limits => self.grow(),
            CommitPace::Prompt => return,
        }
        self.limits = false;
        self.round_ends_at = self.started + 1;
    }

    /// Commits are late.
    fn shrink(&mut self, in_flight: usize) {
        let base = self.size.min(in_flight);
        self.size = (base - base / SHRINK_DIVISOR).max(self.min_size);
        self.has_shrunk = true;
    }

    /// Commits were prompt with a full window.
    fn grow(&mut self) {
        self.size = self.size.saturating_add(self.size / GROWTH_DIVISOR);
    }
}
