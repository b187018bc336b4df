//! The core: decides the group's configuration under epochs, by the rules of the control plane.

use alderhollow_batch::api::GroupStatus;
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::{BatchGroup, GroupMember};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time since its last poll after which the primary is replaced.
const PRIMARY_TIMEOUT_MS: u64 = 2_000;
/// Time since its last poll after which a store is not selected for a role.
const STORE_TIMEOUT_MS: u64 = 1_000;
/// An unresponsive member is removed only if the primary has polled this much later: if the primary's disk is lost
/// when the member stops responding, the member has the only replica and must remain.
const OUTLIVED_MS: u64 = 600;
/// Maximum number of members of a group.
const MOST_MEMBERS: usize = 3;
/// Minimum number of replicas of each acknowledged job.
const COPIES: usize = 2;

/// State of a store as known by the core.
struct Known {
    polled_ms: u64,
    status: GroupStatus,
}

pub(crate) struct Core {
    pub group: Option<Arc<BatchGroup>>,
    pub previous: Option<Arc<BatchGroup>>,
    /// Stores that have everything that was acknowledged: members of every epoch since the newest known active one.
    pub complete: BTreeSet<DiskId>,
    stores: BTreeMap<DiskId, Known>,
}

impl Core {
    pub(crate) fn new() -> Core {
        Core {
            group: None,
            previous: None,
            complete: BTreeSet::new(),
            stores: BTreeMap::new(),
        }
    }

    /// Handles a poll of a store.
    pub(crate) fn poll(&mut self, now_ms: u64, disk: DiskId, status: GroupStatus) {
        assert_eq!(
            status.behind, None,
            "a primary was named that isn't complete"
        );
        if let Some(group) = &self.group {
            if status.active && status.epoch == group.epoch && group.primary == disk {
                self.complete = disks(&group.members).collect();
            }
            // A member that is in sync has everything, also while the epoch waits for another member.
            if status.synced
                && status.epoch == group.epoch
                && disks(&group.members).any(|member| member == disk)
            {
                self.complete.insert(disk);
            }
        }
        self.stores.insert(
            disk,
            Known {
                polled_ms: now_ms,
                status,
            },
        );
    }

    /// Whether a store may act as the primary of the newest epoch for now.
    pub(crate) fn validates(&self, disk: DiskId) -> bool {
        self.group
            .as_ref()
            .is_some_and(|group| group.primary == disk)
    }

    /// Decides on a new epoch where one is needed.
    pub(crate) fn decide(&mut self, now_ms: u64) {
        let live: Vec<DiskId> = self.live(now_ms).collect();
        let Some(group) = self.group.clone() else {
            if live.len() >= COPIES {
                self.complete = live.iter().copied().collect();
                self.install(
                    live[0],
                    live.iter().copied().take(MOST_MEMBERS).collect(),
                    Vec::new(),
                );
            }
            return;
        };
        let primary = self.stores.get(&group.primary);
        let primary_lives =
            primary.is_some_and(|known| now_ms < known.polled_ms + PRIMARY_TIMEOUT_MS);
        if !primary_lives {
            let heir = live
                .iter()
                .copied()
                .find(|disk| self.complete.contains(disk));
            if let Some(heir) = heir {
                self.reform(heir, &live, &group);
            }
            return;
        }
        let status = primary
            .map(|known| known.status.clone())
            .unwrap_or_default();
        let primary_polled_ms = primary.map_or(0, |known| known.polled_ms);
        let polled_ms = |disk: &DiskId| self.stores.get(disk).map_or(0, |known| known.polled_ms);
        let is_gone = |disk: &DiskId| primary_polled_ms >= polled_ms(disk) + OUTLIVED_MS;
        let is_lost = |disk: &DiskId| status.silent.contains(disk) || is_gone(disk);
        let lost: Vec<DiskId> = disks(&group.members)
            .filter(|disk| *disk != group.primary && is_lost(disk))
            .collect();
        if !lost.is_empty() && live.contains(&group.primary) {
            let rest: Vec<DiskId> = live
                .iter()
                .copied()
                .filter(|disk| !lost.contains(disk))
                .collect();
            self.reform(group.primary, &rest, &group);
            return;
        }
        if status.active && status.epoch == group.epoch {
            self.admit(&live, &group, &status);
        }
    }

    /// Makes in-sync learners members, and unknown stores learners.
    fn admit(&mut self, live: &[DiskId], group: &BatchGroup, status: &GroupStatus) {
        let mut members: Vec<DiskId> = disks(&group.members).collect();
        let mut learners: Vec<DiskId> = disks(&group.learners).collect();
        let ready = learners
            .iter()
            .position(|disk| status.in_sync.contains(disk));
        let fresh = live
            .iter()
            .find(|disk| !members.contains(disk) && !learners.contains(disk));
        match (ready, fresh) {
            (Some(index), _) if members.len() < MOST_MEMBERS => {
                members.push(learners.remove(index));
            }
            (_, Some(fresh)) => learners.push(*fresh),
            _ => return,
        }
        self.install(group.primary, members, learners);
    }

    /// Makes a planned change as rebalancing does: adds an in-sync learner as a member, or, once all members are in
    /// sync again, removes one other than the primary. Returns `false` if neither is possible now.
    pub(crate) fn exchange_member(&mut self) -> bool {
        let Some(group) = self.group.clone() else {
            return false;
        };
        let Some(primary) = self.stores.get(&group.primary) else {
            return false;
        };
        let status = &primary.status;
        if !status.active || status.epoch != group.epoch {
            return false;
        }
        let mut members: Vec<DiskId> = disks(&group.members).collect();
        let mut learners: Vec<DiskId> = disks(&group.learners).collect();
        if members.len() > MOST_MEMBERS {
            // The member with the longest membership.
            let Some(goes) = members.iter().position(|disk| *disk != group.primary) else {
                return false;
            };
            members.remove(goes);
        } else {
            let ready = learners
                .iter()
                .position(|disk| status.in_sync.contains(disk));
            let Some(ready) = ready else { return false };
            members.push(learners.remove(ready));
        }
        self.install(group.primary, members, learners);
        true
    }

    /// Removes the members that are not alive if enough others have everything that was acknowledged. Otherwise keeps
    /// them and adds others to be synchronized: if incomplete stores replaced them at once, the loss of one more disk
    /// could lose acknowledged jobs.
    fn reform(&mut self, primary: DiskId, live: &[DiskId], group: &BatchGroup) {
        let mut members: Vec<DiskId> = disks(&group.members).collect();
        let holds_all = |disk: &&DiskId| live.contains(disk) && self.complete.contains(disk);
        if members.iter().filter(holds_all).count() >= COPIES {
            members.retain(|disk| live.contains(disk));
        } else {
            let fresh = live.iter().copied().filter(|disk| !members.contains(disk));
            let missing =
                COPIES.saturating_sub(members.iter().filter(|disk| live.contains(disk)).count());
            members.extend(fresh.take(missing).collect::<Vec<DiskId>>());
        }
        let is_news =
            primary != group.primary || members != disks(&group.members).collect::<Vec<DiskId>>();
        if is_news {
            self.install(primary, members, Vec::new());
        }
    }

    fn install(&mut self, primary: DiskId, members: Vec<DiskId>, learners: Vec<DiskId>) {
        assert!(self.complete.contains(&primary));
        self.complete.retain(|disk| members.contains(disk));
        let epoch = self.group.as_ref().map_or(1, |group| group.epoch + 1);
        let members = members.into_iter().map(member).collect();
        let learners = learners.into_iter().map(member).collect();
        self.previous = self.group.take();
        self.group = Some(Arc::new(BatchGroup {
            epoch,
            primary,
            members,
            learners,
        }));
    }

    fn live(&self, now_ms: u64) -> impl Iterator<Item = DiskId> + '_ {
        let live = move |known: &Known| now_ms < known.polled_ms + STORE_TIMEOUT_MS;
        self.stores
            .iter()
            .filter(move |(_, known)| live(known))
            .map(|(disk, _)| *disk)
    }
}

fn disks(members: &[GroupMember]) -> impl Iterator<Item = DiskId> + '_ {
    members.iter().map(|member| member.disk)
}

fn member(disk: DiskId) -> GroupMember {
    let node = NodeInfo {
        node: disk.to_string(),
        role: Role::Store,
        zone: "zone".to_owned(),
        incarnation: Incarnation(0),
        disk: Some(disk),
        internal: Address(SocketAddr::from(([127, 0, 0, 1], 1))),
        control: None,
    };
    GroupMember { disk, node }
}
