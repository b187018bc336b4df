//! The primary makes itself known: a process that starts with nothing but seeds may find no one there who knows the core,
//! as the seeds may have no disk and have lost their memory in the same moment.
//!
//! Members of the core know each other from their disks, so that a primary is elected in any case. It tells the seeds in its
//! own settings, the members, the stores that the control state names, and all who polled it before and have fallen
//! silent. They tell whoever asks them.

use super::link::PeerLink;
use super::message::Notice;
use super::server::Distributor;
use std::rc::Rc;
use std::time::Duration;

/// Between two rounds.
const INTERVAL: Duration = Duration::from_millis(250);
/// The settings' seeds are read again every so many rounds: the file may change without a signal.
const ROUNDS_PER_READING: u32 = 8;

/// What the introductions rest on.
pub struct Introductions {
    /// The process's answers to polls.
    pub distributor: Rc<Distributor>,
    /// Connections to the others.
    pub link: Rc<dyn PeerLink>,
    /// Reads the seeds of the settings again.
    pub read_seeds: Box<dyn Fn()>,
}

impl Introductions {
    /// Introduces this process while it is the primary, until the future is dropped.
    pub async fn run(self) {
        let mut rounds: u32 = 0;
        loop {
            tokio::time::sleep(INTERVAL).await;
            if !self.distributor.leads() {
                rounds = 0;
                continue;
            }
            if rounds.is_multiple_of(ROUNDS_PER_READING) {
                (self.read_seeds)();
            }
            rounds = rounds.wrapping_add(1);
            self.introduce();
        }
    }

    fn introduce(&self) {
        let recipients = self.distributor.silent_processes();
        if recipients.is_empty() {
            return;
        }
        let notice = Notice::Introduction(self.distributor.core_view());
        for recipient in recipients {
            log::debug!("introduces itself to {recipient}");
            self.link.tell(recipient, &notice);
        }
    }
}
