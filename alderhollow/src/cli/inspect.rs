//! `inspect`: what a data folder holds.

use super::CommandError;
use std::path::Path;

/// Prints what a folder holds.
pub fn run(_folder: &Path) -> Result<(), CommandError> {
    Err(CommandError::NotAvailable("inspect"))
}
