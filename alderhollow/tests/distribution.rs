//! Distribution of tables: versions never decrease, answers require a lease; primary discovery, senders, announcements.

use alderhollow::clock::SteadyClock;
use alderhollow::distribution::client::PollState;
use alderhollow::distribution::directory::Directory;
use alderhollow::distribution::message::{
    Answer, CoreMember, CoreView, EncodedControl, Poll, Request, Stamp, StampedSenders,
    TableVersions, Update,
};
use alderhollow::distribution::pollers::{PollerTracker, POLLER_RETENTION_MS, POLLER_TIMEOUT_MS};
use alderhollow::distribution::primary_discovery::PrimaryDiscovery;
use alderhollow::distribution::senders::{SenderTracker, SENDER_TIMEOUT_MS};
use alderhollow::distribution::server::{Authority, Distributor, PublishedBackends};
use alderhollow::distribution::signal::ChangeSignal;
use alderhollow::distribution::tables::{Tables, TablesError};
use alderhollow::distribution::validity::TableValidity;
use alderhollow_model::backend::{Backend, BackendList, BackendState};
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::{ControlView, Senders};
use proptest::prelude::*;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;

fn block_on_paused<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 7660))
}

fn node(name: &str, last: u8) -> NodeInfo {
    NodeInfo {
        node: name.into(),
        role: Role::Gateway,
        zone: "hobart-depot".into(),
        incarnation: Incarnation(u64::from(last)),
        disk: None,
        internal: Address(address(last)),
        control: None,
    }
}

fn member(last: u8) -> CoreMember {
    CoreMember {
        disk: DiskId(u64::from(last)),
        internal: Address(address(last)),
        control: None,
        is_dedicated: false,
    }
}

fn stamp(epoch: u64, sequence: u64) -> Stamp {
    Stamp { epoch, sequence }
}

fn decode(bytes: &[u8]) -> Option<ControlView> {
    let version = u64::from_be_bytes(bytes.try_into().ok()?);
    Some(ControlView {
        version,
        ..ControlView::default()
    })
}

fn control(version: u64) -> EncodedControl {
    EncodedControl {
        version,
        bytes: version.to_be_bytes().to_vec().into(),
    }
}

fn backend(cold_remaining_ms: u64) -> Backend {
    Backend {
        id: "i-1".into(),
        service: "huvo11a".into(),
        address: Address(address(200)),
        zone: "hobart-depot".into(),
        slots: 6,
        state: BackendState::Ready,
        cold_remaining_ms,
    }
}

fn list(epoch: u64, sequence: u64) -> BackendList {
    BackendList {
        epoch,
        sequence,
        backends: vec![backend(0)],
    }
}

// --- tables -----------------------------------------------------------------------------------------------------------

fn any_stamp() -> impl Strategy<Value = Stamp> {
    (0u64..4, 0u64..4).prop_map(|(epoch, sequence)| stamp(epoch, sequence))
}

fn any_update() -> impl Strategy<Value = Update> {
    let control = prop::option::of((0u64..8).prop_map(control));
    let backends =
        prop::option::of(any_stamp().prop_map(|stamp| list(stamp.epoch, stamp.sequence)));
    let senders = prop::option::of(any_stamp().prop_map(|stamp| StampedSenders {
        stamp,
        senders: Senders::default(),
    }));
    (control, backends, senders).prop_map(|(control, backends, senders)| Update {
        control,
        backends,
        senders,
        ..Update::default()
    })
}

proptest! {
    #[test]
    fn table_versions_never_decrease(updates in prop::collection::vec(any_update(), 1..20)) {
        block_on_paused(async {
            let mut tables = Tables::new(SteadyClock::start(), decode);
            let snapshots = tables.subscribe();
            for update in updates {
                let before = (tables.versions(), snapshots.borrow().clone());
                let changed = tables.apply(update).expect("readable");
                let after = (tables.versions(), snapshots.borrow().clone());
                assert!(after.0.control >= before.0.control);
                assert!(after.0.backends >= before.0.backends);
                assert!(after.0.senders >= before.0.senders);
                assert_eq!(after.1.control.version, after.0.control);
                assert_eq!(after.1.backends.version(), (after.0.backends.epoch, after.0.backends.sequence));
                assert!(after.1.validated);
                assert!(changed || before == after);
            }
        });
    }

    #[test]
    fn arbitrary_messages_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = minicbor::decode::<Request>(&bytes);
        let _ = minicbor::decode::<Answer>(&bytes);
    }

    #[test]
    fn updates_decode_to_what_was_encoded(update in any_update()) {
        let answer = Answer::Update(update);
        let bytes = minicbor::to_vec(&answer).expect("encodes");
        prop_assert_eq!(minicbor::decode::<Answer>(&bytes).expect("decodes"), answer);
    }
}

#[test]
fn an_undecodable_control_state_changes_nothing() {
    block_on_paused(async {
        let mut tables = Tables::new(SteadyClock::start(), decode);
        let unreadable = EncodedControl {
            version: 5,
            bytes: vec![1].into(),
        };
        let update = Update {
            control: Some(unreadable),
            backends: Some(list(1, 1)),
            ..Update::default()
        };
        assert_eq!(tables.apply(update), Err(TablesError::UnreadableControl(5)));
        assert_eq!(tables.versions(), TableVersions::default());
        assert!(!tables.subscribe().borrow().validated);
    });
}

// --- answers ----------------------------------------------------------------------------------------------------------

#[derive(Default)]
struct StubAuthority {
    epoch: Cell<Option<u64>>,
    version: Cell<u64>,
    polls: RefCell<Vec<String>>,
}

impl Authority for StubAuthority {
    fn leased_epoch(&self) -> Option<u64> {
        self.epoch.get()
    }
    fn control(&self) -> EncodedControl {
        control(self.version.get())
    }
    fn control_version(&self) -> u64 {
        self.version.get()
    }
    fn core_view(&self) -> CoreView {
        CoreView {
            primary: Some(member(9)),
            members: vec![member(8), member(9)],
            epoch: 3,
        }
    }
    fn on_poll(&self, poll: &Poll) {
        self.polls.borrow_mut().push(poll.node.node.clone());
    }
}

struct Primary {
    authority: Rc<StubAuthority>,
    distributor: Rc<Distributor>,
    backends: watch::Sender<Option<PublishedBackends>>,
    changes: ChangeSignal,
}

/// A primary of epoch 3 with control state version 7 and no backend list.
fn primary() -> Primary {
    let clock = SteadyClock::start();
    let authority = Rc::new(StubAuthority::default());
    authority.epoch.set(Some(3));
    authority.version.set(7);
    let (backends, receiver) = watch::channel(None);
    let changes = ChangeSignal::new();
    let distributor = Rc::new(Distributor {
        node: node("edge-1", 1),
        directory: Directory::default(),
        authority: Some(authority.clone()),
        backends: receiver,
        snapshots: Tables::new(clock, decode).subscribe(),
        changes: changes.clone(),
        clock,
        senders: RefCell::default(),
        pollers: RefCell::default(),
        history: RefCell::default(),
    });
    Primary {
        authority,
        distributor,
        backends,
        changes,
    }
}

fn poll(versions: TableVersions) -> Poll {
    Poll {
        node: node("edge-2", 2),
        versions,
        wait_ms: 400,
        leaving: false,
        batch_status: Vec::new().into(),
        held: None,
    }
}

fn up_to_date() -> TableVersions {
    TableVersions {
        control: 7,
        backends: stamp(3, 1),
        senders: stamp(3, 2),
    }
}

fn update_of(answer: Answer) -> Update {
    match answer {
        Answer::Update(update) => update,
        other => panic!("not an update: {other:?}"),
    }
}

#[test]
fn newer_tables_are_answered_at_once() {
    block_on_paused(async {
        let primary = primary();
        let begin = Instant::now();
        let update = update_of(
            primary
                .distributor
                .poll(poll(TableVersions::default()))
                .await,
        );
        assert_eq!(begin.elapsed(), Duration::ZERO);
        assert_eq!(update.control, Some(control(7)));
        assert_eq!(update.senders.expect("senders").senders.nodes, ["edge-2"]);
        assert_eq!(update.core.expect("the core").members.len(), 2);
        assert_eq!(*primary.authority.polls.borrow(), ["edge-2"]);
    });
}

#[test]
fn a_poll_without_newer_tables_is_answered_empty_after_the_wait() {
    block_on_paused(async {
        let primary = primary();
        update_of(
            primary
                .distributor
                .poll(poll(TableVersions::default()))
                .await,
        );
        let begin = Instant::now();
        let update = update_of(primary.distributor.poll(poll(up_to_date())).await);
        assert!(update.is_empty());
        assert!(
            begin.elapsed() >= Duration::from_millis(400)
                && begin.elapsed() < Duration::from_millis(420)
        );
    });
}

#[test]
fn a_change_ends_the_wait_of_a_poll() {
    block_on_paused(async {
        let primary = primary();
        update_of(
            primary
                .distributor
                .poll(poll(TableVersions::default()))
                .await,
        );
        let begin = Instant::now();
        let change = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            primary.authority.version.set(8);
            primary.changes.notify();
        };
        let (answer, ()) = tokio::join!(primary.distributor.poll(poll(up_to_date())), change);
        assert_eq!(update_of(answer).control, Some(control(8)));
        assert!(begin.elapsed() < Duration::from_millis(120));
    });
}

#[test]
fn a_poll_without_a_lease_is_redirected() {
    block_on_paused(async {
        let primary = primary();
        let lose = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            primary.authority.epoch.set(None);
            primary.authority.version.set(8);
        };
        update_of(
            primary
                .distributor
                .poll(poll(TableVersions::default()))
                .await,
        );
        let (answer, ()) = tokio::join!(primary.distributor.poll(poll(up_to_date())), lose);
        let expected = CoreView {
            primary: Some(member(9)),
            members: vec![member(8), member(9)],
            epoch: 3,
        };
        assert_eq!(answer, Answer::NotPrimary(expected));
    });
}

#[test]
fn a_backend_list_of_an_earlier_epoch_is_not_distributed() {
    block_on_paused(async {
        let primary = primary();
        let publish = |list| {
            primary.backends.send_replace(Some(PublishedBackends {
                list: Rc::new(list),
                read_at_ms: 0,
            }));
        };
        publish(list(2, 9));
        let update = update_of(
            primary
                .distributor
                .poll(poll(TableVersions::default()))
                .await,
        );
        assert_eq!(update.backends, None);
        publish(list(3, 1));
        let update = update_of(
            primary
                .distributor
                .poll(poll(TableVersions::default()))
                .await,
        );
        assert_eq!(update.backends, Some(list(3, 1)));
    });
}

#[test]
fn warm_up_times_are_counted_from_the_answer() {
    block_on_paused(async {
        let primary = primary();
        let list = BackendList {
            epoch: 3,
            sequence: 1,
            backends: vec![backend(3_000)],
        };
        primary.backends.send_replace(Some(PublishedBackends {
            list: Rc::new(list),
            read_at_ms: 0,
        }));
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let update = update_of(
            primary
                .distributor
                .poll(poll(TableVersions::default()))
                .await,
        );
        let cold = update.backends.expect("a list").backends[0].cold_remaining_ms;
        assert!((1_990..=2_000).contains(&cold), "{cold}");
    });
}

// --- primary discovery ------------------------------------------------------------------------------------------------------

#[test]
fn a_known_primary_is_polled_again_and_hints_are_followed_at_once() {
    let candidates = [address(1), address(2), address(3)];
    let mut discovery = PrimaryDiscovery::new(5);
    let first = discovery.next_poll(&candidates).expect("somebody");
    assert_eq!(first.delay, Duration::ZERO);
    let primary = candidates
        .iter()
        .copied()
        .find(|one| *one != first.to)
        .expect("another");
    discovery.on_redirect(first.to, Some(primary), 1);
    let next = discovery.next_poll(&candidates).expect("the hint");
    assert_eq!((next.to, next.delay), (primary, Duration::ZERO));
    discovery.on_update(primary);
    for _ in 0..3 {
        let next = discovery.next_poll(&candidates).expect("the primary");
        assert_eq!((next.to, next.delay), (primary, Duration::ZERO));
    }
}

#[test]
fn redirects_to_a_failed_primary_are_not_followed_within_its_epoch() {
    let candidates = [address(1), address(2), address(3)];
    let mut discovery = PrimaryDiscovery::new(5);
    discovery.on_update(address(1));
    discovery.on_failure(address(1), 4);
    for _ in 0..4 {
        let next = discovery.next_poll(&candidates).expect("somebody");
        assert_ne!(next.to, address(1));
        assert!(!next.delay.is_zero());
        discovery.on_redirect(next.to, Some(address(1)), 4);
    }
    discovery.on_redirect(address(2), Some(address(1)), 5);
    assert_eq!(
        discovery
            .next_poll(&candidates)
            .expect("the primary of a newer epoch")
            .to,
        address(1)
    );
}

#[test]
fn circular_redirects_end_in_backoff() {
    let candidates = [address(1), address(2)];
    let mut discovery = PrimaryDiscovery::new(5);
    let mut at = discovery.next_poll(&candidates).expect("somebody").to;
    let mut pauses = 0;
    for _ in 0..40 {
        let other = if at == address(1) {
            address(2)
        } else {
            address(1)
        };
        discovery.on_redirect(at, Some(other), 1);
        let next = discovery.next_poll(&candidates).expect("somebody");
        pauses += u32::from(!next.delay.is_zero());
        at = next.to;
    }
    assert!(pauses >= 10, "{pauses}");
}

#[test]
fn every_candidate_is_polled_and_backoff_is_bounded() {
    let candidates: Vec<SocketAddr> = (1..=4).map(address).collect();
    let mut discovery = PrimaryDiscovery::new(7);
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..30 {
        let next = discovery.next_poll(&candidates).expect("somebody");
        asked.insert(next.to);
        assert!(next.delay <= Duration::from_millis(250));
        discovery.on_failure(next.to, 1);
    }
    assert_eq!(asked.len(), 4);
    assert_eq!(discovery.next_poll(&[]), None);
}

// --- senders ---------------------------------------------------------------------------------------------------

#[test]
fn senders_are_the_processes_that_polled_recently() {
    let mut tracker = SenderTracker::for_epoch(
        4,
        &Senders {
            nodes: vec!["a".into()],
            placers: Vec::new(),
        },
        0,
    );
    assert_eq!(tracker.current().stamp, stamp(4, 1));
    assert!(tracker.record_poll("b", 1_000));
    assert!(!tracker.record_poll("b", 2_000));
    assert!(!tracker.check_expired(SENDER_TIMEOUT_MS));
    assert_eq!(tracker.current().senders.nodes, ["a", "b"]);
    assert!(tracker.check_expired(SENDER_TIMEOUT_MS + 1));
    assert_eq!(tracker.current().senders.nodes, ["b"]);
    assert_eq!(tracker.current().stamp, stamp(4, 3));
}

// --- pollers and announcements ------------------------------------------------------------------------------------------------------

#[test]
fn processes_that_should_poll_and_do_not_are_overdue() {
    let mut pollers = PollerTracker::default();
    let overdue: Vec<SocketAddr> = pollers.overdue([address(7)], 0).into_iter().collect();
    assert_eq!(overdue, [address(7)]);
    pollers.on_poll(address(7), 0);
    pollers.on_poll(address(8), 500);
    assert!(pollers
        .overdue([address(7)], POLLER_TIMEOUT_MS - 1)
        .is_empty());
    let overdue: Vec<SocketAddr> = pollers
        .overdue([], POLLER_TIMEOUT_MS + 500)
        .into_iter()
        .collect();
    assert_eq!(overdue, [address(7), address(8)]);
    for second in 3..POLLER_RETENTION_MS / 1_000 {
        pollers.overdue([], second * 1_000);
    }
    assert!(pollers.overdue([], POLLER_RETENTION_MS + 500).is_empty());
}

#[test]
fn a_new_primary_counts_poll_timeouts_from_its_start() {
    let mut pollers = PollerTracker::default();
    pollers.replace_all([address(7), address(8)], 0);
    let begin = 10 * POLLER_RETENTION_MS;
    assert!(pollers.overdue([], begin).is_empty());
    pollers.on_poll(address(8), begin + 900);
    let overdue: Vec<SocketAddr> = pollers
        .overdue([], begin + POLLER_TIMEOUT_MS)
        .into_iter()
        .collect();
    assert_eq!(overdue, [address(7)]);
    assert_eq!(pollers.addresses(), [address(7), address(8)]);
}

fn view(epoch: u64, members: &[u8], primary: Option<u8>) -> CoreView {
    CoreView {
        primary: primary.map(member),
        members: members.iter().copied().map(member).collect(),
        epoch,
    }
}

#[test]
fn members_are_adopted_from_newer_epochs_and_a_primary_only_from_its_own_answer() {
    let directory = Directory::default();
    directory.update_members(&view(4, &[1, 2, 3], Some(1)));
    assert_eq!(directory.core_view(), view(4, &[1, 2, 3], None));
    directory.update_members(&view(3, &[7], None));
    directory.update_members(&view(9, &[], None));
    assert_eq!(directory.core_view(), view(4, &[1, 2, 3], None));
    directory.on_announcement(&view(5, &[2, 3], Some(3)));
    assert_eq!(directory.core_view(), view(5, &[2, 3], None));
    assert_eq!(directory.take_announced_primary(), Some(address(3)));
    assert_eq!(directory.take_announced_primary(), None);
    directory.confirm_primary(address(3), None);
    assert_eq!(directory.core_view(), view(5, &[2, 3], Some(3)));
    // A primary is known: a late announcement of another one changes nothing.
    directory.on_announcement(&view(4, &[1, 2, 3], Some(1)));
    assert_eq!(directory.take_announced_primary(), None);
    directory.forget_primary(address(2));
    assert_eq!(directory.core_view(), view(5, &[2, 3], Some(3)));
    directory.forget_primary(address(3));
    assert_eq!(directory.core_view(), view(5, &[2, 3], None));
}

// --- validity -----------------------------------------------------------------------------------

#[test]
fn tables_are_current_within_config_apply_ms_of_the_newest_validated_poll() {
    block_on_paused(async {
        let (polls, clock) = (PollState::default(), SteadyClock::start());
        let validity = TableValidity::new(polls.clone(), clock, Duration::from_millis(2_000));
        assert!(!validity.is_current());
        tokio::time::sleep(Duration::from_millis(500)).await;
        polls.record_validation(500);
        // An answer to a poll that was sent earlier does not reduce the validity.
        polls.record_validation(100);
        tokio::time::sleep(Duration::from_millis(1_800)).await;
        assert!(validity.is_current());
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert!(!validity.is_current());
    });
}
