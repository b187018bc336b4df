//! Checks that what a peer sends is a whole, well-formed response (RFC 9112), byte by byte and before anything of it is
//! used. The rule is stricter than what HTTP libraries read: they accept a head that other readers would frame
//! differently, so that a damaged response would be taken for a complete one with another body.
//!
//! A state machine without I/O: it is told of requests and received bytes. Once a response is malformed, it stays so.
//!
//! Owns nothing of the connection. Used by [`crate::link`] for all peers.

mod chunks;
mod head;
mod lines;

use crate::malformed::MalformedResponse;
use chunks::ChunkedBody;
use head::{BodyEnd, Head};
use hyper::Method;
use lines::LineBuffer;

/// Maximum size of a head.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of fields of a head.
pub const MAX_FIELDS: usize = 100;

/// The part of a response that is read next.
#[derive(Debug)]
enum Part {
    /// Every request that was sent has its complete response.
    None,
    Head(LineBuffer),
    Length {
        left: u64,
    },
    Chunked(ChunkedBody),
    UntilClose,
    Malformed(MalformedResponse),
}

/// Follows the responses on one connection.
#[derive(Debug)]
pub struct ResponseCheck {
    part: Part,
    method: Method,
    /// Whether a byte has arrived that belongs to no response.
    has_surplus: bool,
}

impl Default for ResponseCheck {
    fn default() -> ResponseCheck {
        ResponseCheck {
            part: Part::None,
            method: Method::GET,
            has_surplus: false,
        }
    }
}

impl ResponseCheck {
    /// A request with this method is about to be sent. A former response that is incomplete stays so.
    pub fn on_request(&mut self, method: &Method) {
        if matches!(self.part, Part::None) {
            self.method = method.clone();
            self.part = Part::Head(LineBuffer::default());
        }
    }

    /// The peer has sent these bytes.
    ///
    /// # Errors
    /// They form no response. The connection must be closed, and nothing more of the response may be used.
    pub fn on_received(&mut self, mut bytes: &[u8]) -> Result<(), MalformedResponse> {
        while !bytes.is_empty() {
            let taken = self.take(bytes).inspect_err(|malformed| {
                self.part = Part::Malformed(*malformed);
            })?;
            bytes = bytes.get(taken..).unwrap_or_default();
        }
        Ok(())
    }

    /// Why the response is malformed, if it is.
    pub fn malformed(&self) -> Option<MalformedResponse> {
        match self.part {
            Part::Malformed(malformed) => Some(malformed),
            _ => None,
        }
    }

    /// Whether a byte of the final response to the last request has arrived.
    pub fn has_begun(&self) -> bool {
        !matches!(&self.part, Part::Head(lines) if lines.is_empty())
    }

    /// Whether the connection can carry another request: each response is complete, and nothing else has arrived.
    pub fn is_clean(&self) -> bool {
        matches!(self.part, Part::None) && !self.has_surplus
    }

    /// Takes in a part of the bytes; returns how many.
    fn take(&mut self, bytes: &[u8]) -> Result<usize, MalformedResponse> {
        match &mut self.part {
            Part::None => {
                self.has_surplus = true;
                Ok(bytes.len())
            }
            Part::UntilClose => Ok(bytes.len()),
            Part::Malformed(malformed) => Err(*malformed),
            Part::Head(_) => self.take_head_line(bytes),
            Part::Length { left } => {
                let taken = bytes
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                self.part = body_of_length(*left - taken as u64);
                Ok(taken)
            }
            Part::Chunked(body) => {
                let (taken, is_complete) = body.take(bytes)?;
                if is_complete {
                    self.part = Part::None;
                }
                Ok(taken)
            }
        }
    }

    fn take_head_line(&mut self, bytes: &[u8]) -> Result<usize, MalformedResponse> {
        let Part::Head(lines) = &mut self.part else {
            return Ok(0);
        };
        let too_large = MalformedResponse::HeadTooLarge;
        let (taken, is_complete) = lines.take_line(bytes, MAX_HEAD_BYTES, too_large)?;
        if is_complete && lines.last_line().is_empty() {
            self.part = match head::parse(lines.lines(), &self.method)? {
                Head::Interim => Part::Head(LineBuffer::default()),
                Head::Final(BodyEnd::Length(length)) => body_of_length(length),
                Head::Final(BodyEnd::LastChunk) => Part::Chunked(ChunkedBody::default()),
                Head::Final(BodyEnd::Close) => Part::UntilClose,
            };
        }
        Ok(taken)
    }
}

fn body_of_length(left: u64) -> Part {
    match left {
        0 => Part::None,
        left => Part::Length { left },
    }
}

#[cfg(test)]
mod tests;
