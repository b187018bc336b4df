//! How a backend answers one request.

use super::{Fault, Run, State};
use crate::events;
use crate::header;
use crate::http::{Piece, ServerBody, SurplusAnswer};
use crate::platform::{json, status_only};
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Events of a stream whose request does not tell how many tokens it wants.
const DEFAULT_EVENTS: u64 = 5;
/// Tokens that one event holds.
const TOKENS_PER_EVENT: u64 = 20;
/// Pieces that wait for a slow reader.
const STREAM_BUFFER: usize = 4;

/// Answer to `GET /alderhollow/report`.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Report {
    stage: &'static str,
    busy: bool,
    seq: u64,
    waiting: u32,
    running: u32,
    kv_used: u64,
    kv_total: u64,
    handles: u64,
    models: [ReportedModel; 1],
}

/// A model of a report.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ReportedModel {
    name: &'static str,
    config_version: u64,
}

/// Answers `request`.
pub(super) fn answer(state: &Rc<RefCell<State>>, request: Request<Bytes>) -> Response<ServerBody> {
    let path = request.uri().path();
    let mut answer = if path == state.borrow().settings.health_path {
        health(&state.borrow())
    } else if path == "/alderhollow/report" {
        report(&state.borrow())
    } else {
        answer_work(state, &request)
    };
    let headers = answer.headers_mut();
    let state = state.borrow();
    insert(
        headers,
        "keep-alive",
        &format!("timeout={}", state.settings.keep_alive_s),
    );
    if state.is_draining {
        insert(headers, "connection", "close");
    }
    if let Some(id) = header_text(&request, header::REQUEST_ID) {
        insert(headers, header::REQUEST_ID, id);
    }
    answer
}

fn health(state: &State) -> Response<ServerBody> {
    let status = if state.is_draining {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    let mut answer = status_only(status);
    insert(
        answer.headers_mut(),
        header::INSTANCE_ID,
        &state.settings.id,
    );
    answer
}

fn report(state: &State) -> Response<ServerBody> {
    json(&Report {
        stage: "both",
        busy: false,
        seq: 0,
        waiting: 0,
        running: state.running,
        kv_used: 0,
        kv_total: 0,
        handles: 0,
        models: [ReportedModel {
            name: "m",
            config_version: state.weights,
        }],
    })
}

/// Answers a client's request or an item.
fn answer_work(state: &Rc<RefCell<State>>, request: &Request<Bytes>) -> Response<ServerBody> {
    let Some(request_id) = header_text(request, header::REQUEST_ID) else {
        return not_executed(&mut state.borrow_mut(), StatusCode::BAD_REQUEST);
    };
    let target = header_text(request, header::TARGET_INSTANCE);
    if target.is_some_and(|id| id != state.borrow().settings.id) {
        return not_executed(&mut state.borrow_mut(), StatusCode::MISDIRECTED_REQUEST);
    }
    let weights = state.borrow().weights.to_string();
    let expected = header_text(request, header::EXPECT_VERSION);
    if expected.is_some_and(|version| version != weights) {
        return not_executed(&mut state.borrow_mut(), StatusCode::MISDIRECTED_REQUEST);
    }
    let fault = state.borrow_mut().faults.pop_front();
    let is_full = state.borrow().running >= state.borrow().settings.slots;
    if is_full || fault == Some(Fault::Refuse) {
        return not_executed(&mut state.borrow_mut(), StatusCode::SERVICE_UNAVAILABLE);
    }
    let work = Work::begin(state, request, request_id);
    match fault {
        Some(Fault::Fail) => work.end_with(StatusCode::INTERNAL_SERVER_ERROR),
        Some(Fault::FailTwice) => work.fail_twice(),
        Some(Fault::Reject) => work.end_with(StatusCode::UNPROCESSABLE_ENTITY),
        fault => work.stream(fault, event_count(request)),
    }
}

fn not_executed(state: &mut State, status: StatusCode) -> Response<ServerBody> {
    state.refused += 1;
    let mut answer = status_only(status);
    let headers = answer.headers_mut();
    insert(headers, header::NOT_EXECUTED, "1");
    insert(headers, header::VERSIONS, &state.weights.to_string());
    // The protocol does not promise the id here, so callers must do without it.
    if state.refused.is_multiple_of(2) {
        insert(headers, header::INSTANCE_ID, &state.settings.id);
    }
    answer
}

/// Events that a request's `Token-Usage` asks for.
pub(super) fn event_count(request: &Request<Bytes>) -> u64 {
    let tokens_out = header_text(request, header::TOKEN_USAGE)
        .and_then(|usage| usage.split_once(','))
        .and_then(|(_, out)| out.trim().parse::<u64>().ok());
    tokens_out.map_or(DEFAULT_EVENTS, |tokens| {
        tokens.div_ceil(TOKENS_PER_EVENT).max(1)
    })
}

/// A request that is being run. It gives its slot back when it is dropped.
struct Work {
    state: Rc<RefCell<State>>,
    /// Its place in the record of runs.
    run: usize,
    request_id: String,
    first_event: u64,
}

impl Work {
    fn begin(state: &Rc<RefCell<State>>, request: &Request<Bytes>, request_id: &str) -> Work {
        let last_event =
            header_text(request, header::LAST_EVENT_ID).and_then(|id| id.parse::<u64>().ok());
        let first_event = last_event.unwrap_or(0) + 1;
        let mut shared = state.borrow_mut();
        shared.running += 1;
        let run = shared.runs.len();
        shared.runs.push(Run {
            request_id: request_id.to_string(),
            path: request
                .uri()
                .path_and_query()
                .map(std::string::ToString::to_string)
                .unwrap_or_default(),
            body: request.body().to_vec(),
            first_event,
            named_instance: header_text(request, header::TARGET_INSTANCE).is_some(),
            started: Instant::now(),
            status: StatusCode::OK.as_u16(),
            is_whole: false,
        });
        drop(shared);
        Work {
            state: state.clone(),
            run,
            request_id: request_id.to_string(),
            first_event,
        }
    }

    fn end_with(self, status: StatusCode) -> Response<ServerBody> {
        let mut answer = status_only(status);
        insert(answer.headers_mut(), header::RESPONSE_SEAL, &self.seal());
        if let Some(run) = self.state.borrow_mut().runs.get_mut(self.run) {
            run.status = status.as_u16();
        }
        self.mark_whole();
        answer
    }

    /// Answers 500; the answer comes once more in the place of the next one.
    fn fail_twice(self) -> Response<ServerBody> {
        let (request_id, seal) = (self.request_id.clone(), self.seal());
        let mut answer = self.end_with(StatusCode::INTERNAL_SERVER_ERROR);
        let surplus = format!(
            "HTTP/1.1 500 Internal Server Error\r\n{}: {request_id}\r\n{}: {seal}\r\ncontent-length: 0\r\n\r\n",
            header::REQUEST_ID,
            header::RESPONSE_SEAL,
        );
        answer
            .extensions_mut()
            .insert(SurplusAnswer(surplus.into()));
        answer
    }

    fn stream(self, fault: Option<Fault>, count: u64) -> Response<ServerBody> {
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
        let mut answer = Response::new(ServerBody::Stream(receiver));
        let headers = answer.headers_mut();
        insert(headers, header::RESPONSE_SEAL, &self.seal());
        insert(headers, header::VERSIONS, &self.weights());
        insert(headers, "content-type", "text/event-stream");
        tokio::task::spawn_local(self.send_events(sender, fault, count));
        answer
    }

    async fn send_events(self, sender: mpsc::Sender<Piece>, fault: Option<Fault>, count: u64) {
        let pause = self.state.borrow().settings.event_pause;
        for id in self.first_event..=count {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let event = events::encode(&self.request_id, id);
            let pieces = match fault {
                Some(Fault::SilentAfter(events)) if id > events => return sender.closed().await,
                Some(Fault::CutAfter(events)) if id > events => {
                    let half = Bytes::copy_from_slice(event.as_bytes().split_at(event.len() / 2).0);
                    vec![Piece::Data(half), Piece::Cut]
                }
                _ => vec![Piece::Data(event.into())],
            };
            let is_cut = pieces.len() > 1;
            for piece in pieces {
                // The caller has closed its connection: the work is dropped.
                if sender.send(piece).await.is_err() {
                    return;
                }
            }
            if is_cut {
                return sender.closed().await;
            }
        }
        self.mark_whole();
    }

    fn weights(&self) -> String {
        self.state.borrow().weights.to_string()
    }

    fn seal(&self) -> String {
        format!(
            "{}.{}.{}",
            self.state.borrow().settings.id,
            self.request_id,
            self.first_event
        )
    }

    fn mark_whole(&self) {
        if let Some(run) = self.state.borrow_mut().runs.get_mut(self.run) {
            run.is_whole = true;
        }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.state.borrow_mut().running -= 1;
    }
}

fn header_text<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn insert(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
