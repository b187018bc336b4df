//! How long a soak is and which seeds it plays.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Seeds to play: one number, or the first and the last with a dash.
const SEEDS_VARIABLE: &str = "ALDERHOLLOW_SOAK_SEEDS";
/// Seconds of trouble for each seed.
const SECONDS_VARIABLE: &str = "ALDERHOLLOW_SOAK_SECONDS";
/// The short form, which always runs.
const SHORT_SEEDS: RangeInclusive<u64> = 1..=1;
const SHORT_SECONDS: u64 = 8;
/// Batch jobs are forgotten after 120 s (`status-s`), which the checks do not allow for.
const MOST_SECONDS: u64 = 60;

/// What to play.
pub(crate) struct Plan {
    pub seeds: RangeInclusive<u64>,
    pub trouble: Duration,
}

impl Plan {
    /// The plan that the environment names.
    pub(crate) fn from_environment() -> Plan {
        let seeds = std::env::var(SEEDS_VARIABLE).map_or(SHORT_SEEDS, |text| read_seeds(&text));
        let seconds =
            std::env::var(SECONDS_VARIABLE).map_or(SHORT_SECONDS, |text| read_number(&text));
        assert!(
            (1..=MOST_SECONDS).contains(&seconds),
            "{SECONDS_VARIABLE} must be 1 to {MOST_SECONDS}"
        );
        Plan {
            seeds,
            trouble: Duration::from_secs(seconds),
        }
    }
}

fn read_seeds(text: &str) -> RangeInclusive<u64> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    read_number(first)..=read_number(last)
}

fn read_number(text: &str) -> u64 {
    text.trim()
        .parse()
        .unwrap_or_else(|_| panic!("not a whole number: {text}"))
}
