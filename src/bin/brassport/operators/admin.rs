//! The operators' door: one line in, one answer out, on descriptors that clients do not compete for.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Most callers that are waited for. One more pushes out the one who has kept silent for the longest time.
pub const CALLERS: usize = 16;
/// Most bytes of a line, and the time that it may take to come.
const LINE_LIMIT: usize = 256;
const PATIENCE: Duration = Duration::from_secs(5);
/// How long the caller may take over the answer.
const LAST_WORDS: Duration = Duration::from_secs(2);
/// After a failed accept.
const BACK_OFF: Duration = Duration::from_millis(20);

/// A call.
#[derive(Debug, PartialEq, Eq)]
pub enum Call<'a> {
    Status,
    Stats,
    Cost,
    Fleet,
    TakeOut(&'a str),
    GiveBack(&'a str),
    Standby,
    Active,
}

/// What carries a call out. The answer is its whole text.
pub trait Operations {
    fn carry_out(&self, call: Call<'_>) -> impl Future<Output = Result<String, String>>;
}

/// Answers callers for ever.
pub async fn serve(listener: TcpListener, operations: Rc<impl Operations + 'static>) {
    let mut callers: VecDeque<oneshot::Sender<()>> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Guards against a spin where the system is out of descriptors or the like.
                warn!(event = "operators_door", %error, "operators' door: {error}");
                sleep(BACK_OFF).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.is_closed());
        while callers.len() >= CALLERS {
            callers.pop_front();
        }
        let (stay, pushed_out) = oneshot::channel();
        callers.push_back(stay);
        let operations = operations.clone();
        spawn_local(async move {
            tokio::select! {
                biased;
                answered = answer(stream, &*operations) => drop(answered),
                _ = pushed_out => {}
            }
        });
    }
}

async fn answer(mut stream: TcpStream, operations: &impl Operations) -> io::Result<()> {
    let answer = match timeout(PATIENCE, read_line(&mut stream)).await {
        Ok(Ok(Some(line))) => match parse(&line) {
            Ok(call) => operations.carry_out(call).await.unwrap_or_else(|problem| format!("error {problem}")),
            Err(problem) => format!("error {problem}"),
        },
        // The caller has gone without a word.
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
            format!("error the line is longer than {LINE_LIMIT} bytes")
        }
        Ok(Err(error)) => return Err(error),
        Err(_) => "error no whole line came".into(),
    };
    let written = async {
        stream.write_all(format!("{answer}\n").as_bytes()).await?;
        stream.shutdown().await?;
        // Guards against a reset that overtakes the answer, as what came behind the line was never read.
        let mut rest = [0; LINE_LIMIT];
        while stream.read(&mut rest).await? > 0 {}
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

fn parse(line: &[u8]) -> Result<Call<'_>, &'static str> {
    let line = std::str::from_utf8(line).map_err(|_| "the line is no UTF-8")?;
    let mut words = line.split_ascii_whitespace();
    let name = words.next().ok_or("the line is empty")?;
    let (id, more) = (words.next(), words.next());
    let call = match (name, id) {
        ("status", None) => Call::Status,
        ("stats", None) => Call::Stats,
        ("cost", None) => Call::Cost,
        ("fleet", None) => Call::Fleet,
        ("standby", None) => Call::Standby,
        ("active", None) => Call::Active,
        ("maint-on", Some(id)) => Call::TakeOut(id),
        ("maint-off", Some(id)) => Call::GiveBack(id),
        ("maint-on" | "maint-off", None) => return Err("the backend's ID is missing"),
        ("status" | "stats" | "cost" | "fleet" | "standby" | "active", Some(_)) => {
            return Err("too many words")
        }
        _ => {
            return Err(
                "unknown call: status, stats, cost, fleet, maint-on ID, maint-off ID, standby, active",
            )
        }
    };
    if more.is_some() {
        return Err("too many words");
    }
    Ok(call)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_whole_calls_are_calls() {
        assert_eq!(parse(b"status\r"), Ok(Call::Status));
        assert_eq!(parse(b"maint-on s-1"), Ok(Call::TakeOut("s-1")));
        assert_eq!(parse(b" maint-off  s-1 "), Ok(Call::GiveBack("s-1")));
        assert_eq!(parse(b"cost"), Ok(Call::Cost));
        assert_eq!(parse(b"fleet"), Ok(Call::Fleet));
        let wrong: [&[u8]; 10] = [
            b"",
            b" \r",
            b"STATUS",
            b"status now",
            b"cost all",
            b"fleet n1",
            b"maint-on",
            b"maint-off a b",
            b"\xff\xfe",
            b"stat\0us",
        ];
        for line in wrong {
            assert!(parse(line).is_err(), "{line:?}");
        }
    }
}
