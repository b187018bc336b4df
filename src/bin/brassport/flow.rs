//! Bodies that pass through as they come, one piece at a time: a slow reader slows the writer.

use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc::{self, error::SendError};

/// An answer on its way to a client.
pub type Outgoing = Either<Full<Bytes>, Flow>;

pub fn whole(bytes: Bytes) -> Outgoing {
    Either::Left(Full::new(bytes))
}

enum Piece {
    Data(Bytes),
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
pub struct Source(mpsc::Sender<Piece>);

/// The reader's side.
pub struct Flow {
    pieces: mpsc::Receiver<Piece>,
    /// Bytes still to come, where that is known.
    left: Option<u64>,
    ended: bool,
}

/// A body of this length, if it is known.
pub fn flow(length: Option<u64>) -> (Source, Flow) {
    let (sender, pieces) = mpsc::channel(1);
    (Source(sender), Flow { pieces, left: length, ended: false })
}

impl Source {
    /// Passes a piece on once there is room for it; an error if nobody reads any more.
    pub async fn send(&self, data: Bytes) -> Result<(), Cut> {
        self.0.send(Piece::Data(data)).await.map_err(|SendError(_)| Cut)
    }
    pub async fn end(self) {
        let _ = self.0.send(Piece::End).await;
    }
    /// Waits until nobody reads any more.
    pub async fn closed(&self) {
        self.0.closed().await;
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
            Some(Piece::Data(data)) => {
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
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A client's body on its way to a backend: what of it is here, then the rest as it comes.
pub struct Upload {
    first: Option<Bytes>,
    rest: Option<Incoming>,
}

impl Upload {
    pub fn new(first: Bytes, rest: Option<Incoming>) -> Upload {
        Upload { first: Some(first).filter(|first| !first.is_empty()), rest }
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
mod tests {
    use super::*;
    use http_body_util::BodyExt;

    #[tokio::test]
    async fn a_body_that_is_cut_short_is_seen_to_be() {
        for (length, sent, ended, whole) in [
            (Some(4), 4, false, true),
            (Some(4), 2, true, false),
            (None, 4, true, true),
            (None, 4, false, false),
        ] {
            let (source, flow) = flow(length);
            let writing = async {
                source.send(Bytes::from(vec![0; sent])).await.expect("it is read");
                if ended {
                    source.end().await;
                }
            };
            let ((), read) = tokio::join!(writing, flow.collect());
            assert_eq!(read.is_ok(), whole, "{length:?} {sent} {ended}");
        }
    }
}
