//! Passes an answer's body on as it comes. A stream that may be resumed goes on at another backend inside the one answer.

use super::body::ChunkSlot;
use super::tries::{Tries, Wait};
use crate::balance::Outcome;
use crate::exchange::events::EventSplitter;
use crate::exchange::response::BackendResponse;
use alderhollow_dataplane::flow::Cut;
use hyper::body::Bytes;
use std::rc::Rc;

/// Passes pieces on unchanged. An end that comes early is the answer's end for its client, too.
///
/// # Errors
/// The answer is not whole.
pub(super) async fn pass_pieces(
    tries: Tries,
    mut answer: BackendResponse,
    first: Bytes,
    slot: Rc<ChunkSlot>,
) -> Result<(), Cut> {
    slot.put(first).await;
    loop {
        match tries.next_piece(&mut answer, Wait::Rest).await {
            Ok(Some(piece)) => slot.put(piece).await,
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

/// Passes whole events on. Where a backend cuts its stream off, or falls silent, another one goes on behind the last
/// event that was passed on.
///
/// # Errors
/// No backend goes on: the stream is cut short.
pub(super) async fn pass_events(
    mut tries: Tries,
    mut answer: BackendResponse,
    first: Bytes,
    slot: Rc<ChunkSlot>,
) -> Result<(), Cut> {
    let mut cutter = EventSplitter::after(tries.job().outbound.last_event_id());
    let mut next = Ok(Some(first));
    loop {
        let lost = match next {
            Ok(Some(piece)) => match cutter.push(piece) {
                Ok(events) => {
                    slot.put(events).await;
                    None
                }
                Err(_) => Some(Outcome::Broken),
            },
            Ok(None) => {
                slot.put(cutter.finish()).await;
                answer.finish(Outcome::Served).await;
                return Ok(());
            }
            Err(outcome) => Some(outcome),
        };
        if let Some(outcome) = lost {
            answer.abandon(outcome);
            cutter.discard_partial();
            answer = resume(&mut tries, cutter.last_id()).await?;
            next = tries.next_piece(&mut answer, Wait::Beginning).await;
            answer.began();
        } else {
            next = tries.next_piece(&mut answer, Wait::NextEvent).await;
        }
    }
}

/// A backend that goes on behind the event.
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
