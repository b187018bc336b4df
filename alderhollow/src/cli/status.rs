//! `status`: what a process tells of itself.

use super::CommandError;
use std::net::SocketAddr;

/// Asks a process and prints its answer.
pub fn run(_address: SocketAddr) -> Result<(), CommandError> {
    Err(CommandError::NotAvailable("status"))
}
