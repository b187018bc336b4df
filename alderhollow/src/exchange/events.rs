//! Cuts a series of events (`text/event-stream`) into whole ones, for a stream that another backend may go on with: only
//! whole events are passed on, and the bytes of each stay as they came.

use hyper::body::Bytes;
use thiserror::Error;

/// Largest event that is held until it is whole; a longer one is no answer of a backend.
pub const LARGEST_EVENT_BYTES: usize = 1024 * 1024;

/// Why a piece can't belong to the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EventError {
    /// Larger than [`LARGEST_EVENT_BYTES`].
    #[error("an event is too large")]
    TooLarge,
    /// Its id is no number, or not above the last one.
    #[error("an event's id does not rise")]
    Id,
}

/// Takes pieces cut anywhere, gives whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of the event that is not whole yet, and how many of them are lines that were looked at.
    partial: Vec<u8>,
    scanned: usize,
    /// Id that the event which is not whole yet has named.
    next_id: Option<u64>,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A stream whose reader has all events up to `last_id`.
    pub fn after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter {
            last_id,
            ..EventSplitter::default()
        }
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes the next piece and gives the events that are whole by now, perhaps none.
    ///
    /// # Errors
    /// The stream is none that may be passed on. Events before the fault in this piece are lost, and not counted.
    pub fn push(&mut self, piece: Bytes) -> Result<Bytes, EventError> {
        // As a rule a piece holds whole events, and goes on as it is.
        if self.partial.is_empty() {
            let (whole, scanned) = self.scan(&piece, 0)?;
            self.scanned = scanned - whole;
            self.partial
                .extend_from_slice(piece.get(whole..).unwrap_or_default());
            return self.bounded(piece.slice(..whole));
        }
        let mut bytes = std::mem::take(&mut self.partial);
        bytes.extend_from_slice(&piece);
        let (whole, scanned) = self.scan(&bytes, self.scanned)?;
        self.scanned = scanned - whole;
        self.partial = bytes.split_off(whole);
        self.bounded(bytes.into())
    }

    /// The stream has ended in order: what is left of it.
    pub fn finish(&mut self) -> Bytes {
        self.drop_partial_into()
    }

    /// The stream was cut off: its partial event is dropped, and another run goes on behind the last whole one.
    pub fn discard_partial(&mut self) {
        self.drop_partial_into();
    }

    fn drop_partial_into(&mut self) -> Bytes {
        self.scanned = 0;
        self.next_id = None;
        std::mem::take(&mut self.partial).into()
    }

    fn bounded(&self, whole: Bytes) -> Result<Bytes, EventError> {
        match self.partial.len() > LARGEST_EVENT_BYTES {
            true => Err(EventError::TooLarge),
            false => Ok(whole),
        }
    }

    /// Looks at the lines from `at` on: where the last whole event ends, and where the last whole line does.
    fn scan(&mut self, bytes: &[u8], at: usize) -> Result<(usize, usize), EventError> {
        let mut line_start = at;
        let mut whole = 0;
        let mut last_id = self.last_id;
        while let Some(rest) = bytes.get(line_start..) {
            let Some(length) = rest.iter().position(|byte| *byte == b'\n') else {
                break;
            };
            let line = rest.get(..length).unwrap_or_default();
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            line_start += length + 1;
            if line.is_empty() {
                whole = line_start;
                last_id = self.next_id.take().or(last_id);
            } else if let Some(value) = line.strip_prefix(b"id:") {
                let id = read_id(value).filter(|id| last_id.is_none_or(|last| last < *id));
                self.next_id = Some(id.ok_or(EventError::Id)?);
            }
        }
        self.last_id = last_id;
        Ok((whole, line_start))
    }
}

fn read_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
