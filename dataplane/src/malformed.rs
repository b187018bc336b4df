//! Why a peer's bytes form no response (RFC 9112).

use thiserror::Error;

/// The rule that a response breaks. Nothing of such a response may be used, and its connection carries nothing else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MalformedResponse {
    /// A line ends with a bare line feed, or a carriage return stands within one (section 2.2). A sender must not write
    /// either, and two readers that treat them differently see two different responses.
    #[error("a line of the response does not end with CR LF")]
    LineEnd,
    /// The head is larger than what a connection reads of one.
    #[error(
        "the head is larger than {} bytes",
        crate::response_check::MAX_HEAD_BYTES
    )]
    HeadTooLarge,
    /// The first line is no status line of HTTP/1.0 or HTTP/1.1 (section 4).
    #[error("the first line is no status line of HTTP/1.0 or HTTP/1.1")]
    StatusLine,
    /// The status is outside of 100 to 599 (RFC 9110, section 15), or 101 without a request for another protocol.
    #[error("the status {0:03} is none that can answer the request")]
    Status(u16),
    /// A line of the head is no field: its name is missing or no token, or the line has no colon (section 5).
    #[error("a line of the head is no field")]
    FieldName,
    /// The value of a field holds a control byte (RFC 9110, section 5.5).
    #[error("the value of a field holds a control byte")]
    FieldValue,
    /// More fields than a connection reads.
    #[error("the head has more than {} fields", crate::response_check::MAX_FIELDS)]
    TooManyFields,
    /// `Content-Length` is not one decimal number (RFC 9110, section 8.6).
    #[error("`Content-Length` is not one decimal number")]
    ContentLength,
    /// `Transfer-Encoding` is anything but `chunked`, the only coding that a request here allows (section 7), or stands
    /// in a response of HTTP/1.0 (section 6.1).
    #[error("`Transfer-Encoding` is not exactly `chunked`, or the response is one of HTTP/1.0")]
    TransferEncoding,
    /// Both `Content-Length` and `Transfer-Encoding` are there (section 6.3).
    #[error("`Content-Length` and `Transfer-Encoding` contradict each other")]
    ConflictingLengths,
    /// A response that cannot have a body, 1xx or 204, states one (section 6).
    #[error("a response with status {0} states a body")]
    UnexpectedBody(u16),
    /// A chunk does not begin with its size as a hexadecimal number (section 7.1).
    #[error("a chunk does not begin with its size")]
    ChunkSize,
    /// What follows a chunk's size is no extension (section 7.1.1).
    #[error("what follows a chunk's size is no extension")]
    ChunkExtension,
    /// A chunk is followed by something else than the end of its line (section 7.1).
    #[error("a chunk is longer than its size")]
    ChunkEnd,
    /// What follows the last chunk is no trailer section (section 7.1.2).
    #[error("what follows the last chunk is no trailer section")]
    Trailer,
    /// The HTTP library has found a part of a line that can't be read, before the line was complete.
    #[error("a part of the response can't be read")]
    Unreadable,
}
