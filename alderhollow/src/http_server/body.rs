//! Bodies of answers: whole ones, and ones that are made while they are written. The work that makes one runs when its
//! connection asks for more, and ends with the connection: no task of its own stands behind it.

use super::writing::{Writing, Written};
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

/// Where the work puts one piece after the other.
#[derive(Default)]
pub struct Slot(RefCell<Option<Bytes>>);

impl Slot {
    /// Waits until the connection has taken the piece.
    pub async fn put(&self, piece: Bytes) {
        if piece.is_empty() {
            return;
        }
        self.0.replace(Some(piece));
        // The connection polls the work again when it wants more: nobody has to be woken.
        poll_fn(|_| match self.0.borrow().is_none() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
        .await;
    }
}

type Work = Pin<Box<dyn Future<Output = Result<(), Cut>>>>;

enum Content {
    Whole(Option<Bytes>),
    Made { work: Option<Work>, slot: Rc<Slot> },
}

/// The body of an answer to a client.
pub struct AnswerBody {
    content: Content,
    /// When the client has to have read it, where that holds a backend.
    due: Option<Instant>,
    /// The request counts as being in work until its answer is written.
    held: Option<(Busy, Option<Written>)>,
}

impl AnswerBody {
    /// A body that is here.
    pub fn whole(bytes: Bytes) -> AnswerBody {
        AnswerBody {
            content: Content::Whole(Some(bytes).filter(|bytes| !bytes.is_empty())),
            due: None,
            held: None,
        }
    }

    /// A body that the work puts into the slot, to be read by `due`. It is whole if the work ends well, else it is cut
    /// short, and its reader sees that.
    pub fn made<F>(due: Instant, make: impl FnOnce(Rc<Slot>) -> F) -> AnswerBody
    where
        F: Future<Output = Result<(), Cut>> + 'static,
    {
        let slot = Rc::new(Slot::default());
        let work = make(slot.clone());
        let work: Work = Box::pin(async {
            let ended = work.await;
            if ended.is_err() {
                // What was passed on is written out before the connection is cut off.
                yield_now().await;
            }
            ended
        });
        AnswerBody {
            content: Content::Made {
                work: Some(work),
                slot,
            },
            due: Some(due),
            held: None,
        }
    }

    /// Holds the request in work until the body has ended.
    pub fn hold(&mut self, busy: Busy, writing: &Rc<Writing>) {
        self.held = Some((busy, self.due.map(|due| writing.begin(due))));
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Made { work, slot } => {
                let Some(running) = work else {
                    return Poll::Ready(None);
                };
                let ended = running.as_mut().poll(context);
                if let Some(piece) = slot.0.take() {
                    return Poll::Ready(Some(Ok(Frame::data(piece))));
                }
                match ended {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(ended) => {
                        *work = None;
                        Poll::Ready(ended.err().map(Err))
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.is_none(),
            Content::Made { work, .. } => work.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Made { .. } => SizeHint::default(),
        }
    }
}
