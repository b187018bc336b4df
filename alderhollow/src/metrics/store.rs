//! Metrics of a store: batch jobs, their runs, their replication and the journal.

use super::family::{label, Counter, CounterFamily, Description, Durations, Gauge, Registrar};
use crate::store::activity::StoreSummary;
use alderhollow_batch::api::{RunEnd, SubmitOutcome};
use alderhollow_batch::counts::EngineCounts;
use alderhollow_batch::message::Message;
use alderhollow_batch::records::Entry;
use std::time::Duration;

const SUBMITTED: Description = Description {
    name: "alderhollow_store_jobs_total",
    help: "Batch jobs handed over to this store, by result; also repeated ones",
};
const COMMIT_SECONDS: Description = Description {
    name: "alderhollow_store_commit_seconds",
    help: "Time from the acceptance of a batch job to its commit on all members",
};
const ITEMS_LISTED: Description = Description {
    name: "alderhollow_store_items_listed_total",
    help: "Items with a result",
};
const ITEMS_WAITING: Description = Description {
    name: "alderhollow_store_items_waiting",
    help: "Items that wait for a run",
};
const ITEMS_RUNNING: Description = Description {
    name: "alderhollow_store_items_running",
    help: "Items with a run under way",
};
const ITEMS_WITHOUT_BACKEND: Description = Description {
    name: "alderhollow_store_items_without_backend",
    help: "Waiting items whose services have no backend that accepts requests",
};
const ITEMS_TOO_LARGE: Description = Description {
    name: "alderhollow_store_items_too_large_total",
    help: "Times that an item was put off because it needs more memory than its service's backends have",
};
const ITEMS_WITHOUT_WEIGHTS: Description = Description {
    name: "alderhollow_store_items_without_weights_total",
    help: "Times that an item was put off because no backend has the version of the weights that it expects",
};
const RUNS_STARTED: Description = Description {
    name: "alderhollow_store_runs_started_total",
    help: "Runs of items that were started",
};
const RUN_ENDS: Description = Description {
    name: "alderhollow_store_run_ends_total",
    help: "Ends of runs, by kind",
};
const READS: Description = Description {
    name: "alderhollow_store_reads_total",
    help: "Answers to reads that gave results or none yet",
};
const READ_BYTES: Description = Description {
    name: "alderhollow_store_read_bytes_total",
    help: "Bytes of the answers to reads, with the results as JSON",
};
const BODIES: Description = Description {
    name: "alderhollow_store_bodies_read_total",
    help: "Bodies of items that were read",
};
const JOURNAL_WRITES: Description = Description {
    name: "alderhollow_store_journal_writes_total",
    help: "Writes of records to the journal",
};
const JOURNAL_BYTES: Description = Description {
    name: "alderhollow_store_journal_written_bytes_total",
    help: "Bytes of records and snapshots written to the journal",
};
const SYNC_SECONDS: Description = Description {
    name: "alderhollow_store_journal_sync_seconds",
    help:
        "Time from the submission of a write to its end on the disk, with its wait for earlier ones",
};
const COMPACTIONS: Description = Description {
    name: "alderhollow_store_journal_compactions_total",
    help: "Snapshots written in place of the log",
};
const GROUPS: Description = Description {
    name: "alderhollow_store_groups",
    help: "Batch groups of which this store keeps something",
};
const GROUPS_LED: Description = Description {
    name: "alderhollow_store_groups_led",
    help: "Batch groups that this store leads",
};
const GROUPS_ACTIVE: Description = Description {
    name: "alderhollow_store_groups_active",
    help: "Batch groups that this store leads in an active epoch",
};
const NEWEST_EPOCH: Description = Description {
    name: "alderhollow_store_newest_group_epoch",
    help: "The newest epoch of any of its batch groups",
};
const EPOCHS_CHANGED: Description = Description {
    name: "alderhollow_store_group_epochs_changed_total",
    help: "Times that the tables named another epoch of a batch group",
};
const MESSAGES: Description = Description {
    name: "alderhollow_replication_messages_total",
    help: "Messages for other stores that were handed to the network, by kind",
};
const MESSAGE_BYTES: Description = Description {
    name: "alderhollow_replication_message_bytes_total",
    help: "Bytes of messages for other stores that were handed to the network, by kind",
};
const ENTRY_BYTES: Description = Description {
    name: "alderhollow_replication_entry_bytes_total",
    help: "Bytes of streamed entries, roughly, by what they say",
};
const RETRIES: Description = Description {
    name: "alderhollow_replication_retries_total",
    help: "Times that a store's answer was late and the primary began to send again",
};
const COMPARISONS: Description = Description {
    name: "alderhollow_replication_comparisons_total",
    help: "Comparisons of all jobs with another store that were begun",
};
const STREAMS_GIVEN_UP: Description = Description {
    name: "alderhollow_replication_streams_given_up_total",
    help: "Streams to stores that held back too many records",
};

label! {
    /// What became of a batch job that was handed over.
    SubmitResult named "result" {
        /// It was accepted just now; its commit is under way.
        Accepted => "accepted",
        /// It was accepted by an earlier try whose commit is under way.
        AlreadyPending => "already_pending",
        /// It was accepted and committed before.
        AlreadyAccepted => "already_accepted",
        /// It does not fit the tenant's quota.
        OverQuota => "over_quota",
        /// This store is the primary and can't accept now.
        NotSure => "not_sure",
        /// This store is not the primary.
        NotPrimary => "not_primary",
        /// It breaks a bound.
        Invalid => "invalid",
    }
}

impl SubmitResult {
    /// The result of a call; `is_new` tells whether a pending job was unknown before.
    pub fn of(submitted: SubmitOutcome, is_new: bool) -> SubmitResult {
        match submitted {
            SubmitOutcome::Pending(_) if is_new => SubmitResult::Accepted,
            SubmitOutcome::Pending(_) => SubmitResult::AlreadyPending,
            SubmitOutcome::AlreadyAccepted => SubmitResult::AlreadyAccepted,
            SubmitOutcome::OverQuota => SubmitResult::OverQuota,
            SubmitOutcome::NotSure => SubmitResult::NotSure,
            SubmitOutcome::NotPrimary => SubmitResult::NotPrimary,
            SubmitOutcome::Invalid => SubmitResult::Invalid,
        }
    }
}

label! {
    /// How a run ended.
    RunEndKind named "end" {
        /// With a whole answer.
        Completed => "completed",
        /// The backend will never take the item.
        Rejected => "rejected",
        /// The backend failed at it.
        Failed => "failed",
        /// No backend ran it.
        NotRun => "not_run",
        /// The answer broke off.
        Cut => "cut",
        /// The store did not want it any more.
        Cancelled => "cancelled",
    }
}

impl From<&RunEnd> for RunEndKind {
    fn from(end: &RunEnd) -> RunEndKind {
        match end {
            RunEnd::Completed { .. } => RunEndKind::Completed,
            RunEnd::Rejected => RunEndKind::Rejected,
            RunEnd::Failed => RunEndKind::Failed,
            RunEnd::NotRun { .. } | RunEnd::Postponed { .. } => RunEndKind::NotRun,
            RunEnd::Interrupted { .. } => RunEndKind::Cut,
        }
    }
}

label! {
    /// Kind of a message between stores.
    MessageKind named "kind" {
        /// Digests of the primary's jobs.
        Compare => "compare",
        /// What differs.
        Differences => "differences",
        /// A part of the stream.
        Entries => "entries",
        /// What is on disk.
        Acknowledge => "acknowledge",
        /// The stream is not followed.
        NotFollowing => "not_following",
        /// A greater stream or epoch is known.
        Refused => "refused",
    }
}

impl From<&Message> for MessageKind {
    fn from(message: &Message) -> MessageKind {
        match message {
            Message::Compare { .. } => MessageKind::Compare,
            Message::Differences { .. } => MessageKind::Differences,
            Message::Entries { .. } => MessageKind::Entries,
            Message::Acknowledge { .. } => MessageKind::Acknowledge,
            Message::NotFollowing { .. } => MessageKind::NotFollowing,
            Message::Rejected { .. } => MessageKind::Refused,
        }
    }
}

label! {
    /// What a streamed entry says.
    EntryContent named "content" {
        /// A job was accepted.
        Jobs => "jobs",
        /// Results.
        Results => "results",
        /// A whole job, to make a store equal.
        WholeJobs => "whole_jobs",
        /// Ends and marks.
        Other => "other",
    }
}

impl From<&Entry> for EntryContent {
    fn from(entry: &Entry) -> EntryContent {
        match entry {
            Entry::JobAccepted(_) => EntryContent::Jobs,
            Entry::ItemResults { .. } => EntryContent::Results,
            Entry::FullJob(_) => EntryContent::WholeJobs,
            Entry::JobEnded(_)
            | Entry::JobForgotten(_)
            | Entry::Following(_)
            | Entry::SessionStarted(_)
            | Entry::Synced(_)
            | Entry::Active(_) => EntryContent::Other,
        }
    }
}

/// Metrics of a store.
pub struct StoreMetrics {
    submitted: CounterFamily<SubmitResult>,
    commit_seconds: Durations,
    items_listed: Counter,
    items_waiting: Gauge,
    items_running: Gauge,
    items_without_backend: Gauge,
    items_too_large: Counter,
    items_without_weights: Counter,
    runs_started: Counter,
    run_ends: CounterFamily<RunEndKind>,
    reads: Counter,
    read_bytes: Counter,
    bodies: Counter,
    journal_writes: Counter,
    journal_bytes: Counter,
    sync_seconds: Durations,
    compactions: Counter,
    groups: Gauge,
    groups_led: Gauge,
    groups_active: Gauge,
    newest_epoch: Gauge,
    epochs_changed: Counter,
    messages: CounterFamily<MessageKind>,
    message_bytes: CounterFamily<MessageKind>,
    entry_bytes: CounterFamily<EntryContent>,
    retries: Counter,
    comparisons: Counter,
    streams_given_up: Counter,
}

impl StoreMetrics {
    pub(super) fn new(registrar: &Registrar) -> StoreMetrics {
        StoreMetrics {
            submitted: registrar.counters(&SUBMITTED),
            commit_seconds: registrar.durations(&COMMIT_SECONDS),
            items_listed: registrar.counter(&ITEMS_LISTED),
            items_waiting: registrar.gauge(&ITEMS_WAITING),
            items_running: registrar.gauge(&ITEMS_RUNNING),
            items_without_backend: registrar.gauge(&ITEMS_WITHOUT_BACKEND),
            items_too_large: registrar.counter(&ITEMS_TOO_LARGE),
            items_without_weights: registrar.counter(&ITEMS_WITHOUT_WEIGHTS),
            runs_started: registrar.counter(&RUNS_STARTED),
            run_ends: registrar.counters(&RUN_ENDS),
            reads: registrar.counter(&READS),
            read_bytes: registrar.counter(&READ_BYTES),
            bodies: registrar.counter(&BODIES),
            journal_writes: registrar.counter(&JOURNAL_WRITES),
            journal_bytes: registrar.counter(&JOURNAL_BYTES),
            sync_seconds: registrar.durations(&SYNC_SECONDS),
            compactions: registrar.counter(&COMPACTIONS),
            groups: registrar.gauge(&GROUPS),
            groups_led: registrar.gauge(&GROUPS_LED),
            groups_active: registrar.gauge(&GROUPS_ACTIVE),
            newest_epoch: registrar.gauge(&NEWEST_EPOCH),
            epochs_changed: registrar.counter(&EPOCHS_CHANGED),
            messages: registrar.counters(&MESSAGES),
            message_bytes: registrar.counters(&MESSAGE_BYTES),
            entry_bytes: registrar.counters(&ENTRY_BYTES),
            retries: registrar.counter(&RETRIES),
            comparisons: registrar.counter(&COMPARISONS),
            streams_given_up: registrar.counter(&STREAMS_GIVEN_UP),
        }
    }

    /// A batch job was handed over, with this result.
    pub fn submitted(&self, result: SubmitResult) {
        self.submitted.of(result).increment();
    }

    /// Batch jobs handed over with this result so far.
    pub fn jobs(&self, result: SubmitResult) -> u64 {
        self.submitted.of(result).get()
    }

    /// The acceptance of a batch job was committed.
    pub fn committed(&self, after: Duration) {
        self.commit_seconds.observe(after);
    }

    /// Items that wait and that run.
    pub fn load(&self, waiting: usize, running: usize) {
        self.items_waiting.set(waiting as u64);
        self.items_running.set(running as u64);
    }

    /// Waiting items whose services have no backend.
    pub fn items_without_backend(&self, items: usize) {
        self.items_without_backend.set(items as u64);
    }

    /// An item was put off because no backend has the memory for it.
    pub fn item_too_large(&self) {
        self.items_too_large.increment();
    }

    /// An item was put off because no backend has the version of the weights that it expects.
    pub fn item_without_weights(&self) {
        self.items_without_weights.increment();
    }

    /// Runs were started.
    pub fn runs_started(&self, count: usize) {
        self.runs_started.add(count as u64);
    }

    /// A run ended.
    pub fn run_ended(&self, end: RunEndKind) {
        self.run_ends.of(end).increment();
    }

    /// Results were read, in an answer of this size.
    pub fn read(&self, bytes: usize) {
        self.reads.increment();
        self.read_bytes.add(bytes as u64);
    }

    /// A body was read.
    pub fn body_read(&self) {
        self.bodies.increment();
    }

    /// Records of this size go to the journal in one write.
    pub fn journal_write(&self, bytes: usize) {
        self.journal_writes.increment();
        self.journal_bytes.add(bytes as u64);
    }

    /// A snapshot of this size goes to the journal in place of its log.
    pub fn compaction(&self, bytes: usize) {
        self.compactions.increment();
        self.journal_bytes.add(bytes as u64);
    }

    /// A write to the journal has ended.
    pub fn synced(&self, after: Duration) {
        self.sync_seconds.observe(after);
    }

    /// The store's part in its groups.
    pub fn part(&self, part: &StoreSummary) {
        self.groups.set(part.groups as u64);
        self.groups_led.set(part.led as u64);
        self.groups_active.set(part.active as u64);
        self.newest_epoch.set(part.newest_epoch);
        self.load(part.waiting, part.running);
    }

    /// The tables named another epoch.
    pub fn epoch_changed(&self) {
        self.epochs_changed.increment();
    }

    /// A message of this size goes to another store.
    pub fn message(&self, message: &Message, bytes: usize) {
        let kind = message.into();
        self.messages.of(kind).increment();
        self.message_bytes.of(kind).add(bytes as u64);
        if let Message::Entries { entries, .. } = message {
            for entry in entries {
                self.entry_bytes
                    .of(entry.into())
                    .add(entry.approximate_bytes() as u64);
            }
        }
    }

    /// What the engine counted since the last call.
    pub fn engine_counted(&self, counted: EngineCounts) {
        self.items_listed.add(counted.items_listed);
        self.retries.add(counted.replication.retries);
        self.comparisons.add(counted.replication.comparisons);
        self.streams_given_up
            .add(counted.replication.streams_abandoned);
    }
}
