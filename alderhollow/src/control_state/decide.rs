//! Decision rules for requests, evaluated by the primary against the newest committed state.
//!
//! A configuration request is checked in this order: (1) one that was accepted before is acknowledged again; (2) one whose
//! `If-Match` is not the current version is rejected with 412; (3) an invalid one is rejected with 400; otherwise it is
//! committed. The digest of a request covers its `If-Match`: the same document sent on top of a later version is a different
//! request, and is rejected as its version is not above the current one.

use super::accepted_requests::{request_digest, Method};
use super::command::Command;
use super::groups::are_valid_initial_groups;
use super::request::{Answer, ConfigOrder, Decision, Order, OrderContext, Refusal, Request};
use super::{ConfigDocument, ControlState};
use crate::configuration::{apply_patch, check, read_json, version_of, InvalidConfig};
use crate::finding::Finding;
use alderhollow_model::config::ConfigVersion;
use serde_json::Value;

impl ControlState {
    /// Decides a request: whether a command is replicated for it, or what is answered.
    pub fn decide_request(&self, request: &Request) -> Decision {
        match request {
            Request::Order { order, context } => self.decide_order(order, context),
            Request::RegisterStore(store) if self.stores.would_change(store) => {
                Decision::Commit(Command::RegisterStore(store.clone()))
            }
            Request::FoundGroups(groups)
                if self.groups.is_empty() && are_valid_initial_groups(groups) =>
            {
                Decision::Commit(Command::FoundGroups(groups.clone()))
            }
            Request::ChangeGroups(changes)
                if changes
                    .iter()
                    .any(|change| self.is_applicable_change(change)) =>
            {
                Decision::Commit(Command::ChangeGroups(changes.clone()))
            }
            _ => Decision::Answer(Answer::AlreadyDone),
        }
    }

    fn decide_order(&self, order: &Order, context: &OrderContext) -> Decision {
        let decided = match order {
            Order::PutConfig(order) => self.decide_config(Method::Put, order),
            Order::PatchConfig(order) => self.decide_config(Method::Patch, order),
            Order::Evacuate { zone } => self.decide_evacuation(zone, context),
            Order::CancelEvacuation { zone } => self.decide_cancel_evacuation(zone, context),
            Order::Retire { node } => self.decide_retirement(node, context),
        };
        match decided {
            Ok(Some(command)) => Decision::Commit(command),
            Ok(None) => Decision::Answer(Answer::AlreadyDone),
            Err(refusal) => Decision::Answer(Answer::Refused(refusal)),
        }
    }

    /// Returns `None` if the request was accepted before.
    fn decide_config(
        &self,
        method: Method,
        order: &ConfigOrder,
    ) -> Result<Option<Command>, Refusal> {
        let sent = read_json(&order.body).map_err(|error| Refusal::invalid(&[error.finding()]))?;
        let digest = request_digest(method, order, &sent);
        if self.accepted.contains(digest) {
            return Ok(None);
        }
        let base = read_if_match(order.if_match.as_deref())
            .map_err(|finding| Refusal::invalid(&[finding]))?;
        let current = self.config_version();
        if base != current {
            return Err(Refusal::VersionMismatch { current });
        }
        let document = self.resulting_document(method, order, &sent)?;
        Ok(Some(Command::SetConfig {
            base,
            order: digest,
            document,
        }))
    }

    /// The complete, validated document that results from a request.
    fn resulting_document(
        &self,
        method: Method,
        order: &ConfigOrder,
        sent: &Value,
    ) -> Result<Vec<u8>, Refusal> {
        check_version_is_above(sent, self.config_version())?;
        match method {
            Method::Put => {
                check(sent).map_err(|invalid| refusal_of(&invalid))?;
                Ok(order.body.clone())
            }
            Method::Patch => {
                let current = self.document().map_or(Value::Null, ConfigDocument::value);
                let result = apply_patch(&current, sent).map_err(|invalid| refusal_of(&invalid))?;
                check(&result).map_err(|invalid| refusal_of(&invalid))?;
                Ok(result.to_string().into_bytes())
            }
        }
    }

    fn decide_evacuation(
        &self,
        zone: &str,
        context: &OrderContext,
    ) -> Result<Option<Command>, Refusal> {
        if self.evacuated.contains(zone) {
            return Ok(None);
        }
        check_zone(zone, context)?;
        Ok(Some(Command::Evacuate {
            zone: zone.to_string(),
        }))
    }

    fn decide_cancel_evacuation(
        &self,
        zone: &str,
        context: &OrderContext,
    ) -> Result<Option<Command>, Refusal> {
        if self.evacuated.contains(zone) {
            return Ok(Some(Command::CancelEvacuation {
                zone: zone.to_string(),
            }));
        }
        check_zone(zone, context)?;
        Ok(None)
    }

    fn decide_retirement(
        &self,
        node: &str,
        context: &OrderContext,
    ) -> Result<Option<Command>, Refusal> {
        if self.stores.get(node).is_none() {
            return Err(Refusal::UnknownMachine(node.to_string()));
        }
        if self.stores.is_retiring(node) {
            return Ok(None);
        }
        let remaining = self.stores.remaining_without(node, &context.gone_stores) as u64;
        let needed = context.tolerate_machines.saturating_add(1);
        if remaining < needed {
            return Err(Refusal::TooFewWouldRemain { remaining, needed });
        }
        Ok(Some(Command::Retire {
            node: node.to_string(),
        }))
    }
}

fn refusal_of(invalid: &InvalidConfig) -> Refusal {
    Refusal::invalid(&invalid.0)
}

fn check_zone(zone: &str, context: &OrderContext) -> Result<(), Refusal> {
    if context.zones.contains(zone) {
        return Ok(());
    }
    Err(Refusal::UnknownZone(zone.to_string()))
}

fn check_version_is_above(sent: &Value, current: ConfigVersion) -> Result<(), Refusal> {
    let version = version_of(sent).map_err(|finding| Refusal::invalid(&[finding]))?;
    if version > current {
        return Ok(());
    }
    let message = format!("{version} is not above the current version {current}");
    Err(Refusal::invalid(&[Finding::new("config-version", message)]))
}

/// Parses the version in `If-Match`, with or without quotes.
fn read_if_match(header: Option<&str>) -> Result<ConfigVersion, Finding> {
    let position = "If-Match";
    let Some(text) = header else {
        let message =
            "is missing: set it to the version that the change builds on, 0 for the first";
        return Err(Finding::new(position, message));
    };
    let number = text.trim().trim_matches('"');
    number
        .parse()
        .map_err(|_| Finding::new(position, "must be the number of a version"))
}
