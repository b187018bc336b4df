//! Distribution of tables: no step back, answers only under a lease, whom to ask next, who is counted.

use alderhollow::clock::SteadyClock;
use alderhollow::distribution::client::PollState;
use alderhollow::distribution::directory::Directory;
use alderhollow::distribution::message::{
    Answer, CoreMember, CoreView, EncodedControl, HeldVersions, Poll, Request, Stamp,
    StampedSenders, Update,
};
use alderhollow::distribution::pollers::{PollerWatch, POLLER_MEMORY_MS, POLLER_SILENCE_MS};
use alderhollow::distribution::primary_discovery::Finder;
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
        core: None,
        pollers: None,
    })
}

proptest! {
    #[test]
    fn tables_never_go_back(updates in prop::collection::vec(any_update(), 1..20)) {
        block_on_paused(async {
            let mut tables = Tables::new(SteadyClock::start(), decode);
            let snapshots = tables.subscribe();
            for update in updates {
                let before = (tables.held(), snapshots.borrow().clone());
                let changed = tables.apply(update).expect("readable");
                let after = (tables.held(), snapshots.borrow().clone());
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
    fn updates_come_back_as_they_were_sent(update in any_update()) {
        let answer = Answer::Update(update);
        let bytes = minicbor::to_vec(&answer).expect("encodes");
        prop_assert_eq!(minicbor::decode::<Answer>(&bytes).expect("decodes"), answer);
    }
}

#[test]
fn a_control_state_that_cannot_be_read_changes_nothing() {
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
        assert_eq!(tables.held(), HeldVersions::default());
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

/// A primary of epoch 3 with control state 7 and no list.
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
    });
    Primary {
        authority,
        distributor,
        backends,
        changes,
    }
}

fn poll(held: HeldVersions) -> Poll {
    Poll {
        node: node("edge-2", 2),
        held,
        wait_ms: 400,
        leaving: false,
        batch_status: Vec::new().into(),
    }
}

fn up_to_date() -> HeldVersions {
    HeldVersions {
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
fn what_is_newer_comes_at_once() {
    block_on_paused(async {
        let primary = primary();
        let begin = Instant::now();
        let update = update_of(
            primary
                .distributor
                .poll(poll(HeldVersions::default()))
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
fn an_answer_with_nothing_newer_is_held_and_then_empty() {
    block_on_paused(async {
        let primary = primary();
        update_of(
            primary
                .distributor
                .poll(poll(HeldVersions::default()))
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
fn a_change_ends_the_wait() {
    block_on_paused(async {
        let primary = primary();
        update_of(
            primary
                .distributor
                .poll(poll(HeldVersions::default()))
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
fn without_a_lease_there_are_directions_alone() {
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
                .poll(poll(HeldVersions::default()))
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
fn lists_of_an_earlier_part_as_primary_are_not_given_out() {
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
                .poll(poll(HeldVersions::default()))
                .await,
        );
        assert_eq!(update.backends, None);
        publish(list(3, 1));
        let update = update_of(
            primary
                .distributor
                .poll(poll(HeldVersions::default()))
                .await,
        );
        assert_eq!(update.backends, Some(list(3, 1)));
    });
}

#[test]
fn cold_times_are_counted_from_the_answer() {
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
                .poll(poll(HeldVersions::default()))
                .await,
        );
        let cold = update.backends.expect("a list").backends[0].cold_remaining_ms;
        assert!((1_990..=2_000).contains(&cold), "{cold}");
    });
}

// --- whom to ask ------------------------------------------------------------------------------------------------------

#[test]
fn the_primary_is_kept_and_hints_are_followed_at_once() {
    let candidates = [address(1), address(2), address(3)];
    let mut finder = Finder::new(5);
    let first = finder.next(&candidates).expect("somebody");
    assert_eq!(first.pause, Duration::ZERO);
    let primary = candidates
        .iter()
        .copied()
        .find(|one| *one != first.to)
        .expect("another");
    finder.redirect(first.to, Some(primary), 1);
    let next = finder.next(&candidates).expect("the hint");
    assert_eq!((next.to, next.pause), (primary, Duration::ZERO));
    finder.confirm(primary);
    for _ in 0..3 {
        let next = finder.next(&candidates).expect("the primary");
        assert_eq!((next.to, next.pause), (primary, Duration::ZERO));
    }
}

#[test]
fn a_primary_that_failed_is_not_asked_again_on_others_word() {
    let candidates = [address(1), address(2), address(3)];
    let mut finder = Finder::new(5);
    finder.confirm(address(1));
    finder.fail(address(1), 4);
    for _ in 0..4 {
        let next = finder.next(&candidates).expect("somebody");
        assert_ne!(next.to, address(1));
        assert!(!next.pause.is_zero());
        finder.redirect(next.to, Some(address(1)), 4);
    }
    finder.redirect(address(2), Some(address(1)), 5);
    assert_eq!(
        finder
            .next(&candidates)
            .expect("the primary of a newer epoch")
            .to,
        address(1)
    );
}

#[test]
fn hints_in_a_circle_end_in_pauses() {
    let candidates = [address(1), address(2)];
    let mut finder = Finder::new(5);
    let mut at = finder.next(&candidates).expect("somebody").to;
    let mut pauses = 0;
    for _ in 0..40 {
        let other = if at == address(1) {
            address(2)
        } else {
            address(1)
        };
        finder.redirect(at, Some(other), 1);
        let next = finder.next(&candidates).expect("somebody");
        pauses += u32::from(!next.pause.is_zero());
        at = next.to;
    }
    assert!(pauses >= 10, "{pauses}");
}

#[test]
fn every_candidate_has_its_turn_and_pauses_stay_bounded() {
    let candidates: Vec<SocketAddr> = (1..=4).map(address).collect();
    let mut finder = Finder::new(7);
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..30 {
        let next = finder.next(&candidates).expect("somebody");
        asked.insert(next.to);
        assert!(next.pause <= Duration::from_millis(250));
        finder.fail(next.to, 1);
    }
    assert_eq!(asked.len(), 4);
    assert_eq!(finder.next(&[]), None);
}

// --- who is counted ---------------------------------------------------------------------------------------------------

#[test]
fn senders_are_those_that_polled_lately() {
    let mut tracker = SenderTracker::begin(
        4,
        &Senders {
            nodes: vec!["a".into()],
            placers: Vec::new(),
        },
        0,
    );
    assert_eq!(tracker.current().stamp, stamp(4, 1));
    assert!(tracker.heard("b", 1_000));
    assert!(!tracker.heard("b", 2_000));
    assert!(!tracker.prune(SENDER_TIMEOUT_MS));
    assert_eq!(tracker.current().senders.nodes, ["a", "b"]);
    assert!(tracker.prune(SENDER_TIMEOUT_MS + 1));
    assert_eq!(tracker.current().senders.nodes, ["b"]);
    assert_eq!(tracker.current().stamp, stamp(4, 3));
}

// --- who is told ------------------------------------------------------------------------------------------------------

#[test]
fn a_primary_introduces_itself_to_those_that_should_poll_it_and_do_not() {
    let mut pollers = PollerWatch::default();
    let silent: Vec<SocketAddr> = pollers.silent([address(7)], 0).into_iter().collect();
    assert_eq!(silent, [address(7)]);
    pollers.heard(address(7), 0);
    pollers.heard(address(8), 500);
    assert!(pollers
        .silent([address(7)], POLLER_SILENCE_MS - 1)
        .is_empty());
    let silent: Vec<SocketAddr> = pollers
        .silent([], POLLER_SILENCE_MS + 500)
        .into_iter()
        .collect();
    assert_eq!(silent, [address(7), address(8)]);
    for second in 3..POLLER_MEMORY_MS / 1_000 {
        pollers.silent([], second * 1_000);
    }
    assert!(pollers.silent([], POLLER_MEMORY_MS + 500).is_empty());
}

#[test]
fn a_new_primary_counts_silences_from_its_own_beginning() {
    let mut pollers = PollerWatch::default();
    pollers.take_over([address(7), address(8)], 0);
    let begin = 10 * POLLER_MEMORY_MS;
    assert!(pollers.silent([], begin).is_empty());
    pollers.heard(address(8), begin + 900);
    let silent: Vec<SocketAddr> = pollers
        .silent([], begin + POLLER_SILENCE_MS)
        .into_iter()
        .collect();
    assert_eq!(silent, [address(7)]);
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
fn members_are_taken_over_from_newer_epochs_alone_and_a_primary_from_itself_alone() {
    let directory = Directory::default();
    directory.learn(&view(4, &[1, 2, 3], Some(1)));
    assert_eq!(directory.core_view(), view(4, &[1, 2, 3], None));
    directory.learn(&view(3, &[7], None));
    directory.learn(&view(9, &[], None));
    assert_eq!(directory.core_view(), view(4, &[1, 2, 3], None));
    directory.introduce(&view(5, &[2, 3], Some(3)));
    assert_eq!(directory.core_view(), view(5, &[2, 3], None));
    assert_eq!(directory.take_introduced(), Some(address(3)));
    assert_eq!(directory.take_introduced(), None);
    directory.confirm(address(3), None);
    assert_eq!(directory.core_view(), view(5, &[2, 3], Some(3)));
    // One whom it polls is known: a late introduction of another changes nothing.
    directory.introduce(&view(4, &[1, 2, 3], Some(1)));
    assert_eq!(directory.take_introduced(), None);
    directory.forget_primary(address(2));
    assert_eq!(directory.core_view(), view(5, &[2, 3], Some(3)));
    directory.forget_primary(address(3));
    assert_eq!(directory.core_view(), view(5, &[2, 3], None));
}

// --- how long tables are the newest -----------------------------------------------------------------------------------

#[test]
fn tables_count_as_the_newest_within_the_time_for_a_change_after_the_newest_validated_poll() {
    block_on_paused(async {
        let (polls, clock) = (PollState::default(), SteadyClock::start());
        let validity = TableValidity::new(polls.clone(), clock, Duration::from_millis(2_000));
        assert!(!validity.is_current());
        tokio::time::sleep(Duration::from_millis(500)).await;
        polls.note_validated(500);
        // An answer to a poll that was sent earlier takes nothing back.
        polls.note_validated(100);
        tokio::time::sleep(Duration::from_millis(1_800)).await;
        assert!(validity.is_current());
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert!(!validity.is_current());
    });
}
