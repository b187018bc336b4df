//! All that happened, with its times, for the judgement at the end.

use super::Place;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use tokio::time::Instant;

/// A route of the soak's configurations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Route {
    /// Streams of the service `model` that may be taken up elsewhere.
    Chat,
    /// Requests to the service `model` that must not run twice.
    Sale,
    /// Requests to the service that the configuration names.
    Switch,
}

impl Route {
    /// First part of its paths.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Route::Chat => "chat",
            Route::Sale => "sale",
            Route::Switch => "switch",
        }
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A whole answer.
    Answered(u16),
    /// The connection ended before a whole answer had come.
    Cut,
    /// The client gave up.
    GivenUp,
}

/// A request as its client knows it.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub gateway: Place,
    pub route: Route,
    /// The version that the weights must have, if the request expects one.
    pub expected_version: Option<u64>,
    pub at: Instant,
    pub ended: Option<(Instant, Outcome)>,
}

/// A backend's way through the platform's list.
#[derive(Debug, Clone)]
pub(crate) struct Listed {
    pub service: &'static str,
    /// When the list shows that it drains, or that it is gone if it never drained.
    pub leaving_shown: Option<Instant>,
}

/// A request that a backend ran.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub request: String,
    pub backend: String,
    /// Whether the request named the backend as the only one that may run it.
    pub named_instance: bool,
    pub at: Instant,
}

/// A span of time that is not over yet if it has no end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Span {
    pub from: Instant,
    pub until: Option<Instant>,
}

/// What was done to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Signal {
    /// SIGTERM, and a new start.
    Restart,
    /// SIGKILL, and a new start.
    Kill,
    /// SIGSTOP, and SIGCONT.
    Pause,
    /// SIGHUP.
    HangUp,
}

/// A signal to a process and the time for which it counts as trouble.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Signalled {
    pub place: Place,
    pub signal: Signal,
    pub span: Span,
}

/// A configuration that was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Configured {
    pub version: u64,
    /// The service of [`Route::Switch`].
    pub service: &'static str,
    pub acknowledged: Option<Instant>,
}

/// The record of one seed.
pub(crate) struct Record {
    pub started: Instant,
    pub sent: BTreeMap<String, Sent>,
    pub backends: BTreeMap<String, Listed>,
    /// Runs of backends that have ended.
    pub runs: Vec<Run>,
    pub signals: Vec<Signalled>,
    pub configurations: Vec<Configured>,
    /// Spans in which the platform is silent or limits its rate below what the settings say.
    pub platform_down: Vec<Span>,
    /// Spans in which a small write to the tier's disk did not end.
    pub disk_stalls: Vec<Span>,
    pub events: Vec<(Instant, String)>,
}

impl Record {
    /// An empty record whose times count from now.
    pub(crate) fn new() -> Record {
        Record {
            started: Instant::now(),
            sent: BTreeMap::new(),
            backends: BTreeMap::new(),
            runs: Vec::new(),
            signals: Vec::new(),
            configurations: Vec::new(),
            platform_down: Vec::new(),
            disk_stalls: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Notes what is done, for whoever looks into a broken rule.
    pub(crate) fn note(&mut self, event: String) {
        self.events.push((Instant::now(), event));
    }
}

impl Display for Record {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (at, event) in &self.events {
            let seconds = (*at - self.started).as_secs_f64();
            writeln!(f, "{seconds:8.3} s  {event}")?;
        }
        Ok(())
    }
}
