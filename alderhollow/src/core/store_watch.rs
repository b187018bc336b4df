//! What the core's primary sees of the stores, from their polls. No I/O and no clock.

use crate::control_state::group_policy::{GroupView, StoreView};
use crate::control_state::store_report::StoreReport;
use alderhollow_model::identity::{DiskId, NodeInfo};
use std::collections::BTreeMap;

/// Counts for one unbroken lease of this process: what was seen under another one says nothing of silences.
#[derive(Debug, Default)]
pub struct StoreWatch {
    lease: Option<LeasedEpoch>,
    stores: BTreeMap<DiskId, SeenStore>,
}

#[derive(Debug, Clone, Copy)]
struct LeasedEpoch {
    epoch: u64,
    since_ms: u64,
}

#[derive(Debug)]
struct SeenStore {
    node: NodeInfo,
    report: StoreReport,
    heard_at_ms: u64,
}

impl StoreWatch {
    /// Notes whether this process is the primary with a lease, and of which epoch. To be told often.
    pub fn note_lease(&mut self, epoch: Option<u64>, now_ms: u64) {
        if self.lease.map(|lease| lease.epoch) == epoch {
            return;
        }
        self.stores.clear();
        self.lease = epoch.map(|epoch| LeasedEpoch {
            epoch,
            since_ms: now_ms,
        });
    }

    /// Notes a poll of a store. Tells whether it said something new.
    pub fn heard(&mut self, node: &NodeInfo, report: StoreReport, now_ms: u64) -> bool {
        let Some(disk) = node.disk else { return false };
        let is_known = |seen: &SeenStore| seen.report == report && seen.node == *node;
        let is_news = !self.stores.get(&disk).is_some_and(is_known);
        self.stores.insert(
            disk,
            SeenStore {
                node: node.clone(),
                report,
                heard_at_ms: now_ms,
            },
        );
        is_news
    }

    /// What the groups' policy rests on, but for how long all has been calm; `None` without a lease.
    pub fn view(&self, now_ms: u64, tolerate_machines: usize) -> Option<GroupView> {
        let lease = self.lease?;
        let stores = self.stores.values().map(|seen| StoreView {
            node: seen.node.clone(),
            since_last_poll_ms: now_ms.saturating_sub(seen.heard_at_ms),
            report: seen.report.clone(),
        });
        Some(GroupView {
            primary_for_ms: now_ms.saturating_sub(lease.since_ms),
            tolerate_machines,
            stable_for_ms: 0,
            stores: stores.collect(),
        })
    }
}
