//! Chunked bodies (RFC 9112, section 7.1).

use super::lines::LineBuffer;
use crate::malformed::MalformedResponse;

/// Maximum size of the line that begins a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;
/// The end of a chunk's data: CR LF.
const CHUNK_END_BYTES: usize = 2;
/// Maximum size of the trailer section.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
const MAX_TRAILER_FIELDS: usize = 100;

/// The part of a chunked body that is read next.
#[derive(Debug, Clone, Copy, Default)]
enum Part {
    #[default]
    SizeLine,
    Data {
        left: u64,
    },
    DataEnd,
    Trailers,
}

/// Follows a chunked body to its end.
#[derive(Debug, Default)]
pub(super) struct ChunkedBody {
    part: Part,
    lines: LineBuffer,
}

impl ChunkedBody {
    /// Takes in bytes of the body. Returns how many, and whether the body is complete.
    pub(super) fn take(&mut self, input: &[u8]) -> Result<(usize, bool), MalformedResponse> {
        match self.part {
            Part::SizeLine => self.take_size_line(input),
            Part::Data { left } => Ok((self.take_data(input, left), false)),
            Part::DataEnd => self.take_data_end(input),
            Part::Trailers => self.take_trailers(input),
        }
    }

    fn take_size_line(&mut self, input: &[u8]) -> Result<(usize, bool), MalformedResponse> {
        let too_large = MalformedResponse::ChunkExtension;
        let (taken, is_complete) = self
            .lines
            .take_line(input, MAX_CHUNK_LINE_BYTES, too_large)?;
        if is_complete {
            let size = chunk_size(self.lines.last_line())?;
            self.lines.clear();
            self.part = match size {
                0 => Part::Trailers,
                left => Part::Data { left },
            };
        }
        Ok((taken, false))
    }

    fn take_data(&mut self, input: &[u8], left: u64) -> usize {
        let taken = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        self.part = match left - taken as u64 {
            0 => Part::DataEnd,
            left => Part::Data { left },
        };
        taken
    }

    fn take_data_end(&mut self, input: &[u8]) -> Result<(usize, bool), MalformedResponse> {
        let too_large = MalformedResponse::ChunkEnd;
        let (taken, is_complete) = self.lines.take_line(input, CHUNK_END_BYTES, too_large)?;
        if is_complete {
            self.lines.clear();
            self.part = Part::SizeLine;
        }
        Ok((taken, false))
    }

    fn take_trailers(&mut self, input: &[u8]) -> Result<(usize, bool), MalformedResponse> {
        let too_large = MalformedResponse::Trailer;
        let (taken, is_complete) = self.lines.take_line(input, MAX_TRAILER_BYTES, too_large)?;
        let is_last = is_complete && self.lines.last_line().is_empty();
        if is_last {
            check_trailers(self.lines.lines())?;
        }
        Ok((taken, is_last))
    }
}

/// The size that begins a chunk's line; only an extension may follow it.
fn chunk_size(line: &[u8]) -> Result<u64, MalformedResponse> {
    let digit_count = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let (digits, extensions) = line.split_at(digit_count.count());
    let digits = std::str::from_utf8(digits).map_err(|_| MalformedResponse::ChunkSize)?;
    let size = u64::from_str_radix(digits, 16).map_err(|_| MalformedResponse::ChunkSize)?;
    if are_extensions(extensions) {
        Ok(size)
    } else {
        Err(MalformedResponse::ChunkExtension)
    }
}

/// Whether these are extensions: each is a semicolon, a name and, if it has one, a value.
fn are_extensions(mut rest: &[u8]) -> bool {
    while !rest.is_empty() {
        let Some(after) = after_extension(rest) else {
            return false;
        };
        rest = after;
    }
    true
}

/// What follows the extension that `rest` begins with.
fn after_extension(rest: &[u8]) -> Option<&[u8]> {
    let name = after_blanks(rest).strip_prefix(b";")?;
    let after_name = after_token(after_blanks(name))?;
    let Some(value) = after_blanks(after_name).strip_prefix(b"=") else {
        return Some(after_name);
    };
    let value = after_blanks(value);
    match value.strip_prefix(b"\"") {
        Some(quoted) => after_quoted(quoted),
        None => after_token(value),
    }
}

/// Without the spaces and tabs that `rest` begins with.
fn after_blanks(mut rest: &[u8]) -> &[u8] {
    while let [b' ' | b'\t', after @ ..] = rest {
        rest = after;
    }
    rest
}

/// What follows the token that `rest` begins with.
fn after_token(rest: &[u8]) -> Option<&[u8]> {
    let length = rest.iter().take_while(|byte| is_token_byte(**byte)).count();
    rest.get(length..).filter(|_| length > 0)
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// What follows the quoted string that begins before `rest`.
fn after_quoted(mut rest: &[u8]) -> Option<&[u8]> {
    loop {
        rest = match rest {
            [b'"', after @ ..] => return Some(after),
            [b'\\', escaped, after @ ..] if is_text_byte(*escaped) => after,
            [b'\\', ..] | [] => return None,
            [byte, after @ ..] if is_text_byte(*byte) => after,
            _ => return None,
        };
    }
}

/// A byte of text: a blank, a printable one, or one beyond ASCII.
fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}

fn check_trailers(section: &[u8]) -> Result<(), MalformedResponse> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_TRAILER_FIELDS];
    match httparse::parse_headers(section, &mut fields) {
        Ok(httparse::Status::Complete((length, _))) if length == section.len() => Ok(()),
        _ => Err(MalformedResponse::Trailer),
    }
}
