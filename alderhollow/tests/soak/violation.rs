//! Rules for batch jobs and configurations that a soak found broken.

use std::time::Duration;
use thiserror::Error;

/// A broken rule, as seen from outside.
#[derive(Debug, Clone, Error)]
pub(crate) enum Violation {
    #[error("{job}: accepted, but answered 404")]
    NotFound { job: String },
    #[error("{job}: accepted, but in calm only {listed} of {total} results can be read")]
    NotWhole {
        job: String,
        listed: usize,
        total: usize,
    },
    #[error("{job}: nothing stands at position {position}, which was read before")]
    ResultLost { job: String, position: usize },
    #[error("{job}: another result than before stands at position {position}")]
    PositionChanged { job: String, position: usize },
    #[error("{job}: item {item} stands at two positions")]
    ItemTwice { job: String, item: String },
    #[error("{job}: a result of item {item}, which was not handed in")]
    UnknownItem { job: String, item: String },
    #[error("{job}: the text of item {item} is not whole")]
    TextNotWhole { job: String, item: String },
    #[error("{job}: item {item} is listed as completed, but no backend finished it")]
    NeverFinished { job: String, item: String },
    #[error("{job}: item {item} was given up, but was neither rejected nor failed often enough")]
    GivenUpEarly { job: String, item: String },
    #[error("{job}: the body of item {item} is not the one that was handed in")]
    WrongBody { job: String, item: String },
    #[error("{job}: item {item} came to a backend {after:?} after the job's end was acknowledged")]
    RanAfterEnd {
        job: String,
        item: String,
        after: Duration,
    },
    #[error("{job}: item {item} came to a backend, but every try to hand the job in was refused")]
    RefusedRan { job: String, item: String },
    #[error("{waiting} tokens wait at the 202 of {job}, {limit} are allowed")]
    OverQuota {
        job: String,
        waiting: u64,
        limit: u64,
    },
    #[error("configuration {acknowledged} was acknowledged, {read:?} is read back")]
    ConfigurationLost {
        acknowledged: u64,
        read: Option<u64>,
    },
    #[error("{process} counted {count} broken rules by itself")]
    Counted { process: String, count: u64 },
}
