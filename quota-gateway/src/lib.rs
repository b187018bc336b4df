//! Admission control, retries and load balancing for a gateway that enforces each customer's plan on a shared
//! back end.
//!
//! The crate does no I/O. A host passes [`Event`]s to one [`Gateway`], each with the host's own monotonic clock
//! in milliseconds, and executes the returned [`Action`]s in order. The host guarantees:
//!
//! * **clock**: time never runs backwards between two calls;
//! * **timers**: each [`Action::Timer`] is returned as one [`Event::Timer`] at or soon after its time, unless the
//!   request that it belongs to ([`Gateway::timer_request`]) is answered and its attempts have ended;
//! * **order**: events are delivered in the order in which they happened, and every
//!   [`Action::Send`] is answered by exactly one [`Event::AttemptEnd`];
//! * **isolation**: one gateway per process; gateways share no state and learn of each other only through the
//!   meter.
//!
//! ```
//! use quota_gateway::{Action, Class, Effect, Event, Gateway, ListKind, Lifecycle, Plan, Request};
//! use quota_gateway::{ServerEntry, Settings};
//!
//! let settings = Settings {
//!     classes: vec![Class { worth: 1.0, aim: 500.0, deadline: 2000.0, late_share: 0.0, effect: Effect::Idempotent }],
//!     plans: vec![Plan { rate: 5.0, burst: 10.0, price: 1.0, ..Plan::default() }],
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 42, 0.0).expect("the settings are valid");
//! let mut actions = Vec::new();
//! let server = ServerEntry { id: 7, zone: 0, cell: 0, share: 1.0, lifecycle: Lifecycle::Ready, launched: None };
//! gateway.handle(0.0, Event::Servers { kind: ListKind::Full, entries: vec![server] }, &mut actions);
//! let request = Request {
//!     id: 1,
//!     customer: 99,
//!     plan: 0,
//!     class: 0,
//!     units: 1.0,
//!     spread: 1,
//!     first: 0,
//!     expires_in: 2000.0,
//!     repeat: false,
//! };
//! gateway.handle(1.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { request: 1, server: 7, .. })));
//! ```

mod balance;
pub mod batch_admission;
pub mod control;
pub mod interface;
mod quota;
pub mod wire;

pub use control::Gateway;
pub use interface::*;
