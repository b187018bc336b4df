//! Model test of the control state: random requests of operators, some retried, on two replicas, one of which is sometimes
//! restored from a snapshot, compared with an oracle.

mod control;

use alderhollow::control_state::request::{Order, Request};
use alderhollow::control_state::ControlState;
use alderhollow_coordination::replica::interface::{Decision, StateMachine};
use control::{context, patch, put, route, submit};
use proptest::prelude::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// One step of a run.
#[derive(Debug, Clone)]
enum Step {
    /// Sends a new request. `behind` is the current version minus its `If-Match`, `rise` its own version minus the current
    /// one.
    Send {
        kind: OrderKind,
        behind: u64,
        rise: u64,
    },
    /// Retries an earlier request.
    Resend(prop::sample::Index),
    /// Evacuates a zone or cancels the evacuation.
    Zone { name: &'static str, evacuate: bool },
    /// Restores the second replica from a snapshot of the first.
    Restore,
}

#[derive(Debug, Clone)]
enum OrderKind {
    /// A complete configuration with these routes and time-outs.
    Put(BTreeMap<String, u64>),
    /// Routes to set and to delete.
    Patch(BTreeMap<String, u64>, BTreeSet<String>),
}

fn routes() -> impl Strategy<Value = BTreeMap<String, u64>> {
    prop::collection::btree_map("[a-d]", 1_u64..4, 0..4)
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![
        routes().prop_map(OrderKind::Put),
        (routes(), prop::collection::btree_set("[a-d]", 0..3))
            .prop_map(|(set, delete)| OrderKind::Patch(set, delete)),
    ];
    let behind = prop_oneof![4 => Just(0_u64), 1 => 1_u64..5];
    prop_oneof![
        6 => (kind, behind, 0_u64..4).prop_map(|(kind, behind, rise)| Step::Send { kind, behind, rise }),
        4 => any::<prop::sample::Index>().prop_map(Step::Resend),
        1 => (prop::sample::select(vec!["north", "south", "nowhere"]), any::<bool>())
            .prop_map(|(name, evacuate)| Step::Zone { name, evacuate }),
        1 => Just(Step::Restore),
    ]
}

/// A request with the properties that the oracle uses.
#[derive(Debug, Clone)]
struct SentRequest {
    order: Order,
    identity: String,
    if_match: u64,
    version: u64,
    kind: OrderKind,
}

fn items(routes: &BTreeMap<String, u64>) -> Vec<Value> {
    routes
        .iter()
        .map(|(name, timeout)| route(name, &format!("/{name}/"), *timeout))
        .collect()
}

fn new_order(kind: OrderKind, if_match: u64, version: u64) -> SentRequest {
    let (order, document) = match &kind {
        OrderKind::Put(routes) => {
            let document = json!({"config-version": version, "routes": items(routes),
                "services": [{"name": "llm"}], "limits": {}});
            (put(if_match, &document), document)
        }
        OrderKind::Patch(set, delete) => {
            let change = json!({"config-version": version, "upsert": {"routes": items(set)},
                "delete": {"routes": delete}});
            (patch(if_match, &change), change)
        }
    };
    let method = matches!(kind, OrderKind::Put(_));
    SentRequest {
        order,
        identity: format!("{method} {if_match} {document}"),
        if_match,
        version,
        kind,
    }
}

/// The expected state, in its simplest representation.
#[derive(Debug, Default)]
struct Oracle {
    version: u64,
    routes: BTreeMap<String, u64>,
    accepted: BTreeSet<String>,
    evacuated: BTreeSet<String>,
}

impl Oracle {
    fn submit(&mut self, sent: &SentRequest) -> u16 {
        if self.accepted.contains(&sent.identity) {
            return 200;
        }
        if sent.if_match != self.version {
            return 412;
        }
        if sent.version <= self.version {
            return 400;
        }
        match &sent.kind {
            OrderKind::Put(routes) => self.routes = routes.clone(),
            // Before the first configuration a change leads to a document without its lists.
            OrderKind::Patch(..) if self.version == 0 => return 400,
            OrderKind::Patch(set, delete) => {
                self.routes.retain(|name, _| !delete.contains(name));
                self.routes.extend(set.clone());
            }
        }
        self.version = sent.version;
        self.accepted.insert(sent.identity.clone());
        200
    }

    fn zone(&mut self, name: &str, evacuate: bool) -> u16 {
        if name == "nowhere" {
            return 404;
        }
        if evacuate {
            self.evacuated.insert(name.to_string());
        } else {
            self.evacuated.remove(name);
        }
        200
    }
}

/// Two replicas: the first decides, both apply.
#[derive(Default)]
struct Replicas {
    first: ControlState,
    second: ControlState,
}

impl Replicas {
    fn submit(&mut self, order: &Order) -> u16 {
        let request = Request::Order {
            order: order.clone(),
            context: context(),
        };
        if let Decision::Replicate(command) = self.first.decide(&request.to_bytes()) {
            self.second.apply(&command);
        }
        submit(&mut self.first, order, &context()).status()
    }
}

fn timeouts(state: &ControlState) -> BTreeMap<String, u64> {
    let config = state.view().config;
    let routes = config.iter().flat_map(|config| config.routes.iter());
    routes
        .map(|route| (route.name.clone(), route.timeout_ms.unwrap_or(0)))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn every_request_is_answered_as_the_oracle_predicts(steps in prop::collection::vec(step(), 1..60)) {
        let mut replicas = Replicas::default();
        let mut oracle = Oracle::default();
        let mut sent: Vec<SentRequest> = Vec::new();
        for step in steps {
            match step {
                Step::Send { kind, behind, rise } => {
                    let if_match = oracle.version.saturating_sub(behind);
                    let order = new_order(kind, if_match, if_match + rise + u64::from(if_match == 0));
                    prop_assert_eq!(replicas.submit(&order.order), oracle.submit(&order));
                    sent.push(order);
                }
                Step::Resend(index) if !sent.is_empty() => {
                    let order = index.get(&sent).clone();
                    prop_assert_eq!(replicas.submit(&order.order), oracle.submit(&order));
                }
                Step::Resend(_) => {}
                Step::Zone { name, evacuate } => {
                    let zone = name.to_string();
                    let order = if evacuate { Order::Evacuate { zone } } else { Order::CancelEvacuation { zone } };
                    prop_assert_eq!(replicas.submit(&order), oracle.zone(name, evacuate));
                }
                Step::Restore => {
                    let snapshot = replicas.first.snapshot();
                    replicas.second = ControlState::default();
                    replicas.second.restore(&snapshot);
                }
            }
            prop_assert_eq!(&replicas.first, &replicas.second);
            prop_assert_eq!(replicas.first.config_version(), oracle.version);
            prop_assert_eq!(timeouts(&replicas.first), oracle.routes.clone());
            prop_assert_eq!(&replicas.first.view().evacuated, &oracle.evacuated);
        }
    }
}
