//! The stores' newest polls, as received by the core's primary. No I/O and no clock.

use crate::control_state::group_policy::{GroupView, StoreView};
use crate::control_state::store_report::StoreReport;
use alderhollow_model::identity::{DiskId, NodeInfo};
use std::collections::BTreeMap;

/// The stores' polls during one uninterrupted lease of this process. Polls from before are dropped: while another process
/// was primary, stores did not poll this one, so the time since such a poll says nothing about the store.
#[derive(Debug, Default)]
pub struct StoreWatch {
    lease: Option<LeasedEpoch>,
    stores: BTreeMap<DiskId, PolledStore>,
}

#[derive(Debug, Clone, Copy)]
struct LeasedEpoch {
    epoch: u64,
    since_ms: u64,
}

#[derive(Debug)]
struct PolledStore {
    node: NodeInfo,
    report: StoreReport,
    polled_at_ms: u64,
}

impl StoreWatch {
    /// Records the epoch for which this process has the lease, or `None`. Call it before each use.
    pub fn update_lease(&mut self, epoch: Option<u64>, now_ms: u64) {
        if self.lease.map(|lease| lease.epoch) == epoch {
            return;
        }
        self.stores.clear();
        self.lease = epoch.map(|epoch| LeasedEpoch {
            epoch,
            since_ms: now_ms,
        });
    }

    /// Handles a poll of a store. Returns whether its identity or report changed.
    pub fn on_poll(&mut self, node: &NodeInfo, report: StoreReport, now_ms: u64) -> bool {
        let Some(disk) = node.disk else { return false };
        let is_known = |store: &PolledStore| store.report == report && store.node == *node;
        let is_changed = !self.stores.get(&disk).is_some_and(is_known);
        self.stores.insert(
            disk,
            PolledStore {
                node: node.clone(),
                report,
                polled_at_ms: now_ms,
            },
        );
        is_changed
    }

    /// The group policy's input, with `stable_for_ms` 0; `None` without a lease.
    pub fn view(&self, now_ms: u64, tolerate_machines: usize) -> Option<GroupView> {
        let lease = self.lease?;
        let stores = self.stores.values().map(|store| StoreView {
            node: store.node.clone(),
            since_last_poll_ms: now_ms.saturating_sub(store.polled_at_ms),
            report: store.report.clone(),
        });
        Some(GroupView {
            primary_for_ms: now_ms.saturating_sub(lease.since_ms),
            tolerate_machines,
            stable_for_ms: 0,
            stores: stores.collect(),
        })
    }
}
