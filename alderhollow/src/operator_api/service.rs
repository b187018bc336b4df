//! Decides the operators' calls at the core's primary, or points to it.
//!
//! Whatever tells of the state is said only under a lease, which is looked at again when the answer is written. An
//! acknowledged change needs none: it is on enough disks.

use super::calls::{Call, ConfigMethod, PendingCall, Reply};
use crate::clock::SteadyClock;
use crate::control_state::group_policy::gone_stores;
use crate::control_state::request::{Answer, ConfigOrder, Order, OrderContext, Refusal, Request};
use crate::core::authority::ControlAuthority;
use crate::distribution::directory::Directory;
use crate::SnapshotReceiver;
use alderhollow_coordination::replica::interface::{Outcome, ProposeError};
use http::StatusCode;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Decides calls for one gateway.
pub struct OperatorService {
    /// The core's member in this process; `None` where it has no disk.
    pub authority: Option<Rc<ControlAuthority>>,
    /// Where the core is.
    pub directory: Directory,
    /// Where this gateway takes operators' calls.
    pub own_address: SocketAddr,
    /// Zones of the settings.
    pub zones: BTreeSet<String>,
    /// `tolerate.machines` of the settings.
    pub tolerate_machines: usize,
    /// The process's tables.
    pub snapshots: SnapshotReceiver,
    /// The process's clock.
    pub clock: SteadyClock,
}

impl OperatorService {
    /// Decides calls until the future is dropped. Calls may wait for each other's commits; the core orders them.
    pub async fn run(self: Rc<Self>, mut calls: mpsc::Receiver<PendingCall>) {
        while let Some(PendingCall { call, reply }) = calls.recv().await {
            let service = self.clone();
            tokio::task::spawn_local(async move {
                let _ = reply.send(service.decide(call).await);
            });
        }
    }

    /// Decides a call.
    pub async fn decide(&self, call: Call) -> Reply {
        let authority = match &self.authority {
            Some(authority) if authority.core().leased_epoch().is_some() => authority.clone(),
            _ => return self.elsewhere(),
        };
        match call {
            Call::ReadConfig => self.read_config(&authority),
            Call::ReadRetirement { node } => self.read_retirement(&authority, &node),
            Call::Retire { document, .. } if !is_empty_or_json(&document) => self.under_lease(
                &authority,
                StatusCode::BAD_REQUEST,
                error_body("the body is no JSON"),
            ),
            Call::Retire { node, .. } => self.order(&authority, Order::Retire { node }).await,
            Call::Evacuate { zone } => self.order(&authority, Order::Evacuate { zone }).await,
            Call::CancelEvacuation { zone } => {
                self.order(&authority, Order::CancelEvacuation { zone })
                    .await
            }
            Call::ChangeConfig {
                method,
                if_match,
                document,
            } => {
                let order = ConfigOrder {
                    if_match,
                    body: document.to_vec(),
                };
                let order = match method {
                    ConfigMethod::Put => Order::PutConfig(order),
                    ConfigMethod::Patch => Order::PatchConfig(order),
                };
                self.order(&authority, order).await
            }
        }
    }

    async fn order(&self, authority: &Rc<ControlAuthority>, order: Order) -> Reply {
        let name = order_name(&order);
        let context = self.order_context(authority);
        let request = Request::Order { order, context };
        match authority.core().propose(request.to_bytes()).await {
            Ok(Outcome::Committed(version)) => {
                log::info!("{name} is taken, in version {version} of the core's state");
                Reply::Decided {
                    status: StatusCode::OK,
                    body: b"{}".to_vec(),
                    valid_until: None,
                }
            }
            Ok(Outcome::Answered(answer)) => self.answered(authority, &answer),
            Err(ProposeError::NotPrimary) => self.elsewhere(),
            Err(ProposeError::Overloaded) => Reply::Unavailable,
            Err(ProposeError::Unknown) => Reply::Unknown,
        }
    }

    fn answered(&self, authority: &ControlAuthority, answer: &[u8]) -> Reply {
        match Answer::from_bytes(answer) {
            Ok(Answer::AlreadyDone) => self.under_lease(authority, StatusCode::OK, b"{}".to_vec()),
            Ok(Answer::Refused(refusal)) => {
                let status =
                    StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::BAD_REQUEST);
                log::info!("an operator's order is refused: {refusal}");
                self.under_lease(authority, status, refusal_body(&refusal))
            }
            Ok(Answer::Unreadable) | Err(_) => Reply::Unavailable,
        }
    }

    fn order_context(&self, authority: &ControlAuthority) -> OrderContext {
        let mut zones = self.zones.clone();
        let snapshot = self.snapshots.borrow().clone();
        zones.extend(
            snapshot
                .backends
                .backends
                .iter()
                .map(|backend| backend.zone.clone()),
        );
        let gone = authority
            .group_view()
            .map(|view| gone_stores(&authority.core().state(), &view));
        OrderContext {
            zones,
            tolerate_machines: self.tolerate_machines as u64,
            gone_stores: gone.unwrap_or_default(),
        }
    }

    fn read_config(&self, authority: &ControlAuthority) -> Reply {
        let text = authority
            .core()
            .state()
            .document()
            .map(|document| document.text().to_vec());
        match text {
            Some(text) => self.under_lease(authority, StatusCode::OK, text),
            None => Reply::Unavailable,
        }
    }

    fn read_retirement(&self, authority: &ControlAuthority, node: &str) -> Reply {
        let state = authority.core().state().retirement(node);
        match state {
            Some(state) => {
                let body = json!({ "state": state.name() }).to_string().into_bytes();
                self.under_lease(authority, StatusCode::OK, body)
            }
            None => {
                let body = error_body("no retirement of this machine was asked for");
                self.under_lease(authority, StatusCode::NOT_FOUND, body)
            }
        }
    }

    /// An answer that tells of the state: good only until the lease ends.
    fn under_lease(
        &self,
        authority: &ControlAuthority,
        status: StatusCode,
        body: Vec<u8>,
    ) -> Reply {
        if authority.core().leased_epoch().is_none() {
            return Reply::Unavailable;
        }
        let valid_until = Some(self.clock.instant(authority.core().lease_until_ms()));
        Reply::Decided {
            status,
            body,
            valid_until,
        }
    }

    /// Points to the primary, if it is known and another one.
    fn elsewhere(&self) -> Reply {
        let known = self.directory.core_view().primary;
        let by_core = || {
            self.authority
                .as_ref()
                .and_then(|authority| authority.core().core_view().primary)
        };
        let primary = known.or_else(by_core).and_then(|primary| primary.control);
        match primary {
            Some(address) if address.0 != self.own_address => Reply::Elsewhere(address.0),
            _ => Reply::Unavailable,
        }
    }
}

/// What an order is called in the log.
fn order_name(order: &Order) -> &'static str {
    match order {
        Order::PutConfig(_) => "a configuration",
        Order::PatchConfig(_) => "a change of the configuration",
        Order::Evacuate { .. } => "an evacuation",
        Order::CancelEvacuation { .. } => "the end of an evacuation",
        Order::Retire { .. } => "a retirement",
    }
}

fn is_empty_or_json(document: &[u8]) -> bool {
    document.is_empty() || serde_json::from_slice::<serde_json::Value>(document).is_ok()
}

fn error_body(message: &str) -> Vec<u8> {
    json!({ "error": message }).to_string().into_bytes()
}

fn refusal_body(refusal: &Refusal) -> Vec<u8> {
    error_body(&refusal.to_string())
}
