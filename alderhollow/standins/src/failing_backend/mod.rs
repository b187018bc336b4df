//! Backends that fail, as a seed draws it, at any point of a request: before, within and after its body and its answer.
//! Answers come early, late, truncated, malformed, in pieces, several times or not at all.

mod answer;
mod damage;
mod plan;

pub use answer::{answer_to, EVENTS};
pub use plan::Workload;

use crate::raw_request::{read_at_least, RequestHead};
use oorandom::Rand64;
use plan::{AnswerKind, BreakPoint, Closing, Conclusion, CopyTime, Framing, Plan};
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

/// Sizes of the system's buffers of a connection: small ones let long bodies in piece by piece.
const SOCKET_BUFFER_BYTES: [usize; 4] = [4 << 10, 16 << 10, 64 << 10, 1 << 20];
const MAX_WORK_MS: u64 = 30;
/// Pause between the pieces of an answer.
const PIECE_PAUSE: Duration = Duration::from_millis(1);
const INTERIM_ANSWER: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";

/// Is told what backends do.
pub trait RunObserver {
    /// A backend begins to work on a request.
    fn on_run(&self, request_id: &str);
    /// A backend has read the whole body of a request.
    fn on_body(&self, request_id: &str, body: &[u8]);
    /// A backend begins to send a whole answer of 500 to a request that it has run.
    fn on_failure(&self, _request_id: &str) {}
    /// The same for 422.
    fn on_rejection(&self, _request_id: &str) {}
}

/// An answer that is to be sent once more.
struct Surplus {
    bytes: Vec<u8>,
    time: CopyTime,
}

/// One backend. Clones share its connections.
#[derive(Clone)]
pub struct FailingBackend {
    random: Rc<RefCell<Rand64>>,
    workload: Workload,
    observer: Rc<dyn RunObserver>,
    /// Changes when all connections are reset.
    resets: watch::Sender<u64>,
}

impl FailingBackend {
    /// A backend that draws what it does with each request, half of the time to serve it.
    pub fn new(
        random: Rand64,
        workload: Workload,
        observer: Rc<dyn RunObserver>,
    ) -> FailingBackend {
        FailingBackend {
            random: Rc::new(RefCell::new(random)),
            workload,
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
        let socket = SockRef::from(&listener);
        socket.set_recv_buffer_size(self.draw_buffer_size())?;
        socket.set_send_buffer_size(self.draw_buffer_size())?;
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
        let closing = tokio::select! {
            _ = resets.changed() => Closing::Reset,
            closing = self.serve(&mut stream) => closing,
        };
        if closing == Closing::Reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Serves requests until the connection is to end or its peer has closed it.
    async fn serve(&self, stream: &mut TcpStream) -> Closing {
        let _ = stream.set_nodelay(true);
        let mut connection = Connection {
            stream,
            read: Vec::new(),
            surplus: None,
        };
        while let Some(head) = RequestHead::read(connection.stream, &mut connection.read).await {
            let plan = Plan::draw(&mut self.random.borrow_mut(), self.workload);
            if let Err(closing) = self.work(&mut connection, &plan, &head).await {
                return closing;
            }
        }
        Closing::Reset
    }

    /// Works on one request. An error says how the connection ends.
    async fn work(
        &self,
        connection: &mut Connection<'_>,
        plan: &Plan,
        head: &RequestHead,
    ) -> Result<(), Closing> {
        plan.break_at(BreakPoint::BeforeBody)?;
        connection.send_surplus(CopyTime::AfterNextHead).await?;
        let part = self.draw(head.body_length as u64 + 1) as usize;
        connection.read_body(part).await?;
        connection.send_surplus(CopyTime::AfterNextBodyPart).await?;
        if plan.is_run() {
            self.observer.on_run(&head.id);
        }
        if plan.conclusion == Conclusion::Stall {
            std::future::pending::<()>().await;
        }
        sleep(Duration::from_millis(self.draw(MAX_WORK_MS))).await;
        plan.break_at(BreakPoint::WithinBody)?;
        if plan.is_early {
            self.answer(connection, plan, head).await?;
        }
        connection.read_body(head.body_length).await?;
        let body: Vec<u8> = connection.read.drain(..head.body_length).collect();
        self.observer.on_body(&head.id, &body);
        plan.break_at(BreakPoint::AfterRun)?;
        if plan.has_interim_answer || plan.breaks_at(BreakPoint::AfterInterimAnswer) {
            connection.write(INTERIM_ANSWER.as_bytes()).await?;
            plan.break_at(BreakPoint::AfterInterimAnswer)?;
        }
        match plan.is_early {
            true => Ok(()),
            false => self.answer(connection, plan, head).await,
        }
    }

    /// Sends the answer, or the part that the plan has of it, and its copies.
    async fn answer(
        &self,
        connection: &mut Connection<'_>,
        plan: &Plan,
        head: &RequestHead,
    ) -> Result<(), Closing> {
        let (kind, truncated) = match plan.conclusion {
            Conclusion::Answer(kind) => (kind, None),
            Conclusion::TruncatedAnswer(kind, closing) => (kind, Some(closing)),
            Conclusion::MalformedAnswer(kind, damage, closing) => {
                let answer = answer::encode(kind, plan.framing, head, self.workload);
                let damaged = damage.apply(&answer);
                connection
                    .write_in_pieces(damaged.as_bytes(), plan.pieces)
                    .await?;
                return closing.map_or(Ok(()), Err);
            }
            Conclusion::Break(..) | Conclusion::Stall => return Ok(()),
        };
        let bytes = answer::encode(kind, plan.framing, head, self.workload).into_bytes();
        if let Some(closing) = truncated {
            let length = self.draw_truncated_length(&bytes, plan.framing);
            connection.write(&bytes[..length]).await?;
            return Err(closing);
        }
        match kind {
            AnswerKind::Failed => self.observer.on_failure(&head.id),
            AnswerKind::Rejected => self.observer.on_rejection(&head.id),
            _ => {}
        }
        connection.send_answer(&bytes, plan).await?;
        match plan.framing {
            Framing::UntilClose => Err(Closing::Close),
            Framing::Length | Framing::Chunked => Ok(()),
        }
    }

    /// Length of a part of an answer that cannot be taken for the whole: one without a length is cut within its head.
    fn draw_truncated_length(&self, bytes: &[u8], framing: Framing) -> usize {
        let end_of_head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let end = match framing {
            Framing::UntilClose => end_of_head.unwrap_or(bytes.len()),
            Framing::Length | Framing::Chunked => bytes.len(),
        };
        // Every second one is cut within its body, if it can be.
        let start = end_of_head.map_or(0, |at| at + 4);
        match start < end && self.draw(2) == 0 {
            true => start + self.draw((end - start) as u64) as usize,
            false => self.draw(end as u64) as usize,
        }
    }

    fn draw_buffer_size(&self) -> usize {
        SOCKET_BUFFER_BYTES[self.draw(SOCKET_BUFFER_BYTES.len() as u64) as usize]
    }

    fn draw(&self, end: u64) -> u64 {
        self.random.borrow_mut().rand_range(0..end.max(1))
    }
}

/// A connection of a caller. Its errors say how it ends.
struct Connection<'a> {
    stream: &'a mut TcpStream,
    /// What was read and not used yet.
    read: Vec<u8>,
    /// The answer to the request before that is to be sent once more.
    surplus: Option<Surplus>,
}

impl Connection<'_> {
    async fn read_body(&mut self, length: usize) -> Result<(), Closing> {
        match read_at_least(self.stream, &mut self.read, length).await {
            true => Ok(()),
            false => Err(Closing::Reset),
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), Closing> {
        let written = self.stream.write_all(bytes).await;
        written.map_err(|_| Closing::Reset)
    }

    /// Sends the surplus answer that is due now.
    async fn send_surplus(&mut self, time: CopyTime) -> Result<(), Closing> {
        match self.surplus.take_if(|surplus| surplus.time == time) {
            Some(surplus) => self.write(&surplus.bytes).await,
            None => Ok(()),
        }
    }

    /// Sends an answer and the copies that do not wait for the next request.
    async fn send_answer(&mut self, bytes: &[u8], plan: &Plan) -> Result<(), Closing> {
        let Some(copies) = plan.copies else {
            return self.write_in_pieces(bytes, plan.pieces).await;
        };
        let surplus = bytes.repeat(copies.count);
        match copies.time {
            CopyTime::AtOnce => self.write(&[bytes, &surplus].concat()).await,
            CopyTime::AfterMs(delay_ms) => {
                self.write_in_pieces(bytes, plan.pieces).await?;
                sleep(Duration::from_millis(delay_ms)).await;
                self.write(&surplus).await
            }
            time => {
                self.surplus = Some(Surplus {
                    bytes: surplus,
                    time,
                });
                self.write_in_pieces(bytes, plan.pieces).await
            }
        }
    }

    async fn write_in_pieces(&mut self, bytes: &[u8], pieces: usize) -> Result<(), Closing> {
        let mut is_first = true;
        for piece in bytes.chunks(bytes.len().div_ceil(pieces)) {
            if !std::mem::take(&mut is_first) {
                sleep(PIECE_PAUSE).await;
            }
            self.write(piece).await?;
        }
        Ok(())
    }
}
