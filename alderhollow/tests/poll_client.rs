//! The poll client of a process that is the primary itself, without a network.

use alderhollow::clock::SteadyClock;
use alderhollow::distribution::client::{PollClient, PollState};
use alderhollow::distribution::directory::Directory;
use alderhollow::distribution::message::{CoreMember, CoreView, EncodedControl, Poll};
use alderhollow::distribution::server::{Authority, Distributor};
use alderhollow::distribution::signal::ChangeSignal;
use alderhollow::distribution::tables::Tables;
use alderhollow::internal::Network;
use alderhollow::SnapshotReceiver;
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::ControlView;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::sleep;

const REPORT_INTERVAL: Duration = Duration::from_millis(50);

fn run<F: std::future::Future<Output = ()>>(test: F) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn own_address() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], 7660))
}

fn member() -> CoreMember {
    CoreMember {
        disk: DiskId(1),
        internal: Address(own_address()),
        control: None,
        is_dedicated: false,
    }
}

fn any_view(_: &[u8]) -> Option<ControlView> {
    Some(ControlView::default())
}

/// A primary that records the reports it receives.
#[derive(Default)]
struct StubAuthority {
    epoch: Cell<Option<u64>>,
    reports: RefCell<Vec<Vec<u8>>>,
    leaving: Cell<bool>,
}

impl Authority for StubAuthority {
    fn leased_epoch(&self) -> Option<u64> {
        self.epoch.get()
    }
    fn control(&self) -> EncodedControl {
        EncodedControl {
            version: self.control_version(),
            bytes: Vec::new().into(),
        }
    }
    fn control_version(&self) -> u64 {
        1
    }
    fn core_view(&self) -> CoreView {
        CoreView {
            primary: Some(member()),
            members: vec![member()],
            epoch: 3,
        }
    }
    fn on_poll(&self, poll: &Poll) {
        self.reports.borrow_mut().push(poll.batch_status.to_vec());
        self.leaving.set(poll.leaving);
    }
}

struct Process {
    authority: Rc<StubAuthority>,
    state: PollState,
    clock: SteadyClock,
    snapshots: SnapshotReceiver,
}

/// A process that polls itself, with a lease of epoch 3.
fn start() -> Process {
    let clock = SteadyClock::start();
    let authority = Rc::new(StubAuthority::default());
    authority.epoch.set(Some(3));
    let tables = Tables::new(clock, any_view);
    let snapshots = tables.subscribe();
    let directory = Directory::default();
    directory.set_seeds(vec![own_address()]);
    let node = NodeInfo {
        node: "edge-1".into(),
        role: Role::Gateway,
        zone: "zone-1".into(),
        incarnation: Incarnation(1),
        disk: Some(DiskId(1)),
        internal: Address(own_address()),
        control: None,
    };
    let (_, backends) = watch::channel(None);
    let distributor = Rc::new(Distributor {
        node: node.clone(),
        directory: directory.clone(),
        authority: Some(authority.clone()),
        backends,
        snapshots: snapshots.clone(),
        changes: ChangeSignal::new(),
        clock,
        senders: RefCell::default(),
        pollers: RefCell::default(),
        history: RefCell::default(),
    });
    let state = PollState::default();
    let client = PollClient {
        node,
        link: Rc::new(Network::new(1)),
        directory,
        distributor,
        state: state.clone(),
        clock,
    };
    tokio::task::spawn_local(client.run(tables, 1));
    Process {
        authority,
        state,
        clock,
        snapshots,
    }
}

impl Process {
    fn validated_ms_ago(&self) -> Option<u64> {
        let since_ms = self.state.validated_since_ms()?;
        Some(self.clock.now_ms() - since_ms)
    }
}

#[test]
fn frequent_report_changes_do_not_prevent_validation() {
    run(async {
        let process = start();
        for number in 0..100_u8 {
            sleep(REPORT_INTERVAL).await;
            process.state.report(vec![number]);
            let ago = process.validated_ms_ago().expect("validated");
            assert!(ago <= 2 * 50, "report {number}: {ago} ms ago");
        }
    });
}

#[test]
fn each_changed_report_is_sent_at_once() {
    run(async {
        let process = start();
        sleep(REPORT_INTERVAL).await;
        for number in 0..20_u8 {
            process.state.report(vec![number]);
            sleep(Duration::from_millis(5)).await;
            assert_eq!(
                process.authority.reports.borrow().last(),
                Some(&vec![number])
            );
        }
        process.state.leave();
        sleep(Duration::from_millis(5)).await;
        assert!(process.authority.leaving.get());
    });
}

#[test]
fn an_unchanged_report_does_not_cancel_a_poll() {
    run(async {
        let process = start();
        process.state.report(vec![1]);
        sleep(REPORT_INTERVAL).await;
        let polls = process.authority.reports.borrow().len();
        for _ in 0..6 {
            process.state.report(vec![1]);
            sleep(REPORT_INTERVAL).await;
        }
        assert_eq!(process.authority.reports.borrow().len(), polls);
    });
}

#[test]
fn tables_are_validated_only_while_the_primary_has_a_lease() {
    run(async {
        let process = start();
        sleep(REPORT_INTERVAL).await;
        assert!(process.snapshots.borrow().validated);
        process.authority.epoch.set(None);
        sleep(Duration::from_secs(3)).await;
        assert!(process.validated_ms_ago().expect("validated before") >= 2_500);
        process.authority.epoch.set(Some(5));
        sleep(Duration::from_millis(300)).await;
        assert!(process.validated_ms_ago().expect("validated again") <= 300);
    });
}
