//! Connections that close while something is on its way: the built program against small scripted peers, with the bad
//! order made to happen.

use springusher_lab::scripted::{get, read_message, Peer, Program};

const FRONT: Program = Program { path: env!("CARGO_BIN_EXE_brassport"), folder: env!("CARGO_TARGET_TMPDIR") };
const HEALTHZ: &str = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";

#[test]
fn a_head_that_is_half_there_when_a_process_closes_its_connections_is_waited_for() {
    let backend = Peer::start();
    let mut front = FRONT.before(&[backend.address]);
    let (mut idle, mut halfway) = (front.client(), front.client());
    for client in [&mut idle, &mut halfway] {
        client.send(HEALTHZ);
        assert_eq!(client.read().status(), 200);
    }
    let request = get("/halfway");
    let (half, rest) = request.split_at(30);
    front.terminate();
    halfway.send(half);
    assert!(read_message(&idle.stream).expect("a close in order").is_none());
    halfway.send(rest);
    let exchange = backend.next();
    assert!(exchange.request.line.contains("/halfway"));
    exchange.ok("served");
    let answer = halfway.read();
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(front.child.wait().expect("it ends").success());
}
