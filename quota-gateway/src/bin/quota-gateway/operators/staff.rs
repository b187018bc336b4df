//! What staff can ask of this process, for the operators' door.

use crate::backends::attempts::Backends;
use crate::clients::phase::PhaseControl;
use crate::clients::stats::Stats;
use crate::cluster::Cluster;
use crate::door::Door;
use crate::operators::admin::{Call, CallError, Operations};
use crate::operators::cost::{self, Counted, Descriptors};
use std::cell::Cell;
use std::rc::Rc;
use tokio::runtime::Handle;

pub(crate) struct Staff {
    pub door: Rc<Door>,
    pub backends: Rc<Backends>,
    pub stats: Rc<Stats>,
    pub phase_control: Rc<PhaseControl>,
    pub classes: Vec<String>,
    /// Whether clients are taken.
    pub open: Rc<Cell<bool>>,
    /// What this process has to do with other front doors, if anything.
    pub fleet: Option<Rc<Cluster>>,
}

impl Staff {
    fn counted(&self) -> Counted {
        let (backends_idle, backends_busy) = self.backends.pool.connections();
        let descriptors = Descriptors {
            clients: self.stats.clients.get(),
            backends_idle,
            backends_busy,
            discovery: self.stats.discovery.get(),
        };
        Counted {
            descriptors,
            requests: self.stats.requests(),
            attempts: self.stats.attempts.get(),
            // One thread does all the work.
            wake_ups: Handle::current().metrics().worker_park_count(0),
        }
    }
}

/// A line of figures with the word behind it that tells staff that they have all of it.
fn whole(line: String) -> String {
    line + "\nend"
}

impl Operations for Staff {
    async fn carry_out(&self, call: Call<'_>) -> Result<String, CallError> {
        match call {
            Call::Status if !self.open.get() => Err(CallError::NotTakenOver),
            Call::Status if !self.backends.pool.any_ready() => Err(CallError::NoBackend),
            Call::Status => Ok(format!("done {}", self.phase_control.phase().word())),
            Call::Stats => {
                let (known, excluded) = self.door.backends();
                Ok(whole(self.stats.line(&self.classes, known, excluded)))
            }
            Call::Cost => Ok(whole(cost::line(&self.counted()))),
            Call::Cluster => match &self.fleet {
                Some(fleet) => Ok(whole(fleet.membership_answer()?)),
                None => Err(CallError::NoFleet),
            },
            Call::Owner => {
                let line = self
                    .fleet
                    .as_ref()
                    .map_or(Ok(None), |fleet| fleet.leader_answer())?;
                line.map(whole).ok_or(CallError::NoOwner)
            }
            Call::Shards => {
                let line = self
                    .fleet
                    .as_ref()
                    .map_or(Ok(None), |fleet| fleet.shard_map_answer())?;
                line.map(|line| format!("{line}\nend"))
                    .ok_or(CallError::NoShards)
            }
            Call::Session(id) => {
                let line = self
                    .fleet
                    .as_ref()
                    .map_or(Ok(None), |fleet| fleet.session_answer(id))?;
                line.map(whole).ok_or(CallError::NoSessions)
            }
            Call::TakeOut(uid) => {
                self.door.take_out(uid)?;
                Ok(format!("done {uid} is out"))
            }
            Call::GiveBack(uid) => {
                self.door.give_back(uid)?;
                Ok(format!("done {uid} may serve"))
            }
            Call::Standby => {
                self.phase_control.stand_by()?;
                Ok("done".into())
            }
            Call::Active => {
                self.phase_control.take_up()?;
                Ok("done".into())
            }
        }
    }
}
