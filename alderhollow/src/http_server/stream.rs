//! Forwards a backend's response body as it arrives. A resumable stream continues on another backend within the same
//! response.

use super::attempts::{Attempts, Wait};
use super::body::ChunkSlot;
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
    attempts: Attempts,
    mut response: BackendResponse,
    first: Bytes,
    slot: Rc<ChunkSlot>,
) -> Result<(), Cut> {
    slot.put(first).await;
    loop {
        match attempts.next_chunk(&mut response, Wait::Rest).await {
            Ok(Some(chunk)) => slot.put(chunk).await,
            Ok(None) => {
                response.finish(Outcome::Served).await;
                return Ok(());
            }
            Err(outcome) => {
                response.abandon(outcome);
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
    mut attempts: Attempts,
    mut response: BackendResponse,
    first: Bytes,
    slot: Rc<ChunkSlot>,
) -> Result<(), Cut> {
    let mut splitter = EventSplitter::after(attempts.request().outbound.last_event_id());
    let mut next = Ok(Some(first));
    loop {
        let failure = match next {
            Ok(Some(chunk)) => match splitter.push(chunk) {
                Ok(events) => {
                    if !events.is_empty() {
                        attempts.response_progressed();
                    }
                    slot.put(events).await;
                    None
                }
                Err(_) => Some(Outcome::Broken),
            },
            Ok(None) => {
                slot.put(splitter.finish()).await;
                response.finish(Outcome::Served).await;
                return Ok(());
            }
            Err(outcome) => Some(outcome),
        };
        if let Some(outcome) = failure {
            response.abandon(outcome);
            splitter.discard_partial();
            response = resume(&mut attempts, splitter.last_id()).await?;
            next = attempts.next_chunk(&mut response, Wait::FirstByte).await;
            response.began();
        } else {
            next = attempts.next_chunk(&mut response, Wait::NextEvent).await;
        }
    }
}

/// Gets a response from a backend that resumes after the event `last_id`.
async fn resume(attempts: &mut Attempts, last_id: Option<u64>) -> Result<BackendResponse, Cut> {
    while attempts.may_run_again() {
        let response = attempts.next_response(last_id).await.map_err(|_| Cut)?;
        if response.is_valid() && response.is_event_stream() {
            return Ok(response);
        }
        let failed = response.status.is_server_error();
        response.abandon(if failed {
            Outcome::Failed
        } else {
            Outcome::Broken
        });
    }
    Err(Cut)
}
