//! Serves one client connection.

use super::body::ResponseBody;
use super::phase::Phase;
use super::write_deadline::WriteDeadline;
use super::Server;
use alderhollow_dataplane::activity::{ConnectionActivity, Times};
use alderhollow_dataplane::connection;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Smallest buffer limit that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Room for bytes of a request head that the header limit does not count.
const HEAD_SLACK_BYTES: usize = 1024;
/// How long a new connection without any data stays open once the process is shutting down.
const SHUTDOWN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Serves a client connection until it closes.
pub(super) async fn serve(
    server: Rc<Server>,
    stream: TcpStream,
    mut phase: watch::Receiver<Phase>,
) {
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    let limits = server.limits();
    let idle = Duration::from_millis(limits.idle_timeout_ms);
    if !receives_first_byte(&stream, idle, phase.clone()).await {
        return;
    }
    let activity = ConnectionActivity::new(Times {
        head: Duration::from_millis(limits.header_timeout_ms),
        idle,
    });
    let write_deadline = Rc::new(WriteDeadline::default());
    let service = service_fn(|request: Request<Incoming>| {
        let (server, activity, write_deadline) =
            (server.clone(), activity.clone(), write_deadline.clone());
        let in_progress = activity.asked();
        // Boxed so that idle connections do not reserve memory for this future.
        Box::pin(async move {
            let mut response = server.respond(request).await;
            if activity.is_closing() {
                set_connection_close(&mut response);
            }
            response
                .body_mut()
                .track_progress(in_progress, &write_deadline);
            Ok::<_, Infallible>(response)
        })
    });
    let max_header_bytes = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX);
    let buffer = max_header_bytes
        .saturating_add(HEAD_SLACK_BYTES)
        .max(MIN_BUFFER_BYTES);
    let shutdown = async {
        let _ = phase.wait_for(|phase| *phase != Phase::Running).await;
    };
    tokio::select! {
        biased;
        () = connection::drive(&stream, &activity, buffer, service, shutdown) => {}
        // Aborted without an orderly close, because the response is incomplete.
        () = write_deadline.expired() => return,
    }
    if !activity.has_ended() {
        connection::close(&stream).await;
    }
}

/// Waits for the first byte, so that buffers are allocated only for connections that send data.
async fn receives_first_byte(
    stream: &TcpStream,
    idle: Duration,
    mut phase: watch::Receiver<Phase>,
) -> bool {
    let mut first_byte = [0];
    let peeked = timeout(idle, async {
        tokio::select! {
            biased;
            peeked = stream.peek(&mut first_byte) => matches!(peeked, Ok(1)),
            () = async {
                let _ = phase.wait_for(|phase| *phase != Phase::Running).await;
                sleep(SHUTDOWN_FIRST_BYTE_TIMEOUT).await;
            } => !connection::is_empty(stream),
        }
    });
    match peeked.await {
        Ok(has_data) => has_data,
        Err(_) => !connection::is_empty(stream),
    }
}

fn set_connection_close(response: &mut Response<ResponseBody>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
