//! State machine that finds the core's primary: it chooses the process that the next poll goes to and the delay before it.
//! No I/O and no clock; the poll client passes it the results.
//!
//! A known primary is polled without delay. Otherwise a hint (a redirect or an announcement) is followed, and without one
//! the candidates are polled in turn with a growing, randomised delay.

use oorandom::Rand32;
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest and longest backoff after a process that doesn't know the primary or can't be reached. The actual delay is drawn
/// between half of the backoff and all of it.
const MIN_BACKOFF: Duration = Duration::from_millis(40);
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// Number of consecutive hints that are followed before the candidates are polled in turn again.
const MAX_CONSECUTIVE_HINTS: u32 = 3;
/// Maximum number of turns for which a failed process is skipped; fewer if two rounds over the candidates are shorter.
const MAX_TURNS_AVOIDED: usize = 8;

/// The next process to poll, and the delay before the poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextPoll {
    /// The process's internal address.
    pub to: SocketAddr,
    /// Time to wait before the poll.
    pub delay: Duration,
}

/// A process that did not answer. Others may still redirect to it.
#[derive(Debug, Clone, Copy)]
struct AvoidedProcess {
    address: SocketAddr,
    /// The newest known epoch at the failure; a redirect to the process from a newer epoch is followed.
    epoch: u64,
    /// Turns since the failure.
    turns: usize,
}

/// State of the search for the primary.
#[derive(Debug)]
pub struct PrimaryDiscovery {
    random: Rand32,
    /// The process that answered as primary, until it fails or redirects.
    primary: Option<SocketAddr>,
    /// A process named as primary by a redirect or an announcement.
    hint: Option<SocketAddr>,
    /// Whether to wait before the hint is followed: a process that named itself while it has no lease yet.
    delay_hint: bool,
    consecutive_hints: u32,
    avoided: Option<AvoidedProcess>,
    /// Position in the turn over the candidates.
    next_index: usize,
    backoff: Duration,
    /// Whether the next poll in turn is delayed.
    delay_next: bool,
}

impl PrimaryDiscovery {
    /// A search without a known primary. `seed` determines the first candidate and the delays.
    pub fn new(seed: u64) -> PrimaryDiscovery {
        let mut random = Rand32::new(seed);
        let next_index = random.rand_u32() as usize;
        PrimaryDiscovery {
            random,
            primary: None,
            hint: None,
            delay_hint: false,
            consecutive_hints: 0,
            avoided: None,
            next_index,
            backoff: MIN_BACKOFF,
            delay_next: false,
        }
    }

    /// Chooses the next poll; `candidates` are the known members and the seeds. `None` if there is no process to poll.
    pub fn next_poll(&mut self, candidates: &[SocketAddr]) -> Option<NextPoll> {
        if let Some(to) = self.primary {
            return Some(NextPoll {
                to,
                delay: Duration::ZERO,
            });
        }
        if let Some(to) = self.hint.take() {
            let delay = if std::mem::take(&mut self.delay_hint) {
                MIN_BACKOFF
            } else {
                Duration::ZERO
            };
            return Some(NextPoll { to, delay });
        }
        let to = self.next_candidate(candidates)?;
        Some(NextPoll {
            to,
            delay: self.draw_backoff(),
        })
    }

    /// Whether a primary is known.
    pub fn has_primary(&self) -> bool {
        self.primary.is_some()
    }

    /// Handles an announcement: the process is polled next unless a primary is known.
    pub fn on_announcement(&mut self, primary: SocketAddr) {
        if self.primary.is_none() {
            self.hint = Some(primary);
            self.delay_hint = false;
        }
    }

    /// Handles an update: the process is the primary.
    pub fn on_update(&mut self, from: SocketAddr) {
        self.primary = Some(from);
        self.hint = None;
        self.consecutive_hints = 0;
        self.avoided = None;
        self.backoff = MIN_BACKOFF;
        self.delay_next = false;
    }

    /// Handles a redirect: the process is not the primary with a lease, and may name the primary of its epoch record.
    pub fn on_redirect(&mut self, from: SocketAddr, primary: Option<SocketAddr>, epoch: u64) {
        self.primary = None;
        self.delay_next = true;
        let may_follow = self.consecutive_hints < MAX_CONSECUTIVE_HINTS;
        self.hint = primary.filter(|primary| may_follow && !self.avoids(*primary, epoch));
        self.delay_hint = self.hint == Some(from);
        self.consecutive_hints = if self.hint.is_some() {
            self.consecutive_hints + 1
        } else {
            0
        };
    }

    /// Handles a failure: the process did not answer in time or can't be reached. `epoch` is the newest known one.
    pub fn on_failure(&mut self, from: SocketAddr, epoch: u64) {
        self.primary = None;
        self.avoided = Some(AvoidedProcess {
            address: from,
            epoch,
            turns: 0,
        });
        self.delay_next = true;
    }

    fn avoids(&self, address: SocketAddr, epoch: u64) -> bool {
        self.avoided
            .is_some_and(|avoided| avoided.address == address && epoch <= avoided.epoch)
    }

    /// The next candidate in turn. The one that failed last is skipped for some turns if there are others.
    fn next_candidate(&mut self, candidates: &[SocketAddr]) -> Option<SocketAddr> {
        if let Some(avoided) = &mut self.avoided {
            avoided.turns += 1;
            if avoided.turns > MAX_TURNS_AVOIDED.min(2 * candidates.len()) {
                self.avoided = None;
            }
        }
        self.next_index = self.next_index.wrapping_add(1);
        let first = *candidates.get(self.next_index.checked_rem(candidates.len())?)?;
        let is_avoided = self.avoided.is_some_and(|avoided| avoided.address == first);
        if !is_avoided || candidates.len() == 1 {
            return Some(first);
        }
        self.next_index = self.next_index.wrapping_add(1);
        candidates
            .get(self.next_index.checked_rem(candidates.len())?)
            .copied()
    }

    fn draw_backoff(&mut self) -> Duration {
        if !std::mem::replace(&mut self.delay_next, true) {
            return Duration::ZERO;
        }
        let delay = self.backoff.mul_f32(0.5 + 0.5 * self.random.rand_float());
        self.backoff = self.backoff.mul_f32(1.5).min(MAX_BACKOFF);
        delay
    }
}
