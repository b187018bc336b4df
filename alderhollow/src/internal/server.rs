//! Takes connections of the tier's other processes and hands their requests and notices to the services.

use super::frame::{Frame, FrameError, FrameKind, Refusal, ServiceId};
use super::socket;
use crate::metrics;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};

/// Most connections at once.
const MAX_CONNECTIONS: usize = 1_024;
/// Most requests of one connection that are served at once; more wait unread.
const MAX_REQUESTS_PER_CONNECTION: usize = 512;
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Answers are gathered into one write up to this size.
const WRITE_BATCH_BYTES: usize = 64 * 1024;
/// How long to wait after a failed accept (no descriptors left).
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The end of a request: the payload of the response, or why there is none.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Result<Vec<u8>, Refusal>>>>;

/// Serves the frames of one [`ServiceId`].
pub trait Handler {
    /// Serves a request.
    fn request(&self, payload: Vec<u8>) -> HandlerFuture;

    /// Takes a notice.
    fn notice(&self, payload: Vec<u8>) {
        let _ = payload;
    }
}

/// The services of a process.
#[derive(Default, Clone)]
pub struct Services {
    handlers: BTreeMap<ServiceId, Rc<dyn Handler>>,
}

impl Services {
    /// Adds a service, or replaces it.
    pub fn register(&mut self, service: ServiceId, handler: Rc<dyn Handler>) {
        self.handlers.insert(service, handler);
    }

    fn find(&self, service: Option<ServiceId>) -> Option<&Rc<dyn Handler>> {
        service.and_then(|service| self.handlers.get(&service))
    }
}

/// Serves connections until the future is dropped. To be run in a `LocalSet`.
pub async fn serve(listener: TcpListener, services: Services) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let services = Rc::new(services);
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let services = services.clone();
                tokio::task::spawn_local(async move {
                    serve_connection(stream, services).await;
                    drop(place);
                });
            }
            Err(error) => {
                log::warn!("can't take a connection of a peer: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, services: Rc<Services>) {
    if socket::prepare(&stream).is_err() {
        return;
    }
    let (reading, writing) = stream.into_split();
    let (answers, queue) = mpsc::channel(MAX_REQUESTS_PER_CONNECTION);
    let writer = tokio::task::spawn_local(write_answers(writing, queue));
    if let Err(error) = read_requests(reading, &services, answers).await {
        log::debug!("a peer's connection ended: {error}");
        writer.abort();
    }
}

/// Reads a peer's frames until its connection ends. The connection ends as well if a frame can't be read.
async fn read_requests(
    reading: OwnedReadHalf,
    services: &Rc<Services>,
    answers: mpsc::Sender<Frame>,
) -> Result<(), FrameError> {
    let mut reading = BufReader::with_capacity(READ_BUFFER_BYTES, reading);
    while let Some(frame) = Frame::read(&mut reading).await? {
        metrics::get().internal.received(&frame);
        let handler = services.find(frame.service).cloned();
        match frame.kind {
            FrameKind::Notice => {
                if let Some(handler) = handler {
                    handler.notice(frame.payload);
                }
            }
            FrameKind::Request => {
                let Ok(place) = answers.clone().reserve_owned().await else {
                    return Ok(());
                };
                tokio::task::spawn_local(answer(handler, frame, place));
            }
            FrameKind::Response | FrameKind::Refused => {}
        }
    }
    Ok(())
}

async fn answer(handler: Option<Rc<dyn Handler>>, frame: Frame, place: mpsc::OwnedPermit<Frame>) {
    let result = match handler {
        Some(handler) => handler.request(frame.payload).await,
        None => Err(Refusal::NoService),
    };
    let (kind, payload) = match result {
        Ok(payload) => (FrameKind::Response, payload),
        Err(refusal) => (FrameKind::Refused, vec![refusal.code()]),
    };
    place.send(Frame {
        kind,
        service: frame.service,
        call: frame.call,
        payload,
    });
}

async fn write_answers(mut writing: OwnedWriteHalf, mut queue: mpsc::Receiver<Frame>) {
    let mut bytes = Vec::new();
    while let Some(frame) = queue.recv().await {
        write_frame(&frame, &mut bytes);
        while bytes.len() < WRITE_BATCH_BYTES {
            let Ok(frame) = queue.try_recv() else { break };
            write_frame(&frame, &mut bytes);
        }
        if writing.write_all(&bytes).await.is_err() {
            return;
        }
        bytes.clear();
        bytes.shrink_to(WRITE_BATCH_BYTES);
    }
}

fn write_frame(frame: &Frame, bytes: &mut Vec<u8>) {
    metrics::get().internal.sent(frame);
    frame.encode(bytes);
}
