//! Decides which process a poll goes to, and after which pause. No I/O and no clock.

use oorandom::Rand32;
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest and longest pause after a process that doesn't know the primary, or can't be reached. Half is drawn.
const SHORTEST_PAUSE: Duration = Duration::from_millis(40);
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// So many hints are followed without a pause before processes are asked in turn again.
const MAX_HINTS_IN_A_ROW: u32 = 3;

/// Whom to ask next, and how long to wait before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextPoll {
    /// The internal address.
    pub to: SocketAddr,
    /// The pause before it.
    pub pause: Duration,
}

/// Keeps to the primary while it answers, and looks for it among all known members and seeds otherwise.
#[derive(Debug)]
pub struct Finder {
    random: Rand32,
    confirmed: Option<SocketAddr>,
    hint: Option<SocketAddr>,
    hints_in_a_row: u32,
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
            hints_in_a_row: 0,
            turn,
            pause: SHORTEST_PAUSE,
            wait: false,
        }
    }

    /// Chooses among the candidates (members and seeds); `None` if there is nobody to ask.
    pub fn next(&mut self, candidates: &[SocketAddr]) -> Option<NextPoll> {
        if let Some(to) = self.confirmed {
            return Some(NextPoll { to, pause: Duration::ZERO });
        }
        if let Some(to) = self.hint.take() {
            return Some(NextPoll { to, pause: Duration::ZERO });
        }
        if candidates.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        let to = *candidates.get(self.turn % candidates.len())?;
        Some(NextPoll { to, pause: self.draw_pause() })
    }

    /// The process answered as the primary.
    pub fn confirm(&mut self, by: SocketAddr) {
        self.confirmed = Some(by);
        self.hint = None;
        self.hints_in_a_row = 0;
        self.pause = SHORTEST_PAUSE;
        self.wait = false;
    }

    /// The process is not the primary, and perhaps says who is.
    pub fn redirect(&mut self, by: SocketAddr, primary: Option<SocketAddr>) {
        self.confirmed = None;
        self.wait = true;
        self.hint = primary.filter(|primary| *primary != by && self.hints_in_a_row < MAX_HINTS_IN_A_ROW);
        self.hints_in_a_row = if self.hint.is_some() { self.hints_in_a_row + 1 } else { 0 };
    }

    /// The process did not answer in time or can't be reached.
    pub fn fail(&mut self, by: SocketAddr) {
        if self.hint == Some(by) {
            self.hint = None;
        }
        self.confirmed = None;
        self.wait = true;
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
