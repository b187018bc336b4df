//! The model's command line.

use alderhollow_placement_model::policy::Policy;
use alderhollow_placement_model::report::{self, Line, PlotError};
use alderhollow_placement_model::settings::{Settings, SettingsError};
use alderhollow_placement_model::simulation;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Compares ways to choose a backend.
#[derive(Debug, Parser)]
#[command(name = "placement-model")]
struct CommandLine {
    /// The configuration.
    #[arg(
        long,
        global = true,
        default_value = "placement-model/configs/loaded.toml"
    )]
    config: PathBuf,
    /// Seeds of the runs.
    #[arg(long, global = true, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play the configuration and print a table.
    Run {
        /// Ways to choose; without it all.
        #[arg(long, value_enum, value_delimiter = ',')]
        policy: Vec<Policy>,
        /// In place of the configuration's `load`.
        #[arg(long)]
        load: Option<f64>,
    },
    /// Plot late requests of a class against the load.
    Sweep {
        /// The class.
        #[arg(long)]
        class: String,
        /// Loads.
        #[arg(long, value_delimiter = ',', default_value = "0.5,1.0,1.5,2.0,2.5")]
        loads: Vec<f64>,
        /// The plot (SVG).
        #[arg(long)]
        plot: PathBuf,
    },
}

#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Plot(#[from] PlotError),
}

fn main() -> ExitCode {
    match run(CommandLine::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(line: CommandLine) -> Result<(), CommandError> {
    let settings = Settings::load(&line.config)?;
    match line.command {
        Command::Run { policy, load } => {
            let settings = Settings {
                load: load.unwrap_or(settings.load),
                ..settings
            };
            let policies = if policy.is_empty() {
                Policy::ALL.to_vec()
            } else {
                policy
            };
            for policy in policies {
                for seed in &line.seeds {
                    print!(
                        "{}",
                        report::table(policy, *seed, &simulation::play(&settings, policy, *seed))
                    );
                }
            }
        }
        Command::Sweep { class, loads, plot } => {
            let lines: Vec<Line> = Policy::ALL
                .iter()
                .map(|policy| sweep(&settings, *policy, &class, &loads, &line.seeds))
                .collect();
            report::plot(&plot, &format!("late requests of {class}"), &lines)?;
        }
    }
    Ok(())
}

/// Late requests of a class in 100, over the seeds, by load.
fn sweep(settings: &Settings, policy: Policy, class: &str, loads: &[f64], seeds: &[u64]) -> Line {
    let point = |load: &f64| {
        let settings = Settings {
            load: *load,
            ..settings.clone()
        };
        let (mut late, mut asked) = (0, 0);
        for seed in seeds {
            let result = simulation::play(&settings, policy, *seed);
            for class in result.classes.iter().filter(|result| result.name == class) {
                late += class.late();
                asked += class.asked;
            }
        }
        let share = 100.0 * late as f64 / asked.max(1) as f64;
        println!(
            "{:9} load {load:4.2}  {class} late {share:6.2}%",
            policy.name()
        );
        (*load, share)
    };
    Line {
        name: policy.name().to_string(),
        points: loads.iter().map(point).collect(),
    }
}
