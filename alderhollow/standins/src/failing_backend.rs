//! Backends that fail, as a seed draws it, at any point of a request: before, within and after its body.

use crate::header;
use crate::raw_request::{read_at_least, RequestHead};
use oorandom::Rand64;
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Small, so that long bodies are taken in piece by piece.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
const MAX_WORK_MS: u64 = 30;
const LONG_BODY_BYTES: usize = 100_000;

/// Is told what backends do.
pub trait RunObserver {
    /// A backend begins to work on a request.
    fn on_run(&self, request_id: &str);
    /// A backend has read the whole body of a request.
    fn on_body(&self, request_id: &str, body: &[u8]);
}

/// The body of the answer to a request that a backend has served.
pub fn answer_to(request_id: &str) -> String {
    format!("done {request_id}")
}

/// What a backend does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behavior {
    /// Reads it whole and answers it.
    Serve,
    /// Serves, and sends its answer once more later.
    ServeTwice,
    /// Runs it and answers 500, twice.
    FailTwice,
    /// Declines it, twice.
    DeclineTwice,
    /// Resets the connection before it reads anything of the body.
    ResetAtOnce,
    /// Begins to work on a part of the body and resets the connection.
    ResetWithinBody,
    /// Runs it and resets the connection without an answer.
    ResetAfterRun,
    /// Answers before it has read the body, and reads on.
    ServeEarly,
    /// Declines before it has read the body, and reads on.
    DeclineEarly,
    /// Begins to work on a part of the body and does nothing more.
    Stall,
    /// Runs it and answers 503 without saying that it has not.
    Unavailable,
    /// The same with a long body.
    UnavailableAtLength,
}

impl Behavior {
    fn draw(random: &mut Rand64) -> Behavior {
        match random.rand_range(0..100) {
            0..=6 => Behavior::ServeTwice,
            7..=11 => Behavior::FailTwice,
            12..=16 => Behavior::DeclineTwice,
            17..=20 => Behavior::ResetAtOnce,
            21..=28 => Behavior::ResetWithinBody,
            29..=32 => Behavior::ResetAfterRun,
            33..=37 => Behavior::ServeEarly,
            38..=42 => Behavior::DeclineEarly,
            43..=45 => Behavior::Stall,
            46..=47 => Behavior::Unavailable,
            48..=49 => Behavior::UnavailableAtLength,
            _ => Behavior::Serve,
        }
    }

    fn is_run(self) -> bool {
        !matches!(
            self,
            Behavior::DeclineTwice | Behavior::DeclineEarly | Behavior::ResetAtOnce
        )
    }

    fn answers_early(self) -> bool {
        matches!(self, Behavior::ServeEarly | Behavior::DeclineEarly)
    }

    fn answers_twice(self) -> bool {
        matches!(
            self,
            Behavior::ServeTwice | Behavior::FailTwice | Behavior::DeclineTwice
        )
    }

    /// The answer to the request `id`.
    fn answer(self, id: &str) -> String {
        let sealed = format!("{}: s1\r\n", header::RESPONSE_SEAL);
        let declined = format!("{}: 1\r\n", header::NOT_EXECUTED);
        let (status, headers, body) = match self {
            Behavior::FailTwice => ("500 Failed", sealed, String::new()),
            Behavior::DeclineTwice | Behavior::DeclineEarly => {
                ("503 Full", declined, String::new())
            }
            Behavior::Unavailable => ("503 Unavailable", sealed, "no".to_string()),
            Behavior::UnavailableAtLength => {
                ("503 Unavailable", sealed, "n".repeat(LONG_BODY_BYTES))
            }
            _ => ("200 OK", sealed, answer_to(id)),
        };
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\n{}: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}",
            header::REQUEST_ID
        )
    }
}

/// One backend. Clones share its connections.
#[derive(Clone)]
pub struct FailingBackend {
    random: Rc<RefCell<Rand64>>,
    observer: Rc<dyn RunObserver>,
    /// Changes when all connections are reset.
    resets: watch::Sender<u64>,
}

impl FailingBackend {
    /// A backend that draws what it does with each request, half of the time to serve it.
    pub fn new(random: Rand64, observer: Rc<dyn RunObserver>) -> FailingBackend {
        FailingBackend {
            random: Rc::new(RefCell::new(random)),
            observer,
            resets: watch::Sender::new(0),
        }
    }

    /// Listens on loopback, within the current `LocalSet`, and returns the address.
    ///
    /// # Errors
    /// There is no free port.
    pub async fn start(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let address = listener.local_addr()?;
        let backend = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(backend.clone().serve_until_reset(stream));
            }
        });
        Ok(address)
    }

    /// Resets all its connections, as a crash does.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn serve_until_reset(self, mut stream: TcpStream) {
        let mut resets = self.resets.subscribe();
        tokio::select! {
            _ = resets.changed() => {}
            () = self.serve(&mut stream) => {}
        }
        // What is closed by either is reset, as after a crash.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }

    /// Serves requests until the connection is to be reset or its peer has closed it.
    async fn serve(&self, stream: &mut TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut read = Vec::new();
        let mut surplus: Option<String> = None;
        while let Some(head) = RequestHead::read(stream, &mut read).await {
            let behavior = Behavior::draw(&mut self.random.borrow_mut());
            if behavior == Behavior::ResetAtOnce {
                return;
            }
            if let Some(earlier) = surplus.take() {
                if stream.write_all(earlier.as_bytes()).await.is_err() {
                    return;
                }
            }
            let answer = behavior.answer(&head.id);
            if !self.work(stream, &mut read, behavior, &head, &answer).await {
                return;
            }
            if behavior.answers_twice() {
                surplus = Some(answer);
            }
        }
    }

    /// Works on one request; returns whether the connection stays.
    async fn work(
        &self,
        stream: &mut TcpStream,
        read: &mut Vec<u8>,
        behavior: Behavior,
        head: &RequestHead,
        answer: &str,
    ) -> bool {
        let (id, length) = (head.id.as_str(), head.body_length);
        let part = self.draw(length as u64 + 1) as usize;
        if !read_at_least(stream, read, part).await {
            return false;
        }
        if behavior.is_run() {
            self.observer.on_run(id);
        }
        if behavior == Behavior::Stall {
            return std::future::pending().await;
        }
        sleep(Duration::from_millis(self.draw(MAX_WORK_MS))).await;
        if behavior == Behavior::ResetWithinBody {
            return false;
        }
        if behavior.answers_early() && stream.write_all(answer.as_bytes()).await.is_err() {
            return false;
        }
        if !read_at_least(stream, read, length).await {
            return false;
        }
        let body: Vec<u8> = read.drain(..length).collect();
        self.observer.on_body(id, &body);
        if behavior == Behavior::ResetAfterRun {
            return false;
        }
        behavior.answers_early() || stream.write_all(answer.as_bytes()).await.is_ok()
    }

    fn draw(&self, end: u64) -> u64 {
        self.random.borrow_mut().rand_range(0..end.max(1))
    }
}
