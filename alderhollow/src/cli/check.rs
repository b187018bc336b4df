//! `check`: all that is wrong with a settings file or a configuration.

use super::CommandError;
use crate::configuration::check_text;
use crate::finding::Finding;
use crate::settings::Settings;
use clap::Args;
use std::path::{Path, PathBuf};

/// What to check.
#[derive(Debug, Args)]
#[group(required = true, multiple = true)]
pub(super) struct Arguments {
    /// A settings file of a process (TOML).
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// A whole configuration as operators send it (JSON).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

/// Checks the files and prints each finding with its file and position.
pub(super) fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let mut count = 0;
    if let Some(path) = &arguments.settings {
        let text = String::from_utf8_lossy(&read(path)?).into_owned();
        let findings = Settings::parse_for_any_role(&text)
            .err()
            .unwrap_or_default();
        count += report(path, &findings);
    }
    if let Some(path) = &arguments.config {
        let findings = check_text(&read(path)?)
            .err()
            .map_or_else(Vec::new, |invalid| invalid.0);
        count += report(path, &findings);
    }
    match count {
        0 => Ok(()),
        _ => Err(CommandError::Findings(count)),
    }
}

fn read(path: &Path) -> Result<Vec<u8>, CommandError> {
    std::fs::read(path).map_err(|source| CommandError::NoFile {
        path: path.to_path_buf(),
        source,
    })
}

fn report(path: &Path, findings: &[Finding]) -> usize {
    for finding in findings {
        println!("{}: {finding}", path.display());
    }
    if findings.is_empty() {
        println!("{}: fine", path.display());
    }
    findings.len()
}
