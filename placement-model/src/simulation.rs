//! Plays one run: requests, choices, steps.

use crate::engine::{Engine, Progress, Times};
use crate::policy::{Chooser, Policy};
use crate::settings::Settings;
use crate::traffic::{self, Request};

/// Without room, a request comes again after so long.
const RETRY_MS: f64 = 25.0;
/// After the last request, answers are waited for so long.
const AFTER_MS: f64 = 20_000.0;

/// What became of a class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassResult {
    /// Its name.
    pub name: String,
    /// Requests that came.
    pub asked: usize,
    /// Of them, those whose first event was late.
    pub late_first: usize,
    /// Those in time so far, of which a pause was too long.
    pub late_pause: usize,
    /// Those without an end.
    pub unfinished: usize,
    /// Those that would have been late alone on an idle engine: no choice can help them.
    pub hopeless: usize,
    /// Part of the worth that was earned, by sizes.
    pub worth: f64,
}

impl ClassResult {
    /// All that were not in time.
    pub fn late(&self) -> usize {
        self.late_first + self.late_pause + self.unfinished
    }
}

/// What became of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunResult {
    /// By class.
    pub classes: Vec<ClassResult>,
    /// Prompt tokens that engines read.
    pub tokens_read: u64,
}

/// Plays a run.
pub fn play(settings: &Settings, policy: Policy, seed: u64) -> RunResult {
    let requests = traffic::draw(settings, seed);
    let mut run = Run {
        settings,
        chooser: Chooser::new(policy, settings),
        engines: (0..settings.engines.count)
            .map(|number| Engine::new(settings.engines, number))
            .collect(),
        times: vec![Times::default(); requests.len()],
        waiting: Vec::new(),
        requests,
    };
    run.play(policy);
    run.result()
}

struct Run<'a> {
    settings: &'a Settings,
    chooser: Chooser,
    engines: Vec<Engine>,
    times: Vec<Times>,
    /// Requests that found no room, and when they come again.
    waiting: Vec<(f64, usize)>,
    requests: Vec<Request>,
}

impl Run<'_> {
    fn play(&mut self, policy: Policy) {
        let answer_ms = match policy {
            Policy::Zone => self.settings.senders.answer_delay_ms,
            Policy::Blind | Policy::Informed => 0.0,
        };
        let until = self.settings.seconds * 1000.0 + AFTER_MS;
        let mut next = 0;
        loop {
            let arrival = self
                .requests
                .get(next)
                .map_or(f64::INFINITY, |request| request.at_ms);
            let again = self
                .waiting
                .iter()
                .map(|(at, _)| *at)
                .fold(f64::INFINITY, f64::min);
            let step = self.next_step();
            let step_at = step.map_or(f64::INFINITY, |(at, _)| at);
            let now = arrival.min(again).min(step_at);
            if now > until {
                return;
            }
            self.chooser.deliver(now);
            if let Some((_, engine)) = step.filter(|(at, _)| *at <= now) {
                self.step(now, engine);
            } else if arrival <= now {
                self.start(now, next, answer_ms);
                next += 1;
            } else if let Some(at) = self.waiting.iter().position(|(at, _)| *at <= now) {
                let (_, index) = self.waiting.swap_remove(at);
                self.start(now, index, answer_ms);
            }
        }
    }

    fn next_step(&self) -> Option<(f64, usize)> {
        let steps = self.engines.iter().enumerate();
        let steps = steps.filter_map(|(index, engine)| Some((engine.next_step_at()?, index)));
        steps.min_by(|one, other| one.0.total_cmp(&other.0))
    }

    fn start(&mut self, now: f64, index: usize, answer_ms: f64) {
        let request = &self.requests[index];
        let priority = self.settings.classes[request.class].priority;
        match self.chooser.choose(now, index, request, priority) {
            Some(engine) => self.engines[engine].add(now + answer_ms, index, request),
            None => self.waiting.push((now + RETRY_MS, index)),
        }
    }

    fn step(&mut self, now: f64, engine: usize) {
        for progress in self.engines[engine].step(now, &mut self.times) {
            match progress {
                Progress::Began(index) => self.chooser.began(now, index, &self.requests[index]),
                Progress::Ended(index) => self.chooser.ended(now, index, &self.requests[index]),
            }
        }
    }

    fn result(&self) -> RunResult {
        let classes = (0..self.settings.classes.len())
            .map(|class| self.class_result(class))
            .collect();
        RunResult {
            classes,
            tokens_read: self.engines.iter().map(|engine| engine.tokens_read).sum(),
        }
    }

    fn class_result(&self, index: usize) -> ClassResult {
        let class = &self.settings.classes[index];
        let mut result = ClassResult {
            name: class.name.clone(),
            asked: 0,
            late_first: 0,
            late_pause: 0,
            unfinished: 0,
            hopeless: 0,
            worth: 0.0,
        };
        let is_item = class.priority > 0;
        let (mut owed, mut earned) = (0.0, 0.0);
        for (request, times) in self
            .requests
            .iter()
            .zip(&self.times)
            .filter(|(request, _)| request.class == index)
        {
            result.asked += 1;
            owed += request.size();
            let alone =
                Engine::reading_ms(&self.settings.engines, u64::from(request.prompt.tokens_in));
            result.hopeless += usize::from(!is_item && alone > class.aim_ms);
            let due = if is_item {
                times.last_ms
            } else {
                times.first_ms
            };
            if times.last_ms.is_none() {
                result.unfinished += 1;
            } else if due.is_none_or(|due| due - request.at_ms > class.aim_ms) {
                result.late_first += 1;
            } else if times.longest_pause_ms > class.pause_aim_ms {
                result.late_pause += 1;
            } else {
                earned += request.size();
            }
        }
        result.worth = if owed > 0.0 { earned / owed } else { 1.0 };
        result
    }
}
