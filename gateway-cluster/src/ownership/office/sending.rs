//! How a datagram is sent, within the budget.

use super::{Office, Send};
use crate::engine::Micros;
use crate::names::Id;
use crate::ownership::rosters::Told;
use crate::ownership::wire::{Datagram, Kind};
use crate::ownership::Holder;

impl Office {
    /// Sends if the budget allows it.
    pub(super) fn put(&mut self, now: Micros, to: Id, kind: Kind, sends: &mut Vec<Send>) {
        if self.budget.has(1.0, 0.0) {
            self.budget.take(1.0);
            self.put_owed(now, to, kind, sends);
        }
    }

    pub(super) fn put_owed(&mut self, now: Micros, to: Id, kind: Kind, sends: &mut Vec<Send>) {
        let Holder { name: from, life } = self.me;
        let to_life = self.peers.get(&to).map_or(0, |peer| peer.life);
        let rosters: Told = self.rosters.told();
        let bytes = Datagram {
            from,
            life,
            to_life,
            tick: now,
            rosters,
            epoch: self.fence.0,
            kind,
        }
        .encode();
        self.sent.0 += 1;
        self.sent.1 += bytes.len() as u64;
        sends.push(Send { to, bytes });
    }
}
