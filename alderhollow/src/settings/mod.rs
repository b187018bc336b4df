//! Settings of one process: the file that the platform writes for it, read and checked.
//!
//! The file is TOML. Keys that are not known here are passed over; so are known ones that no part of the program needs
//! and that are empty.

mod keys;
mod reading;
pub mod reload;

use crate::finding::Finding;
use alderhollow_model::identity::Role;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "ALDERHOLLOW_BOOT";

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the machine.
    pub node: String,
    /// Name of the role in the deploy file.
    pub role: String,
    /// Class of the machine.
    pub machine_class: String,
    /// The parties outside the role that may call it.
    pub serves: Vec<String>,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
    /// Ports that are free for what the tier's processes say to each other.
    pub internal_ports: RangeInclusive<u16>,
    /// Control addresses of some machines, to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
    /// Whether `tolerate.machines` counts this machine.
    pub counts_for_quorum: bool,
    /// Folder on the disk, if there is one.
    pub data_dir: Option<PathBuf>,
    /// The parts of the rules that are in force.
    pub contracts: Vec<String>,
    /// Region of each zone. Holds this machine's zone even if the file does not list it.
    pub zones: BTreeMap<String, String>,
    /// Where it listens.
    pub listen: Listen,
    /// What the machine bears.
    pub limits: MachineLimits,
    /// What may be lost at the same time.
    pub tolerate: Tolerate,
    /// Figures of the rules.
    pub bounds: Bounds,
    /// The platform.
    pub cloud: Cloud,
    /// Lowest level of log entries that are written.
    pub log_level: Option<log::LevelFilter>,
}

/// Addresses on which a process listens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listen {
    /// For clients.
    pub front: Option<SocketAddr>,
    /// For the platform's question whether it is ready.
    pub ready: Option<SocketAddr>,
    /// For operators.
    pub control: Option<SocketAddr>,
}

/// What the machine bears.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineLimits {
    /// Share of one core.
    pub cpu_share: f64,
    /// How many times as fast that core is, or how many there are.
    pub cores: f64,
    /// Most memory of a process, in MB; `None`: not told.
    pub memory_mb: Option<u64>,
    /// Most descriptors of a process; `None`: not told.
    pub max_fds: Option<u64>,
    /// Bandwidth of the machine's link, in Mbit/s; `None`: not told.
    pub link_mbps: Option<f64>,
    /// Size of the disk, in MB; `None`: not told.
    pub disk_mb: Option<u64>,
}

/// What may be lost at the same time while every rule holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tolerate {
    /// Machines that count.
    pub machines: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
}

/// Figures of the rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// How much the operator's list of control addresses lags.
    pub seed_lag: Duration,
    /// After this a backend of another service may get the address of one that has ended.
    pub reuse_after: Duration,
    /// How long a machine must have been well to be in touch.
    pub contact: Duration,
    /// Within this an operator's order is acknowledged.
    pub ack: Duration,
    /// How long a machine counts as lost after its return.
    pub catch_up: Duration,
    /// Within this a draining backend gets nothing more.
    pub drain: Duration,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// See the rule LOST.
    pub loss_slack: Duration,
    /// Within this a configuration is in force everywhere.
    pub config_apply: Duration,
    /// See the rule CONFIG (regresses).
    pub rollback_slack: Duration,
    /// How much an unstable core may stretch the bounds.
    pub outer: Duration,
    /// A cold backend bears `cold-per-s` times this.
    pub cold_over: f64,
    /// And so many requests more.
    pub cold_slack: f64,
    /// Within this a zone's backends get nothing more.
    pub evacuate: Duration,
    /// How long the system has to recover.
    pub recover: Duration,
    /// Longest time from a backend's event to the client.
    pub pass: Duration,
    /// Time for batch jobs after the end of traffic.
    pub finish: Duration,
    /// How long a batch job stays readable after it was sent.
    pub status: Duration,
    /// After this, nothing of an ended batch job starts.
    pub cancel: Duration,
    /// After this, a batch job is found through every gateway.
    pub settle: Duration,
    /// Share by which a quota may be passed.
    pub quota_over: f64,
}

/// The platform's list of backends.
#[derive(Debug, Clone, PartialEq)]
pub struct Cloud {
    /// Where it is; `None` where the role needs none.
    pub address: Option<SocketAddr>,
    /// Calls a second that it takes from all processes together.
    pub rate_per_s: f64,
    /// How much the list lags.
    pub lag: Duration,
}

/// Why there are no settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The variable is not set.
    #[error(
        "the environment variable {SETTINGS_VARIABLE} is not set: set it to the path of the settings file"
    )]
    NoVariable,
    /// The file can't be read.
    #[error("{path}: can't be read ({source}): check that the file exists and may be read")]
    NoFile {
        /// Where it should be.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file holds something wrong.
    #[error("{}", lines(.0))]
    Invalid(Vec<Finding>),
}

fn lines(findings: &[Finding]) -> String {
    findings
        .iter()
        .map(Finding::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

impl Settings {
    /// Reads the text of a settings file for a role. All findings come at once.
    ///
    /// # Errors
    /// All findings, if there are any.
    pub fn parse(text: &str, role: Role) -> Result<Settings, Vec<Finding>> {
        reading::read(text, Some(role))
    }

    /// Reads the text of a settings file for the role that its `serves` tells.
    ///
    /// # Errors
    /// All findings, if there are any.
    pub fn parse_for_any_role(text: &str) -> Result<Settings, Vec<Finding>> {
        reading::read(text, None)
    }

    /// Reads a settings file for a role.
    ///
    /// # Errors
    /// The file cannot be read, or has findings.
    pub fn load(path: &Path, role: Role) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::NoFile {
            path: path.to_path_buf(),
            source,
        })?;
        Settings::parse(&text, role).map_err(SettingsError::Invalid)
    }

    /// Reads the settings file that the environment names.
    ///
    /// # Errors
    /// The variable is not set, or the file cannot be read or has findings.
    pub fn from_environment(role: Role) -> Result<Settings, SettingsError> {
        let path = path_from_environment()?;
        Settings::load(&path, role)
    }

    /// Whether a contract is in force.
    pub fn has_contract(&self, name: &str) -> bool {
        self.contracts.iter().any(|contract| contract == name)
    }

    /// Whether the role serves a party.
    pub fn serves(&self, party: &str) -> bool {
        self.serves.iter().any(|served| served == party)
    }
}

/// The path that the environment names.
///
/// # Errors
/// The variable is not set or empty.
pub fn path_from_environment() -> Result<PathBuf, SettingsError> {
    match std::env::var_os(SETTINGS_VARIABLE) {
        Some(path) if !path.is_empty() => Ok(PathBuf::from(path)),
        _ => Err(SettingsError::NoVariable),
    }
}
