//! The tables of one process. Updates replace the snapshot atomically, and a table is never replaced by an older one.

use super::difference::{
    control_digest, BackendsDifference, ControlDifference, DifferenceError, SendersDifference,
};
use super::message::{EncodedControl, HeldTables, Stamp, StampedSenders, TableVersions, Update};
use crate::clock::SteadyClock;
use crate::SnapshotReceiver;
use alderhollow_model::backend::BackendList;
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
    /// A difference does not fit the tables of this process.
    #[error(transparent)]
    Difference(#[from] DifferenceError),
}

/// Owner of the process's snapshot.
pub struct Tables {
    sender: watch::Sender<Arc<Snapshot>>,
    versions: TableVersions,
    /// The control state as it was encoded, and its digest: the base of the next difference.
    control: EncodedControl,
    held: HeldTables,
    clock: SteadyClock,
    decode_control: ControlDecoder,
}

impl Tables {
    /// Empty tables, not validated by a primary yet.
    pub fn new(clock: SteadyClock, decode_control: ControlDecoder) -> Tables {
        Tables {
            sender: watch::Sender::new(Arc::default()),
            versions: TableVersions::default(),
            control: EncodedControl {
                version: 0,
                bytes: Vec::new().into(),
            },
            held: HeldTables::default(),
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

    /// What differences to the current tables may build on, besides the versions.
    pub fn held(&self) -> HeldTables {
        self.held
    }

    /// Applies an update of a primary with a lease. Returns whether the snapshot changed.
    ///
    /// # Errors
    /// The control state in the update can't be decoded, or a difference refers to other tables; nothing is changed then.
    pub fn apply(&mut self, update: Update) -> Result<bool, TablesError> {
        let differences = *update.differences.unwrap_or_default();
        let control = self.newer_control(update.control, differences.control)?;
        let view = control.as_ref().map(|control| self.decode(control));
        let view = view.transpose()?;
        let backends = self.newer_backends(update.backends, differences.backends)?;
        let senders = self.newer_senders(update.senders, differences.senders)?;
        let mut next = Snapshot::clone(&self.sender.borrow());
        let mut changed = !std::mem::replace(&mut next.validated, true);
        if let (Some(control), Some(view)) = (control, view) {
            next.control = Arc::new(view);
            self.versions.control = control.version;
            self.held.control_digest = control_digest(&control.bytes);
            self.control = control;
            changed = true;
        }
        if let Some(list) = backends {
            self.versions.backends = Stamp::of(&list);
            next.backends = Arc::new(list);
            next.backends_at_ms = self.clock.now_ms();
            changed = true;
        }
        if let Some(senders) = senders {
            self.versions.senders = senders.stamp;
            next.senders = Arc::new(senders.senders);
            changed = true;
        }
        if changed {
            self.sender.send_replace(Arc::new(next));
        }
        Ok(changed)
    }

    fn decode(&self, control: &EncodedControl) -> Result<ControlView, TablesError> {
        (self.decode_control)(&control.bytes).ok_or(TablesError::UnreadableControl(control.version))
    }

    /// The control state of an update, if it is newer.
    fn newer_control(
        &self,
        complete: Option<EncodedControl>,
        difference: Option<ControlDifference>,
    ) -> Result<Option<EncodedControl>, TablesError> {
        let held = self.versions.control;
        if let Some(control) = complete.filter(|control| control.version > held) {
            return Ok(Some(control));
        }
        let newer = difference.filter(|difference| difference.version > held);
        let applied = newer.map(|difference| difference.apply(&self.control));
        Ok(applied.transpose()?)
    }

    /// The backends of an update, if they are newer.
    fn newer_backends(
        &self,
        complete: Option<BackendList>,
        difference: Option<BackendsDifference>,
    ) -> Result<Option<BackendList>, TablesError> {
        let held = self.versions.backends;
        if let Some(list) = complete.filter(|list| Stamp::of(list) > held) {
            return Ok(Some(list));
        }
        let newer = difference.filter(|difference| difference.stamp > held);
        let applied = newer.map(|difference| difference.apply(&self.sender.borrow().backends));
        Ok(applied.transpose()?)
    }

    /// The senders of an update, if they are newer.
    fn newer_senders(
        &self,
        complete: Option<StampedSenders>,
        difference: Option<SendersDifference>,
    ) -> Result<Option<StampedSenders>, TablesError> {
        let held = self.versions.senders;
        if let Some(senders) = complete.filter(|senders| senders.stamp > held) {
            return Ok(Some(senders));
        }
        let newer = difference.filter(|difference| difference.stamp > held);
        let applied = newer.map(|difference| difference.apply(held, &self.sender.borrow().senders));
        Ok(applied.transpose()?)
    }
}
