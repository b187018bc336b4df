//! Who chooses a backend, with what knowledge and how late. All choices are made by the program's own code.

use crate::settings::Settings;
use crate::traffic::Request;
use alderhollow::balance::{Balancer, NoBackend, Outcome, SelectionRequest};
use alderhollow::placement::ledger::Ledger;
use alderhollow::placement::message::{AttemptId, Demand, End, Event, PlaceRequest, Report};
use alderhollow::placement::offers::{zones_to_ask, Offers};
use alderhollow_model::backend::{Backend, BackendList, BackendState};
use alderhollow_model::config::{Config, Engine as EngineConfig, Service};
use alderhollow_model::identity::{Address, Incarnation};
use alderhollow_model::snapshot::{ControlView, Senders, Snapshot};
use clap::ValueEnum;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

const SERVICE: &str = "engines";

/// Ways to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// Each sender knows its own attempts alone.
    Blind,
    /// A placer in each zone knows what its senders report, with their delays.
    Zone,
    /// One placer for all backends knows everything at once.
    Informed,
}

impl Policy {
    /// All of them.
    pub const ALL: [Policy; 3] = [Policy::Blind, Policy::Zone, Policy::Informed];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Blind => "blind",
            Policy::Zone => "zone",
            Policy::Informed => "informed",
        }
    }
}

/// Zone of a sender or of a backend, by its number.
fn zone_name(index: usize) -> String {
    format!("zone-{index}")
}

fn backend_name(index: usize) -> String {
    format!("backend-{index:04}")
}

/// The tables that all choose by.
fn tables(settings: &Settings, zones: usize) -> Snapshot {
    let engines = &settings.engines;
    let backend = |index: usize| Backend {
        id: backend_name(index),
        service: SERVICE.to_string(),
        address: Address(SocketAddr::from(([10, 0, 0, 1], 8080))),
        zone: zone_name(index % zones),
        slots: engines.slots as u32,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    };
    let service = Service {
        name: SERVICE.to_string(),
        health_path: None,
        max_conns: None,
        cold_start_s: 0.0,
        cold_per_s: 0.0,
        engine: Some(EngineConfig {
            slots: Some(engines.slots as u32),
            kv_capacity_tokens: Some(engines.memory_tokens),
            stride: None,
        }),
    };
    let config = Config {
        services: vec![service],
        ..Config::default()
    };
    let control = ControlView {
        config: Some(Arc::new(config)),
        ..ControlView::default()
    };
    let count = settings.senders.gateways + settings.senders.stores;
    let nodes = (0..count)
        .map(|sender| format!("sender-{sender:04}"))
        .collect();
    Snapshot {
        control: Arc::new(control),
        backends: Arc::new(BackendList {
            epoch: 1,
            sequence: 1,
            backends: (0..engines.count).map(backend).collect(),
        }),
        backends_at_ms: 0,
        senders: Arc::new(Senders {
            nodes,
            placers: Vec::new(),
        }),
        validated: true,
    }
}

/// A report on its way to a placer.
#[derive(Debug)]
struct Pending {
    due_ms: f64,
    zone: usize,
    report: Report,
}

/// The choosers of one run.
#[derive(Debug)]
enum Choosers {
    Senders(Vec<Balancer>),
    Placers {
        ledgers: Vec<Ledger>,
        zones: usize,
        delay_ms: f64,
        pending: Vec<Pending>,
    },
}

/// Chooses backends for a run.
#[derive(Debug)]
pub struct Chooser {
    choosers: Choosers,
    /// By request: the balancer's number, or the zone of the placer.
    attempts: BTreeMap<usize, (usize, u64)>,
}

impl Chooser {
    /// The choosers of a policy.
    pub fn new(policy: Policy, settings: &Settings) -> Chooser {
        let all = settings.engines.zones;
        let senders = settings.senders.gateways + settings.senders.stores;
        let choosers = match policy {
            Policy::Blind => Choosers::Senders(
                (0..senders)
                    .map(|sender| balancer(settings, sender))
                    .collect(),
            ),
            Policy::Zone => placers(settings, all, settings.senders.report_delay_ms),
            Policy::Informed => placers(settings, 1, 0.0),
        };
        Chooser {
            choosers,
            attempts: BTreeMap::new(),
        }
    }

    /// A backend for a request; `None`: none has room now.
    pub fn choose(
        &mut self,
        now: f64,
        index: usize,
        request: &Request,
        priority: u32,
    ) -> Option<usize> {
        let prompt = &request.prompt;
        let wanted = SelectionRequest {
            service: SERVICE,
            prompt: Some(prompt),
            priority,
            tried: &[],
            expected_weights: None,
            sender: None,
        };
        match &mut self.choosers {
            Choosers::Senders(balancers) => {
                let choice = match balancers[request.sender].choose(now, &wanted) {
                    Ok(choice) => choice,
                    Err(
                        NoBackend::NoneReady
                        | NoBackend::AllFull { .. }
                        | NoBackend::OtherWeights { .. },
                    ) => return None,
                };
                self.attempts
                    .insert(index, (request.sender, choice.attempt));
                place_of(&choice.backend.id)
            }
            Choosers::Placers {
                ledgers,
                zones,
                pending,
                ..
            } => {
                let attempt = AttemptId {
                    sender: Incarnation(request.sender as u64),
                    number: index as u64,
                };
                let question = PlaceRequest {
                    attempt,
                    demand: Demand::of(&wanted, Vec::new())?,
                };
                let own = zone_name(request.sender % *zones);
                let mut offers = Offers::new(&own);
                let all = (0..*zones).map(zone_name).collect();
                for name in zones_to_ask(all, &own, index as u64) {
                    let placement = ledgers.get_mut(place_of(&name)?)?.place(now, &question);
                    if let Some(unused) = offers.add(&name, index as u64, placement) {
                        let zone = place_of(&unused.zone)?;
                        pending.push(report(
                            now,
                            zone,
                            request,
                            Event::Ended(index as u64, End::Cancelled),
                        ));
                    }
                    if offers.is_sufficient() {
                        break;
                    }
                }
                let offer = offers.best().ok()?;
                let zone = place_of(&offer.zone)?;
                let backend = place_of(&offer.backend)?;
                self.attempts.insert(index, (zone, index as u64));
                Some(backend)
            }
        }
    }

    /// The first event of a request came.
    pub fn began(&mut self, now: f64, index: usize, request: &Request) {
        let Some(&(place, attempt)) = self.attempts.get(&index) else {
            return;
        };
        match &mut self.choosers {
            Choosers::Senders(balancers) => balancers[place].response_started(now, attempt),
            Choosers::Placers {
                delay_ms, pending, ..
            } => {
                pending.push(report(
                    now + *delay_ms,
                    place,
                    request,
                    Event::ResponseStarted(attempt),
                ));
            }
        }
    }

    /// A request ended.
    pub fn ended(&mut self, now: f64, index: usize, request: &Request) {
        let Some((place, attempt)) = self.attempts.remove(&index) else {
            return;
        };
        match &mut self.choosers {
            Choosers::Senders(balancers) => {
                balancers[place].ended(now, attempt, Outcome::Served);
            }
            Choosers::Placers {
                delay_ms, pending, ..
            } => {
                pending.push(report(
                    now + *delay_ms,
                    place,
                    request,
                    Event::Ended(attempt, End::Served),
                ));
            }
        }
    }

    /// Hands over the reports that have arrived by now.
    pub fn deliver(&mut self, now: f64) {
        let Choosers::Placers {
            ledgers, pending, ..
        } = &mut self.choosers
        else {
            return;
        };
        let (due, later) = std::mem::take(pending)
            .into_iter()
            .partition(|report| report.due_ms <= now);
        *pending = later;
        let due: Vec<Pending> = due;
        for Pending { zone, report, .. } in due {
            ledgers[zone].apply_report(now, &report);
        }
    }
}

fn report(due_ms: f64, zone: usize, request: &Request, event: Event) -> Pending {
    let sender = Incarnation(request.sender as u64);
    Pending {
        due_ms,
        zone,
        report: Report::Events {
            sender,
            events: vec![event],
        },
    }
}

fn balancer(settings: &Settings, sender: usize) -> Balancer {
    let zone = zone_name(sender % settings.engines.zones);
    let mut balancer = Balancer::new(&format!("sender-{sender:04}"), &zone, sender as u64 + 1);
    balancer.update(0.0, &tables(settings, settings.engines.zones));
    balancer
}

fn placers(settings: &Settings, zones: usize, delay_ms: f64) -> Choosers {
    let ledger = |zone: usize| {
        let mut ledger = Ledger::new("placer", &zone_name(zone), zone as u64 + 1);
        ledger.update(0.0, &tables(settings, zones));
        ledger
    };
    Choosers::Placers {
        ledgers: (0..zones).map(ledger).collect(),
        zones,
        delay_ms,
        pending: Vec::new(),
    }
}

/// The number at the end of a name.
fn place_of(name: &str) -> Option<usize> {
    name.rsplit('-').next()?.parse().ok()
}
