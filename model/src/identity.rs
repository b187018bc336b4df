//! Identities, roles and addresses of the tier's own processes and disks.

use minicbor::{Decode, Encode};
use std::fmt;
use std::net::SocketAddr;

/// Identity of a disk, drawn at random when its folder is first used. A machine that lost its disk returns with another
/// identity, as a new member: it never votes or answers under the lost one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct DiskId(#[n(0)] pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identity of one run of a process, drawn at random at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Incarnation(#[n(0)] pub u64);

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Role {
    /// Gateway: serves clients and operators.
    #[n(0)]
    Gateway,
    /// Store: stores and runs batch jobs.
    #[n(1)]
    Store,
    /// Core member: stores the control state and serves operators, but no clients.
    #[n(2)]
    Core,
}

impl Role {
    /// Name of the role in settings and output, and of its subcommand.
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

/// Description of a process, as sent to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct NodeInfo {
    /// Name of its machine, from its settings.
    #[n(0)]
    pub node: String,
    /// Role of the process.
    #[n(1)]
    pub role: Role,
    /// Name of its availability zone.
    #[n(2)]
    pub zone: String,
    /// Identity of this run.
    #[n(3)]
    pub incarnation: Incarnation,
    /// Identity of its disk, if it has one.
    #[n(4)]
    pub disk: Option<DiskId>,
    /// Address for the tier's internal messages.
    #[n(5)]
    pub internal: Address,
    /// Address for operators, if it serves them.
    #[n(6)]
    pub control: Option<Address>,
}

/// A socket address; encoded as text.
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
