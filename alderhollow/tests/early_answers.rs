//! A backend that answers before it has read the whole of a long body, keeps the connection and reads on later: where the
//! rest of that body is due it gets nothing else.

mod support;

use alderhollow_model::config::Config;
use alderhollow_model::identity::Address;
use alderhollow_model::snapshot::{ControlView, Snapshot};
use socket2::SockRef;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use support::client::{ask, Client};
use support::gateway::*;
use support::run;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// More than the sockets between gateway and backend hold.
const BODY_BYTES: usize = 900_000;
const BODY_LIMIT: u64 = 1_000_000;
const RECEIVE_BUFFER: usize = 4_096;

/// All that came on each connection of the backend.
#[derive(Clone, Default)]
struct EarlyBackend {
    connections: Rc<RefCell<Vec<Vec<u8>>>>,
    /// Told when it may read on.
    reads_on: Rc<Notify>,
    ended: Rc<Notify>,
}

impl EarlyBackend {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        SockRef::from(&listener)
            .set_recv_buffer_size(RECEIVE_BUFFER)
            .expect("a socket");
        let address = listener.local_addr().expect("an address");
        let backend = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = backend.connections.borrow().len();
                backend.connections.borrow_mut().push(Vec::new());
                spawn_local(backend.clone().serve(number, stream));
            }
        });
        address
    }

    /// Answers as soon as a head is here, then reads all that comes.
    async fn serve(self, number: usize, mut stream: TcpStream) {
        let mut read = Vec::new();
        while !read.windows(4).any(|window| window == b"\r\n\r\n") {
            if !matches!(stream.read_buf(&mut read).await, Ok(1..)) {
                return;
            }
        }
        let answer =
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s1\r\nContent-Length: 2\r\n\r\nok";
        stream
            .write_all(answer.as_bytes())
            .await
            .expect("it is read");
        if number == 0 {
            self.reads_on.notified().await;
        }
        while matches!(stream.read_buf(&mut read).await, Ok(1..)) {}
        self.connections.borrow_mut()[number] = read;
        self.ended.notify_one();
    }
}

/// A gateway over this backend alone, that takes long bodies.
async fn gateway(backend: SocketAddr) -> Gateway {
    let gateway = Gateway::start(0).await;
    let known = snapshot(
        vec![support::gateway::backend("b0", Address(backend))],
        true,
    );
    let config = known.control.config.as_ref().expect("a configuration");
    let mut config = Config::clone(config);
    config.limits.max_body_bytes = BODY_LIMIT;
    let control = ControlView {
        version: 2,
        config: Some(Arc::new(config)),
        ..Default::default()
    };
    gateway.snapshots.send_replace(Arc::new(Snapshot {
        control: Arc::new(control),
        ..known
    }));
    gateway
}

#[test]
fn a_backend_that_answers_early_gets_nothing_else_where_the_rest_of_the_body_is_due() {
    run(async {
        let backend = EarlyBackend::default();
        let gateway = gateway(backend.start().await).await;
        let body: String = (0..BODY_BYTES)
            .map(|place| char::from(b'a' + (place % 23) as u8))
            .collect();
        let mut client = Client::connect(gateway.address).await;
        client.write(&request("/often/1", "", &body)).await;
        let reply = client.reply().await.expect("the early answer");
        assert_eq!((reply.status, reply.body.as_str()), (200, "ok"));
        // The next request comes while the first backend connection still wants the rest of the body.
        assert_eq!(
            ask(gateway.address, &request("/often/2", "", "x"))
                .await
                .status,
            200
        );
        let newer = backend.connections.borrow().len();
        assert_eq!(
            newer, 2,
            "a connection whose body is not through carries no other request"
        );
        backend.reads_on.notify_one();
        // The gateway's end of all exchanges ends the connections that it keeps.
        gateway.running.abort();
        drop(gateway);
        while backend.connections.borrow()[0].is_empty() {
            backend.ended.notified().await;
        }
        let came = backend.connections.borrow()[0].clone();
        let head = came
            .windows(4)
            .position(|window| window == b"\r\n\r\n")
            .expect("a head")
            + 4;
        let rest = &came[head..];
        assert!(
            !rest.is_empty() && rest.len() < body.len(),
            "the answer was no early one: {}",
            rest.len()
        );
        assert!(
            body.as_bytes().starts_with(rest),
            "other bytes where the body was due"
        );
    });
}
