//! A batch job as stored: the submitted job, and its results by position.
//!
//! Invariant: an item has at most one result, and a result's position never changes. The numbers of `#[n(..)]` are the
//! format on disk and on the wire.

use minicbor::{Decode, Encode};
use std::fmt;
use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// Id of a batch job: the `Request-Id` of the call that submitted it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct JobId(#[n(0)] pub String);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for JobId {
    fn from(id: &str) -> JobId {
        JobId(id.to_owned())
    }
}

/// One header of an item's request.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Header {
    /// Name of the header.
    #[n(0)]
    pub name: String,
    /// Value of the header.
    #[n(1)]
    pub value: String,
}

/// The request that runs an item.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ItemRequest {
    /// Path of the POST request.
    #[n(0)]
    pub path: String,
    /// Headers that the client set for the item.
    #[n(1)]
    pub headers: Vec<Header>,
    /// The decoded body.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub body: Vec<u8>,
}

/// An item of a job. Its request is dropped once the item has a result or its job has ended.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Item {
    /// Id of the item: the `Request-Id` of its runs.
    #[n(0)]
    pub id: String,
    /// Tokens of the prompt plus the maximum tokens of the output.
    #[n(1)]
    pub tokens: u64,
    /// The request; `None` once it was dropped.
    #[n(2)]
    pub request: Option<ItemRequest>,
}

/// A job as submitted by a client.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct NewJob {
    /// Id of the job.
    #[n(0)]
    pub id: JobId,
    /// Name of the route, which is also the tenant whose tokens are counted.
    #[n(1)]
    pub route: String,
    /// The route's `Host`.
    #[n(2)]
    pub host: String,
    /// Configuration version under which the job was accepted; set by the engine.
    #[n(3)]
    pub config_version: u64,
    /// Lower bound of the time since the client first sent the job, in milliseconds.
    #[n(4)]
    pub age_ms: u64,
    /// The items; results refer to them by index.
    #[n(5)]
    pub items: Vec<Item>,
}

impl NewJob {
    /// Sum of the tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items
            .iter()
            .fold(0, |sum, item| sum.saturating_add(item.tokens))
    }
}

/// Final state of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum ResultState {
    /// A backend produced the complete output.
    #[n(0)]
    Completed,
    /// The item was abandoned.
    #[n(1)]
    DeadLetter,
}

/// Result of an item. Its position is its index in [`Job::results`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ItemResult {
    /// Index of the item in [`NewJob::items`].
    #[n(0)]
    pub item: u32,
    /// How it ended.
    #[n(1)]
    pub state: ResultState,
    /// Data of all events in order, separated by line feeds.
    #[n(2)]
    pub text: String,
}

/// A job as stored.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Job {
    /// The submitted job. Its `age_ms` is the age at the time of encoding; the current age follows from
    /// [`Job::first_sent_ms`].
    #[n(0)]
    pub accepted: NewJob,
    /// Results by position.
    #[n(1)]
    pub results: Vec<ItemResult>,
    /// Whether the client ended the job.
    #[n(2)]
    pub ended: bool,
    /// Rolling hash over the submitted job and the results.
    #[n(3)]
    digest: u64,
    /// Latest possible time of the first send, in milliseconds on the monotonic clock of this process; negative if
    /// before the clock's start.
    #[cbor(skip)]
    pub first_sent_ms: i64,
    /// Whether each item has a result, by index.
    #[cbor(skip)]
    listed: Vec<bool>,
}

impl Job {
    /// Creates a job that was accepted at `now_ms`.
    pub fn new(now_ms: u64, accepted: NewJob) -> Job {
        let digest = digest_of_accepted(&accepted);
        let listed = vec![false; accepted.items.len()];
        let first_sent_ms = first_sent(now_ms, accepted.age_ms);
        Job {
            accepted,
            results: Vec::new(),
            ended: false,
            digest,
            first_sent_ms,
            listed,
        }
    }

    /// Restores the fields that are not encoded, after decoding. Returns `false` if the results are inconsistent.
    pub fn after_decoding(&mut self, now_ms: u64) -> bool {
        self.first_sent_ms = first_sent(now_ms, self.accepted.age_ms);
        self.listed = vec![false; self.accepted.items.len()];
        for result in &self.results {
            match self.listed.get_mut(result.item as usize) {
                Some(listed) if !*listed => *listed = true,
                _ => return false,
            }
        }
        true
    }

    /// Lower bound of the time since the first send, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64).saturating_sub(self.first_sent_ms).max(0) as u64
    }

    /// Raises the known age to a lower bound that another store reported.
    pub fn learn_age(&mut self, now_ms: u64, age_ms: u64) {
        self.first_sent_ms = self.first_sent_ms.min(first_sent(now_ms, age_ms));
    }

    /// Whether the item has a result.
    pub fn is_listed(&self, item: u32) -> bool {
        self.listed.get(item as usize).copied().unwrap_or(false)
    }

    /// Whether every item has a result.
    pub fn is_complete(&self) -> bool {
        self.results.len() == self.accepted.items.len()
    }

    /// Index of the item with this id.
    pub fn item_index(&self, id: &str) -> Option<u32> {
        self.accepted
            .items
            .iter()
            .position(|item| item.id == id)
            .map(|index| index as u32)
    }

    /// Appends results starting at a position. Results at occupied positions are skipped, so that the call is
    /// idempotent. Returns `false` and appends none if there is a gap, an unknown item, or an item that already has a
    /// result at another position.
    pub fn append_results(&mut self, position: u32, results: Vec<ItemResult>) -> bool {
        let Some(taken) = self.results.len().checked_sub(position as usize) else {
            return false;
        };
        let new: Vec<ItemResult> = results.into_iter().skip(taken).collect();
        let mut listed = self.listed.clone();
        for result in &new {
            match listed.get_mut(result.item as usize) {
                Some(listed) if !*listed => *listed = true,
                _ => return false,
            }
        }
        self.listed = listed;
        self.digest = new.iter().fold(self.digest, digest_of_result);
        self.results.extend(new);
        true
    }

    /// Drops the requests of the items whose results are at the positions `from..to`.
    pub fn release_listed(&mut self, from: usize, to: usize) {
        let items = &mut self.accepted.items;
        for result in self.results.iter().take(to).skip(from) {
            if let Some(item) = items.get_mut(result.item as usize) {
                item.request = None;
            }
        }
    }

    /// Drops the requests of all items after the end of the job.
    pub fn release_all(&mut self) {
        for item in &mut self.accepted.items {
            item.request = None;
        }
    }

    /// Hash of everything that replicas must agree on.
    pub fn digest(&self) -> u64 {
        self.digest.rotate_left(1) ^ u64::from(self.ended)
    }
}

/// Time of the first send of a job with this age.
fn first_sent(now_ms: u64, age_ms: u64) -> i64 {
    (now_ms.min(i64::MAX as u64) as i64).saturating_sub(age_ms.min(i64::MAX as u64) as i64)
}

/// Hash of a submitted job without its age. It is computed once, before any request is dropped.
fn digest_of_accepted(job: &NewJob) -> u64 {
    let mut hasher = XxHash3_64::with_seed(0);
    for text in [&job.id.0, &job.route, &job.host] {
        hash_bytes(&mut hasher, text.as_bytes());
    }
    hasher.write(&job.config_version.to_le_bytes());
    for item in &job.items {
        hash_bytes(&mut hasher, item.id.as_bytes());
        hasher.write(&item.tokens.to_le_bytes());
        let Some(request) = &item.request else {
            continue;
        };
        hash_bytes(&mut hasher, request.path.as_bytes());
        for header in &request.headers {
            hash_bytes(&mut hasher, header.name.as_bytes());
            hash_bytes(&mut hasher, header.value.as_bytes());
        }
        hash_bytes(&mut hasher, &request.body);
    }
    hasher.finish()
}

/// Hash of a job extended by one result.
fn digest_of_result(before: u64, result: &ItemResult) -> u64 {
    let mut hasher = XxHash3_64::with_seed(before);
    hasher.write(&result.item.to_le_bytes());
    hasher.write(&[result.state as u8]);
    hash_bytes(&mut hasher, result.text.as_bytes());
    hasher.finish()
}

/// Hashes bytes behind their length, so that adjacent fields cannot be confused.
fn hash_bytes(hasher: &mut XxHash3_64, bytes: &[u8]) {
    hasher.write(&(bytes.len() as u64).to_le_bytes());
    hasher.write(bytes);
}
