//! Versions of the backend lists that a primary reads, stamped with the epoch in which it became primary. A list that differs from the former one only by the progress of
//! warm-up times gets no new version. No I/O and no clock.

use alderhollow_model::backend::{Backend, BackendList, BackendState};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Tolerances, in ms, within which two expected ends of a warm-up count as equal, as lists are read at irregular times. The
/// tolerance for a later end is smaller, as senders would otherwise use the backend too early.
const LATER_END_TOLERANCE_MS: u64 = 150;
const EARLIER_END_TOLERANCE_MS: u64 = 500;

/// The newest list of one reader, with its version.
#[derive(Debug, Default)]
pub struct ListVersioner {
    current: Option<VersionedList>,
}

/// A list and the time to which its remaining warm-up times refer.
#[derive(Debug, Clone)]
pub struct VersionedList {
    /// The list.
    pub list: Rc<BackendList>,
    /// When it was read, in ms of the process's clock.
    pub read_at_ms: u64,
}

impl ListVersioner {
    /// Compares a list that a primary of this epoch read with the former one. Returns it with a new version if it changed.
    pub fn update(
        &mut self,
        epoch: u64,
        mut backends: Vec<Backend>,
        now_ms: u64,
    ) -> Option<Rc<BackendList>> {
        backends.sort_by(|a, b| a.id.cmp(&b.id));
        backends.dedup_by(|a, b| a.id == b.id);
        let sequence = match &self.current {
            Some(current) if current.list.epoch == epoch => {
                if current.is_same(&backends, now_ms) {
                    return None;
                }
                current.list.sequence + 1
            }
            _ => 1,
        };
        let list = Rc::new(BackendList {
            epoch,
            sequence,
            backends,
        });
        self.current = Some(VersionedList {
            list: list.clone(),
            read_at_ms: now_ms,
        });
        Some(list)
    }

    /// Takes over from a page which backends have begun to drain. Returns the former list with their new state and a new
    /// version if any has; all else that the page changes waits for the rest of the list.
    pub fn mark_draining(&mut self, epoch: u64, page: &[Backend]) -> Option<VersionedList> {
        let current = self
            .current
            .as_mut()
            .filter(|current| current.list.epoch == epoch)?;
        let draining: BTreeSet<&str> = page
            .iter()
            .filter(|backend| backend.state == BackendState::Draining)
            .map(|backend| backend.id.as_str())
            .collect();
        let begins = |backend: &Backend| {
            backend.state == BackendState::Ready && draining.contains(backend.id.as_str())
        };
        if !current.list.backends.iter().any(begins) {
            return None;
        }
        let mut list = BackendList::clone(&current.list);
        list.sequence += 1;
        for backend in list.backends.iter_mut().filter(|backend| begins(backend)) {
            backend.state = BackendState::Draining;
        }
        current.list = Rc::new(list);
        Some(current.clone())
    }
}

impl VersionedList {
    fn is_same(&self, backends: &[Backend], now_ms: u64) -> bool {
        let elapsed = now_ms.saturating_sub(self.read_at_ms);
        self.list.backends.len() == backends.len()
            && self
                .list
                .backends
                .iter()
                .zip(backends)
                .all(|(former, read)| is_same(former, read, elapsed))
    }
}

fn is_same(former: &Backend, read: &Backend, elapsed_ms: u64) -> bool {
    let remaining_ms = former.cold_remaining_ms.saturating_sub(elapsed_ms);
    let is_same_end = read.cold_remaining_ms <= remaining_ms + LATER_END_TOLERANCE_MS
        && remaining_ms <= read.cold_remaining_ms + EARLIER_END_TOLERANCE_MS;
    // A backend that starts to warm up is always a change, however short the time.
    let is_not_newly_cold = remaining_ms > 0 || read.cold_remaining_ms == 0;
    is_same_end
        && is_not_newly_cold
        && former.id == read.id
        && former.service == read.service
        && former.address == read.address
        && former.zone == read.zone
        && former.slots == read.slots
        && former.state == read.state
}
