//! Collects lines that end with CR LF from bytes that arrive in pieces.

use crate::malformed::MalformedResponse;

const LINE_END: &[u8] = b"\r\n";

/// Lines that have arrived, and the beginning of the next one.
#[derive(Debug, Default)]
pub(super) struct LineBuffer {
    bytes: Vec<u8>,
    /// Where the line begins that was read last, or that is being read.
    line_start: usize,
    is_line_complete: bool,
}

impl LineBuffer {
    /// Takes in bytes up to the end of a line. Returns how many, and whether the line is complete.
    ///
    /// # Errors
    /// The line ends without a carriage return, or the lines together are larger than `max_bytes`.
    pub(super) fn take_line(
        &mut self,
        input: &[u8],
        max_bytes: usize,
        too_large: MalformedResponse,
    ) -> Result<(usize, bool), MalformedResponse> {
        if std::mem::take(&mut self.is_line_complete) {
            self.line_start = self.bytes.len();
        }
        let line_feed = input.iter().position(|byte| *byte == b'\n');
        let taken = line_feed.map_or(input.len(), |position| position + 1);
        self.bytes
            .extend_from_slice(input.get(..taken).unwrap_or_default());
        if self.bytes.len() > max_bytes {
            return Err(too_large);
        }
        self.is_line_complete = line_feed.is_some();
        if self.is_line_complete && !self.bytes.ends_with(LINE_END) {
            return Err(MalformedResponse::LineEnd);
        }
        Ok((taken, self.is_line_complete))
    }

    /// The line that was completed last, without its end.
    pub(super) fn last_line(&self) -> &[u8] {
        let line = self.bytes.get(self.line_start..).unwrap_or_default();
        line.strip_suffix(LINE_END).unwrap_or(line)
    }

    /// All lines, with their ends.
    pub(super) fn lines(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether no byte of a line has arrived.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Drops all lines.
    pub(super) fn clear(&mut self) {
        *self = LineBuffer::default();
    }
}
