//! Draws days with several control-side troubles close together, for the bench that plays whole deployments.
//!
//! Each day is the quiet day of a site file with three to eight troubles and pieces of planned work drawn from
//! [`catalogue`], many configuration changes, and a final fault. `--sheet` also writes variants of the site file with other
//! numbers of disks, slower disks and thinner links.

mod catalogue;
mod day;
mod sheet;

use clap::Parser;
use oorandom::Rand32;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Draws days of control-side troubles.
#[derive(Parser)]
struct Arguments {
    /// The site file whose quiet day is the ground of each day.
    site: PathBuf,
    /// Folder for the days, one file each.
    #[arg(long)]
    out: PathBuf,
    /// Number of the first day; the day follows from it.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// How many days.
    #[arg(long, default_value_t = 10)]
    count: u64,
    /// Writes a variant of the site file beside each day as well.
    #[arg(long)]
    sheet: bool,
}

/// Why no days were drawn.
#[derive(Debug, Error)]
enum MixerError {
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The site file is no TOML.
    #[error("the site file can't be read: {0}")]
    Unreadable(#[from] toml::de::Error),
    /// A day can't be written as TOML.
    #[error("a day can't be written: {0}")]
    Unwritable(#[from] toml::ser::Error),
    /// The site file has no day in the slot `quiet`.
    #[error("the site file has no quiet day")]
    NoQuietDay,
    /// The site file lists no machines.
    #[error("the site file has no machines")]
    NoMachines,
}

fn main() -> Result<(), MixerError> {
    let arguments = Arguments::parse();
    let text = std::fs::read_to_string(&arguments.site)
        .map_err(|source| file_error(&arguments.site, source))?;
    let site: toml::Table = toml::from_str(&text)?;
    std::fs::create_dir_all(&arguments.out).map_err(|source| file_error(&arguments.out, source))?;
    for seed in arguments.seed..arguments.seed + arguments.count {
        let mut random = Rand32::new(seed);
        let day = day::draw(&site, seed, &mut random)?;
        write(&arguments.out.join(format!("day-{seed}.toml")), &day)?;
        if arguments.sheet {
            let variant = sheet::draw(&site, &mut random)?;
            write(&arguments.out.join(format!("site-{seed}.toml")), &variant)?;
        }
    }
    Ok(())
}

fn write(path: &Path, table: &toml::Table) -> Result<(), MixerError> {
    let text = toml::to_string(table)?;
    std::fs::write(path, text).map_err(|source| file_error(path, source))
}

fn file_error(path: &Path, source: std::io::Error) -> MixerError {
    MixerError::File {
        path: path.to_path_buf(),
        source,
    }
}
