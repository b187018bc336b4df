//! The configuration file.

use serde::Deserialize;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A configuration.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// How long requests come, in seconds.
    pub seconds: f64,
    /// Factor on all rates.
    pub load: f64,
    /// The engines.
    pub engines: Engines,
    /// The senders.
    pub senders: Senders,
    /// The kinds of requests.
    pub classes: Vec<Class>,
}

/// The engines: alike but for their speeds.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// How many.
    pub count: usize,
    /// Zones over which they and the senders are spread.
    pub zones: usize,
    /// Requests that one works on at once.
    pub slots: usize,
    /// Tokens that requests under way and kept prefixes share.
    pub memory_tokens: u64,
    /// Most prompt tokens that are read in one step.
    pub chunk_tokens: u64,
    /// Prompt tokens that are read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// What a million pairs of tokens add to that, in milliseconds.
    pub read_pairs_ms_per_million: f64,
    /// Shortest step.
    pub step_ms: f64,
    /// What each running request adds.
    pub step_ms_per_request: f64,
    /// Tokens of one event; the first event has one.
    pub tokens_per_event: u64,
    /// Factors on all times, that of an engine by its number in turn.
    #[serde(default = "all_alike")]
    pub slowness: [f64; 3],
}

fn all_alike() -> [f64; 3] {
    [1.0; 3]
}

/// The senders.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Senders {
    /// Those that pass on what clients ask for; `doors` in the file.
    #[serde(rename = "doors")]
    pub gateways: usize,
    /// Those that run items.
    pub stores: usize,
    /// Until a placer knows what a sender reports.
    pub report_delay_ms: f64,
    /// Until a sender has a placer's answer.
    pub answer_delay_ms: f64,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Requests a second.
    pub per_s: f64,
    /// Rank; 0 is the highest. Low ranks are sent by stores.
    pub priority: u32,
    /// The first event is late after this; of items, the last one.
    pub aim_ms: f64,
    /// A pause between events is too long beyond this.
    pub pause_aim_ms: f64,
    /// Tokens of the part of the prompt that requests share.
    pub shared: SharedSize,
    /// Tokens of the request's own part.
    pub own: Size,
    /// Events of the answer.
    pub events: Size,
}

/// A size with a log-normal distribution.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Mean, before the cut.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Largest.
    pub max: f64,
}

/// A size that belongs to one of so many things.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedSize {
    /// Mean, before the cut.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Largest.
    pub max: f64,
    /// How many different ones there are.
    pub things: u64,
}

/// Why there is no configuration.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: can't be read ({source}): check that the file exists")]
    NoFile {
        /// Its path.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The text is no configuration.
    #[error("{0}")]
    Text(#[from] toml::de::Error),
    /// A figure makes no sense.
    #[error("`{0}` must be above 0")]
    NotPositive(&'static str),
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    /// The file cannot be read, or a figure is out of its range.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::NoFile {
            path: path.to_path_buf(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Reads a text.
    ///
    /// # Errors
    /// The text is no TOML of this form, or a figure is out of its range.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text)?;
        let figures = [
            ("seconds", settings.seconds),
            ("load", settings.load),
            ("engines.count", settings.engines.count as f64),
            ("engines.zones", settings.engines.zones as f64),
            ("engines.slots", settings.engines.slots as f64),
            ("engines.chunk_tokens", settings.engines.chunk_tokens as f64),
            (
                "engines.read_tokens_per_ms",
                settings.engines.read_tokens_per_ms,
            ),
            ("engines.step_ms", settings.engines.step_ms),
            (
                "engines.tokens_per_event",
                settings.engines.tokens_per_event as f64,
            ),
            ("senders.doors", settings.senders.gateways as f64),
            ("senders.stores", settings.senders.stores as f64),
        ];
        match figures
            .into_iter()
            .find(|(_, figure)| figure.is_nan() || *figure <= 0.0)
        {
            Some((name, _)) => Err(SettingsError::NotPositive(name)),
            None => Ok(settings),
        }
    }
}
