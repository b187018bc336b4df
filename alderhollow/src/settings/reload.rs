//! Settings that change while the process runs: SIGHUP says so, and without a primary it may be so.

use super::Settings;
use crate::clock::SteadyClock;
use crate::distribution::client::PollState;
use crate::distribution::directory::Directory;
use crate::node::{internal_seeds, Node};
use alderhollow_model::identity::Role;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Without tables from a primary for so long, the settings are read again: other seeds may stand there.
const UNVOUCHED_MS: u64 = 1_000;
/// How often that is looked at.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the seeds of the settings file again.
pub struct SeedReader {
    role: Role,
    directory: Directory,
    /// The last reading failed: that is logged once.
    failing: Cell<bool>,
}

impl SeedReader {
    /// A reader for a process in this role.
    pub fn new(node: &Node, role: Role) -> SeedReader {
        SeedReader { role, directory: node.directory.clone(), failing: Cell::new(false) }
    }

    /// Takes the file's seeds over; settings that can't be read change nothing.
    pub fn read(&self) {
        match Settings::from_environment(self.role) {
            Ok(settings) => {
                self.failing.set(false);
                if self.directory.set_seeds(internal_seeds(&settings)) {
                    log::info!("the settings name other seeds: {:?}", settings.seeds);
                }
            }
            Err(error) if !self.failing.replace(true) => {
                log::warn!("the settings stay as they are: {error}");
            }
            Err(_) => (),
        }
    }
}

/// Takes SIGHUP from now on, so that it does not end the process.
pub fn hangups() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the seeds again at SIGHUP, and while no primary is found, until the future is dropped.
pub async fn follow(node: Node, role: Role, mut hangups: Signal) {
    let seeds = SeedReader::new(&node, role);
    loop {
        match tokio::time::timeout(SETTINGS_CHECK_INTERVAL, hangups.recv()).await {
            Ok(_) => {
                seeds.read();
                log::info!("the settings are read again");
            }
            Err(_) if is_unvouched(&node.poll_state, node.clock) => seeds.read(),
            Err(_) => (),
        }
    }
}

fn is_unvouched(polls: &PollState, clock: SteadyClock) -> bool {
    let since_ms = polls.vouched_since_ms().unwrap_or(0);
    clock.now_ms().saturating_sub(since_ms) > UNVOUCHED_MS
}
