//! What became of a process's polls since the last one that a primary with a lease answered. When the gap was long, its log
//! line tells apart why the tables were out of date: answers that came late, redirects, or nobody who could be reached.

use crate::metrics;
use crate::metrics::distribution::PollEnd;
use std::fmt;

/// A gap shorter than this, in ms, is not logged. It leaves room for two time-outs of a poll.
const LOGGED_GAP_MS: u64 = 1_500;

/// How many polls ended how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PollEnds {
    /// Polls that were not answered in time; an answer may still have come.
    pub overdue: u32,
    /// Answers of processes that were not the primary.
    pub redirected: u32,
    /// Polls of processes that could not be reached, or that failed otherwise.
    pub failed: u32,
}

impl fmt::Display for PollEnds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} polls overdue, {} redirected, {} failed",
            self.overdue, self.redirected, self.failed
        )
    }
}

/// The time since the newest validated poll, and the polls since.
#[derive(Debug, Default)]
pub struct ValidationGap {
    validated_at_ms: Option<u64>,
    ends: PollEnds,
}

/// A gap that has just ended and was long enough to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongGap {
    /// Time between the last validated poll and the arrival of the next update.
    pub duration_ms: u64,
    /// What became of the polls within it.
    pub ends: PollEnds,
}

impl ValidationGap {
    /// Counts a poll that brought no update.
    pub fn on_unvalidated(&mut self, end: PollEnd) {
        metrics::get().distribution.poll_ended(end);
        match end {
            PollEnd::Updated => {}
            PollEnd::Overdue => self.ends.overdue += 1,
            PollEnd::Redirected => self.ends.redirected += 1,
            PollEnd::Failed => self.ends.failed += 1,
        }
    }

    /// Counts an update of a poll that was sent at a time, and ends the gap before it.
    pub fn on_validated(&mut self, sent_at_ms: u64, now_ms: u64) -> Option<LongGap> {
        metrics::get().distribution.poll_ended(PollEnd::Updated);
        let ends = std::mem::take(&mut self.ends);
        let before_ms = self.validated_at_ms.replace(sent_at_ms)?;
        let duration_ms = now_ms.saturating_sub(before_ms);
        (duration_ms >= LOGGED_GAP_MS).then_some(LongGap { duration_ms, ends })
    }
}
