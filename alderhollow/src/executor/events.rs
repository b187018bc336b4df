//! Reads an item's response: server-sent events (`text/event-stream`) in chunks with arbitrary boundaries. Only complete
//! events count; a truncated event is discarded, as the next run resumes after the last complete one.

use crate::exchange::events::MAX_EVENT_BYTES;

/// The events of an item received so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transcript {
    /// Id of the last complete event.
    pub last_id: Option<u64>,
    /// The data of all complete events in order, separated by line feeds.
    pub text: String,
    /// Number of complete events.
    pub events: u64,
}

/// Why a chunk is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// Larger than [`MAX_EVENT_BYTES`].
    #[error("an event exceeds the maximum size")]
    TooLarge,
    /// The id is missing, not a number, or not greater than the previous one.
    #[error("an event id is missing, not a number or does not increase")]
    Id,
    /// The event is not valid UTF-8.
    #[error("an event is not valid UTF-8")]
    Utf8,
}

/// Parses the chunks of a run, which may resume an earlier run.
#[derive(Debug, Default)]
pub struct EventReader {
    transcript: Transcript,
    partial: Vec<u8>,
    scanned: usize,
}

impl EventReader {
    /// Resumes after the events of earlier runs.
    pub fn after(transcript: Transcript) -> EventReader {
        EventReader {
            transcript,
            partial: Vec::new(),
            scanned: 0,
        }
    }

    /// Parses the next chunk.
    ///
    /// # Errors
    /// The stream violates the event format or its limits.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), EventError> {
        self.partial.extend_from_slice(chunk);
        while let Some((length, next)) = self.end_of_event() {
            let event: Vec<u8> = self.partial.drain(..next).take(length).collect();
            self.scanned = 0;
            self.add_event(&event)?;
        }
        match self.partial.len() > MAX_EVENT_BYTES {
            true => Err(EventError::TooLarge),
            false => Ok(()),
        }
    }

    /// The complete events.
    pub fn transcript(&self) -> &Transcript {
        &self.transcript
    }

    /// Discards a partial event and returns the complete ones.
    pub fn into_transcript(self) -> Transcript {
        self.transcript
    }

    /// Whether the stream so far ends at an event boundary.
    pub fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }

    /// Finds the empty line that ends the first event; returns the event's length and the offset of the next one.
    fn end_of_event(&mut self) -> Option<(usize, usize)> {
        let mut line_start = self.scanned;
        loop {
            let rest = self.partial.get(line_start..)?;
            let length = rest.iter().position(|byte| *byte == b'\n')?;
            let line = rest.get(..length)?;
            let next = line_start + length + 1;
            if line.is_empty() || line == b"\r" {
                return Some((line_start, next));
            }
            line_start = next;
            self.scanned = next;
        }
    }

    fn add_event(&mut self, event: &[u8]) -> Result<(), EventError> {
        let event = std::str::from_utf8(event).map_err(|_| EventError::Utf8)?;
        let mut id = None;
        let mut data: Option<String> = None;
        for line in event.lines() {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => id = Some(value.trim().parse::<u64>().map_err(|_| EventError::Id)?),
                "data" => match &mut data {
                    None => data = Some(value.to_string()),
                    Some(text) => {
                        text.push('\n');
                        text.push_str(value);
                    }
                },
                _ => {}
            }
        }
        // A block of only comments and unknown fields is not an event.
        match (id, data) {
            (None, None) => Ok(()),
            (id, data) => self.append(id, data.unwrap_or_default()),
        }
    }

    fn append(&mut self, id: Option<u64>, data: String) -> Result<(), EventError> {
        let id = id.ok_or(EventError::Id)?;
        let transcript = &mut self.transcript;
        if transcript.last_id.is_some_and(|last| id <= last) {
            return Err(EventError::Id);
        }
        if transcript.events > 0 {
            transcript.text.push('\n');
        }
        transcript.text.push_str(&data);
        transcript.last_id = Some(id);
        transcript.events += 1;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
