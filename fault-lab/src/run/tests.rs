use super::*;

#[test]
fn a_link_between_the_owner_with_some_and_the_others_takes_each_door_once() {
    let names = |text: &str| -> Vec<String> { text.split(' ').map(str::to_string).collect() };
    let cut = |from: &str, to: &str, owner| sides(&names(from), &names(to), owner, 5);
    assert_eq!(
        cut("owner d1", "others", 3),
        (names("d1 d3"), names("d0 d2 d4"))
    );
    assert_eq!(
        cut("owner d1", "others", 1),
        (names("d1"), names("d0 d2 d3 d4"))
    );
    assert_eq!(
        cut("others", "owner", 0),
        (names("d1 d2 d3 d4"), names("d0"))
    );
    assert_eq!(cut("d2 d4", "b0", 3), (names("d2 d4"), names("b0")));
}
