//! A member's addresses: opaque to the replica, which passes them on with the member.

use crate::distribution::message::{CoreMember, CoreView};
use alderhollow_coordination::replica::interface::Member;
use alderhollow_model::identity::{Address, DiskId};
use minicbor::{Decode, Encode};

/// Where a member is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Contact {
    /// For the tier's own messages.
    #[n(0)]
    pub internal: Address,
    /// For operators.
    #[n(1)]
    pub control: Option<Address>,
    /// Whether its process serves no clients: it runs on a machine of the core's own.
    #[cbor(n(2), default)]
    pub is_dedicated: bool,
}

impl Contact {
    /// As it stands in a member.
    pub fn encode(&self) -> Vec<u8> {
        minicbor::to_vec(self).unwrap_or_default()
    }

    /// The contact of a member; `None` if it can't be read.
    pub fn of(member: &Member) -> Option<Contact> {
        minicbor::decode(&member.contact).ok()
    }
}

/// A member as the other processes know it.
pub fn core_member(member: &Member) -> Option<CoreMember> {
    let contact = Contact::of(member)?;
    Some(CoreMember {
        disk: DiskId(member.id),
        internal: contact.internal,
        control: contact.control,
        is_dedicated: contact.is_dedicated,
    })
}

/// The core as its member knows it, from the record of an epoch.
pub fn core_view(epoch: u64, primary: Option<&Member>, members: &[Member]) -> CoreView {
    CoreView {
        primary: primary.and_then(core_member),
        members: members.iter().filter_map(core_member).collect(),
        epoch,
    }
}
