//! Tells the platform whether this gateway is to get new connections.

use crate::SnapshotReceiver;
use dropshot::{
    endpoint, ApiDescription, Body, BuildError, ConfigDropshot, HttpError, HttpServer,
    RequestContext, ServerBuilder,
};
use http::{Response, StatusCode};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// What the answer rests on. Clones share it.
#[derive(Clone)]
pub struct Readiness {
    snapshots: SnapshotReceiver,
    leaving: Arc<AtomicBool>,
}

impl Readiness {
    /// Readiness of a process that has these tables.
    pub fn new(snapshots: SnapshotReceiver) -> Readiness {
        Readiness {
            snapshots,
            leaving: Arc::default(),
        }
    }

    /// Calls the gateway not ready from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the gateway serves: a primary validated tables with a configuration and with backends in this incarnation.
    pub fn is_ready(&self) -> bool {
        let snapshot = self.snapshots.borrow();
        !self.leaving.load(Ordering::Relaxed)
            && snapshot.validated
            && snapshot.control.config.is_some()
            && snapshot.backends.epoch > 0
    }
}

/// Serves `listen.ready`; the server ends when it is dropped.
///
/// # Errors
/// The address cannot be listened on.
pub fn serve(
    address: SocketAddr,
    readiness: Readiness,
) -> Result<HttpServer<Readiness>, Box<BuildError>> {
    let mut api = ApiDescription::new();
    if let Err(error) = api.register(readyz) {
        log::error!("the readiness call can't be served: {error}");
    }
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let config = ConfigDropshot {
        bind_address: address,
        ..Default::default()
    };
    ServerBuilder::new(api, readiness, log)
        .config(config)
        .start()
        .map_err(Box::new)
}

/// 200 while the gateway is ready, else 503.
#[endpoint { method = GET, path = "/alderhollow/readyz", unpublished = true }]
async fn readyz(context: RequestContext<Readiness>) -> Result<Response<Body>, HttpError> {
    let status = match context.context().is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    Ok(response)
}
