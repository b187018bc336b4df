//! Runs the items of batch jobs at backends, for the primary of the group of stores.

pub mod events;
