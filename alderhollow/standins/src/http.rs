//! A small HTTP/1.1 server and client for the stand-ins.

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{JoinHandle, JoinSet};

use http_body_util::{BodyExt, Full};

/// Why a call did not bring a whole answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection came about.
    #[error("connection to {address} failed: {source}")]
    Connect {
        /// Who was called.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The connection broke, or what came was no answer.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The callee said nothing for too long.
    #[error("no answer within {0:?}")]
    Silent(Duration),
    /// The call can't be put into a request.
    #[error("not a request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The answer isn't what the protocol promises.
    #[error("unexpected answer: {0}")]
    Unexpected(String),
}

/// One piece of a streamed answer.
pub enum Piece {
    /// Bytes to send.
    Data(Bytes),
    /// Break the connection after what was sent so far.
    Cut,
}

/// Body of a server's answer.
pub enum ServerBody {
    /// All of it at once.
    Whole(Bytes),
    /// Pieces as they come; the body ends when the sender is dropped.
    Stream(mpsc::Receiver<Piece>),
}

impl ServerBody {
    /// An empty body.
    pub fn empty() -> ServerBody {
        ServerBody::Whole(Bytes::new())
    }
}

/// An extension of an answer: bytes that its connection gets once more, before the answer to the next request.
#[derive(Debug, Clone)]
pub struct SurplusAnswer(pub Bytes);

/// A [`ServerBody`] that can have its connection cut.
struct ConnectionBody {
    body: ServerBody,
    cut: Rc<Notify>,
}

impl Body for ConnectionBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let received = match &mut self.body {
            ServerBody::Whole(bytes) if bytes.is_empty() => return Poll::Ready(None),
            ServerBody::Whole(bytes) => {
                return Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))))
            }
            ServerBody::Stream(receiver) => receiver.poll_recv(context),
        };
        match received {
            Poll::Ready(Some(Piece::Data(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Piece::Cut)) => {
                // The connection sends what it has, finds nothing more to do, and is dropped then.
                self.cut.notify_one();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.body, ServerBody::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ServerBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ServerBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// A server that listens until it is dropped; its connections end with it.
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens at `address` and answers with `handler`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Server>
    where
        H: Fn(Request<Bytes>) -> F + Clone + 'static,
        F: Future<Output = Response<ServerBody>> + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::task::spawn_local(accept(listener, handler));
        Ok(Server { address, task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + 'static,
    F: Future<Output = Response<ServerBody>> + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                connections.spawn_local(connection(stream, handler.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + 'static,
    F: Future<Output = Response<ServerBody>> + 'static,
{
    // Without it small pieces wait; an error leaves them waiting.
    let _ = stream.set_nodelay(true);
    let Ok((stream, surplus)) = SurplusWriter::split(stream) else {
        return;
    };
    let surplus = Rc::new(surplus);
    let cut = Rc::new(Notify::new());
    let cut_of_bodies = cut.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, cut, surplus) = (handler.clone(), cut_of_bodies.clone(), surplus.clone());
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await?.to_bytes();
            surplus.write_pending();
            let mut answer = handler(Request::from_parts(head, body)).await;
            surplus.keep(answer.extensions_mut().remove());
            Ok::<_, hyper::Error>(answer.map(|body| ConnectionBody { body, cut }))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new());
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        _ = serving => {}
        () = cut.notified() => {}
    }
}

/// Writes surplus answers to a connection between the answers that its server writes.
struct SurplusWriter {
    stream: std::net::TcpStream,
    pending: RefCell<Option<SurplusAnswer>>,
}

impl SurplusWriter {
    fn split(stream: TcpStream) -> std::io::Result<(TcpStream, SurplusWriter)> {
        let stream = stream.into_std()?;
        let writer = SurplusWriter {
            stream: stream.try_clone()?,
            pending: RefCell::default(),
        };
        Ok((TcpStream::from_std(stream)?, writer))
    }

    fn keep(&self, surplus: Option<SurplusAnswer>) {
        self.pending.replace(surplus);
    }

    /// Writes what is pending. A peer that reads nothing misses it.
    fn write_pending(&self) {
        if let Some(SurplusAnswer(bytes)) = self.pending.take() {
            let _ = (&self.stream).write_all(&bytes);
        }
    }
}

/// Sends `request` on a new connection and waits at most `patience` for the answer's head.
///
/// # Errors
/// The server cannot be reached, or does not answer in time.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    patience: Duration,
) -> Result<Response<Incoming>, CallError> {
    let calling = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|source| CallError::Connect { address, source })?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(connection);
        Ok(sender.send_request(request).await?)
    };
    tokio::time::timeout(patience, calling)
        .await
        .unwrap_or(Err(CallError::Silent(patience)))
}

/// Reads a body to its end; each pause in it may last `patience`.
///
/// # Errors
/// The connection broke, or nothing came in time.
pub async fn read_whole(mut body: Incoming, patience: Duration) -> Result<Vec<u8>, CallError> {
    let mut bytes = Vec::new();
    while let Some(piece) = next_piece(&mut body, patience).await? {
        bytes.extend_from_slice(&piece);
    }
    Ok(bytes)
}

/// The next bytes of a body; `None` at its end.
///
/// # Errors
/// The connection broke, or nothing came in time.
pub async fn next_piece(
    body: &mut Incoming,
    patience: Duration,
) -> Result<Option<Bytes>, CallError> {
    loop {
        let frame = tokio::time::timeout(patience, body.frame()).await;
        match frame.map_err(|_| CallError::Silent(patience))? {
            None => return Ok(None),
            Some(frame) => {
                if let Ok(bytes) = frame?.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}
