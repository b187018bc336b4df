//! The list of backends as it truly is, and the agents that tell it to their front doors, each late by its own time.

use crate::fleet::backend_name;
use crate::http::{serve, Body};
use crate::lock;
use crate::record::{Event, Micros, Recorder};
use hyper::body::Bytes;
use hyper::{Request, Response};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// Longest wait of a watch.
const MOST_WAIT: Duration = Duration::from_secs(60);

/// One backend as the list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    pub backend: usize,
    pub zone: String,
    pub state: &'static str,
    /// Unix time in milliseconds, 0 for long ago.
    pub boot_ms: f64,
}

struct Change {
    at: Micros,
    target: Target,
}

/// All changes of the list, in order: the version of each is its place, counted from 1.
#[derive(Clone)]
pub struct List {
    changes: Arc<Mutex<Vec<Change>>>,
    news: Arc<watch::Sender<usize>>,
    recorder: Recorder,
}

impl List {
    /// One that holds these from the beginning.
    pub fn new(targets: Vec<Target>, recorder: Recorder) -> List {
        let changes: Vec<Change> = targets
            .into_iter()
            .map(|target| Change { at: 0, target })
            .collect();
        let news = Arc::new(watch::Sender::new(changes.len()));
        List {
            changes: Arc::new(Mutex::new(changes)),
            news,
            recorder,
        }
    }

    fn changes(&self) -> MutexGuard<'_, Vec<Change>> {
        lock(&self.changes)
    }

    /// A backend is in another state from now on.
    pub fn change(&self, backend: usize, state: &'static str, boot_ms: Option<f64>) {
        let mut changes = self.changes();
        let last = changes
            .iter()
            .rev()
            .find(|change| change.target.backend == backend);
        let Some(mut target) = last.map(|change| change.target.clone()) else {
            return;
        };
        target.state = state;
        target.boot_ms = boot_ms.unwrap_or(target.boot_ms);
        changes.push(Change {
            at: self.recorder.now(),
            target,
        });
        self.news.send_replace(changes.len());
        self.recorder.tell(Event::Backend {
            backend,
            state: state.into(),
        });
    }

    /// The version that those who are late by `lag` have.
    fn version(&self, lag: Micros) -> usize {
        let now = self.recorder.now();
        self.changes()
            .iter()
            .take_while(|change| change.at == 0 || change.at + lag <= now)
            .count()
    }

    /// When the version after this one reaches those who are late by `lag`.
    fn next_at(&self, version: usize, lag: Micros) -> Option<Micros> {
        self.changes().get(version).map(|change| change.at + lag)
    }

    /// The backends that changed after version `after`, as of version `version`.
    fn since(&self, after: usize, version: usize) -> Vec<Target> {
        let changes = self.changes();
        let changed = changes.iter().take(version).skip(after);
        let targets: BTreeMap<usize, Target> = changed
            .map(|change| (change.target.backend, change.target.clone()))
            .collect();
        targets.into_values().collect()
    }
}

/// What one agent does.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Manner {
    /// How late it learns of changes.
    pub lag: Duration,
    /// It answers no one.
    pub silent: bool,
}

/// The agent of one front door.
pub struct Agent {
    pub door: usize,
    pub list: List,
    /// Where this front door reaches each backend.
    pub endpoints: Vec<SocketAddr>,
    pub manner: watch::Receiver<Manner>,
    pub recorder: Recorder,
}

impl Agent {
    /// Answers for ever.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            while connections.try_join_next().is_some() {}
            let agent = self.clone();
            connections.spawn(async move { serve(stream, |request| agent.answer(request)).await });
        }
    }

    /// The form of PROTOCOL's discovery, for a front door's `known` as well.
    pub fn targets(&self, targets: &[Target], version: usize, whole: bool) -> Value {
        let targets: Vec<Value> = targets
            .iter()
            .filter(|target| !whole || target.state != "gone")
            .map(|target| {
                json!({"uid": backend_name(target.backend), "endpoint": self.endpoints[target.backend].to_string(),
                       "az": target.zone, "model": "m", "pod_group": 0, "state": target.state,
                       "capacity_hint": 1.0, "boot_ms": target.boot_ms})
            })
            .collect();
        json!({"rev": version, "all": whole, "targets": targets})
    }

    /// The list as the agent has it now.
    pub fn known(&self) -> Value {
        let version = self.list.version(self.lag());
        self.targets(&self.list.since(0, version), version, true)
    }

    fn lag(&self) -> Micros {
        self.manner.borrow().lag.as_micros() as Micros
    }

    async fn answer(&self, request: Request<Bytes>) -> Option<Response<Body>> {
        let mut manner = self.manner.clone();
        // An agent that is silent goes on to be so for this call: its caller gives up.
        if manner.borrow().silent {
            std::future::pending::<()>().await;
        }
        if request.uri().path() != "/v1/servers" {
            return Response::builder().status(404).body(Body::default()).ok();
        }
        let number = |name: &str| {
            let query = request.uri().query().unwrap_or_default();
            let value = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name);
            value.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let after = number("after").and_then(|after| usize::try_from(after).ok());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MOST_WAIT);
        let until = Instant::now() + wait;
        let mut news = self.list.news.subscribe();
        let (mut version, known) = (self.list.version(self.lag()), after.unwrap_or(0));
        while after.is_some() && version <= known && Instant::now() < until {
            let next = self.list.next_at(version, self.lag());
            let next = next.map(|at| Instant::from_std(self.recorder.instant(at)));
            tokio::select! {
                () = sleep_until(next.unwrap_or(until).min(until)) => {}
                _ = news.changed() => {}
                _ = manner.changed() => {}
            }
            if manner.borrow().silent {
                std::future::pending::<()>().await;
            }
            version = self.list.version(self.lag());
        }
        // A version that this list never had: its caller gets the whole.
        let whole = after.is_none_or(|after| after > version);
        let targets = self.list.since(if whole { 0 } else { known }, version);
        let body = self.targets(&targets, version, whole).to_string();
        let states = targets
            .iter()
            .map(|target| (target.backend, target.state.to_string()))
            .collect();
        self.recorder.tell(Event::Told {
            door: self.door,
            rev: version as u64,
            whole,
            states,
        });
        Response::builder()
            .status(200)
            .header("content-type", "application/json")
            .body(body.into())
            .ok()
    }
}
