//! Requests reports (`GET /alderhollow/report`) from backends while requests wait for a version of the weights, so that
//! they start soon after a backend has it. Each report uses a connection of its own: a late response to one can never
//! stand in the place of a response to a request.

use super::pool::Pooled;
use super::{Exchange, WaitLimits};
use crate::balance::hash::hash_name;
use crate::balance::{ReportRequest, WeightsSource, WeightsVersion};
use crate::metrics;
use crate::metrics::backends::ReportResult;
use alderhollow_dataplane::flow::Upload;
use alderhollow_model::backend::Backend;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, CONNECTION, HOST};
use hyper::{Request, Response, StatusCode, Uri};
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{sleep, Instant};

const REPORT_PATH: &str = "/alderhollow/report";
/// Limit on one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest report that is read.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Why a report tells no versions.
#[derive(Debug, Error)]
enum ReportError {
    #[error("no connection to the backend")]
    NoConnection,
    #[error("no response within {REPORT_TIMEOUT:?}")]
    TimedOut,
    #[error("the connection broke")]
    Broken,
    #[error("the response has status {0}")]
    Status(StatusCode),
    #[error("the report exceeds {MAX_REPORT_BYTES} bytes")]
    TooLarge,
    #[error("the report cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// The part of a report that tells versions of weights.
#[derive(Debug, Deserialize)]
struct Report {
    #[serde(default)]
    models: Vec<ReportedModel>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ReportedModel {
    name: String,
    config_version: u64,
}

impl Report {
    /// The versions by model. Requests that name no model mean the only one.
    fn versions(&self) -> Vec<(u64, WeightsVersion)> {
        let version = |model: &ReportedModel| WeightsVersion::Number(model.config_version);
        let mut versions: Vec<(u64, WeightsVersion)> = self
            .models
            .iter()
            .map(|model| (hash_name(&model.name), version(model)))
            .collect();
        if let [only] = self.models.as_slice() {
            versions.push((hash_name(""), version(only)));
        }
        versions
    }
}

impl Exchange {
    /// Requests reports while requests wait for a version of the weights. Runs until dropped.
    pub(super) async fn follow_weights_reports(&self) {
        loop {
            let awaited = self.weights_awaited.notified();
            let next = self.balancer.borrow_mut().next_report(self.now());
            match next {
                ReportRequest::None => awaited.await,
                ReportRequest::In(ms) => sleep(Duration::from_secs_f64(ms / 1000.0)).await,
                ReportRequest::Now(backend) => self.read_weights(&backend).await,
            }
        }
    }

    async fn read_weights(&self, backend: &Backend) {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        let report = match self.request_report(backend, deadline).await {
            Ok(report) => report,
            Err(error) => {
                metrics::get()
                    .backends
                    .weights_report(ReportResult::Missing);
                log::debug!("report of backend {}: {error}", backend.id);
                return;
            }
        };
        metrics::get().backends.weights_report(ReportResult::Read);
        let now = self.now();
        let mut balancer = self.balancer.borrow_mut();
        balancer.report_read(&backend.id);
        for (model, version) in report.versions() {
            balancer.show_weights(now, &backend.id, model, version, WeightsSource::Report);
        }
    }

    async fn request_report(
        &self,
        backend: &Backend,
        deadline: Instant,
    ) -> Result<Report, ReportError> {
        let max_connections = self.tables().connections(&backend.service);
        let mut pooled = self
            .pool
            .connect(backend, max_connections, deadline)
            .await
            .map_err(|_| ReportError::NoConnection)?;
        let limits = WaitLimits::until(deadline);
        let response = limits
            .wait(pooled.send(report_request(backend)))
            .await
            .map_err(|_| ReportError::TimedOut)?
            .map_err(|_| ReportError::Broken)?;
        if response.status() != StatusCode::OK {
            return Err(ReportError::Status(response.status()));
        }
        let body = limits
            .wait(read_body(&mut pooled, response))
            .await
            .map_err(|_| ReportError::TimedOut)??;
        Ok(serde_json::from_slice(&body)?)
    }
}

fn report_request(backend: &Backend) -> Request<Upload> {
    let mut request = Request::new(Upload::new(Bytes::new(), None));
    *request.uri_mut() = Uri::from_static(REPORT_PATH);
    let headers = request.headers_mut();
    if let Ok(host) = HeaderValue::from_str(&backend.address.0.to_string()) {
        headers.insert(HOST, host);
    }
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    request
}

async fn read_body(
    pooled: &mut Pooled,
    response: Response<Incoming>,
) -> Result<Vec<u8>, ReportError> {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(chunk) = pooled.next_chunk(&mut body).await {
        bytes.extend_from_slice(&chunk.map_err(|_| ReportError::Broken)?);
        if bytes.len() > MAX_REPORT_BYTES {
            return Err(ReportError::TooLarge);
        }
    }
    Ok(bytes)
}

#[cfg(test)]
mod tests;
