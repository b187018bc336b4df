//! Completions of journal writes, stalls, full disks and compaction.

use super::*;
use alderhollow_storage::{FaultDisk, Journal};
use std::rc::Rc;

mod power_loss;

const DISK_BYTES: u64 = 1024 * 1024;
const GROUP: GroupId = GroupId(3);

fn ticket(number: u64) -> GroupTicket {
    GroupTicket {
        group: GROUP,
        ticket: WriteTicket(number),
    }
}

struct Owner {
    written: RefCell<Vec<u64>>,
    notify: tokio::sync::Notify,
}

impl JournalOwner for Owner {
    fn snapshot(&self) -> Vec<u8> {
        b"whole state".to_vec()
    }

    fn written(&self, written: GroupTicket) {
        assert_eq!(written.group, GROUP);
        self.written.borrow_mut().push(written.ticket.0);
        self.notify.notify_one();
    }
}

fn start(disk: &FaultDisk) -> (Rc<JournalQueue>, Rc<Owner>) {
    let (journal, _) = Journal::open(&mut disk.clone(), 1).expect("a journal");
    let (queue, completions) =
        JournalQueue::new(Writer::start(journal).expect("a thread"), Some(64));
    let queue = Rc::new(queue);
    let owner = Rc::new(Owner {
        written: RefCell::default(),
        notify: tokio::sync::Notify::new(),
    });
    let (task_queue, task_owner) = (queue.clone(), owner.clone());
    tokio::task::spawn_local(async move {
        task_queue
            .process_completions(completions, &*task_owner)
            .await;
    });
    (queue, owner)
}

async fn wait_until_written(owner: &Owner, ticket: u64) {
    while owner.written.borrow().last() != Some(&ticket) {
        owner.notify.notified().await;
    }
}

#[tokio::test(start_paused = true)]
async fn writes_complete_in_order() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (queue, owner) = start(&FaultDisk::new(DISK_BYTES, 1));
            for number in 1..=20 {
                queue.append(0, ticket(number), vec![vec![1; 10]; 3]);
            }
            wait_until_written(&owner, 20).await;
            assert_eq!(*owner.written.borrow(), (1..=20).collect::<Vec<_>>());
            assert!(queue.is_ready(10_000));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_pending_write_makes_the_disk_not_ready_and_then_failing() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (queue, owner) = start(&FaultDisk::new(DISK_BYTES, 1));
            queue.append(0, ticket(1), vec![vec![1; 10]]);
            assert!(queue.is_ready(STALL_THRESHOLD_MS - 1) && !queue.is_ready(STALL_THRESHOLD_MS));
            assert!(
                !queue.is_failing(FAILING_THRESHOLD_MS - 1)
                    && queue.is_failing(FAILING_THRESHOLD_MS)
            );
            wait_until_written(&owner, 1).await;
            assert!(!queue.is_failing(FAILING_THRESHOLD_MS));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn after_a_full_disk_no_write_completes_until_a_snapshot_is_written() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let disk = FaultDisk::new(DISK_BYTES, 1);
            let (queue, owner) = start(&disk);
            queue.append(0, ticket(1), vec![vec![1; 10]]);
            wait_until_written(&owner, 1).await;
            disk.set_capacity(disk.used());
            queue.append(0, ticket(2), vec![vec![2; 100_000]]);
            queue.append(0, ticket(3), vec![vec![3; 100_000]]);
            while queue.is_ready(0) {
                tokio::task::yield_now().await;
            }
            assert!(queue.is_failing(0));
            assert_eq!(*owner.written.borrow(), [1]);
            disk.set_capacity(DISK_BYTES);
            wait_until_written(&owner, 3).await;
            assert_eq!(*owner.written.borrow(), [1, 3]);
            assert!(queue.is_ready(0) && !queue.is_failing(0));
            let (_, recovered) = Journal::open(&mut disk.clone(), 2).expect("a journal");
            assert_eq!(recovered.snapshot.as_deref(), Some(&b"whole state"[..]));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_slow_write_makes_the_disk_not_ready_until_it_completes() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (queue, owner) = start(&FaultDisk::new(DISK_BYTES, 1));
            queue.append(1_000, ticket(1), vec![vec![1; 10]]);
            assert!(queue.is_ready(1_000 + STALL_THRESHOLD_MS - 1));
            assert!(!queue.is_ready(1_000 + STALL_THRESHOLD_MS));
            wait_until_written(&owner, 1).await;
            assert!(queue.is_ready(1_000 + STALL_THRESHOLD_MS));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_long_log_is_compacted() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let disk = FaultDisk::new(64 * DISK_BYTES, 1);
            let (queue, owner) = start(&disk);
            for number in 1..=10 {
                queue.append(0, ticket(number), vec![vec![1; 1_000_000]]);
                queue.compact_if_due(0, || b"whole state".to_vec());
            }
            wait_until_written(&owner, 10).await;
            let (_, recovered) = Journal::open(&mut disk.clone(), 2).expect("a journal");
            assert_eq!(recovered.snapshot.as_deref(), Some(&b"whole state"[..]));
            assert!(recovered.records.len() < 10);
        })
        .await;
}
