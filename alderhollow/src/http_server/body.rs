//! Response bodies, either fully buffered or streamed. The future that produces a streamed body is polled by its
//! connection and dropped with it; it is not spawned as a separate task.

use super::write_deadline::{WriteDeadline, WriteGuard};
use alderhollow_dataplane::activity::Busy;
use alderhollow_dataplane::flow::Cut;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::task::yield_now;
use tokio::time::Instant;

/// A one-chunk buffer between the producer of a streamed body and its connection.
#[derive(Default)]
pub struct ChunkSlot(RefCell<Option<Bytes>>);

impl ChunkSlot {
    /// Stores a chunk and waits until the connection has taken it.
    pub async fn put(&self, chunk: Bytes) {
        if chunk.is_empty() {
            return;
        }
        self.0.replace(Some(chunk));
        // The connection polls the producer again when it can write more, so no waker is needed.
        poll_fn(|_| match self.0.borrow().is_none() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
        .await;
    }
}

type Producer = Pin<Box<dyn Future<Output = Result<(), Cut>>>>;

enum Content {
    Full(Option<Bytes>),
    Streaming {
        producer: Option<Producer>,
        slot: Rc<ChunkSlot>,
    },
}

/// The body of a response to a client.
pub struct ResponseBody {
    content: Content,
    /// When the client must have read the body, for streamed bodies, which occupy a backend.
    write_by: Option<Instant>,
    /// Keeps the request counted as in progress until its response is written.
    in_progress: Option<(Busy, Option<WriteGuard>)>,
}

impl ResponseBody {
    /// A fully buffered body.
    pub fn full(bytes: Bytes) -> ResponseBody {
        ResponseBody {
            content: Content::Full(Some(bytes).filter(|bytes| !bytes.is_empty())),
            write_by: None,
            in_progress: None,
        }
    }

    /// A body whose chunks the future from `make` puts into the slot; the client must have read it by `write_by`. If the
    /// future fails, the body is truncated in a way that the client can detect.
    pub fn streaming<F>(write_by: Instant, make: impl FnOnce(Rc<ChunkSlot>) -> F) -> ResponseBody
    where
        F: Future<Output = Result<(), Cut>> + 'static,
    {
        let slot = Rc::new(ChunkSlot::default());
        let producer = make(slot.clone());
        let producer: Producer = Box::pin(async {
            let result = producer.await;
            if result.is_err() {
                // Lets the connection write out the forwarded chunks before it is aborted.
                yield_now().await;
            }
            result
        });
        ResponseBody {
            content: Content::Streaming {
                producer: Some(producer),
                slot,
            },
            write_by: Some(write_by),
            in_progress: None,
        }
    }

    /// Counts the request as in progress until the body is dropped.
    pub fn track_progress(&mut self, busy: Busy, write_deadline: &Rc<WriteDeadline>) {
        self.in_progress = Some((
            busy,
            self.write_by.map(|write_by| write_deadline.start(write_by)),
        ));
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Streaming { producer, slot } => {
                let Some(running) = producer else {
                    return Poll::Ready(None);
                };
                let result = running.as_mut().poll(context);
                if let Some(chunk) = slot.0.take() {
                    return Poll::Ready(Some(Ok(Frame::data(chunk))));
                }
                match result {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(result) => {
                        *producer = None;
                        Poll::Ready(result.err().map(Err))
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(bytes) => bytes.is_none(),
            Content::Streaming { producer, .. } => producer.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Streaming { .. } => SizeHint::default(),
        }
    }
}
