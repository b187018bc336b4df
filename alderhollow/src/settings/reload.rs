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
const UNVALIDATED_MS: u64 = 1_000;
/// Without tables for so long, operators are told once.
const UNVALIDATED_WARNING_MS: u64 = 5_000;
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
        SeedReader {
            role,
            directory: node.directory.clone(),
            failing: Cell::new(false),
        }
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
///
/// # Errors
/// The signal cannot be caught.
pub fn hangups() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the seeds again at SIGHUP, and while no primary is found, until the future is dropped.
pub async fn follow(node: Node, role: Role, mut hangups: Signal) {
    let seeds = SeedReader::new(&node, role);
    let at_hangups = async {
        while hangups.recv().await.is_some() {
            seeds.read();
            log::info!("the settings are read again");
        }
    };
    let without_primary = read_without_primary(&node.poll_state, node.clock, || seeds.read());
    tokio::join!(at_hangups, without_primary);
}

/// Has the seeds read again and again while no primary is found: the file may have changed without a signal.
pub async fn read_without_primary(polls: &PollState, clock: SteadyClock, read_seeds: impl Fn()) {
    let mut is_told = false;
    loop {
        tokio::time::sleep(SETTINGS_CHECK_INTERVAL).await;
        let validated_ms = polls.validated_since_ms().unwrap_or(0);
        let unvalidated_ms = clock.now_ms().saturating_sub(validated_ms);
        if unvalidated_ms > UNVALIDATED_MS {
            read_seeds();
        }
        let is_long = unvalidated_ms > UNVALIDATED_WARNING_MS;
        if is_long && !is_told {
            log::warn!(
                "no primary of the core was found for {unvalidated_ms} ms: see that a majority of the machines with a \
                 disk that serve control_plane run, and that `seeds` in the settings names machines that run"
            );
        }
        is_told = is_long;
    }
}
