//! Emulated backends.

use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// One step of an answer. `{id}` in what is written stands for the request's id.
#[derive(Clone)]
pub(crate) enum Step {
    Write(String),
    Pause(Duration),
    Close,
    Reset,
    /// Says nothing until the peer ends the connection.
    Hang,
}

/// A request that reached a backend.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub backend: String,
    pub head: String,
    pub body: String,
}

impl Seen {
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_string())
    })
}

#[derive(Clone, Default)]
pub(crate) struct Backends {
    scripts: Rc<RefCell<VecDeque<Vec<Step>>>>,
    seen: Rc<RefCell<Vec<Seen>>>,
    /// Connections that were accepted, and those that their peer ended while the backend hung or wrote.
    pub accepted: Rc<Cell<u32>>,
    pub left: Rc<Cell<u32>>,
}

impl Backends {
    pub(crate) fn script(&self, steps: Vec<Step>) {
        self.scripts.borrow_mut().push_back(steps);
    }

    /// Drops the scripts that no request has used.
    pub(crate) fn drop_scripts(&self) {
        self.scripts.borrow_mut().clear();
    }

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.borrow().clone()
    }

    pub(crate) async fn start(&self, id: &str) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (backends, id) = (self.clone(), id.to_string());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                backends.accepted.set(backends.accepted.get() + 1);
                spawn_local(backends.clone().serve(id.clone(), stream));
            }
        });
        address
    }

    async fn serve(self, id: String, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(seen) = read_request(&mut stream, &mut buffer, &id).await {
            if seen.head.starts_with("GET /alderhollow/report ") {
                let none = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
                let _ = stream.write_all(none.as_bytes()).await;
                return;
            }
            let request_id = seen.header("request-id").unwrap_or_default();
            self.seen.borrow_mut().push(seen);
            let steps = self
                .scripts
                .borrow_mut()
                .pop_front()
                .expect("a script for each request");
            for step in steps {
                match step {
                    Step::Write(text) => {
                        if stream
                            .write_all(text.replace("{id}", &request_id).as_bytes())
                            .await
                            .is_err()
                        {
                            self.left.set(self.left.get() + 1);
                            return;
                        }
                    }
                    Step::Pause(pause) => sleep(pause).await,
                    Step::Close => return,
                    Step::Reset => {
                        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                        return;
                    }
                    Step::Hang => {
                        let _ = stream.read_buf(&mut buffer).await;
                        self.left.set(self.left.get() + 1);
                        return;
                    }
                }
            }
        }
    }
}

/// A request with a body of known length; `None` at the connection's end.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>, id: &str) -> Option<Seen> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length")
                .map_or(0, |length| length.parse().expect("a length"));
            if rest.len() >= length {
                let (body, next) = rest.split_at(length);
                let seen = Seen {
                    backend: id.into(),
                    head: head.into(),
                    body: body.into(),
                };
                *buffer = next.as_bytes().to_vec();
                return Some(seen);
            }
        }
        if !matches!(stream.read_buf(buffer).await, Ok(1..)) {
            return None;
        }
    }
}

/// A whole answer of a backend.
pub(crate) fn answer(status: &str, headers: &str, body: &str) -> Vec<Step> {
    let length = body.len();
    vec![Step::Write(format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {{id}}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    ))]
}

pub(crate) fn served(body: &str) -> Vec<Step> {
    answer("200 OK", "Response-Seal: s1\r\n", body)
}

pub(crate) fn declined() -> Vec<Step> {
    answer("503 Service Unavailable", "Not-Executed: 1\r\n", "")
}

/// The head of a stream of events.
pub(crate) fn stream_head(seal: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {{id}}\r\nResponse-Seal: {seal}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    ))
}

pub(crate) fn chunk(text: &str) -> Step {
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

pub(crate) fn last_chunk() -> Step {
    Step::Write("0\r\n\r\n".into())
}

pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: text {id}\n\n")
}

pub(crate) fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}
