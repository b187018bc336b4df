//! Simulated clients, backends and discovery service on loopback. Backends and discovery share a thread.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::sleep;

/// Runs a future to completion on a single-threaded runtime, with support for local tasks.
pub(crate) fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    LocalSet::new().block_on(&runtime, work)
}

/// Serves HTTP: `answer` returns the delay and the response for a request line.
async fn serve(listener: TcpListener, answer: impl Fn(&str) -> (Duration, Rc<[u8]>) + 'static) {
    listener
        .set_nonblocking(true)
        .expect("the listener becomes non-blocking");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    let answer = Rc::new(answer);
    while let Ok((mut stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let answer = answer.clone();
        spawn_local(async move {
            let mut buffer = Vec::with_capacity(2048);
            while let Ok(Some(head)) = read_head(&mut stream, &mut buffer).await {
                let (wait, bytes) = answer(head.lines().next().unwrap_or_default());
                sleep(wait).await;
                if stream.write_all(&bytes).await.is_err() {
                    break;
                }
            }
        });
    }
}

/// Reads the next message head; `None` at the end of the stream. Bytes after the head stay in the buffer.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn message(body: &[u8]) -> Rc<[u8]> {
    let mut bytes =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.into()
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Addresses of the backends and the discovery service, which serve until the process exits.
pub(crate) struct Fleet {
    pub backends: Vec<SocketAddr>,
    pub discovery: SocketAddr,
}

/// Starts `backends` backends that each respond after `work` with a body of `size` bytes, and a discovery service.
pub(crate) fn fleet(backends: usize, work: Duration, size: usize) -> Fleet {
    let (listeners, addresses): (Vec<_>, Vec<_>) = (0..backends).map(|_| listener()).unzip();
    let (calls, discovery) = listener();
    thread::spawn(move || {
        run(async move {
            let answer = message(&vec![b'x'; size]);
            for listener in listeners {
                let answer = answer.clone();
                spawn_local(serve(listener, move |_| (work, answer.clone())));
            }
            // The list never changes, so a watch request waits for its whole `wait_ms`.
            let no_change = message(br#"{"rev":1,"all":false,"targets":[]}"#);
            serve(calls, move |line| {
                let wait = line
                    .split("wait_ms=")
                    .nth(1)
                    .and_then(|rest| rest.split(' ').next()?.parse().ok());
                (Duration::from_millis(wait.unwrap_or(0)), no_change.clone())
            })
            .await;
        });
    });
    Fleet {
        backends: addresses,
        discovery,
    }
}

/// A request as a client of the platform sends it.
pub(crate) fn request(plan: &str, customer: u64) -> Vec<u8> {
    format!(
        "GET /read/balance HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: read\r\n\
         Plan: {plan}\r\nCookie: client={customer:016x}\r\nX-Deadline: 4000m\r\n\
         Quota-Info: units=1,spread=1,first=0\r\n\r\n"
    )
    .into_bytes()
}

pub(crate) struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub(crate) async fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address)
            .await
            .expect("the gateway accepts the connection");
        let _ = stream.set_nodelay(true);
        Client {
            stream,
            buffer: Vec::with_capacity(2048),
        }
    }

    /// Sends a request, reads the whole response and returns its status.
    pub(crate) async fn ask(&mut self, request: &[u8]) -> u16 {
        self.stream
            .write_all(request)
            .await
            .expect("the request is sent");
        let head = read_head(&mut self.stream, &mut self.buffer)
            .await
            .expect("a response head");
        let head = head.expect("a response head").to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"));
        let mut left: usize = length.map_or(0, |length| {
            length
                .trim()
                .parse()
                .expect("the content length is a number")
        });
        loop {
            let taken = left.min(self.buffer.len());
            self.buffer.drain(..taken);
            left -= taken;
            if left == 0 {
                return head
                    .split(' ')
                    .nth(1)
                    .and_then(|word| word.parse().ok())
                    .expect("the response has a status");
            }
            assert_ne!(
                self.stream
                    .read_buf(&mut self.buffer)
                    .await
                    .expect("the rest of the body"),
                0,
                "response body cut short"
            );
        }
    }
}

/// Runs `connections` concurrent clients that send `each` requests, on one connection if `keep`; returns how many
/// responses did not have `status`.
pub(crate) async fn load(
    address: SocketAddr,
    connections: usize,
    each: usize,
    keep: bool,
    plan: &str,
    status: u16,
) -> usize {
    let mismatches = Rc::new(RefCell::new(0));
    let mut clients = JoinSet::new();
    for number in 0..connections {
        let (request, mismatches) = (request(plan, number as u64), mismatches.clone());
        clients.spawn_local(async move {
            let mut client = None;
            for _ in 0..each {
                let mut open = match client.take() {
                    Some(client) => client,
                    None => Client::connect(address).await,
                };
                if open.ask(&request).await != status {
                    *mismatches.borrow_mut() += 1;
                }
                client = Some(open).filter(|_| keep);
            }
        });
    }
    while clients.join_next().await.is_some() {}
    mismatches.take()
}
