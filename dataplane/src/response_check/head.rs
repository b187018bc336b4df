//! What the head of a response says of its body (RFC 9112, sections 4 to 6).

use super::MAX_FIELDS;
use crate::malformed::MalformedResponse;
use httparse::{Error as ParseError, Header, Status};
use hyper::{Method, StatusCode};

const CHUNKED: &[u8] = b"chunked";
/// The statuses that RFC 9110, section 15, defines classes for.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;
const HTTP_1_0: u8 = 0;

/// Where a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    LastChunk,
    /// With the connection.
    Close,
}

/// A well-formed head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Head {
    /// Another head follows.
    Interim,
    /// The body follows.
    Final(BodyEnd),
}

/// Reads a complete head, with its blank line, of a response to a request with this method.
pub(super) fn parse(head: &[u8], method: &Method) -> Result<Head, MalformedResponse> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    // A parser may pass over blank lines before the status line, which belong to no response.
    let is_complete = !head.starts_with(b"\r\n")
        && matches!(response.parse(head)?, Status::Complete(length) if length == head.len());
    let (Some(version), Some(status), true) = (response.version, response.code, is_complete) else {
        return Err(MalformedResponse::StatusLine);
    };
    if !STATUSES.contains(&status) || status == StatusCode::SWITCHING_PROTOCOLS.as_u16() {
        return Err(MalformedResponse::Status(status));
    }
    let framing = Framing::read(version, response.headers)?;
    match status {
        100..=199 => framing.without_body(status).map(|()| Head::Interim),
        204 => framing
            .without_body(status)
            .map(|()| Head::Final(BodyEnd::Length(0))),
        304 => Ok(Head::Final(BodyEnd::Length(0))),
        _ if *method == Method::HEAD => Ok(Head::Final(BodyEnd::Length(0))),
        200..=299 if *method == Method::CONNECT => Err(MalformedResponse::Status(status)),
        _ => Ok(Head::Final(framing.body_end())),
    }
}

/// The fields that tell where the body ends.
struct Framing {
    length: Option<u64>,
    is_chunked: bool,
}

impl Framing {
    fn read(version: u8, fields: &[Header<'_>]) -> Result<Framing, MalformedResponse> {
        let length = content_length(fields)?;
        let is_chunked = is_chunked(version, fields)?;
        if is_chunked && length.is_some() {
            return Err(MalformedResponse::ConflictingLengths);
        }
        Ok(Framing { length, is_chunked })
    }

    fn body_end(&self) -> BodyEnd {
        match (self.is_chunked, self.length) {
            (true, _) => BodyEnd::LastChunk,
            (false, Some(length)) => BodyEnd::Length(length),
            (false, None) => BodyEnd::Close,
        }
    }

    /// For a response that cannot have a body; `Content-Length: 0` states none.
    fn without_body(&self, status: u16) -> Result<(), MalformedResponse> {
        match (self.is_chunked, self.length) {
            (false, None | Some(0)) => Ok(()),
            _ => Err(MalformedResponse::UnexpectedBody(status)),
        }
    }
}

/// The values of all fields with a name.
fn values<'a>(fields: &'a [Header<'_>], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    let named = fields
        .iter()
        .filter(move |field| field.name.eq_ignore_ascii_case(name));
    named.map(|field| field.value.trim_ascii())
}

/// The length that all fields state alike. A list in one field is refused (RFC 9110, section 8.6, allows that): it could not
/// be forwarded as it is.
fn content_length(fields: &[Header<'_>]) -> Result<Option<u64>, MalformedResponse> {
    let mut length = None;
    for value in values(fields, "content-length") {
        let stated = decimal(value).ok_or(MalformedResponse::ContentLength)?;
        if length.is_some_and(|length| length != stated) {
            return Err(MalformedResponse::ContentLength);
        }
        length = Some(stated);
    }
    Ok(length)
}

/// A number of digits alone: `u64::from_str` would take a sign, too.
fn decimal(value: &[u8]) -> Option<u64> {
    let digits = value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| digits)?;
    text.parse().ok()
}

fn is_chunked(version: u8, fields: &[Header<'_>]) -> Result<bool, MalformedResponse> {
    let mut codings = values(fields, "transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let is_only = codings.next().is_none();
    if is_only && coding.eq_ignore_ascii_case(CHUNKED) && version != HTTP_1_0 {
        return Ok(true);
    }
    Err(MalformedResponse::TransferEncoding)
}

impl From<ParseError> for MalformedResponse {
    fn from(error: ParseError) -> MalformedResponse {
        match error {
            ParseError::HeaderName => MalformedResponse::FieldName,
            ParseError::HeaderValue => MalformedResponse::FieldValue,
            ParseError::TooManyHeaders => MalformedResponse::TooManyFields,
            ParseError::NewLine => MalformedResponse::LineEnd,
            ParseError::Status | ParseError::Token | ParseError::Version => {
                MalformedResponse::StatusLine
            }
        }
    }
}
