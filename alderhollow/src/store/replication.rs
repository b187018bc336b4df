//! Receives replication messages from other stores.

use super::node::StoreNode;
use crate::batch_protocol::ReplicationNotice;
use crate::internal::server::HandlerFuture;
use crate::internal::{Handler, Refusal};
use alderhollow_batch::job::JobId;
use alderhollow_batch::message::Message;
use alderhollow_batch::records::Entry;
use std::rc::Rc;

/// Handler of [`ServiceId::Replication`](crate::internal::ServiceId::Replication).
pub struct ReplicationHandler(pub Rc<StoreNode>);

impl Handler for ReplicationHandler {
    fn request(&self, _: Vec<u8>) -> HandlerFuture {
        Box::pin(async { Err(Refusal::Malformed) })
    }

    fn notice(&self, payload: Vec<u8>) {
        match minicbor::decode::<ReplicationNotice>(&payload) {
            Ok(notice) if notice.to == self.0.disk => self.0.handle_notice(notice),
            Ok(_) => {}
            Err(error) => log::warn!("cannot decode a replication message: {error}"),
        }
    }
}

/// Returns the ids of the batch jobs in a message.
pub fn jobs_in(message: &Message) -> impl Iterator<Item = &JobId> {
    let entries = match message {
        Message::Entries { entries, .. } => entries.as_slice(),
        _ => &[],
    };
    entries.iter().filter_map(|entry| match entry {
        Entry::JobAccepted(job) => Some(&job.id),
        Entry::FullJob(job) => Some(&job.accepted.id),
        _ => None,
    })
}

/// Whether a message is of a kind that a primary sends to its members.
pub fn is_from_primary(message: &Message) -> bool {
    match message {
        Message::Compare { .. } | Message::Entries { .. } => true,
        Message::Differences { .. }
        | Message::Acknowledge { .. }
        | Message::NotFollowing { .. }
        | Message::Rejected { .. } => false,
    }
}
