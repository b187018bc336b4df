//! Bodies that pass through as they come. What is read ahead of a slow reader is bounded over all of them, and
//! beyond that by one piece for each: then the reader slows the writer.

use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};

/// Pieces below this are copied: what a piece holds of the buffer that it was read into is not counted.
const SMALL: usize = 16 * 1024;

/// An answer on its way to a client.
pub type Outgoing = Either<Full<Bytes>, Flow>;

/// An answer that is here whole.
pub fn whole(bytes: Bytes) -> Outgoing {
    Either::Left(Full::new(bytes))
}

enum Piece {
    /// With the room that it takes, in the bytes for all or as this body's one piece.
    Data {
        data: Bytes,
        _room: OwnedSemaphorePermit,
    },
    End,
}

/// The body was cut short: its reader must see that it is not whole.
#[derive(Debug)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body was cut short")
    }
}

impl std::error::Error for Cut {}

/// The writer's side. Dropped without a word, it cuts the body short.
pub struct Source {
    pieces: mpsc::UnboundedSender<Piece>,
    /// Bytes that all bodies may be read ahead together.
    ahead: Arc<Semaphore>,
    /// This one's own piece.
    own: Arc<Semaphore>,
}

/// The reader's side.
pub struct Flow {
    pieces: mpsc::UnboundedReceiver<Piece>,
    /// Bytes still to come, where that is known.
    left: Option<u64>,
    ended: bool,
}

/// A body of this length, if it is known.
pub fn flow(length: Option<u64>, ahead: Arc<Semaphore>) -> (Source, Flow) {
    let (sender, pieces) = mpsc::unbounded_channel();
    let source = Source {
        pieces: sender,
        ahead,
        own: Arc::new(Semaphore::new(1)),
    };
    (
        source,
        Flow {
            pieces,
            left: length,
            ended: false,
        },
    )
}

impl Source {
    /// Passes a piece on once there is room for it.
    ///
    /// # Errors
    /// Nobody reads any more.
    pub async fn send(&self, data: Bytes) -> Result<(), Cut> {
        // A small piece must not hold the large buffer that it was read into.
        let data = if data.len() < SMALL {
            Bytes::copy_from_slice(&data)
        } else {
            data
        };
        let room = match self.ahead.clone().try_acquire_many_owned(data.len() as u32) {
            Ok(room) => room,
            Err(_) => self.own.clone().acquire_owned().await.map_err(|_| Cut)?,
        };
        self.pieces
            .send(Piece::Data { data, _room: room })
            .map_err(|_| Cut)
    }
    /// The body is whole.
    pub fn end(self) {
        let _ = self.pieces.send(Piece::End);
    }
    /// Waits until nobody reads any more.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }
}

impl Body for Flow {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.is_end_stream() {
            return Poll::Ready(None);
        }
        match ready!(self.pieces.poll_recv(context)) {
            Some(Piece::Data { data, .. }) => {
                self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Piece::End) if self.left.is_none() => {
                self.ended = true;
                Poll::Ready(None)
            }
            _ => Poll::Ready(Some(Err(Cut))),
        }
    }
    fn is_end_stream(&self) -> bool {
        self.ended || self.left == Some(0)
    }
    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A client's body on its way to a backend: what of it is here, then the rest as it comes.
pub struct Upload {
    first: Option<Bytes>,
    rest: Option<Incoming>,
}

impl Upload {
    /// A body whose beginning is here.
    pub fn new(first: Bytes, rest: Option<Incoming>) -> Upload {
        Upload {
            first: Some(first).filter(|first| !first.is_empty()),
            rest,
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(context),
            None => Poll::Ready(None),
        }
    }
    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }
    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        match self.rest.as_ref().map(|rest| rest.size_hint().exact()) {
            None => SizeHint::with_exact(first),
            Some(Some(rest)) => SizeHint::with_exact(first + rest),
            Some(None) => SizeHint::default(),
        }
    }
}

#[cfg(test)]
mod tests;
