//! Interprets a backend's response to an item.

use super::events::{EventReader, Transcript};
use crate::balance::Outcome;
use crate::exchange::evidence::SendError;
use crate::exchange::response::{BackendResponse, IncompleteResponse};
use crate::metrics;
use alderhollow_batch::api::{ItemStart, Resume, RunEnd};
use hyper::body::Bytes;
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// A backend that sends no event for this long is abandoned. Before the first event it may still be processing the
/// prompt or queueing the request.
pub const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(3_500);
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Polling interval after the first event. No client waits for a single event of an item, and waking up for each event
/// of hundreds of connections costs CPU time at the store.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
// Delays before the next attempt.
const RETRY_AFTER_DECLINED_MS: u64 = 120;
/// Longer than most items wait for their next check, so that the items which wait for a version take turns in trying.
const RETRY_AFTER_OTHER_WEIGHTS_MS: u64 = 500;
const RETRY_AFTER_NO_CONNECTION_MS: u64 = 60;
const RETRY_AFTER_INTERRUPTED_MS: u64 = 20;
const RETRY_AFTER_UNEXPECTED_STATUS_MS: u64 = 200;
const RETRY_AFTER_TRUNCATED_ERROR_MS: u64 = 200;

/// Result of an attempt without a response.
pub fn on_send_error(item: &ItemStart, error: SendError) -> RunEnd {
    if error.evidence.may_have_run() {
        return interrupted(item, RETRY_AFTER_INTERRUPTED_MS);
    }
    match error.outcome {
        Outcome::Declined | Outcome::ConnectionLimit | Outcome::Cancelled => {
            not_run(RETRY_AFTER_DECLINED_MS)
        }
        Outcome::OtherWeights => not_run(RETRY_AFTER_OTHER_WEIGHTS_MS),
        _ => not_run(RETRY_AFTER_NO_CONNECTION_MS),
    }
}

/// Reads the response of a backend that ran the request.
pub async fn read(item: &ItemStart, response: BackendResponse) -> RunEnd {
    match response.status {
        StatusCode::OK if response.is_valid() => read_events(item, response).await,
        StatusCode::INTERNAL_SERVER_ERROR => {
            finish_error_response(item, response, Outcome::Failed, RunEnd::Failed).await
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            finish_error_response(item, response, Outcome::Served, RunEnd::Rejected).await
        }
        status => {
            log::warn!(
                "item {}: unexpected backend response status {status}",
                item.item_id
            );
            response.abandon(Outcome::Failed);
            interrupted(item, RETRY_AFTER_UNEXPECTED_STATUS_MS)
        }
    }
}

/// Reads a stream of events. It is complete only if the framing marks its end and it ends at an event boundary.
async fn read_events(item: &ItemStart, mut response: BackendResponse) -> RunEnd {
    let mut reader = EventReader::after(transcript_of(item));
    let events_before = reader.transcript().events;
    let mut has_started = false;
    let outcome = loop {
        let chunk = match has_started {
            false => timeout(FIRST_EVENT_TIMEOUT, response.next_chunk())
                .await
                .ok(),
            true => poll_chunk(&mut response).await,
        };
        match chunk {
            Some(Some(Ok(chunk))) => {
                metrics::get().runs.received(chunk.len());
                if let Err(error) = reader.push(&chunk) {
                    log::warn!("item {}: {error}", item.item_id);
                    break Outcome::Broken;
                }
                if !has_started && reader.transcript().events > events_before {
                    has_started = true;
                    response.began();
                }
            }
            Some(None) if reader.is_between_events() => {
                response.finish(Outcome::Served).await;
                return RunEnd::Completed {
                    text: reader.into_transcript().text,
                };
            }
            Some(None | Some(Err(_))) => break Outcome::Broken,
            None => break Outcome::TimedOut,
        }
    };
    response.abandon(outcome);
    RunEnd::Interrupted {
        resume: resume_of(reader.into_transcript()),
        retry_after_ms: RETRY_AFTER_INTERRUPTED_MS,
    }
}

/// Returns the next chunk, polling every [`POLL_INTERVAL`]; `None` if none arrived within [`NEXT_EVENT_TIMEOUT`].
async fn poll_chunk(
    response: &mut BackendResponse,
) -> Option<Option<Result<Bytes, IncompleteResponse>>> {
    let timeout_at = Instant::now() + NEXT_EVENT_TIMEOUT;
    loop {
        if let Some(chunk) = response.try_next_chunk() {
            return Some(chunk);
        }
        if Instant::now() >= timeout_at {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reads the rest of an error response, which ends the run with `end` only if it is complete: the bytes of a truncated
/// response belong to no request.
async fn finish_error_response(
    item: &ItemStart,
    mut response: BackendResponse,
    outcome: Outcome,
    end: RunEnd,
) -> RunEnd {
    loop {
        let chunk = timeout(NEXT_EVENT_TIMEOUT, response.next_chunk_until_close()).await;
        let outcome_of_truncated = match chunk {
            Ok(Some(Ok(chunk))) => {
                metrics::get().runs.received(chunk.len());
                continue;
            }
            Ok(None) => {
                response.finish(outcome).await;
                return end;
            }
            Ok(Some(Err(IncompleteResponse))) => Outcome::Broken,
            Err(_) => Outcome::TimedOut,
        };
        response.abandon(outcome_of_truncated);
        return interrupted(item, RETRY_AFTER_TRUNCATED_ERROR_MS);
    }
}

fn transcript_of(item: &ItemStart) -> Transcript {
    match &item.resume {
        None => Transcript::default(),
        Some(resume) => Transcript {
            last_id: Some(resume.last_event_id),
            text: resume.text.clone(),
            events: 1,
        },
    }
}

fn resume_of(transcript: Transcript) -> Option<Resume> {
    transcript.last_id.map(|last_event_id| Resume {
        last_event_id,
        text: transcript.text,
    })
}

fn not_run(retry_after_ms: u64) -> RunEnd {
    RunEnd::NotRun { retry_after_ms }
}

/// The request may have run; the events of earlier runs are kept.
fn interrupted(item: &ItemStart, retry_after_ms: u64) -> RunEnd {
    RunEnd::Interrupted {
        resume: item.resume.clone(),
        retry_after_ms,
    }
}
