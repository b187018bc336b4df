//! A client: one request or stream on a new connection.

use crate::events::{Event, EventReader};
use crate::header;
use crate::http::{call, next_piece, read_whole, CallError};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response};
use std::net::SocketAddr;
use std::time::Duration;

/// A request of a client.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Its own id.
    pub id: String,
    /// Host of the route.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Headers besides id, host and deadline.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// How long the client waits for the head, and in each pause.
    pub patience: Duration,
}

impl ClientRequest {
    fn build(&self) -> Result<Request<Full<Bytes>>, CallError> {
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(&self.path)
            .header("host", &self.host)
            .header(header::REQUEST_ID, &self.id)
            .header(header::DEADLINE_MS, self.patience.as_millis().to_string());
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        Ok(builder.body(Full::new(Bytes::copy_from_slice(&self.body)))?)
    }
}

/// An answer whose body came whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeAnswer {
    /// Its status.
    pub status: u16,
    /// Stamp of the backend, if one answered.
    pub seal: Option<String>,
    /// The id that it repeats.
    pub request_id: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

/// How a stream came to its end.
#[derive(Debug)]
pub enum StreamEnd {
    /// As complete.
    Complete,
    /// Complete by its framing, yet in the middle of an event.
    InsideEvent,
    /// By an error.
    Broken(CallError),
}

/// A stream as a client saw it.
#[derive(Debug)]
pub struct StreamAnswer {
    /// Its status.
    pub status: u16,
    /// Stamp of the backend, if one answered.
    pub seal: Option<String>,
    /// Its events, in order.
    pub events: Vec<Event>,
    /// How it ended.
    pub end: StreamEnd,
}

impl StreamAnswer {
    /// Data of all events, parted by line feeds.
    pub fn text(&self) -> String {
        let pieces: Vec<&str> = self
            .events
            .iter()
            .map(|event| event.data.as_str())
            .collect();
        pieces.join("\n")
    }

    /// Whether the ids rise by one from `first` on, and the stream ended as complete.
    pub fn is_whole_from(&self, first: u64) -> bool {
        let in_order = self
            .events
            .iter()
            .zip(first..)
            .all(|(event, id)| event.id == id);
        in_order && matches!(self.end, StreamEnd::Complete)
    }
}

/// Sends a request and reads the whole answer.
///
/// # Errors
/// The gateway cannot be reached, or does not answer in time.
pub async fn send(gateway: SocketAddr, request: &ClientRequest) -> Result<WholeAnswer, CallError> {
    let answer = call(gateway, request.build()?, request.patience).await?;
    let status = answer.status().as_u16();
    let seal = header_of(&answer, header::RESPONSE_SEAL);
    let request_id = header_of(&answer, header::REQUEST_ID);
    let body = read_whole(answer.into_body(), request.patience).await?;
    Ok(WholeAnswer {
        status,
        seal,
        request_id,
        body,
    })
}

/// Sends a request and reads its answer as a stream of events.
///
/// # Errors
/// The gateway cannot be reached, does not answer in time, or sends no events.
pub async fn stream(
    gateway: SocketAddr,
    request: &ClientRequest,
) -> Result<StreamAnswer, CallError> {
    let answer = call(gateway, request.build()?, request.patience).await?;
    let status = answer.status().as_u16();
    let seal = header_of(&answer, header::RESPONSE_SEAL);
    let mut events = Vec::new();
    let end = read_events(answer.into_body(), request.patience, &mut events).await;
    Ok(StreamAnswer {
        status,
        seal,
        events,
        end,
    })
}

async fn read_events(mut body: Incoming, patience: Duration, events: &mut Vec<Event>) -> StreamEnd {
    let mut reader = EventReader::default();
    loop {
        match next_piece(&mut body, patience).await {
            Ok(Some(piece)) => events.extend(reader.push(&piece)),
            Ok(None) if reader.is_inside_event() => return StreamEnd::InsideEvent,
            Ok(None) => return StreamEnd::Complete,
            Err(error) => return StreamEnd::Broken(error),
        }
    }
}

fn header_of(answer: &Response<Incoming>, name: &str) -> Option<String> {
    Some(answer.headers().get(name)?.to_str().ok()?.to_string())
}
