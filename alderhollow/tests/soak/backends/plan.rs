//! How long a soak is, which seeds it plays and how many processes it has.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Seeds to play: one number, or the first and the last with a dash.
const SEEDS_VARIABLE: &str = "ALDERHOLLOW_SOAK_SEEDS";
/// Seconds of changes for each seed.
const SECONDS_VARIABLE: &str = "ALDERHOLLOW_SOAK_SECONDS";
/// Gateways without a disk, beside the three with one.
const GATEWAYS_VARIABLE: &str = "ALDERHOLLOW_SOAK_GATEWAYS";
/// The short form, which always runs.
const SHORT_SEEDS: RangeInclusive<u64> = 1..=2;
const SHORT_SECONDS: u64 = 18;
const USUAL_GATEWAYS: u8 = 3;
const MOST_GATEWAYS: u8 = 150;

/// What to play.
pub(crate) struct Plan {
    pub seeds: RangeInclusive<u64>,
    pub trouble: Duration,
    pub diskless_gateways: u8,
}

impl Plan {
    /// The plan that the environment names.
    pub(crate) fn from_environment() -> Plan {
        let seeds = std::env::var(SEEDS_VARIABLE).map_or(SHORT_SEEDS, |text| read_seeds(&text));
        let seconds =
            std::env::var(SECONDS_VARIABLE).map_or(SHORT_SECONDS, |text| read_number(&text));
        let gateways = std::env::var(GATEWAYS_VARIABLE)
            .map_or(u64::from(USUAL_GATEWAYS), |text| read_number(&text));
        Plan {
            seeds,
            trouble: Duration::from_secs(seconds),
            diskless_gateways: u8::try_from(gateways)
                .unwrap_or(MOST_GATEWAYS)
                .min(MOST_GATEWAYS),
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
