//! The primary's announcements to processes that may not know the core. A process that starts with seeds alone may find none
//! that knows the core, as seeds without a disk lose their directory when they restart.
//!
//! Members of the core know each other from their disks, so a primary is elected in any case. It announces itself to the
//! seeds of its own settings, the members, the stores of the control state, and the processes that polled it or its
//! predecessor, as far as they do not poll it. These processes pass the information on in their answers.

use super::link::PeerLink;
use super::message::Notice;
use super::server::Distributor;
use std::rc::Rc;
use std::time::Duration;

/// Interval between announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(250);
/// The seeds are read from the settings file in every such round, as the file may change without a signal.
const ROUNDS_PER_SEED_READ: u32 = 8;

/// Sends the announcements.
pub struct PrimaryAnnouncer {
    /// This process's distributor, which records the polls.
    pub distributor: Rc<Distributor>,
    /// Connections to the other processes.
    pub link: Rc<dyn PeerLink>,
    /// Reads the seeds from the settings file.
    pub read_seeds: Box<dyn Fn()>,
}

impl PrimaryAnnouncer {
    /// Announces this process while it is the primary, until the future is dropped.
    pub async fn run(self) {
        let mut rounds: u32 = 0;
        loop {
            tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
            if !self.distributor.is_primary() {
                rounds = 0;
                continue;
            }
            if rounds.is_multiple_of(ROUNDS_PER_SEED_READ) {
                (self.read_seeds)();
            }
            rounds = rounds.wrapping_add(1);
            self.announce();
        }
    }

    fn announce(&self) {
        let recipients = self.distributor.overdue_processes();
        if recipients.is_empty() {
            return;
        }
        let notice = Notice::PrimaryAnnouncement(self.distributor.core_view());
        for recipient in recipients {
            log::debug!("announcing this primary to {recipient}");
            self.link.notify(recipient, &notice);
        }
    }
}
