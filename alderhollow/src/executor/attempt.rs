//! One run of an item at a backend: what its answer means for the item.

use super::events::{EventReader, Transcript};
use crate::balance::Outcome;
use crate::exchange::response::{BackendResponse, IncompleteResponse};
use crate::exchange::SendError;
use crate::metrics;
use alderhollow_batch::api::{ItemStart, Resume, RunEnd};
use hyper::body::Bytes;
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::Instant;

/// A backend that sends no event for so long is left: before its first one it may still read the prompt, or wait.
pub const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(3_500);
const NEXT_EVENT_SILENCE: Duration = Duration::from_millis(2_000);
/// After the first event, events are read together so often: nobody waits for a single one, and each look at each of
/// hundreds of connections costs the store's processor.
const GATHER: Duration = Duration::from_millis(40);
/// Pauses before the next try.
const PAUSE_AFTER_DECLINED_MS: u64 = 120;
const PAUSE_AFTER_NO_CONNECTION_MS: u64 = 60;
const PAUSE_AFTER_CUT_MS: u64 = 20;
const PAUSE_AFTER_STRANGE_ANSWER_MS: u64 = 200;

/// What an attempt without an answer means.
pub fn unanswered(item: &ItemStart, unanswered: SendError) -> RunEnd {
    match unanswered {
        SendError::NotRun(Outcome::Declined | Outcome::Cancelled) => {
            not_run(PAUSE_AFTER_DECLINED_MS)
        }
        SendError::NotRun(_) => not_run(PAUSE_AFTER_NO_CONNECTION_MS),
        SendError::MayHaveRun(_) => cut(item, PAUSE_AFTER_CUT_MS),
    }
}

/// Reads an answer of the backend's work.
pub async fn read(item: &ItemStart, answer: BackendResponse) -> RunEnd {
    match answer.status {
        StatusCode::OK if answer.is_valid() => read_events(item, answer).await,
        StatusCode::INTERNAL_SERVER_ERROR => {
            finish_failure(answer, Outcome::Failed).await;
            RunEnd::Failed
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            finish_failure(answer, Outcome::Served).await;
            RunEnd::Rejected
        }
        status => {
            log::warn!("item {}: a backend answered {status}", item.item_id);
            answer.abandon(Outcome::Failed);
            cut(item, PAUSE_AFTER_STRANGE_ANSWER_MS)
        }
    }
}

/// Reads the events of an answer. It is whole only if its framing says so and it ends between two events.
async fn read_events(item: &ItemStart, mut answer: BackendResponse) -> RunEnd {
    let mut reader = EventReader::after(transcript_of(item));
    let events_before = reader.transcript().events;
    let mut has_begun = false;
    let outcome = loop {
        let piece = match has_begun {
            false => tokio::time::timeout(FIRST_EVENT_SILENCE, answer.next_chunk())
                .await
                .ok(),
            true => gathered_piece(&mut answer).await,
        };
        match piece {
            Some(Some(Ok(piece))) => {
                metrics::get().runs.received(piece.len());
                if let Err(error) = reader.push(&piece) {
                    log::warn!("item {}: {error}", item.item_id);
                    break Outcome::Broken;
                }
                if !has_begun && reader.transcript().events > events_before {
                    has_begun = true;
                    answer.began();
                }
            }
            Some(None) if reader.is_between_events() => {
                answer.finish(Outcome::Served).await;
                return RunEnd::Completed {
                    text: reader.into_transcript().text,
                };
            }
            Some(None | Some(Err(_))) => break Outcome::Broken,
            None => break Outcome::TimedOut,
        }
    };
    answer.abandon(outcome);
    RunEnd::Interrupted {
        resume: resume_of(reader.into_transcript()),
        retry_after_ms: PAUSE_AFTER_CUT_MS,
    }
}

/// The next piece of an answer, looked for every [`GATHER`]; `None` if none came for [`NEXT_EVENT_SILENCE`].
async fn gathered_piece(
    answer: &mut BackendResponse,
) -> Option<Option<Result<Bytes, IncompleteResponse>>> {
    let silent_at = Instant::now() + NEXT_EVENT_SILENCE;
    loop {
        if let Some(piece) = answer.try_next_chunk() {
            return Some(piece);
        }
        if Instant::now() >= silent_at {
            return None;
        }
        tokio::time::sleep(GATHER).await;
    }
}

/// Reads the rest of a failure's answer, so that its connection can be used again.
async fn finish_failure(mut answer: BackendResponse, outcome: Outcome) {
    loop {
        match tokio::time::timeout(NEXT_EVENT_SILENCE, answer.next_chunk()).await {
            Ok(Some(Ok(piece))) => metrics::get().runs.received(piece.len()),
            Ok(None) => return answer.finish(outcome).await,
            Ok(Some(Err(_))) | Err(_) => return answer.abandon(outcome),
        }
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

/// The run may have happened; what earlier runs brought stays.
fn cut(item: &ItemStart, retry_after_ms: u64) -> RunEnd {
    RunEnd::Interrupted {
        resume: item.resume.clone(),
        retry_after_ms,
    }
}
