//! What a running process tells operators of itself, over the internal protocol.
//!
//! | part | does |
//! | --- | --- |
//! | [`message`] | the question and its answer |
//! | [`server`] | puts the answer together |
//! | [`display`] | shows it as text |
//! | [`choice_display`] | shows the reason of a choice as text |

pub mod choice_display;
pub mod display;
pub mod message;
pub mod server;

use crate::internal::{CallError, Network, ServiceId};
use crate::node::random_seed;
use crate::placement::message::Demand;
use message::{ChoiceReport, Request, StatusReport};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// How long a process may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why there is no status.
#[derive(Debug, Error)]
pub enum StatusError {
    /// The process did not answer.
    #[error(
        "{address}: {source}: check that this is the first internal port of a process that runs"
    )]
    Call {
        /// Where it was asked.
        address: SocketAddr,
        /// Why.
        source: CallError,
    },
    /// The answer is of another version of the program.
    #[error("{0}: the answer can't be read: use the program of the process's own version")]
    Unreadable(SocketAddr),
}

/// Asks the process at this internal address for its status. To be called in a `LocalSet`.
///
/// # Errors
/// It does not answer, or not in a form that can be read.
pub async fn ask(address: SocketAddr) -> Result<StatusReport, StatusError> {
    call(address, Request::Status).await
}

/// Asks the process at this internal address where it would send a request. To be called in a `LocalSet`.
///
/// # Errors
/// It does not answer, or not in a form that can be read.
pub async fn ask_choice(address: SocketAddr, demand: Demand) -> Result<ChoiceReport, StatusError> {
    call(address, Request::Choice(demand)).await
}

async fn call<T>(address: SocketAddr, request: Request) -> Result<T, StatusError>
where
    T: for<'b> minicbor::Decode<'b, ()>,
{
    let request = minicbor::to_vec(request).map_err(|_| StatusError::Unreadable(address))?;
    let network = Network::new(random_seed());
    let answer = network
        .call(address, ServiceId::Status, request, ANSWER_TIMEOUT)
        .await
        .map_err(|source| StatusError::Call { address, source })?;
    minicbor::decode(&answer).map_err(|_| StatusError::Unreadable(address))
}
