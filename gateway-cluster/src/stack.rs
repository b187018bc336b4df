//! One door's part in the fleet: the view and what rests on it, for one socket. The first byte of a datagram says whose
//! it is; what is understood by nobody is counted by the view and dropped.

use crate::engine::{self, Micros, State};
use crate::names::{id_of, Id, RosterError};
use crate::ownership::office::{self, Office};
use crate::ownership::wire::VERSION as OWNERSHIP;
use crate::sessions::evidence::{Conn, Outcome};
use crate::sessions::keep::Hold;
use crate::sessions::part::{self, Around, Part};
use crate::sessions::wire::VERSION as SESSIONS;
use crate::sessions::{Backend, Customer};
use crate::shards::keeping::{self, Keeping};
use crate::shards::wire::VERSION as SHARDS;
use crate::shards::{Door, Key};
use crate::view::{self, Dropped, View};
use crate::wire::HEADERS;

/// What a part begins with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// For the view.
    pub view: view::Settings,
    /// The lease of the office, if there is to be one.
    pub lease: Option<Micros>,
    /// For the shard map, if there is to be one; that needs a lease.
    pub shards: Option<keeping::Settings>,
    /// For the sessions, if they are to be classified; that needs a shard map.
    pub sessions: Option<part::Settings>,
}

/// A datagram that is to be sent, to a name of a roster that this door is bound by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// To whom.
    pub to: Id,
    /// Its payload, without the headers of IP and UDP.
    pub bytes: Vec<u8>,
}

/// One life's part.
#[derive(Debug)]
pub struct Stack {
    view: View,
    office: Option<Office>,
    keeping: Option<Keeping>,
    sessions: Option<Part>,
    ids: Vec<Id>,
    /// When the view had changed last as the office was told of it.
    advised: Option<Micros>,
    /// It goes, or another process has its name.
    out: bool,
    views: Vec<engine::Send>,
    offices: Vec<office::Send>,
}

impl Stack {
    /// A new life that knows the roster and nothing else.
    ///
    /// # Errors
    /// As [`View::new`].
    pub fn new(
        now: Micros,
        settings: Settings,
        seed: u64,
        packets: &mut Vec<Packet>,
    ) -> Result<Stack, RosterError> {
        let Settings {
            view,
            lease,
            shards,
            sessions,
        } = settings;
        let (name, unix_ms) = (id_of(&view.name), view.unix_ms);
        let keeping = lease.zip(shards).map(|(lease, settings)| {
            Keeping::new(now, &view.name, lease, settings, seed.rotate_left(16))
        });
        let sessions = sessions
            .filter(|_| keeping.is_some())
            .map(|settings| Part::new(now, &view.name, unix_ms, settings, seed.rotate_left(48)));
        let mut views = Vec::new();
        let view = View::new(now, view, seed, &mut views)?;
        let ids = ids_of(&view);
        let office = lease.map(|lease| {
            let settings = office::Settings {
                names: ids.clone(),
                name,
                lease,
                unix_ms,
            };
            Office::new(now, settings, seed.rotate_left(32))
        });
        let (advised, out, offices) = (None, false, Vec::new());
        let mut stack = Stack {
            view,
            office,
            keeping,
            sessions,
            ids,
            advised,
            out,
            views,
            offices,
        };
        stack.settle(now, packets);
        Ok(stack)
    }

    /// The view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The view, for what is taken from it.
    pub fn view_mut(&mut self) -> &mut View {
        &mut self.view
    }

    /// Messages and bytes sent, with the headers of IP and UDP.
    pub fn sent(&self) -> (u64, u64) {
        let (messages, bytes) = self.view.sent;
        let office = self.office.as_ref().map_or((0, 0), |office| office.sent);
        let keeping = self.keeping.as_ref().map_or((0, 0), |keeping| keeping.sent);
        let sessions = self
            .sessions
            .as_ref()
            .map_or((0, 0), |sessions| sessions.sent);
        let others = (
            office.0 + keeping.0 + sessions.0,
            office.1 + keeping.1 + sessions.1,
        );
        (
            messages + others.0,
            bytes + others.1 + others.0 * HEADERS as u64,
        )
    }

    /// What was received and dropped, by any layer.
    pub fn dropped(&self) -> Dropped {
        let office = self.office.as_ref().map_or((0, 0), |office| office.dropped);
        let keeping = self
            .keeping
            .as_ref()
            .map_or((0, 0), |keeping| keeping.dropped);
        let sessions = self
            .sessions
            .as_ref()
            .map_or((0, 0), |sessions| sessions.dropped);
        let Dropped {
            malformed,
            unknown,
            stale,
        } = self.view.dropped;
        Dropped {
            malformed: malformed + office.0 + keeping.0 + sessions.0,
            unknown: unknown + office.1 + keeping.1 + sessions.1,
            stale,
        }
    }

    /// The part in the shard map, if there is one.
    pub fn keeping(&self) -> Option<&Keeping> {
        self.keeping.as_ref()
    }

    /// The part in the shard map, for what is taken from it.
    pub fn keeping_mut(&mut self) -> Option<&mut Keeping> {
        self.keeping.as_mut()
    }

    /// The part in the sessions, if there is one.
    pub fn sessions(&self) -> Option<&Part> {
        self.sessions.as_ref()
    }

    /// A request of a customer has ended, for the sessions.
    pub fn note(
        &mut self,
        now: Micros,
        customer: Customer,
        backend: Backend,
        conn: Conn,
        outcome: Outcome,
    ) {
        if let Some(sessions) = &mut self.sessions {
            sessions.note(now, customer, backend, conn, outcome);
        }
    }

    /// How a request of a customer is to get its connection.
    pub fn hold(&mut self, now: Micros, customer: Customer) -> Hold {
        match (&mut self.sessions, &self.keeping) {
            (Some(sessions), Some(keeping)) => sessions.hold(now, customer, keeping),
            _ => Hold::Any,
        }
    }

    /// What staff are told of a customer's sessions.
    pub fn session(&self, now: Micros, customer: Customer) -> Option<part::Standing> {
        let (sessions, keeping) = self.sessions.as_ref().zip(self.keeping.as_ref())?;
        Some(sessions.standing(now, customer, keeping))
    }

    /// The keys that this door keeps at this moment, from and up to.
    pub fn mine(&self, now: Micros) -> Vec<(Key, Key)> {
        let keeping = self
            .keeping
            .as_ref()
            .filter(|_| !self.out && !self.view.is_superseded());
        keeping.map_or_else(Vec::new, |keeping| keeping.mine(now))
    }

    /// The office, if there is one.
    pub fn office(&self) -> Option<&Office> {
        self.office.as_ref()
    }

    /// The office, for what is taken from it.
    pub fn office_mut(&mut self) -> Option<&mut Office> {
        self.office.as_mut()
    }

    /// Takes over another roster.
    ///
    /// # Errors
    /// As [`View::set_roster`]; all stays as it was.
    pub fn set_roster(
        &mut self,
        now: Micros,
        names: Vec<String>,
        packets: &mut Vec<Packet>,
    ) -> Result<(), RosterError> {
        self.view.set_roster(now, names)?;
        self.ids = ids_of(&self.view);
        if let Some(office) = &mut self.office {
            office.set_roster(now, self.ids.clone(), &mut self.offices);
        }
        self.settle(now, packets);
        Ok(())
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], packets: &mut Vec<Packet>) {
        match (&mut self.office, bytes.first()) {
            (Some(office), Some(&OWNERSHIP)) => office.receive(now, bytes, &mut self.offices),
            (Some(office), Some(&SHARDS)) => match &mut self.keeping {
                Some(keeping) => keeping.receive(now, bytes, office, &mut self.offices),
                None => self.view.receive(now, bytes, &mut self.views),
            },
            (Some(_), Some(&SESSIONS)) if self.sessions.is_some() => {
                self.in_sessions(|part, around, sends| part.receive(now, bytes, around, sends));
            }
            _ => self.view.receive(now, bytes, &mut self.views),
        }
        self.settle(now, packets);
    }

    /// When [`Stack::wake`] is wanted.
    pub fn due(&self) -> Micros {
        let office = self.office.as_ref().map_or(Micros::MAX, Office::due);
        let keeping = self.keeping.as_ref().map_or(Micros::MAX, Keeping::due);
        let sessions = self.sessions.as_ref().map_or(Micros::MAX, Part::due);
        office.min(keeping).min(sessions).min(self.view.due())
    }

    /// Something is due, or past that.
    pub fn wake(&mut self, now: Micros, packets: &mut Vec<Packet>) {
        if now >= self.view.due() {
            self.view.wake(now, &mut self.views);
        }
        if let Some(office) = self.office.as_mut().filter(|office| now >= office.due()) {
            office.wake(now, &mut self.offices);
        }
        self.settle(now, packets);
    }

    /// Gives back what it has, tells others that this door goes, and says nothing more.
    pub fn leave(&mut self, now: Micros, packets: &mut Vec<Packet>) {
        self.go(now);
        self.view.leave(now, &mut self.views);
        self.settle(now, packets);
    }

    /// Another process takes this name over: what this one has it gives back, and it says nothing until [`Stack::resume`].
    pub fn hand_over(&mut self, now: Micros, packets: &mut Vec<Packet>) {
        self.go(now);
        self.settle(now, packets);
    }

    /// Lets go of what is kept, and then of the office.
    fn go(&mut self, now: Micros) {
        self.out = true;
        self.let_go(now);
    }

    fn let_go(&mut self, now: Micros) {
        let Some(office) = &mut self.office else {
            return;
        };
        if let Some(keeping) = &mut self.keeping {
            keeping.leave(now, office, &mut self.offices);
        }
        office.leave(now, &mut self.offices);
    }

    /// The other process has ended: this one goes on.
    pub fn resume(&mut self, now: Micros) {
        self.out = false;
        if let Some(office) = self.office.as_mut().filter(|office| office.is_hushed()) {
            office.resume(now);
        }
    }

    /// Lets the part in the sessions act by what the view and the shard map are now.
    fn in_sessions(&mut self, act: impl FnOnce(&mut Part, &Around<'_>, &mut Vec<office::Send>)) {
        let Some((part, keeping)) = self.sessions.as_mut().zip(self.keeping.as_ref()) else {
            return;
        };
        let around = Around {
            keeping,
            names: self.view.names(),
            states: &self.view.states(),
            side: self.view.side(),
            silent: self.out || self.view.is_superseded(),
        };
        act(part, &around, &mut self.offices);
    }

    /// Tells the office what the view holds, and gathers what both send.
    fn settle(&mut self, now: Micros, packets: &mut Vec<Packet>) {
        if let Some(office) = &mut self.office {
            let changed = now - self.view.settled(now);
            if self.advised != Some(changed) {
                self.advised = Some(changed);
                let sound = self
                    .ids
                    .iter()
                    .zip(self.view.states())
                    .filter(|(_, state)| *state == State::Alive);
                office.advise(sound.map(|(id, _)| *id).collect());
                if let Some(keeping) = &mut self.keeping {
                    let door = |state| {
                        if state == State::Dead {
                            Door::Dead
                        } else {
                            Door::Alive
                        }
                    };
                    let states = self.view.states().into_iter().map(door);
                    keeping.advise(now, self.view.names().iter().cloned().zip(states).collect());
                }
            }
        }
        // Of two lives under one name the one that the view silences takes no part here either.
        match (
            self.view.is_superseded(),
            self.office.as_ref().is_some_and(Office::is_hushed),
        ) {
            (true, false) => self.let_go(now),
            (false, true) if !self.out => self.resume(now),
            _ => {}
        }
        if let Some(office) = &mut self.office {
            if let Some(keeping) = &mut self.keeping {
                // What the office has just won or lost counts at once.
                if now >= keeping.due() || office.epoch(now) != keeping.term() {
                    keeping.wake(now, office, &mut self.offices);
                }
            }
        }
        if self.sessions.as_ref().is_some_and(|part| now >= part.due()) {
            self.in_sessions(|part, around, sends| part.wake(now, around, sends));
        }
        let ids = &self.ids;
        let views = self.views.drain(..).filter_map(|send| {
            Some(Packet {
                to: *ids.get(send.to)?,
                bytes: send.bytes,
            })
        });
        packets.extend(views);
        packets.extend(self.offices.drain(..).map(|send| Packet {
            to: send.to,
            bytes: send.bytes,
        }));
    }
}

/// The names of a view's roster as ids, in their order.
fn ids_of(view: &View) -> Vec<Id> {
    view.names().iter().map(|name| id_of(name)).collect()
}
