//! Who is named placer of a zone.

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

fn named(assignment: &PlacerAssignment) -> Vec<(&str, &str)> {
    let placers = assignment.placers().iter();
    placers
        .map(|placer| (placer.zone.as_str(), placer.node.as_str()))
        .collect()
}

/// All polls at once, then the renewal.
fn hear(assignment: &mut PlacerAssignment, nodes: &[NodeInfo], now_ms: u64) -> bool {
    nodes
        .iter()
        .for_each(|node| assignment.heard(node, false, now_ms));
    assignment.renew(PRIMARY, now_ms)
}

#[test]
fn processes_that_serve_no_clients_come_first_and_the_primary_after_its_like() {
    let nodes = [
        node(PRIMARY, Role::Core, "east"),
        node("core-2", Role::Core, "east"),
        node("door-3", Role::Gateway, "east"),
        node("door-4", Role::Gateway, "west"),
        node("store-5", Role::Store, "west"),
        node("store-6", Role::Store, "north"),
    ];
    let mut assignment = PlacerAssignment::begin(&[], 0);
    assert!(hear(&mut assignment, &nodes, 0));
    assert_eq!(
        named(&assignment),
        [("east", "core-2"), ("north", "store-6"), ("west", "door-4")]
    );
}

#[test]
fn a_placer_stays_one_while_it_polls_and_has_a_successor_when_it_falls_silent_or_leaves() {
    let gateways = [
        node("door-1", Role::Gateway, "east"),
        node("door-2", Role::Gateway, "east"),
    ];
    let mut assignment = PlacerAssignment::begin(&[], 0);
    hear(&mut assignment, &gateways[..1], 0);
    assert_eq!(named(&assignment), [("east", "door-1")]);
    let better = node("core-9", Role::Core, "east");
    hear(&mut assignment, &[gateways[0].clone(), better.clone()], 100);
    assert_eq!(named(&assignment), [("east", "door-1")], "it polls");
    assert!(hear(
        &mut assignment,
        std::slice::from_ref(&better),
        101 + PLACER_TIMEOUT_MS
    ));
    assert_eq!(named(&assignment), [("east", "core-9")], "it was silent");
    hear(&mut assignment, &gateways, 200 + PLACER_TIMEOUT_MS);
    assignment.heard(&better, true, 201 + PLACER_TIMEOUT_MS);
    assert!(
        assignment.renew(PRIMARY, 201 + PLACER_TIMEOUT_MS),
        "at once"
    );
    assert_ne!(named(&assignment), [("east", "core-9")], "it leaves");
}

#[test]
fn a_new_primary_waits_for_the_placers_that_it_knows() {
    let gateways = [
        node("door-1", Role::Gateway, "east"),
        node("door-2", Role::Gateway, "east"),
    ];
    let mut former = PlacerAssignment::begin(&[], 0);
    hear(&mut former, &gateways[1..], 0);
    let mut assignment = PlacerAssignment::begin(former.placers(), 5_000);
    hear(&mut assignment, &gateways[..1], 5_010);
    assert_eq!(named(&assignment), [("east", "door-2")]);
    hear(&mut assignment, &gateways[..1], 5_001 + PLACER_TIMEOUT_MS);
    assert_eq!(named(&assignment), [("east", "door-1")], "it never came");
}
