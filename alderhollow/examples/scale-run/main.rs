//! Measures what control costs a core of three gateways as the number of gateways grows: hollow gateways (one connection and one
//! long-poll each, in this process) beside the real program on loopback.
//!
//!     cargo build --locked --profile tier -p alderhollow
//!     cargo run --example scale-run -p alderhollow

mod hollow;
mod real_core;
mod usage;

use alderhollow::distribution::message::Stamp;
use clap::Parser;
use hollow::HollowGateways;
use real_core::RealCore;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;

/// How long the core may take to be founded, and gateways to hold tables.
const LIMIT: Duration = Duration::from_secs(30);
/// Time for the gateways' polls to spread before a measurement.
const SETTLE: Duration = Duration::from_secs(2);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Measures the cost of control.
#[derive(Parser)]
struct Arguments {
    /// The program to run.
    #[arg(long, default_value = "target/tier/alderhollow")]
    binary: PathBuf,
    /// Numbers of hollow gateways.
    #[arg(long, alias = "doors", value_delimiter = ',', default_values_t = [10, 30, 100, 300])]
    gateways: Vec<usize>,
    /// Number of backends in the platform's list.
    #[arg(long, default_value_t = 1_600)]
    backends: usize,
    /// Seconds of each measurement.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Changes of the configuration with each number of gateways.
    #[arg(long, default_value_t = 5)]
    changes: usize,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match tokio::task::LocalSet::new()
        .run_until(run(&arguments))
        .await
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the run could not be made: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> std::io::Result<()> {
    let mut core = RealCore::start(&arguments.binary, arguments.backends).await?;
    core.change_configuration(LIMIT).await?;
    for count in &arguments.gateways {
        let gateways = HollowGateways::start(*count, core.internal_addresses());
        until("all doors hold tables", || {
            gateways.oldest_control() > 0 && gateways.oldest_backends() > Stamp::default()
        })
        .await?;
        tokio::time::sleep(SETTLE).await;
        println!("{count} doors, {} backends", arguments.backends);
        show_quiet(&core, &gateways, arguments.seconds).await?;
        show_changes(&mut core, &gateways, arguments.changes).await?;
        show_list_change(&mut core, &gateways).await?;
    }
    core.stop().await
}

/// Nothing changes: what polls alone cost.
async fn show_quiet(
    core: &RealCore,
    gateways: &HollowGateways,
    seconds: u64,
) -> std::io::Result<()> {
    let (before, bytes_before) = (core.usage(gateways.primary())?, gateways.bytes());
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let usage = core.usage(gateways.primary())?.since(&before, seconds);
    let bytes = gateways.bytes().since(&bytes_before);
    let per_gateway = |bytes: u64| bytes as f64 / seconds as f64 / gateways.count() as f64;
    println!(
        "  quiet: primary {:.2}% of a core, {:.1} MB; another member {:.2}%; a door sends {:.0} B/s, gets {:.0} B/s",
        usage.primary_percent,
        usage.primary_mb,
        usage.other_percent,
        per_gateway(bytes.sent),
        per_gateway(bytes.received)
    );
    Ok(())
}

/// Changes of the configuration: for each change and gateway, the time from the order's acknowledgement until the gateway held it.
async fn show_changes(
    core: &mut RealCore,
    gateways: &HollowGateways,
    changes: usize,
) -> std::io::Result<()> {
    let (before, bytes_before) = (core.usage(gateways.primary())?, gateways.bytes());
    let mut times = Vec::new();
    for _ in 0..changes {
        let version = gateways.newest_control();
        core.change_configuration(LIMIT).await?;
        let acknowledged = Instant::now();
        until("all doors hold the change", || {
            gateways.oldest_control() > version
        })
        .await?;
        times.extend(
            gateways
                .updated_at()
                .into_iter()
                .map(|moment| moment.saturating_duration_since(acknowledged)),
        );
    }
    times.sort();
    let usage = core.usage(gateways.primary())?.since(&before, 1);
    let received = gateways.bytes().since(&bytes_before).received as f64;
    let milliseconds =
        |time: Option<&Duration>| time.map_or(0.0, |time| time.as_secs_f64() * 1000.0);
    println!(
        "  a change: in force {:.0} ms after its acknowledgement in the middle, {:.0} ms at most; primary {:.1} ms; {:.0} B a door",
        milliseconds(times.get(times.len() / 2)),
        milliseconds(times.last()),
        usage.primary_percent * 10.0 / changes as f64,
        received / changes as f64 / gateways.count() as f64
    );
    Ok(())
}

/// One backend's state changes in the platform's list.
async fn show_list_change(core: &mut RealCore, gateways: &HollowGateways) -> std::io::Result<()> {
    let (before, bytes_before) = (core.usage(gateways.primary())?, gateways.bytes());
    let (held, changed) = (gateways.newest_backends(), Instant::now());
    core.change_backend();
    until("all doors hold the list", || {
        gateways.oldest_backends() > held
    })
    .await?;
    let usage = core.usage(gateways.primary())?.since(&before, 1);
    let received = gateways.bytes().since(&bytes_before).received as f64;
    println!(
        "  a backend's change: held by all {:.0} ms after it (the list lags by {} ms); primary {:.0} ms; {:.0} B a door",
        changed.elapsed().as_secs_f64() * 1000.0,
        real_core::LIST_LAG_MS,
        usage.primary_percent * 10.0,
        received / gateways.count() as f64
    );
    Ok(())
}

async fn until(what: &str, holds: impl Fn() -> bool) -> std::io::Result<()> {
    let end = Instant::now() + LIMIT;
    while !holds() {
        if Instant::now() >= end {
            return Err(std::io::Error::other(format!("this took too long: {what}")));
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}
