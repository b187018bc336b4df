//! Several groups spread over the stores: primaries, membership and the effects of losing a store.

use crate::batch_tables::{HOST, ROUTE};
use alderhollow::batch_protocol::{ReplicationNotice, StoreCall, StoreReply};
use alderhollow::store::group_engine::LEFT_GROUP_RETENTION_MS;
use alderhollow_batch::job::{Item, ItemRequest, ItemResult, JobId, NewJob, ResultState};
use alderhollow_batch::message::Message;
use alderhollow_batch::records::{Entry, StreamId};
use alderhollow_batch::state::State;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{GroupId, Snapshot};
use alderhollow_storage::{FaultDisk, Journal};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

use crate::tier::*;

/// Jobs that are accepted this long apart have different deadlines.
const DEADLINE_RESOLUTION: Duration = Duration::from_millis(1);

/// Submits two jobs to each group and reads their results.
async fn submit_and_read_in_all_groups(tier: &Tier, count: usize) {
    for group in 0..count {
        for id in jobs_of_group(group, count, 2) {
            assert_eq!(
                tier.submit_job(&id, 2, 4_000).await.status(),
                202,
                "{id} of group {group}"
            );
            assert_eq!(ids(&tier.results_of(&id).await), ["i0", "i1"]);
        }
    }
}

#[test]
fn two_groups_over_three_stores_accept_run_read_and_delete_jobs() {
    run_in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        tier.set_groups(
            2,
            &[
                GroupPlan::new(2, 0, &[0, 1, 2]),
                GroupPlan::new(1, 1, &[0, 1, 2]),
            ],
        );
        submit_and_read_in_all_groups(&tier, 2).await;
        for store in &tier.stores {
            assert_eq!(jobs_by_group(store), [(0, 2), (1, 2)]);
        }
        for id in jobs_of_group(0, 2, 2).iter().chain(&jobs_of_group(1, 2, 2)) {
            assert_eq!(
                tier.status("GET", &format!("/alderhollow/items/{id}?id=i0"))
                    .await,
                404
            );
            assert_eq!(
                tier.status("DELETE", &format!("/alderhollow/lots/{id}"))
                    .await,
                200
            );
        }
        assert_eq!(tier.backend.requests().len(), 8);
    });
}

#[test]
fn three_groups_have_different_primaries_and_are_stored_by_their_members_only() {
    run_in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        submit_and_read_in_all_groups(&tier, 3).await;
        assert_eq!(jobs_by_group(&tier.stores[0]), [(0, 2), (2, 2)]);
        assert_eq!(jobs_by_group(&tier.stores[1]), [(0, 2), (1, 2)]);
        assert_eq!(jobs_by_group(&tier.stores[2]), [(1, 2), (2, 2)]);
        for store in &tier.stores {
            let share = store.node.led_share();
            assert_eq!((share.led, share.all), (1, 3));
            assert!(store.node.is_primary());
        }
        for group in 0..3 {
            let id = &jobs_of_group(group, 3, 1)[0];
            assert_eq!(
                tier.status("DELETE", &format!("/alderhollow/lots/{id}"))
                    .await,
                200
            );
            assert_eq!(
                tier.status("GET", &format!("/alderhollow/items/{id}?id=i0"))
                    .await,
                404
            );
        }
    });
}

#[test]
fn the_loss_of_a_store_affects_only_its_groups() {
    run_in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        submit_and_read_in_all_groups(&tier, 3).await;
        tier.stores[1].stop();
        let untouched = jobs_of_group(2, 3, 3);
        assert_eq!(ids(&tier.results_of(&untouched[0]).await), ["i0", "i1"]);
        assert_eq!(tier.submit_job(&untouched[2], 1, 4_000).await.status(), 202);
        tier.set_groups(
            2,
            &[
                GroupPlan::new(2, 0, &[0]),
                GroupPlan::new(2, 2, &[2]),
                THREE_GROUPS[2],
            ],
        );
        for group in 0..3 {
            for id in jobs_of_group(group, 3, 2) {
                assert_eq!(
                    ids(&tier.results_of(&id).await),
                    ["i0", "i1"],
                    "{id} of group {group}"
                );
            }
            let next = &jobs_of_group(group, 3, 4)[3];
            assert_eq!(tier.submit_job(next, 1, 4_000).await.status(), 202);
            assert_eq!(ids(&tier.results_of(next).await), ["i0"]);
        }
        assert_eq!(tier.stores[2].node.led_share().led, 2);
        assert!(!tier.stores[1].node.is_primary());
        assert_eq!(tier.backend.requests().len(), 16, "no item ran again");
    });
}

#[test]
fn all_groups_survive_a_loss_of_power_of_all_stores() {
    run_in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        submit_and_read_in_all_groups(&tier, 3).await;
        let disks = tier.lose_power();
        let tier = tier.restart_on(disks).await;
        assert_eq!(jobs_by_group(&tier.stores[0]), [(0, 2), (2, 2)]);
        tier.set_groups(
            2,
            &[
                GroupPlan::new(2, 1, &[0, 1]),
                GroupPlan::new(2, 2, &[1, 2]),
                GroupPlan::new(2, 0, &[2, 0]),
            ],
        );
        for group in 0..3 {
            for id in jobs_of_group(group, 3, 2) {
                assert_eq!(
                    ids(&tier.results_of(&id).await),
                    ["i0", "i1"],
                    "{id} of group {group}"
                );
            }
        }
        assert_eq!(tier.backend.requests().len(), 12, "no item ran again");
    });
}

/// Creates a job of one item as earlier versions wrote it.
fn old_job(id: &str) -> NewJob {
    let request = ItemRequest {
        path: "/b/1".to_string(),
        headers: Vec::new(),
        body: b"body".to_vec(),
    };
    NewJob {
        id: JobId::from(id),
        route: ROUTE.to_string(),
        host: HOST.to_string(),
        age_ms: 0,
        items: vec![Item {
            id: "i0".to_string(),
            request: Some(request),
            tokens: 1,
        }],
        config_version: 1,
    }
}

#[test]
fn a_disk_written_by_a_version_with_a_single_group_is_read() {
    run_in_local_set(async {
        let disk = FaultDisk::new(DISK_BYTES, 5);
        let (mut journal, _) = Journal::open(&mut disk.clone(), 5).expect("a journal");
        let mut state = State::default();
        state
            .apply(0, Entry::JobAccepted(old_job("j1")))
            .expect("a job");
        journal.compact(&state.snapshot(0)).expect("a snapshot");
        journal
            .append(&Entry::JobAccepted(old_job("j2")).to_bytes())
            .expect("a record");
        let result = ItemResult {
            item: 0,
            state: ResultState::Completed,
            text: "old text".to_string(),
        };
        let results = Entry::ItemResults {
            job: JobId::from("j2"),
            position: 0,
            results: vec![result],
        };
        journal.append(&results.to_bytes()).expect("a record");
        journal.sync().expect("on disk");
        drop(journal);

        let tier = Tier::start(vec![], 0).await;
        let mut disks = tier.lose_power();
        disks[0] = disk;
        let tier = tier.restart_on(disks).await;
        assert_eq!(jobs_by_group(&tier.stores[0]), [(0, 2)]);
        tier.set_group(2, 0, &[0, 1]);
        let old = json!({"id": "i0", "state": "completed", "text": "old text"});
        assert_eq!(tier.results_of("j2").await, [old]);
        assert_eq!(ids(&tier.results_of("j1").await), ["i0"]);

        let disks = tier.lose_power();
        let tier = tier.restart_on(disks).await;
        assert_eq!(
            jobs_by_group(&tier.stores[0]),
            [(0, 2)],
            "untagged and tagged records are read together"
        );
        tier.set_group(3, 1, &[0, 1]);
        assert_eq!(ids(&tier.results_of("j1").await), ["i0"]);
    });
}

#[test]
fn a_left_group_is_removed_from_memory_and_disk_and_can_be_joined_again() {
    run_in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        submit_and_read_in_all_groups(&tier, 3).await;
        tier.set_groups(
            2,
            &[GroupPlan::new(2, 1, &[1]), THREE_GROUPS[1], THREE_GROUPS[2]],
        );
        let kept = &jobs_of_group(0, 3, 1)[0];
        assert_eq!(ids(&tier.results_of(kept).await), ["i0", "i1"]);
        let former_member = &tier.stores[0].node;
        former_member.remove_left_groups(former_member.clock.now_ms());
        assert_eq!(
            jobs_by_group(&tier.stores[0]),
            [(0, 2), (2, 2)],
            "the retention time has not passed"
        );
        former_member.remove_left_groups(former_member.clock.now_ms() + LEFT_GROUP_RETENTION_MS);
        assert_eq!(jobs_by_group(&tier.stores[0]), [(2, 2)]);
        assert_eq!(jobs_by_group(&tier.stores[1]), [(0, 2), (1, 2)]);

        // A job accepted after the snapshot follows it in the journal.
        let last = &jobs_of_group(2, 3, 3)[2];
        assert_eq!(tier.submit_job(last, 1, 4_000).await.status(), 202);
        let disks = tier.lose_power();
        let tier = tier.restart_on(disks).await;
        assert_eq!(jobs_by_group(&tier.stores[0]), [(2, 3)]);

        let joining = GroupPlan {
            epoch: 3,
            primary: 1,
            members: &[1, 0],
            learners: &[],
        };
        tier.set_groups(
            3,
            &[
                joining,
                GroupPlan::new(2, 1, &[1, 2]),
                GroupPlan::new(2, 2, &[2, 0]),
            ],
        );
        let next = &jobs_of_group(0, 3, 3)[2];
        assert_eq!(tier.submit_job(next, 1, 4_000).await.status(), 202);
        assert_eq!(jobs_by_group(&tier.stores[0]), [(0, 3), (2, 3)]);
        tier.stores[1].stop();
        tier.set_groups(
            4,
            &[
                GroupPlan::new(4, 0, &[0]),
                GroupPlan::new(3, 2, &[2]),
                GroupPlan::new(2, 2, &[2, 0]),
            ],
        );
        assert_eq!(ids(&tier.results_of(kept).await), ["i0", "i1"]);
    });
}

#[test]
fn a_primarys_message_creates_a_group_before_the_tables_name_it() {
    run_in_local_set(async {
        let (_tables, snapshots) = watch::channel(Arc::<Snapshot>::default());
        let store = Store::start(1, FaultDisk::new(DISK_BYTES, 1), snapshots).await;
        let stream = StreamId {
            epoch: 4,
            session: 1,
            ..StreamId::default()
        };
        let compare = Message::Compare {
            stream,
            after: None,
            until: None,
            digests: vec![],
        };
        let notice = |group: u32, message: &Message| ReplicationNotice {
            from: DiskId(77),
            to: store.member.disk,
            message: message.clone(),
            group: GroupId(group),
        };
        store
            .node
            .handle_notice(notice(3, &Message::Acknowledge { stream, next: 1 }));
        store.node.handle_notice(notice(u32::MAX, &compare));
        assert_eq!(jobs_by_group(&store), []);
        store.node.handle_notice(notice(3, &compare));
        assert_eq!(jobs_by_group(&store), [(3, 0)]);
        let entries = vec![Entry::JobAccepted(old_job("a"))];
        store.node.handle_notice(notice(
            3,
            &Message::Entries {
                stream,
                first: 1,
                entries,
            },
        ));
        assert_eq!(jobs_by_group(&store), [(3, 1)]);
    });
}

#[test]
fn a_message_for_a_group_missing_from_the_tables_creates_none() {
    run_in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        submit_and_read_in_all_groups(&tier, 3).await;
        let stream = StreamId {
            epoch: 9,
            session: 1,
            ..StreamId::default()
        };
        let message = Message::Compare {
            stream,
            after: None,
            until: None,
            digests: vec![],
        };
        let store = &tier.stores[0];
        let to = store.member.disk;
        store.node.handle_notice(ReplicationNotice {
            from: DiskId(7),
            to,
            message: message.clone(),
            group: GroupId(3),
        });
        assert_eq!(jobs_by_group(store), [(0, 2), (2, 2)]);
        store.node.handle_notice(ReplicationNotice {
            from: DiskId(7),
            to,
            message,
            group: GroupId(1),
        });
        assert_eq!(jobs_by_group(store), [(0, 2), (1, 0), (2, 2)]);
    });
}

#[test]
fn a_read_is_rejected_by_a_store_that_is_not_the_primary() {
    run_in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        submit_and_read_in_all_groups(&tier, 3).await;
        for group in 0..3 {
            let job = JobId::from(jobs_of_group(group, 3, 1)[0].as_str());
            for (index, store) in tier.stores.iter().enumerate() {
                let call = StoreCall::Read {
                    job: job.clone(),
                    after: 0,
                    wait_ms: 0,
                };
                let reply = alderhollow::store::calls::serve(&store.node, call)
                    .await
                    .reply;
                let is_led = matches!(reply, StoreReply::Results(_));
                assert_eq!(is_led, index == group, "{reply:?}");
                assert!(is_led || reply == StoreReply::NotPrimary, "{reply:?}");
            }
        }
    });
}

#[test]
fn items_with_the_earliest_deadline_run_first_across_all_led_groups() {
    run_in_local_set(async {
        for first in [0, 1] {
            let tier = Tier::start(vec![], 0).await;
            tier.set_groups(
                2,
                &[
                    GroupPlan::new(2, 0, &[0, 1, 2]),
                    GroupPlan::new(1, 0, &[0, 1, 2]),
                ],
            );
            let early = &jobs_of_group(first, 2, 1)[0];
            let late = &jobs_of_group(1 - first, 2, 1)[0];
            assert_eq!(
                tier.submit_items(early, "early-", 16, 4_000).await.status(),
                202
            );
            // Deadlines have a resolution of a millisecond, and equal ones have no order.
            tokio::time::sleep(DEADLINE_RESOLUTION).await;
            assert_eq!(
                tier.submit_items(late, "late-", 4, 4_000).await.status(),
                202
            );
            tier.backend.until_requests(20).await;
            let heads: Vec<String> = tier
                .backend
                .requests()
                .into_iter()
                .map(|request| request.head)
                .collect();
            let last_early = heads
                .iter()
                .rposition(|head| head.contains("early-"))
                .expect("early items");
            // Two items may start at once, and their requests may arrive in any order.
            assert!(last_early <= 16, "{heads:#?}");
        }
    });
}
