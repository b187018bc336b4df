//! How far a request has been written to its connection: the evidence that a sender has of a request without an answer.

use crate::flow::Upload;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::time::Instant;

/// How much of a request the system has accepted for its connection: the evidence of whether the peer can have it.
/// Whether a peer begins before a request is complete is for its protocol to say.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Written {
    /// No byte: the peer cannot have run the request.
    #[default]
    Nothing,
    /// The first byte, but not the last one.
    Partly,
    /// The last byte.
    Wholly,
}

/// How far the current request of a connection has been written.
pub(crate) struct Progress {
    /// Counts the requests that were written wholly.
    requests_written: Rc<Cell<u64>>,
    /// How much of the current request was written.
    written: Cell<Written>,
    /// Whether the connection has taken the current request's whole body, written or not.
    is_body_taken: Cell<bool>,
    /// When the last byte of the current request was written so far.
    last_written_at: Cell<Option<Instant>>,
}

impl Progress {
    /// Nothing is written yet; requests are counted in `requests_written` once their last byte is.
    pub(crate) fn new(requests_written: Rc<Cell<u64>>) -> Progress {
        Progress {
            requests_written,
            written: Cell::default(),
            is_body_taken: Cell::default(),
            last_written_at: Cell::default(),
        }
    }

    /// How much of the current request was written.
    pub(crate) fn written(&self) -> Written {
        self.written.get()
    }

    /// A request whose body may be empty is about to be written.
    pub(crate) fn begin(&self, is_body_empty: bool) {
        self.written.set(Written::Nothing);
        self.is_body_taken.set(is_body_empty);
        self.last_written_at.set(None);
    }

    /// The system has accepted so many bytes.
    pub(crate) fn on_written(&self, count: usize) {
        if count == 0 {
            return;
        }
        self.last_written_at.set(Some(Instant::now()));
        if self.written.get() == Written::Nothing {
            self.written.set(Written::Partly);
        }
    }

    /// All that the connection has taken is written.
    pub(crate) fn on_flushed(&self) {
        if self.written.get() == Written::Partly && self.is_body_taken.get() {
            self.written.set(Written::Wholly);
            self.requests_written.set(self.requests_written.get() + 1);
        }
    }
}

/// Reads how far a connection's current request was written while the connection is in use.
#[derive(Clone)]
pub struct WriteProgress(Rc<Progress>);

impl WriteProgress {
    /// The progress that this connection records.
    pub(crate) fn of(progress: &Rc<Progress>) -> WriteProgress {
        WriteProgress(progress.clone())
    }

    /// When the system last accepted a byte of the request; `None` before the first one.
    pub fn last_written_at(&self) -> Option<Instant> {
        self.0.last_written_at.get()
    }
}

/// A request's body that records when the connection has taken all of it.
pub(crate) struct TrackedBody {
    body: Upload,
    progress: Rc<Progress>,
}

impl TrackedBody {
    /// Records in `progress`.
    pub(crate) fn new(body: Upload, progress: Rc<Progress>) -> TrackedBody {
        TrackedBody { body, progress }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none() || self.body.is_end_stream() {
            self.progress.is_body_taken.set(true);
        }
        Poll::Ready(frame)
    }
    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
