//! One connection of a client.

use super::body::AnswerBody;
use super::phase::Phase;
use super::writing::Writing;
use super::Front;
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

/// What hyper needs at the least.
const LEAST_BUFFER: usize = 8 * 1024;
/// What a head takes beside its counted bytes.
const HEAD_SLACK: usize = 1024;
/// How long a new connection that brings nothing stays open once the process is leaving.
const LAST_LOOK: Duration = Duration::from_millis(1000);

/// Serves one client's connection to its end.
pub(super) async fn serve(front: Rc<Front>, stream: TcpStream, mut phase: watch::Receiver<Phase>) {
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    let limits = front.limits();
    let idle = Duration::from_millis(limits.idle_timeout_ms);
    if !begins(&stream, idle, phase.clone()).await {
        return;
    }
    let activity = ConnectionActivity::new(Times {
        head: Duration::from_millis(limits.header_timeout_ms),
        idle,
    });
    let writing = Rc::new(Writing::default());
    let service = service_fn(|request: Request<Incoming>| {
        let (front, activity, writing) = (front.clone(), activity.clone(), writing.clone());
        let busy = activity.asked();
        // Boxed, or each connection would hold room for it all the time.
        Box::pin(async move {
            let mut response = front.answer(request).await;
            if activity.is_closing() {
                close_behind(&mut response);
            }
            response.body_mut().hold(busy, &writing);
            Ok::<_, Infallible>(response)
        })
    });
    let most = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX);
    let buffer = most.saturating_add(HEAD_SLACK).max(LEAST_BUFFER);
    let leaving = async {
        let _ = phase.wait_for(|phase| *phase != Phase::Running).await;
    };
    tokio::select! {
        biased;
        () = connection::drive(&stream, &activity, buffer, service, leaving) => {}
        // Cut off, as the answer is not whole.
        () = writing.overdue() => return,
    }
    if !activity.has_ended() {
        connection::close(&stream).await;
    }
}

/// Waits for the first byte: buffers are made once something comes.
async fn begins(stream: &TcpStream, idle: Duration, mut phase: watch::Receiver<Phase>) -> bool {
    let mut first_byte = [0];
    let looked = timeout(idle, async {
        tokio::select! {
            biased;
            looked = stream.peek(&mut first_byte) => matches!(looked, Ok(1)),
            () = async {
                let _ = phase.wait_for(|phase| *phase != Phase::Running).await;
                sleep(LAST_LOOK).await;
            } => !connection::is_empty(stream),
        }
    });
    match looked.await {
        Ok(has_begun) => has_begun,
        Err(_) => !connection::is_empty(stream),
    }
}

fn close_behind(response: &mut Response<AnswerBody>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
