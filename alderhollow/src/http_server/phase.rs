//! What a process tells its front of its own end.

/// Whether the process goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Clients are served.
    Running,
    /// The process was told to end and is no longer ready: clients that still come are served and sent off.
    Leaving,
    /// No further client is accepted.
    Ending,
}
