//! Transport of the distribution's messages between processes.

use super::message::{Answer, Notice, Request};
use crate::internal::{CallError, Network, ServiceId};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use thiserror::Error;

/// Why a request has no answer.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The request can't be encoded, or its answer can't be decoded by this version of the program.
    #[error("the answer can't be decoded")]
    Unreadable,
    /// No answer arrived in time.
    #[error("no answer came in time")]
    TimedOut,
}

/// Future of the answer to a request.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Result<Answer, RequestError>>>>;

/// Carries the distribution's messages. All of them are idempotent and may be retried.
pub trait PeerLink {
    /// Sends a request to the process at an address.
    fn request(&self, to: SocketAddr, request: Request, timeout: Duration) -> AnswerFuture;
    /// Sends a notice to the process at an address; it may be lost.
    fn notify(&self, to: SocketAddr, notice: &Notice);
}

impl PeerLink for Network {
    fn request(&self, to: SocketAddr, request: Request, timeout: Duration) -> AnswerFuture {
        let network = self.clone();
        Box::pin(async move {
            let request = minicbor::to_vec(request).map_err(|_| RequestError::Unreadable)?;
            let answer = network
                .call(to, ServiceId::Distribution, request, timeout)
                .await?;
            minicbor::decode(&answer).map_err(|_| RequestError::Unreadable)
        })
    }

    fn notify(&self, to: SocketAddr, notice: &Notice) {
        if let Ok(payload) = minicbor::to_vec(notice) {
            self.notify(to, ServiceId::Distribution, payload);
        }
    }
}
