//! How one process takes over from another: a Unix socket in the folder that both share, over which the
//! listening socket goes, then what the first one knows, and last what it still has in hand.
//!
//! The listening socket itself changes hands: there is one queue all the time, and no close resets what waits in it.

use crate::backends::discovery::{List, Target};
use crate::clients::phase::{Phase, PhaseControl};
use crate::door::Door;
use crate::errors::text;
use crate::life::config::Names;
use alderhollow_dataplane::link::SOCKET_BUFFER_BYTES;
use quota_gateway::{CustomerId, HandoverState};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::future::Future;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

const NAME: &str = "handover.sock";
/// Most bytes of a socket's path, with its end.
const PATH_LIMIT: usize = 108;
/// How long either side may take over a step that needs no wait.
const STEP: Duration = Duration::from_millis(1000);
/// How long a successor may take until it could serve.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// How long a successor waits for a backend to send to before it takes over all the same.
const SERVES_WITHIN: Duration = Duration::from_secs(8);
/// Most that may be on their way to take over. One of them does; the others may be anything that opened the socket.
const SUCCESSORS: usize = 4;
/// The word by which one does, and most bytes of a message: no process has room for more.
const TAKE: &[u8] = b"take\n";
const MESSAGE_LIMIT: u64 = 64 << 20;
/// How often the first tells the second what it has out.
const TELL: Duration = Duration::from_millis(10);
/// After a failed accept.
const BACK_OFF: Duration = Duration::from_millis(200);
/// Clients whose connections the system keeps until they are accepted.
const BACKLOG: i32 = 1024;

/// Why one process does not take over from another. Clients are served all the same, by the one or by both.
#[derive(Error, Debug)]
pub(crate) enum HandoverError {
    #[error(
        "it listens at another address, {listens}; set one address for both, or a $TMPDIR for each"
    )]
    OtherAddress { listens: SocketAddr },
    #[error("no listening socket came; check that it is a front door of this version, and start the second one again")]
    NoSocket,
    #[error(
        "no room for a descriptor; start the second process again with the version of the first"
    )]
    NoRoom,
    #[error(
        "it did not answer in time; check that it lives and is not stopped, and start the second one again"
    )]
    Late,
    #[error("it ended before it was done; look at its log, and start the second one again")]
    Gone,
    #[error("what it said makes no sense: {}; start the second process with the version of the first", text(.0))]
    Malformed(#[from] serde_json::Error),
    #[error("the system refuses: {}; check $TMPDIR and this user's limit on descriptors, and start the second process again", text(.0))]
    System(io::Error),
}

impl From<io::Error> for HandoverError {
    fn from(error: io::Error) -> HandoverError {
        match error.kind() {
            io::ErrorKind::UnexpectedEof => HandoverError::Gone,
            // What a socket says whose time to read is over.
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => HandoverError::Late,
            _ => HandoverError::System(error),
        }
    }
}

impl From<Elapsed> for HandoverError {
    fn from(_: Elapsed) -> HandoverError {
        HandoverError::Late
    }
}

/// What the first process says with its listening socket.
#[derive(Serialize, Deserialize)]
pub(crate) struct Introduction {
    /// Unix time at which its clock began, in milliseconds: both go by one clock.
    pub epoch: f64,
    pub targets: Vec<Target>,
    /// Whether staff have clients sent away.
    pub standby: bool,
    /// A version that does not tell it goes by what its successor has.
    #[serde(default)]
    numbers: Option<Numbers>,
}

/// The names of what a process speaks of by number, each at its number.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Numbers {
    classes: Vec<String>,
    plans: Vec<String>,
}

impl Numbers {
    pub(crate) fn of(names: &Names) -> Numbers {
        Numbers {
            classes: names.classes.clone(),
            plans: names.plans.clone(),
        }
    }
    /// Whether each number stands for the same in `other`, which may have further plans.
    fn hold_in(&self, other: &Numbers) -> bool {
        self.classes == other.classes && other.plans.starts_with(&self.plans)
    }
}

/// The second process's way to the first.
pub(crate) struct Predecessor {
    pub introduction: Introduction,
    stream: BufReader<UnixStream>,
}

/// Listens for clients. Another process that does so at the same address is no obstacle.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    // The connections that it accepts take these over.
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES as usize)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES as usize)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// The path of a file in a folder, short enough for a socket's name however long the folder's is.
fn short(shared: &Path, folder: &File, name: &str) -> PathBuf {
    let path = shared.join(name);
    if path.as_os_str().len() < PATH_LIMIT {
        return path;
    }
    PathBuf::from(format!("/proc/self/fd/{}/{name}", folder.as_raw_fd()))
}

/// Asks the running process, if there is one, for its listening socket. `None` if there is none, or if it does not answer.
pub(crate) async fn join(shared: &Path, address: SocketAddr) -> Option<(TcpListener, Predecessor)> {
    let folder = File::open(shared).ok()?;
    let connecting = UnixStream::connect(short(shared, &folder, NAME));
    let stream = timeout(STEP, connecting).await.ok()?.ok()?;
    let joining = async {
        let listener = receive(&stream).await?;
        let listens = listener.local_addr()?;
        if listens != address {
            return Err(HandoverError::OtherAddress { listens });
        }
        listener.set_nonblocking(true)?;
        let mut stream = BufReader::new(stream);
        let introduction = read(&mut stream).await?.ok_or(HandoverError::Gone)?;
        Ok((
            listener,
            Predecessor {
                introduction,
                stream,
            },
        ))
    };
    let joined = timeout(STEP, joining)
        .await
        .unwrap_or_else(|late| Err(late.into()));
    joined
        .map_err(|error: HandoverError| {
            warn!(event = "not_joined", %error, "the running process cannot be joined: {error}");
        })
        .ok()
}

async fn receive(stream: &UnixStream) -> Result<TcpListener, HandoverError> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let message = || {
        let mut byte = [0];
        let mut bytes = [IoSliceMut::new(&mut byte)];
        Ok(recvmsg(
            stream,
            &mut bytes,
            &mut control,
            RecvFlags::CMSG_CLOEXEC,
        )?)
    };
    stream.async_io(Interest::READABLE, message).await?;
    let fds = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(fds) => Some(fds.collect::<Vec<OwnedFd>>()),
        _ => None,
    });
    let fd = fds.flatten().next().ok_or(HandoverError::NoSocket)?;
    Ok(TcpListener::from(fd))
}

async fn send(stream: &UnixStream, listener: &TcpListener) -> Result<(), HandoverError> {
    stream.writable().await?;
    let fds = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !control.push(SendAncillaryMessage::ScmRights(&fds)) {
        return Err(HandoverError::NoRoom);
    }
    sendmsg(
        stream,
        &[IoSlice::new(b"L")],
        &mut control,
        SendFlags::empty(),
    )
    .map_err(io::Error::from)?;
    Ok(())
}

impl Predecessor {
    /// Takes over: from here on clients are this process's. What the first one knows is left alone where its numbers
    /// stand for something else here: a customer would have what is another plan's.
    pub(crate) async fn take_over(
        &mut self,
        door: &Rc<Door>,
        numbers: &Numbers,
    ) -> Result<(), HandoverError> {
        let taken = async {
            self.stream.get_mut().write_all(TAKE).await?;
            read::<HandoverState>(&mut self.stream).await
        };
        let state = timeout(STEP, taken).await??;
        let state = state.ok_or(HandoverError::Gone)?;
        if self
            .introduction
            .numbers
            .as_ref()
            .is_none_or(|theirs| theirs.hold_in(numbers))
        {
            door.take_over(state);
        } else {
            warn!(
                event = "other_names",
                "the first process has other classes or plans, or in another order: quotas start anew"
            );
        }
        Ok(())
    }

    /// Waits until this process is `ready` to serve, but for no longer than clients can wait, and not at all once the
    /// first process has gone: it says nothing before it is asked to hand over.
    pub(crate) async fn wait(&mut self, ready: impl Future) {
        tokio::select! {
            _ = self.stream.fill_buf() => {}
            _ = timeout(SERVES_WITHIN, ready) => {}
        }
    }

    /// Follows what the first process has out until it has ended. If this one is to end before, clients are the first
    /// one's again as soon as this one takes no more, and not only when the last answer here is over.
    pub(crate) async fn follow(mut self, door: Rc<Door>, phase_control: Rc<PhaseControl>) {
        let mut phase = phase_control.watch();
        let closing = async {
            let left = phase
                .wait_for(|phase| matches!(phase, Phase::HandedOver | Phase::Closing))
                .await;
            // Where a third process has clients, they are not to go back.
            if !left.is_ok_and(|phase| *phase == Phase::Closing) {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = hear(&mut self.stream, &door) => {}
            // What the first one said before it heard of it changes nothing.
            () = closing => while tell(&mut self.stream, &door).await.is_some() {},
        }
    }
}

/// Follows what the other process has out, until it has ended.
async fn hear(stream: &mut BufReader<UnixStream>, door: &Rc<Door>) {
    while let Ok(Some(open)) = read::<BTreeMap<CustomerId, u32>>(stream).await {
        door.elsewhere(open);
    }
    door.elsewhere(BTreeMap::new());
}

/// Tells the other process what this one has out, until the other says something, or is gone.
async fn tell(stream: &mut BufReader<UnixStream>, door: &Rc<Door>) -> Option<Vec<u8>> {
    let (mut told, mut said) = (None, Vec::new());
    loop {
        let open = door.open();
        if told.as_ref() != Some(&open) {
            write(stream, &open).await.ok()?;
            told = Some(open);
        }
        // What came of a line by the end of this time is kept in `said`.
        let whole = timeout(TELL, stream.read_until(b'\n', &mut said)).await;
        if whole.is_ok() || said.len() as u64 > MESSAGE_LIMIT {
            return Some(said).filter(|said| !said.is_empty());
        }
    }
}

/// One message, a line of JSON; `None` once the other side has gone.
async fn read<T: DeserializeOwned>(
    stream: &mut BufReader<UnixStream>,
) -> Result<Option<T>, HandoverError> {
    let line = line(stream, MESSAGE_LIMIT).await?;
    // A line without an end was cut off: there is no more to come.
    if !line.ends_with(b"\n") && (line.len() as u64) < MESSAGE_LIMIT {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(&line)?))
}

/// The bytes up to a line's end, so many at the most: it may be anything that speaks there.
async fn line(stream: &mut BufReader<UnixStream>, most: u64) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    stream.take(most).read_until(b'\n', &mut line).await?;
    Ok(line)
}

async fn write(
    stream: &mut BufReader<UnixStream>,
    message: &impl Serialize,
) -> Result<(), HandoverError> {
    let line = serde_json::to_string(message)? + "\n";
    Ok(stream.get_mut().write_all(line.as_bytes()).await?)
}

/// Waits for successors, for as long as this process runs. `listener` is what a successor is handed.
pub(crate) async fn host(
    shared: PathBuf,
    listener: TcpListener,
    numbers: Numbers,
    door: Rc<Door>,
    phase_control: Rc<PhaseControl>,
) {
    let (listener, numbers) = (Rc::new(listener), Rc::new(numbers));
    // A successor may have put its own socket in this one's place: each time it is bound anew.
    let mut past = None;
    loop {
        let bound = bind(&shared);
        // Who sees that it serves again finds the socket there.
        if let Some((stream, open)) = past.take() {
            go_on(stream, open, &door, &phase_control);
        }
        let socket = match bound {
            Ok(socket) => socket,
            Err(error) => {
                warn!(event = "no_successor", %error, "no second process can take over: {error}");
                return;
            }
        };
        let mut coming = JoinSet::new();
        while past.is_none() {
            tokio::select! {
                accepted = socket.accept(), if coming.len() < SUCCESSORS => match accepted {
                    Ok((stream, _)) => {
                        let (door, phase_control) = (door.clone(), phase_control.clone());
                        let (listener, numbers) = (listener.clone(), numbers.clone());
                        coming.spawn_local(introduce(BufReader::new(stream), listener, numbers, door, phase_control));
                    }
                    // Guards against a spin where the system is out of descriptors or the like.
                    Err(_) => sleep(BACK_OFF).await,
                },
                Some(Ok(introduced)) = coming.join_next() => match introduced {
                    Ok(mut stream) => {
                        coming.shutdown().await;
                        let open = hand_over(&mut stream, &door, &phase_control).await;
                        past = Some((stream, open));
                    }
                    Err(error) => {
                        warn!(event = "successor_left", %error, "a second process came and went: {error}");
                    }
                },
            }
        }
    }
}

/// Another that stood there, alive or dead, is replaced whole.
fn bind(shared: &Path) -> Result<UnixListener, HandoverError> {
    let folder = File::open(shared)?;
    let own = format!("{NAME}.{}", std::process::id());
    let _ = std::fs::remove_file(shared.join(&own));
    let socket = UnixListener::bind(short(shared, &folder, &own))?;
    std::fs::rename(shared.join(&own), shared.join(NAME))?;
    Ok(socket)
}

/// Hands out the listening socket, and waits until the second process could serve.
async fn introduce(
    mut stream: BufReader<UnixStream>,
    listener: Rc<TcpListener>,
    numbers: Rc<Numbers>,
    door: Rc<Door>,
    phase_control: Rc<PhaseControl>,
) -> Result<BufReader<UnixStream>, HandoverError> {
    timeout(STEP, send(stream.get_ref(), &listener)).await??;
    let (epoch, targets, standby) = (door.epoch(), door.targets(), phase_control.stands_by());
    let introduction = Introduction {
        epoch,
        targets,
        standby,
        numbers: Some((*numbers).clone()),
    };
    timeout(STEP, write(&mut stream, &introduction)).await??;
    if timeout(READY_WITHIN, line(&mut stream, TAKE.len() as u64)).await?? != TAKE {
        return Err(HandoverError::Gone);
    }
    Ok(stream)
}

/// Hands over, and tells what is still out until the end of this process. If the other one ends before, or says that it
/// will, this one is to go on: what the other has out is returned.
async fn hand_over(
    stream: &mut BufReader<UnixStream>,
    door: &Rc<Door>,
    phase_control: &Rc<PhaseControl>,
) -> Option<BTreeMap<CustomerId, u32>> {
    phase_control.hand_over();
    // The connections that are idle close now, before the other process opens the door.
    tokio::task::yield_now().await;
    info!(event = "handed_over", "a second process takes over");
    let state = door.hand_over();
    timeout(STEP, write(stream, &state)).await.ok()?.ok()?;
    serde_json::from_slice(&tell(stream, door).await?).ok()
}

/// Takes clients again, as before, and follows what the other process has out if it told.
fn go_on(
    mut stream: BufReader<UnixStream>,
    open: Option<BTreeMap<CustomerId, u32>>,
    door: &Rc<Door>,
    phase_control: &Rc<PhaseControl>,
) {
    warn!(
        event = "successor_gone",
        "the second process is gone: this one goes on"
    );
    door.alone();
    phase_control.resume();
    if let Some(open) = open {
        door.elsewhere(open);
        let door = door.clone();
        spawn_local(async move { hear(&mut stream, &door).await });
    }
}

/// The list as the first process has it.
pub(crate) fn as_list(targets: Vec<Target>) -> List {
    List {
        rev: 0,
        all: true,
        targets,
    }
}

#[cfg(test)]
mod tests;
