//! The bytes of a failing backend's answers.

use super::plan::{AnswerKind, Framing, Workload};
use crate::raw_request::RequestHead;
use crate::{events, header};

const LONG_BODY_BYTES: usize = 100_000;
/// Number of events in the answer to an item.
pub const EVENTS: u64 = 6;

/// The body of the answer to a request that a backend has served.
pub fn answer_to(request_id: &str) -> String {
    format!("done {request_id}")
}

/// An answer of this kind.
pub(super) fn encode(
    kind: AnswerKind,
    framing: Framing,
    request: &RequestHead,
    workload: Workload,
) -> String {
    let body = body(kind, request, workload);
    let (framing, body) = match framing {
        Framing::Length => (format!("Content-Length: {}\r\n", body.len()), body),
        Framing::Chunked => ("Transfer-Encoding: chunked\r\n".to_string(), chunked(&body)),
        Framing::UntilClose => ("Connection: close\r\n".to_string(), body),
    };
    let (status, extra) = status_line(kind);
    format!(
        "HTTP/1.1 {status}\r\n{}: {}\r\n{extra}{}{framing}\r\n{body}",
        header::REQUEST_ID,
        request.id,
        content_type(kind, workload),
    )
}

/// The status and the header that goes with it.
fn status_line(kind: AnswerKind) -> (&'static str, String) {
    let sealed = format!("{}: s1\r\n", header::RESPONSE_SEAL);
    match kind {
        AnswerKind::Served => ("200 OK", sealed),
        AnswerKind::Failed => ("500 Failed", sealed),
        AnswerKind::Rejected => ("422 Rejected", sealed),
        AnswerKind::Declined => ("503 Full", format!("{}: 1\r\n", header::NOT_EXECUTED)),
        AnswerKind::Unavailable | AnswerKind::UnavailableAtLength => ("503 Unavailable", sealed),
    }
}

fn content_type(kind: AnswerKind, workload: Workload) -> &'static str {
    match (kind, workload) {
        (AnswerKind::Served, Workload::Items) => "Content-Type: text/event-stream\r\n",
        _ => "",
    }
}

fn body(kind: AnswerKind, request: &RequestHead, workload: Workload) -> String {
    match (kind, workload) {
        (AnswerKind::Served, Workload::Requests) => answer_to(&request.id),
        (AnswerKind::Served, Workload::Items) => {
            let first = request.last_event_id.unwrap_or(0) + 1;
            let encode = |id| events::encode(&request.id, id);
            (first..=EVENTS).map(encode).collect()
        }
        (AnswerKind::UnavailableAtLength, _) => "n".repeat(LONG_BODY_BYTES),
        _ => "no result".to_string(),
    }
}

fn chunked(body: &str) -> String {
    let (first, second) = body.split_at(body.len() / 2);
    let chunk = |part: &str| match part.len() {
        0 => String::new(),
        length => format!("{length:x}\r\n{part}\r\n"),
    };
    format!("{}{}0\r\n\r\n", chunk(first), chunk(second))
}
