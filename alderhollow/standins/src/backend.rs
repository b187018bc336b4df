//! A model backend: it answers requests with whole bodies or event streams, checks whom a request is for, keeps a record
//! of what it ran, and fails on demand.

mod answer;

use crate::http::Server;
use crate::platform::{Instance, ListedState};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What a backend is and how fast it works.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// This start of it.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests it works on at once; more are refused.
    pub slots: u32,
    /// Path of its health check.
    pub health_path: String,
    /// Time before each event.
    pub event_pause: Duration,
    /// How long it keeps an idle connection, as `Keep-Alive` tells.
    pub keep_alive_s: u64,
}

/// What a backend does wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Breaks the connection in the middle of the event behind this many.
    CutAfter(u64),
    /// Says nothing more behind this many events.
    SilentAfter(u64),
    /// Answers 503 without running it.
    Refuse,
    /// Runs it and answers 500.
    Fail,
    /// The same; the next request on its connection gets this answer once more, before its own.
    FailTwice,
    /// Answers 422: this request can never be done.
    Reject,
}

/// A request that a backend ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Its id.
    pub request_id: String,
    /// Its path and query.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// First event that was asked for.
    pub first_event: u64,
    /// Whether it named this backend as the only one that may run it.
    pub named_instance: bool,
    /// When it arrived.
    pub started: Instant,
    /// Status of its answer.
    pub status: u16,
    /// Whether its answer was sent to the end.
    pub is_whole: bool,
}

/// State that the handlers of one backend share.
struct State {
    settings: BackendSettings,
    faults: VecDeque<Fault>,
    runs: Vec<Run>,
    running: u32,
    refused: u64,
    is_draining: bool,
    /// Version of its weights.
    weights: u64,
}

/// A backend on a socket.
pub struct Backend {
    server: Server,
    state: Rc<RefCell<State>>,
}

impl Backend {
    /// Starts a backend at `address`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(address: SocketAddr, settings: BackendSettings) -> std::io::Result<Backend> {
        let state = Rc::new(RefCell::new(State {
            settings,
            faults: VecDeque::new(),
            runs: Vec::new(),
            running: 0,
            refused: 0,
            is_draining: false,
            weights: 1,
        }));
        let served = state.clone();
        let handler = move |request| std::future::ready(answer::answer(&served, request));
        let server = Server::start(address, handler).await?;
        Ok(Backend { server, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Lets the next requests meet these faults, one each.
    pub fn fail_next(&self, faults: &[Fault]) {
        self.state.borrow_mut().faults.extend(faults);
    }

    /// Has weights of this version from now on.
    pub fn set_weights(&self, version: u64) {
        self.state.borrow_mut().weights = version;
    }

    /// Begins to leave: its list entry and its health say so.
    pub fn drain(&self) {
        self.state.borrow_mut().is_draining = true;
    }

    /// All that it ran, in order of their starts.
    pub fn runs(&self) -> Vec<Run> {
        self.state.borrow().runs.clone()
    }

    /// Looks at each run, in order of their starts.
    pub fn for_each_run(&self, look: impl FnMut(&Run)) {
        self.state.borrow().runs.iter().for_each(look);
    }

    /// Number of requests that it refused without running them.
    pub fn refused(&self) -> u64 {
        self.state.borrow().refused
    }

    /// Its entry in the platform's list.
    pub fn listed(&self) -> Instance {
        let state = self.state.borrow();
        Instance {
            service: state.settings.service.clone(),
            address: self.server.address(),
            zone: state.settings.zone.clone(),
            config_version: "v1".into(),
            slots: state.settings.slots,
            state: if state.is_draining {
                ListedState::Draining
            } else {
                ListedState::Ready
            },
            cold_remaining_ms: 0,
            id: state.settings.id.clone(),
        }
    }
}
