//! Failure detection by a few peers of each process: rendezvous hashing names its monitors, who probe it, ask others to
//! probe it when it does not answer them, and report it to the primary when nobody got an answer. The primary decides.
//!
//! | part | does |
//! | --- | --- |
//! | [`rendezvous`] | who monitors whom |
//! | [`monitor`] | one process's probes and suspicions |
//! | [`verdicts`] | what the primary makes of the reports |
//!
//! All parts are state machines without I/O: time, messages and lists are their inputs. A late, doubled or foreign message
//! changes nothing: answers are matched to probes by number, and reports are replaced as a whole, the newest by its sequence.

pub mod monitor;
pub mod rendezvous;
pub mod verdicts;

/// Milliseconds on a steady clock.
pub type Millis = u64;

/// A process, by the number under which the list of processes has it.
pub type NodeNumber = u32;
