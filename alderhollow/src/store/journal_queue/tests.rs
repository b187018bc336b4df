//! Writes, their ends and a disk that has no room.

use super::*;
use alderhollow_storage::{FaultDisk, Journal};
use std::rc::Rc;

mod power;

const ROOM: u64 = 1024 * 1024;
const GROUP: GroupId = GroupId(3);

fn ticket(number: u64) -> GroupTicket {
    GroupTicket {
        group: GROUP,
        ticket: WriteTicket(number),
    }
}

struct Owner {
    written: RefCell<Vec<u64>>,
    told: tokio::sync::Notify,
}

impl JournalOwner for Owner {
    fn snapshot(&self) -> Vec<u8> {
        b"whole state".to_vec()
    }

    fn written(&self, written: GroupTicket) {
        assert_eq!(written.group, GROUP);
        self.written.borrow_mut().push(written.ticket.0);
        self.told.notify_one();
    }
}

fn start(disk: &FaultDisk) -> (Rc<JournalQueue>, Rc<Owner>) {
    let (journal, _) = Journal::open(&mut disk.clone(), 1).expect("a journal");
    let (queue, ends) = JournalQueue::new(Writer::start(journal).expect("a thread"), Some(64));
    let queue = Rc::new(queue);
    let owner = Rc::new(Owner {
        written: RefCell::default(),
        told: tokio::sync::Notify::new(),
    });
    let (following, told) = (queue.clone(), owner.clone());
    tokio::task::spawn_local(async move { following.process_completions(ends, &*told).await });
    (queue, owner)
}

async fn until_written(owner: &Owner, ticket: u64) {
    while owner.written.borrow().last() != Some(&ticket) {
        owner.told.notified().await;
    }
}

#[tokio::test(start_paused = true)]
async fn ends_come_in_order() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (queue, owner) = start(&FaultDisk::new(ROOM, 1));
            for number in 1..=20 {
                queue.append(0, ticket(number), vec![vec![1; 10]; 3]);
            }
            until_written(&owner, 20).await;
            assert_eq!(*owner.written.borrow(), (1..=20).collect::<Vec<_>>());
            assert!(queue.is_ready(10_000));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_write_that_waits_for_long_stops_new_batch_jobs_and_then_asks_for_another_store() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (queue, owner) = start(&FaultDisk::new(ROOM, 1));
            queue.append(0, ticket(1), vec![vec![1; 10]]);
            assert!(queue.is_ready(STALL_THRESHOLD_MS - 1) && !queue.is_ready(STALL_THRESHOLD_MS));
            assert!(
                !queue.is_failing(FAILING_THRESHOLD_MS - 1)
                    && queue.is_failing(FAILING_THRESHOLD_MS)
            );
            until_written(&owner, 1).await;
            assert!(!queue.is_failing(FAILING_THRESHOLD_MS));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn after_a_full_disk_nothing_counts_until_the_whole_state_is_written() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let disk = FaultDisk::new(ROOM, 1);
            let (queue, owner) = start(&disk);
            queue.append(0, ticket(1), vec![vec![1; 10]]);
            until_written(&owner, 1).await;
            disk.set_capacity(disk.used());
            queue.append(0, ticket(2), vec![vec![2; 100_000]]);
            queue.append(0, ticket(3), vec![vec![3; 100_000]]);
            while queue.is_ready(0) {
                tokio::task::yield_now().await;
            }
            assert!(queue.is_failing(0));
            assert_eq!(*owner.written.borrow(), [1]);
            disk.set_capacity(ROOM);
            until_written(&owner, 3).await;
            assert_eq!(*owner.written.borrow(), [1, 3]);
            assert!(queue.is_ready(0) && !queue.is_failing(0));
            let (_, recovered) = Journal::open(&mut disk.clone(), 2).expect("a journal");
            assert_eq!(recovered.snapshot.as_deref(), Some(&b"whole state"[..]));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_write_that_takes_long_makes_the_disk_not_ready() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (queue, owner) = start(&FaultDisk::new(ROOM, 1));
            queue.append(1_000, ticket(1), vec![vec![1; 10]]);
            assert!(queue.is_ready(1_000 + STALL_THRESHOLD_MS - 1));
            assert!(!queue.is_ready(1_000 + STALL_THRESHOLD_MS));
            until_written(&owner, 1).await;
            assert!(queue.is_ready(1_000 + STALL_THRESHOLD_MS));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_long_log_becomes_a_snapshot() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let disk = FaultDisk::new(64 * ROOM, 1);
            let (queue, owner) = start(&disk);
            for number in 1..=10 {
                queue.append(0, ticket(number), vec![vec![1; 1_000_000]]);
                queue.compact_if_due(0, || b"whole state".to_vec());
            }
            until_written(&owner, 10).await;
            let (_, recovered) = Journal::open(&mut disk.clone(), 2).expect("a journal");
            assert_eq!(recovered.snapshot.as_deref(), Some(&b"whole state"[..]));
            assert!(recovered.records.len() < 10);
        })
        .await;
}
