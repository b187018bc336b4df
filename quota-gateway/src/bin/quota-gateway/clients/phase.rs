//! Whether the door takes clients: serving, sending them away at the word of staff, or ending.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// After `standby` clients still come for 0.3 s, and use the connections that they have: each answer closes
/// its own. What is idle after so long is closed, so that nothing that came in the last 2 s is open at 4 s.
const EMPTY_AFTER: Duration = Duration::from_millis(1500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Serving,
    /// Clients still come; each answer closes its connection.
    Leaving,
    /// Idle connections are closed. Who comes nonetheless is served and sent off.
    Emptying,
    /// Another process has taken over. None is accepted here, and idle connections are closed.
    HandedOver,
    /// No more are accepted, and idle connections are closed. From here there is no way back.
    Closing,
}

impl Phase {
    /// As staff read it.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Leaving | Phase::Emptying => "sending clients away",
            Phase::HandedOver => "handed over to another process",
            Phase::Closing => "ending",
        }
    }
}

/// Why clients cannot be sent away or taken again.
#[derive(Error, Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PhaseError {
    #[error("another process has taken over; call that one at its own admin_addr")]
    HandedOver,
    #[error("this process is ending; call the one that replaces it, or start one")]
    Ending,
}

pub(crate) struct PhaseControl {
    phase: watch::Sender<Phase>,
    /// Counts the changes: a timer of an earlier one has no say.
    turn: Cell<u64>,
    ending: Cell<bool>,
}

impl PhaseControl {
    pub(crate) fn new() -> Rc<PhaseControl> {
        Rc::new(PhaseControl {
            phase: watch::Sender::new(Phase::Serving),
            turn: Cell::new(0),
            ending: Cell::new(false),
        })
    }
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }
    pub(crate) fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Sends clients away. A second call while that goes on changes nothing.
    ///
    /// # Errors
    /// Clients are another process's already.
    pub(crate) fn stand_by(self: &Rc<Self>) -> Result<(), PhaseError> {
        match self.phase() {
            Phase::HandedOver => return Err(PhaseError::HandedOver),
            Phase::Serving => {}
            Phase::Leaving | Phase::Emptying | Phase::Closing => return Ok(()),
        }
        let turn = self.change(Phase::Leaving);
        let phase_control = self.clone();
        spawn_local(async move {
            sleep(EMPTY_AFTER).await;
            if phase_control.turn.get() == turn {
                phase_control.change(Phase::Emptying);
            }
        });
        Ok(())
    }

    /// Takes clients again.
    ///
    /// # Errors
    /// Clients are another process's already, or this one is ending, which nothing takes back.
    pub(crate) fn take_up(&self) -> Result<(), PhaseError> {
        if self.phase() == Phase::HandedOver {
            return Err(PhaseError::HandedOver);
        }
        if self.ending.get() {
            return Err(PhaseError::Ending);
        }
        if self.phase() != Phase::Serving {
            self.change(Phase::Serving);
        }
        Ok(())
    }

    /// Whether staff have clients sent away, and no end is under way.
    pub(crate) fn stands_by(&self) -> bool {
        !self.ending.get() && matches!(self.phase(), Phase::Leaving | Phase::Emptying)
    }

    /// Another process takes clients from here on.
    pub(crate) fn hand_over(&self) {
        self.change(Phase::HandedOver);
    }
    /// There is no other process any more.
    pub(crate) fn resume(&self) {
        if !self.ending.get() && self.phase() == Phase::HandedOver {
            self.change(Phase::Serving);
        }
    }

    /// The process is told to end. What `standby` has closed already stays so.
    pub(crate) fn end(&self) {
        self.ending.set(true);
        if self.phase() == Phase::Serving {
            self.change(Phase::Leaving);
        }
    }
    pub(crate) fn close(&self) {
        self.change(Phase::Closing);
    }

    fn change(&self, phase: Phase) -> u64 {
        self.turn.set(self.turn.get() + 1);
        self.phase.send_replace(phase);
        self.turn.get()
    }
}

#[cfg(test)]
mod tests;
