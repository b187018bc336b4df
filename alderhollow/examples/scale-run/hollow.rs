//! Gateways that do nothing but poll for their tables.

use alderhollow::distribution::message::{Answer, Poll, Request, Stamp, TableVersions, Update};
use alderhollow::internal::{Network, ServiceId};
use alderhollow_model::identity::{Address, Incarnation, NodeInfo, Role};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// As real gateways poll.
const POLL_WAIT_MS: u32 = 400;
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Bytes of a frame besides its payload.
const FRAME_BYTES: usize = 15;

/// Payloads and frames that passed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Bytes {
    /// From the gateways to the core.
    pub sent: u64,
    /// From the core to the gateways.
    pub received: u64,
}

impl Bytes {
    /// What passed since an earlier count.
    pub(crate) fn since(&self, earlier: &Bytes) -> Bytes {
        Bytes {
            sent: self.sent - earlier.sent,
            received: self.received - earlier.received,
        }
    }
}

struct Gateway {
    versions: Cell<TableVersions>,
    updated_at: Cell<Instant>,
    bytes: Cell<Bytes>,
    primary: Cell<Option<SocketAddr>>,
}

/// All hollow gateways. They end when this is dropped.
pub(crate) struct HollowGateways {
    gateways: Vec<Rc<Gateway>>,
    tasks: Vec<AbortHandle>,
}

impl HollowGateways {
    /// Starts to poll, each gateway on a connection of its own.
    pub(crate) fn start(count: usize, core: Vec<SocketAddr>) -> HollowGateways {
        let mut all = HollowGateways {
            gateways: Vec::new(),
            tasks: Vec::new(),
        };
        for number in 0..count {
            let gateway = Rc::new(Gateway {
                versions: Cell::default(),
                updated_at: Cell::new(Instant::now()),
                bytes: Cell::default(),
                primary: Cell::default(),
            });
            let task = tokio::task::spawn_local(poll(gateway.clone(), number, core.clone()));
            all.tasks.push(task.abort_handle());
            all.gateways.push(gateway);
        }
        all
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.gateways.len()
    }

    /// The control state that all hold at least.
    pub(crate) fn oldest_control(&self) -> u64 {
        self.gateways
            .iter()
            .map(|gateway| gateway.versions.get().control)
            .min()
            .unwrap_or(0)
    }

    /// The newest control state that one holds.
    pub(crate) fn newest_control(&self) -> u64 {
        self.gateways
            .iter()
            .map(|gateway| gateway.versions.get().control)
            .max()
            .unwrap_or(0)
    }

    /// The list of backends that all hold at least.
    pub(crate) fn oldest_backends(&self) -> Stamp {
        self.gateways
            .iter()
            .map(|gateway| gateway.versions.get().backends)
            .min()
            .unwrap_or_default()
    }

    /// The newest list of backends that one holds.
    pub(crate) fn newest_backends(&self) -> Stamp {
        self.gateways
            .iter()
            .map(|gateway| gateway.versions.get().backends)
            .max()
            .unwrap_or_default()
    }

    /// When each got its control state.
    pub(crate) fn updated_at(&self) -> Vec<Instant> {
        self.gateways
            .iter()
            .map(|gateway| gateway.updated_at.get())
            .collect()
    }

    /// What passed so far.
    pub(crate) fn bytes(&self) -> Bytes {
        self.gateways.iter().fold(Bytes::default(), |sum, gateway| {
            let bytes = gateway.bytes.get();
            Bytes {
                sent: sum.sent + bytes.sent,
                received: sum.received + bytes.received,
            }
        })
    }

    /// Where the core's primary is, as the gateways found.
    pub(crate) fn primary(&self) -> Option<SocketAddr> {
        self.gateways
            .first()
            .and_then(|gateway| gateway.primary.get())
    }
}

impl Drop for HollowGateways {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

async fn poll(gateway: Rc<Gateway>, number: usize, core: Vec<SocketAddr>) {
    let network = Network::new(number as u64);
    let node = NodeInfo {
        node: format!("hollow-{number}"),
        role: Role::Gateway,
        zone: "east".into(),
        incarnation: Incarnation(number as u64),
        disk: None,
        internal: Address(SocketAddr::from(([127, 0, 0, 1], 1))),
        control: None,
    };
    for to in core.iter().cycle() {
        while let Some(answer) = poll_once(&gateway, &network, &node, *to).await {
            gateway.primary.set(Some(*to));
            take(&gateway, answer);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// The primary's answer; `None` from all others.
async fn poll_once(
    gateway: &Gateway,
    network: &Network,
    node: &NodeInfo,
    to: SocketAddr,
) -> Option<Update> {
    let poll = Poll {
        node: node.clone(),
        versions: gateway.versions.get(),
        wait_ms: POLL_WAIT_MS,
        leaving: false,
        batch_status: Vec::new().into(),
        held: None,
    };
    let request = minicbor::to_vec(Request::Poll(Box::new(poll))).ok()?;
    let sent = request.len();
    let answer = network
        .call(to, ServiceId::Distribution, request, POLL_TIMEOUT)
        .await
        .ok()?;
    let mut bytes = gateway.bytes.get();
    bytes.sent += (sent + FRAME_BYTES) as u64;
    bytes.received += (answer.len() + FRAME_BYTES) as u64;
    gateway.bytes.set(bytes);
    match minicbor::decode(&answer).ok()? {
        Answer::Update(update) => Some(update),
        Answer::Identity(..) | Answer::NotPrimary(_) => None,
    }
}

fn take(gateway: &Gateway, update: Update) {
    let mut versions = gateway.versions.get();
    if let Some(control) = update.control {
        versions.control = control.version;
        gateway.updated_at.set(Instant::now());
    }
    if let Some(list) = update.backends {
        versions.backends = Stamp {
            epoch: list.epoch,
            sequence: list.sequence,
        };
    }
    if let Some(senders) = update.senders {
        versions.senders = senders.stamp;
    }
    gateway.versions.set(versions);
}
