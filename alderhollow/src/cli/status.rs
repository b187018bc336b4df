//! `status`: what a process tells of itself.

use super::CommandError;
use crate::status;
use std::net::SocketAddr;

/// Asks a process and prints its answer.
pub fn run(address: SocketAddr) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let report = tokio::task::LocalSet::new().block_on(&runtime, status::ask(address))?;
    print!("{report}");
    Ok(())
}
