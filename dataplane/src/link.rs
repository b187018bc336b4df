//! One HTTP/1.1 connection to a peer. Whoever holds it drives it: no task of its own stands behind it, so
//! dropping it has closed the socket.
//!
//! Each byte that the peer sends passes through a [`ResponseCheck`] before the HTTP library reads it. A malformed response
//! ends the connection as a truncated one does, and nothing of it is returned.

use crate::flow::Upload;
use crate::malformed::MalformedResponse;
use crate::progress::{Progress, TrackedBody, WriteProgress, Written};
use crate::response_check::ResponseCheck;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::error::Error as _;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};

/// Size of the program's read and write buffers of one connection, in bytes.
pub const BUFFER_BYTES: usize = 32 * 1024;
/// Size of the system's send and receive buffers of one connection, in bytes.
pub const SOCKET_BUFFER_BYTES: u32 = 64 * 1024;

/// An exchange brought no response: its connection broke before one began.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{problem}")]
pub struct Failure {
    /// How much of the request was written before.
    pub written: Written,
    /// What was wrong, for the log.
    pub problem: String,
}

/// A response that had begun is not complete. The peer has had the request, however much of it was written.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BrokenResponse {
    /// It ended early.
    #[error("{problem}")]
    Truncated {
        /// What was wrong, for the log.
        problem: String,
    },
    /// What came is no response.
    #[error(transparent)]
    Malformed(#[from] MalformedResponse),
}

/// Why an exchange brought no complete response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// No response began.
    #[error(transparent)]
    Unanswered(#[from] Failure),
    /// A response began and is truncated or malformed.
    #[error(transparent)]
    Broken(#[from] BrokenResponse),
}

/// The connection's socket, which records how far a request was written and checks what is read.
struct Socket {
    stream: TcpStream,
    progress: Rc<Progress>,
    check: Rc<RefCell<ResponseCheck>>,
    /// Whether the next read asks the system first.
    asks_system: Rc<Cell<bool>>,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.asks_system.take() && !is_silent(&self.stream) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().get(filled_before..).unwrap_or_default();
        let checked = self.check.borrow_mut().on_received(received);
        Poll::Ready(checked.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error)))
    }
}

/// Whether nothing is here to be read, no byte, no end and no reset, by the system's own word.
fn is_silent(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.progress.on_written(count);
        Poll::Ready(Ok(count))
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.progress.on_written(count);
        Poll::Ready(Ok(count))
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    /// hyper flushes once its own buffer is written out.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.progress.on_flushed();
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Whether the HTTP library could not read what came, rather than that the connection broke.
fn is_unreadable(error: &hyper::Error) -> bool {
    let io_error = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>());
    let kind = io_error.map(io::Error::kind);
    error.is_parse()
        || matches!(
            kind,
            Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData)
        )
}

type HttpConnection = Box<Connection<TokioIo<Socket>, TrackedBody>>;

/// One connection, which carries one exchange at a time.
pub struct Link {
    sender: SendRequest<TrackedBody>,
    /// `None` once the connection has ended. Boxed, as it is large and links are moved.
    connection: Option<HttpConnection>,
    progress: Rc<Progress>,
    check: Rc<RefCell<ResponseCheck>>,
    /// Whether the next read asks the system first.
    asks_system: Rc<Cell<bool>>,
}

impl Link {
    /// Requests are counted in `written` once their last byte is.
    ///
    /// # Errors
    /// The connection cannot be opened.
    pub async fn open(address: SocketAddr, written: Rc<Cell<u64>>) -> io::Result<Link> {
        Link::open_bounded(address, written, None).await
    }

    /// The same for a peer that may be cut off without a word: what it does not confirm for so long ends the
    /// connection.
    ///
    /// # Errors
    /// The connection cannot be opened.
    pub async fn open_bounded(
        address: SocketAddr,
        written: Rc<Cell<u64>>,
        unconfirmed: Option<Duration>,
    ) -> io::Result<Link> {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }?;
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
        if unconfirmed.is_some() {
            SockRef::from(&socket).set_tcp_user_timeout(unconfirmed)?;
        }
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        let progress = Rc::new(Progress::new(written));
        let check = Rc::new(RefCell::new(ResponseCheck::default()));
        let asks_system = Rc::new(Cell::new(false));
        let socket = Socket {
            stream,
            progress: progress.clone(),
            check: check.clone(),
            asks_system: asks_system.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        Ok(Link {
            sender,
            connection: Some(Box::new(connection)),
            progress,
            check,
            asks_system,
        })
    }

    /// Sends one request and waits until its response begins.
    ///
    /// # Errors
    /// The connection broke before the response began, and the error tells how much of the request was written; or the
    /// response's head is truncated or malformed.
    pub async fn send(
        &mut self,
        request: Request<Upload>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let Link {
            sender,
            connection,
            progress,
            check,
            ..
        } = self;
        check.borrow_mut().on_request(request.method());
        progress.begin(request.body().is_end_stream());
        let request = request.map(|body| TrackedBody::new(body, progress.clone()));
        let response = drive(connection, sender.try_send_request(request)).await;
        response.map_err(|error| self.exchange_error(error.error()))
    }

    /// What the failure of an exchange, as the HTTP library tells it, says of its response.
    fn exchange_error(&self, error: &hyper::Error) -> ExchangeError {
        if self.check.borrow().has_begun() {
            return self.broken_response(error).into();
        }
        let failure = Failure {
            written: self.progress.written(),
            problem: error.to_string(),
        };
        failure.into()
    }

    fn broken_response(&self, error: &hyper::Error) -> BrokenResponse {
        match self.malformed(error) {
            Some(malformed) => malformed.into(),
            None => BrokenResponse::Truncated {
                problem: error.to_string(),
            },
        }
    }

    /// The rule that the response breaks, if that is why the exchange has failed.
    fn malformed(&self, error: &hyper::Error) -> Option<MalformedResponse> {
        let found = self.check.borrow().malformed();
        found.or_else(|| is_unreadable(error).then_some(MalformedResponse::Unreadable))
    }

    /// How much of the request that was sent last was written.
    pub fn written(&self) -> Written {
        self.progress.written()
    }

    /// Tells how far a request was written, also while it is being sent.
    pub fn write_progress(&self) -> WriteProgress {
        WriteProgress::of(&self.progress)
    }

    /// The next chunk of the body of a response that has begun; `None` at its end.
    ///
    /// # Errors
    /// The body is truncated or malformed.
    pub async fn next_chunk(
        &mut self,
        body: &mut Incoming,
    ) -> Option<Result<Bytes, BrokenResponse>> {
        loop {
            match drive(&mut self.connection, body.frame()).await? {
                Ok(frame) => {
                    // A frame without data holds trailers, which concern this connection alone.
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Err(error) => return Some(Err(self.broken_response(&error))),
            }
        }
    }

    /// Whether the connection stands and can take a request. Guards against sending into a connection
    /// that the peer has closed while it was idle: polling it sees the end that has come in meanwhile.
    pub async fn is_usable(&mut self) -> bool {
        poll_fn(|context| Poll::Ready(self.poll_usable(context))).await
    }

    /// The same by the system's own word: to be asked last before a request is written. Guards against what has come
    /// in since the reactor last looked, be it the process that stood still or the timer that was served first: a
    /// read that waits for the reactor's word misses it.
    pub async fn is_silent(&mut self) -> bool {
        self.asks_system.set(true);
        let usable = self.is_usable().await;
        self.asks_system.set(false);
        usable
    }

    /// As [`Link::is_usable`], for a task that is to be woken when something comes in on the connection.
    pub fn poll_usable(&mut self, context: &mut Context<'_>) -> bool {
        if let Some(connection) = &mut self.connection {
            if Pin::new(connection).poll(context).is_ready() {
                self.connection = None;
            }
        }
        self.connection.is_some() && self.sender.is_ready() && self.check.borrow().is_clean()
    }
}

/// Waits for `work`, which the connection has to be driven for.
async fn drive<T>(connection: &mut Option<HttpConnection>, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    poll_fn(|context| {
        if let Some(running) = connection {
            if Pin::new(running).poll(context).is_ready() {
                *connection = None;
            }
        }
        work.as_mut().poll(context)
    })
    .await
}

#[cfg(test)]
mod tests;
