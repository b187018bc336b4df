//! Clients that write requests as text.

use super::backend::header;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a client has read.
#[derive(Debug)]
pub(crate) struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the answer's own framing says that it is whole.
    pub whole: bool,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

pub(crate) struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub(crate) async fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).await.expect("it accepts");
        // Else a second piece waits for the peer's acknowledgement in real time, while the tests' clock leaps.
        stream.set_nodelay(true).expect("a socket");
        Client {
            stream,
            buffer: Vec::new(),
        }
    }

    pub(crate) async fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("it is read");
    }

    /// Writes to a connection that the gateway may have closed.
    pub(crate) async fn offer(&mut self, text: &str) {
        // What is lost then, the missing answer tells.
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// The next answer; `None` if the connection ends before one begins.
    pub(crate) async fn reply(&mut self) -> Option<Reply> {
        loop {
            let ended = !matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..));
            if let Some((reply, length)) = parse(&self.buffer, ended) {
                self.buffer.drain(..length);
                return Some(reply);
            }
            if ended {
                return None;
            }
        }
    }

    /// Whether the connection ends without a byte.
    pub(crate) async fn ends(&mut self) -> bool {
        self.buffer.is_empty() && matches!(self.stream.read_buf(&mut self.buffer).await, Ok(0))
    }

    /// Reads until what has come contains `text`.
    pub(crate) async fn read_until(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.buffer).contains(text) {
            let read = self
                .stream
                .read_buf(&mut self.buffer)
                .await
                .expect("it stands");
            assert!(read > 0, "it ended before {text:?}");
        }
    }
}

/// An answer that is whole, or what there is of it once the connection has ended.
fn parse(buffer: &[u8], ended: bool) -> Option<(Reply, usize)> {
    let text = String::from_utf8_lossy(buffer);
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let (body, length, whole) = match header(head, "content-length") {
        Some(length) => {
            let length: usize = length.parse().ok()?;
            let there = length.min(rest.len());
            (rest[..there].to_string(), there, there == length)
        }
        None => dechunk(rest),
    };
    let reply = Reply {
        status,
        head: head.to_string(),
        body,
        whole,
    };
    (whole || ended).then(|| (reply, head.len() + 4 + length))
}

fn dechunk(mut rest: &str) -> (String, usize, bool) {
    let all = rest.len();
    let mut body = String::new();
    while let Some((size, more)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, all - more.len() + 2, more.starts_with("\r\n"));
        }
        let there = size.min(more.len());
        body.push_str(&more[..there]);
        if more.len() < size + 2 {
            break;
        }
        rest = &more[size + 2..];
    }
    (body, all, false)
}

/// One request on a connection of its own.
pub(crate) async fn ask(address: SocketAddr, request: &str) -> Reply {
    let mut client = Client::connect(address).await;
    client.write(request).await;
    client.reply().await.expect("an answer")
}
