//! Whether the gateway accepts clients: serving, draining at the operators' `standby`, handed over, or shutting down.

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
    /// Clients are accepted; each answer closes its connection.
    Leaving,
    /// Idle connections are closed. A new client is served, and its connection closed after the answer.
    Emptying,
    /// Another process has taken over: no client is accepted here, and idle connections are closed.
    HandedOver,
    /// No client is accepted, and idle connections are closed. The last phase.
    Closing,
}

impl Phase {
    /// The phase as operators read it.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Leaving | Phase::Emptying => "sending clients away",
            Phase::HandedOver => "handed over to another process",
            Phase::Closing => "ending",
        }
    }
}

/// Why the phase cannot be changed by operators.
#[derive(Error, Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PhaseError {
    #[error("another process has taken over; call that one at its own admin_addr")]
    HandedOver,
    #[error("this process is ending; call the one that replaces it, or start one")]
    Ending,
}

pub(crate) struct PhaseControl {
    phase: watch::Sender<Phase>,
    /// Number of changes of phase so far. A timer that an earlier change started does nothing.
    change_count: Cell<u64>,
    ending: Cell<bool>,
}

impl PhaseControl {
    pub(crate) fn new() -> Rc<PhaseControl> {
        Rc::new(PhaseControl {
            phase: watch::Sender::new(Phase::Serving),
            change_count: Cell::new(0),
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
    /// Another process accepts the clients already.
    pub(crate) fn stand_by(self: &Rc<Self>) -> Result<(), PhaseError> {
        match self.phase() {
            Phase::HandedOver => return Err(PhaseError::HandedOver),
            Phase::Serving => {}
            Phase::Leaving | Phase::Emptying | Phase::Closing => return Ok(()),
        }
        let change_count = self.change(Phase::Leaving);
        let phase_control = self.clone();
        spawn_local(async move {
            sleep(EMPTY_AFTER).await;
            if phase_control.change_count.get() == change_count {
                phase_control.change(Phase::Emptying);
            }
        });
        Ok(())
    }

    /// Takes clients again.
    ///
    /// # Errors
    /// Another process accepts the clients already, or this one is shutting down, which cannot be undone.
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

    /// Whether the gateway is draining at the operators' request and is not shutting down.
    pub(crate) fn stands_by(&self) -> bool {
        !self.ending.get() && matches!(self.phase(), Phase::Leaving | Phase::Emptying)
    }

    /// Records that another process accepts clients from now on.
    pub(crate) fn hand_over(&self) {
        self.change(Phase::HandedOver);
    }

    /// Serves again once the other process has gone, unless this one is shutting down.
    pub(crate) fn resume(&self) {
        if !self.ending.get() && self.phase() == Phase::HandedOver {
            self.change(Phase::Serving);
        }
    }

    /// Begins the shutdown of the process. What `standby` has closed already stays closed.
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
        self.change_count.set(self.change_count.get() + 1);
        self.phase.send_replace(phase);
        self.change_count.get()
    }
}

#[cfg(test)]
mod tests;
