//! Coordination without sockets, clocks or threads. Every part is a state machine: it is told the time, the messages
//! that came and the disk writes that ended, and gives what is to be sent, written and done.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod monitoring;
pub mod replica;
