//! Decides which process a poll goes to, and after which pause. No I/O and no clock.

use oorandom::Rand32;
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest and longest pause after a process that doesn't know the primary, or can't be reached. Half is drawn.
const SHORTEST_PAUSE: Duration = Duration::from_millis(40);
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// So many hints are followed without a pause before processes are asked in turn again.
const MAX_HINTS_IN_A_ROW: u32 = 3;
/// A process that did not answer is passed over for two rounds, and for so many turns at most.
const MAX_TURNS_AVOIDED: usize = 8;

/// Whom to ask next, and how long to wait before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextPoll {
    /// The internal address.
    pub to: SocketAddr,
    /// The pause before it.
    pub pause: Duration,
}

/// A process that did not answer. Others may still take it for the primary.
#[derive(Debug, Clone, Copy)]
struct Avoided {
    address: SocketAddr,
    /// The newest epoch that was known then: who points to it from a newer one knows better.
    epoch: u64,
    turns: usize,
}

/// Keeps to the primary while it answers, and looks for it among all known members and seeds otherwise.
#[derive(Debug)]
pub struct Finder {
    random: Rand32,
    confirmed: Option<SocketAddr>,
    hint: Option<SocketAddr>,
    wait_for_hint: bool,
    hints_in_a_row: u32,
    avoided: Option<Avoided>,
    turn: usize,
    pause: Duration,
    wait: bool,
}

impl Finder {
    /// One that knows no primary.
    pub fn new(seed: u64) -> Finder {
        let mut random = Rand32::new(seed);
        let turn = random.rand_u32() as usize;
        Finder {
            random,
            confirmed: None,
            hint: None,
            wait_for_hint: false,
            hints_in_a_row: 0,
            avoided: None,
            turn,
            pause: SHORTEST_PAUSE,
            wait: false,
        }
    }

    /// Chooses among the candidates (members and seeds); `None` if there is nobody to ask.
    pub fn next(&mut self, candidates: &[SocketAddr]) -> Option<NextPoll> {
        if let Some(to) = self.confirmed {
            return Some(NextPoll {
                to,
                pause: Duration::ZERO,
            });
        }
        if let Some(to) = self.hint.take() {
            let pause = if std::mem::take(&mut self.wait_for_hint) {
                SHORTEST_PAUSE
            } else {
                Duration::ZERO
            };
            return Some(NextPoll { to, pause });
        }
        let to = self.take_turn(candidates)?;
        Some(NextPoll {
            to,
            pause: self.draw_pause(),
        })
    }

    /// Whether a process is taken for the primary.
    pub fn has_primary(&self) -> bool {
        self.confirmed.is_some()
    }

    /// A process says that it is the primary: it is asked next, unless another one is taken for it.
    pub fn suggest(&mut self, primary: SocketAddr) {
        if self.confirmed.is_none() {
            self.hint = Some(primary);
            self.wait_for_hint = false;
        }
    }

    /// The process answered as the primary.
    pub fn confirm(&mut self, by: SocketAddr) {
        self.confirmed = Some(by);
        self.hint = None;
        self.hints_in_a_row = 0;
        self.avoided = None;
        self.pause = SHORTEST_PAUSE;
        self.wait = false;
    }

    /// The process is not the primary with a lease, and perhaps says who is, from the record of an epoch.
    pub fn redirect(&mut self, by: SocketAddr, primary: Option<SocketAddr>, epoch: u64) {
        self.confirmed = None;
        self.wait = true;
        let may_follow = self.hints_in_a_row < MAX_HINTS_IN_A_ROW;
        self.hint = primary.filter(|primary| may_follow && !self.avoids(*primary, epoch));
        self.wait_for_hint = self.hint == Some(by);
        self.hints_in_a_row = if self.hint.is_some() {
            self.hints_in_a_row + 1
        } else {
            0
        };
    }

    /// The process did not answer in time or can't be reached. `epoch` is the newest that is known.
    pub fn fail(&mut self, by: SocketAddr, epoch: u64) {
        self.confirmed = None;
        self.avoided = Some(Avoided {
            address: by,
            epoch,
            turns: 0,
        });
        self.wait = true;
    }

    fn avoids(&self, address: SocketAddr, epoch: u64) -> bool {
        self.avoided
            .is_some_and(|avoided| avoided.address == address && epoch <= avoided.epoch)
    }

    /// The next candidate in turn; the one that failed last is passed over for a while if there are others.
    fn take_turn(&mut self, candidates: &[SocketAddr]) -> Option<SocketAddr> {
        if let Some(avoided) = &mut self.avoided {
            avoided.turns += 1;
            if avoided.turns > MAX_TURNS_AVOIDED.min(2 * candidates.len()) {
                self.avoided = None;
            }
        }
        self.turn = self.turn.wrapping_add(1);
        let first = *candidates.get(self.turn.checked_rem(candidates.len())?)?;
        let is_avoided = self.avoided.is_some_and(|avoided| avoided.address == first);
        if !is_avoided || candidates.len() == 1 {
            return Some(first);
        }
        self.turn = self.turn.wrapping_add(1);
        candidates
            .get(self.turn.checked_rem(candidates.len())?)
            .copied()
    }

    fn draw_pause(&mut self) -> Duration {
        if !std::mem::replace(&mut self.wait, true) {
            return Duration::ZERO;
        }
        let pause = self.pause.mul_f32(0.5 + 0.5 * self.random.rand_float());
        self.pause = self.pause.mul_f32(1.5).min(LONGEST_PAUSE);
        pause
    }
}
