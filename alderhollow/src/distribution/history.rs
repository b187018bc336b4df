//! The newest versions of the tables that a primary distributed, from which it makes differences. No I/O and no clock.

use super::difference::{control_digest, BackendsDifference, ControlDifference, SendersDifference};
use super::message::{EncodedControl, HeldTables, Stamp, StampedSenders};
use alderhollow_model::backend::BackendList;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Versions of a table that are kept, besides the current one.
const MAX_FORMER_VERSIONS: usize = 8;
/// Bytes of former control states that are kept, but for the newest.
const MAX_FORMER_CONTROL_BYTES: usize = 1024 * 1024;

/// A process that the primary answers holds the newest version of a table, one of these, or an older one.
#[derive(Debug, Default)]
pub struct TableHistory {
    /// Former versions, the newest last.
    control: VecDeque<FormerControl>,
    current_control: Option<EncodedControl>,
    /// Differences to the current control state, by their base.
    control_differences: BTreeMap<u64, ControlDifference>,
    backends: VecDeque<Rc<BackendList>>,
    senders: VecDeque<StampedSenders>,
}

#[derive(Debug)]
struct FormerControl {
    control: EncodedControl,
    digest: u64,
}

impl TableHistory {
    /// Version of the control state that was recorded last; 0 for none.
    pub fn control_version(&self) -> u64 {
        self.current_control
            .as_ref()
            .map_or(0, |control| control.version)
    }

    /// Records the current control state.
    pub fn record_control(&mut self, control: EncodedControl) {
        if control.version == self.control_version() {
            return;
        }
        self.control_differences.clear();
        if let Some(former) = self.current_control.replace(control) {
            let digest = control_digest(&former.bytes);
            self.control.push_back(FormerControl {
                control: former,
                digest,
            });
            self.drop_oldest_control();
        }
    }

    fn drop_oldest_control(&mut self) {
        let size = |former: &FormerControl| former.control.bytes.len();
        let mut bytes: usize = self.control.iter().map(size).sum();
        while self.control.len() > MAX_FORMER_VERSIONS
            || self.control.len() > 1 && bytes > MAX_FORMER_CONTROL_BYTES
        {
            bytes -= self.control.pop_front().as_ref().map_or(0, size);
        }
    }

    /// The current control state for a process that holds another version. The difference is made once for all that hold
    /// the same.
    pub fn control_difference(
        &mut self,
        version: u64,
        held: HeldTables,
    ) -> Option<ControlDifference> {
        let current = self.current_control.as_ref()?;
        let base = self.control.iter().find(|former| {
            former.control.version == version && former.digest == held.control_digest
        });
        let base = base.map(|former| &former.control);
        let difference = self
            .control_differences
            .entry(base.map_or(0, |base| base.version))
            .or_insert_with(|| ControlDifference::between(base, current));
        Some(difference.clone())
    }

    /// Records a backend list.
    pub fn record_backends(&mut self, list: &Rc<BackendList>) {
        if self.backends.back().map(|newest| newest.version()) != Some(list.version()) {
            self.backends.push_back(list.clone());
            let excess = self.backends.len().saturating_sub(MAX_FORMER_VERSIONS + 1);
            self.backends.drain(..excess);
        }
    }

    /// The difference of `next` to a recorded list.
    pub fn backends_difference(
        &self,
        base: Stamp,
        next: &BackendList,
    ) -> Option<BackendsDifference> {
        let base = self.backends.iter().find(|list| Stamp::of(list) == base)?;
        Some(BackendsDifference::between(base, next))
    }

    /// Records senders.
    pub fn record_senders(&mut self, senders: &StampedSenders) {
        if self.senders.back().map(|newest| newest.stamp) != Some(senders.stamp) {
            self.senders.push_back(senders.clone());
            let excess = self.senders.len().saturating_sub(MAX_FORMER_VERSIONS + 1);
            self.senders.drain(..excess);
        }
    }

    /// The difference of `next` to recorded senders.
    pub fn senders_difference(
        &self,
        base: Stamp,
        next: &StampedSenders,
    ) -> Option<SendersDifference> {
        let base = self.senders.iter().find(|senders| senders.stamp == base)?;
        Some(SendersDifference::between(base, next))
    }
}
