//! What this front door and the others tell each other, behind the key `fleet`: without it there is no socket, no task
//! and no allocation.

pub mod driver;
pub mod settings;
