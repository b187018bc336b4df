//! The founding check: whether the seeds' answers allow a core to be founded.

use alderhollow::control_plane::founding_check::FoundingOutlook;
use alderhollow::distribution::message::{Answer, CoreMember, CoreView};
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use std::net::SocketAddr;

fn address() -> Address {
    Address(SocketAddr::from(([10, 0, 0, 1], 7660)))
}

fn identity(role: Role, has_disk: bool, core: CoreView) -> Option<Answer> {
    let node = NodeInfo {
        node: "machine-1".into(),
        role,
        zone: "east".into(),
        incarnation: Incarnation(1),
        disk: has_disk.then_some(DiskId(7)),
        internal: address(),
        control: Some(address()),
    };
    Some(Answer::Identity(node, core))
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
        identity(Role::Gateway, false, CoreView::default()),
        identity(Role::Gateway, false, CoreView::default()),
    ];
    assert_eq!(FoundingOutlook::of(&gateways), FoundingOutlook::Impossible);
    let store = [identity(Role::Store, true, CoreView::default())];
    assert_eq!(FoundingOutlook::of(&store), FoundingOutlook::Impossible);
}

#[test]
fn one_seed_that_may_join_the_core_suffices() {
    for role in [Role::Gateway, Role::Core] {
        let seeds = [
            identity(Role::Gateway, false, CoreView::default()),
            identity(role, true, CoreView::default()),
        ];
        assert_eq!(FoundingOutlook::of(&seeds), FoundingOutlook::Possible);
    }
}

#[test]
fn a_core_known_to_a_seed_suffices() {
    assert_eq!(
        FoundingOutlook::of(&[identity(Role::Gateway, false, core())]),
        FoundingOutlook::Possible
    );
}

#[test]
fn a_seed_without_an_answer_leaves_the_outlook_unknown() {
    assert_eq!(
        FoundingOutlook::of(&[None, identity(Role::Gateway, false, CoreView::default())]),
        FoundingOutlook::Unknown
    );
}
