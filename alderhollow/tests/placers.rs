//! The assignment of placers to zones.

use alderhollow::distribution::placers::{PlacerAssignment, PLACER_TIMEOUT_MS};
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use std::net::SocketAddr;

const PRIMARY: &str = "core-1";

fn node(name: &str, role: Role, zone: &str) -> NodeInfo {
    let last = name.bytes().last().unwrap_or(0);
    NodeInfo {
        node: name.to_string(),
        role,
        zone: zone.to_string(),
        incarnation: Incarnation(u64::from(last)),
        disk: (role != Role::Gateway).then_some(DiskId(u64::from(last))),
        internal: Address(SocketAddr::from(([10, 0, 0, last], 7660))),
        control: None,
    }
}

fn placer_names(assignment: &PlacerAssignment) -> Vec<(&str, &str)> {
    let placers = assignment.placers().iter();
    placers
        .map(|placer| (placer.zone.as_str(), placer.node.as_str()))
        .collect()
}

/// Polls of all nodes at one time, then a check of the placers.
fn poll_all(assignment: &mut PlacerAssignment, nodes: &[NodeInfo], now_ms: u64) -> bool {
    nodes
        .iter()
        .for_each(|node| assignment.on_poll(node, false, now_ms));
    assignment.check_placers(PRIMARY, now_ms)
}

#[test]
fn processes_without_clients_rank_first_and_the_primary_last_among_them() {
    let nodes = [
        node(PRIMARY, Role::Core, "east"),
        node("core-2", Role::Core, "east"),
        node("door-3", Role::Gateway, "east"),
        node("door-4", Role::Gateway, "west"),
        node("store-5", Role::Store, "west"),
        node("store-6", Role::Store, "north"),
    ];
    let mut assignment = PlacerAssignment::resume(&[], 0);
    assert!(poll_all(&mut assignment, &nodes, 0));
    assert_eq!(
        placer_names(&assignment),
        [("east", "core-2"), ("north", "store-6"), ("west", "door-4")]
    );
}

#[test]
fn a_placer_is_replaced_when_it_stops_polling_or_shuts_down() {
    let gateways = [
        node("door-1", Role::Gateway, "east"),
        node("door-2", Role::Gateway, "east"),
    ];
    let mut assignment = PlacerAssignment::resume(&[], 0);
    poll_all(&mut assignment, &gateways[..1], 0);
    assert_eq!(placer_names(&assignment), [("east", "door-1")]);
    let better = node("core-9", Role::Core, "east");
    poll_all(&mut assignment, &[gateways[0].clone(), better.clone()], 100);
    assert_eq!(
        placer_names(&assignment),
        [("east", "door-1")],
        "the current placer still polls"
    );
    assert!(poll_all(
        &mut assignment,
        std::slice::from_ref(&better),
        101 + PLACER_TIMEOUT_MS
    ));
    assert_eq!(
        placer_names(&assignment),
        [("east", "core-9")],
        "the former placer stopped polling"
    );
    poll_all(&mut assignment, &gateways, 200 + PLACER_TIMEOUT_MS);
    assignment.on_poll(&better, true, 201 + PLACER_TIMEOUT_MS);
    assert!(
        assignment.check_placers(PRIMARY, 201 + PLACER_TIMEOUT_MS),
        "at once"
    );
    assert_ne!(
        placer_names(&assignment),
        [("east", "core-9")],
        "the former placer shuts down"
    );
}

#[test]
fn a_new_primary_retains_known_placers_until_the_timeout() {
    let gateways = [
        node("door-1", Role::Gateway, "east"),
        node("door-2", Role::Gateway, "east"),
    ];
    let mut former = PlacerAssignment::resume(&[], 0);
    poll_all(&mut former, &gateways[1..], 0);
    let mut assignment = PlacerAssignment::resume(former.placers(), 5_000);
    poll_all(&mut assignment, &gateways[..1], 5_010);
    assert_eq!(placer_names(&assignment), [("east", "door-2")]);
    poll_all(&mut assignment, &gateways[..1], 5_001 + PLACER_TIMEOUT_MS);
    assert_eq!(
        placer_names(&assignment),
        [("east", "door-1")],
        "the known placer never polled"
    );
}
