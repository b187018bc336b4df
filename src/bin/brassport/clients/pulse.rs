//! How long a client's connection may stand without a request: told by when bytes come and answers end.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// How long a client may take over a head: 2 s are honest, and a peer that sends nothing proper is owed an
/// end within 3 s of connecting.
const HEAD: Duration = Duration::from_millis(2600);
/// How long a connection may stand with no byte of a next head.
const IDLE: Duration = Duration::from_millis(2000);
/// How often a connection that is closing is looked at.
const LOOK: Duration = Duration::from_millis(500);

#[derive(Clone, Copy)]
enum State {
    /// A head is on its way since then.
    Head(Instant),
    Busy,
    Idle(Instant),
}

/// What is due on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Due {
    /// A head that does not come to its end: the connection is closed as it is.
    Head,
    /// No next request: the connection is closed in order.
    Idle,
}

pub struct Pulse {
    state: Cell<State>,
    /// Told when a request has been answered: until then there is nothing to look for.
    answered: Notify,
}

impl Pulse {
    /// Of a connection that has just come: its first head is due.
    pub fn new() -> Rc<Pulse> {
        Rc::new(Pulse { state: Cell::new(State::Head(Instant::now())), answered: Notify::new() })
    }
    fn bytes_came(&self) {
        if let State::Idle(_) = self.state.get() {
            self.state.set(State::Head(Instant::now()));
        }
    }
    /// A request is here, until what this returns is dropped.
    pub fn asked(self: &Rc<Self>) -> Busy {
        self.state.set(State::Busy);
        Busy(self.clone())
    }
    fn due(&self) -> Option<(Instant, Due)> {
        match self.state.get() {
            State::Head(since) => Some((since + HEAD, Due::Head)),
            State::Idle(since) => Some((since + IDLE, Due::Idle)),
            State::Busy => None,
        }
    }
    /// Waits until a head is overdue, on a connection that takes no further one.
    pub async fn head_overdue(&self) {
        while self.overdue().await != Due::Head {
            sleep(LOOK).await;
        }
    }
    /// Waits until something is overdue.
    pub async fn overdue(&self) -> Due {
        loop {
            match self.due() {
                Some((at, due)) if at <= Instant::now() => return due,
                Some((at, _)) => sleep_until(at).await,
                None => self.answered.notified().await,
            }
        }
    }
}

/// A request that is not answered yet.
pub struct Busy(Rc<Pulse>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.state.set(State::Idle(Instant::now()));
        self.0.answered.notify_one();
    }
}

/// A client's socket, which tells when bytes come.
pub struct Felt {
    stream: TokioIo<TcpStream>,
    pulse: Rc<Pulse>,
}

impl Felt {
    pub fn new(stream: TcpStream, pulse: Rc<Pulse>) -> Felt {
        Felt { stream: TokioIo::new(stream), pulse }
    }
}

impl Read for Felt {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        self.pulse.bytes_came();
        Poll::Ready(read)
    }
}

impl Write for Felt {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::Future;
    use tokio::time::timeout;

    #[tokio::test(start_paused = true)]
    async fn a_pause_is_not_taken_from_the_time_for_the_next_head() {
        let pulse = Pulse::new();
        let start = Instant::now();
        assert_eq!(pulse.overdue().await, Due::Head);
        assert_eq!(start.elapsed(), HEAD);
        let busy = pulse.asked();
        tokio::select! {
            _ = pulse.overdue() => panic!("a request may take as long as it does"),
            () = sleep(3 * HEAD) => drop(busy),
        }
        sleep(IDLE * 3 / 4).await;
        pulse.bytes_came();
        let start = Instant::now();
        assert_eq!(pulse.overdue().await, Due::Head);
        assert_eq!(start.elapsed(), HEAD);
        drop(pulse.asked());
        assert_eq!(pulse.overdue().await, Due::Idle);
        let busy = pulse.asked();
        let mut looks = 0;
        let mut overdue = std::pin::pin!(pulse.overdue());
        let looking = std::future::poll_fn(|context| {
            looks += 1;
            overdue.as_mut().poll(context)
        });
        assert!(timeout(100 * HEAD, looking).await.is_err());
        assert!(looks <= 3, "a request that takes long is looked at {looks} times");
        drop(busy);
        assert_eq!(overdue.await, Due::Idle);
        let start = Instant::now();
        pulse.bytes_came();
        pulse.head_overdue().await;
        assert_eq!(start.elapsed(), HEAD);
    }
}
