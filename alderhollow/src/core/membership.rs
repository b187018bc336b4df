//! How a disk becomes a member: the seeds' disks found the core at the first start of the whole system; every other disk
//! asks the primary to be taken in. Where machines of the core's own keep it, gateways' disks stay outside.

use super::contact::Contact;
use super::driver::Core;
use crate::distribution::directory::Directory;
use crate::distribution::message::{Answer, Request};
use crate::internal::{Network, ServiceId};
use alderhollow_coordination::replica::interface::{Member, StateMachine};
use alderhollow_model::identity::{NodeInfo, Role};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a seed may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between rounds over the seeds that have not answered.
const HELLO_PAUSE: Duration = Duration::from_millis(50);
/// Pause between requests to be taken in.
const JOIN_PAUSE: Duration = Duration::from_millis(300);

/// What [`maintain`] works with.
pub struct Membership<S: StateMachine> {
    /// The member.
    pub core: Rc<Core<S>>,
    /// This process.
    pub node: NodeInfo,
    /// Connections to the others.
    pub network: Network,
    /// Where the core is.
    pub directory: Directory,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
}

/// Has this disk be a member until the future is dropped.
pub async fn maintain<S: StateMachine + 'static>(membership: Membership<S>) {
    if membership.first_start && membership.is_seed() {
        membership.found().await;
    }
    loop {
        tokio::time::sleep(JOIN_PAUSE).await;
        if !membership.core.wants_to_join() || membership.leaves_core_to_others() {
            continue;
        }
        if let Some(primary) = membership.directory.core_view().primary {
            membership.core.ask_to_join(primary.internal.0);
        }
    }
}

/// What a seed said of itself.
enum Seed {
    /// It may be a member.
    Candidate { member: Member, role: Role },
    /// It may not.
    Other,
}

/// The members that found the core: all seeds that may be members; where some of them are the core's own machines, these
/// alone.
fn founders(seeds: Vec<Seed>) -> Vec<Member> {
    let is_dedicated = |seed: &Seed| {
        matches!(
            seed,
            Seed::Candidate {
                role: Role::Core,
                ..
            }
        )
    };
    let only_dedicated = seeds.iter().any(is_dedicated);
    seeds
        .into_iter()
        .filter(|seed| !only_dedicated || is_dedicated(seed))
        .filter_map(Seed::member)
        .collect()
}

impl<S: StateMachine + 'static> Membership<S> {
    /// Machines of the core's own keep the core, and this one is none of them.
    fn leaves_core_to_others(&self) -> bool {
        let core_view = self.directory.core_view();
        self.node.role != Role::Core && core_view.members.iter().any(|member| member.is_dedicated)
    }

    fn is_seed(&self) -> bool {
        self.directory.seeds().contains(&self.node.internal.0)
    }

    /// Asks the seeds until each has said whether it has a disk, then founds the core with those that have one. Ends
    /// early if there is a core already.
    async fn found(&self) {
        let seeds = self.directory.seeds();
        let mut known: Vec<Option<Seed>> = seeds.iter().map(|_| None).collect();
        while self.core.wants_to_join() {
            for (seed, address) in known.iter_mut().zip(&seeds) {
                if seed.is_none() {
                    *seed = self.ask(*address).await;
                }
            }
            if known.iter().all(Option::is_some) {
                self.core
                    .found(founders(known.into_iter().flatten().collect()));
                return;
            }
            tokio::time::sleep(HELLO_PAUSE).await;
        }
    }

    async fn ask(&self, seed: SocketAddr) -> Option<Seed> {
        if seed == self.node.internal.0 {
            return Some(Seed::Candidate {
                member: self.core.member(),
                role: self.node.role,
            });
        }
        let request = minicbor::to_vec(Request::Hello).ok()?;
        let answer = self
            .network
            .call(seed, ServiceId::Distribution, request, HELLO_TIMEOUT)
            .await
            .ok()?;
        match minicbor::decode(&answer).ok()? {
            Answer::Hello(node, _) => Some(Seed::of(node)),
            Answer::Update(_) | Answer::NotPrimary(_) => None,
        }
    }
}

impl Seed {
    fn of(node: NodeInfo) -> Seed {
        let contact = Contact {
            internal: node.internal,
            control: node.control,
            is_dedicated: node.role == Role::Core,
        };
        match node.disk {
            Some(disk) if node.role.may_join_core() => Seed::Candidate {
                member: Member {
                    id: disk.0,
                    node: node.node,
                    zone: node.zone,
                    contact: contact.encode(),
                },
                role: node.role,
            },
            _ => Seed::Other,
        }
    }

    fn member(self) -> Option<Member> {
        match self {
            Seed::Candidate { member, .. } => Some(member),
            Seed::Other => None,
        }
    }
}
