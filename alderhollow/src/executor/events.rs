//! Reads an item's answer: a series of events (`text/event-stream`), cut into pieces anywhere. Only whole events count; an
//! event that was cut off is dropped, as the next run begins after the last whole one.

use crate::exchange::events::MAX_EVENT_BYTES;

/// What a run of an item brought so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transcript {
    /// Id of the last whole event.
    pub last_id: Option<u64>,
    /// The data of all whole events in order, parted by line feeds.
    pub text: String,
    /// Number of whole events.
    pub events: u64,
}

/// Why a piece can't belong to the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// Larger than [`MAX_EVENT_BYTES`].
    #[error("an event is too large")]
    TooLarge,
    /// Its id is missing, no number, or not above the last one.
    #[error("an event's id is missing or does not rise")]
    Id,
    /// Its data is no text.
    #[error("an event is no text")]
    Text,
}

/// Puts a run's pieces together. Begins where an earlier run ended.
#[derive(Debug, Default)]
pub struct EventReader {
    transcript: Transcript,
    partial: Vec<u8>,
    scanned: usize,
}

impl EventReader {
    /// Continues what earlier runs brought.
    pub fn after(transcript: Transcript) -> EventReader {
        EventReader {
            transcript,
            partial: Vec::new(),
            scanned: 0,
        }
    }

    /// Takes the next piece of the answer.
    ///
    /// # Errors
    /// The stream breaks the format of events, or its limits.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), EventError> {
        self.partial.extend_from_slice(piece);
        while let Some((length, next)) = self.end_of_event() {
            let event: Vec<u8> = self.partial.drain(..next).take(length).collect();
            self.scanned = 0;
            self.take(&event)?;
        }
        match self.partial.len() > MAX_EVENT_BYTES {
            true => Err(EventError::TooLarge),
            false => Ok(()),
        }
    }

    /// What the whole events hold.
    pub fn transcript(&self) -> &Transcript {
        &self.transcript
    }

    /// Drops a partial event and gives what the whole ones hold.
    pub fn into_transcript(self) -> Transcript {
        self.transcript
    }

    /// Whether the answer so far ends between two events.
    pub fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }

    /// Length of the first event, and where the next one begins: after an empty line.
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

    fn take(&mut self, event: &[u8]) -> Result<(), EventError> {
        let event = std::str::from_utf8(event).map_err(|_| EventError::Text)?;
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
        // Comments and other lines alone are no event.
        match (id, data) {
            (None, None) => Ok(()),
            (id, data) => self.add(id, data.unwrap_or_default()),
        }
    }

    fn add(&mut self, id: Option<u64>, data: String) -> Result<(), EventError> {
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
