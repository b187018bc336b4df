//! The log lines of the cluster node: one function for each event. `docs/operators.md` lists the events with their
//! former names.

use crate::cluster::error::ClusterError;
use crate::errors::text;
use gateway_cluster::membership::{ChangeReason, MembershipChange};
use gateway_cluster::protocol::PeerState;
use gateway_cluster::shards::node::ShardMapEvent;
use gateway_cluster::shards::MapHash;
use std::net::SocketAddrV4;
use tracing::{info, warn};

/// The name of a peer's state, in the log.
fn peer_state_name(state: PeerState) -> &'static str {
    match state {
        PeerState::Alive => "alive",
        PeerState::Suspect => "suspect",
        PeerState::Dead => "dead",
    }
}

/// Why a peer's state changed, in the log.
fn change_reason(reason: ChangeReason) -> String {
    match reason {
        ChangeReason::NoAnswer => "no answer to health checks".into(),
        ChangeReason::ReportedBy(peer) => format!("reported by {peer}"),
        ChangeReason::NotRefuted => "the suspicion was not refuted in time".into(),
        ChangeReason::Returned => "it returned".into(),
        ChangeReason::Left => "it announced its shutdown".into(),
    }
}

/// The state of a peer changed in this gateway's view of the membership.
pub(super) fn log_member_state_changed(change: MembershipChange) {
    let MembershipChange {
        name,
        from,
        to,
        why,
    } = change;
    let (from, to) = (peer_state_name(from), peer_state_name(to));
    let why = change_reason(why);
    info!(
        event = "member_state_changed",
        name, from, to, why, "gateway {name} changed from {from} to {to}: {why}"
    );
}

/// A process with the same name and a later incarnation is a member.
pub(super) fn log_incarnation_superseded() {
    warn!(
        event = "incarnation_superseded",
        "another process has this gateway's name in the cluster and a later incarnation: this one sends no datagrams"
    );
}

/// A gateway, this one or another, leads the cluster.
pub(super) fn log_leader_elected(name: &str, epoch: u64) {
    info!(
        event = "leader_elected",
        name, epoch, "gateway {name} is the leader in epoch {epoch}"
    );
}

/// The lease of this gateway's leadership expired.
pub(super) fn log_leadership_lost(epoch: u64) {
    info!(
        event = "leadership_lost",
        epoch, "this gateway lost leadership: its lease of epoch {epoch} is over"
    );
}

/// This gateway gave up its leadership before the lease expired.
pub(super) fn log_leadership_released(epoch: u64) {
    info!(
        event = "leadership_released",
        epoch, "this gateway released leadership of epoch {epoch}"
    );
}

/// A request that a peer sent as leader was rejected.
pub(super) fn log_leader_request_rejected(error: &ClusterError) {
    warn!(event = "leader_request_rejected", "{error}");
}

/// A peer has another lease duration.
pub(super) fn log_lease_mismatch(error: &ClusterError) {
    warn!(event = "lease_mismatch", "{error}");
}

/// A peer has another peer set.
pub(super) fn log_peer_set_mismatch(error: &ClusterError) {
    warn!(event = "peer_set_mismatch", "{error}");
}

/// A peer set of the configuration replaced the former one. `size` counts this gateway too.
pub(super) fn log_peer_set_replaced(size: usize, added: usize, removed: usize) {
    info!(
        event = "peer_set_replaced",
        names = size,
        added,
        removed,
        "the peer set is replaced: {size} gateways, {added} added, {removed} removed"
    );
}

/// The node rejected a peer set of the configuration.
pub(super) fn log_peer_set_rejected(error: &ClusterError) {
    warn!(event = "peer_set_rejected", problem = %error, "{error}");
}

/// An event of the shard map.
pub(super) fn log_shard_map_event(event: &ShardMapEvent) {
    match event {
        ShardMapEvent::InForce(version, hash) => log_shard_map_in_force(*version, hash),
        ShardMapEvent::Moved(version) => log_shard_moves_complete(*version),
        ShardMapEvent::OtherHistory(former, present) => {
            log_shard_map_history(&ClusterError::ShardMapHistory {
                former: *former,
                present: *present,
            });
        }
        ShardMapEvent::Refused(finding) => {
            log_shard_map_rejected(&ClusterError::ShardMapRejected {
                finding: text(finding),
            });
        }
    }
}

fn log_shard_map_in_force(version: u64, hash: &MapHash) {
    info!(event = "shard_map_in_force", version, %hash, "version {version} of the shard map is in force: {hash}");
}

fn log_shard_moves_complete(version: u64) {
    info!(
        event = "shard_moves_complete",
        version, "all shard owners have their keys of version {version} of the shard map"
    );
}

fn log_shard_map_history(error: &ClusterError) {
    warn!(event = "shard_map_history_replaced", "{error}");
}

fn log_shard_map_rejected(error: &ClusterError) {
    warn!(event = "shard_map_rejected", "{error}");
}

/// The UDP port is open after it could not be opened.
pub(super) fn log_port_opened(listen: SocketAddrV4) {
    info!(event = "cluster_port_opened", %listen, "the cluster port {listen} is open now");
}

/// The UDP port cannot be opened. `cause` is the system's own text.
pub(super) fn log_port_failed(listen: SocketAddrV4, cause: &str, error: &ClusterError) {
    warn!(event = "cluster_port_failed", %listen, error = cause, "{error}");
}

/// Receiving on the socket failed. `cause` is the system's own text.
pub(super) fn log_socket_failed(cause: &str, error: &ClusterError) {
    warn!(event = "cluster_socket_failed", error = cause, "{error}");
}

/// The node rejected its settings, and this gateway is no member.
pub(super) fn log_node_not_started(error: &ClusterError) {
    warn!(event = "cluster_node_not_started", problem = %error, "{error}");
}
