//! Answers `GET` with the process's metrics, on a port of its own.

use crate::metrics;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Most connections at once.
const MAX_CONNECTIONS: usize = 8;
/// Longest time for a request's head, which is also the longest rest of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// How long to wait after a failed accept (no descriptors left).
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Where a process tells its metrics: `PORT/PATH`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsPlace {
    /// The port, on the process's own address.
    pub port: u16,
    /// The path, with its first slash.
    pub path: String,
}

/// Why a text names no place.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlaceError {
    /// There is no slash behind the port.
    #[error("`{0}` has no path: write PORT/PATH, such as 9464/metrics")]
    NoPath(String),
    /// The port is no number from 1 to 65535.
    #[error("`{0}` is no port: write a number from 1 to 65535")]
    Port(String),
}

impl FromStr for MetricsPlace {
    type Err = PlaceError;

    fn from_str(text: &str) -> Result<MetricsPlace, PlaceError> {
        let slash = text
            .find('/')
            .ok_or_else(|| PlaceError::NoPath(text.to_owned()))?;
        let (port, path) = text.split_at(slash);
        let number = port.parse().ok().filter(|number| *number > 0);
        let number = number.ok_or_else(|| PlaceError::Port(port.to_owned()))?;
        Ok(MetricsPlace {
            port: number,
            path: path.to_owned(),
        })
    }
}

/// Listens and answers in the background. A port that can't be listened on is logged only: a process serves also without
/// telling its metrics. To be used in a `LocalSet`.
pub async fn start(ip: IpAddr, place: MetricsPlace) {
    let address = SocketAddr::new(ip, place.port);
    match TcpListener::bind(address).await {
        Ok(listener) => drop(tokio::task::spawn_local(serve(listener, place.path))),
        Err(error) => {
            log::warn!("the metrics can't be told, as {address} can't be listened on: {error}");
        }
    }
}

/// Answers until the future is dropped. To be run in a `LocalSet`.
pub async fn serve(listener: TcpListener, path: String) {
    let path: Rc<str> = path.into();
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let path = path.clone();
                tokio::task::spawn_local(async move {
                    serve_connection(stream, path).await;
                    drop(place);
                });
            }
            Err(error) => {
                log::warn!("can't take a connection for the metrics: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, path: Rc<str>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = answer(&request, &path);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    if let Err(error) = builder
        .serve_connection(TokioIo::new(stream), service)
        .await
    {
        log::debug!("a connection for the metrics ended: {error}");
    }
}

fn answer(request: &Request<Incoming>, path: &str) -> Response<Full<Bytes>> {
    if request.uri().path() != path {
        return without_body(StatusCode::NOT_FOUND);
    }
    if request.method() != Method::GET {
        return without_body(StatusCode::METHOD_NOT_ALLOWED);
    }
    let mut response = Response::new(Full::from(metrics::get().text()));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static(prometheus::TEXT_FORMAT),
    );
    response
}

fn without_body(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
