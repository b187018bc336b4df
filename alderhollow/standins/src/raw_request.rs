//! Requests that are read as bytes, for backends that act before a request is complete.

use crate::header;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// What a backend needs of a request's head to read on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The request's id.
    pub id: String,
    /// Length of its body in bytes, as the head announces it.
    pub body_length: usize,
    /// Id of the last event that the caller has of a stream.
    pub last_event_id: Option<u64>,
}

impl RequestHead {
    /// Reads until `buffer` begins with a complete head, and removes it from there. `None` if the connection ends before
    /// that, the request has no id, or its length is no number.
    pub async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<RequestHead> {
        loop {
            let end = buffer
                .windows(HEAD_END.len())
                .position(|window| window == HEAD_END);
            if let Some(end) = end {
                let head: Vec<u8> = buffer.drain(..end + HEAD_END.len()).collect();
                return RequestHead::parse(&String::from_utf8_lossy(&head));
            }
            if !matches!(stream.read_buf(buffer).await, Ok(1..)) {
                return None;
            }
        }
    }

    fn parse(head: &str) -> Option<RequestHead> {
        let length = header_value(head, "content-length").map(str::parse);
        Some(RequestHead {
            id: header_value(head, header::REQUEST_ID)?.to_string(),
            body_length: length.unwrap_or(Ok(0)).ok()?,
            last_event_id: header_value(head, header::LAST_EVENT_ID).and_then(|id| id.parse().ok()),
        })
    }
}

fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads until so many bytes are in `buffer`; returns whether they are.
pub async fn read_at_least(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> bool {
    while buffer.len() < length {
        if !matches!(stream.read_buf(buffer).await, Ok(1..)) {
            return false;
        }
    }
    true
}
