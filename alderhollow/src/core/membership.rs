//! How a disk becomes a member: the seeds' disks found the core at the first start of the whole system; every other disk
//! asks the primary to be taken in.

use super::contact::Contact;
use super::driver::Core;
use crate::distribution::directory::Directory;
use crate::distribution::message::{Answer, CoreView, Request};
use crate::internal::{Network, ServiceId};
use alderhollow_coordination::replica::interface::{Member, StateMachine};
use alderhollow_model::identity::NodeInfo;
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
        if !membership.core.wants_to_join() {
            continue;
        }
        if let Some(primary) = membership.directory.core_view().primary {
            membership.core.ask_to_join(primary.internal.0);
        }
    }
}

/// What a seed said of itself.
enum Seed {
    WithDisk(Member),
    WithoutDisk,
}

impl<S: StateMachine + 'static> Membership<S> {
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
                let witnesses = known.into_iter().flatten().filter_map(Seed::member).collect();
                self.core.found(witnesses);
                return;
            }
            tokio::time::sleep(HELLO_PAUSE).await;
        }
    }

    async fn ask(&self, seed: SocketAddr) -> Option<Seed> {
        if seed == self.node.internal.0 {
            return Some(Seed::WithDisk(self.core.member()));
        }
        let request = minicbor::to_vec(Request::Hello).ok()?;
        let answer = self.network.call(seed, ServiceId::Distribution, request, HELLO_TIMEOUT).await.ok()?;
        match minicbor::decode(&answer).ok()? {
            Answer::Hello(node, core_view) => Some(Seed::of(node, core_view)),
            Answer::Update(_) | Answer::NotPrimary(_) => None,
        }
    }
}

impl Seed {
    fn of(node: NodeInfo, _: CoreView) -> Seed {
        let contact = Contact { internal: node.internal, control: node.control };
        match node.disk {
            Some(disk) => Seed::WithDisk(Member {
                id: disk.0,
                node: node.node,
                zone: node.zone,
                contact: contact.encode(),
            }),
            None => Seed::WithoutDisk,
        }
    }

    fn member(self) -> Option<Member> {
        match self {
            Seed::WithDisk(member) => Some(member),
            Seed::WithoutDisk => None,
        }
    }
}
