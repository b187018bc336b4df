//! Names of the tier's own processes, disks and places.

use minicbor::{Decode, Encode};
use std::fmt;
use std::net::SocketAddr;

/// Identity of one disk, drawn at random when its folder is first used. A machine whose disk was lost comes back with
/// another one: it is a new member, which never votes nor answers as the one whose disk is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct DiskId(#[n(0)] pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One incarnation of a process: drawn at random at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Incarnation(#[n(0)] pub u64);

/// Which role a process plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Role {
    /// Serves clients and operators.
    #[n(0)]
    Gateway,
    /// Keeps batch jobs.
    #[n(1)]
    Store,
    /// Keeps the core's state and serves operators, but no clients.
    #[n(2)]
    Core,
}

impl Role {
    /// The name of the role, which is also its subcommand.
    pub fn name(self) -> &'static str {
        match self {
            Role::Gateway => "door",
            Role::Store => "store",
            Role::Core => "core",
        }
    }

    /// Whether a process with this role and a disk may be a member of the core.
    pub fn may_join_core(self) -> bool {
        match self {
            Role::Gateway | Role::Core => true,
            Role::Store => false,
        }
    }

    /// Whether a process with this role sends requests or items to backends.
    pub fn sends_to_backends(self) -> bool {
        match self {
            Role::Gateway | Role::Store => true,
            Role::Core => false,
        }
    }
}

/// What a process tells the others of itself.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct NodeInfo {
    /// Name of its machine, from the settings.
    #[n(0)]
    pub node: String,
    /// Its role.
    #[n(1)]
    pub role: Role,
    /// Its zone.
    #[n(2)]
    pub zone: String,
    /// This incarnation of it.
    #[n(3)]
    pub incarnation: Incarnation,
    /// Its disk, where it has one.
    #[n(4)]
    pub disk: Option<DiskId>,
    /// Where it takes the tier's own messages.
    #[n(5)]
    pub internal: Address,
    /// Where operators call it, where they do.
    #[n(6)]
    pub control: Option<Address>,
}

/// An address as it goes over the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub SocketAddr);

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl<C> Encode<C> for Address {
    fn encode<W: minicbor::encode::Write>(
        &self,
        encoder: &mut minicbor::Encoder<W>,
        _: &mut C,
    ) -> Result<(), minicbor::encode::Error<W::Error>> {
        encoder.str(&self.0.to_string())?.ok()
    }
}

impl<'b, C> Decode<'b, C> for Address {
    fn decode(
        decoder: &mut minicbor::Decoder<'b>,
        _: &mut C,
    ) -> Result<Self, minicbor::decode::Error> {
        let text = decoder.str()?;
        text.parse()
            .map(Address)
            .map_err(|_| minicbor::decode::Error::message("not an address"))
    }
}
