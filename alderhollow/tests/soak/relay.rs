//! A relay in front of a stand-in or of a gateway: passes bytes, breaks its connections, or loses what comes back.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const BUFFER_BYTES: usize = 16 << 10;

/// What a relay does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayMode {
    /// Passes all bytes.
    Pass,
    /// Breaks all connections, and takes new ones only to break them.
    Cut,
    /// Passes requests, and loses what is answered.
    LoseAnswers,
}

/// A relay that listens until it is dropped.
pub(crate) struct Relay {
    address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Relays connections at `address` to `upstream`.
    pub(crate) async fn start(address: SocketAddr, upstream: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(RelayMode::Pass);
        let task = tokio::task::spawn_local(accept(listener, upstream, modes));
        Ok(Relay {
            address,
            mode,
            task,
        })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has it do something else from now on.
    pub(crate) fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, upstream: SocketAddr, modes: watch::Receiver<RelayMode>) {
    while let Ok((client, _)) = listener.accept().await {
        let modes = modes.clone();
        tokio::task::spawn_local(async move {
            // The end of a connection is no news: both sides see it.
            let _ = pass(client, upstream, modes).await;
        });
    }
}

/// Passes bytes until either side ends or the relay is cut.
async fn pass(
    mut client: TcpStream,
    upstream: SocketAddr,
    mut modes: watch::Receiver<RelayMode>,
) -> io::Result<()> {
    if *modes.borrow_and_update() == RelayMode::Cut {
        return Ok(());
    }
    let mut server = TcpStream::connect(upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let mut request = vec![0; BUFFER_BYTES];
    let mut answer = vec![0; BUFFER_BYTES];
    // Once a part of an answer is lost, what follows must not reach the client behind the gap.
    let mut has_lost = false;
    loop {
        tokio::select! {
            changed = modes.changed() => {
                if changed.is_err() || *modes.borrow_and_update() == RelayMode::Cut {
                    return Ok(());
                }
            }
            read = client.read(&mut request) => match read? {
                0 => return Ok(()),
                count => server.write_all(&request[..count]).await?,
            },
            read = server.read(&mut answer) => {
                let count = read?;
                has_lost |= *modes.borrow() == RelayMode::LoseAnswers;
                match count {
                    0 => return Ok(()),
                    _ if has_lost => {}
                    count => client.write_all(&answer[..count]).await?,
                }
            }
        }
    }
}
