//! Names and addresses of the peers, by peer ID. Datagrams go to the address that this gateway's own configuration has
//! for a peer, never to the address that a datagram came from.

use gateway_cluster::peers::{peer_id_of, PeerId};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A peer's name and the address at which this gateway reaches it.
struct KnownPeer {
    name: String,
    address: SocketAddrV4,
}

/// The peers of the present peer set, and those of a former one to which a change of the peer set still binds a node.
#[derive(Default)]
pub(super) struct PeerAddresses(BTreeMap<PeerId, KnownPeer>);

impl PeerAddresses {
    /// Takes over the addresses of the configured peers. Of the former peers only those in `bound` remain.
    pub(super) fn update(&mut self, configured: &BTreeMap<String, SocketAddrV4>, bound: &[PeerId]) {
        self.0.retain(|id, _| bound.contains(id));
        for (name, address) in configured {
            let peer = KnownPeer {
                name: name.clone(),
                address: *address,
            };
            self.0.insert(peer_id_of(name), peer);
        }
    }

    /// The name of a peer, if it is known.
    pub(super) fn name(&self, id: PeerId) -> Option<&str> {
        self.0.get(&id).map(|peer| peer.name.as_str())
    }

    /// The address of a peer, if it is known.
    pub(super) fn address(&self, id: PeerId) -> Option<SocketAddrV4> {
        self.0.get(&id).map(|peer| peer.address)
    }
}
