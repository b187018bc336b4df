//! Primary-backup replication of a small state, with witnesses that decide failover (`docs/serving-tier.md`).

pub mod interface;
pub mod message;
pub mod settings;

use interface::{
    Epoch, Input, Member, Millis, Output, Recovered, RecoveryError, Role, StateMachine, Version,
};
use settings::Settings;

/// A member of the core.
pub struct Replica<S: StateMachine> {
    me: Member,
    state: S,
}

impl<S: StateMachine> Replica<S> {
    /// A member with what its disk holds. `state` is the empty state.
    pub fn open(
        settings: Settings,
        recovered: Recovered,
        state: S,
        now: Millis,
    ) -> Result<Self, RecoveryError> {
        let _ = (recovered, now);
        let me =
            Member { id: settings.seed, node: settings.node, zone: settings.zone, contact: settings.contact };
        Ok(Replica { me, state })
    }

    /// Takes in what happened and gives what is to be done, in order.
    pub fn handle(&mut self, now: Millis, input: Input, outputs: &mut Vec<Output>) {
        let _ = (now, input, outputs);
    }

    /// This member, as others are to reach it.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// The committed state as this member knows it: the newest one only on the primary under its lease.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Version of [`Replica::state`].
    pub fn version(&self) -> Version {
        0
    }

    /// The newest epoch that this member knows.
    pub fn epoch(&self) -> Epoch {
        0
    }

    /// This member's part.
    pub fn role(&self) -> Role {
        Role::Outside
    }

    /// It is the primary, and nobody else is at this moment. To be asked at the moment of use.
    pub fn holds_lease(&self, now: Millis) -> bool {
        now < self.lease_until()
    }

    /// End of the lease; 0: none.
    pub fn lease_until(&self) -> Millis {
        0
    }

    /// The primary, as far as known: a hint for those who look for it.
    pub fn primary(&self) -> Option<&Member> {
        None
    }

    /// All members, as far as known.
    pub fn members(&self) -> &[Member] {
        &[]
    }

    /// It is no member, and neither founds nor knows a core that it belongs to: the host is to ask the primary again
    /// and again ([`Input::Join`] there).
    pub fn wants_to_join(&self) -> bool {
        true
    }

    /// When [`Input::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Millis> {
        None
    }
}
