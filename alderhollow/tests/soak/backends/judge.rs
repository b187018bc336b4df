//! Holds what backends got against what the platform showed and what operators and clients were told.

use super::clients::may_lead_to;
use super::record::{Outcome, Record, Route, Run, Sent, Signal, Span};
use super::world::World;
use super::Place;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// `drain-ms`, `contact-ms`, `config-apply-ms` and `loss-slack-ms` of the settings.
const DRAIN_BOUND: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_BOUND: Duration = Duration::from_millis(2_000);
/// Requests that gateways in touch may end with a 4xx of their own: so many, and one in `DENIED_SHARE` of all.
const MOST_DENIED: usize = 5;
const DENIED_SHARE: usize = 500;
/// A gateway in touch serves one of the requests of each span, if there are enough of them.
const SERVED_SPAN: Duration = Duration::from_secs(2);
const FEWEST_UNSERVED: usize = 10;
/// Statuses that promise that the request has not run and never will.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

/// A broken rule, as seen from outside.
#[derive(Debug, Error)]
enum Violation {
    #[error("{request}: reached {backend} {late_ms} ms after the list showed that it leaves, sent by {gateway:?}, in touch")]
    Drain {
        request: String,
        backend: String,
        late_ms: u128,
        gateway: Place,
    },
    #[error("{request}: was run by {backend}, of a service that no configuration names")]
    Service { request: String, backend: String },
    #[error("{request}: run for an older configuration, {since_ms} ms after {newer} was acknowledged, by {gateway:?}, in touch")]
    Configuration {
        request: String,
        newer: u64,
        since_ms: u128,
        gateway: Place,
    },
    #[error("{request}: must not run twice, ran {runs} times")]
    Twice { request: String, runs: usize },
    #[error("{request}: was answered {status}, and yet ran")]
    Refused { request: String, status: u16 },
    #[error("{request}: had run, and {gateway:?} closed the connection without a whole answer")]
    Lost { request: String, gateway: Place },
    #[error(
        "{denied} proper requests of {requests} were answered with a 4xx by gateways in touch"
    )]
    Denied { denied: usize, requests: usize },
    #[error(
        "{request}: was run by {backend} without naming it: another instance could have run it"
    )]
    Unnamed { request: String, backend: String },
    #[error("{gateway:?}, in touch, served none of {requests} requests of two seconds from {from_s} s on that expect no version of weights")]
    Unserved {
        gateway: Place,
        from_s: u128,
        requests: usize,
    },
}

/// Judges a seed whose troubles are over; tells whether all rules were kept.
pub(crate) fn judge(seed: u64, world: World) -> bool {
    let mut tier = world.tier.into_inner();
    let mut record = world.record.into_inner();
    world.backends.into_inner().note_runs(&tier, &mut record);
    let violations = Judge::of(&record).violations();
    println!("seed {seed}: {}", summary(&record));
    if violations.is_empty() {
        return true;
    }
    tier.keeps_folder = true;
    println!("seed {seed}: rules were broken:");
    for violation in &violations {
        println!("  {violation}");
    }
    println!("seed {seed}: events:\n{record}");
    println!(
        "seed {seed}: settings, data and logs: {}",
        tier.folder().display()
    );
    false
}

fn summary(record: &Record) -> String {
    let answered = |statuses: fn(u16) -> bool| {
        let is_such = |sent: &&Sent| matches!(sent.ended, Some((_, Outcome::Answered(status))) if statuses(status));
        record.sent.values().filter(is_such).count()
    };
    let leaving = |listed: &&super::record::Listed| listed.leaving_shown.is_some();
    format!(
        "{} requests, {} with success, {} refused, {} runs; {} of {} backends left, {} signals, {} configurations, {} stalls of the disk",
        record.sent.len(),
        answered(|status| status == 200),
        answered(|status| REFUSALS.contains(&status)),
        record.runs.len(),
        record.backends.values().filter(leaving).count(),
        record.backends.len(),
        record.signals.len(),
        record.configurations.len() - 1,
        record.disk_stalls.len(),
    )
}

struct Judge<'a> {
    record: &'a Record,
    runs_of: BTreeMap<&'a str, Vec<&'a Run>>,
}

impl<'a> Judge<'a> {
    fn of(record: &'a Record) -> Judge<'a> {
        let mut runs_of: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &record.runs {
            runs_of.entry(&run.request).or_default().push(run);
        }
        Judge { record, runs_of }
    }

    fn violations(&self) -> Vec<Violation> {
        let of_runs = self.record.runs.iter().flat_map(|run| self.check_run(run));
        let of_requests = self.record.sent.iter();
        let of_requests = of_requests.flat_map(|(id, sent)| self.check_request(id, sent));
        of_runs
            .chain(of_requests)
            .chain(self.check_denied())
            .chain(self.check_served())
            .collect()
    }

    fn check_run(&self, run: &Run) -> Vec<Violation> {
        let Some(sent) = self.record.sent.get(&run.request) else {
            return Vec::new();
        };
        let found = [
            self.check_drain(run, sent),
            self.check_service(run, sent),
            self.check_configuration(run, sent),
            self.check_instance(run),
        ];
        found.into_iter().flatten().collect()
    }

    fn check_drain(&self, run: &Run, sent: &Sent) -> Option<Violation> {
        let shown = self.record.backends.get(&run.backend)?.leaving_shown?;
        let counted = self.counted(shown, run.at);
        let is_late = counted > DRAIN_BOUND && self.is_in_touch(sent.gateway, run.at);
        is_late.then(|| Violation::Drain {
            request: run.request.clone(),
            backend: run.backend.clone(),
            late_ms: (run.at - shown).as_millis(),
            gateway: sent.gateway,
        })
    }

    fn check_instance(&self, run: &Run) -> Option<Violation> {
        (!run.named_instance).then(|| Violation::Unnamed {
            request: run.request.clone(),
            backend: run.backend.clone(),
        })
    }

    /// In each span, a gateway in touch serves one of the requests that expect no version: it has not given up all
    /// backends.
    fn check_served(&self) -> Vec<Violation> {
        let mut served_in: BTreeMap<(Place, u128), Vec<bool>> = BTreeMap::new();
        for sent in self.record.sent.values() {
            let Some((ended, outcome)) = sent.ended else {
                continue;
            };
            if sent.expected_version.is_some() || !self.is_in_touch(sent.gateway, ended) {
                continue;
            }
            let since_start = sent.at - self.record.started;
            let span = since_start.as_millis() / SERVED_SPAN.as_millis();
            let served = served_in.entry((sent.gateway, span)).or_default();
            served.push(outcome == Outcome::Answered(200));
        }
        let is_unserved = |served: &[bool]| {
            served.len() >= FEWEST_UNSERVED && !served.iter().any(|served| *served)
        };
        let unserved = served_in.into_iter();
        unserved
            .filter(|(_, served)| is_unserved(served))
            .map(|((gateway, span), served)| Violation::Unserved {
                gateway,
                from_s: span * SERVED_SPAN.as_millis() / 1000,
                requests: served.len(),
            })
            .collect()
    }

    fn check_service(&self, run: &Run, sent: &Sent) -> Option<Violation> {
        let service = self.record.backends.get(&run.backend)?.service;
        (!may_lead_to(sent.route, service)).then(|| Violation::Service {
            request: run.request.clone(),
            backend: run.backend.clone(),
        })
    }

    /// A request that was sent later than the bound after a version's acknowledgement runs as that version or a later one
    /// allows.
    fn check_configuration(&self, run: &Run, sent: &Sent) -> Option<Violation> {
        let service = self.record.backends.get(&run.backend)?.service;
        let in_force = self
            .record
            .configurations
            .iter()
            .rev()
            .find(|configured| self.must_be_in_force(configured.acknowledged, sent.at))?;
        let since = sent.at - in_force.acknowledged?;
        let may_be = self.record.configurations.iter();
        let mut may_be = may_be.filter(|configured| configured.version >= in_force.version);
        let is_old = sent.route == Route::Switch
            && !may_be.any(|configured| configured.service == service)
            && self.is_in_touch(sent.gateway, sent.at);
        is_old.then(|| Violation::Configuration {
            request: run.request.clone(),
            newer: in_force.version,
            since_ms: since.as_millis(),
            gateway: sent.gateway,
        })
    }

    fn must_be_in_force(&self, acknowledged: Option<Instant>, at: Instant) -> bool {
        acknowledged.is_some_and(|acknowledged| acknowledged + CONFIG_BOUND < at)
    }

    fn check_request(&self, id: &str, sent: &Sent) -> Option<Violation> {
        let (ended, outcome) = sent.ended?;
        let runs = self.runs_of.get(id).map_or(0, Vec::len);
        let request = || id.to_string();
        match outcome {
            _ if sent.route == Route::Sale && runs > 1 => Some(Violation::Twice {
                request: request(),
                runs,
            }),
            Outcome::Answered(status)
                if sent.route == Route::Sale && REFUSALS.contains(&status) && runs > 0 =>
            {
                Some(Violation::Refused {
                    request: request(),
                    status,
                })
            }
            Outcome::Cut if runs > 0 && self.is_calm(sent, ended) => Some(Violation::Lost {
                request: request(),
                gateway: sent.gateway,
            }),
            _ => None,
        }
    }

    fn check_denied(&self) -> Option<Violation> {
        let is_denied = |sent: &&Sent| match sent.ended {
            Some((ended, Outcome::Answered(status))) => {
                (400..500).contains(&status)
                    && !REFUSALS.contains(&status)
                    && self.is_in_touch(sent.gateway, ended)
            }
            _ => false,
        };
        let denied = self.record.sent.values().filter(is_denied).count();
        let requests = self.record.sent.len();
        (denied > MOST_DENIED + requests / DENIED_SHARE)
            .then_some(Violation::Denied { denied, requests })
    }

    /// Whether nothing unplanned struck the gateway of a request from `CONTACT` before it until its end, and no backend
    /// crashed or ended meanwhile.
    fn is_calm(&self, sent: &Sent, ended: Instant) -> bool {
        let is_unplanned = |signal| matches!(signal, Signal::Kill | Signal::Pause);
        let is_struck = self.record.signals.iter().any(|signalled| {
            signalled.place == sent.gateway
                && is_unplanned(signalled.signal)
                && overlaps(signalled.span, sent.at - CONTACT, ended)
        });
        !is_struck && !self.has_backend_ended(sent.at, ended)
    }

    /// Whether a backend that was leaving may have ended in a span: its connections end with it.
    fn has_backend_ended(&self, from: Instant, until: Instant) -> bool {
        let ends = ["is gone", "crashes"];
        self.record.events.iter().any(|(at, event)| {
            from <= *at && *at <= until && ends.iter().any(|end| event.contains(end))
        })
    }

    /// Time between two moments, without the spans in which the platform was down.
    fn counted(&self, from: Instant, until: Instant) -> Duration {
        let down = self.record.platform_down.iter().map(|span| {
            let begins = span.from.max(from);
            let ends = span.until.unwrap_or(until).min(until);
            ends.saturating_duration_since(begins)
        });
        until
            .saturating_duration_since(from)
            .saturating_sub(down.sum())
    }

    /// Whether a gateway, the core and the disk were free of trouble for `CONTACT` before a moment.
    fn is_in_touch(&self, gateway: Place, at: Instant) -> bool {
        let concerns = |place: Place| place == gateway || matches!(place, Place::Gateway(_));
        let mut stalls = self.record.disk_stalls.iter();
        if stalls.any(|stall| overlaps(*stall, at - CONTACT, at)) {
            return false;
        }
        !self.record.signals.iter().any(|signalled| {
            signalled.signal != Signal::HangUp
                && concerns(signalled.place)
                && overlaps(signalled.span, at - CONTACT, at)
        })
    }
}

fn overlaps(span: Span, from: Instant, until: Instant) -> bool {
    span.from <= until && span.until.is_none_or(|end| end >= from)
}
