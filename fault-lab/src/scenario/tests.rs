use super::*;

#[test]
fn all_that_ship_make_sense() {
    for (name, _) in SHIPPED {
        let scenario = Scenario::shipped(name).expect("it ships");
        let scenario = scenario.unwrap_or_else(|problem| panic!("{problem}"));
        assert_eq!(scenario.name, name);
        assert!(scenario.fleet.doors <= 24);
        assert_eq!(scenario.steps(3).len(), scenario.steps(4).len(), "{name}");
    }
}

fn with(more: &str) -> Result<Scenario, String> {
    Scenario::parse("x.toml", &(SHIPPED[0].1.to_string() + more))
}

#[test]
fn what_cannot_be_is_told_with_file_line_and_key() {
    let lines = SHIPPED[0].1.lines().count();
    for (more, offset, word) in [
        (
            "[[kill]]\nat_ms = 1000\ndoors = \"d99\"\n",
            3,
            "doors: there is no d99",
        ),
        (
            "[[kill]]\nat_ms = 9000000\ndoors = \"d1\"\n",
            2,
            "at_ms: 9000000 is not before the end",
        ),
        (
            "[[roster]]\nat_ms = 1\ndoors = \"d1\"\nmembers = \"d0\"\n",
            4,
            "no view of the fleet",
        ),
        (
            "[[kill]]\nat_ms = 1\ndoors = \"b1\"\n",
            3,
            "doors: b1 is not what this is done to",
        ),
        (
            "[[kill]]\nat_ms = 1\ndoors = \"4/3 doors\"\n",
            3,
            "'4/3 doors' is none of",
        ),
        (
            "[[kill]]\nat_ms = 1\ndoors = \"d1\"\nfor = 3\n",
            4,
            "unknown field `for`",
        ),
        (
            "[[settings]]\nat_ms = 1\ndoors = \"d1\"\nwithdraw = \"no\"\n",
            4,
            "withdraw: there is no plan 'no'",
        ),
    ] {
        let problem = with(more).expect_err(more);
        assert!(
            problem.starts_with(&format!("x.toml:{}: ", lines + offset)),
            "{problem}"
        );
        assert!(problem.contains(word), "{problem}");
    }
    let huge = SHIPPED[0]
        .1
        .replace("[fleet]\n", "[fleet]\nsockets = 1024\n")
        .replace("doors = ", "doors = 99");
    let problem = Scenario::parse("x.toml", &huge).expect_err("too many doors");
    assert!(problem.contains("fleet.doors"), "{problem}");
    let sessions = SHIPPED
        .iter()
        .find(|(name, _)| *name == "sessions")
        .expect("it ships")
        .1;
    for (old, new, word) in [
        ("run_length = 8\n", "", "run_length: 0 is not between"),
        (
            "run_gap_ms = 600",
            "run_gap_ms = 60000",
            "no time between runs",
        ),
        (
            "spread = 1\n",
            "spread = 1\nrun_spread = 2\n",
            "run_spread: 2 is not between 1 and 1",
        ),
        (
            "\"transaction\"\ncust",
            "\"statment\"\ncust",
            "unknown variant `statment`",
        ),
    ] {
        let problem = Scenario::parse("x.toml", &sessions.replace(old, new)).expect_err(word);
        assert!(problem.contains(word), "{problem}");
    }
}

#[test]
fn the_owner_can_be_named_where_there_is_one() {
    let kill = "[[kill]]\nat_ms = 1\ndoors = \"owner, d1\"\n";
    assert!(with(kill)
        .expect_err("nobody is")
        .contains("there is no owner without fleet.lease_ms"));
    let office = |more: &str| {
        let text = SHIPPED[0]
            .1
            .replace("[fleet]\n", "[fleet]\nlease_ms = 2000\n");
        Scenario::parse("x.toml", &(text + more))
    };
    let scenario = office(kill).expect("it makes sense");
    assert!(scenario.fleet.has_view(), "an owner needs a view");
    let deed = &scenario.steps(1)[0].deed;
    assert_eq!(*deed, Deed::Kill(vec![Whom::Owner, Whom::Door(1)]));
    assert!(deed.names_owner());
    let link = |from: &str, to: &str| {
        format!("[[link]]\nat_ms = 1\nfor_ms = 9\nfrom = \"{from}\"\nto = \"{to}\"\ncut = true\n")
    };
    assert!(office(&link("owner, d1", "others"))
        .expect("it makes sense")
        .steps(1)[0]
        .deed
        .names_owner());
    assert!(office(&link("others", "others"))
        .expect_err("who is that?")
        .contains("to: others are those"));
    for (key, needs) in [("shards", "lease_ms"), ("sessions", "shards")] {
        let text = SHIPPED[0]
            .1
            .replace("[fleet]\n", &format!("[fleet]\n{key} = {{}}\n"));
        let problem = Scenario::parse("x.toml", &text).expect_err("it lacks what it needs");
        assert!(
            problem.contains(&format!("fleet.{key}: it needs fleet.{needs}")),
            "{problem}"
        );
    }
}

#[test]
fn a_part_and_its_rest_are_all_and_a_seed_chooses() {
    let scenario = with("").expect("it makes sense");
    let names = |text: &str, seed| {
        let selection: Selection = text.parse().expect("a selection");
        selection.names(&scenario, seed).expect("names")
    };
    let mut both = [names("1/3 doors", 5), names("rest 1/3 doors", 5)].concat();
    both.sort_by_key(|name| (name.len(), name.clone()));
    assert_eq!(both, names("doors", 5));
    assert!((0..20).any(|seed| names("1/3 doors", seed) != names("1/3 doors", 5)));
}
