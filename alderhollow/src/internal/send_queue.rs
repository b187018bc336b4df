//! The frames that wait to be written to one peer, bounded in number and in bytes: a peer behind a full link must not fill
//! the memory of those that call it.

use super::frame::{FrameKind, Refusal, ServiceId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Most frames that wait for one peer.
pub(super) const MAX_QUEUED_FRAMES: usize = 512;
/// While frames of so many bytes wait for one peer, no further one is taken. A single frame may be larger.
pub(super) const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// A frame that waits to be written.
pub(super) struct Outgoing {
    /// What it is.
    pub kind: FrameKind,
    /// Whose.
    pub service: ServiceId,
    /// Its content.
    pub payload: Vec<u8>,
    /// Who waits for an answer.
    pub call: Option<PendingCall>,
}

/// A call whose answer is waited for.
pub(super) struct PendingCall {
    /// Takes the answer.
    pub answer: oneshot::Sender<Result<Vec<u8>, Refusal>>,
    /// Whether a byte of it may have gone out.
    pub written: Rc<Cell<bool>>,
}

/// Why a frame is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotQueued {
    /// Too much waits.
    Full,
    /// The connection has just ended.
    Ended,
}

/// The end that takes frames. Clones are the same queue.
#[derive(Clone)]
pub(super) struct SendQueue {
    frames: mpsc::Sender<Outgoing>,
    bytes: Rc<Cell<usize>>,
}

/// The end that gives frames to the connection.
pub(super) struct QueuedFrames {
    frames: mpsc::Receiver<Outgoing>,
    bytes: Rc<Cell<usize>>,
}

/// An empty queue.
pub(super) fn send_queue() -> (SendQueue, QueuedFrames) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    let bytes = Rc::new(Cell::new(0));
    (
        SendQueue {
            frames: sender,
            bytes: bytes.clone(),
        },
        QueuedFrames {
            frames: receiver,
            bytes,
        },
    )
}

impl SendQueue {
    /// Adds a frame, unless too much waits.
    pub(super) fn push(&self, outgoing: Outgoing) -> Result<(), NotQueued> {
        if self.bytes.get() >= MAX_QUEUED_BYTES {
            return Err(NotQueued::Full);
        }
        let size = outgoing.payload.len();
        match self.frames.try_send(outgoing) {
            Ok(()) => {
                self.bytes.set(self.bytes.get() + size);
                Ok(())
            }
            Err(mpsc::error::TrySendError::Full(_)) => Err(NotQueued::Full),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(NotQueued::Ended),
        }
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

impl QueuedFrames {
    /// Waits for the next frame; `None` once nobody can add one.
    pub(super) async fn next(&mut self) -> Option<Outgoing> {
        let outgoing = self.frames.recv().await;
        self.taken(outgoing)
    }

    /// The next frame, if one waits.
    pub(super) fn next_if_here(&mut self) -> Option<Outgoing> {
        let outgoing = self.frames.try_recv().ok();
        self.taken(outgoing)
    }

    fn taken(&self, outgoing: Option<Outgoing>) -> Option<Outgoing> {
        let outgoing = outgoing?;
        self.bytes
            .set(self.bytes.get().saturating_sub(outgoing.payload.len()));
        Some(outgoing)
    }
}

#[cfg(test)]
mod tests;
