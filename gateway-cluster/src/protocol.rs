//! What an engine of the cluster's view is to its surroundings, be they sockets or a simulation.

use crate::peers::PeerId;

/// Microseconds on a monotonic clock.
pub type Micros = u64;

/// A gateway's place in the peer set, whose names are sorted.
pub type PeerIndex = usize;

/// What one gateway holds of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// It answers, or was never doubted.
    Alive,
    /// It did not answer and may yet refute that.
    Suspect,
    /// It is counted as gone.
    Dead,
}

/// A datagram that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transmit<To = PeerId> {
    /// The peer that it is for.
    pub to: To,
    /// Its payload, without the headers of IP and UDP.
    pub bytes: Vec<u8>,
}

/// A datagram of the membership protocol, which addresses peers by their index in the peer set.
pub type IndexedTransmit = Transmit<PeerIndex>;

/// What a life of a gateway is born with.
#[derive(Debug, Clone, Copy)]
pub struct StartOptions {
    /// Its place in the peer set.
    pub own_index: PeerIndex,
    /// How many names the peer set has.
    pub peer_count: usize,
    /// The wall clock at its start, in microseconds: later lives have later ones, unless the clock was set back.
    pub unix_us: Micros,
    /// The probe period.
    pub probe_period: Micros,
    /// What all of its chance follows from.
    pub seed: u64,
}

/// One life of a gateway's view of the cluster.
pub trait Protocol: Sized {
    /// A new life that knows the peer set and nothing else.
    fn start(now: Micros, options: StartOptions, sends: &mut Vec<IndexedTransmit>) -> Self;
    /// A datagram has come. Who sent it is for its content to say.
    fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<IndexedTransmit>);
    /// When [`Protocol::on_timer`] is wanted, if ever.
    fn next_wakeup(&self) -> Option<Micros>;
    /// It is due, or past that.
    fn on_timer(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>);
    /// The view: a state for each place of the peer set.
    fn view(&self) -> Vec<PeerState>;
    /// It goes, and may say so.
    fn leave(&mut self, _now: Micros, _sends: &mut Vec<IndexedTransmit>) {}
}
