//! A backend may respond before it has read a long request body, keep the connection open and read on later. The gateway
//! must not send another request on that connection in place of the rest of the body.

mod support;

use socket2::SockRef;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use support::client::{ask, Client};
use support::gateway::*;
use support::run;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Larger than the socket buffers between gateway and backend.
const BODY_BYTES: usize = 900_000;
const MAX_BODY_BYTES: u64 = 1_000_000;
const RECEIVE_BUFFER_BYTES: usize = 4_096;

/// A backend that responds early; records the bytes received on each connection.
#[derive(Clone, Default)]
struct EarlyBackend {
    connections: Rc<RefCell<Vec<Vec<u8>>>>,
    /// Notified when the backend may read on.
    may_read_on: Rc<Notify>,
    ended: Rc<Notify>,
}

impl EarlyBackend {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        SockRef::from(&listener)
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
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

    /// Responds as soon as it has read a request head, then reads until the end.
    async fn serve(self, number: usize, mut stream: TcpStream) {
        let mut read = Vec::new();
        while !read.windows(4).any(|window| window == b"\r\n\r\n") {
            if !matches!(stream.read_buf(&mut read).await, Ok(1..)) {
                return;
            }
        }
        let response =
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s1\r\nContent-Length: 2\r\n\r\nok";
        stream
            .write_all(response.as_bytes())
            .await
            .expect("it is read");
        if number == 0 {
            self.may_read_on.notified().await;
        }
        while matches!(stream.read_buf(&mut read).await, Ok(1..)) {}
        self.connections.borrow_mut()[number] = read;
        self.ended.notify_one();
    }
}

#[test]
fn a_connection_with_an_unfinished_body_carries_no_other_request() {
    run(async {
        let backend = EarlyBackend::default();
        let gateway = Gateway::start_over(vec![backend.start().await], MAX_BODY_BYTES).await;
        let body: String = (0..BODY_BYTES)
            .map(|index| char::from(b'a' + (index % 23) as u8))
            .collect();
        let mut client = Client::connect(gateway.address).await;
        client.write(&request("/often/1", "", &body)).await;
        let reply = client.reply().await.expect("the early response");
        assert_eq!((reply.status, reply.body.as_str()), (200, "ok"));
        // The next request arrives while the rest of the body is still due on the first backend connection.
        assert_eq!(
            ask(gateway.address, &request("/often/2", "", "x"))
                .await
                .status,
            200
        );
        let connection_count = backend.connections.borrow().len();
        assert_eq!(
            connection_count, 2,
            "a connection with an unfinished body carried another request"
        );
        backend.may_read_on.notify_one();
        // Stopping the gateway closes the connections that it keeps.
        gateway.running.abort();
        drop(gateway);
        while backend.connections.borrow()[0].is_empty() {
            backend.ended.notified().await;
        }
        let received = backend.connections.borrow()[0].clone();
        let head = received
            .windows(4)
            .position(|window| window == b"\r\n\r\n")
            .expect("a head")
            + 4;
        let rest = &received[head..];
        assert!(
            !rest.is_empty() && rest.len() < body.len(),
            "the backend did not respond early: {}",
            rest.len()
        );
        assert!(
            body.as_bytes().starts_with(rest),
            "unexpected bytes in place of the body"
        );
    });
}
