//! Watches and lists: the built program against agents and discoveries that a test answers for.

use fault_lab::scripted::{config, get, list, target, Peer, Program};
use serde_json::{json, Value};
use std::net::SocketAddr;

const DOOR: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};

/// A list of one backend.
fn version(rev: u64, is_whole: bool, address: SocketAddr, state: &str) -> String {
    json!({"rev": rev, "all": is_whole, "targets": [target("s-00000001", address, state)]})
        .to_string()
}

#[test]
fn an_agent_that_lags_after_sighup_does_not_make_a_drained_backend_ready_again() {
    let (backend, old, new) = (Peer::start(), Peer::start(), Peer::start());
    let mut config: Value = config(
        old.address,
        list(&[target("s-00000001", backend.address, "ready")]),
    );
    let front = DOOR.start(&config);
    old.next()
        .ok(&version(2, false, backend.address, "draining"));
    // The next call says that this has been taken in.
    let _watch = old.next();
    config["discovery"] = json!(new.address.to_string());
    front.replace_config(&config.to_string());
    new.next().ok(&version(1, true, backend.address, "ready"));
    let watch = new.next();
    assert!(
        watch.request.line.contains("after=1&"),
        "{}",
        watch.request.line
    );
    assert_eq!(
        front.client().send(&get("")).read().status(),
        429,
        "it drains"
    );
    watch.ok(&version(2, false, backend.address, "draining"));
    let watch = new.next();
    assert_eq!(
        front.client().send(&get("")).read().status(),
        429,
        "it drains"
    );
    watch.ok(&version(3, false, backend.address, "ready"));
    let _watch = new.next();
    let mut client = front.client();
    client.send(&get(""));
    backend.next().ok("ready again");
    assert_eq!(client.read().status(), 200);
}
