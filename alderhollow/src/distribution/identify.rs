//! The identify request: queries a process for its identity and its view of the core. Used where the core does not exist yet,
//! to find out which seeds can found it.

use super::message::{Answer, Request};
use crate::internal::{Network, ServiceId};
use std::net::SocketAddr;
use std::time::Duration;

/// Time-out of an identify request.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(400);

/// Queries the process at an address. `None` if it does not answer in time, or its answer can't be decoded.
pub async fn identify(network: &Network, address: SocketAddr) -> Option<Answer> {
    let request = minicbor::to_vec(Request::Identify).ok()?;
    let answer = network
        .call(address, ServiceId::Distribution, request, IDENTIFY_TIMEOUT)
        .await
        .ok()?;
    minicbor::decode(&answer).ok()
}
