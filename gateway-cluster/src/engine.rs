//! What an engine of the fleet's view is to its surroundings, be they sockets or a simulation.

/// Microseconds on a monotonic clock.
pub type Micros = u64;

/// A front door's place in the roster, whose names are sorted.
pub type Place = usize;

/// What one front door holds of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers, or was never doubted.
    Alive,
    /// It did not answer and may yet refute that.
    Suspect,
    /// It is counted as gone.
    Dead,
}

/// A datagram that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// To whom.
    pub to: Place,
    /// Its payload, without the headers of IP and UDP.
    pub bytes: Vec<u8>,
}

/// What a life of a front door is born with.
#[derive(Debug, Clone, Copy)]
pub struct Birth {
    /// Its place in the roster.
    pub me: Place,
    /// How many names the roster has.
    pub roster: usize,
    /// The wall clock at its start, in microseconds: later lives have later ones, unless the clock was set back.
    pub unix: Micros,
    /// The probe period.
    pub probe: Micros,
    /// What all of its chance follows from.
    pub seed: u64,
}

/// One life of a front door's view of the fleet.
pub trait Engine: Sized {
    /// A new life that knows the roster and nothing else.
    fn born(now: Micros, birth: Birth, sends: &mut Vec<Send>) -> Self;
    /// A datagram has come. Who sent it is for its content to say.
    fn receive(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<Send>);
    /// When [`Engine::wake`] is wanted, if ever.
    fn due(&self) -> Option<Micros>;
    /// It is due, or past that.
    fn wake(&mut self, now: Micros, sends: &mut Vec<Send>);
    /// The view: a state for each place of the roster.
    fn view(&self) -> Vec<State>;
    /// It goes, and may say so.
    fn leave(&mut self, _now: Micros, _sends: &mut Vec<Send>) {}
}
