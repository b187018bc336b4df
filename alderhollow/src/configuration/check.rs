//! Whether a document is a valid configuration, and its typed view.

use super::schema::{
    route_type_by_name, LimitsSchema, RouteSchema, ServiceSchema, WeightedServiceSchema,
};
use super::{version_of, InvalidConfig};
use crate::finding::Finding;
use alderhollow_model::config::{Config, Engine, Limits, Route, Service, WeightedService};
use schematic::{Config as Schema, ConfigError, PartialConfig};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Checks a whole document. All findings come at once.
///
/// # Errors
/// All findings, if there are any.
pub fn check(document: &Value) -> Result<Config, InvalidConfig> {
    let mut findings = Vec::new();
    if !document.is_object() {
        return Err(Finding::new("document", "must be an object").into());
    }
    let config_version = version_of(document)
        .map_err(|finding| findings.push(finding))
        .unwrap_or(0);
    let routes: Vec<RouteSchema> = read_list(document, "routes", &mut findings);
    let services: Vec<ServiceSchema> = read_list(document, "services", &mut findings);
    let limits = read_limits(document, &mut findings);
    let config = Config {
        config_version,
        routes: routes.iter().filter_map(typed_route).collect(),
        services: services.iter().filter_map(typed_service).collect(),
        limits,
    };
    // Findings about several parts would mislead where a part could not be read.
    if findings.is_empty() {
        check_service_names(&config, &mut findings);
        check_route_names(&config, &mut findings);
        check_places(&config, &mut findings);
        check_services_of_routes(&config, &mut findings);
    }
    if findings.is_empty() {
        Ok(config)
    } else {
        Err(InvalidConfig(findings))
    }
}

/// Reads the items of a list. A finding for each that is wrong; the others are given.
fn read_list<S: Schema>(document: &Value, name: &str, findings: &mut Vec<Finding>) -> Vec<S> {
    let Some(list) = document.get(name) else {
        findings.push(Finding::new(name, "is missing: give the list, be it empty"));
        return Vec::new();
    };
    let Some(items) = list.as_array() else {
        findings.push(Finding::new(name, "must be a list"));
        return Vec::new();
    };
    let read = |(index, item)| read_part(item, &format!("{name}[{index}]"), findings);
    items.iter().enumerate().filter_map(read).collect()
}

fn read_limits(document: &Value, findings: &mut Vec<Finding>) -> Limits {
    let read: Option<LimitsSchema> = match document.get("limits") {
        None | Some(Value::Null) => None,
        Some(limits) => read_part(limits, "limits", findings),
    };
    let default = Limits::default();
    let Some(limits) = read else {
        return default;
    };
    Limits {
        max_header_bytes: limits
            .max_header_bytes
            .map_or(default.max_header_bytes, round_up),
        max_body_bytes: limits
            .max_body_bytes
            .map_or(default.max_body_bytes, round_up),
        header_timeout_ms: limits
            .header_timeout_ms
            .map_or(default.header_timeout_ms, round_up),
        idle_timeout_ms: limits
            .idle_timeout_ms
            .map_or(default.idle_timeout_ms, round_up),
    }
}

/// Reads one part by its schema and checks each of its fields.
fn read_part<S: Schema>(value: &Value, position: &str, findings: &mut Vec<Finding>) -> Option<S> {
    if !value.is_object() {
        findings.push(Finding::new(position, "must be an object"));
        return None;
    }
    let partial = match S::Partial::deserialize(value) {
        Ok(partial) => partial,
        Err(error) => {
            findings.extend(wrong_types::<S>(value, position, &error));
            return None;
        }
    };
    let context = Default::default();
    match partial.validate(&context, true) {
        Ok(()) => Some(S::from_partial(partial)),
        Err(ConfigError::Validator { error, .. }) => {
            let found = error.errors.iter();
            findings.extend(
                found.map(|error| {
                    Finding::new(format!("{position}.{}", error.path), &error.message)
                }),
            );
            None
        }
        Err(other) => {
            findings.push(Finding::new(position, other.to_string()));
            None
        }
    }
}

/// The fields of a part that have wrong types: each is read alone.
fn wrong_types<S: Schema>(part: &Value, position: &str, whole: &serde_json::Error) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (key, value) in part.as_object().into_iter().flatten() {
        let alone = json!({ key: value });
        if let Err(error) = S::Partial::deserialize(&alone) {
            findings.push(Finding::new(
                format!("{position}.{key}"),
                type_message(&error),
            ));
        }
    }
    if findings.is_empty() {
        findings.push(Finding::new(position, type_message(whole)));
    }
    findings
}

fn type_message(error: &serde_json::Error) -> String {
    error
        .to_string()
        .replace("expected f64", "expected a number")
}

fn typed_route(schema: &RouteSchema) -> Option<Route> {
    Some(Route {
        name: schema.name.clone()?,
        hostname: schema.hostname.clone()?,
        path_prefix: schema.path_prefix.clone()?,
        route_type: route_type_by_name(schema.route_type.as_deref()?)?,
        timeout_ms: schema.timeout_ms.map(round_up),
        target_latency_ms: schema.target_latency_ms.map(round_up),
        priority: schema.priority.map_or(0, round_up_small),
        service: schema.service.clone(),
        traffic_split: schema
            .traffic_split
            .iter()
            .flatten()
            .filter_map(typed_part)
            .collect(),
        max_attempts: schema.max_attempts.map(round_up_small),
        sticky: schema.sticky.unwrap_or(false),
        resumable: schema.resumable.unwrap_or(false),
        gap_aim_ms: schema.gap_aim_ms,
        run_target_ms: schema.run_target_ms.map(round_up),
        retention_s: schema.retention_s,
        max_queued_tokens: schema.max_queued_tokens.map_or(0, round_up),
    })
}

fn typed_part(schema: &WeightedServiceSchema) -> Option<WeightedService> {
    Some(WeightedService {
        service: schema.service.clone()?,
        weight: schema.weight?,
    })
}

fn typed_service(schema: &ServiceSchema) -> Option<Service> {
    let engine = schema.engine.as_ref().map(|engine| Engine {
        slots: engine.slots.map(round_up_small),
        kv_capacity_tokens: engine.kv_capacity_tokens.map(round_up),
        stride: engine.stride.map(round_up_small),
    });
    Some(Service {
        name: schema.name.clone()?,
        health_path: schema.health_path.clone(),
        max_conns: schema.max_conns.map(round_up_small),
        cold_start_s: schema.cold_start_s.unwrap_or(0.0),
        cold_per_s: schema.cold_per_s.unwrap_or(0.0),
        engine,
    })
}

/// A conversion of floats saturates, so that no value is out of range.
fn round_up(number: f64) -> u64 {
    number.ceil() as u64
}

fn round_up_small(number: f64) -> u32 {
    number.ceil() as u32
}

fn check_service_names(config: &Config, findings: &mut Vec<Finding>) {
    let mut seen = BTreeSet::new();
    for (index, service) in config.services.iter().enumerate() {
        if !seen.insert(&service.name) {
            let message = format!(
                "another service is called `{}`: names are unique",
                service.name
            );
            findings.push(Finding::new(format!("services[{index}].name"), message));
        }
    }
}

fn check_route_names(config: &Config, findings: &mut Vec<Finding>) {
    let mut seen = BTreeSet::new();
    for (index, route) in config.routes.iter().enumerate() {
        if !seen.insert(&route.name) {
            let message = format!("another route is called `{}`: names are unique", route.name);
            findings.push(Finding::new(format!("routes[{index}].name"), message));
        }
    }
}

fn check_places(config: &Config, findings: &mut Vec<Finding>) {
    let mut first_at: BTreeMap<(String, &str), &str> = BTreeMap::new();
    for (index, route) in config.routes.iter().enumerate() {
        let place = (
            route.hostname.to_ascii_lowercase(),
            route.path_prefix.as_str(),
        );
        let Some(other) = first_at.get(&place) else {
            first_at.insert(place, &route.name);
            continue;
        };
        let message = format!(
            "route `{}` shares host and prefix with route `{other}`",
            route.name
        );
        findings.push(Finding::new(
            format!("routes[{index}].path-prefix"),
            message,
        ));
    }
}

fn check_services_of_routes(config: &Config, findings: &mut Vec<Finding>) {
    let known: BTreeSet<&str> = config
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    for (index, route) in config.routes.iter().enumerate() {
        let split = route.traffic_split.iter().enumerate();
        let parts =
            split.map(|(part, entry)| (format!("traffic-split[{part}].service"), &entry.service));
        let only = route
            .service
            .iter()
            .map(|service| ("service".to_string(), service));
        for (field, service) in only.chain(parts) {
            if !known.contains(service.as_str()) {
                let message = format!(
                    "route `{}` names the service `{service}`, which is not listed",
                    route.name
                );
                findings.push(Finding::new(format!("routes[{index}].{field}"), message));
            }
        }
        check_weights(index, route, findings);
    }
}

fn check_weights(index: usize, route: &Route, findings: &mut Vec<Finding>) {
    if route.traffic_split.is_empty() {
        if route.service.is_none() {
            let message = format!(
                "route `{}` names no service: give `service` or `traffic-split`",
                route.name
            );
            findings.push(Finding::new(format!("routes[{index}]"), message));
        }
        return;
    }
    let sum: f64 = route.traffic_split.iter().map(|part| part.weight).sum();
    if sum <= 0.0 {
        let message = format!(
            "the weights of route `{}` sum to 0: give one a weight above 0",
            route.name
        );
        findings.push(Finding::new(
            format!("routes[{index}].traffic-split"),
            message,
        ));
    }
}
