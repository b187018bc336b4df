//! What the emulated parties of one run know of it: the fleet's shape in the terms of its protocols.

use crate::kinds::{Kind, Need};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    #[serde(default)]
    pub semantics: Semantics,
    /// Part of all requests, beside the other classes' parts.
    #[serde(default = "one")]
    pub share: f64,
    /// Mean work on a warm backend.
    pub service_ms: f64,
    #[serde(default = "slo")]
    pub slo_ms: f64,
    #[serde(default = "deadline")]
    pub deadline_ms: f64,
    /// For `guarded`: within how long of the first attempt that may have run another one runs harmlessly.
    #[serde(default = "dedup")]
    pub dedup_ms: f64,
}

fn one() -> f64 {
    1.0
}
fn slo() -> f64 {
    1000.0
}
fn deadline() -> f64 {
    2000.0
}
fn dedup() -> f64 {
    5000.0
}

/// Whether a request may run again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Semantics {
    #[default]
    Free,
    Guarded,
    SingleShot,
}

/// A plan and the customers that have it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    pub customers: usize,
    /// The quota, and how much of it may be used at once, over all front doors together.
    pub units_per_s: f64,
    pub burst_units: f64,
    /// What each customer asks for, as a multiple of the quota, and how unevenly: 0 is one rate for all, 1 spreads
    /// rates from nothing to twice the mean.
    pub offered: f64,
    #[serde(default)]
    pub uneven: f64,
    /// Front doors that a customer's requests come through.
    pub spread: usize,
    #[serde(default = "one")]
    pub price: f64,
    /// The hard ceiling on units a second and at once; 0 is none.
    #[serde(default)]
    pub ceiling_per_s: f64,
    #[serde(default)]
    pub ceiling_burst: f64,
    /// Slack of the ceiling, as a part of it.
    #[serde(default = "tenth")]
    pub tolerance: f64,
    /// Most attempts out at once; 0 is no such limit.
    #[serde(default)]
    pub open: u32,
    /// How the customers' work depends on the connections to backends.
    #[serde(default, skip_serializing_if = "is_default")]
    pub kind: Kind,
    /// Mean requests of a run; 0: they do not come in runs.
    #[serde(default, skip_serializing_if = "is_default")]
    pub run_length: f64,
    /// Requests of one run follow within a quarter of this, and the next run comes later than one and a half of it. State
    /// for a run is over after it.
    #[serde(default, skip_serializing_if = "is_default")]
    pub run_gap_ms: f64,
    /// How many of a customer's front doors one run comes through.
    #[serde(default = "one_door", skip_serializing_if = "is_one_door")]
    pub run_spread: usize,
    /// A customer has state at each front door apart.
    #[serde(default, skip_serializing_if = "is_default")]
    pub per_door: bool,
}

// What runs had before there were kinds is written down as it was.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
fn one_door() -> usize {
    1
}
fn is_one_door(doors: &usize) -> bool {
    *doors == one_door()
}

impl Plan {
    /// What its customers' work needs of connections.
    pub fn need(&self) -> Need {
        Need {
            kind: self.kind,
            run_gap_ms: self.run_gap_ms,
            per_door: self.per_door,
        }
    }

    /// The next request of a run comes so much later: least and most.
    pub fn within_run_ms(&self) -> [f64; 2] {
        [self.run_gap_ms / 20.0, self.run_gap_ms / 4.0]
    }

    /// The mean time from the end of a run to the next one beyond the least one, and the least one, for a customer with so
    /// many requests a second.
    pub fn between_runs_ms(&self, rate: f64) -> [f64; 2] {
        let [least, most] = self.within_run_ms();
        let run = (self.run_length - 1.0) * (least + most) / 2.0;
        let apart = self.run_gap_ms * 1.5;
        [self.run_length / rate * 1000.0 - run - apart, apart]
    }
}

fn tenth() -> f64 {
    0.1
}

/// What holds for backends as the front doors' rules have it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub grace_ms: f64,
    pub cold_ms: f64,
    pub cold_from: f64,
    pub tip_multiple: f64,
    pub tip_ms: f64,
    pub most_units: u32,
    pub meter_period_ms: f64,
    pub may_duplicate: bool,
    pub connect_timeout_ms: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            grace_ms: 500.0,
            cold_ms: 8000.0,
            cold_from: 0.3,
            tip_multiple: 2.0,
            tip_ms: 1500.0,
            most_units: 1,
            meter_period_ms: 1000.0,
            may_duplicate: false,
            connect_timeout_ms: 250.0,
        }
    }
}

/// All that a run's records are judged by, kept beside them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    pub scenario: String,
    pub seed: u64,
    pub seconds: f64,
    pub doors: usize,
    pub backends: usize,
    pub zones: usize,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    pub rules: Rules,
    /// The checks that are asked for.
    pub checks: Vec<String>,
    /// The lab's lateness beyond which a run gives no verdict.
    pub lateness_ms: f64,
}

/// A backend's name in the list.
pub fn backend_name(backend: usize) -> String {
    format!("s-{backend:08x}")
}

impl Facts {
    /// Whether any customer's work depends on connections.
    pub fn binds(&self) -> bool {
        self.plans.iter().any(|plan| plan.kind != Kind::Statement)
    }

    /// A zone's name.
    pub fn zone(&self, of: usize) -> String {
        format!("z{}", of % self.zones.max(1))
    }

    /// The `settings` of a front door's configuration. A plan that `withdrawn` names has next to no quota.
    pub fn settings(&self, door: usize, withdrawn: Option<&str>) -> Value {
        let Rules {
            grace_ms,
            cold_ms,
            cold_from,
            tip_multiple,
            tip_ms,
            ..
        } = self.rules;
        let classes = self.classes.iter().map(|class| {
            json!({"name": class.name, "semantics": class.semantics, "group": "all", "dedupWindow": class.dedup_ms,
                   "worth": 1.0, "slo": class.slo_ms, "deadline": class.deadline_ms, "lateShare": 0.0,
                   "stream": false})
        });
        let plans = self.plans.iter().map(|plan| {
            let part = if withdrawn == Some(plan.name.as_str()) { 1e-6 } else { 1.0 };
            // A plan that is withdrawn is to have a ceiling of next to nothing, as quotas are kept by chance.
            let ceiling = if part < 1.0 { plan.units_per_s } else { plan.ceiling_per_s };
            json!({"name": plan.name, "unitsPerS": part * plan.units_per_s, "storeSize": part * plan.burst_units,
                   "concurrency": plan.open, "price": plan.price, "excessWorth": 0.0, "overrunCost": 0.5,
                   "neverOverRate": part * ceiling, "capDepth": part * plan.ceiling_burst,
                   "tolerance": plan.tolerance})
        });
        let zones: Vec<String> = (0..self.zones.max(1)).map(|zone| self.zone(zone)).collect();
        json!({
            "areas": zones, "balancers": self.doors, "ordinal": door, "zone": door % self.zones.max(1),
            "tick": 4.0, "registryMode": "pushed",
            "bounds": {"cancel": true, "connIdle": 15000.0, "connectTimeout": self.rules.connect_timeout_ms,
                       "maxAttempts": 4, "maxRetryAfter": 1000.0, "mayDuplicate": self.rules.may_duplicate,
                       "retryAfter": true},
            "rules": {"cold": cold_ms, "coldFrom": cold_from, "fall": tip_ms, "stopSendingWithin": grace_ms,
                      "tipMultiple": tip_multiple},
            "familyInfo": {"mostUnits": self.rules.most_units, "usePeriod": self.rules.meter_period_ms},
            "classes": classes.collect::<Vec<_>>(),
            "plans": plans.collect::<Vec<_>>(),
        })
    }
}
