//! Options of the sockets between the tier's processes: a peer that has gone without a word is noticed.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Bytes that the peer's machine has not acknowledged for so long end the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A connection without traffic is probed after so long, so often.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Sets the options of a connection to or from a peer.
pub(super) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}
