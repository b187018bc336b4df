//! Several groups on one journal: what was told as written is there after a loss of power, at whatever operation of the
//! disk it comes, also where one sync ends the writes of several groups, and while the journal is compacted.

use super::*;

const GROUPS: u8 = 3;
const WRITES_OF_EACH: u8 = 8;
/// Writes of each group after which the journal is compacted.
const COMPACTED_AFTER: [u8; 2] = [3, 6];
/// More than all writes and compactions need.
const MOST_OPERATIONS: u64 = 100;

/// A store whose state is the list of its writes, each as its group and its ticket.
#[derive(Default)]
struct Writes {
    state: RefCell<Vec<[u8; 2]>>,
    told: RefCell<Vec<[u8; 2]>>,
}

impl JournalOwner for Writes {
    fn snapshot(&self) -> Vec<u8> {
        self.state.borrow().concat()
    }

    fn written(&self, written: GroupTicket) {
        self.told
            .borrow_mut()
            .push([written.group.0 as u8, written.ticket.0 as u8]);
    }
}

impl Writes {
    fn append(&self, queue: &JournalQueue, group: u8, number: u8) {
        self.state.borrow_mut().push([group, number]);
        let ticket = GroupTicket {
            group: GroupId(group.into()),
            ticket: WriteTicket(number.into()),
        };
        queue.append(0, ticket, vec![vec![group, number]]);
    }

    /// Whether the last write of each group was told as written.
    fn are_all_told(&self) -> bool {
        (0..GROUPS).all(|group| self.told.borrow().contains(&[group, WRITES_OF_EACH]))
    }
}

/// Writes for all groups until all is told as written or the disk fails for good, with a loss of power at the end.
/// `trouble` is set up once the journal is open; `pause` lets the disk go on between two rounds, so that fewer writes share
/// a sync.
async fn write_and_lose_power(
    disk: &FaultDisk,
    trouble: impl Fn(&FaultDisk),
    pause: bool,
    goes_on: impl Fn(&JournalQueue) -> bool,
) -> Vec<[u8; 2]> {
    let (journal, _) = Journal::open(&mut disk.clone(), 1).expect("a journal");
    trouble(disk);
    let (queue, ends) = JournalQueue::new(Writer::start(journal).expect("a thread"), Some(64));
    let (queue, owner) = (Rc::new(queue), Rc::new(Writes::default()));
    let (following, told) = (queue.clone(), owner.clone());
    let follower =
        tokio::task::spawn_local(async move { following.process_completions(ends, &*told).await });
    for number in 1..=WRITES_OF_EACH {
        (0..GROUPS).for_each(|group| owner.append(&queue, group, number));
        if COMPACTED_AFTER.contains(&number) {
            queue.compact(0, || owner.snapshot());
        }
        if pause {
            std::thread::sleep(Duration::from_micros(200));
        }
        tokio::task::yield_now().await;
    }
    while !owner.are_all_told() && goes_on(&queue) {
        // A timer, so that the clock goes on to the end of the pause before a repair.
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let told = owner.told.borrow().clone();
    disk.restore_power();
    follower.abort();
    told
}

/// What a process finds on the disk.
fn found(disk: &FaultDisk) -> Vec<[u8; 2]> {
    let (_, recovered) = Journal::open(&mut disk.clone(), 2).expect("a journal");
    let pair = |bytes: &[u8]| [bytes[0], bytes[1]];
    let snapshot = recovered.snapshot.unwrap_or_default();
    snapshot
        .chunks_exact(2)
        .chain(recovered.records.iter().map(Vec::as_slice))
        .map(pair)
        .collect()
}

/// A ticket stands for all writes of its group before it too.
fn assert_kept(told: &[[u8; 2]], found: &[[u8; 2]], case: &str) {
    for [group, newest] in told {
        for number in 1..=*newest {
            assert!(
                found.contains(&[*group, number]),
                "{case}: write {number} of group {group} is lost: {found:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn what_was_told_as_written_outlives_a_loss_of_power_at_any_operation() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (mut told_some, mut told_all) = (0, 0);
            for operation in 0..MOST_OPERATIONS {
                for pause in [false, true] {
                    let disk = FaultDisk::new(ROOM, operation);
                    let fails = |disk: &FaultDisk| disk.fail_power_after(operation);
                    let told =
                        write_and_lose_power(&disk, fails, pause, |queue| !queue.is_failing(0))
                            .await;
                    assert_kept(
                        &told,
                        &found(&disk),
                        &format!("operation {operation}, pause {pause}"),
                    );
                    told_some += u32::from(!told.is_empty());
                    told_all += u32::from(told.len() >= usize::from(GROUPS * WRITES_OF_EACH));
                }
            }
            let runs = 2 * MOST_OPERATIONS as u32;
            assert!(
                told_some > runs / 4 && told_all < runs,
                "{told_some} and {told_all} of {runs}"
            );
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn what_was_told_as_written_after_a_sync_that_failed_outlives_a_loss_of_power() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            for operation in 0..MOST_OPERATIONS / 2 {
                let disk = FaultDisk::new(ROOM, operation);
                let fails = |disk: &FaultDisk| disk.fail_sync_after(operation);
                let told = write_and_lose_power(&disk, fails, true, |_| true).await;
                assert_kept(&told, &found(&disk), &format!("operation {operation}"));
            }
        })
        .await;
}
