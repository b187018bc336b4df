//! A member's addresses. They are opaque bytes to the replica, which replicates them with the member.

use crate::distribution::message::{CoreMember, CoreView};
use alderhollow_coordination::replica::interface::Member;
use alderhollow_model::identity::{Address, DiskId};
use minicbor::{Decode, Encode};

/// Addresses of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Contact {
    /// Address for messages between processes.
    #[n(0)]
    pub internal: Address,
    /// Address for operators' calls, if it serves them.
    #[n(1)]
    pub control: Option<Address>,
    /// Whether the process has the role `core`: it runs on a dedicated machine and serves no clients.
    #[cbor(n(2), default)]
    pub is_dedicated: bool,
}

impl Contact {
    /// Encodes the addresses for [`Member::contact`].
    pub fn encode(&self) -> Vec<u8> {
        minicbor::to_vec(self).unwrap_or_default()
    }

    /// Decodes the addresses of a member; `None` if they can't be decoded.
    pub fn of(member: &Member) -> Option<Contact> {
        minicbor::decode(&member.contact).ok()
    }
}

/// Converts a member for the distribution; `None` if its addresses can't be decoded.
pub fn core_member(member: &Member) -> Option<CoreMember> {
    let contact = Contact::of(member)?;
    Some(CoreMember {
        disk: DiskId(member.id),
        internal: contact.internal,
        control: contact.control,
        is_dedicated: contact.is_dedicated,
    })
}

/// The core's members and primary according to an epoch record.
pub fn core_view(epoch: u64, primary: Option<&Member>, members: &[Member]) -> CoreView {
    CoreView {
        primary: primary.and_then(core_member),
        members: members.iter().filter_map(core_member).collect(),
        epoch,
    }
}
