//! The shutdown phases that a process signals to its HTTP server.

/// The shutdown phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Clients are served normally.
    Running,
    /// The process is shutting down and no longer ready: new connections are still served, then closed.
    Draining,
    /// No further connections are accepted.
    Ending,
}
