//! Reconciles the batch groups: while this process is the core's primary, it evaluates the group policy and proposes the
//! changes that are due.

use super::authority::ControlAuthority;
use crate::control_state::group_policy::next_request;
use crate::control_state::request::Request;
use alderhollow_coordination::replica::interface::Outcome;
use std::rc::Rc;
use std::time::Duration;

/// Interval between evaluations of the policy; a changed report of a store triggers one at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a proposal that failed or changed nothing.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Runs until the future is dropped.
pub async fn run(authority: Rc<ControlAuthority>) {
    loop {
        let Some(view) = authority.group_view() else {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        };
        let request = next_request(&authority.core().state(), &view);
        let Some(request) = request else {
            let _ = tokio::time::timeout(CHECK_INTERVAL, authority.stores_changed()).await;
            continue;
        };
        log_request(&request);
        match authority.core().propose(request.to_bytes()).await {
            Ok(Outcome::Committed(_)) => (),
            Ok(Outcome::Answered(_)) => tokio::time::sleep(RETRY_INTERVAL).await,
            Err(error) => {
                log::warn!("batch groups: failed to commit a change: {error}");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Logs one line for each group that a request changes.
fn log_request(request: &Request) {
    match request {
        Request::FoundGroups(groups) => log::info!("batch groups: creating {}", groups.len()),
        Request::ChangeGroups(changes) => {
            changes
                .iter()
                .for_each(|change| log::info!("batch {change}"));
        }
        Request::RegisterStore(store) => {
            log::info!(
                "batch groups: registering store {} in zone {}",
                store.node,
                store.zone
            );
        }
        Request::Order { .. } => {}
    }
}
