//! An operator: sends orders to the gateways' control addresses until one is acknowledged or refused.

use crate::http::{call, read_whole, CallError};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// An order to the control plane.
#[derive(Debug, Clone)]
pub struct Order {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// The version that it builds on, for a configuration.
    pub if_match: Option<u64>,
    /// Its body, in JSON.
    pub body: Vec<u8>,
}

impl Order {
    /// A whole configuration on top of version `base`.
    pub fn put_config(base: u64, body: Vec<u8>) -> Order {
        Order {
            method: Method::PUT,
            path: "/alderhollow/config".into(),
            if_match: Some(base),
            body,
        }
    }

    /// A change of named items on top of version `base`.
    pub fn patch_config(base: u64, body: Vec<u8>) -> Order {
        Order {
            method: Method::PATCH,
            path: "/alderhollow/config".into(),
            if_match: Some(base),
            body,
        }
    }

    /// A question for the newest configuration.
    pub fn get_config() -> Order {
        Order {
            method: Method::GET,
            path: "/alderhollow/config".into(),
            if_match: None,
            body: Vec::new(),
        }
    }

    /// The evacuation of a zone, or its end.
    pub fn evacuate(zone: &str, is_begin: bool) -> Order {
        let method = if is_begin {
            Method::POST
        } else {
            Method::DELETE
        };
        Order {
            method,
            path: format!("/alderhollow/evacuate/{zone}"),
            if_match: None,
            body: Vec::new(),
        }
    }
}

/// Answer to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderAnswer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// How many calls it took, redirections not counted.
    pub calls: u32,
}

/// What one call brought.
enum Call {
    Answered(OrderAnswer),
    Redirected(SocketAddr, String),
}

/// An operator and the gateways that it knows.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Control addresses.
    pub gateways: Vec<SocketAddr>,
    /// How long one call may take.
    pub call_patience: Duration,
    /// Pause after the first failure; it doubles with each, up to [`LONGEST_PAUSE`].
    pub first_pause: Duration,
    /// Most calls for one order.
    pub max_calls: u32,
}

/// Longest pause between two calls.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Redirections that one call follows.
const MAX_REDIRECTIONS: u32 = 2;

impl Operator {
    /// An operator with the usual patience.
    pub fn new(gateways: Vec<SocketAddr>) -> Operator {
        Operator {
            gateways,
            call_patience: Duration::from_secs(1),
            first_pause: Duration::from_millis(50),
            max_calls: 40,
        }
    }

    /// Sends `order` to one gateway after the other until there is a clear answer.
    ///
    /// # Errors
    /// No gateway gave a clear answer.
    pub async fn send(&self, order: &Order) -> Result<OrderAnswer, CallError> {
        let mut pause = self.first_pause;
        let mut last = CallError::Unexpected("no door is known".into());
        for (gateway, calls) in self.gateways.iter().cycle().zip(1..=self.max_calls) {
            match self.send_once(*gateway, order).await {
                Ok(answer) if is_clear(answer.status) => {
                    return Ok(OrderAnswer { calls, ..answer })
                }
                Ok(answer) => {
                    last =
                        CallError::Unexpected(format!("status {} from {gateway}", answer.status));
                }
                Err(error) => last = error,
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        Err(last)
    }

    /// Sends `order` to `gateway` and follows redirections.
    async fn send_once(
        &self,
        gateway: SocketAddr,
        order: &Order,
    ) -> Result<OrderAnswer, CallError> {
        let mut at = (gateway, order.path.clone());
        for _ in 0..=MAX_REDIRECTIONS {
            match self.call(at.0, &at.1, order).await? {
                Call::Answered(answer) => return Ok(answer),
                Call::Redirected(address, path) => at = (address, path),
            }
        }
        Err(CallError::Unexpected("too many redirections".into()))
    }

    async fn call(
        &self,
        address: SocketAddr,
        path: &str,
        order: &Order,
    ) -> Result<Call, CallError> {
        let mut builder = Request::builder()
            .method(order.method.clone())
            .uri(path)
            .header("host", address.to_string());
        if !order.body.is_empty() {
            builder = builder.header("content-type", "application/json");
        }
        if let Some(base) = order.if_match {
            builder = builder.header("if-match", base.to_string());
        }
        let request = builder.body(Full::new(Bytes::copy_from_slice(&order.body)))?;
        let answer = call(address, request, self.call_patience).await?;
        if answer.status() == StatusCode::TEMPORARY_REDIRECT {
            let location = answer
                .headers()
                .get("location")
                .and_then(|value| value.to_str().ok());
            let (address, path) = location
                .and_then(parse_location)
                .ok_or_else(|| CallError::Unexpected("a redirection to nowhere".into()))?;
            return Ok(Call::Redirected(address, path));
        }
        let status = answer.status().as_u16();
        let body = read_whole(answer.into_body(), self.call_patience).await?;
        Ok(Call::Answered(OrderAnswer {
            status,
            body,
            calls: 1,
        }))
    }
}

/// Whether a status ends an order.
fn is_clear(status: u16) -> bool {
    matches!(status, 200..=299 | 400..=499) && !matches!(status, 408 | 429)
}

fn parse_location(location: &str) -> Option<(SocketAddr, String)> {
    let (address, path) = location.strip_prefix("http://")?.split_once('/')?;
    Some((address.parse().ok()?, format!("/{path}")))
}
