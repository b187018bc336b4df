//! The shape of a configuration's parts, and what each field must hold by itself. What concerns several parts is in
//! `check`.
//!
//! All numbers are read as fractions, so that a whole number may be written either way.

use alderhollow_model::config::RouteType;
use schematic::{Config, ValidateError, ValidateResult};

/// A route.
#[derive(Debug, Clone, Config)]
#[config(rename_all = "kebab-case", allow_unknown_fields)]
pub(super) struct RouteSchema {
    /// Unique name.
    #[setting(required, validate = not_empty)]
    pub name: Option<String>,
    /// The `Host` it is for.
    #[setting(required, validate = not_empty)]
    pub hostname: Option<String>,
    /// Begins and ends with a slash.
    #[setting(required, validate = between_slashes)]
    pub path_prefix: Option<String>,
    /// One of the known types.
    #[setting(required, validate = known_route_type)]
    pub route_type: Option<String>,
    /// Above 0.
    #[setting(validate = above_zero)]
    pub timeout_ms: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub target_latency_ms: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub priority: Option<f64>,
    /// The only service.
    pub service: Option<String>,
    /// The services of a split route.
    #[setting(nested)]
    pub traffic_split: Option<Vec<WeightedServiceSchema>>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub max_attempts: Option<f64>,
    /// Whether requests share parts of their prompts.
    pub sticky: Option<bool>,
    /// Whether a stream may be taken up again.
    pub resumable: Option<bool>,
    /// Not negative.
    #[setting(rename = "gap_aim_ms", validate = not_negative)]
    pub gap_aim_ms: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub run_target_ms: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub retention_s: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub max_queued_tokens: Option<f64>,
}

/// A part of a split route.
#[derive(Debug, Clone, Config)]
#[config(rename_all = "kebab-case", allow_unknown_fields)]
pub(super) struct WeightedServiceSchema {
    /// The service's name.
    #[setting(required, validate = not_empty)]
    pub service: Option<String>,
    /// Not negative.
    #[setting(required, validate = not_negative)]
    pub weight: Option<f64>,
}

/// A service.
#[derive(Debug, Clone, Config)]
#[config(rename_all = "kebab-case", allow_unknown_fields)]
pub(super) struct ServiceSchema {
    /// Unique name.
    #[setting(required, validate = not_empty)]
    pub name: Option<String>,
    /// Path of the health check.
    pub health_path: Option<String>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub max_conns: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub cold_start_s: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub cold_per_s: Option<f64>,
    /// The model engine.
    #[setting(nested)]
    pub engine: Option<EngineSchema>,
}

/// A model engine.
#[derive(Debug, Clone, Config)]
#[config(rename_all = "kebab-case", allow_unknown_fields)]
pub(super) struct EngineSchema {
    /// Not negative.
    #[setting(validate = not_negative)]
    pub slots: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub kv_capacity_tokens: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub stride: Option<f64>,
}

/// Bounds on what a client may send.
#[derive(Debug, Clone, Config)]
#[config(rename_all = "kebab-case", allow_unknown_fields)]
pub(super) struct LimitsSchema {
    /// Not negative.
    #[setting(validate = not_negative)]
    pub max_header_bytes: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub max_body_bytes: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub header_timeout_ms: Option<f64>,
    /// Not negative.
    #[setting(validate = not_negative)]
    pub idle_timeout_ms: Option<f64>,
}

/// The type of a route by its name.
pub(super) fn route_type_by_name(name: &str) -> Option<RouteType> {
    match name {
        "idempotent" => Some(RouteType::Idempotent),
        "non_idempotent" => Some(RouteType::NonIdempotent),
        "streaming" => Some(RouteType::Streaming),
        "batch" => Some(RouteType::Batch),
        _ => None,
    }
}

fn not_empty<P, C>(text: &str, _: &P, _: &C, _: bool) -> ValidateResult {
    if text.is_empty() {
        return Err(ValidateError::new("must not be empty"));
    }
    Ok(())
}

fn between_slashes<P, C>(prefix: &str, _: &P, _: &C, _: bool) -> ValidateResult {
    if prefix.starts_with('/') && prefix.ends_with('/') {
        return Ok(());
    }
    Err(ValidateError::new("must begin and end with a slash"))
}

fn known_route_type<P, C>(name: &str, _: &P, _: &C, _: bool) -> ValidateResult {
    if route_type_by_name(name).is_some() {
        return Ok(());
    }
    Err(ValidateError::new(
        "must be one of idempotent, non_idempotent, streaming, batch",
    ))
}

fn above_zero<P, C>(number: &f64, _: &P, _: &C, _: bool) -> ValidateResult {
    if *number > 0.0 {
        return Ok(());
    }
    Err(ValidateError::new("must be above 0"))
}

fn not_negative<P, C>(number: &f64, _: &P, _: &C, _: bool) -> ValidateResult {
    if *number >= 0.0 {
        return Ok(());
    }
    Err(ValidateError::new("must not be negative"))
}
