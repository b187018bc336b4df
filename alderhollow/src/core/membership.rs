//! Membership of this process's disk in the core. At the first start of the system, the disks of the seeds found the core;
//! every other disk requests to join. If the core has dedicated machines, the disks of gateways do not join.

use super::contact::Contact;
use super::driver::Core;
use crate::distribution::directory::Directory;
use crate::distribution::identify::identify;
use crate::distribution::message::Answer;
use crate::internal::Network;
use alderhollow_coordination::replica::interface::{Member, StateMachine};
use alderhollow_model::identity::{NodeInfo, Role};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pause between attempts to reach the seeds that have not answered.
const IDENTIFY_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between requests to join.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Dependencies of [`maintain`].
pub struct Membership<S: StateMachine> {
    /// The core's member in this process.
    pub core: Rc<Core<S>>,
    /// Identity of this process.
    pub node: NodeInfo,
    /// Connections to the other processes.
    pub network: Network,
    /// What this process knows of the core's members.
    pub directory: Directory,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
}

/// Founds the core if required, then requests to join whenever this disk is not a member, until the future is dropped.
pub async fn maintain<S: StateMachine + 'static>(membership: Membership<S>) {
    if membership.first_start && membership.is_seed() {
        membership.found().await;
    }
    loop {
        tokio::time::sleep(JOIN_RETRY_INTERVAL).await;
        if !membership.core.wants_to_join() || membership.is_excluded_by_dedicated_members() {
            continue;
        }
        if let Some(primary) = membership.directory.core_view().primary {
            membership.core.send_join_request(primary.internal.0);
        }
    }
}

/// Whether a seed may become a member, according to its identity.
enum Seed {
    /// It has a disk and a role that may join the core.
    Candidate { member: Member, role: Role },
    /// It has no disk, or a role that may not join.
    Other,
}

/// The members that found the core: the seeds with the role `core` if there are any, else all seeds that may join.
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
    /// Whether the core has dedicated machines and this process is not one of them.
    fn is_excluded_by_dedicated_members(&self) -> bool {
        let core_view = self.directory.core_view();
        self.node.role != Role::Core && core_view.members.iter().any(|member| member.is_dedicated)
    }

    fn is_seed(&self) -> bool {
        self.directory.seeds().contains(&self.node.internal.0)
    }

    /// Queries the seeds until each has answered, then founds the core with those that may join. Returns early if this disk
    /// became a member of an existing core.
    async fn found(&self) {
        let seeds = self.directory.seeds();
        let mut known: Vec<Option<Seed>> = seeds.iter().map(|_| None).collect();
        while self.core.wants_to_join() {
            for (seed, address) in known.iter_mut().zip(&seeds) {
                if seed.is_none() {
                    *seed = self.identify_seed(*address).await;
                }
            }
            if known.iter().all(Option::is_some) {
                self.core
                    .found(founders(known.into_iter().flatten().collect()));
                return;
            }
            tokio::time::sleep(IDENTIFY_RETRY_INTERVAL).await;
        }
    }

    async fn identify_seed(&self, seed: SocketAddr) -> Option<Seed> {
        if seed == self.node.internal.0 {
            return Some(Seed::Candidate {
                member: self.core.member(),
                role: self.node.role,
            });
        }
        match identify(&self.network, seed).await? {
            Answer::Identity(node, _) => Some(Seed::of(node)),
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
