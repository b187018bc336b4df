//! Follower role: applies the primary's stream and acknowledges entries after they are on disk.
//!
//! Invariant: a store never follows a stream below the greatest one that it has followed, which is recorded on disk.

use crate::api::WriteTicket;
use crate::group::writes::WriteQueue;
use crate::job::JobId;
use crate::message::{JobAge, JobDigest, Message};
use crate::records::{Entry, StreamId};
use crate::state::State;
use alderhollow_model::identity::DiskId;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

/// Difference in age from which a job's larger age is reported to the primary.
const AGE_TOLERANCE_MS: u64 = 200;

/// Applied entries whose write is not complete.
#[derive(Debug, Clone, Copy)]
struct Unsynced {
    ticket: WriteTicket,
    next: u64,
}

/// The stream that this process follows.
#[derive(Debug)]
struct Following {
    stream: StreamId,
    primary: DiskId,
    /// Number of the next entry to apply.
    next: u64,
    /// Number of the first entry that is not on disk.
    synced_next: u64,
    unsynced: VecDeque<Unsynced>,
}

/// State of a store in the follower role.
#[derive(Debug, Default)]
pub struct Follower {
    following: Option<Following>,
}

impl Follower {
    /// Handles [`Message::Compare`]: starts or continues the synchronization of a stream and answers with the
    /// differences.
    pub fn compare(
        &mut self,
        now_ms: u64,
        from: DiskId,
        request: CompareRequest,
        state: &mut State,
        writes: &mut WriteQueue,
    ) -> Message {
        let stream = request.stream;
        if stream < state.progress.following {
            return Message::Rejected {
                stream,
                known: state.progress.following,
            };
        }
        if stream > state.progress.following {
            writes.push(&Entry::Following(stream));
            state.progress.following = stream;
            self.following = Some(Following {
                stream,
                primary: from,
                next: 1,
                synced_next: 1,
                unsynced: VecDeque::new(),
            });
        }
        match &self.following {
            Some(following) if following.stream == stream => differences(now_ms, request, state),
            _ => Message::NotFollowing { stream },
        }
    }

    /// Handles [`Message::Entries`]: applies entries of the stream. Returns an answer only if it does not depend on a
    /// disk write.
    pub fn entries(
        &mut self,
        now_ms: u64,
        stream: StreamId,
        first: u64,
        entries: Vec<Entry>,
        state: &mut State,
        writes: &mut WriteQueue,
    ) -> Option<Message> {
        if stream < state.progress.following {
            return Some(Message::Rejected {
                stream,
                known: state.progress.following,
            });
        }
        let Some(following) = self
            .following
            .as_mut()
            .filter(|following| following.stream == stream)
        else {
            return Some(Message::NotFollowing { stream });
        };
        let Some(known) = following.next.checked_sub(first) else {
            return Some(Message::Acknowledge {
                stream,
                next: following.synced_next,
            });
        };
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        let mut newest = None;
        for entry in entries.into_iter().skip(known) {
            let record = entry.to_bytes();
            if state.apply_and_release(now_ms, entry).is_err() {
                self.following = None;
                return Some(Message::NotFollowing { stream });
            }
            newest = Some(writes.push_record(record));
            following.next += 1;
        }
        match newest {
            Some(ticket) => following.unsynced.push_back(Unsynced {
                ticket,
                next: following.next,
            }),
            None => {
                return Some(Message::Acknowledge {
                    stream,
                    next: following.synced_next,
                })
            }
        }
        None
    }

    /// Handles the completion of writes: returns the acknowledgement for the primary, if there is one.
    pub fn on_written(&mut self, ticket: WriteTicket) -> Option<(DiskId, Message)> {
        let following = self.following.as_mut()?;
        let mut advanced = false;
        while let Some(unsynced) = following
            .unsynced
            .front()
            .filter(|unsynced| unsynced.ticket <= ticket)
        {
            following.synced_next = unsynced.next;
            following.unsynced.pop_front();
            advanced = true;
        }
        let acknowledge = Message::Acknowledge {
            stream: following.stream,
            next: following.synced_next,
        };
        advanced.then_some((following.primary, acknowledge))
    }
}

/// Content of [`Message::Compare`].
#[derive(Debug)]
pub struct CompareRequest {
    /// The stream.
    pub stream: StreamId,
    /// Exclusive start of the range; `None` for the first id.
    pub after: Option<JobId>,
    /// Inclusive end of the range; `None` if it is unbounded.
    pub until: Option<JobId>,
    /// Digests of the primary's jobs in the range.
    pub digests: Vec<JobDigest>,
}

/// Differences between the primary's jobs and those of this store in a range.
fn differences(now_ms: u64, request: CompareRequest, state: &mut State) -> Message {
    let digests: BTreeMap<JobId, JobDigest> = request
        .digests
        .into_iter()
        .map(|digest| (digest.job.clone(), digest))
        .collect();
    let mut older = Vec::new();
    let mut wanted = Vec::new();
    for (id, digest) in &digests {
        let Some(job) = state.jobs.get_mut(id) else {
            wanted.push(id.clone());
            continue;
        };
        if job.digest() != digest.digest {
            wanted.push(id.clone());
        }
        let age_ms = job.age_ms(now_ms);
        if age_ms > digest.age_ms.saturating_add(AGE_TOLERANCE_MS) {
            older.push(JobAge {
                job: id.clone(),
                age_ms,
            });
        }
        job.learn_age(now_ms, digest.age_ms);
    }
    let from = request.after.map_or(Bound::Unbounded, Bound::Excluded);
    let to = request
        .until
        .clone()
        .map_or(Bound::Unbounded, Bound::Included);
    let surplus = if is_range(&from, &to) {
        state
            .jobs
            .range((from, to))
            .map(|(id, _)| id)
            .filter(|id| !digests.contains_key(id))
            .cloned()
            .collect()
    } else {
        Vec::new()
    };
    let active_epoch = state.progress.active_epoch;
    Message::Differences {
        stream: request.stream,
        until: request.until,
        wanted,
        surplus,
        older,
        active_epoch,
    }
}

/// Whether the bounds are ordered; `BTreeMap::range` panics otherwise.
fn is_range(from: &Bound<JobId>, to: &Bound<JobId>) -> bool {
    match (from, to) {
        (Bound::Excluded(from), Bound::Included(to)) => from < to,
        _ => true,
    }
}
