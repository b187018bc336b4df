//! The tables of one process. Updates replace the snapshot atomically, and a table is never replaced by an older one.

use super::message::{Stamp, TableVersions, Update};
use crate::clock::SteadyClock;
use crate::SnapshotReceiver;
use alderhollow_model::snapshot::{ControlView, Snapshot};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::watch;

/// Decodes a view of the control state; `None` if it can't be decoded. Provided by `control_state::view`.
pub type ControlDecoder = fn(&[u8]) -> Option<ControlView>;

/// An update that can't be applied.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TablesError {
    /// The control state's view can't be decoded by this version of the program.
    #[error("version {0} of the control state can't be decoded")]
    UnreadableControl(u64),
}

/// Owner of the process's snapshot.
pub struct Tables {
    sender: watch::Sender<Arc<Snapshot>>,
    versions: TableVersions,
    clock: SteadyClock,
    decode_control: ControlDecoder,
}

impl Tables {
    /// Empty tables, not validated by a primary yet.
    pub fn new(clock: SteadyClock, decode_control: ControlDecoder) -> Tables {
        Tables {
            sender: watch::Sender::new(Arc::default()),
            versions: TableVersions::default(),
            clock,
            decode_control,
        }
    }

    /// A receiver of the newest snapshot.
    pub fn subscribe(&self) -> SnapshotReceiver {
        self.sender.subscribe()
    }

    /// The versions of the current tables.
    pub fn versions(&self) -> TableVersions {
        self.versions
    }

    /// Applies an update of a primary with a lease. Returns whether the snapshot changed.
    ///
    /// # Errors
    /// The control state in the update can't be decoded; nothing is changed then.
    pub fn apply(&mut self, update: Update) -> Result<bool, TablesError> {
        let mut next = Snapshot::clone(&self.sender.borrow());
        let mut changed = !std::mem::replace(&mut next.validated, true);
        if let Some(control) = update
            .control
            .filter(|control| control.version > self.versions.control)
        {
            let view = (self.decode_control)(&control.bytes)
                .ok_or(TablesError::UnreadableControl(control.version))?;
            next.control = Arc::new(view);
            self.versions.control = control.version;
            changed = true;
        }
        if let Some(list) = update.backends {
            let (epoch, sequence) = list.version();
            let stamp = Stamp { epoch, sequence };
            if stamp > self.versions.backends {
                next.backends = Arc::new(list);
                next.backends_at_ms = self.clock.now_ms();
                self.versions.backends = stamp;
                changed = true;
            }
        }
        if let Some(senders) = update
            .senders
            .filter(|senders| senders.stamp > self.versions.senders)
        {
            next.senders = Arc::new(senders.senders);
            self.versions.senders = senders.stamp;
            changed = true;
        }
        if changed {
            self.sender.send_replace(Arc::new(next));
        }
        Ok(changed)
    }
}
