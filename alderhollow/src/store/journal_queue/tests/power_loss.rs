//! Durability of several groups that share one journal: writes reported as complete survive a loss of power at any disk
//! operation, also when one sync completes writes of several groups, and during compaction.

use super::*;

const GROUPS: u8 = 3;
const WRITES_PER_GROUP: u8 = 8;
/// Writes per group after which the journal is compacted.
const COMPACT_AFTER: [u8; 2] = [3, 6];
/// More disk operations than all writes and compactions need.
const MAX_OPERATIONS: u64 = 100;

/// An owner whose state is the list of its writes, each as the group and the ticket.
#[derive(Default)]
struct RecordingOwner {
    state: RefCell<Vec<[u8; 2]>>,
    completed: RefCell<Vec<[u8; 2]>>,
}

impl JournalOwner for RecordingOwner {
    fn snapshot(&self) -> Vec<u8> {
        self.state.borrow().concat()
    }

    fn written(&self, written: GroupTicket) {
        self.completed
            .borrow_mut()
            .push([written.group.0 as u8, written.ticket.0 as u8]);
    }
}

impl RecordingOwner {
    fn append(&self, queue: &JournalQueue, group: u8, number: u8) {
        self.state.borrow_mut().push([group, number]);
        let ticket = GroupTicket {
            group: GroupId(group.into()),
            ticket: WriteTicket(number.into()),
        };
        queue.append(0, ticket, vec![vec![group, number]]);
    }

    /// Whether the last write of each group was reported as complete.
    fn are_all_completed(&self) -> bool {
        (0..GROUPS).all(|group| self.completed.borrow().contains(&[group, WRITES_PER_GROUP]))
    }
}

/// Writes for all groups until all writes are complete or `keep_waiting` returns false, then ends with a loss of power.
/// `inject_fault` is called once the journal is open. `pause` lets the disk proceed between two rounds, so that fewer writes share a
/// sync.
async fn write_and_lose_power(
    disk: &FaultDisk,
    inject_fault: impl Fn(&FaultDisk),
    pause: bool,
    keep_waiting: impl Fn(&JournalQueue) -> bool,
) -> Vec<[u8; 2]> {
    let (journal, _) = Journal::open(&mut disk.clone(), 1).expect("a journal");
    inject_fault(disk);
    let (queue, completions) =
        JournalQueue::new(Writer::start(journal).expect("a thread"), Some(64));
    let (queue, owner) = (Rc::new(queue), Rc::new(RecordingOwner::default()));
    let (task_queue, task_owner) = (queue.clone(), owner.clone());
    let task = tokio::task::spawn_local(async move {
        task_queue
            .process_completions(completions, &*task_owner)
            .await;
    });
    for number in 1..=WRITES_PER_GROUP {
        (0..GROUPS).for_each(|group| owner.append(&queue, group, number));
        if COMPACT_AFTER.contains(&number) {
            queue.compact(0, || owner.snapshot());
        }
        if pause {
            std::thread::sleep(Duration::from_micros(200));
        }
        tokio::task::yield_now().await;
    }
    while !owner.are_all_completed() && keep_waiting(&queue) {
        // A timer, so that the paused clock advances past the delay before a repair.
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let completed = owner.completed.borrow().clone();
    disk.restore_power();
    task.abort();
    completed
}

/// Returns the writes that a new process recovers from the disk.
fn recover(disk: &FaultDisk) -> Vec<[u8; 2]> {
    let (_, recovered) = Journal::open(&mut disk.clone(), 2).expect("a journal");
    let pair = |bytes: &[u8]| [bytes[0], bytes[1]];
    let snapshot = recovered.snapshot.unwrap_or_default();
    snapshot
        .chunks_exact(2)
        .chain(recovered.records.iter().map(Vec::as_slice))
        .map(pair)
        .collect()
}

/// Checks that all completed writes were recovered. A completed ticket covers all earlier writes of its group.
fn assert_durable(completed: &[[u8; 2]], recovered: &[[u8; 2]], case: &str) {
    for [group, newest] in completed {
        for number in 1..=*newest {
            assert!(
                recovered.contains(&[*group, number]),
                "{case}: write {number} of group {group} is lost: {recovered:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn completed_writes_survive_a_loss_of_power_at_any_operation() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (mut some_completed, mut all_completed) = (0, 0);
            for operation in 0..MAX_OPERATIONS {
                for pause in [false, true] {
                    let disk = FaultDisk::new(DISK_BYTES, operation);
                    let fails = |disk: &FaultDisk| disk.fail_power_after(operation);
                    let completed =
                        write_and_lose_power(&disk, fails, pause, |queue| !queue.is_failing(0))
                            .await;
                    assert_durable(
                        &completed,
                        &recover(&disk),
                        &format!("operation {operation}, pause {pause}"),
                    );
                    some_completed += u32::from(!completed.is_empty());
                    all_completed +=
                        u32::from(completed.len() >= usize::from(GROUPS * WRITES_PER_GROUP));
                }
            }
            let runs = 2 * MAX_OPERATIONS as u32;
            assert!(
                some_completed > runs / 4 && all_completed < runs,
                "{some_completed} and {all_completed} of {runs}"
            );
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn completed_writes_survive_a_loss_of_power_after_a_failed_sync() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            for operation in 0..MAX_OPERATIONS / 2 {
                let disk = FaultDisk::new(DISK_BYTES, operation);
                let fails = |disk: &FaultDisk| disk.fail_sync_after(operation);
                let completed = write_and_lose_power(&disk, fails, true, |_| true).await;
                assert_durable(
                    &completed,
                    &recover(&disk),
                    &format!("operation {operation}"),
                );
            }
        })
        .await;
}
