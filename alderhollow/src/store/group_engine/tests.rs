//! When a group that this store has left may be dropped, and when a group is due for a tick.

use super::*;
use alderhollow_batch::message::Message;
use alderhollow_batch::records::StreamId;
use alderhollow_model::identity::{Address, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::GroupMember;

const DISK: DiskId = DiskId(1);

fn group_engine() -> GroupEngine {
    GroupEngine::new(
        GroupId(2),
        Engine::restore(DISK, 0, None, &[]).expect("an engine"),
    )
}

fn member(disk: u64) -> GroupMember {
    let node = NodeInfo {
        node: format!("store-{disk}"),
        role: Role::Store,
        zone: "a".to_string(),
        incarnation: Incarnation(disk),
        disk: Some(DiskId(disk)),
        internal: Address(([127, 0, 0, 1], 7660).into()),
        control: None,
    };
    GroupMember {
        disk: DiskId(disk),
        node,
    }
}

fn tables(epoch: u64, members: &[u64], learners: &[u64]) -> Arc<BatchGroup> {
    let group = BatchGroup {
        epoch,
        primary: DiskId(members[0]),
        members: members.iter().copied().map(member).collect(),
        learners: learners.iter().copied().map(member).collect(),
    };
    Arc::new(group)
}

#[test]
fn a_group_is_kept_until_the_retention_time_after_the_tables_exclude_this_disk() {
    let group = group_engine();
    assert!(
        !group.may_be_dropped(u64::MAX),
        "no tables have excluded this disk"
    );
    group.set_group(1_000, DISK, &tables(1, &[1, 2], &[]));
    assert!(!group.may_be_dropped(u64::MAX));
    group.set_group(2_000, DISK, &tables(2, &[2, 3], &[]));
    assert!(!group.may_be_dropped(2_000 + LEFT_GROUP_RETENTION_MS - 1));
    group.set_group(9_000, DISK, &tables(3, &[3, 2], &[]));
    assert!(group.may_be_dropped(2_000 + LEFT_GROUP_RETENTION_MS));
}

#[test]
fn a_learner_keeps_its_group() {
    let group = group_engine();
    group.set_group(0, DISK, &tables(1, &[2, 3], &[]));
    group.set_group(10, DISK, &tables(2, &[2, 3], &[1]));
    assert!(!group.may_be_dropped(u64::MAX));
    group.set_group(20, DISK, &tables(3, &[2, 3], &[]));
    assert!(
        !group.may_be_dropped(LEFT_GROUP_RETENTION_MS + 19),
        "the retention time starts again"
    );
    assert!(group.may_be_dropped(LEFT_GROUP_RETENTION_MS + 20));
}

#[test]
fn a_group_with_a_pending_write_is_kept() {
    let group = group_engine();
    group.set_group(0, DISK, &tables(1, &[2, 3], &[]));
    group.record_appended(WriteTicket(4));
    assert!(!group.may_be_dropped(LEFT_GROUP_RETENTION_MS));
    group.record_written(WriteTicket(3));
    assert!(!group.may_be_dropped(LEFT_GROUP_RETENTION_MS));
    group.record_written(WriteTicket(4));
    assert!(group.may_be_dropped(LEFT_GROUP_RETENTION_MS));
}

#[test]
fn a_follower_group_is_due_only_after_a_change() {
    let group = group_engine();
    group.set_group(0, DISK, &tables(1, &[2, 1], &[]));
    assert!(group.is_due(0));
    group.finish_tick(0);
    assert!(!group.is_due(u64::MAX - 1));
    group.call(5, |engine, now_ms| engine.on_timer(now_ms));
    assert!(group.is_due(5));
}

#[test]
fn a_led_group_is_due_within_the_maximum_tick_interval() {
    let group = group_engine();
    group.set_group(0, DISK, &tables(1, &[1, 2], &[]));
    group.finish_tick(0);
    assert!(group.next_tick_ms() <= MAX_TICK_MS);
    assert!(group.is_due(MAX_TICK_MS));
}

#[test]
fn a_group_that_follows_the_primary_of_a_newer_epoch_is_kept() {
    let group = group_engine();
    group.set_group(0, DISK, &tables(1, &[2, 1], &[]));
    group.set_group(10, DISK, &tables(2, &[2, 3], &[]));
    group.finish_tick(10);
    let now_ms = 10 + LEFT_GROUP_RETENTION_MS;
    assert!(group.may_be_dropped(now_ms));
    // Newer tables name this disk again, but the poll that delivers them has not arrived yet.
    let stream = StreamId {
        epoch: 3,
        session: 1,
        attempt: 1,
    };
    let compare = Message::Compare {
        stream,
        after: None,
        until: None,
        digests: Vec::new(),
    };
    group.call(now_ms, |engine, now_ms| {
        engine.on_message(now_ms, DiskId(2), compare);
    });
    group.finish_tick(now_ms);
    assert!(!group.may_be_dropped(now_ms));
    group.set_group(now_ms + 500, DISK, &tables(3, &[2, 3], &[1]));
    assert!(!group.may_be_dropped(u64::MAX));
}
