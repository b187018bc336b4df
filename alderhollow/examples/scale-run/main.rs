//! Measures what control costs a core of three doors as the number of doors grows: hollow doors (one connection and one
//! long-poll each, in this process) beside the real program on loopback.
//!
//!     cargo build --locked --profile tier -p alderhollow
//!     cargo run --example scale-run -p alderhollow
#![forbid(unsafe_code)]

mod core;
mod hollow;
mod usage;

use clap::Parser;
use core::RealCore;
use hollow::HollowDoors;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;
use usage::Usage;

/// How long the core may take to be founded, and doors to hold tables.
const LIMIT: Duration = Duration::from_secs(30);
/// Time for the doors' polls to spread before a measurement.
const SETTLE: Duration = Duration::from_secs(2);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Measures the cost of control.
#[derive(Parser)]
struct Arguments {
    /// The program to run.
    #[arg(long, default_value = "target/tier/alderhollow")]
    binary: PathBuf,
    /// Numbers of hollow doors.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 30, 100, 300])]
    doors: Vec<usize>,
    /// Seconds of each measurement.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Changes of the configuration with each number of doors.
    #[arg(long, default_value_t = 5)]
    changes: usize,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match tokio::task::LocalSet::new().run_until(run(&arguments)).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the run could not be made: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> std::io::Result<()> {
    let mut core = RealCore::start(&arguments.binary).await?;
    core.change_configuration(LIMIT).await?;
    println!("doors  primary %  other %  primary MB  door B/s to  door B/s from  change ms: middle, longest");
    for count in &arguments.doors {
        let doors = HollowDoors::start(*count, core.internal_addresses());
        wait_until_all_hold(&doors, 1).await?;
        tokio::time::sleep(SETTLE).await;
        let (usage, bytes) = measure_quiet(&core, &doors, arguments.seconds).await?;
        let times = measure_changes(&mut core, &doors, arguments.changes).await?;
        let per_door = |bytes: u64| bytes / (arguments.seconds * *count as u64);
        let middle = times.get(times.len() / 2).copied().unwrap_or_default();
        let longest = times.last().copied().unwrap_or_default();
        println!(
            "{count:5}  {:9.2}  {:7.2}  {:10.1}  {:11}  {:13}  {:.0}, {:.0}",
            usage.primary_percent,
            usage.other_percent,
            usage.primary_mb,
            per_door(bytes.received),
            per_door(bytes.sent),
            middle.as_secs_f64() * 1000.0,
            longest.as_secs_f64() * 1000.0
        );
    }
    core.stop().await
}

async fn measure_quiet(
    core: &RealCore,
    doors: &HollowDoors,
    seconds: u64,
) -> std::io::Result<(Usage, hollow::Bytes)> {
    let (before, bytes_before) = (core.usage(doors.primary())?, doors.bytes());
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let usage = core.usage(doors.primary())?.since(&before, seconds);
    Ok((usage, doors.bytes().since(&bytes_before)))
}

/// For each change and door, the time from the order's acknowledgement until the door held it, sorted.
async fn measure_changes(
    core: &mut RealCore,
    doors: &HollowDoors,
    changes: usize,
) -> std::io::Result<Vec<Duration>> {
    let mut times = Vec::new();
    for _ in 0..changes {
        let before = doors.newest_control();
        core.change_configuration(LIMIT).await?;
        let acknowledged = Instant::now();
        wait_until_all_hold(doors, before + 1).await?;
        times
            .extend(doors.held_at().into_iter().map(|moment| moment.saturating_duration_since(acknowledged)));
    }
    times.sort();
    Ok(times)
}

async fn wait_until_all_hold(doors: &HollowDoors, version: u64) -> std::io::Result<()> {
    let end = Instant::now() + LIMIT;
    while doors.oldest_control() < version {
        if Instant::now() >= end {
            return Err(std::io::Error::other("not all doors got the control state in time"));
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}
