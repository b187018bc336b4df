//! Puts a member of the core ([`alderhollow_coordination::replica::Replica`]) on the disk, the network and the clock, in
//! door processes that have a disk.
//!
//! | part | does |
//! | --- | --- |
//! | [`driver`] | does what the replica asks for, and tells it what happened |
//! | [`contact`] | a member's addresses, which are opaque to the replica |
//! | [`membership`] | founds the core at the first start of the system, and asks to join it otherwise |

pub mod contact;
pub mod driver;
pub mod membership;

pub use driver::Core;
