//! One run of an item at one backend that has been chosen: the exchange, and what its answer means.

use super::events::{EventReader, Transcript};
use super::pool::LinkPool;
use super::request;
use crate::balance::Outcome;
use alderhollow_batch::api::{ItemStart, Resume, RunEnd};
use alderhollow_model::backend::Backend;
use dataplane::link::{Failure, Link};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use springusher_dataplane as dataplane;
use std::time::Duration;
use tokio::time::Instant;

/// A backend that sends no event for so long is left: before its first one it may still read the prompt, or wait.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(3_500);
const NEXT_EVENT_SILENCE: Duration = Duration::from_millis(2_000);
/// Pauses before the next try.
const PAUSE_AFTER_DECLINED_MS: u64 = 120;
const PAUSE_AFTER_NO_CONNECTION_MS: u64 = 60;
const PAUSE_AFTER_CUT_MS: u64 = 20;
const PAUSE_AFTER_STRANGE_ANSWER_MS: u64 = 200;
/// The rest of a failure's answer is read for so long, so that its connection can be used again.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// A run's end, for the batch job and for the choice of backends.
pub struct Ended {
    /// What it means for the item.
    pub run: RunEnd,
    /// What it tells of the backend.
    pub outcome: Outcome,
}

/// Whether the run may still go to the backend; asked right before it is written.
pub trait SendGate {
    /// Whether the request may be written now.
    fn may_send(&self) -> bool;
    /// The first event came.
    fn began(&self);
}

/// Runs an item at a backend.
pub async fn run(
    pool: &LinkPool,
    backend: &Backend,
    item: &ItemStart,
    deadline: Duration,
    gate: &dyn SendGate,
) -> Ended {
    let Some(mut link) = connect(pool, backend).await else {
        return not_run(Outcome::NoConnection, PAUSE_AFTER_NO_CONNECTION_MS);
    };
    let last_event_id = item.resume.as_ref().map(|resume| resume.last_event_id);
    let request = match request::build(item, &backend.id, deadline, last_event_id) {
        Ok(request) => request,
        Err(error) => {
            log::warn!("item {}: {error}", item.item_id);
            return ended(RunEnd::Rejected, Outcome::Cancelled);
        }
    };
    if !gate.may_send() {
        return not_run(Outcome::Cancelled, PAUSE_AFTER_DECLINED_MS);
    }
    let response = match tokio::time::timeout(FIRST_EVENT_SILENCE, link.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(Failure::Unsent)) => return not_run(Outcome::NoConnection, PAUSE_AFTER_NO_CONNECTION_MS),
        Ok(Err(Failure::Broken(_))) => return cut(item, Outcome::Broken, PAUSE_AFTER_CUT_MS),
        Err(_) => return cut(item, Outcome::TimedOut, PAUSE_AFTER_CUT_MS),
    };
    judge(pool, backend, item, link, response, gate).await
}

async fn connect(pool: &LinkPool, backend: &Backend) -> Option<Link> {
    if let Some(link) = pool.take(&backend.id).await {
        return Some(link);
    }
    match pool.open(backend.address.0).await {
        Ok(link) => Some(link),
        Err(error) => {
            log::debug!("no connection to backend {}: {error}", backend.id);
            None
        }
    }
}

/// What an answer's head says, and the events after it.
async fn judge(
    pool: &LinkPool,
    backend: &Backend,
    item: &ItemStart,
    mut link: Link,
    response: Response<Incoming>,
    gate: &dyn SendGate,
) -> Ended {
    let (head, mut body) = response.into_parts();
    let headers = &head.headers;
    let is_ours = text(headers, "request-id") == Some(item.item_id.as_str());
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return not_run(Outcome::OtherInstance, PAUSE_AFTER_NO_CONNECTION_MS);
    }
    if !is_ours {
        // An answer to something else: nothing on this connection can be trusted.
        return match headers.contains_key("not-executed") {
            true => not_run(Outcome::Declined, PAUSE_AFTER_DECLINED_MS),
            false => cut(item, Outcome::Broken, PAUSE_AFTER_CUT_MS),
        };
    }
    if headers.contains_key("not-executed") {
        give_back(pool, backend, link, &mut body, headers).await;
        return not_run(Outcome::Declined, PAUSE_AFTER_DECLINED_MS);
    }
    match head.status {
        StatusCode::OK => {
            let end = read_events(item, &mut link, &mut body, headers, gate).await;
            if matches!(end.run, RunEnd::Completed { .. }) {
                pool.give(&backend.id, link, headers);
            }
            end
        }
        StatusCode::INTERNAL_SERVER_ERROR => {
            give_back(pool, backend, link, &mut body, headers).await;
            ended(RunEnd::Failed, Outcome::Failed)
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            give_back(pool, backend, link, &mut body, headers).await;
            ended(RunEnd::Rejected, Outcome::Served)
        }
        status => {
            log::warn!("item {}: backend {} answered {status}", item.item_id, backend.id);
            cut(item, Outcome::Failed, PAUSE_AFTER_STRANGE_ANSWER_MS)
        }
    }
}

/// Reads the events of an answer. It is whole only if its framing says so, it bears the backend's seal and it ends
/// between two events.
async fn read_events(
    item: &ItemStart,
    link: &mut Link,
    body: &mut Incoming,
    headers: &HeaderMap,
    gate: &dyn SendGate,
) -> Ended {
    let before = transcript_of(item);
    let events_before = before.events;
    let mut reader = EventReader::after(before);
    let mut has_begun = false;
    let outcome = loop {
        let silence = if has_begun { NEXT_EVENT_SILENCE } else { FIRST_EVENT_SILENCE };
        match tokio::time::timeout(silence, link.piece(body)).await {
            Ok(Some(Ok(piece))) => {
                if let Err(error) = reader.push(&piece) {
                    log::warn!("item {}: {error}", item.item_id);
                    break Outcome::Broken;
                }
                if !has_begun && reader.transcript().events > events_before {
                    has_begun = true;
                    gate.began();
                }
            }
            Ok(Some(Err(_))) => break Outcome::Broken,
            Ok(None) if is_whole(headers) && reader.is_between_events() => {
                let text = reader.into_transcript().text;
                return ended(RunEnd::Completed { text }, Outcome::Served);
            }
            Ok(None) => break Outcome::Broken,
            Err(_) => break Outcome::TimedOut,
        }
    };
    let resume = resume_of(reader.into_transcript());
    ended(RunEnd::Cut { resume, retry_after_ms: PAUSE_AFTER_CUT_MS }, outcome)
}

/// Whether an answer that has ended is a backend's whole one, as far as its head tells: an answer that lasts until its
/// connection closes may have been cut.
fn is_whole(headers: &HeaderMap) -> bool {
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    is_framed && headers.contains_key("response-seal") && !headers.contains_key(CONTENT_ENCODING)
}

/// Reads the rest of a failure's answer, and keeps the connection if that ends soon.
async fn give_back(
    pool: &LinkPool,
    backend: &Backend,
    mut link: Link,
    body: &mut Incoming,
    headers: &HeaderMap,
) {
    let until = Instant::now() + DRAIN_TIMEOUT;
    loop {
        match tokio::time::timeout_at(until, link.piece(body)).await {
            Ok(Some(Ok(_))) => {}
            Ok(None) => return pool.give(&backend.id, link, headers),
            Ok(Some(Err(_))) | Err(_) => return,
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn transcript_of(item: &ItemStart) -> Transcript {
    match &item.resume {
        None => Transcript::default(),
        Some(resume) => {
            Transcript { last_id: Some(resume.last_event_id), text: resume.text.clone(), events: 1 }
        }
    }
}

fn resume_of(transcript: Transcript) -> Option<Resume> {
    transcript.last_id.map(|last_event_id| Resume { last_event_id, text: transcript.text })
}

fn ended(run: RunEnd, outcome: Outcome) -> Ended {
    Ended { run, outcome }
}

fn not_run(outcome: Outcome, retry_after_ms: u64) -> Ended {
    ended(RunEnd::NotRun { retry_after_ms }, outcome)
}

/// The run may have happened; what earlier runs brought stays.
fn cut(item: &ItemStart, outcome: Outcome, retry_after_ms: u64) -> Ended {
    ended(RunEnd::Cut { resume: item.resume.clone(), retry_after_ms }, outcome)
}
