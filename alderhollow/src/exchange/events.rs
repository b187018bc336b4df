//! Splits server-sent events (`text/event-stream`) at event boundaries. Only complete events are forwarded, byte for
//! byte, so that another backend can resume the stream.

use hyper::body::Bytes;
use thiserror::Error;

/// Maximum size of a buffered event; a backend never sends a larger one.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a chunk is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EventError {
    /// Larger than [`MAX_EVENT_BYTES`].
    #[error("an event exceeds the maximum size")]
    TooLarge,
    /// The id is not a number or not greater than the previous one.
    #[error("an event id is not a number or does not increase")]
    Id,
}

/// Turns chunks with arbitrary boundaries into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of the incomplete event.
    partial: Vec<u8>,
    /// Length of the lines in `partial` that are already scanned.
    scanned: usize,
    /// Id of the incomplete event, if its `id` line has been read.
    next_id: Option<u64>,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Starts after `last_id`, the last event that the reader has received.
    pub fn after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter {
            last_id,
            ..EventSplitter::default()
        }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Consumes the next chunk and returns the events that are now complete, possibly none.
    ///
    /// # Errors
    /// The stream must not be forwarded. Events before the error in this chunk are discarded and not counted.
    pub fn push(&mut self, chunk: Bytes) -> Result<Bytes, EventError> {
        // Usually a chunk holds complete events and is forwarded without a copy.
        if self.partial.is_empty() {
            let (complete, scanned) = self.scan(&chunk, 0)?;
            self.scanned = scanned - complete;
            self.partial
                .extend_from_slice(chunk.get(complete..).unwrap_or_default());
            return self.check_size(chunk.slice(..complete));
        }
        let mut bytes = std::mem::take(&mut self.partial);
        bytes.extend_from_slice(&chunk);
        let (complete, scanned) = self.scan(&bytes, self.scanned)?;
        self.scanned = scanned - complete;
        self.partial = bytes.split_off(complete);
        self.check_size(bytes.into())
    }

    /// Returns the remaining bytes after the regular end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.take_partial()
    }

    /// Discards the partial event of an interrupted stream; another run resumes after the last complete event.
    pub fn discard_partial(&mut self) {
        self.take_partial();
    }

    fn take_partial(&mut self) -> Bytes {
        self.scanned = 0;
        self.next_id = None;
        std::mem::take(&mut self.partial).into()
    }

    fn check_size(&self, complete: Bytes) -> Result<Bytes, EventError> {
        match self.partial.len() > MAX_EVENT_BYTES {
            true => Err(EventError::TooLarge),
            false => Ok(complete),
        }
    }

    /// Scans the lines from `at` on; returns the end offsets of the last complete event and of the last complete line.
    fn scan(&mut self, bytes: &[u8], at: usize) -> Result<(usize, usize), EventError> {
        let mut line_start = at;
        let mut complete = 0;
        let mut last_id = self.last_id;
        while let Some(rest) = bytes.get(line_start..) {
            let Some(length) = rest.iter().position(|byte| *byte == b'\n') else {
                break;
            };
            let line = rest.get(..length).unwrap_or_default();
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            line_start += length + 1;
            if line.is_empty() {
                complete = line_start;
                last_id = self.next_id.take().or(last_id);
            } else if let Some(value) = line.strip_prefix(b"id:") {
                let id = read_id(value).filter(|id| last_id.is_none_or(|last| last < *id));
                self.next_id = Some(id.ok_or(EventError::Id)?);
            }
        }
        self.last_id = last_id;
        Ok((complete, line_start))
    }
}

fn read_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
