//! Calls and notices to the tier's other processes, over one connection to each.

use super::frame::{Frame, FrameKind, Refusal, ServiceId, MAX_PAYLOAD_BYTES};
use super::reconnect::{Failure, Reconnect};
use super::send_queue::{
    send_queue, NotQueued, Outgoing, PendingCall, QueuedFrames, SendQueue, MAX_QUEUED_FRAMES,
};
use super::socket;
use crate::metrics;
use oorandom::Rand32;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A connection that nothing was sent on for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Frames are gathered into one write up to this size.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing of the call was sent.
    #[error("the peer can't be reached")]
    Unreachable,
    /// The connection broke after the call may have been sent.
    #[error("the connection broke before the answer came")]
    Broken,
    /// No answer came in time; the call may have been served.
    #[error("no answer came in time")]
    TimedOut,
    /// The peer did not serve it.
    #[error("the peer refused the call: {0:?}")]
    Refused(Refusal),
    /// The message is larger than a frame may be.
    #[error("the message is too large")]
    TooLarge,
}

impl CallError {
    /// Whether the peer surely has done nothing of the call.
    pub fn surely_not_served(self) -> bool {
        matches!(
            self,
            CallError::Unreachable | CallError::Refused(_) | CallError::TooLarge
        )
    }
}

/// What a process sends to its peers. Clones share their connections. To be used in a `LocalSet`.
#[derive(Clone)]
pub struct Network {
    shared: Rc<Shared>,
}

struct Shared {
    peers: RefCell<BTreeMap<SocketAddr, Peer>>,
    random: RefCell<Rand32>,
}

/// What is known of one address.
#[derive(Default)]
struct Peer {
    queue: Option<SendQueue>,
    reconnect: Reconnect,
    not_before: Option<Instant>,
}

type PendingCalls = Rc<RefCell<BTreeMap<u64, oneshot::Sender<Result<Vec<u8>, Refusal>>>>>;

impl Network {
    /// A network without connections; `seed` is for the pauses.
    pub fn new(seed: u64) -> Network {
        let shared = Shared {
            peers: RefCell::default(),
            random: RefCell::new(Rand32::new(seed)),
        };
        Network {
            shared: Rc::new(shared),
        }
    }

    /// Sends a request and waits for its answer, `timeout` at most.
    ///
    /// # Errors
    /// The peer cannot be reached, refuses the call, or does not answer in time.
    pub async fn call(
        &self,
        to: SocketAddr,
        service: ServiceId,
        payload: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, CallError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(CallError::TooLarge);
        }
        let (answer, ended) = oneshot::channel();
        let written = Rc::new(Cell::new(false));
        let call = Some(PendingCall {
            answer,
            written: written.clone(),
        });
        let queue = self.queue(to).ok_or(CallError::Unreachable)?;
        queue
            .push(Outgoing {
                kind: FrameKind::Request,
                service,
                payload,
                call,
            })
            .map_err(|error| note_unsent(error, FrameKind::Request))?;
        let unanswered = |otherwise| {
            if written.get() {
                otherwise
            } else {
                CallError::Unreachable
            }
        };
        match tokio::time::timeout(timeout, ended).await {
            Ok(Ok(Ok(payload))) => Ok(payload),
            Ok(Ok(Err(refusal))) => Err(CallError::Refused(refusal)),
            Ok(Err(_)) => Err(unanswered(CallError::Broken)),
            Err(_) => {
                metrics::get().internal.timed_out(service);
                Err(unanswered(CallError::TimedOut))
            }
        }
    }

    /// Sends a notice, if the peer can be reached. It may be lost.
    pub fn notify(&self, to: SocketAddr, service: ServiceId, payload: Vec<u8>) {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return;
        }
        if let Some(queue) = self.queue(to) {
            let notice = Outgoing {
                kind: FrameKind::Notice,
                service,
                payload,
                call: None,
            };
            let _ = queue
                .push(notice)
                .map_err(|error| note_unsent(error, FrameKind::Notice));
        }
    }

    /// The queue of the peer's connection, which is begun if there is none; `None` in the pause after a failure.
    fn queue(&self, to: SocketAddr) -> Option<SendQueue> {
        let mut peers = self.shared.peers.borrow_mut();
        let peer = peers.entry(to).or_default();
        if let Some(queue) = peer.queue.as_ref().filter(|queue| !queue.is_closed()) {
            return Some(queue.clone());
        }
        if peer
            .not_before
            .is_some_and(|moment| Instant::now() < moment)
        {
            return None;
        }
        let (sender, receiver) = send_queue();
        peer.queue = Some(sender.clone());
        let timeout = peer.reconnect.timeout();
        let network = self.clone();
        tokio::task::spawn_local(async move {
            network.run_connection(to, receiver, timeout).await;
        });
        Some(sender)
    }

    async fn run_connection(&self, to: SocketAddr, queue: QueuedFrames, timeout: Duration) {
        metrics::get().internal.connecting();
        match tokio::time::timeout(timeout, connect(to)).await {
            Ok(Ok(stream)) => {
                self.note_connected(to);
                exchange(stream, queue).await;
                self.note_ended(to);
            }
            Ok(Err(error)) => {
                log::debug!("can't connect to {to}: {error}");
                self.note_failure(to, Failure::Rejected);
            }
            Err(_) => {
                log::debug!("can't connect to {to} in time");
                self.note_failure(to, Failure::TimedOut);
            }
        }
    }

    fn note_connected(&self, to: SocketAddr) {
        if let Some(peer) = self.shared.peers.borrow_mut().get_mut(&to) {
            peer.reconnect.on_connected();
        }
    }

    fn note_failure(&self, to: SocketAddr, failure: Failure) {
        metrics::get().internal.connection_failed();
        let drawn = self.draw();
        if let Some(peer) = self.shared.peers.borrow_mut().get_mut(&to) {
            let pause = peer.reconnect.on_failure(failure, drawn);
            peer.rest(pause);
        }
    }

    fn note_ended(&self, to: SocketAddr) {
        let pause = Reconnect::pause_after_use(self.draw());
        if let Some(peer) = self.shared.peers.borrow_mut().get_mut(&to) {
            peer.rest(pause);
        }
    }

    fn draw(&self) -> f32 {
        self.shared.random.borrow_mut().rand_float()
    }
}

impl Peer {
    /// Tries no connection for a while.
    fn rest(&mut self, pause: Duration) {
        self.queue = None;
        self.not_before = Some(Instant::now() + pause);
    }
}

/// A frame found no place in its peer's queue, or the connection had just ended.
fn note_unsent(error: NotQueued, kind: FrameKind) -> CallError {
    if error == NotQueued::Full {
        metrics::get().internal.dropped(kind);
    }
    CallError::Unreachable
}

async fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(to).await?;
    socket::prepare(&stream)?;
    Ok(stream)
}

/// Writes what is queued and reads the answers until the connection ends or rests for long. Calls that have no answer
/// then end with it, because their senders are dropped.
async fn exchange(stream: TcpStream, queue: QueuedFrames) {
    let (reading, writing) = stream.into_split();
    let pending = PendingCalls::default();
    tokio::select! {
        () = write_frames(writing, queue, &pending) => (),
        () = read_answers(reading, &pending) => (),
    }
}

async fn write_frames(
    mut writing: OwnedWriteHalf,
    mut queue: QueuedFrames,
    pending: &PendingCalls,
) {
    let mut last_call = 0;
    let mut bytes = Vec::new();
    loop {
        let first = match tokio::time::timeout(IDLE_TIMEOUT, queue.next()).await {
            Ok(Some(outgoing)) => outgoing,
            Ok(None) => return,
            Err(_) if forget_given_up(pending) == 0 => return,
            Err(_) => continue,
        };
        encode(first, &mut last_call, pending, &mut bytes);
        while bytes.len() < WRITE_BATCH_BYTES {
            let Some(next) = queue.next_if_here() else {
                break;
            };
            encode(next, &mut last_call, pending, &mut bytes);
        }
        if writing.write_all(&bytes).await.is_err() {
            return;
        }
        bytes.clear();
        bytes.shrink_to(WRITE_BATCH_BYTES);
    }
}

fn encode(outgoing: Outgoing, last_call: &mut u64, pending: &PendingCalls, bytes: &mut Vec<u8>) {
    let mut call = 0;
    if let Some(waiting) = outgoing.call {
        if waiting.answer.is_closed() {
            return;
        }
        if pending.borrow().len() >= MAX_QUEUED_FRAMES {
            forget_given_up(pending);
        }
        *last_call += 1;
        call = *last_call;
        waiting.written.set(true);
        pending.borrow_mut().insert(call, waiting.answer);
    }
    let frame = Frame {
        kind: outgoing.kind,
        service: Some(outgoing.service),
        call,
        payload: outgoing.payload,
    };
    metrics::get().internal.sent(&frame);
    frame.encode(bytes);
}

/// Drops the calls that nobody waits for any more, and tells how many are left.
fn forget_given_up(pending: &PendingCalls) -> usize {
    let mut pending = pending.borrow_mut();
    pending.retain(|_, answer| !answer.is_closed());
    pending.len()
}

async fn read_answers(reading: OwnedReadHalf, pending: &PendingCalls) {
    let mut reading = BufReader::with_capacity(READ_BUFFER_BYTES, reading);
    loop {
        let frame = match Frame::read(&mut reading).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(error) => {
                log::debug!("a connection to a peer ended: {error}");
                return;
            }
        };
        metrics::get().internal.received(&frame);
        let Some(answer) = pending.borrow_mut().remove(&frame.call) else {
            continue;
        };
        let result = match frame.kind {
            FrameKind::Refused => Err(Refusal::from_code(
                frame.payload.first().copied().unwrap_or(0),
            )),
            _ => Ok(frame.payload),
        };
        let _ = answer.send(result);
    }
}
