//! What a process knows of the core's members and its primary. Every process passes it on in its answers.

use super::message::{CoreMember, CoreView};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of members accepted from another process.
const MAX_MEMBERS: usize = 64;

/// The directory of one process. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    state: Rc<RefCell<DirectoryState>>,
}

#[derive(Debug, Default)]
struct DirectoryState {
    view: CoreView,
    seeds: Vec<SocketAddr>,
    /// A primary that announced itself and has not been polled yet.
    announced_primary: Option<SocketAddr>,
}

impl Directory {
    /// Replaces the seeds, given as internal addresses. Returns whether they changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) -> bool {
        let before = std::mem::replace(&mut self.state.borrow_mut().seeds, seeds);
        before != self.state.borrow().seeds
    }

    /// The seeds, as internal addresses.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.state.borrow().seeds.clone()
    }

    /// Records that the process at this internal address answered as primary, and the core's members if its answer has them.
    pub fn confirm_primary(&self, primary: SocketAddr, view: Option<&CoreView>) {
        let mut state = self.state.borrow_mut();
        if let Some(view) = view {
            state.view.replace_members(view);
        }
        let member = state
            .view
            .members
            .iter()
            .find(|member| member.internal.0 == primary)
            .cloned();
        if member.is_some() {
            state.view.primary = member;
        }
        state.announced_primary = None;
    }

    /// Adopts the members named by another process if they belong to a newer epoch. The primary is not adopted: it is known
    /// only once it has answered.
    pub fn update_members(&self, view: &CoreView) {
        let mut state = self.state.borrow_mut();
        if state.view.members.is_empty() || view.epoch > state.view.epoch {
            state.view.replace_members(view);
        }
    }

    /// Handles a primary's announcement: it is polled next unless another primary is known.
    pub fn on_announcement(&self, view: &CoreView) {
        self.update_members(view);
        let mut state = self.state.borrow_mut();
        if state.view.primary.is_none() {
            state.announced_primary = view.primary.as_ref().map(|primary| primary.internal.0);
        }
    }

    /// Takes the primary that announced itself since the last call.
    pub fn take_announced_primary(&self) -> Option<SocketAddr> {
        self.state.borrow_mut().announced_primary.take()
    }

    /// Clears the primary if it has this internal address.
    pub fn forget_primary(&self, internal: SocketAddr) {
        let mut state = self.state.borrow_mut();
        if state
            .view
            .primary
            .as_ref()
            .is_some_and(|primary| primary.internal.0 == internal)
        {
            state.view.primary = None;
        }
    }

    /// The known members and primary, for answers to other processes.
    pub fn core_view(&self) -> CoreView {
        self.state.borrow().view.clone()
    }
}

impl CoreView {
    /// Adopts the members and epoch of another view, if it has members.
    fn replace_members(&mut self, other: &CoreView) {
        if !other.members.is_empty() {
            self.members = other.members.iter().take(MAX_MEMBERS).cloned().collect();
            self.epoch = other.epoch;
        }
    }

    /// The members' internal addresses.
    pub fn internal_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members
            .iter()
            .map(|member: &CoreMember| member.internal.0)
    }
}
