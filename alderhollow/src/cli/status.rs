//! `status`: what a process tells of itself, and of a choice that it would make.

use super::CommandError;
use crate::placement::message::Demand;
use crate::status;
use clap::Args;
use std::net::SocketAddr;

/// Whom to ask, and for what.
#[derive(Debug, Args)]
pub(super) struct Arguments {
    /// Its internal address: its `ip` and the first of its `internal-ports`.
    address: SocketAddr,
    /// Print instead which backend of this service a request would go to now, and why. Nothing is sent to it.
    #[arg(long, value_name = "SERVICE")]
    choice: Option<String>,
    /// Tokens of that request's prompt.
    #[arg(long, value_name = "TOKENS", default_value_t = 0, requires = "choice")]
    tokens_in: u32,
    /// Most tokens that come out of it.
    #[arg(long, value_name = "TOKENS", default_value_t = 0, requires = "choice")]
    tokens_out: u32,
    /// Its rank; 0 is the highest, from 2 on it is low.
    #[arg(long, value_name = "RANK", default_value_t = 0, requires = "choice")]
    priority: u32,
}

impl Arguments {
    /// The request that is asked about.
    fn demand(&self) -> Option<Demand> {
        let service = self.choice.clone()?;
        let Arguments {
            tokens_in,
            tokens_out,
            priority,
            ..
        } = *self;
        Some(Demand {
            service,
            priority,
            tokens_in,
            tokens_out,
            parts: Vec::new(),
            excluded_backends: Vec::new(),
        })
    }
}

/// Asks a process and prints its answer.
pub(super) fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    match arguments.demand() {
        None => print!(
            "{}",
            local.block_on(&runtime, status::ask(arguments.address))?
        ),
        Some(demand) => {
            print!(
                "{}",
                local.block_on(&runtime, status::ask_choice(arguments.address, demand))?
            );
        }
    }
    Ok(())
}
