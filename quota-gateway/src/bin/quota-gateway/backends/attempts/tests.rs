use super::*;
use crate::backends::sessions::{Attempt, Hold, Sessions};
use http_body_util::BodyExt;
use socket2::SockRef;
use std::net::{Ipv4Addr, SocketAddr};
use std::task::{Context, Waker};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Notify;

#[test]
fn an_answers_figures_are_read_if_they_make_sense() {
    let figures = |used: &str, billed: &str| {
        let mut answer = Response::new(Bytes::new());
        answer.headers_mut().insert(
            "usage-percent",
            HeaderValue::from_str(used).expect("a value"),
        );
        answer.headers_mut().insert(
            "billed-units",
            HeaderValue::from_str(billed).expect("a value"),
        );
        let End { used, billed, .. } = judge(answer);
        (used, billed)
    };
    assert_eq!(figures("140", "3"), (Some(1.4), Some(3.0)));
    for nonsense in ["", "many", "-1", "NaN", "inf", "1e999"] {
        assert_eq!(figures(nonsense, nonsense), (None, None), "{nonsense:?}");
    }
}

/// Keeps what it hears.
#[derive(Default)]
struct Told(RefCell<Vec<Attempt>>);

impl Sessions for Told {
    fn hold(&self, _: CustomerId) -> Hold {
        Hold::Any
    }
    fn note(&self, attempt: Attempt) {
        self.0.borrow_mut().push(attempt);
    }
}

/// A backend that writes `answer` to each request and, if that is empty, closes; without one it is silent.
async fn backend(listener: TcpListener, answer: Option<&'static str>) {
    let mut open = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let _ = stream.read(&mut [0; 4096]).await;
        match answer {
            Some("") => continue,
            Some(answer) => drop(stream.write_all(answer.as_bytes()).await),
            None => {}
        }
        open.push(stream);
    }
}

/// Those of a pool that knows one backend, and an attempt there that has so long.
fn backends(address: SocketAddr) -> Backends {
    let (second, idle) = (Duration::from_secs(1), Duration::from_secs(100));
    let pool = Pool::new(Arc::new(Semaphore::new(9)), Rc::default(), second, idle, 7);
    pool.put(3, address, 0.0, true);
    Backends::new(pool, 0)
}

fn order(wait: Duration) -> Order {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::COOKIE,
        HeaderValue::from_static("client=00000000000000a1"),
    );
    let message = Message {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers,
        body: Bytes::new(),
        rest: RefCell::new(None),
        is_kept: true,
        _room: None,
    };
    let came = Instant::now();
    let expire_at = came + wait;
    Order {
        server: 3,
        message: Rc::new(message),
        came,
        start_by: expire_at,
        expire_at,
        capped: false,
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

#[tokio::test]
async fn what_became_of_an_attempt_is_told_of_its_customer() {
    use evidence::{Failure, Outcome::*};
    let cases = [
        (
            Some("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
            false,
            Some(Fine),
        ),
        (
            Some("HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n"),
            false,
            Some(Failed(Failure::Http500)),
        ),
        (
            Some("HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n"),
            false,
            None,
        ),
        (
            Some("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"),
            false,
            None,
        ),
        (Some(""), false, Some(Failed(Failure::Reset))),
        (None, false, Some(Failed(Failure::Timeout))),
        (None, true, Some(CustomersOwn)),
    ];
    for (answer, called_off, wanted) in cases {
        let (listener, address) = listen().await;
        let backends = backends(address);
        let told = Rc::new(Told::default());
        backends.pool.watch(told.clone());
        let wait = Duration::from_millis(if answer.is_some() { 10_000 } else { 300 });
        let order = order(wait);
        let expire_at = order.expire_at;
        let cancel = async {
            match called_off {
                true => sleep_until(expire_at - wait / 2).await,
                false => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = backends.attempt(&order, cancel, || true, |_, _| {}) => {}
            () = backend(listener, answer) => {}
        }
        let note = |outcome| Attempt {
            customer: 0xa1,
            server: 3,
            conn: evidence::ConnectionUse::Kept,
            outcome,
        };
        assert_eq!(
            told.0.take(),
            Vec::from_iter(wanted.map(note)),
            "{answer:?}"
        );
    }
}

/// What came of an attempt that was on its way to connect when this was done, and how many bytes reached the backend.
async fn meanwhile(order: Order, cancel: Rc<Notify>, act: impl FnOnce()) -> (Outcome, usize) {
    let (listener, address) = listen().await;
    let backends = backends(address);
    let mut attempt = Box::pin(backends.attempt(&order, cancel.notified(), || true, |_, _| {}));
    assert!(attempt
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
        .is_pending());
    // The connection has come up, and nobody has looked.
    let (mut stream, _) = listener.accept().await.expect("it comes up");
    act();
    let end = tokio::time::timeout(Duration::from_millis(300), attempt).await;
    let outcome = end.expect("it is over").outcome;
    assert_eq!(backends.pool.connections(), (0, 0));
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("it closes");
    (outcome, bytes.len())
}

#[tokio::test]
async fn an_attempt_that_is_called_off_as_its_connection_comes_up_writes_nothing() {
    let cancel = Rc::new(Notify::new());
    let came_of_it = meanwhile(order(Duration::from_secs(9)), cancel.clone(), || {
        cancel.notify_one();
    })
    .await;
    assert_eq!(came_of_it, (Outcome::NotSent, 0));
}

#[tokio::test]
async fn an_attempt_whose_time_is_over_as_its_connection_comes_up_writes_nothing() {
    let wait = Duration::from_millis(100);
    let late = || std::thread::sleep(wait);
    let (outcome, bytes) = meanwhile(order(wait), Rc::default(), late).await;
    assert!(
        outcome.never_ran() && bytes == 0,
        "{outcome:?}, {bytes} bytes"
    );
}

/// Here a backend begins a request when its last byte has come: until then the request can go to another one.
#[tokio::test]
async fn an_attempt_that_is_reset_before_its_last_byte_never_ran() {
    // More than the buffers of both sides hold, and what one write takes.
    for (size, outcome) in [(32 << 20, Outcome::NoConnection), (1, Outcome::Reset)] {
        let (listener, address) = listen().await;
        let backends = backends(address);
        let mut order = order(Duration::from_secs(9));
        let message = Rc::get_mut(&mut order.message).expect("it is not shared");
        message.method = Method::POST;
        message.body = Bytes::from(vec![b'x'; size]);
        let backend = async {
            let (mut stream, _) = listener.accept().await.expect("it comes up");
            let mut read = Vec::new();
            while !read.contains(&b'x') {
                stream.read_buf(&mut read).await.expect("there is more");
            }
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("an option");
        };
        let attempt = backends.attempt(&order, std::future::pending::<()>(), || true, |_, _| {});
        let (end, ()) = tokio::join!(attempt, backend);
        assert_eq!(end.outcome, outcome, "{size} bytes");
        assert_eq!(end.outcome.never_ran(), size > 1);
    }
}

/// Guards against an answer that breaks off before the request's last byte was written being taken for no answer at all: the
/// request may run a second time then.
#[tokio::test]
async fn an_early_answer_that_breaks_off_is_a_reset() {
    for half in [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nx-not-run: 1\r\n",
        "HTTP/1.1 200 OK\r\nno field\r\ncontent-length: 2\r\n\r\nok",
    ] {
        assert_eq!(
            outcome_of_early_answer(half).await,
            Outcome::Reset,
            "{half:?}"
        );
    }
}

/// The outcome of a long request whose backend answers so while it reads the body, and ends the connection.
async fn outcome_of_early_answer(half: &str) -> Outcome {
    let (listener, address) = listen().await;
    let backends = backends(address);
    let mut order = order(Duration::from_secs(9));
    let message = Rc::get_mut(&mut order.message).expect("it is not shared");
    message.method = Method::POST;
    message.body = Bytes::from(vec![b'x'; 32 << 20]);
    let backend = async {
        let (mut stream, _) = listener.accept().await.expect("it comes up");
        let mut read = Vec::new();
        while !read.contains(&b'x') {
            stream.read_buf(&mut read).await.expect("there is more");
        }
        stream.write_all(half.as_bytes()).await.expect("a reader");
        // The reset must not overtake what was written.
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    let attempt = backends.attempt(&order, std::future::pending::<()>(), || true, |_, _| {});
    let (end, ()) = tokio::join!(attempt, backend);
    end.outcome
}

/// Guards against a damaged answer that reaches a client as a whole one, and against a refusal in one being believed.
#[tokio::test]
async fn a_malformed_answer_is_a_reset_and_its_connection_is_closed() {
    for answer in [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkd\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;a\u{1}\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno field\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nin side: x\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontrol\u{1}byte: x\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 700 OK\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ntransfer-encoding: chunkd\r\n\r\n",
        "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ntransfer-encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
    ] {
        let (listener, address) = listen().await;
        let backends = backends(address);
        let order = order(Duration::from_secs(9));
        let begin = |_, _: &End| panic!("it reached the client: {answer:?}");
        let end = tokio::select! {
            end = backends.attempt(&order, std::future::pending::<()>(), || true, begin) => end,
            () = backend(listener, Some(answer)) => unreachable!("a backend never ends"),
        };
        assert_eq!(end.outcome, Outcome::Reset, "{answer:?}");
        assert!(end.answer.is_none(), "{answer:?}");
        assert_eq!(backends.pool.connections(), (0, 0), "{answer:?}");
        let tally = backends.pool.tally.take();
        assert_eq!((tally.malformed, tally.broken_new), (1, 1), "{answer:?}");
        assert!(tally.last_broken.contains(&address.to_string()));
    }
}

/// How a backend ends what it has said.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Close {
    Not,
    InOrder,
    Reset,
    /// Once the answer has begun to reach its client.
    ResetOnceBegun,
}

#[tokio::test]
#[expect(
    clippy::too_many_lines,
    reason = "not split by step yet: docs/ROADMAP.md, Readable code"
)]
async fn what_is_no_whole_answer_is_never_taken_for_one() {
    use Close::*;
    const HEAD: &str = "HTTP/1.1 200 OK\r\n";
    let whole = Some(Ok::<_, ()>("ok"));
    let cut = Some(Err(()));
    let cases = [
        // Of no length: an end is its end, and a reset is none.
        ("\r\nok", InOrder, Outcome::Ok, whole, false),
        ("\r\nok", Reset, Outcome::Reset, None, false),
        ("\r\nok", ResetOnceBegun, Outcome::Reset, cut, false),
        (
            "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            Not,
            Outcome::Ok,
            whole,
            true,
        ),
        (
            "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
            InOrder,
            Outcome::Reset,
            None,
            false,
        ),
        (
            "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
            ResetOnceBegun,
            Outcome::Reset,
            cut,
            false,
        ),
        // Shorter and longer than it says.
        (
            "content-length: 3\r\n\r\nok",
            InOrder,
            Outcome::Reset,
            None,
            false,
        ),
        (
            "content-length: 3\r\n\r\nok",
            Reset,
            Outcome::Reset,
            None,
            false,
        ),
        (
            "content-length: 2\r\n\r\nok!",
            Not,
            Outcome::Ok,
            whole,
            false,
        ),
        (
            "content-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
            Not,
            Outcome::Ok,
            whole,
            false,
        ),
        // A head that is none.
        (
            "content-length: 2\r\n",
            InOrder,
            Outcome::Reset,
            None,
            false,
        ),
        (
            "content-length: 2\r\ncontent-length: 3\r\n\r\nok!",
            Not,
            Outcome::Reset,
            None,
            false,
        ),
        // What the next request may go on, and what not.
        ("content-length: 2\r\n\r\nok", Not, Outcome::Ok, whole, true),
        (
            "connection: close\r\ncontent-length: 2\r\n\r\nok",
            Not,
            Outcome::Ok,
            whole,
            false,
        ),
    ];
    let informed = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nlink: a\r\n\r\n";
    for ((answer, close, wanted, body, kept), before) in cases
        .iter()
        .copied()
        .flat_map(|case| [(case, ""), (case, informed)])
    {
        let (listener, address) = listen().await;
        let backends = backends(address);
        let (told, begun, order) = (
            RefCell::new(None),
            Notify::new(),
            order(Duration::from_secs(9)),
        );
        let begin = |answer: Response<Flow>, _: &End| {
            told.replace(Some(answer));
            begun.notify_one();
        };
        let serve = async {
            let (mut stream, _) = listener.accept().await.expect("it comes up");
            let _ = stream.read(&mut [0; 4096]).await;
            let said = format!("{before}{HEAD}{answer}");
            stream
                .write_all(said.as_bytes())
                .await
                .expect("it goes out");
            if close == ResetOnceBegun {
                begun.notified().await;
            }
            if matches!(close, Reset | ResetOnceBegun) {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("an option");
            }
            (close == Not).then_some(stream)
        };
        let attempt = backends.attempt(&order, std::future::pending::<()>(), || true, begin);
        let (end, _stream) = tokio::join!(attempt, serve);
        let case = format!("{before:?} {answer:?} {close:?}");
        assert_eq!(end.outcome, wanted, "{case}");
        assert_eq!(
            backends.pool.connections(),
            (usize::from(kept), 0),
            "{case}"
        );
        let got = match (end.answer, told.take()) {
            (Some(answer), None) => Some(Ok(answer.into_body())),
            (None, Some(flow)) => Some(
                flow.into_body()
                    .collect()
                    .await
                    .map(http_body_util::Collected::to_bytes),
            ),
            (None, None) => None,
            (Some(_), Some(_)) => panic!("{case}: two answers"),
        };
        let got = got
            .as_ref()
            .map(|got| got.as_ref().map(|got| &got[..]).map_err(drop));
        assert_eq!(got, body.map(|body| body.map(str::as_bytes)), "{case}");
    }
}

#[tokio::test]
async fn a_refusal_that_never_ends_is_heard_all_the_same() {
    let cases = [
        (
            "503 Full\r\nx-not-run: 1\r\ncontent-length: 9\r\n\r\n",
            Outcome::Overloaded,
        ),
        (
            "503 Full\r\nx-not-run: 1\r\n\r\nfor now",
            Outcome::Overloaded,
        ),
        ("500 Oh\r\ncontent-length: 9\r\n\r\nno", Outcome::Error),
    ];
    for (answer, wanted) in cases {
        let (listener, address) = listen().await;
        let backends = backends(address);
        let serve = async {
            let (mut stream, _) = listener.accept().await.expect("it comes up");
            let _ = stream.read(&mut [0; 4096]).await;
            stream
                .write_all(format!("HTTP/1.1 {answer}").as_bytes())
                .await
                .expect("it goes out");
            // The rest never comes, and the other side is the one that closes.
            stream.read(&mut [0]).await
        };
        let order = order(Duration::from_secs(9));
        let attempt = backends.attempt(&order, std::future::pending::<()>(), || true, |_, _| {});
        let (end, _) = tokio::join!(attempt, serve);
        assert_eq!(end.outcome, wanted, "{answer:?}");
        assert_eq!(
            (backends.pool.connections(), backends.pool.any_ready()),
            ((0, 0), true)
        );
    }
}
