//! `fault-lab`: runs scenarios of front doors, backends and faults, and reports what came of them.

use clap::{Parser, Subcommand};
use fault_lab::check::{Summary, Verdict};
use fault_lab::process::{self, Launcher};
use fault_lab::report;
use fault_lab::run::{self, REPORT};
use fault_lab::scenario::{Scenario, SHIPPED};
use std::fs;
use std::io::{self, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

/// Runs several front doors as real processes on loopback, among emulated backends, list agents and clients, puts
/// faults between them, and judges what happened by its record.
#[derive(Parser)]
#[command(name = "fault-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario: 0 if all checks are kept, 1 if one is broken, 2 if it could not be run, 3 without a verdict
    Run {
        /// A file, or the name of a scenario that ships
        scenario: String,
        /// What all chance follows from; further repeats take the next ones
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where the files of the run go
        #[arg(long, default_value = "lab-runs")]
        out: PathBuf,
        /// The front door's program
        #[arg(long, value_name = "PROGRAM")]
        door: Option<PathBuf>,
        /// Runs with as many seeds, in place of what the scenario says
        #[arg(long)]
        repeats: Option<u32>,
        /// Show the last report with the desktop's own viewer
        #[arg(long)]
        open: bool,
    },
    /// Name the scenarios that ship
    List,
    /// Judge a finished run anew by its record
    Check {
        /// The folder of one run
        dir: PathBuf,
    },
    /// Become a program that ends when the process with this id does
    #[command(name = process::KEEPER, hide = true)]
    Keep { parent: u32, program: PathBuf },
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Keep { parent, program } => Err(process::keep(parent, &program).to_string()),
        Command::List => list(),
        Command::Check { dir } => {
            run::judge(&dir)
                .map_err(|error| error.to_string())
                .map(|summary| {
                    print!("{}", report::text(&summary));
                    code(summary.verdict)
                })
        }
        Command::Run {
            scenario,
            seed,
            out,
            door,
            repeats,
            open,
        } => read(&scenario).and_then(|scenario| {
            let repeats = repeats.unwrap_or(scenario.repeats);
            let launcher = Launcher::new(door.unwrap_or_else(beside));
            let report = runs(
                &scenario,
                seed..seed.saturating_add(repeats.into()),
                &out,
                &launcher,
            )?;
            if let Some(report) = report.1.filter(|_| open) {
                show(&report);
            }
            Ok(report.0)
        }),
    };
    done.unwrap_or_else(|problem| {
        eprintln!("fault-lab: {problem}");
        ExitCode::from(2)
    })
}

/// The front door's program as one build leaves it: beside this one.
fn beside() -> PathBuf {
    std::env::current_exe()
        .unwrap_or_default()
        .with_file_name("quota-gateway")
}

fn list() -> Result<ExitCode, String> {
    for (name, _) in SHIPPED {
        let scenario =
            Scenario::shipped(name).unwrap_or_else(|| Err(format!("{name} does not ship")))?;
        println!(
            "{name:<12}{:>4} s, {:>2} front doors  {}",
            scenario.seconds, scenario.fleet.doors, scenario.about
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn read(name: &str) -> Result<Scenario, String> {
    if let Some(scenario) = Scenario::shipped(name) {
        return scenario;
    }
    let text = fs::read_to_string(name).map_err(|error| format!("cannot read {name}: {error}"))?;
    Scenario::parse(name, &text)
}

fn code(verdict: Verdict) -> ExitCode {
    ExitCode::from(match verdict {
        Verdict::Kept => 0,
        Verdict::Broken => 1,
        Verdict::None => 3,
    })
}

/// Runs a scenario with each seed. Returns the worst verdict's code and the last report.
fn runs(
    scenario: &Scenario,
    seeds: std::ops::Range<u64>,
    out: &Path,
    launcher: &Launcher,
) -> Result<(ExitCode, Option<PathBuf>), String> {
    process::raise_descriptor_limit();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("cannot start: {error}"))?;
    // Made ahead: a signal that comes before them ends the program as it stands, and one between two runs is kept.
    let (mut interrupted, mut terminated) = {
        let _entered = runtime.enter();
        let ahead = |kind| signal(kind).map_err(|error| format!("cannot take signals: {error}"));
        (
            ahead(SignalKind::interrupt())?,
            ahead(SignalKind::terminate())?,
        )
    };
    let (mut worst, mut last) = (Verdict::Kept, None);
    for seed in seeds {
        let folder = out.join(format!("{}-{seed}", scenario.name));
        // Processes are started by this thread, which lives as long as the program: they end with it.
        let done: Result<Summary, String> = runtime.block_on(async {
            tokio::select! {
                done = run::carry_out(scenario, seed, &folder, launcher, progress(scenario, seed)) => {
                    done.map_err(|error| error.to_string())
                }
                _ = interrupted.recv() => Err("interrupted: every front door is ended".into()),
                _ = terminated.recv() => Err("told to end: every front door is ended".into()),
            }
        });
        let summary = done?;
        if io::stderr().is_terminal() {
            eprint!("\r\x1b[K");
        }
        print!("{}", report::text(&summary));
        let report = folder.join(REPORT);
        println!("  report: {}", report.display());
        worst = match (worst, summary.verdict) {
            (Verdict::Broken, _) | (_, Verdict::Broken) => Verdict::Broken,
            (Verdict::None, _) | (_, Verdict::None) => Verdict::None,
            _ => Verdict::Kept,
        };
        last = Some(report);
    }
    Ok((code(worst), last))
}

/// Shows how far a run is: one line that changes on a terminal, a plain line each five seconds elsewhere.
fn progress(scenario: &Scenario, seed: u64) -> impl FnMut(f64, usize) {
    let (name, seconds, terminal) = (
        scenario.name.clone(),
        scenario.seconds,
        io::stderr().is_terminal(),
    );
    let mut told = 0;
    move |at, out| {
        let line = format!(
            "{name}, seed {seed}: {:.0} of {seconds} s, {out} requests out",
            at.min(seconds)
        );
        if terminal {
            eprint!("\r\x1b[K{line}");
            let _ = io::stderr().flush();
        } else if at as u64 / 5 > told {
            told = at as u64 / 5;
            eprintln!("{line}");
        }
    }
}

fn show(report: &Path) {
    if let Err(error) = std::process::Command::new("xdg-open").arg(report).status() {
        eprintln!(
            "fault-lab: no viewer was found ({error}); the report is {}",
            report.display()
        );
    }
}
