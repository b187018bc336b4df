//! What faces the backends: the list of them, the connections to them, and the attempts on those.

pub(crate) mod attempts;
pub(crate) mod catalog;
pub(crate) mod discovery;
pub(crate) mod pool;
pub(crate) mod sessions;
