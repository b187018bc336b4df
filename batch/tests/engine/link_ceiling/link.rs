//! The outgoing link of the primary: a queue that passes a fixed number of bytes each millisecond.

use alderhollow_batch::api::ItemStart;
use alderhollow_batch::message::Message;
use std::collections::VecDeque;

/// Capacity of a store's link: 60 Mbit/s.
const BYTES_PER_MS: usize = 7_500;

/// A unit that the primary sends.
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

/// The link and its queue.
#[derive(Default)]
pub(super) struct Link {
    waiting: VecDeque<(Parcel, usize)>,
}

impl Link {
    /// Appends a parcel to the queue.
    pub(super) fn push(&mut self, parcel: Parcel) {
        let bytes = parcel.bytes();
        self.waiting.push_back((parcel, bytes));
    }

    /// Transmits for one millisecond; returns the parcels that are complete.
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
