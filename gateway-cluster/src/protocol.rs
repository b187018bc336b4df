//! The interface between a membership protocol and its driver, which is either a socket loop or the simulation: units of
//! time, outgoing datagrams, and the [`Protocol`] trait that the simulation runs.

use crate::peers::PeerId;
pub use crate::peers::PeerIndex;

/// Microseconds on a monotonic clock.
pub type Micros = u64;

/// The state of one gateway in the membership of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// It answers health checks, or was never suspected.
    Alive,
    /// It missed a health check; the suspicion can still be refuted.
    Suspect,
    /// Its suspicion expired without a refutation, or it left.
    Dead,
}

/// A datagram for the driver to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transmit<To = PeerId> {
    /// The receiver.
    pub to: To,
    /// The payload, without the headers of IP and UDP.
    pub bytes: Vec<u8>,
}

/// A datagram of the membership protocol, which addresses peers by their index in the peer set.
pub type IndexedTransmit = Transmit<PeerIndex>;

/// Parameters of one incarnation of a simulated gateway.
#[derive(Debug, Clone, Copy)]
pub struct StartOptions {
    /// This gateway's index in the peer set.
    pub own_index: PeerIndex,
    /// Number of names in the peer set.
    pub peer_count: usize,
    /// Wall clock at the start, in microseconds since 1970. A later incarnation has a later one, unless the clock was set
    /// back.
    pub unix_us: Micros,
    /// The period of SWIM's health checks.
    pub probe_period: Micros,
    /// Seed of all random numbers of this incarnation.
    pub seed: u64,
}

/// A membership protocol at one gateway, for one incarnation of it.
pub trait Protocol: Sized {
    /// Starts a new incarnation, which knows only the names of the peer set.
    fn start(now: Micros, options: StartOptions, sends: &mut Vec<IndexedTransmit>) -> Self;
    /// Handles a received datagram. The sender is identified by the datagram's content.
    fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<IndexedTransmit>);
    /// When [`Protocol::on_timer`] is to be called next, if at all.
    fn next_wakeup(&self) -> Option<Micros>;
    /// Runs the timers that are due.
    fn on_timer(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>);
    /// The state of each peer, by index in the peer set.
    fn view(&self) -> Vec<PeerState>;
    /// Shuts down; the protocol may announce it to others.
    fn leave(&mut self, _now: Micros, _sends: &mut Vec<IndexedTransmit>) {}
}
