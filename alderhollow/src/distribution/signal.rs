//! Signal that wakes pending polls when a table changes.

use std::rc::Rc;
use tokio::sync::watch;

/// Notified at each change of the tables that polls are answered from. Clones share one signal.
#[derive(Debug, Clone)]
pub struct ChangeSignal {
    changes: Rc<watch::Sender<u64>>,
}

impl ChangeSignal {
    /// A new signal.
    pub fn new() -> ChangeSignal {
        ChangeSignal {
            changes: Rc::new(watch::Sender::new(0)),
        }
    }

    /// Wakes all subscribers.
    pub fn notify(&self) {
        self.changes
            .send_modify(|count| *count = count.wrapping_add(1));
    }

    /// A receiver that is woken by each later notification.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

impl Default for ChangeSignal {
    fn default() -> Self {
        ChangeSignal::new()
    }
}
