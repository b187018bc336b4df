//! Tests of discovery watches and backend lists: the built gateway program against scripted discovery agents.

use fault_lab::scripted::{config, get, list, target, Peer, Program};
use serde_json::{json, Value};
use std::net::SocketAddr;

const GATEWAY: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};

/// A discovery response that lists one backend.
fn discovery_response(rev: u64, is_full_list: bool, address: SocketAddr, state: &str) -> String {
    json!({"rev": rev, "all": is_full_list, "targets": [target("s-00000001", address, state)]})
        .to_string()
}

#[test]
fn a_lagging_agent_after_sighup_does_not_make_a_draining_backend_ready_again() {
    let (backend, old, new) = (Peer::start(), Peer::start(), Peer::start());
    let mut config: Value = config(
        old.address,
        list(&[target("s-00000001", backend.address, "ready")]),
    );
    let gateway = GATEWAY.start(&config);
    old.next()
        .ok(&discovery_response(2, false, backend.address, "draining"));
    // The next call shows that the gateway has applied this response.
    let _watch = old.next();
    config["discovery"] = json!(new.address.to_string());
    gateway.replace_config(&config.to_string());
    new.next()
        .ok(&discovery_response(1, true, backend.address, "ready"));
    let watch = new.next();
    assert!(
        watch.request.line.contains("after=1&"),
        "{}",
        watch.request.line
    );
    assert_eq!(
        gateway.client().send(&get("")).read().status(),
        429,
        "the backend is draining"
    );
    watch.ok(&discovery_response(2, false, backend.address, "draining"));
    let watch = new.next();
    assert_eq!(
        gateway.client().send(&get("")).read().status(),
        429,
        "the backend is draining"
    );
    watch.ok(&discovery_response(3, false, backend.address, "ready"));
    let _watch = new.next();
    let mut client = gateway.client();
    client.send(&get(""));
    backend.next().ok("ready again");
    assert_eq!(client.read().status(), 200);
}
