use super::*;

fn roster(names: &[&str]) -> Result<Roster, RosterError> {
    Roster::new(names.iter().map(ToString::to_string).collect())
}

#[test]
fn a_roster_is_the_same_in_whatever_order_its_names_are_told() {
    let (one, other) = (roster(&["b", "c", "a"]), roster(&["a", "b", "c"]));
    assert_eq!(one, other);
    let (one, fewer) = (
        one.expect("it is good"),
        roster(&["a", "b"]).expect("it is good"),
    );
    assert_ne!(one.digest(), fewer.digest());
    assert_eq!(
        (one.names().join(""), one.len(), one.is_empty()),
        ("abc".into(), 3, false)
    );
    for (place, name) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(
            (one.place(id_of(name)), one.own_place(name)),
            (Some(place), Ok(place))
        );
        assert_eq!(one.ids()[place], id_of(name));
    }
    assert_eq!(
        (one.place(id_of("d")), one.own_place("d")),
        (None, Err(RosterError::Lacks("d".into())))
    );
}

#[test]
fn names_that_cannot_be_told_apart_or_are_too_many_are_no_roster() {
    let twice = RosterError::Twice("a".into());
    assert_eq!(roster(&["a", "b", "a"]), Err(twice.clone()));
    let told = "the roster has 'a' twice: take it out once, or give one of the two another name";
    assert_eq!(twice.to_string(), told);
    let same = RosterError::SameHash("door-1981559".into(), "door-429420".into());
    assert_eq!(roster(&["door-429420", "door-1981559"]), Err(same));
    let many = |count: usize| Roster::new((0..count).map(|name| name.to_string()).collect());
    assert_eq!(many(MOST_NAMES).map(|roster| roster.len()), Ok(MOST_NAMES));
    assert_eq!(many(MOST_NAMES + 1), Err(RosterError::TooMany(1001)));
}
