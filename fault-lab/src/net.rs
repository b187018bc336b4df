//! The network between the parties: every directed link can go through a relay, whose condition can be changed while
//! it runs.
//!
//! A relay stands at an address of its own and connects onwards from the address of the party that it speaks for, so
//! that the other end sees who calls. TCP never loses bytes: what is cut off is held, as a sender's system would send
//! it again, and goes on when the link is whole; a connection that is opened meanwhile does not come up, as the
//! listener's queue is full. Datagrams are lost, doubled, delayed and overtaken.

use crate::http::connect;
use crate::lock;
use crate::record::{Event, Recorder};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Bytes that are read at a time, and how many such pieces of one direction may be on their way.
const PIECE: usize = 16 * 1024;
const PIECES: usize = 16;
/// Datagrams of one link that may be on their way. More are lost, as in a router.
const DATAGRAMS: usize = 1024;
/// Connections that one relay carries at a time: two descriptors each.
const CONNECTIONS: usize = 4096;
/// Connections that may wait until the relay takes them.
const BACKLOG: i32 = 1024;
/// How long the onward connection may take to come up before the caller's is reset.
const CONNECT: Duration = Duration::from_secs(10);
/// After a failed accept.
const BACK_OFF: Duration = Duration::from_millis(20);

/// Connections that the relays carry, for all of the process.
static OPEN: AtomicUsize = AtomicUsize::new(0);

/// How many connections the relays of this process carry.
pub fn open_connections() -> usize {
    OPEN.load(Ordering::Relaxed)
}

/// What a directed link does to what passes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Condition {
    /// Everything takes so much longer, and up to `jitter` more by chance.
    pub delay: Duration,
    pub jitter: Duration,
    /// Nothing passes: bytes are held, datagrams lost, new connections do not come up.
    pub cut: bool,
    /// Bytes and datagrams are held until this ends; connections still come up.
    pub stall: bool,
    /// The chance that a datagram is lost, comes twice, or is overtaken by those of the next `overtaken` milliseconds.
    pub loss: f64,
    pub double: f64,
    pub reorder: f64,
    /// Open connections are reset each time that this grows.
    pub resets: u32,
}

/// How much later a datagram comes that is overtaken.
const OVERTAKEN: Duration = Duration::from_millis(50);

impl Condition {
    fn holds(&self) -> bool {
        self.cut || self.stall
    }

    /// In a few words, for the record.
    pub fn words(&self) -> String {
        let mut words = Vec::new();
        if self.cut {
            words.push("cut".to_string());
        }
        if self.stall {
            words.push("stall".to_string());
        }
        if !self.delay.is_zero() || !self.jitter.is_zero() {
            words.push(format!(
                "delay {} ms, jitter {} ms",
                self.delay.as_millis(),
                self.jitter.as_millis()
            ));
        }
        for (name, chance) in [
            ("loss", self.loss),
            ("double", self.double),
            ("reorder", self.reorder),
        ] {
            if chance > 0.0 {
                words.push(format!("{name} {chance}"));
            }
        }
        if words.is_empty() {
            "whole".into()
        } else {
            words.join(", ")
        }
    }

    /// A whole link after this one, whose connections have been reset as often.
    pub fn healed(self) -> Condition {
        Condition {
            resets: self.resets,
            ..Condition::default()
        }
    }

    /// The later moment at which a piece that comes now is let on.
    fn due(&self, rng: &mut Pcg64Mcg) -> Instant {
        Instant::now() + self.delay + self.jitter.mul_f64(rng.random())
    }
}

type Links = BTreeMap<(String, String), watch::Sender<Condition>>;

/// All links of one run. Clones are the same network; it ends with [`Net::close`] or the last clone.
#[derive(Clone)]
pub struct Net {
    inner: Arc<Inner>,
}

struct Inner {
    links: Mutex<Links>,
    /// The address that each party calls from.
    parties: Mutex<BTreeMap<String, IpAddr>>,
    relays: Mutex<Vec<AbortHandle>>,
    /// Where relays stand.
    own: IpAddr,
    seeds: Mutex<Pcg64Mcg>,
    recorder: Option<Recorder>,
}

impl Net {
    /// A network whose relays stand at `own`; all chance in it follows from the seed.
    pub fn new(own: IpAddr, seed: u64, recorder: Option<Recorder>) -> Net {
        let inner = Inner {
            links: Mutex::default(),
            parties: Mutex::default(),
            relays: Mutex::default(),
            own,
            seeds: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            recorder,
        };
        Net {
            inner: Arc::new(inner),
        }
    }

    /// The address that a party's connections come from when a relay makes them.
    pub fn party(&self, name: &str, address: IpAddr) {
        lock(&self.inner.parties).insert(name.to_string(), address);
    }

    fn link(&self, from: &str, to: &str) -> watch::Receiver<Condition> {
        let mut links = lock(&self.inner.links);
        links
            .entry((from.to_string(), to.to_string()))
            .or_insert_with(|| watch::Sender::new(Condition::default()));
        links[&(from.to_string(), to.to_string())].subscribe()
    }

    /// Changes the condition of the link from one party to another.
    pub fn change(&self, from: &str, to: &str, change: impl FnOnce(&mut Condition)) {
        drop(self.link(from, to));
        let links = lock(&self.inner.links);
        let Some(link) = links.get(&(from.to_string(), to.to_string())) else {
            return;
        };
        link.send_modify(change);
        if let Some(recorder) = &self.inner.recorder {
            let condition = link.borrow().words();
            recorder.tell(Event::Link {
                from: from.into(),
                to: to.into(),
                condition,
            });
        }
    }

    /// The condition of the link from one party to another.
    pub fn condition(&self, from: &str, to: &str) -> Condition {
        *self.link(from, to).borrow()
    }

    /// Cuts every link between the two groups, in both directions.
    pub fn partition(&self, one: &[&str], other: &[&str]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (a, b))) {
            self.change(a, b, |condition| condition.cut = true);
            self.change(b, a, |condition| condition.cut = true);
        }
    }

    /// Makes all links whole.
    pub fn heal(&self) {
        let pairs: Vec<(String, String)> = lock(&self.inner.links).keys().cloned().collect();
        for (from, to) in pairs {
            let condition = self.condition(&from, &to);
            if condition != condition.healed() {
                self.change(&from, &to, |condition| *condition = condition.healed());
            }
        }
    }

    /// Ends all relays and what passes through them.
    pub fn close(&self) {
        lock(&self.inner.relays)
            .drain(..)
            .for_each(|relay| relay.abort());
    }

    fn rng(&self) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(lock(&self.inner.seeds).random())
    }

    /// Where `from` reaches the TCP listener of `to` that stands at `target`.
    ///
    /// # Errors
    /// No port is free.
    pub async fn tcp(&self, from: &str, to: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = listen(SocketAddr::new(self.inner.own, 0))?;
        let address = listener.local_addr()?;
        let relay = Relay {
            target,
            source: lock(&self.inner.parties).get(from).copied(),
            there: self.link(from, to),
            back: self.link(to, from),
            room: Arc::new(Semaphore::new(CONNECTIONS)),
        };
        let task = tokio::spawn(relay.run(listener, address, self.rng()));
        lock(&self.inner.relays).push(task.abort_handle());
        Ok(address)
    }

    /// Where `from` sends the datagrams that `to` gets at `target`. They come from the relay's address: there is no
    /// way back through it.
    ///
    /// # Errors
    /// No port is free.
    pub async fn udp(&self, from: &str, to: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind(SocketAddr::new(self.inner.own, 0)).await?;
        let address = socket.local_addr()?;
        let task = tokio::spawn(datagrams(
            Arc::new(socket),
            target,
            self.link(from, to),
            self.rng(),
        ));
        lock(&self.inner.relays).push(task.abort_handle());
        Ok(address)
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        lock(&self.relays).drain(..).for_each(|relay| relay.abort());
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(address)?;
    socket.listen(BACKLOG as u32)
}

struct Relay {
    target: SocketAddr,
    source: Option<IpAddr>,
    there: watch::Receiver<Condition>,
    back: watch::Receiver<Condition>,
    room: Arc<Semaphore>,
}

impl Relay {
    async fn run(mut self, listener: TcpListener, address: SocketAddr, mut rng: Pcg64Mcg) {
        // Connections live in this task's set: they end with it.
        let mut connections = tokio::task::JoinSet::new();
        loop {
            if self.is_cut() {
                self.refuse(&listener, address).await;
                continue;
            }
            let Ok(room) = self.room.clone().acquire_owned().await else {
                return;
            };
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let (there, back) = (self.there.clone(), self.back.clone());
                        let (target, source) = (self.target, self.source);
                        let rng = Pcg64Mcg::seed_from_u64(rng.random());
                        connections.spawn(async move {
                            let _room = room;
                            carry(stream, target, source, (there, back), rng).await;
                        });
                    }
                    // Guards against a spin where descriptors have run out.
                    Err(_) => sleep(BACK_OFF).await,
                },
                _ = self.there.changed() => {}
                _ = self.back.changed() => {}
                Some(_) = connections.join_next() => {}
            }
        }
    }

    fn is_cut(&self) -> bool {
        self.there.borrow().cut || self.back.borrow().cut
    }

    /// Lets no connection come up until the link is whole: the queue for connections takes one, and this is it.
    async fn refuse(&mut self, listener: &TcpListener, address: SocketAddr) {
        let backlog = |size| rustix::net::listen(listener, size);
        let _ = backlog(0);
        let stopper = timeout(BACK_OFF, TcpStream::connect(address)).await;
        while self.is_cut() {
            tokio::select! {
                _ = self.there.changed() => {}
                _ = self.back.changed() => {}
            }
        }
        let own = match &stopper {
            Ok(Ok(stream)) => stream.local_addr().ok(),
            _ => None,
        };
        let _ = backlog(BACKLOG);
        drop(stopper);
        // Those that came up just before the cut are at its head: their callers call again, as after a lost handshake.
        while let Ok(Ok((stream, from))) = timeout(BACK_OFF, listener.accept()).await {
            reset(&stream);
            if Some(from) == own {
                break;
            }
        }
    }
}

/// The socket's connection ends with a reset when it is closed.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

struct Counted;

impl Counted {
    fn one() -> Counted {
        OPEN.fetch_add(1, Ordering::Relaxed);
        Counted
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        OPEN.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn carry(
    mut near: TcpStream,
    target: SocketAddr,
    source: Option<IpAddr>,
    (there, back): (watch::Receiver<Condition>, watch::Receiver<Condition>),
    mut rng: Pcg64Mcg,
) {
    let _counted = Counted::one();
    // A reset counts from here on, also while the onward connection is on its way.
    let (reset_there, reset_back) = (was_reset(there.clone()), was_reset(back.clone()));
    let Ok(Ok(mut far)) = timeout(CONNECT, connect(source, target)).await else {
        reset(&near);
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let [one, other] = [0; 2].map(|_| Pcg64Mcg::seed_from_u64(rng.random()));
    let broken = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let both = async {
            tokio::try_join!(
                pump(near_read, far_write, there, one),
                pump(far_read, near_write, back, other)
            )
        };
        tokio::select! {
            ended = both => ended.is_err(),
            () = reset_there => true,
            () = reset_back => true,
        }
    };
    if broken {
        // What breaks on one side breaks on the other.
        reset(&near);
        reset(&far);
    }
}

/// Waits for the next reset after this call.
fn was_reset(mut link: watch::Receiver<Condition>) -> impl Future<Output = ()> {
    let before = link.borrow().resets;
    async move {
        if link
            .wait_for(|condition| condition.resets > before)
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }
}

/// Passes one direction on. An end of the stream passes too, behind all bytes; an error breaks both directions.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut link: watch::Receiver<Condition>,
    mut rng: Pcg64Mcg,
) -> io::Result<()> {
    let (pieces, mut due) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
    let now = link.clone();
    let read = async move {
        let mut last = Instant::now();
        loop {
            let mut piece = vec![0; PIECE];
            let length = from.read(&mut piece).await?;
            piece.truncate(length);
            // What was sent later does not come earlier: these are bytes of one stream.
            last = now.borrow().due(&mut rng).max(last);
            if pieces.send((last, piece)).await.is_err() || length == 0 {
                return Ok::<(), io::Error>(());
            }
        }
    };
    let write = async move {
        while let Some((at, piece)) = due.recv().await {
            sleep_until(at).await;
            // A network that is closed holds nothing any more.
            let _ = link.wait_for(|condition| !condition.holds()).await;
            if piece.is_empty() {
                return to.shutdown().await;
            }
            to.write_all(&piece).await?;
        }
        Ok(())
    };
    tokio::try_join!(read, write).map(|_| ())
}

async fn datagrams(
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    link: watch::Receiver<Condition>,
    mut rng: Pcg64Mcg,
) {
    let room = Arc::new(Semaphore::new(DATAGRAMS));
    let mut buffer = vec![0; 65_536];
    let mut on_their_way = tokio::task::JoinSet::new();
    loop {
        while on_their_way.try_join_next().is_some() {}
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram found nobody: that says nothing of the next.
            continue;
        };
        let condition = *link.borrow();
        if condition.cut || rng.random_bool(condition.loss.clamp(0.0, 1.0)) {
            continue;
        }
        let copies = 1 + usize::from(rng.random_bool(condition.double.clamp(0.0, 1.0)));
        for _ in 0..copies {
            let Ok(room) = room.clone().try_acquire_owned() else {
                break;
            };
            let late = if rng.random_bool(condition.reorder.clamp(0.0, 1.0)) {
                OVERTAKEN
            } else {
                Duration::ZERO
            };
            let due = condition.due(&mut rng) + late;
            let plain = due <= Instant::now() && !condition.stall;
            let bytes = buffer[..length].to_vec();
            if plain {
                let _ = socket.send_to(&bytes, target).await;
                continue;
            }
            let (socket, mut link) = (socket.clone(), link.clone());
            on_their_way.spawn(async move {
                let _room = room;
                sleep_until(due).await;
                let _ = link.wait_for(|condition| !condition.stall).await;
                let _ = socket.send_to(&bytes, target).await;
            });
        }
    }
}
