//! What a process knows of the core's members. Every process passes it on to those that ask.

use super::message::{CoreMember, Directions};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Shared by the parts of one process.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    known: Rc<RefCell<Known>>,
}

#[derive(Debug, Default)]
struct Known {
    directions: Directions,
    seeds: Vec<SocketAddr>,
}

impl Directory {
    /// Replaces the seeds, as internal addresses.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.known.borrow_mut().seeds = seeds;
    }

    /// The seeds, as internal addresses.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.known.borrow().seeds.clone()
    }

    /// Notes who is the primary, or that nobody is known to be.
    pub fn set_primary(&self, primary: Option<CoreMember>) {
        self.known.borrow_mut().directions.primary = primary;
    }

    /// Forgets the primary if it is the one at this internal address.
    pub fn forget_primary(&self, internal: SocketAddr) {
        let mut known = self.known.borrow_mut();
        if known.directions.primary.as_ref().is_some_and(|primary| primary.internal.0 == internal) {
            known.directions.primary = None;
        }
    }

    /// Notes the members, unless there are none.
    pub fn set_members(&self, members: Vec<CoreMember>) {
        if !members.is_empty() {
            self.known.borrow_mut().directions.members = members;
        }
    }

    /// The member at an internal address.
    pub fn member_at(&self, internal: SocketAddr) -> Option<CoreMember> {
        let known = self.known.borrow();
        known.directions.members.iter().find(|member| member.internal.0 == internal).cloned()
    }

    /// What is known, for others.
    pub fn directions(&self) -> Directions {
        self.known.borrow().directions.clone()
    }
}
