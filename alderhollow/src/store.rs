//! The role of a store: keeps batch jobs and runs their items.

use crate::settings::Settings;
use crate::termination::terminated;

/// Runs a store until it is told to end.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    log::info!("store {} in zone {}", settings.node, settings.zone);
    terminated().await
}
