//! The command line: roles, checks of files, and a look into folders and processes.

mod check;
mod inspect;
mod program;
mod status;

use crate::metrics::listener::{self, MetricsPlace};
use crate::role::RoleError;
use crate::settings::{Settings, SettingsError};
use crate::status::StatusError;
use crate::{control_plane, gateway, logging, store};
use alderhollow_model::identity::Role;
use alderhollow_storage::StorageError;
use clap::{Args, Parser, Subcommand};
use log::LevelFilter;
use program::ProgramFile;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Exit status where the command line, the settings or a checked file are wrong.
const EXIT_WRONG_INPUT: u8 = 2;
/// Exit status where something else failed.
const EXIT_FAILED: u8 = 1;

/// A serving tier with a batch interface.
#[derive(Debug, Parser)]
#[command(name = "alderhollow")]
pub struct CommandLine {
    /// Lowest level of log entries: off, error, warn, info, debug or trace. Goes before the settings' `log-level`.
    #[arg(long, global = true, value_name = "LEVEL")]
    log_level: Option<LevelFilter>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve clients and operators, with the settings file that `ALDERHOLLOW_BOOT` names. With a disk, also keep the core's
    /// state.
    #[command(alias = "door")]
    Gateway(RoleArguments),
    /// Keep the core's state and serve operators, but no clients, with the settings file that `ALDERHOLLOW_BOOT` names.
    Core(RoleArguments),
    /// Keep batch jobs, with the settings file that `ALDERHOLLOW_BOOT` names.
    Store(RoleArguments),
    /// Check a settings file or a configuration, and print all that is wrong.
    Check(check::Arguments),
    /// Print what the data folder of a process that is not running holds.
    Inspect {
        /// The folder.
        folder: PathBuf,
    },
    /// Print what a process tells of itself.
    Status(status::Arguments),
}

/// Options of all roles.
#[derive(Debug, Args)]
struct RoleArguments {
    /// Answer `GET /PATH` at this port of the settings' `ip` with the process's metrics, as Prometheus text.
    #[arg(long, value_name = "PORT/PATH")]
    metrics: Option<MetricsPlace>,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A checked file is wrong; it was said why.
    #[error("{0} findings")]
    Findings(usize),
    /// A file can't be read.
    #[error("{path}: can't be read ({source}): check that the file exists and may be read")]
    NoFile {
        /// Its path.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Logs can't be set up.
    #[error("logs can't be set up: {0}")]
    Logs(#[from] log::SetLoggerError),
    /// The process can't go on.
    #[error("the process can't go on: {0}")]
    Io(#[from] std::io::Error),
    /// The role can't go on.
    #[error(transparent)]
    Role(#[from] RoleError),
    /// A data folder can't be read.
    #[error(transparent)]
    Folder(#[from] StorageError),
    /// A process did not tell its status.
    #[error(transparent)]
    Status(#[from] StatusError),
}

impl CommandError {
    fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Settings(_) | CommandError::Findings(_) | CommandError::NoFile { .. } => {
                ExitCode::from(EXIT_WRONG_INPUT)
            }
            CommandError::Logs(_)
            | CommandError::Io(_)
            | CommandError::Role(_)
            | CommandError::Folder(_)
            | CommandError::Status(_) => ExitCode::from(EXIT_FAILED),
        }
    }
}

/// Runs what the command line says.
pub fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    match run(command_line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

fn run(command_line: CommandLine) -> Result<(), CommandError> {
    match command_line.command {
        Command::Gateway(arguments) => run_role(Role::Gateway, command_line.log_level, arguments),
        Command::Core(arguments) => run_role(Role::Core, command_line.log_level, arguments),
        Command::Store(arguments) => run_role(Role::Store, command_line.log_level, arguments),
        Command::Check(arguments) => check::run(&arguments),
        Command::Inspect { folder } => inspect::run(&folder),
        Command::Status(arguments) => status::run(&arguments),
    }
}

fn run_role(
    role: Role,
    log_level: Option<LevelFilter>,
    arguments: RoleArguments,
) -> Result<(), CommandError> {
    let settings = Settings::from_environment(role)?;
    logging::start(
        log_level
            .or(settings.log_level)
            .unwrap_or(logging::DEFAULT_LEVEL),
    )?;
    match ProgramFile::of_this_process() {
        Ok(program) => log::info!("{program}"),
        Err(error) => log::warn!("the program's file can't be read: {error}"),
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    let running = async move {
        if let Some(place) = arguments.metrics {
            listener::start(settings.ip, place).await;
        }
        match role {
            Role::Gateway => gateway::run(settings).await,
            Role::Store => store::run(settings).await,
            Role::Core => control_plane::run(settings).await,
        }
    };
    Ok(local.block_on(&runtime, running)?)
}
