//! Congestion window: limits the work in flight, so that the backlog of records that wait for the members' disks and
//! for the primary's network link stays short. Used by the engine's overload protection.
//!
//! As in TCP, the window grows slowly while it is the limiting factor and commits are prompt, and shrinks immediately
//! when commits are late, at most once per round trip. A round has no fixed duration: it ends when work that was
//! started after the beginning of the round has completed. The window therefore adapts to the speed of the link and of
//! the disks and to the duration of runs. The unit is the owner's choice: items or bytes.

/// A round with prompt commits grows the window by its size divided by this.
const GROWTH_DIVISOR: usize = 8;
/// A round with late commits shrinks the window to the amount in flight, less that amount divided by this.
const SHRINK_DIVISOR: usize = 4;

/// Whether records are committed in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitPace {
    /// The oldest uncommitted record is younger than the caller's bound.
    Prompt,
    /// The oldest uncommitted record exceeds the caller's bound.
    Late,
}

/// Current size: the amount that may be in flight.
#[derive(Debug, Clone)]
pub struct CongestionWindow {
    size: usize,
    min_size: usize,
    /// Total amount started so far.
    started: u64,
    /// The round ends when this total amount has completed.
    round_ends_at: u64,
    /// Whether work had to wait for the window in this round.
    limits: bool,
    has_shrunk: bool,
}

impl CongestionWindow {
    /// A window with an initial size, which never shrinks below `min_size`.
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

    /// Whether commits were ever late. Before that the size is the initial one or larger, and says nothing about the
    /// link.
    pub fn has_shrunk(&self) -> bool {
        self.has_shrunk
    }

    /// Amount that may be started while `in_flight` is in flight.
    pub fn available(&self, in_flight: usize) -> usize {
        self.size.saturating_sub(in_flight)
    }

    /// Records that work of this amount was started.
    pub fn record_started(&mut self, amount: usize) {
        self.started += amount as u64;
    }

    /// Takes back a start that put no load on anything.
    pub fn withdraw_start(&mut self) {
        self.started = self.started.saturating_sub(1);
    }

    /// Records that work had to wait for the window.
    pub fn record_limited(&mut self) {
        self.limits = true;
    }

    /// Grows or shrinks the window if its round is over.
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

    /// Shrinks the window after late commits.
    fn shrink(&mut self, in_flight: usize) {
        let base = self.size.min(in_flight);
        self.size = (base - base / SHRINK_DIVISOR).max(self.min_size);
        self.has_shrunk = true;
    }

    /// Grows the window after a round in which commits were prompt and the window was full.
    fn grow(&mut self) {
        self.size = self.size.saturating_add(self.size / GROWTH_DIVISOR);
    }
}
