//! The platform's list of backends: pages, a lag, and a rate above which it answers 429.

use crate::http::{Server, ServerBody};
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// State of a backend as the list shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Takes requests.
    Ready,
    /// Is to end.
    Draining,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Instance {
    /// The service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Version of its software.
    pub config_version: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Its state.
    pub state: ListedState,
    /// How much longer it stays slow.
    pub cold_remaining_ms: u64,
    /// This start of it.
    pub id: String,
}

/// How the list behaves.
#[derive(Debug, Clone)]
pub struct ListSettings {
    /// How late a change shows.
    pub lag: Duration,
    /// Calls that it takes in a second.
    pub rate_per_s: usize,
    /// Entries of a page.
    pub page_size: usize,
}

/// One page of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Page {
    /// Its entries.
    pub instances: Vec<Instance>,
    /// The page that follows.
    pub next_token: Option<String>,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListAnswer {
    /// A page.
    Page(Page),
    /// Too many calls.
    TooMany,
    /// A page token that was never given.
    UnknownToken,
}

/// What a call asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListQuery {
    /// Only this zone.
    pub zone: Option<String>,
    /// From this page on.
    pub page_token: Option<String>,
}

impl ListQuery {
    /// Reads the query of a path.
    pub fn parse(query: &str) -> ListQuery {
        let mut parsed = ListQuery::default();
        for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match key {
                "zone" => parsed.zone = Some(value.to_string()),
                "page-token" => parsed.page_token = Some(value.to_string()),
                _ => {}
            }
        }
        parsed
    }
}

/// The list without sockets or clock; times count from its start.
#[derive(Debug)]
pub struct PlatformList {
    settings: ListSettings,
    /// Lists with the time from which they show, in order.
    versions: VecDeque<(Duration, Vec<Instance>)>,
    recent_calls: VecDeque<Duration>,
    calls: u64,
    readings: u64,
}

const RATE_WINDOW: Duration = Duration::from_secs(1);
const TOKEN_PREFIX: &str = "p-";

impl PlatformList {
    /// A list that shows `instances` from the start.
    pub fn new(settings: ListSettings, instances: Vec<Instance>) -> PlatformList {
        let versions = VecDeque::from([(Duration::ZERO, instances)]);
        PlatformList {
            settings,
            versions,
            recent_calls: VecDeque::new(),
            calls: 0,
            readings: 0,
        }
    }

    /// Behaves like this from now on.
    pub fn set(&mut self, settings: ListSettings) {
        self.settings = settings;
    }

    /// Changes the list; the change shows after the lag, and not before an earlier one. Returns when it shows.
    pub fn change(&mut self, now: Duration, instances: Vec<Instance>) -> Duration {
        let former = self.versions.back().map_or(now, |(shows_at, _)| *shows_at);
        let shows_at = former.max(now + self.settings.lag);
        self.versions.push_back((shows_at, instances));
        shows_at
    }

    /// Answers a call.
    pub fn answer(&mut self, now: Duration, query: &ListQuery) -> ListAnswer {
        self.calls += 1;
        while self
            .recent_calls
            .front()
            .is_some_and(|at| *at + RATE_WINDOW <= now)
        {
            self.recent_calls.pop_front();
        }
        if self.recent_calls.len() >= self.settings.rate_per_s {
            return ListAnswer::TooMany;
        }
        self.recent_calls.push_back(now);
        self.readings += u64::from(query.page_token.is_none());
        self.page(now, query)
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Number of first pages that were given so far.
    pub fn readings(&self) -> u64 {
        self.readings
    }

    fn page(&mut self, now: Duration, query: &ListQuery) -> ListAnswer {
        while self
            .versions
            .get(1)
            .is_some_and(|(shows_at, _)| *shows_at <= now)
        {
            self.versions.pop_front();
        }
        let Some(start) = page_start(query.page_token.as_deref()) else {
            return ListAnswer::UnknownToken;
        };
        let newest = self
            .versions
            .front()
            .map(|(_, instances)| instances.as_slice())
            .unwrap_or_default();
        let is_wanted = |instance: &&Instance| {
            query
                .zone
                .as_ref()
                .is_none_or(|zone| *zone == instance.zone)
        };
        let wanted: Vec<&Instance> = newest.iter().filter(is_wanted).collect();
        let end = start + self.settings.page_size;
        let instances = wanted
            .iter()
            .skip(start)
            .take(self.settings.page_size)
            .map(|one| (*one).clone());
        let next_token = (end < wanted.len()).then(|| format!("{TOKEN_PREFIX}{end}"));
        ListAnswer::Page(Page {
            instances: instances.collect(),
            next_token,
        })
    }
}

fn page_start(token: Option<&str>) -> Option<usize> {
    match token {
        None => Some(0),
        Some(token) => token.strip_prefix(TOKEN_PREFIX)?.parse().ok(),
    }
}

/// The list on a socket.
pub struct Platform {
    server: Server,
    list: Rc<RefCell<PlatformList>>,
    answer_delay: Rc<Cell<Duration>>,
    started: Instant,
}

impl Platform {
    /// Serves `list` at `address`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(address: SocketAddr, list: PlatformList) -> std::io::Result<Platform> {
        let list = Rc::new(RefCell::new(list));
        let started = Instant::now();
        let served = list.clone();
        let answer_delay = Rc::new(Cell::new(Duration::ZERO));
        let delay = answer_delay.clone();
        let handler = move |request: Request<Bytes>| {
            let answer = answer_request(&mut served.borrow_mut(), started.elapsed(), &request);
            let delay = delay.get();
            async move {
                tokio::time::sleep(delay).await;
                answer
            }
        };
        let server = Server::start(address, handler).await?;
        Ok(Platform {
            server,
            list,
            answer_delay,
            started,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the list; the change shows after the lag, and not before an earlier one. Returns when it shows.
    pub fn change(&self, instances: Vec<Instance>) -> Instant {
        let now = self.started.elapsed();
        self.started + self.list.borrow_mut().change(now, instances)
    }

    /// Has the list behave like this from now on.
    pub fn set(&self, settings: ListSettings) {
        self.list.borrow_mut().set(settings);
    }

    /// Delays each answer from now on; it tells the list as it was when the call came.
    pub fn delay_answers(&self, delay: Duration) {
        self.answer_delay.set(delay);
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        self.list.borrow().calls()
    }

    /// Number of first pages that were given so far.
    pub fn readings(&self) -> u64 {
        self.list.borrow().readings()
    }
}

fn answer_request(
    list: &mut PlatformList,
    now: Duration,
    request: &Request<Bytes>,
) -> Response<ServerBody> {
    if request.uri().path() != "/instances" {
        return status_only(StatusCode::NOT_FOUND);
    }
    let query = ListQuery::parse(request.uri().query().unwrap_or_default());
    match list.answer(now, &query) {
        ListAnswer::TooMany => status_only(StatusCode::TOO_MANY_REQUESTS),
        ListAnswer::UnknownToken => status_only(StatusCode::BAD_REQUEST),
        ListAnswer::Page(page) => json(&page),
    }
}

/// An answer without a body.
pub(crate) fn status_only(status: StatusCode) -> Response<ServerBody> {
    let mut answer = Response::new(ServerBody::empty());
    *answer.status_mut() = status;
    answer
}

/// A 200 with a JSON body.
pub(crate) fn json(value: &impl Serialize) -> Response<ServerBody> {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return status_only(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut answer = Response::new(ServerBody::Whole(bytes.into()));
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    answer
}
