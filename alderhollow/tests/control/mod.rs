//! Documents and requests for the tests of the control state.
#![allow(dead_code)]

use alderhollow::control_state::command::Command;
use alderhollow::control_state::request::{
    Answer, ConfigOrder, Decision, Order, OrderContext, Refusal, Request,
};
use alderhollow::control_state::ControlState;
use alderhollow_coordination::replica::interface::{self as replica, StateMachine};
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use serde_json::{json, Value};

/// Outcome of an operator's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    Committed,
    AlreadyDone,
    Refused(Refusal),
}

impl Outcome {
    /// The HTTP status that an operator sees.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Outcome::Committed | Outcome::AlreadyDone => 200,
            Outcome::Refused(refusal) => refusal.status(),
        }
    }
}

/// Decides a request and applies the command, both encoded, as a replica does.
pub(crate) fn submit(state: &mut ControlState, order: &Order, context: &OrderContext) -> Outcome {
    let request = Request::Order {
        order: order.clone(),
        context: context.clone(),
    };
    match state.decide(&request.to_bytes()) {
        replica::Decision::Replicate(command) => {
            state.apply(&command);
            Outcome::Committed
        }
        replica::Decision::Answer(answer) => {
            match Answer::from_bytes(&answer).expect("an answer") {
                Answer::AlreadyDone => Outcome::AlreadyDone,
                Answer::Refused(refusal) => Outcome::Refused(refusal),
                Answer::Unreadable => panic!("the request is well formed"),
            }
        }
    }
}

/// The command that a request results in, if any.
pub(crate) fn command_of(state: &ControlState, request: &Request) -> Option<Command> {
    match state.decide_request(request) {
        Decision::Commit(command) => Some(command),
        Decision::Answer(_) => None,
    }
}

/// Context with two zones and tolerance for the loss of one machine.
pub(crate) fn context() -> OrderContext {
    OrderContext {
        zones: ["north", "south"].map(str::to_string).into(),
        tolerate_machines: 1,
        gone_stores: Default::default(),
    }
}

pub(crate) fn put(if_match: u64, document: &Value) -> Order {
    Order::PutConfig(ConfigOrder {
        if_match: Some(if_match.to_string()),
        body: document.to_string().into_bytes(),
    })
}

pub(crate) fn patch(if_match: u64, change: &Value) -> Order {
    Order::PatchConfig(ConfigOrder {
        if_match: Some(if_match.to_string()),
        body: change.to_string().into_bytes(),
    })
}

pub(crate) fn route(name: &str, prefix: &str, timeout_ms: u64) -> Value {
    json!({"name": name, "hostname": "desk.example", "path-prefix": prefix, "route-type": "idempotent",
           "timeout-ms": timeout_ms, "service": "llm", "a-later-field": [1, 2]})
}

/// A valid document whose content depends on `seed`.
pub(crate) fn document(version: u64, seed: u64) -> Value {
    json!({"config-version": version, "routes": [route("first", "/first/", 1000 + seed)],
           "services": [{"name": "llm", "max-conns": 3, "link-mbps": 2900000.0}], "limits": {}})
}

pub(crate) fn store(node: &str, zone: &str, disk: u64) -> NodeInfo {
    NodeInfo {
        node: node.to_string(),
        role: Role::Store,
        zone: zone.to_string(),
        incarnation: Incarnation(1),
        disk: Some(DiskId(disk)),
        internal: Address("10.0.0.1:7000".parse().expect("address")),
        control: None,
    }
}
