//! Configuration: the environment and the JSON file it names, checked and turned into the module's terms.

use crate::backends::discovery::List;
use crate::cluster::{ClusterDocument, ClusterSettings, ClusterSettingsError};
use crate::errors::{text, word};
use crate::life::reload::differences;
use crate::log::Form;
use quota_gateway::{Class, Effect, InvalidSetting, Plan, Scope, Settings};
use rustix::fs::OFlags;
use serde::Deserialize;
use serde_json::Value;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, fs};
use thiserror::Error;

/// What the platform gives at the least, in MB: for a file that does not say.
const LEAST_MEMORY_MB: f64 = 32.0;

/// Most bytes of a file that is read while clients are served: many times what the longest list, roster and map take.
const RELOAD_LIMIT: u64 = 4 << 20;

/// What keeps a configuration from being taken.
#[derive(Error, Debug)]
pub enum ConfigError {
    #[error("BALANCER_CONFIG is not set; set it to the configuration's file, or start with --config FILE")]
    NoFile,
    #[error("cannot read {}: {}; check the path, and that this program may read it", text(.path.display()), word(.error))]
    Unreadable { path: PathBuf, error: io::Error },
    #[error("configuration: {}; correct the file there, and try it with --check", text(.0))]
    Malformed(serde_json::Error),
    #[error("{key} is not set; set that variable, or the key of the file that it goes before")]
    NotSet { key: &'static str },
    #[error("{key}: '{}' is no address with a port; write one as in 127.0.0.1:8080", word(.written))]
    NoAddress { key: &'static str, written: String },
    #[error("seed: '{}' is no number in hexadecimal; write 1 to 16 digits, 0 to f", word(.written))]
    Seed { written: String },
    #[error("{0}; correct it in the file's settings")]
    Setting(InvalidSetting),
    #[error("setting {key}: {} is no length of time; write milliseconds, more than 0", word(.ms))]
    Time { key: &'static str, ms: f64 },
    #[error(
        "limits.sockets: {sockets} are too few; set at least {least}, and as many as the platform gives"
    )]
    TooFewSockets { sockets: usize, least: usize },
    #[error(transparent)]
    ClusterSettings(#[from] ClusterSettingsError),
}

/// All that a front door is told at its start.
pub(crate) struct Config {
    /// The form of the log's lines.
    pub log: Form,
    pub listen: SocketAddr,
    /// Where staff call, if anywhere.
    pub admin: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    /// In bytes.
    pub memory: usize,
    pub known: List,
    pub names: Names,
    pub settings: Settings,
    pub connect_timeout: Duration,
    pub idle_timeout: Duration,
    /// The other front doors, if this one is to know them.
    pub fleet: Option<ClusterSettings>,
}

/// Names that stand on the sockets, each at the index by which the module knows it.
pub(crate) struct Names {
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    fleet: Option<ClusterDocument>,
    #[serde(default)]
    log: Form,
    listen: Option<String>,
    admin_addr: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Limits,
    known: List,
    settings: Told,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Told {
    areas: Vec<String>,
    balancers: u32,
    ordinal: u32,
    zone: u16,
    tick: f64,
    registry_mode: RegistryMode,
    bounds: Bounds,
    rules: Rules,
    family_info: FamilyInfo,
    classes: Vec<ToldClass>,
    plans: Vec<ToldPlan>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    cancel: bool,
    conn_idle: f64,
    connect_timeout: f64,
    max_attempts: u32,
    max_retry_after: f64,
    may_duplicate: bool,
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    cold: f64,
    cold_from: f64,
    fall: f64,
    stop_sending_within: f64,
    tip_multiple: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    most_units: f64,
    use_period: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ToldClass {
    name: String,
    semantics: Semantics,
    group: Group,
    dedup_window: f64,
    worth: f64,
    slo: f64,
    deadline: f64,
    late_share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Semantics {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ToldPlan {
    name: String,
    units_per_s: f64,
    store_size: f64,
    concurrency: u32,
    price: f64,
    excess_worth: f64,
    overrun_cost: f64,
    never_over_rate: f64,
    cap_depth: f64,
    tolerance: f64,
}

/// The file that holds the configuration, and what stood there at the start.
pub(crate) struct Source {
    path: PathBuf,
    text: String,
}

/// What is taken over from a configuration that was replaced, and the keys that are not before the next start.
pub(crate) struct Replaced {
    pub discovery: SocketAddr,
    pub roster: Option<ClusterSettings>,
    pub left: Vec<String>,
}

/// What is taken over while the program runs, at the top and below that.
const TAKEN_OVER: [&str; 1] = ["discovery"];
const TAKEN_OVER_BELOW: [&str; 3] = ["fleet.peers", "fleet.shards.map", "fleet.shards.expect"];

impl Source {
    /// Reads the file, by default the one that the environment names.
    ///
    /// # Errors
    /// No file is named, or it cannot be read.
    pub(crate) fn open(path: Option<PathBuf>) -> Result<Source, ConfigError> {
        let path = path.or_else(|| env::var_os("BALANCER_CONFIG").map(PathBuf::from));
        let path = path.ok_or(ConfigError::NoFile)?;
        let text = read(&path)?;
        Ok(Source { path, text })
    }

    /// What the program starts from. The environment, where it says something, goes before the file.
    ///
    /// # Errors
    /// The first thing that is missing or makes no sense.
    pub(crate) fn config(&self) -> Result<Config, ConfigError> {
        parse(&self.text, |name| env::var(name).ok())
    }

    /// Reads the file that was replaced. The environment, which is still that of the start, has no say in it.
    ///
    /// # Errors
    /// The first thing that is missing or makes no sense.
    pub(crate) fn reload(&self) -> Result<Replaced, ConfigError> {
        #[derive(Deserialize)]
        struct Told {
            discovery: String,
            fleet: Option<ClusterDocument>,
        }
        let text = read_while_serving(&self.path)?;
        let Told { discovery, fleet } =
            serde_json::from_str(&text).map_err(ConfigError::Malformed)?;
        let discovery = address("discovery", &discovery)?;
        let [before, after] = [&self.text, &text].map(|text| serde_json::from_str(text));
        let before: Value = before.map_err(ConfigError::Malformed)?;
        let after: Value = after.map_err(ConfigError::Malformed)?;
        // Who this front door is follows from the start; who the others are may change.
        let name = before.get("name").and_then(Value::as_str);
        let had = before.get("fleet").is_some_and(|fleet| !fleet.is_null());
        let fleet = fleet.filter(|_| had);
        let roster = fleet
            .map(|told| ClusterSettings::read(name, &told))
            .transpose()?;
        let mut left = differences(&before, &after, &TAKEN_OVER);
        left.retain(|key| !TAKEN_OVER_BELOW.iter().any(|taken| key.starts_with(taken)));
        Ok(Replaced {
            discovery,
            roster,
            left,
        })
    }
}

fn read(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|error| ConfigError::Unreadable {
        path: path.to_path_buf(),
        error,
    })
}

/// As [`read`], where it may neither wait nor take more memory than there is: a pipe keeps its reader waiting, and a
/// device or a wrong file may have no end.
fn read_while_serving(path: &Path) -> Result<String, ConfigError> {
    let plain = || {
        let no_wait = OFlags::NONBLOCK.bits() as i32;
        let file = fs::File::options()
            .read(true)
            .custom_flags(no_wait)
            .open(path)?;
        let mut text = String::new();
        if !file.metadata()?.is_file() {
            return Err(io::Error::other("it is no plain file"));
        }
        if file.take(RELOAD_LIMIT + 1).read_to_string(&mut text)? as u64 > RELOAD_LIMIT {
            return Err(io::Error::other("it is longer than 4 MiB"));
        }
        Ok(text)
    };
    plain().map_err(|error| ConfigError::Unreadable {
        path: path.to_path_buf(),
        error,
    })
}

fn address(key: &'static str, written: &str) -> Result<SocketAddr, ConfigError> {
    written.parse().map_err(|_| ConfigError::NoAddress {
        key,
        written: written.to_string(),
    })
}

fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let file: File = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
    let named = |key: &'static str, written: Option<String>| {
        address(
            key,
            &variable(key)
                .or(written)
                .ok_or(ConfigError::NotSet { key })?,
        )
    };
    let admin = variable("BALANCER_ADMIN_ADDR")
        .or(file.admin_addr)
        .filter(|text| !text.is_empty());
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed {
        written: file.seed.clone(),
    })?;
    let fleet = file
        .fleet
        .map(|told| ClusterSettings::read(file.name.as_deref(), &told))
        .transpose()?;
    let told = file.settings;
    let names = Names {
        classes: told
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect(),
        plans: told.plans.iter().map(|plan| plan.name.clone()).collect(),
        zones: told.areas,
    };
    let bounds = told.bounds;
    let settings = Settings {
        gateways: told.balancers,
        ordinal: told.ordinal,
        zone: told.zone,
        classes: told.classes.iter().map(class).collect(),
        plans: told.plans.iter().map(plan).collect(),
        max_units: told.family_info.most_units,
        meter_period: told.family_info.use_period,
        max_attempts: bounds.max_attempts,
        may_duplicate: bounds.may_duplicate,
        may_cancel: bounds.cancel,
        max_retry_after: if bounds.retry_after {
            bounds.max_retry_after
        } else {
            0.0
        },
        drain_grace: told.rules.stop_sending_within,
        cold_from: told.rules.cold_from,
        cold_for: told.rules.cold,
        tip_multiple: told.rules.tip_multiple,
        tip_after: told.rules.fall,
        tick: told.tick,
        list_on_request: told.registry_mode == RegistryMode::OnRequest,
    };
    settings.validate().map_err(ConfigError::Setting)?;
    let time = |key: &'static str, ms: f64| match Duration::try_from_secs_f64(ms / 1000.0) {
        Ok(time) if !time.is_zero() => Ok(time),
        _ => Err(ConfigError::Time { key, ms }),
    };
    Ok(Config {
        log: file.log,
        listen: named("BALANCER_LISTEN", file.listen)?,
        admin: admin.map(|text| address("admin_addr", &text)).transpose()?,
        discovery: named("BALANCER_DISCOVERY", file.discovery)?,
        seed,
        sockets: file.limits.sockets,
        memory: (file.limits.memory_mb.unwrap_or(LEAST_MEMORY_MB) * f64::from(1 << 20)) as usize,
        known: file.known,
        names,
        settings,
        connect_timeout: time("bounds.connectTimeout", bounds.connect_timeout)?,
        idle_timeout: time("bounds.connIdle", bounds.conn_idle)?,
        fleet,
    })
}

fn class(told: &ToldClass) -> Class {
    let scope = match told.group {
        Group::All => Scope::All,
        Group::Zone => Scope::Zone,
        Group::Cell => Scope::Cell,
    };
    Class {
        worth: told.worth,
        aim: told.slo,
        deadline: told.deadline,
        late_share: told.late_share,
        effect: match told.semantics {
            Semantics::Free => Effect::Idempotent,
            Semantics::Guarded => Effect::Deduplicated {
                scope,
                window: told.dedup_window,
            },
            Semantics::SingleShot => Effect::NonIdempotent,
        },
    }
}

fn plan(told: &ToldPlan) -> Plan {
    Plan {
        rate: told.units_per_s,
        burst: told.store_size,
        open: told.concurrency,
        price: told.price,
        over_worth: told.excess_worth,
        over_cost: told.overrun_cost,
        ceiling_rate: told.never_over_rate,
        ceiling_burst: told.cap_depth,
        ceiling_slack: told.tolerance,
    }
}
