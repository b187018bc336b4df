//! Forwards a backend's response body as it arrives. A resumable stream continues on another backend within the same
//! response.

use super::body::ChunkSlot;
use super::tries::{Tries, Wait};
use crate::balance::Outcome;
use crate::exchange::events::EventSplitter;
use crate::exchange::response::BackendResponse;
use alderhollow_dataplane::flow::Cut;
use hyper::body::Bytes;
use std::rc::Rc;

/// Forwards chunks unchanged. If the backend's response is truncated, so is the client's.
///
/// # Errors
/// The response is incomplete.
pub(super) async fn forward_chunks(
    tries: Tries,
    mut answer: BackendResponse,
    first: Bytes,
    slot: Rc<ChunkSlot>,
) -> Result<(), Cut> {
    slot.put(first).await;
    loop {
        match tries.next_chunk(&mut answer, Wait::Rest).await {
            Ok(Some(chunk)) => slot.put(chunk).await,
            Ok(None) => {
                answer.finish(Outcome::Served).await;
                return Ok(());
            }
            Err(outcome) => {
                answer.abandon(outcome);
                return Err(Cut);
            }
        }
    }
}

/// Forwards complete events. If a backend aborts its stream or stalls, another one resumes after the last forwarded
/// event.
///
/// # Errors
/// No backend resumes the stream, so it is truncated.
pub(super) async fn forward_events(
    mut tries: Tries,
    mut answer: BackendResponse,
    first: Bytes,
    slot: Rc<ChunkSlot>,
) -> Result<(), Cut> {
    let mut splitter = EventSplitter::after(tries.job().outbound.last_event_id());
    let mut next = Ok(Some(first));
    loop {
        let failure = match next {
            Ok(Some(chunk)) => match splitter.push(chunk) {
                Ok(events) => {
                    slot.put(events).await;
                    None
                }
                Err(_) => Some(Outcome::Broken),
            },
            Ok(None) => {
                slot.put(splitter.finish()).await;
                answer.finish(Outcome::Served).await;
                return Ok(());
            }
            Err(outcome) => Some(outcome),
        };
        if let Some(outcome) = failure {
            answer.abandon(outcome);
            splitter.discard_partial();
            answer = resume(&mut tries, splitter.last_id()).await?;
            next = tries.next_chunk(&mut answer, Wait::Beginning).await;
            answer.began();
        } else {
            next = tries.next_chunk(&mut answer, Wait::NextEvent).await;
        }
    }
}

/// Gets a response from a backend that resumes after the event `last_id`.
async fn resume(tries: &mut Tries, last_id: Option<u64>) -> Result<BackendResponse, Cut> {
    while tries.may_run_again() {
        let answer = tries.next_answer(last_id).await.map_err(|_| Cut)?;
        if answer.is_valid() && answer.is_event_stream() {
            return Ok(answer);
        }
        let failed = answer.status.is_server_error();
        answer.abandon(if failed {
            Outcome::Failed
        } else {
            Outcome::Broken
        });
    }
    Err(Cut)
}
