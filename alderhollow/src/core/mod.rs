//! A member of the core: drives a [`Replica`](alderhollow_coordination::replica::Replica), which has no I/O, with a disk, the
//! network and the clock, in gateway and core processes that have a disk.
//!
//! May use `control_state`, `distribution`, `internal` and the storage crate. Used by `control_plane`, which starts it, by
//! `operator_api` and by `status`.
//!
//! | module | contents |
//! | --- | --- |
//! | [`driver`] | executes the replica's outputs and passes it its inputs |
//! | [`contact`] | a member's addresses, which are opaque to the replica |
//! | [`membership`] | founds the core at the first start of the system; requests to join it otherwise |
//! | [`authority`] | the member's interface for the other modules of the process |
//! | [`store_watch`], [`group_reconciler`] | the stores' newest polls, and the changes of the batch groups that follow from them |

pub mod authority;
pub mod contact;
pub mod driver;
pub mod group_reconciler;
pub mod membership;
pub mod store_watch;

pub use driver::Core;
