//! An engine: it reads prompts in chunks between the tokens of the requests that run, so that a long prompt stretches
//! everybody's steps.

use crate::settings::Engines;
use crate::traffic::Request;
use std::collections::{BTreeMap, VecDeque};

/// How the answer to a request came.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Times {
    /// When the first event came.
    pub first_ms: Option<f64>,
    /// The longest pause between two events.
    pub longest_pause_ms: f64,
    /// When the last event came.
    pub last_ms: Option<f64>,
}

/// A request at the engine.
#[derive(Debug, Clone)]
struct Running {
    request: usize,
    unread: u64,
    read: u64,
    tokens_left: u64,
    until_event: u64,
    event_at: f64,
}

/// Something that a step brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The first event of a request.
    Began(usize),
    /// The last one.
    Ended(usize),
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    settings: Engines,
    /// Factor on all times.
    slowness: f64,
    running: Vec<Running>,
    queue: VecDeque<Running>,
    /// Kept prefixes: tokens, and when one was used last.
    kept: BTreeMap<u64, (u64, f64)>,
    kept_tokens: u64,
    /// End of the step under way.
    busy_until: Option<f64>,
    /// Prompt tokens read, and those of shared parts among them.
    pub tokens_read: u64,
}

impl Engine {
    /// An idle engine, by its number.
    pub fn new(settings: Engines, number: usize) -> Engine {
        Engine {
            settings,
            slowness: settings.slowness[number % settings.slowness.len()],
            running: Vec::new(),
            queue: VecDeque::new(),
            kept: BTreeMap::new(),
            kept_tokens: 0,
            busy_until: None,
            tokens_read: 0,
        }
    }

    /// End of the step under way.
    pub fn next_step_at(&self) -> Option<f64> {
        self.busy_until
    }

    /// How long an idle engine takes to read a prompt of so many tokens.
    pub fn reading_ms(settings: &Engines, tokens: u64) -> f64 {
        let pairs = tokens as f64 * tokens as f64 / 2.0 / 1e6;
        tokens as f64 / settings.read_tokens_per_ms + pairs * settings.read_pairs_ms_per_million
    }

    /// Takes a request.
    pub fn add(&mut self, now: f64, index: usize, request: &Request) {
        let shared = request.prompt.parts.first().copied().unwrap_or_default();
        let kept = self.use_prefix(now, shared.0, u64::from(shared.1));
        let unread = u64::from(request.prompt.tokens_in)
            .saturating_sub(kept)
            .max(1);
        let running = Running {
            request: index,
            unread,
            read: kept,
            tokens_left: request.events * self.settings.tokens_per_event,
            until_event: 1,
            event_at: now,
        };
        if self.running.len() < self.settings.slots {
            self.running.push(running);
        } else {
            self.queue.push_back(running);
        }
        if self.busy_until.is_none() {
            self.busy_until = Some(now);
        }
    }

    /// Tokens of the prefix that need not be read. It is kept from now on.
    fn use_prefix(&mut self, now: f64, id: u64, tokens: u64) -> u64 {
        let known = self.kept.insert(id, (tokens, now));
        if known.is_none() {
            self.kept_tokens += tokens;
            while self.kept_tokens > self.settings.memory_tokens {
                let oldest = self
                    .kept
                    .iter()
                    .min_by(|(_, one), (_, other)| one.1.total_cmp(&other.1));
                let Some((oldest, tokens)) = oldest.map(|(id, (tokens, _))| (*id, *tokens)) else {
                    break;
                };
                self.kept.remove(&oldest);
                self.kept_tokens -= tokens;
            }
        }
        known.map_or(0, |_| tokens)
    }

    /// Ends the step under way at `now` and begins the next one.
    pub fn step(&mut self, now: f64, times: &mut [Times]) -> Vec<Progress> {
        let mut progress = Vec::new();
        for running in self
            .running
            .iter_mut()
            .filter(|running| running.unread == 0)
        {
            running.tokens_left = running.tokens_left.saturating_sub(1);
            running.until_event = running.until_event.saturating_sub(1);
            if running.until_event > 0 && running.tokens_left > 0 {
                continue;
            }
            let times = &mut times[running.request];
            match times.first_ms {
                None => {
                    times.first_ms = Some(now);
                    progress.push(Progress::Began(running.request));
                }
                Some(_) => {
                    times.longest_pause_ms = times.longest_pause_ms.max(now - running.event_at);
                }
            }
            running.event_at = now;
            running.until_event = self.settings.tokens_per_event;
            if running.tokens_left == 0 {
                times.last_ms = Some(now);
                progress.push(Progress::Ended(running.request));
            }
        }
        self.running.retain(|running| running.tokens_left > 0);
        while self.running.len() < self.settings.slots {
            let Some(next) = self.queue.pop_front() else {
                break;
            };
            self.running.push(next);
        }
        self.busy_until = (!self.running.is_empty()).then(|| now + self.next_step_ms());
        progress
    }

    /// Reads the next chunk; how long the step takes.
    fn next_step_ms(&mut self) -> f64 {
        let mut room = self.settings.chunk_tokens;
        let mut reading_ms = 0.0;
        for running in self.running.iter_mut().filter(|running| running.unread > 0) {
            let chunk = running.unread.min(room);
            if chunk == 0 {
                break;
            }
            let whole = Engine::reading_ms(&self.settings, running.read + chunk);
            reading_ms += whole - Engine::reading_ms(&self.settings, running.read);
            running.unread -= chunk;
            running.read += chunk;
            room -= chunk;
            self.tokens_read += chunk;
        }
        let running = self.running.len() as f64;
        let step_ms =
            self.settings.step_ms + running * self.settings.step_ms_per_request + reading_ms;
        step_ms * self.slowness
    }
}
