//! Stand-ins for clients, backends and discovery, on loopback, each on a thread of its own.

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

/// Runs this to its end, with tasks of its own beside it.
pub(crate) fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

/// A peer that answers each request with what `answer` makes of its first line.
async fn serve(listener: TcpListener, answer: impl Fn(&str) -> (Duration, Rc<[u8]>) + 'static) {
    listener
        .set_nonblocking(true)
        .expect("a socket that does not block");
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

/// The next head; `None` at the end. What came behind it stays in the buffer.
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

/// Where the backends and discovery are. They serve until the program ends.
pub(crate) struct Fleet {
    pub backends: Vec<SocketAddr>,
    pub discovery: SocketAddr,
}

/// So many backends whose answers take so long and bear so many bytes.
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
            // Nothing ever changes: a watch waits for as long as it may.
            let nothing = message(br#"{"rev":1,"all":false,"targets":[]}"#);
            serve(calls, move |line| {
                let wait = line
                    .split("wait_ms=")
                    .nth(1)
                    .and_then(|rest| rest.split(' ').next()?.parse().ok());
                (Duration::from_millis(wait.unwrap_or(0)), nothing.clone())
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

    /// The answer's status. All of its body has come.
    pub(crate) async fn ask(&mut self, request: &[u8]) -> u16 {
        self.stream
            .write_all(request)
            .await
            .expect("the request goes out");
        let head = read_head(&mut self.stream, &mut self.buffer)
            .await
            .expect("an answer");
        let head = head.expect("an answer").to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"));
        let mut left: usize = length.map_or(0, |length| length.trim().parse().expect("a length"));
        loop {
            let taken = left.min(self.buffer.len());
            self.buffer.drain(..taken);
            left -= taken;
            if left == 0 {
                return head
                    .split(' ')
                    .nth(1)
                    .and_then(|word| word.parse().ok())
                    .expect("a status");
            }
            assert_ne!(
                self.stream
                    .read_buf(&mut self.buffer)
                    .await
                    .expect("the rest"),
                0,
                "cut short"
            );
        }
    }
}

/// Asks so often over so many connections at once; returns how many answers were not `status`.
pub(crate) async fn load(
    address: SocketAddr,
    connections: usize,
    each: usize,
    keep: bool,
    plan: &str,
    status: u16,
) -> usize {
    let wrong = Rc::new(RefCell::new(0));
    let mut clients = JoinSet::new();
    for number in 0..connections {
        let (request, wrong) = (request(plan, number as u64), wrong.clone());
        clients.spawn_local(async move {
            let mut client = None;
            for _ in 0..each {
                let mut open = match client.take() {
                    Some(client) => client,
                    None => Client::connect(address).await,
                };
                if open.ask(&request).await != status {
                    *wrong.borrow_mut() += 1;
                }
                client = Some(open).filter(|_| keep);
            }
        });
    }
    while clients.join_next().await.is_some() {}
    wrong.take()
}
