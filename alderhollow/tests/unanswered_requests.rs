//! Requests that a backend has received in part when it fails: it may have begun its work before the body was complete.
//! Such a request is repeated only where its route allows that, and never answered as one that has not run.

mod support;

use alderhollow_standins::raw_request::{read_at_least, RequestHead};
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use support::client::{ask, Reply};
use support::gateway::*;
use support::run;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Larger than the socket buffers between gateway and backend.
const BODY_BYTES: usize = 900_000;
const MAX_BODY_BYTES: u64 = 1_000_000;
const RECEIVE_BUFFER_BYTES: usize = 4_096;
/// A part of the body that a backend reads before it begins to work.
const PART_BYTES: usize = 20_000;

/// Pause between the steps of a backend that takes a body in slowly.
const SLOW_STEP: Duration = Duration::from_millis(75);

const SERVED: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s1\r\nContent-Length: 2\r\n\r\nok";
const DECLINED: &str =
    "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const DECLINED_WITHOUT_ID: &str =
    "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const DECLINED_BY_OTHER_ID: &str =
    "HTTP/1.1 503 Full\r\nRequest-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const TRUNCATED_DECLINES: [&str; 2] = [
    "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 9\r\n\r\nfull",
    "HTTP/1.1 421 No\r\nRequest-Id: r1\r\nInstance-Id: i-x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n",
];
const DECLINED_UNTIL_CLOSE: &str =
    "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nConnection: close\r\n\r\nfull";
const HALF_SERVED: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s1\r\nContent-Length: 9\r\n\r\nhalf";

/// What a backend does with a request once it has read its head and a part of its body.
#[derive(Debug, Clone, Copy)]
enum Behavior {
    /// Resets the connection.
    Reset,
    /// Answers, and reads no more until the gateway closes the connection.
    Answer(&'static str),
    /// Answers and ends the connection.
    AnswerAndReset(&'static str),
    /// Reads no more, without an answer.
    Stall,
    /// Reads the rest of the body in so many steps and serves the request.
    ServeSlowly(usize),
}

/// Backends that follow a script: each request takes the next step, whichever backend it reaches. Without a step left,
/// they read the whole request and serve it.
#[derive(Clone, Default)]
struct Backends {
    script: Rc<RefCell<VecDeque<(usize, Behavior)>>>,
    /// Number of requests whose head was read.
    begun: Rc<RefCell<usize>>,
}

impl Backends {
    fn with_script(script: impl IntoIterator<Item = (usize, Behavior)>) -> Backends {
        Backends {
            script: Rc::new(RefCell::new(script.into_iter().collect())),
            begun: Rc::default(),
        }
    }

    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        SockRef::from(&listener)
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("a socket");
        let address = listener.local_addr().expect("an address");
        let backends = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(backends.clone().serve(stream));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut read = Vec::new();
        while let Some(head) = RequestHead::read(&mut stream, &mut read).await {
            *self.begun.borrow_mut() += 1;
            let step = self.script.borrow_mut().pop_front();
            let Some((body_bytes, behavior)) = step else {
                read_at_least(&mut stream, &mut read, head.body_length).await;
                read.clear();
                stream.write_all(SERVED.as_bytes()).await.expect("a reader");
                continue;
            };
            read_at_least(&mut stream, &mut read, body_bytes).await;
            if let Behavior::ServeSlowly(steps) = behavior {
                for step in 1..=steps {
                    tokio::time::sleep(SLOW_STEP).await;
                    read_at_least(&mut stream, &mut read, head.body_length * step / steps).await;
                }
                return stream.write_all(SERVED.as_bytes()).await.expect("a reader");
            }
            return behavior.follow(stream).await;
        }
    }
}

impl Behavior {
    async fn follow(self, mut stream: TcpStream) {
        if let Behavior::Answer(text) | Behavior::AnswerAndReset(text) = self {
            stream.write_all(text.as_bytes()).await.expect("a reader");
        }
        match self {
            Behavior::Reset => {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            // The answer is read before the reset overtakes it.
            Behavior::AnswerAndReset(_) => tokio::time::sleep(Duration::from_millis(100)).await,
            Behavior::Answer(_) | Behavior::Stall | Behavior::ServeSlowly(_) => {
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Sends one request with a long body to a gateway with three backends that follow the script; returns the reply and the
/// number of backends that have begun.
async fn ask_with_script(
    path: &str,
    script: impl IntoIterator<Item = (usize, Behavior)>,
) -> (Reply, usize) {
    let backends = Backends::with_script(script);
    let mut addresses = Vec::new();
    for _ in 0..3 {
        addresses.push(backends.start().await);
    }
    let gateway = Gateway::start_over(addresses, MAX_BODY_BYTES).await;
    let body = "x".repeat(BODY_BYTES);
    let reply = ask(gateway.address, &request(path, "", &body)).await;
    let begun = *backends.begun.borrow();
    (reply, begun)
}

/// Guards against a non-idempotent request that runs at two backends: the first began before the body was complete.
#[test]
fn a_request_whose_backend_resets_within_its_body_is_not_sent_again() {
    run(async {
        for body_bytes in [0, PART_BYTES, BODY_BYTES / 2, BODY_BYTES] {
            let (reply, begun) = ask_with_script("/once/1", [(body_bytes, Behavior::Reset)]).await;
            assert_eq!((reply.status, begun), (502, 1), "after {body_bytes} bytes");
        }
    });
}

#[test]
fn an_idempotent_request_whose_backend_resets_within_its_body_is_sent_again() {
    run(async {
        for body_bytes in [0, PART_BYTES, BODY_BYTES / 2, BODY_BYTES] {
            let (reply, begun) = ask_with_script("/often/1", [(body_bytes, Behavior::Reset)]).await;
            assert_eq!((reply.status, begun), (200, 2), "after {body_bytes} bytes");
        }
    });
}

/// Guards against more runs than `max-attempts` allows (2 here): an attempt within the body counts as one.
#[test]
fn resets_within_the_body_use_up_the_attempts() {
    run(async {
        let reset = (PART_BYTES, Behavior::Reset);
        let (reply, begun) = ask_with_script("/often/1", [reset; 3]).await;
        assert_eq!((reply.status, begun), (502, 2));
    });
}

/// Guards against a 503, which promises that the request has not run, for one whose body a backend takes in slowly.
#[test]
fn a_request_whose_body_is_taken_in_until_the_deadline_gets_504() {
    run(async {
        for body_bytes in [0, PART_BYTES] {
            let (reply, begun) = ask_with_script("/once/1", [(body_bytes, Behavior::Stall)]).await;
            assert_eq!((reply.status, begun), (504, 1), "after {body_bytes} bytes");
        }
    });
}

#[test]
fn an_early_response_that_breaks_is_not_sent_again() {
    run(async {
        let script = [(PART_BYTES, Behavior::AnswerAndReset(HALF_SERVED))];
        let (reply, begun) = ask_with_script("/once/1", script).await;
        assert_eq!((reply.status, begun), (502, 1));
    });
}

#[test]
fn an_early_response_is_forwarded() {
    run(async {
        let script = [(PART_BYTES, Behavior::Answer(SERVED))];
        let (reply, begun) = ask_with_script("/once/1", script).await;
        assert_eq!((reply.status, begun), (200, 1));
    });
}

#[test]
fn a_request_that_is_declined_by_its_id_within_its_body_is_sent_to_another_backend() {
    run(async {
        let script = [(PART_BYTES, Behavior::Answer(DECLINED))];
        let (reply, begun) = ask_with_script("/once/1", script).await;
        assert_eq!((reply.status, begun), (200, 2));
    });
}

/// Guards against a decline that belongs to no request, or to another one, as evidence that this one has not run.
#[test]
fn a_decline_without_the_requests_id_is_no_evidence() {
    run(async {
        for declined in [DECLINED_WITHOUT_ID, DECLINED_BY_OTHER_ID] {
            let script = [(PART_BYTES, Behavior::Answer(declined))];
            let (reply, begun) = ask_with_script("/once/1", script).await;
            assert_eq!((reply.status, begun), (502, 1), "{declined:?}");
        }
    });
}

/// Guards against a request that runs at two backends: the first one ran it, and sent a part of a decline. Such bytes belong
/// to no request.
#[test]
fn a_truncated_decline_does_not_show_that_a_request_has_not_run() {
    run(async {
        for decline in TRUNCATED_DECLINES {
            for body_bytes in [PART_BYTES, BODY_BYTES] {
                let script = [(body_bytes, Behavior::AnswerAndReset(decline))];
                let (reply, begun) = ask_with_script("/once/1", script).await;
                assert_eq!((reply.status, begun), (502, 1), "{decline}");
            }
        }
    });
}

#[test]
fn a_decline_without_a_length_ends_with_its_connection() {
    run(async {
        let script = [(BODY_BYTES, Behavior::AnswerAndReset(DECLINED_UNTIL_CLOSE))];
        let (reply, begun) = ask_with_script("/once/1", script).await;
        assert_eq!((reply.status, begun), (200, 2));
    });
}

/// Guards against a backend being taken for silent while it takes a long body in: the silence limit of this route is 900 ms,
/// and the body takes 1.5 s.
#[test]
fn a_backend_that_takes_a_body_in_slowly_is_not_silent() {
    run(async {
        let script = [(0, Behavior::ServeSlowly(20))];
        let (reply, begun) = ask_with_script("/often/1", script).await;
        assert_eq!((reply.status, begun), (200, 1));
    });
}
