//! What the seeds' answers say about the founding of a core.

use alderhollow::control_plane::founding_check::Prospect;
use alderhollow::distribution::message::{Answer, CoreMember, CoreView};
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use std::net::SocketAddr;

fn address() -> Address {
    Address(SocketAddr::from(([10, 0, 0, 1], 7660)))
}

fn hello(role: Role, has_disk: bool, core: CoreView) -> Option<Answer> {
    let node = NodeInfo {
        node: "machine-1".into(),
        role,
        zone: "east".into(),
        incarnation: Incarnation(1),
        disk: has_disk.then_some(DiskId(7)),
        internal: address(),
        control: Some(address()),
    };
    Some(Answer::Hello(node, core))
}

fn core() -> CoreView {
    let primary = CoreMember {
        disk: DiskId(9),
        internal: address(),
        control: Some(address()),
        is_dedicated: true,
    };
    CoreView {
        primary: Some(primary.clone()),
        members: vec![primary],
        epoch: 3,
    }
}

#[test]
fn seeds_without_a_disk_cannot_found_the_core() {
    let gateways = [
        hello(Role::Gateway, false, CoreView::default()),
        hello(Role::Gateway, false, CoreView::default()),
    ];
    assert_eq!(Prospect::of(&gateways), Prospect::Impossible);
    let store = [hello(Role::Store, true, CoreView::default())];
    assert_eq!(Prospect::of(&store), Prospect::Impossible);
}

#[test]
fn one_seed_that_may_keep_the_core_suffices() {
    for role in [Role::Gateway, Role::Core] {
        let seeds = [
            hello(Role::Gateway, false, CoreView::default()),
            hello(role, true, CoreView::default()),
        ];
        assert_eq!(Prospect::of(&seeds), Prospect::Possible);
    }
}

#[test]
fn a_core_that_a_seed_knows_is_enough() {
    assert_eq!(
        Prospect::of(&[hello(Role::Gateway, false, core())]),
        Prospect::Possible
    );
}

#[test]
fn a_seed_that_is_silent_leaves_it_open() {
    assert_eq!(
        Prospect::of(&[None, hello(Role::Gateway, false, CoreView::default())]),
        Prospect::Unknown
    );
}
