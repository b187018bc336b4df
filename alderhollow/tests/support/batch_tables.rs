//! Tables with one batch route, for tests of items.
// Each test file uses a part of this.
#![allow(dead_code)]

use alderhollow_model::backend::{Backend, BackendList, BackendState};
use alderhollow_model::config::Config;
use alderhollow_model::identity::Address;
use alderhollow_model::snapshot::{BatchGroup, ControlView, Snapshot};
use std::net::SocketAddr;
use std::sync::Arc;

pub(crate) const ROUTE: &str = "r-batch";
pub(crate) const HOST: &str = "b.example";

pub(crate) fn config(version: u64, max_queued_tokens: u64) -> Config {
    serde_json::from_value(serde_json::json!({
        "config-version": version,
        "routes": [{
            "name": ROUTE, "hostname": HOST, "path-prefix": "/b/", "route-type": "batch", "service": "s",
            "max-attempts": 3, "retention-s": 40.0, "run-target-ms": 10000,
            "max-queued-tokens": max_queued_tokens, "sticky": true, "resumable": true
        }],
        "services": [{"name": "s", "max-conns": 100}]
    }))
    .expect("a configuration")
}

pub(crate) fn backend(id: &str, address: SocketAddr) -> Backend {
    Backend {
        id: id.to_string(),
        service: "s".to_string(),
        address: Address(address),
        zone: "a".to_string(),
        slots: 64,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    }
}

pub(crate) fn snapshot(
    config: Config,
    backends: Vec<Backend>,
    sequence: u64,
    group: Option<BatchGroup>,
) -> Arc<Snapshot> {
    snapshot_of_groups(config, backends, sequence, group.into_iter().collect())
}

pub(crate) fn snapshot_of_groups(
    config: Config,
    backends: Vec<Backend>,
    sequence: u64,
    groups: Vec<BatchGroup>,
) -> Arc<Snapshot> {
    let control = ControlView {
        version: sequence,
        config: Some(Arc::new(config)),
        groups: groups.into_iter().map(Arc::new).collect(),
        ..ControlView::default()
    };
    Arc::new(Snapshot {
        control: Arc::new(control),
        backends: Arc::new(BackendList {
            epoch: 1,
            sequence,
            backends,
        }),
        validated: true,
        ..Snapshot::default()
    })
}
