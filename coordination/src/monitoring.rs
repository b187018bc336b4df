//! Failure detection by peers, as in SWIM, with a central decision.
//!
//! Rendezvous hashing assigns a few monitors to each process. A monitor probes its processes; if one does not answer,
//! the other monitors of that process are asked to probe it too (indirect probe). If nobody receives an answer, the
//! process is suspected and the monitor reports this to the primary, which decides whether it is dead.
//!
//! | module | job |
//! | --- | --- |
//! | [`rendezvous`] | assignment of monitors to processes |
//! | [`monitor`] | probes and suspicions of one process |
//! | [`failure_detector`] | the primary's decision, from the reports |
//!
//! All are state machines without I/O. Delayed, duplicated and foreign messages are harmless: an answer is matched to
//! its probe by number, and a report replaces the previous one only if its sequence number is not lower.

pub mod failure_detector;
pub mod monitor;
pub mod rendezvous;

/// A point in time of a monotonic clock, or a duration, in milliseconds.
pub type Millis = u64;

/// Number of a process in the membership list.
pub type NodeNumber = u32;
