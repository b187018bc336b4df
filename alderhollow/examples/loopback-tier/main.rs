//! Runs a whole tier on loopback: three gateways, three stores, and stand-ins of all that they talk to. It hands in a
//! configuration, sends requests, streams and a batch job, cuts a backend off in the middle of an event, prints what came
//! of each, and ends its processes.
//!
//!     cargo build --locked --profile tier -p alderhollow
//!     cargo run --example loopback-tier -p alderhollow

mod configuration;
mod report;
mod tier;
mod trial;

use clap::Parser;
use report::Report;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tier::{Processes, Surroundings};

/// Runs a tier on loopback and prints what happens.
#[derive(Parser)]
struct Arguments {
    /// The program to run.
    #[arg(long, default_value = "target/tier/alderhollow")]
    binary: PathBuf,
    /// Another build of the program: once all steps are done, each process is restarted with it, one after the other, and
    /// then with the first one again, with requests and a batch job after each restart.
    #[arg(long)]
    other_binary: Option<PathBuf>,
    /// Folder for settings, data and logs; removed at the end unless it is named here.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Longest time for the whole trial, in seconds, the end of the processes not counted.
    #[arg(long, default_value_t = 60)]
    time_limit: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if !arguments.binary.is_file() {
        eprintln!(
            "{} is missing: build it first, or name another by --binary",
            arguments.binary.display()
        );
        return ExitCode::FAILURE;
    }
    match tokio::task::LocalSet::new()
        .run_until(run(&arguments))
        .await
    {
        Ok(report) if report.is_good() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the trial could not be set up: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> std::io::Result<Report> {
    let is_own_folder = arguments.folder.is_none();
    let folder = arguments.folder.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("alderhollow-loopback-{}", std::process::id()))
    });
    let surroundings = Surroundings::start().await?;
    let mut processes = Processes::start(&arguments.binary, &folder)?;
    let mut report = Report::default();
    let limit = Duration::from_secs(arguments.time_limit);
    let broken_off = tokio::select! {
        () = trial::run(&surroundings, &mut report) => None,
        name = processes.first_end() => Some(format!("{name} ended during the trial")),
        () = tokio::time::sleep(limit) => Some(format!("the trial took over {} s", limit.as_secs())),
    };
    if let Some(reason) = broken_off {
        report.failed(reason);
    } else if let Some(other) = &arguments.other_binary {
        let builds = [other.as_path(), arguments.binary.as_path()];
        trial::run_rolling_restarts(&surroundings, &mut processes, builds, &mut report).await;
    }
    processes.stop(&mut report).await;
    if is_own_folder && report.is_good() {
        std::fs::remove_dir_all(&folder)?;
    } else {
        println!("settings, data and logs: {}", folder.display());
    }
    Ok(report)
}
