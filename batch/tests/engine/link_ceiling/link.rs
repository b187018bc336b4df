//! The outgoing link of the primary: a queue that passes a fixed number of bytes each millisecond.

use alderhollow_batch::api::ItemStart;
use alderhollow_batch::message::Message;
use std::collections::VecDeque;

/// What the link of a store passes: 60 Mbit/s.
const BYTES_PER_MS: usize = 7_500;

/// Something that the primary sends.
pub(super) enum Parcel {
    /// A message to a member.
    Replication { to: u64, message: Message },
    /// An item's request to a backend.
    Run(ItemStart),
    /// Results to a client.
    Results { bytes: usize },
}

impl Parcel {
    fn bytes(&self) -> usize {
        match self {
            Parcel::Replication { message, .. } => message.to_bytes().len(),
            Parcel::Run(start) => start.request.body.len(),
            Parcel::Results { bytes } => *bytes,
        }
    }
}

/// The link, with what waits for it.
#[derive(Default)]
pub(super) struct Link {
    waiting: VecDeque<(Parcel, usize)>,
}

impl Link {
    /// Puts a parcel behind all others.
    pub(super) fn push(&mut self, parcel: Parcel) {
        let bytes = parcel.bytes();
        self.waiting.push_back((parcel, bytes));
    }

    /// Passes what fits in one millisecond; gives the parcels that are through.
    pub(super) fn pass_one_ms(&mut self) -> Vec<Parcel> {
        let mut capacity = BYTES_PER_MS;
        let mut through = Vec::new();
        while let Some((parcel, left)) = self.waiting.pop_front() {
            if left > capacity {
                self.waiting.push_front((parcel, left - capacity));
                break;
            }
            capacity -= left;
            through.push(parcel);
        }
        through
    }
}
