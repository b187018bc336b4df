//! A backend on loopback that answers items as its script says.
// Each test file uses a part of this.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What the backend does with one request.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    /// The events from the one that is asked for on, to the end.
    Whole,
    /// As [`Reply::Whole`], cut after so many bytes of events.
    CutAfter(usize),
    /// As [`Reply::Whole`], but its end is told by closing the connection alone.
    Undelimited,
    /// As [`Reply::Whole`], without the backend's seal.
    Unsealed,
    /// From the first event on, whatever is asked for.
    FromTheStart,
    /// A status without events.
    Status(u16),
    /// The same; the next request on its connection gets this answer once more, before its own.
    StatusTwice(u16),
    /// A status with a part of its body, then the end of the connection.
    TruncatedStatus(u16),
    /// A status whose body ends with the connection.
    UndelimitedStatus(u16),
    /// 503 with `Not-Executed`.
    NotExecuted,
    /// The same; the next request on its connection gets this answer once more, before its own.
    NotExecutedTwice,
    /// 421 of another instance.
    OtherInstance,
    /// 421 of weights of this version.
    OtherWeights(u64),
    /// An answer to another request.
    Surplus,
    /// A head with `{events}` in place of its body, as it is, then the end of the connection.
    Raw(String),
    /// The connection closes without an answer.
    Reset,
    /// Nothing, ever.
    Silence,
}

/// One request as it came.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Request {
    pub head: String,
    pub body: Vec<u8>,
}

impl Request {
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let lines = self.head.lines().skip(1);
        let mut pairs = lines.filter_map(|line| line.split_once(':'));
        let found = pairs.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim().to_string())
    }

    /// Input and output tokens, by `Token-Usage`.
    fn tokens(&self) -> u64 {
        let usage = self.header("token-usage").unwrap_or_default();
        let counts = usage.split(',').map(|count| count.trim().parse::<u64>());
        counts.filter_map(Result::ok).sum()
    }
}

/// Data of the events of each item.
pub(crate) const EVENTS: [&str; 4] = ["one", "", "three \u{e4}", "four"];

/// What an item's whole text is.
pub(crate) fn whole_text() -> String {
    EVENTS.join("\n")
}

/// The events from one id on.
pub(crate) fn events_from(first: usize) -> String {
    let numbered = EVENTS
        .iter()
        .enumerate()
        .map(|(index, data)| (index + 1, data));
    let wanted = numbered.filter(|(id, _)| *id >= first);
    wanted
        .map(|(id, data)| format!("id: {id}\ndata: {data}\n\n"))
        .collect()
}

#[derive(Default)]
struct Shared {
    /// Version of the weights; 0: any version is expected, and none is told.
    weights: Cell<u64>,
    /// Tokens of the largest request that it takes; `None` without a limit.
    max_tokens: Cell<Option<u64>>,
    script: RefCell<VecDeque<Reply>>,
    requests: RefCell<Vec<Request>>,
    closed: RefCell<usize>,
    changed: Notify,
}

/// The backend. Once its script is over it answers [`Reply::Whole`].
#[derive(Clone)]
pub(crate) struct BatchBackend {
    pub address: SocketAddr,
    shared: Rc<Shared>,
}

impl BatchBackend {
    /// Starts it within the current `LocalSet`.
    pub(crate) async fn start(script: Vec<Reply>) -> BatchBackend {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Rc::new(Shared {
            script: RefCell::new(script.into()),
            ..Shared::default()
        });
        let serving = shared.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve(stream, serving.clone()));
            }
        });
        BatchBackend { address, shared }
    }

    /// Has weights of this version from now on, and declines requests that expect another one.
    pub(crate) fn set_weights(&self, version: u64) {
        self.shared.weights.set(version);
    }

    /// Declines requests of more tokens from now on.
    pub(crate) fn set_max_tokens(&self, tokens: u64) {
        self.shared.max_tokens.set(Some(tokens));
    }

    pub(crate) fn requests(&self) -> Vec<Request> {
        self.shared.requests.borrow().clone()
    }

    /// Waits until so many requests have come.
    pub(crate) async fn until_requests(&self, count: usize) {
        loop {
            let changed = self.shared.changed.notified();
            if self.shared.requests.borrow().len() >= count {
                return;
            }
            changed.await;
        }
    }

    /// Waits until so many connections were closed by the other side while they were silent.
    pub(crate) async fn until_closed(&self, count: usize) {
        loop {
            let changed = self.shared.changed.notified();
            if *self.shared.closed.borrow() >= count {
                return;
            }
            changed.await;
        }
    }
}

async fn serve(mut stream: TcpStream, shared: Rc<Shared>) {
    let mut bytes = Vec::new();
    let mut surplus: Option<(Reply, String)> = None;
    while let Some(request) = read_request(&mut stream, &mut bytes).await {
        let weights = shared.weights.get();
        if request.head.starts_with("GET /alderhollow/report ") {
            let body = format!(r#"{{"models":[{{"name":"m","config-version":{weights}}}]}}"#);
            let length = body.len();
            let report = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            let _ = stream.write_all(report.as_bytes()).await;
            return;
        }
        let expected = request.header("expect-version");
        let is_other_version =
            weights > 0 && expected.is_some_and(|version| version != weights.to_string());
        let id = request.header("request-id").unwrap_or_default();
        let tokens = request.tokens();
        let first = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .map_or(1, |id: usize| id + 1);
        shared.requests.borrow_mut().push(request);
        let is_too_large = shared.max_tokens.get().is_some_and(|max| tokens > max);
        let reply = match (is_too_large, is_other_version) {
            (true, _) => Reply::NotExecuted,
            (_, true) => Reply::OtherWeights(weights),
            _ => {
                let next = shared.script.borrow_mut().pop_front();
                next.unwrap_or(Reply::Whole)
            }
        };
        shared.changed.notify_waiters();
        if let Some((earlier, earlier_id)) = surplus.take() {
            answer(&mut stream, &earlier, &earlier_id, 1, &shared).await;
        }
        if matches!(reply, Reply::StatusTwice(_) | Reply::NotExecutedTwice) {
            surplus = Some((reply.clone(), id.clone()));
        }
        let stays = answer(&mut stream, &reply, &id, first, &shared).await;
        if !stays {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_string();
            let request = Request {
                head,
                body: Vec::new(),
            };
            let length = request
                .header("content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                bytes.drain(..end + 4 + length);
                return Some(Request { body, ..request });
            }
        }
        if stream.read_buf(bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// Answers one request. Tells whether the connection stays.
async fn answer(
    stream: &mut TcpStream,
    reply: &Reply,
    id: &str,
    first: usize,
    shared: &Shared,
) -> bool {
    let seal = "Response-Seal: 3e1b.07\r\n";
    let stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    let events = events_from(first);
    let text = match reply {
        Reply::Whole => {
            format!(
                "{stream_head}Request-Id: {id}\r\n{seal}Transfer-Encoding: chunked\r\n\r\n{}",
                chunks(&events)
            )
        }
        Reply::FromTheStart => {
            let events = events_from(1);
            format!(
                "{stream_head}Request-Id: {id}\r\n{seal}Transfer-Encoding: chunked\r\n\r\n{}",
                chunks(&events)
            )
        }
        Reply::CutAfter(count) => {
            let cut = chunk(&String::from_utf8_lossy(
                &events.as_bytes()[..(*count).min(events.len())],
            ));
            format!(
                "{stream_head}Request-Id: {id}\r\n{seal}Transfer-Encoding: chunked\r\n\r\n{cut}"
            )
        }
        Reply::Undelimited => {
            format!("{stream_head}Request-Id: {id}\r\n{seal}Connection: close\r\n\r\n{events}")
        }
        Reply::Unsealed => {
            format!(
                "{stream_head}Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n{}",
                chunks(&events)
            )
        }
        Reply::Status(status) | Reply::StatusTwice(status) => {
            format!(
                "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\n{seal}Content-Length: 2\r\n\r\nno"
            )
        }
        Reply::TruncatedStatus(status) => {
            format!(
                "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\n{seal}Content-Length: 10\r\n\r\nno "
            )
        }
        Reply::UndelimitedStatus(status) => {
            format!(
                "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\n{seal}Connection: close\r\n\r\nno"
            )
        }
        Reply::NotExecuted | Reply::NotExecutedTwice => {
            format!("HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        }
        Reply::OtherInstance => {
            format!("HTTP/1.1 421 No\r\nRequest-Id: {id}\r\nInstance-Id: i-x\r\nContent-Length: 0\r\n\r\n")
        }
        Reply::OtherWeights(version) => {
            format!("HTTP/1.1 421 No\r\nRequest-Id: {id}\r\nVersions: {version}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        }
        Reply::Surplus => {
            format!("{stream_head}Request-Id: other\r\n{seal}Content-Length: 0\r\n\r\n")
        }
        Reply::Raw(text) => text
            .replace("{id}", id)
            .replace("{seal}", seal)
            .replace("{events}", &chunks(&events)),
        Reply::Reset => return false,
        Reply::Silence => {
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
            *shared.closed.borrow_mut() += 1;
            shared.changed.notify_waiters();
            return false;
        }
    };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    !matches!(
        reply,
        Reply::CutAfter(_)
            | Reply::Undelimited
            | Reply::TruncatedStatus(_)
            | Reply::UndelimitedStatus(_)
            | Reply::Raw(_)
    )
}

/// The whole text in chunks, and their end.
fn chunks(events: &str) -> String {
    let pieces: String = events.split_inclusive("\n\n").map(chunk).collect();
    format!("{pieces}0\r\n\r\n")
}

fn chunk(text: &str) -> String {
    match text.is_empty() {
        true => String::new(),
        false => format!("{:x}\r\n{text}\r\n", text.len()),
    }
}
