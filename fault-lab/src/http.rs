//! The little HTTP that the lab's parties share.

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{timeout, Duration};

/// A body that is at hand.
pub type Body = Full<Bytes>;

/// Serves one connection until it ends. `answer` gives `None` where the connection is to be broken instead.
pub async fn serve<F>(stream: TcpStream, answer: impl Fn(Request<Bytes>) -> F)
where
    F: Future<Output = Option<Response<Body>>>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let answer = &answer;
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
            let answered = answer(Request::from_parts(head, body)).await;
            answered.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionReset))
        }
    });
    // However it ends, its client sees it.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Connects from this address, at a port that the system gives.
pub(crate) async fn connect(from: Option<IpAddr>, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Some(from) = from {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    socket.connect(to).await
}

/// Opens a connection from this address. What drives it ends with the sender.
///
/// # Errors
/// No connection comes up.
pub async fn open(from: Option<IpAddr>, to: SocketAddr) -> io::Result<SendRequest<Body>> {
    let stream = connect(from, to).await?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// The status that a GET of this path is answered with.
///
/// # Errors
/// There is no answer.
pub async fn status(to: SocketAddr, path: &str) -> io::Result<u16> {
    let mut sender = open(None, to).await?;
    let request = Request::get(path)
        .header("host", "backend.local")
        .header("connection", "close");
    let request = request.body(Body::default()).map_err(io::Error::other)?;
    Ok(sender
        .send_request(request)
        .await
        .map_err(io::Error::other)?
        .status()
        .as_u16())
}

/// One call at an operators' door: its whole answer.
///
/// # Errors
/// There is no answer within `patience`.
pub async fn call_staff(to: SocketAddr, line: &str, patience: Duration) -> io::Result<String> {
    let call = async {
        let mut stream = TcpStream::connect(to).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer.trim_end().to_string())
    };
    timeout(patience, call)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
