//! Reads a client's request whole, within the configuration's limits.

use super::body::ResponseBody;
use super::replies;
use alderhollow_model::config::Limits;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Bytes of a head that are no header: the version, spaces, line ends.
const REQUEST_LINE_BYTES: usize = 14;
/// Bytes of a header that are not its name or value.
const HEADER_BYTES: usize = 4;

/// Why a request is not taken in. None of these has gone to a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum IntakeError {
    /// The head is larger than the configuration allows.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body is.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body is no HTTP, or its client went away.
    #[error("the body is broken")]
    Broken,
    /// Nothing more of the body came in time.
    #[error("the body does not come")]
    Stalled,
    /// Bodies of other requests take all the room.
    #[error("no room for the body")]
    NoRoom,
}

impl IntakeError {
    /// What the client gets.
    pub(super) fn reply(self) -> Response<ResponseBody> {
        match self {
            IntakeError::HeadTooLarge => {
                replies::plain(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
            }
            IntakeError::BodyTooLarge => replies::plain(StatusCode::PAYLOAD_TOO_LARGE),
            IntakeError::Broken => replies::plain(StatusCode::BAD_REQUEST),
            IntakeError::Stalled => replies::plain(StatusCode::REQUEST_TIMEOUT),
            IntakeError::NoRoom => replies::come_again(replies::COME_AGAIN),
        }
    }
}

/// Bytes of bodies that may be here at once, over all requests.
pub(super) struct BodyRoom(Cell<usize>);

impl BodyRoom {
    /// Room for so many bytes.
    pub(super) fn new(bytes: usize) -> Rc<BodyRoom> {
        Rc::new(BodyRoom(Cell::new(bytes)))
    }
}

/// A part of the room, given back when it is dropped.
struct Taken {
    room: Rc<BodyRoom>,
    bytes: usize,
}

impl Taken {
    fn take(&mut self, bytes: usize) -> Result<(), IntakeError> {
        let left = self
            .room
            .0
            .get()
            .checked_sub(bytes)
            .ok_or(IntakeError::NoRoom)?;
        self.room.0.set(left);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.room.0.set(self.room.0.get() + self.bytes);
    }
}

/// A body that is here whole.
pub(super) struct Gathered {
    /// The bytes.
    pub bytes: Bytes,
    _taken: Taken,
}

/// Whether a head keeps to the limits.
///
/// # Errors
/// It does not, or it announces a body that does not.
pub(super) fn check_head(
    head: &Parts,
    body: &Incoming,
    limits: &Limits,
) -> Result<(), IntakeError> {
    if head_bytes(head) as u64 > limits.max_header_bytes {
        return Err(IntakeError::HeadTooLarge);
    }
    // The shortest that the body can be: what it announces.
    if body.size_hint().lower() > limits.max_body_bytes {
        return Err(IntakeError::BodyTooLarge);
    }
    Ok(())
}

fn head_bytes(head: &Parts) -> usize {
    let target = head
        .uri
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let line = head.method.as_str().len() + target + REQUEST_LINE_BYTES;
    line + header_bytes(&head.headers)
}

fn header_bytes(headers: &HeaderMap<HeaderValue>) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES)
        .sum()
}

/// Reads a body to its end.
///
/// # Errors
/// It does not come, or it may not be kept.
pub(super) async fn gather(
    mut body: Incoming,
    limits: &Limits,
    room: &Rc<BodyRoom>,
) -> Result<Gathered, IntakeError> {
    let stall = Duration::from_millis(limits.header_timeout_ms);
    let mut taken = Taken {
        room: room.clone(),
        bytes: 0,
    };
    let mut pieces: Vec<Bytes> = Vec::new();
    while !body.is_end_stream() {
        let frame = match timeout(stall, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(IntakeError::Broken),
            Err(_) => return Err(IntakeError::Stalled),
        };
        // Trailers speak of this connection alone.
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if (taken.bytes + piece.len()) as u64 > limits.max_body_bytes {
            return Err(IntakeError::BodyTooLarge);
        }
        taken.take(piece.len())?;
        pieces.push(piece);
    }
    let bytes = if pieces.len() == 1 {
        pieces.swap_remove(0)
    } else {
        pieces.concat().into()
    };
    Ok(Gathered {
        bytes,
        _taken: taken,
    })
}
