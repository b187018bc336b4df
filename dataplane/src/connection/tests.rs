use super::*;
use crate::activity::Times;
use crate::link::BUFFER_BYTES;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::cell::Cell;
use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream as Client};
use tokio::time::{sleep_until, Instant};

const LOOK: Duration = Duration::from_millis(1);
const HEAD: Duration = Duration::from_millis(2600);
const TIMES: Times = Times {
    head: HEAD,
    idle: Duration::from_millis(2000),
};
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// A client's end, which writes and looks at once, and the other.
fn pair() -> (Client, Rc<TcpStream>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let client = Client::connect(listener.local_addr().expect("an address")).expect("a connection");
    client.set_nonblocking(true).expect("it does not wait");
    let (stream, _) = listener.accept().expect("it has come");
    stream.set_nonblocking(true).expect("it does not wait");
    (
        client,
        Rc::new(TcpStream::from_std(stream).expect("a runtime")),
    )
}

/// Reads from the client's end until `enough`, with others having their turns meanwhile.
async fn read_until(mut client: &Client, enough: impl Fn(&str) -> bool) -> String {
    let mut got = Vec::new();
    let mut bytes = [0; 4096];
    while !enough(&String::from_utf8_lossy(&got)) {
        match client.read(&mut bytes) {
            Ok(0) => break,
            Ok(length) => got.extend_from_slice(&bytes[..length]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => sleep(LOOK).await,
            Err(error) => panic!("{error}"),
        }
    }
    String::from_utf8(got).expect("text")
}

/// Drives the connection until `close`, then ends it. Counts the requests that were begun.
async fn serve(stream: &Rc<TcpStream>, begun: &Cell<u32>, close: impl Future<Output = ()>) {
    let activity = ConnectionActivity::new(TIMES);
    let service = service_fn(|_: Request<Incoming>| {
        begun.set(begun.get() + 1);
        let (activity, busy) = (activity.clone(), activity.asked());
        async move {
            let mut response = Response::new(Full::new(Bytes::from_static(b"served")));
            if activity.is_closing() {
                response
                    .headers_mut()
                    .insert("connection", "close".parse().expect("a value"));
            }
            drop(busy);
            Ok::<_, Infallible>(response)
        }
    });
    drive(stream, &activity, BUFFER_BYTES, service, close).await;
    super::close(stream).await;
}

/// What is written while `close` is looked at comes after the system last spoke, and before the connection closes.
#[tokio::test]
async fn a_request_that_comes_in_the_step_that_closes_its_connection_is_answered() {
    let (client, stream) = pair();
    let begun = Cell::new(0);
    let (told, tell) = (tokio::sync::Notify::new(), |answer: &str| {
        answer.ends_with("served")
    });
    let close = async {
        told.notified().await;
        (&client).write_all(REQUEST).expect("it is written");
    };
    let asking = async {
        (&client).write_all(REQUEST).expect("it is written");
        let first = read_until(&client, tell).await;
        assert!(!first.contains("connection: close"), "{first}");
        told.notify_one();
        let second = read_until(&client, |_| false).await;
        assert!(
            second.contains("connection: close") && tell(&second),
            "got {second:?}"
        );
    };
    tokio::join!(serve(&stream, &begun, close), asking);
    assert_eq!(begun.get(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_head_whose_end_comes_in_the_moment_it_is_overdue_is_answered() {
    let (client, stream) = pair();
    let begun = Cell::new(0);
    let overdue = Instant::now() + HEAD;
    let (half, rest) = REQUEST.split_at(20);
    (&client).write_all(half).expect("it is written");
    let close = async {
        sleep_until(overdue).await;
        (&client).write_all(rest).expect("it is written");
        std::future::pending::<()>().await;
    };
    let asking = async {
        let answer = read_until(&client, |answer| answer.ends_with("served")).await;
        assert!(answer.ends_with("served"), "got {answer:?}");
    };
    tokio::select! {
        () = serve(&stream, &begun, close) => panic!("it closes over a whole request"),
        () = asking => {}
    }
    assert_eq!(begun.get(), 1);
}

/// The client's request crosses the close: the client learns of the end in order, and nothing is begun for it.
#[tokio::test]
async fn a_request_that_crosses_the_close_is_neither_begun_nor_answered_by_a_reset() {
    let (client, stream) = pair();
    let begun = Cell::new(0);
    (&client).write_all(REQUEST).expect("it is written");
    let crossing = async {
        let answer = read_until(&client, |_| false).await;
        assert!(answer.ends_with("served"), "got {answer:?}");
        (&client).write_all(REQUEST).expect("it is written");
        assert!(client.take_error().expect("a socket").is_none(), "no reset");
        client.shutdown(Shutdown::Write).expect("no reset");
    };
    // The socket closes with the runtime's end.
    let serving = async {
        serve(&stream, &begun, async {}).await;
        drop(stream);
    };
    tokio::join!(serving, crossing);
    assert!(
        client.take_error().expect("a socket").is_none(),
        "nothing was left unread"
    );
    assert_eq!(begun.get(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_client_that_never_ends_holds_a_connection_that_closes_for_a_bounded_time() {
    let (client, stream) = pair();
    let began = Instant::now();
    close(&stream).await;
    assert_eq!(began.elapsed(), LINGER);
    drop(client);
}
