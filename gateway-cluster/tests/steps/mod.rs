//! A simulated cluster that is looked at every few milliseconds, whatever it is waited for.

use gateway_cluster::protocol::{Micros, Protocol};
use gateway_cluster::sim::Sim;

/// From one look to the next.
const STEP: Micros = 5_000;

/// A cluster with what has to hold of it at each step.
pub trait Watched {
    /// The simulated gateway.
    type Door: Protocol;

    fn sim(&mut self) -> &mut Sim<Self::Door>;

    /// Looks at all invariants.
    fn look(&mut self);

    fn run(&mut self, time: Micros) {
        self.until(time, |_| false);
    }

    /// Goes on until something holds. Returns how long that took, or `None` if it did not come in time.
    fn until(&mut self, time: Micros, holds: impl Fn(&mut Self) -> bool) -> Option<Micros> {
        let began = self.sim().now();
        while self.sim().now() < began + time {
            if holds(self) {
                return Some(self.sim().now() - began);
            }
            let next = self.sim().now() + STEP;
            self.sim().run_until(next);
            self.look();
        }
        holds(self).then_some(self.sim().now() - began)
    }
}
