//! The role of a door: takes clients' requests and operators' calls.

use crate::settings::Settings;
use crate::termination::terminated;

/// Runs a door until it is told to end.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    log::info!("door {} in zone {}", settings.node, settings.zone);
    terminated().await
}
