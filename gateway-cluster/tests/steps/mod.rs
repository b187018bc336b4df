//! A simulated cluster whose invariants are checked every few milliseconds.

use gateway_cluster::protocol::{Micros, Protocol};
use gateway_cluster::sim::Sim;

/// Time between two checks, in microseconds.
const STEP: Micros = 5_000;

/// A cluster with invariants that hold at each step.
pub(crate) trait Watched {
    /// The protocol of a simulated gateway.
    type Door: Protocol;

    /// The simulation.
    fn sim(&mut self) -> &mut Sim<Self::Door>;

    /// Checks all invariants.
    fn look(&mut self);

    /// Runs for this time.
    fn run(&mut self, time: Micros) {
        self.until(time, |_| false);
    }

    /// Runs until a condition is true. Returns the elapsed time, or `None` after a time-out.
    fn until(&mut self, timeout: Micros, condition: impl Fn(&mut Self) -> bool) -> Option<Micros> {
        let started_at = self.sim().now();
        while self.sim().now() < started_at + timeout {
            if condition(self) {
                return Some(self.sim().now() - started_at);
            }
            let next = self.sim().now() + STEP;
            self.sim().run_until(next);
            self.look();
        }
        condition(self).then_some(self.sim().now() - started_at)
    }
}
