//! What faces the backends: the list of them, the connections to them, and the attempts on those.

pub mod attempts;
pub mod catalog;
pub mod discovery;
pub mod pool;
pub mod sessions;
