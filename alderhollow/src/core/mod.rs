//! Puts a member of the core ([`alderhollow_coordination::replica::Replica`]) on the disk, the network and the clock, in
//! gateway processes that have a disk.
//!
//! | part | does |
//! | --- | --- |
//! | [`driver`] | does what the replica asks for, and tells it what happened |
//! | [`contact`] | a member's addresses, which are opaque to the replica |
//! | [`membership`] | founds the core at the first start of the system, and asks to join it otherwise |
//! | [`authority`] | the member as the other parts of the process see it |
//! | [`store_watch`], [`group_reconciler`] | what the primary sees of the stores, and the batch group's changes |

pub mod authority;
pub mod contact;
pub mod driver;
pub mod group_reconciler;
pub mod membership;
pub mod store_watch;

pub use driver::Core;
