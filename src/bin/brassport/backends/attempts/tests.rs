use super::*;
use crate::backends::sessions::{Attempt, Hold, Sessions};
use std::net::Ipv4Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

#[test]
fn an_answers_figures_are_read_if_they_make_sense() {
    let figures = |used: &str, billed: &str| {
        let mut answer = Response::new(Bytes::new());
        answer.headers_mut().insert("usage-percent", HeaderValue::from_str(used).expect("a value"));
        answer.headers_mut().insert("billed-units", HeaderValue::from_str(billed).expect("a value"));
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

#[tokio::test]
async fn what_became_of_an_attempt_is_told_of_its_customer() {
    use evidence::{Failure, Outcome::*};
    let cases = [
        (Some("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"), false, Some(Fine)),
        (Some("HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n"), false, Some(Failed(Failure::Http500))),
        (Some("HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n"), false, None),
        (Some("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"), false, None),
        (Some(""), false, Some(Failed(Failure::Reset))),
        (None, false, Some(Failed(Failure::Timeout))),
        (None, true, Some(CustomersOwn)),
    ];
    for (answer, called_off, wanted) in cases {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (second, idle) = (Duration::from_secs(1), Duration::from_secs(100));
        let pool = Pool::new(Arc::new(Semaphore::new(9)), Rc::default(), second, idle, 7);
        pool.put(3, address, 0.0, true);
        let told = Rc::new(Told::default());
        pool.watch(told.clone());
        let mut headers = HeaderMap::new();
        headers.insert(header::COOKIE, HeaderValue::from_static("client=00000000000000a1"));
        let message = Message {
            method: Method::GET,
            uri: Uri::from_static("/"),
            headers,
            body: Bytes::new(),
            rest: RefCell::new(None),
            is_kept: true,
            _room: None,
        };
        let wait = Duration::from_millis(if answer.is_some() { 10_000 } else { 300 });
        let expire_at = Instant::now() + wait;
        let came = Instant::now();
        let order = Order { server: 3, message: Rc::new(message), came, expire_at, capped: false };
        let backends = Backends::new(pool, 0);
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
        let note = |outcome| Attempt { customer: 0xa1, server: 3, conn: evidence::Conn::Kept, outcome };
        assert_eq!(told.0.take(), Vec::from_iter(wanted.map(note)), "{answer:?}");
    }
}
