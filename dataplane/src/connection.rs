//! One connection of a client: driven until it has ended, or until it is told to end and nothing of a request is on it.

use crate::activity::{ConnectionActivity, Due, ObservedStream};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::error::Error;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// How long a connection that is to close may take over what was written to it, with nobody reading.
const LAST_WORDS: Duration = Duration::from_secs(120);
/// How long a client may go on sending after the end was sent to it: with the time for a head it is less than the 3 s
/// after which a peer that sends nothing proper is owed its end.
const LINGER: Duration = Duration::from_millis(300);
/// What is read and thrown away at once, and how often before others have their turn.
const DISCARD: usize = 4096;
const DISCARD_TURNS: usize = 16;

/// What becomes of a connection.
enum Step {
    /// It has ended, or its client has gone.
    Ended,
    /// It is told to end, and nothing is on it that would be lost, or a request that is answered first.
    Closable,
    Told,
    Due(Due),
}

/// Serves requests until the connection has ended, or `close` is over and what was on the connection by then is
/// answered. `buffer` bounds what is read ahead, and so a request's head. A connection's error is its client's: it has
/// gone, or what it sent is no HTTP.
pub async fn drive<S>(
    stream: &Rc<TcpStream>,
    activity: &Rc<ConnectionActivity>,
    buffer: usize,
    service: S,
    close: impl Future<Output = ()>,
) where
    S: HttpService<Incoming>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    S::ResBody: 'static,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(buffer);
    let socket = TokioIo::new(ObservedStream::new(stream.clone(), activity.clone()));
    let mut serving = pin!(builder.serve_connection(socket, service));
    let mut close = pin!(close);
    let mut left = pin!(stream.ready(Interest::PRIORITY));
    loop {
        let step = poll_fn(|context| {
            if poll_end(serving.as_mut(), left.as_mut(), activity, context).is_ready() {
                return Poll::Ready(Step::Ended);
            }
            // Asked of the system itself, in the same step as the close: a request may have come since it last spoke.
            let closable = activity.is_busy() || activity.is_idle() && is_empty(stream);
            if activity.is_closing() && closable {
                return Poll::Ready(Step::Closable);
            }
            Poll::Pending
        });
        let step = tokio::select! {
            biased;
            step = step => step,
            () = close.as_mut(), if !activity.is_closing() => Step::Told,
            due = activity.overdue() => Step::Due(due),
        };
        match step {
            Step::Ended => return,
            Step::Closable => break,
            Step::Told => activity.close(),
            Step::Due(Due::Head) if is_empty(stream) => return,
            // What came in this very moment is read first.
            Step::Due(due) => {
                if due == Due::Idle {
                    activity.close();
                }
                yield_now().await;
            }
        }
    }
    // An idle one closes now, a busy one behind its answer.
    serving.as_mut().graceful_shutdown();
    // Guards against a client that reads no more, or a head that never ends: either would hold the connection.
    tokio::select! {
        biased;
        () = poll_fn(|context| poll_end(serving.as_mut(), left.as_mut(), activity, context)) => {}
        () = activity.head_overdue() => {}
        () = sleep(LAST_WORDS) => {}
    }
}

/// Drives a connection to its end. While a request is in work, bytes that wait behind it keep the client's end from
/// being read: the system tells that one apart from them.
fn poll_end(
    serving: Pin<&mut impl Future>,
    left: Pin<&mut impl Future>,
    activity: &ConnectionActivity,
    context: &mut Context<'_>,
) -> Poll<()> {
    activity.driven();
    if serving.poll(context).is_ready() {
        return Poll::Ready(());
    }
    if activity.is_blind() {
        return left.poll(context).map(drop);
    }
    Poll::Pending
}

/// Whether nothing that was sent on a connection is still to be read.
pub fn is_empty(stream: &TcpStream) -> bool {
    !matches!(
        SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]),
        Ok(1..)
    )
}

/// Ends a connection: the client reads the end behind its last answer. What it has sent meanwhile is thrown away, as a
/// close over unread bytes would reset the connection.
pub async fn close(stream: &TcpStream) {
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let discarding = async {
        while stream.readable().await.is_ok() && !is_discarded(stream) {
            yield_now().await;
        }
    };
    let _ = timeout(LINGER, discarding).await;
}

/// Throws away what has come; true once there is no more to come.
fn is_discarded(stream: &TcpStream) -> bool {
    let mut bytes = [0; DISCARD];
    for _ in 0..DISCARD_TURNS {
        match stream.try_read(&mut bytes) {
            Ok(1..) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            Ok(_) | Err(_) => return true,
        }
    }
    false
}

#[cfg(test)]
mod tests;
