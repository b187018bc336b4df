//! The clients' side: accepts connections, reads requests, checks them and writes the answers.

use crate::backends::attempts::{Backends, Message, BODY_LIMIT};
use crate::clients::phase::{Phase, PhaseControl};
use crate::clients::stats::{Answered, Entry, Fate, Stats};
use crate::door::{Answer, Door};
use crate::life::config::Names;
use alderhollow_dataplane::activity::{ConnectionActivity, Times};
use alderhollow_dataplane::connection;
use alderhollow_dataplane::flow::{whole, Outgoing};
use alderhollow_dataplane::link::BUFFER_BYTES;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use quota_gateway::{Effect, Settings};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};
use tracing::warn;

/// A client's time runs from when it sent the request to when it has the whole answer: so much is kept back
/// for the way here and back.
const MARGIN: Duration = Duration::from_millis(4);
/// Descriptors that are kept for attempts, and the part of all that they are at the most: with fewer left,
/// idle connections are closed and new clients told to come back.
const RESERVE: usize = 64;
const RESERVE_PART: usize = 4;
/// How long a body that is gathered may bring nothing. After the longer time it has to have come at this many bytes
/// a second: four times as many are honest, and a peer that sends nothing of use is owed an end.
const BODY_STALL: Duration = Duration::from_millis(1000);
const BODY_GRACE: Duration = Duration::from_millis(2000);
const BODY_RATE: f64 = 16.0 * 1024.0;
/// Bytes a second at which a body that goes on as it comes is taken to come: it has no deadline of its own.
const UPLOAD_RATE: f64 = 64e3;
const UPLOAD_MOST: Duration = Duration::from_secs(600);
/// After a failed accept.
const BACK_OFF: Duration = Duration::from_millis(20);
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;
/// How long a client may take over a head: 2 s are honest, and a peer that sends nothing proper is owed an end within
/// 3 s of connecting. And how long a connection may stand with no byte of a next head.
const TIMES: Times = Times {
    head: Duration::from_millis(2600),
    idle: Duration::from_millis(2000),
};
/// Headers of this front door's own business, which go no further than those of one connection.
const NOT_PASSED_ON: [HeaderName; 4] = [
    header::CONTENT_LENGTH,
    HeaderName::from_static("usage-percent"),
    HeaderName::from_static("x-load"),
    HeaderName::from_static("billed-units"),
];

/// What every connection needs.
pub(crate) struct ConnectionContext {
    pub door: Rc<Door>,
    pub backends: Rc<Backends>,
    pub names: Names,
    pub settings: Settings,
    pub phase_control: Rc<PhaseControl>,
    pub stats: Rc<Stats>,
    /// Bytes of bodies that may be kept for further attempts, over all requests.
    pub room: Arc<Semaphore>,
    /// Whether the process's last words are said: nobody would answer what comes after them.
    pub is_over: Cell<bool>,
}

/// Accepts clients until the shutdown closes the door, then returns once every connection has ended.
pub(crate) async fn serve(
    listener: TcpListener,
    context: Rc<ConnectionContext>,
    descriptors: Arc<Semaphore>,
) {
    let reserve = RESERVE.min(descriptors.available_permits() / RESERVE_PART);
    let (shed, _) = watch::channel(());
    // Guards against connections that stand idle and hold all descriptors.
    let spare = |least: usize| {
        while descriptors.available_permits() < least && context.backends.pool.shed_idle() {}
        let spare = descriptors.available_permits() >= least;
        if !spare {
            shed.send_replace(());
        }
        spare
    };
    let mut phase = context.phase_control.watch();
    let mut connections = JoinSet::new();
    let mut turned_away = 0;
    loop {
        // The next connection once there is a descriptor for it; until then it waits in the backlog.
        let next = async {
            spare(1);
            let descriptor = descriptors
                .clone()
                .acquire_owned()
                .await
                .map_err(io::Error::other)?;
            let (stream, _) = listener.accept().await?;
            Ok::<_, io::Error>((stream, descriptor))
        };
        tokio::select! {
            changed = phase.changed() => match context.phase_control.phase() {
                _ if changed.is_err() => break,
                Phase::Closing => break,
                _ => {}
            },
            Some(_) = connections.join_next() => {}
            next = next, if context.phase_control.phase() != Phase::HandedOver => match next {
                Ok((stream, descriptor)) => {
                    let crowded = !spare(reserve);
                    if crowded {
                        turned_away += 1;
                    } else if turned_away > 0 {
                        warn!(
                            event = "descriptors_short",
                            turned_away,
                            "descriptors ran short: {turned_away} connections turned away"
                        );
                        turned_away = 0;
                    }
                    let shed = shed.subscribe();
                    connections.spawn_local(connection(stream, descriptor, context.clone(), crowded, shed));
                }
                // Guards against a spin where the system is out of descriptors or the like.
                Err(_) => sleep(BACK_OFF).await,
            },
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves one client's connection to its end. One that came while descriptors were short gets refusals.
async fn connection(
    stream: TcpStream,
    _descriptor: OwnedSemaphorePermit,
    context: Rc<ConnectionContext>,
    crowded: bool,
    mut shed: watch::Receiver<()>,
) {
    let _held = context.stats.clients.hold();
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    let activity = ConnectionActivity::new(TIMES);
    // Buffers are made once something comes: many connections stand silent, up to the time for their first head.
    // A look at the first byte, as the system's word that there is one may be early.
    let mut first_byte = [0];
    let has_begun = tokio::select! {
        biased;
        looked = stream.peek(&mut first_byte) => match looked {
            Ok(1) => true,
            _ => return,
        },
        _ = activity.overdue() => !connection::is_empty(&stream),
    };
    if has_begun {
        let service = service_fn(|request| {
            let (context, activity) = (context.clone(), activity.clone());
            let busy = activity.asked();
            // Boxed, or each connection would hold room for it all the time.
            Box::pin(async move {
                let mut response = if crowded {
                    turn_away(&context, request)
                } else {
                    answer(&context, request).await
                };
                if crowded
                    || activity.is_closing()
                    || context.phase_control.phase() != Phase::Serving
                {
                    response
                        .headers_mut()
                        .insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                response.body_mut().busy = Some(busy);
                Ok::<_, Infallible>(response)
            })
        });
        let mut phase = context.phase_control.watch();
        let close = async {
            let closes = |phase: &Phase| {
                matches!(phase, Phase::Emptying | Phase::HandedOver | Phase::Closing)
            };
            tokio::select! {
                _ = phase.wait_for(closes) => {}
                _ = shed.changed() => {}
            }
        };
        connection::drive(&stream, &activity, BUFFER_BYTES, service, close).await;
    }
    if !activity.has_ended() {
        tokio::select! {
            () = connection::close(&stream) => {}
            // Others need its descriptor.
            _ = shed.changed() => {}
        }
    }
}

type Body = Answered<Outgoing>;

/// What is here of a request's body.
struct Gathered {
    body: Bytes,
    /// The rest, if there is more than is kept.
    rest: Option<Incoming>,
    room: Option<OwnedSemaphorePermit>,
}

impl Gathered {
    fn into_message(self, method: Method, uri: Uri, headers: HeaderMap) -> Message {
        let is_kept = self.rest.is_none();
        let rest = RefCell::new(self.rest);
        Message {
            method,
            uri,
            headers,
            body: self.body,
            rest,
            is_kept,
            _room: self.room,
        }
    }
}

impl Message {
    /// How long the rest of the body may take to come.
    fn time_to_come(&self) -> Duration {
        self.rest.borrow().as_ref().map_or(Duration::ZERO, |rest| {
            let seconds = rest
                .size_hint()
                .exact()
                .map(|left| left as f64 / UPLOAD_RATE);
            let time = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
            time.map_or(UPLOAD_MOST, |time| time.min(UPLOAD_MOST))
        })
    }
}

/// Gathers a body while it is small enough to be kept for a further attempt.
async fn gather(
    mut body: Incoming,
    context: &ConnectionContext,
) -> Result<Gathered, (StatusCode, &'static str)> {
    let began = Instant::now();
    let mut pieces: Vec<Bytes> = Vec::new();
    let mut room: Option<OwnedSemaphorePermit> = None;
    let mut size = 0;
    let more = loop {
        if body.is_end_stream() {
            break false;
        }
        if body
            .size_hint()
            .exact()
            .is_some_and(|left| left > (BODY_LIMIT - size) as u64)
        {
            break true;
        }
        let frame = match timeout(BODY_STALL, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break false,
            Ok(Some(Err(_))) => return Err((StatusCode::BAD_REQUEST, "the body is broken")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come")),
        };
        // Trailers speak of this connection alone.
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        size += piece.len();
        let kept = context
            .room
            .clone()
            .try_acquire_many_owned(piece.len() as u32)
            .ok();
        pieces.push(piece);
        match (kept, &mut room) {
            (Some(kept), Some(room)) => room.merge(kept),
            (Some(kept), none) => *none = Some(kept),
            (None, _) => break true,
        }
        if size >= BODY_LIMIT && !body.is_end_stream() {
            break true;
        }
        let elapsed = began.elapsed();
        if elapsed > BODY_GRACE && (size as f64) < BODY_RATE * elapsed.as_secs_f64() {
            return Err((StatusCode::REQUEST_TIMEOUT, "the body comes too slowly"));
        }
    };
    let body_here = if pieces.len() == 1 {
        pieces.remove(0)
    } else {
        pieces.concat().into()
    };
    // What is not kept takes no room of what is.
    let room = room.filter(|_| !more);
    Ok(Gathered {
        body: body_here,
        rest: more.then_some(body),
        room,
    })
}

async fn answer(context: &ConnectionContext, request: Request<Incoming>) -> Response<Body> {
    if request.method() == Method::GET && request.uri().path() == "/healthz" {
        // One that has been taken over from speaks for both.
        let up = matches!(
            context.phase_control.phase(),
            Phase::Serving | Phase::HandedOver
        ) && context.backends.pool.any_ready();
        return text(
            None,
            if up {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            },
            "",
        );
    }
    let (head, body) = request.into_parts();
    let asked = match check(&head, context) {
        Ok(asked) => asked,
        Err(problem) => return text(None, StatusCode::BAD_REQUEST, problem),
    };
    let mut entry = context.stats.enter(asked.request.class);
    let (headers, method) = (pass_on(head.headers), head.method);
    let message = match gather(body, context).await {
        Ok(gathered) => gathered.into_message(method, asked.uri, headers),
        Err((status, problem)) => return text(Some(entry), status, problem),
    };
    if context.is_over.get() {
        return refusal(Some(entry), context.settings.max_retry_after);
    }
    entry.taken();
    // The client's time runs from the request's last byte.
    let deadline = Instant::now() + asked.patience.saturating_sub(MARGIN) + message.time_to_come();
    match context
        .door
        .admit(asked.request, message, deadline)
        .answer(deadline)
        .await
    {
        Answer::Served(served) => {
            let (head, body) = served.into_parts();
            let mut response = Response::new(Answered::new(body, Some(entry), Fate::Served));
            *response.headers_mut() = pass_on(head.headers);
            response
        }
        Answer::Refused(wait) => refusal(Some(entry), wait),
        Answer::Failed => text(
            Some(entry),
            StatusCode::GATEWAY_TIMEOUT,
            "no answer of a backend",
        ),
    }
}

/// Refuses what came while descriptors were short.
fn turn_away(context: &ConnectionContext, request: Request<Incoming>) -> Response<Body> {
    let entry = check(&request.into_parts().0, context)
        .ok()
        .map(|asked| context.stats.enter(asked.request.class));
    refusal(entry, context.settings.max_retry_after)
}

fn text(entry: Option<Entry>, status: StatusCode, line: &'static str) -> Response<Body> {
    let fate = if status == StatusCode::TOO_MANY_REQUESTS {
        Fate::Refused
    } else {
        Fate::Failed
    };
    let body = whole(Bytes::from_static(line.as_bytes()));
    let mut response = Response::new(Answered::new(body, entry, fate));
    *response.status_mut() = status;
    response
}

/// A refusal, with advice on when to come back if there is any, in milliseconds.
fn refusal(entry: Option<Entry>, wait: f64) -> Response<Body> {
    let mut response = text(entry, StatusCode::TOO_MANY_REQUESTS, "");
    if wait > 0.0 {
        if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", wait / 1000.0)) {
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}

/// What of a message's headers goes on to the other side.
fn pass_on(headers: HeaderMap) -> HeaderMap {
    alderhollow_dataplane::headers::pass_on(headers, &NOT_PASSED_ON)
}

/// A request that makes sense.
struct Asked {
    request: quota_gateway::Request,
    patience: Duration,
    uri: hyper::Uri,
}

/// Guards against malformed input: what does not make sense goes no further.
fn check(head: &Parts, context: &ConnectionContext) -> Result<Asked, &'static str> {
    let field = |name: &str| {
        let (_, value) = head
            .headers
            .iter()
            .find(|(known, _)| known.as_str() == name)?;
        value.to_str().ok().map(str::trim)
    };
    if field("x-request-id").is_none_or(str::is_empty) {
        return Err("X-Request-Id is missing");
    }
    let index =
        |names: &[String], name| names.iter().position(|known| Some(known.as_str()) == name);
    let class = index(&context.names.classes, field("x-class")).ok_or("X-Class names no class")?;
    if head.uri.path().split('/').nth(1) != Some(&context.names.classes[class]) {
        return Err("the path does not begin with the class");
    }
    // The method follows from the class: a request that may be sent again must be one that says so itself.
    if (context.settings.classes[class].effect == Effect::Idempotent)
        != (head.method == Method::GET)
    {
        return Err("the method is not the class's");
    }
    let plan = index(&context.names.plans, field("plan")).ok_or("Plan names no plan")?;
    let customer = field("cookie")
        .and_then(customer)
        .ok_or("the cookie names no client")?;
    let most = Duration::from_secs_f64(context.settings.classes[class].deadline / 1000.0);
    let patience = field("x-deadline")
        .and_then(span)
        .ok_or("X-Deadline is no length of time")?
        .min(most);
    let quota = field("quota-info").and_then(|text| quota(text, &context.settings));
    let (units, spread, first) = quota.ok_or("Quota-Info makes no sense")?;
    let target = head.uri.path_and_query().ok_or("the request has no path")?;
    let request = quota_gateway::Request {
        id: 0,
        customer,
        plan,
        class,
        units,
        spread,
        first,
        expires_in: 0.0,
        repeat: field("x-retry") == Some("1"),
    };
    Ok(Asked {
        request,
        patience,
        uri: target.clone().into(),
    })
}

pub(crate) fn customer(cookies: &str) -> Option<u64> {
    let digits = cookies
        .split(';')
        .find_map(|cookie| cookie.trim().strip_prefix("client="))?;
    if digits.len() != 16 || !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(digits, 16)
        .ok()
        .filter(|customer| *customer < CUSTOMERS)
}

/// A number and its unit: milliseconds or microseconds.
fn span(text: &str) -> Option<Duration> {
    let (number, in_second) = match text.strip_suffix('m') {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('u')?, 1e6),
    };
    let number = number.parse::<f64>().ok().filter(|number| *number > 0.0)?;
    Duration::try_from_secs_f64(number / in_second).ok()
}

/// The units, and the customer's set: the number of its front doors and the first of them.
fn quota(text: &str, settings: &Settings) -> Option<(f64, u32, u32)> {
    let value = |name: &str| {
        text.split(',')
            .find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
            .map(str::trim)
    };
    let units = value("units")?.parse::<f64>().ok()?;
    let spread = value("spread")?.parse::<u32>().ok()?;
    let first = value("first")?.parse::<u32>().ok()?;
    let sensible = units > 0.0
        && units <= settings.max_units
        && (1..=settings.gateways).contains(&spread)
        && first < settings.gateways;
    sensible.then_some((units, spread, first))
}
