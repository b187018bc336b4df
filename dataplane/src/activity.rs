//! How long a client's connection may stand without a request: told by when bytes come and answers end.

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// How often a connection that is closing is looked at.
const LOOK: Duration = Duration::from_millis(500);

/// The bounds on a client's connection.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// How long a client may take over a head.
    pub head: Duration,
    /// How long a connection may stand with no byte of a next head.
    pub idle: Duration,
}

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

/// What one connection of a client waits for, and since when.
pub struct ConnectionActivity {
    times: Times,
    state: Cell<State>,
    /// Told when a request has been answered: until then there is nothing to look for.
    answered: Notify,
    /// Whether what reads the connection waits for more since it was last driven.
    watched: Cell<bool>,
    /// Whether the client's end was read.
    ended: Cell<bool>,
    /// Whether the connection takes no further request than the one that is on its way.
    closing: Cell<bool>,
}

impl ConnectionActivity {
    /// Of a connection that has just come: its first head is due.
    pub fn new(times: Times) -> Rc<ConnectionActivity> {
        Rc::new(ConnectionActivity {
            times,
            state: Cell::new(State::Head(Instant::now())),
            answered: Notify::new(),
            watched: Cell::new(false),
            ended: Cell::new(false),
            closing: Cell::new(false),
        })
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
    /// The connection is driven anew.
    pub fn driven(&self) {
        self.watched.set(false);
    }
    /// Whether a request is in work and nobody waits for more of the connection, so that its end would not be seen.
    pub fn is_blind(&self) -> bool {
        matches!(self.state.get(), State::Busy) && !self.watched.get()
    }
    /// Whether a request is in work.
    pub fn is_busy(&self) -> bool {
        matches!(self.state.get(), State::Busy)
    }
    /// Whether no byte of a next request has come.
    pub fn is_idle(&self) -> bool {
        matches!(self.state.get(), State::Idle(_))
    }
    /// The connection is to take no further request.
    pub fn close(&self) {
        self.closing.set(true);
    }
    /// Whether it takes none.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }
    /// Whether the client's end was read.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }
    fn due(&self) -> Option<(Instant, Due)> {
        match self.state.get() {
            State::Head(since) => Some((since + self.times.head, Due::Head)),
            State::Idle(since) => Some((since + self.times.idle, Due::Idle)),
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
                Some((at, _)) => self.sleep_unless_sooner(at).await,
                None => self.answered.notified().await,
            }
        }
    }
    /// Sleeps until then, or until something is due before: a head that has begun is due sooner than the idle time ends.
    /// The task that reads the connection polls this too, whenever bytes come.
    async fn sleep_unless_sooner(&self, until: Instant) {
        let mut sleep = pin!(sleep_until(until));
        poll_fn(|context| match self.due() {
            Some((at, _)) if at < until => Poll::Ready(()),
            _ => sleep.as_mut().poll(context),
        })
        .await;
    }
}

/// A request that is not answered yet.
pub struct Busy(Rc<ConnectionActivity>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.state.set(State::Idle(Instant::now()));
        self.0.answered.notify_one();
    }
}

/// A client's socket, which tells when bytes come and whether anybody waits for more.
pub struct ObservedStream {
    stream: Rc<TcpStream>,
    activity: Rc<ConnectionActivity>,
}

impl ObservedStream {
    /// The socket, and where it tells.
    pub fn new(stream: Rc<TcpStream>, activity: Rc<ConnectionActivity>) -> ObservedStream {
        ObservedStream { stream, activity }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let ObservedStream { stream, activity } = &*self;
        let room = buffer.remaining();
        activity.watched.set(true);
        loop {
            ready!(stream.poll_read_ready(context))?;
            let read = stream.try_read_buf(buffer);
            match read {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                // The system had no more: it need not be asked again before it says that more has come.
                Ok(length) if 0 < length && length < room => {
                    let nothing = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
                    let _ = stream.try_io(Interest::READABLE, nothing);
                }
                Ok(0) | Err(_) => activity.ended.set(true),
                Ok(_) => {}
            }
            activity.watched.set(false);
            activity.bytes_came();
            return Poll::Ready(read.map(drop));
        }
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(context, |stream| stream.try_write(bytes))
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(context, |stream| stream.try_write_vectored(slices))
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    /// Its owner ends the connection, once nothing drives it any more.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl ObservedStream {
    fn write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

#[cfg(test)]
mod tests;
