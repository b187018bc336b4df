//! The operators' door: one line in, one answer out, on descriptors that clients do not compete for.

use crate::clients::phase::PhaseError;
use crate::cluster::ClusterError;
use crate::errors::text;
use crate::operators::bans::BanError;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now, JoinHandle};
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Most callers that are waited for. One more pushes out the one who has kept silent for the longest time, and is
/// taken in once that one's descriptor is free.
pub(crate) const CALLERS: usize = 16;
/// Most bytes of a line, and the time that it may take to come.
const LINE_LIMIT: usize = 256;
const PATIENCE: Duration = Duration::from_secs(5);
/// How long the caller may take over the answer, and most bytes behind the line that are read meanwhile.
const LAST_WORDS: Duration = Duration::from_secs(2);
const REST_LIMIT: usize = 1 << 20;
/// After a failed accept.
const BACK_OFF: Duration = Duration::from_millis(20);

/// A call.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Call<'a> {
    Status,
    Stats,
    Cost,
    Cluster,
    Owner,
    Shards,
    /// What is known of this customer's sessions.
    Session(&'a str),
    TakeOut(&'a str),
    GiveBack(&'a str),
    Standby,
    Active,
}

/// Why a call is not carried out, or not even taken.
#[derive(Error, Debug)]
pub(crate) enum CallError {
    #[error("the line is no UTF-8; send plain words")]
    NotUtf8,
    #[error("the line is empty; send the name of a call")]
    Empty,
    #[error("the line is longer than {LINE_LIMIT} bytes; send one call on it and nothing else")]
    TooLong,
    #[error("no whole line came; send the call at once, with a line's end")]
    NoLine,
    #[error("too many words; send the call's name, and an ID only where it takes one")]
    TooManyWords,
    #[error("the backend's ID is missing; send it behind the call's name, as the list has it")]
    NoBackendId,
    #[error("the customer's ID is missing; send it behind the call's name, as the cookie has it")]
    NoCustomerId,
    #[error(
        "unknown call: status, stats, cost, fleet, maint-on ID, maint-off ID, standby, active, owner, shards, session \
         ID; send one of these"
    )]
    Unknown,
    #[error("operators' door: {}; look for descriptors under cost, and raise limits.sockets if they run out", text(.0))]
    Accept(io::Error),
    #[error("this process has not taken over yet; wait for the one before it, and ask again")]
    NotTakenOver,
    #[error("no backend to send to; check that discovery answers and lists backends that take connections")]
    NoBackend,
    #[error("the configuration has no key 'fleet'; set it and start the process again if it is to know the others")]
    NoFleet,
    #[error("no owner here: the configuration has no fleet.lease_ms; set it at every front door and start them again")]
    NoOwner,
    #[error("no shards here: the configuration has no fleet.shards; set it at every front door and start them again")]
    NoShards,
    #[error(
        "no sessions here: the configuration has no fleet.sessions; set it at every front door and start them again"
    )]
    NoSessions,
    #[error(transparent)]
    Phase(#[from] PhaseError),
    #[error(transparent)]
    Ban(#[from] BanError),
    #[error(transparent)]
    Cluster(#[from] ClusterError),
}

/// What carries a call out. The answer is its whole text.
pub(crate) trait Operations {
    fn carry_out(&self, call: Call<'_>) -> impl Future<Output = Result<String, CallError>>;
}

/// A caller that is waited for. It is told to go by the end of `stay`.
struct Caller {
    stay: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// Answers callers for ever.
pub(crate) async fn serve(listener: TcpListener, operations: Rc<impl Operations + 'static>) {
    let mut callers: VecDeque<Caller> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Guards against a spin where the system is out of descriptors or the like.
                let cause = error.to_string();
                let problem = CallError::Accept(error);
                warn!(event = "operators_door", error = cause, "{problem}");
                sleep(BACK_OFF).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.task.is_finished());
        while callers.len() >= CALLERS {
            let Some(Caller { stay, task }) = callers.pop_front() else {
                break;
            };
            drop(stay);
            // Guards against a burst that would have more descriptors than are set aside.
            let _ = task.await;
        }
        let (stay, pushed_out) = oneshot::channel::<()>();
        let operations = operations.clone();
        let task = spawn_local(async move {
            tokio::select! {
                biased;
                answered = answer(stream, &*operations) => drop(answered),
                () = async {
                    let _ = pushed_out.await;
                    // The system is asked once more before: a line that is there already is answered.
                    yield_now().await;
                } => {}
            }
        });
        callers.push_back(Caller { stay, task });
    }
}

async fn answer(mut stream: TcpStream, operations: &impl Operations) -> io::Result<()> {
    let answer = match timeout(PATIENCE, read_line(&mut stream)).await {
        Ok(Ok(Some(line))) => match parse(&line) {
            Ok(call) => operations.carry_out(call).await,
            Err(problem) => Err(problem),
        },
        // The caller has gone without a word.
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidData => Err(CallError::TooLong),
        Ok(Err(error)) => return Err(error),
        Err(_) => Err(CallError::NoLine),
    };
    let answer = answer.unwrap_or_else(|problem| format!("error {problem}"));
    let written = async {
        stream.write_all(format!("{answer}\n").as_bytes()).await?;
        stream.shutdown().await?;
        // Guards against a reset that overtakes the answer, as what came behind the line was never read.
        // One that never ends is owed no more.
        let mut rest = stream.take(REST_LIMIT as u64);
        while rest.read(&mut [0; LINE_LIMIT]).await? > 0 {}
        Ok(())
    };
    timeout(LAST_WORDS, written).await.unwrap_or(Ok(()))
}

/// The bytes up to the line's end, or to the end of what the caller sends; `None` if that is nothing.
async fn read_line(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::with_capacity(LINE_LIMIT);
    let mut piece = [0; LINE_LIMIT];
    loop {
        let length = stream.read(&mut piece).await?;
        if let Some(end) = piece[..length].iter().position(|byte| *byte == b'\n') {
            line.extend_from_slice(&piece[..end]);
            return if line.len() > LINE_LIMIT {
                Err(io::ErrorKind::InvalidData.into())
            } else {
                Ok(Some(line))
            };
        }
        line.extend_from_slice(&piece[..length]);
        if line.len() > LINE_LIMIT {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if length == 0 {
            return Ok(Some(line).filter(|line| !line.is_empty()));
        }
    }
}

fn parse(line: &[u8]) -> Result<Call<'_>, CallError> {
    let line = std::str::from_utf8(line).map_err(|_| CallError::NotUtf8)?;
    let mut words = line.split_ascii_whitespace();
    let name = words.next().ok_or(CallError::Empty)?;
    let (id, more) = (words.next(), words.next());
    let call = match (name, id) {
        ("status", None) => Call::Status,
        ("stats", None) => Call::Stats,
        ("cost", None) => Call::Cost,
        ("fleet", None) => Call::Cluster,
        ("owner", None) => Call::Owner,
        ("shards", None) => Call::Shards,
        ("standby", None) => Call::Standby,
        ("active", None) => Call::Active,
        ("maint-on", Some(id)) => Call::TakeOut(id),
        ("maint-off", Some(id)) => Call::GiveBack(id),
        ("session", Some(id)) => Call::Session(id),
        ("maint-on" | "maint-off", None) => return Err(CallError::NoBackendId),
        ("session", None) => return Err(CallError::NoCustomerId),
        (
            "status" | "stats" | "cost" | "fleet" | "owner" | "shards" | "standby" | "active",
            Some(_),
        ) => return Err(CallError::TooManyWords),
        _ => return Err(CallError::Unknown),
    };
    if more.is_some() {
        return Err(CallError::TooManyWords);
    }
    Ok(call)
}

#[cfg(test)]
mod tests;
