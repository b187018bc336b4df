//! The platform's signal that a process is to end.

use tokio::signal::unix::{signal, SignalKind};

/// Waits for SIGTERM.
///
/// # Errors
/// The signal cannot be caught.
pub async fn terminated() -> std::io::Result<()> {
    let mut signals = signal(SignalKind::terminate())?;
    signals.recv().await;
    Ok(())
}
