use super::*;

#[test]
fn grounds_do_not_meet_and_come_back() {
    let (one, other) = (
        Ground::claim(0).expect("one"),
        Ground::claim(0).expect("another"),
    );
    assert_ne!((one.x, one.y), (other.x, other.y));
    assert_eq!(one.door_at(one.door(7)), Some(7));
    assert_eq!(one.door_at(other.door(7)), None);
    assert_eq!(one.door_at(one.own()), None);
}

#[test]
fn a_ground_with_a_port_that_is_taken_is_passed_over() {
    let ground = Ground::claim(2).expect("one");
    let taken = TcpListener::bind(ground.staff(1)).expect("it is free");
    let (x, y) = (ground.x, ground.y);
    drop(ground);
    let other = Ground::claim(2).expect("another");
    assert_ne!((other.x, other.y), (x, y));
    drop(taken);
}
