//! Each check against a record that breaks it, and against the same one with the fault that excuses it.

use super::*;
use crate::scenario::Scenario;

fn facts() -> Facts {
    let scenario = Scenario::shipped("calm")
        .expect("it ships")
        .expect("it makes sense");
    let mut facts = scenario.facts(1);
    (facts.plans[2].ceiling_per_s, facts.plans[2].ceiling_burst) = (36.0, 40.0);
    facts
}

fn sent(id: &str, class: usize, door: usize) -> Event {
    Event::Sent {
        id: id.into(),
        customer: 7,
        plan: 2,
        class,
        units: 1,
        door,
        due: 0,
        retry: false,
    }
}

fn ended(id: &str, ending: Ending) -> Event {
    Event::Ended {
        id: id.into(),
        door: 0,
        ending,
        status: 0,
    }
}

fn arrived(id: &str, backend: usize, class: usize) -> Event {
    Event::Arrived {
        id: id.into(),
        backend,
        door: 0,
        customer: 7,
        plan: 2,
        class,
        units: 1,
    }
}

fn done(id: &str, ran: Ran) -> Event {
    Event::Done {
        id: id.into(),
        backend: 0,
        customer: 7,
        ran,
    }
}

fn door(life: Life) -> Event {
    Event::Door { door: 0, life }
}

/// How often the named check is broken and excused by these events, at these milliseconds.
fn found(check: &str, events: &[(u64, Event)]) -> (usize, usize) {
    let entries: Vec<Entry> = events
        .iter()
        .map(|(ms, event)| Entry {
            us: ms * 1000,
            event: event.clone(),
        })
        .collect();
    let facts = Facts {
        checks: vec![check.into()],
        ..facts()
    };
    let findings = findings(&facts, &entries);
    assert_eq!(findings.len(), 1, "one check was asked for");
    (findings[0].broken, findings[0].excused)
}

#[test]
fn an_answer_that_is_late_or_missing_or_double_is_found() {
    let good = [(0, sent("a", 0, 0)), (1500, ended("a", Ending::Served))];
    assert_eq!(found("answers", &good), (0, 0));
    let late = [(0, sent("a", 0, 0)), (2100, ended("a", Ending::Refused))];
    assert_eq!(found("answers", &late), (1, 0));
    assert_eq!(found("answers", &[(0, sent("a", 0, 0))]), (1, 0));
    let never = [(0, sent("a", 0, 0)), (2000, ended("a", Ending::GaveUp))];
    assert_eq!(found("answers", &never), (1, 0));
    let twice = [
        (0, sent("a", 0, 0)),
        (5, ended("a", Ending::Served)),
        (6, ended("a", Ending::Served)),
    ];
    assert_eq!(found("answers", &twice), (1, 0));
    for life in [Life::Killed, Life::Stopped] {
        let excused = [
            (0, sent("a", 0, 0)),
            (10, door(life)),
            (2000, ended("a", Ending::GaveUp)),
        ];
        assert_eq!(found("answers", &excused), (0, 1));
    }
    let over = [
        (0, door(Life::Stopped)),
        (500, door(Life::Continued)),
        (1000, sent("a", 0, 0)),
        (3000, ended("a", Ending::GaveUp)),
    ];
    assert_eq!(
        found("answers", &over),
        (1, 0),
        "a stall that is over excuses nothing"
    );
    let cut = Event::Link {
        from: "d0".into(),
        to: "clients".into(),
        condition: "cut".into(),
    };
    let excused = [
        (0, cut),
        (1, sent("a", 0, 0)),
        (2000, ended("a", Ending::GaveUp)),
    ];
    assert_eq!(found("answers", &excused), (0, 1));
}

#[test]
fn a_request_that_is_cut_off_is_lost_unless_its_door_was_killed() {
    let lost = [(0, sent("a", 0, 0)), (20, ended("a", Ending::Cut))];
    assert_eq!(found("lost", &lost), (1, 0));
    let told = [
        (0, sent("a", 0, 0)),
        (10, door(Life::Terminated)),
        (20, ended("a", Ending::Cut)),
    ];
    assert_eq!(found("lost", &told), (1, 0), "SIGTERM excuses nothing");
    let killed = [
        (0, sent("a", 0, 0)),
        (10, door(Life::Killed)),
        (20, ended("a", Ending::Cut)),
    ];
    assert_eq!(found("lost", &killed), (0, 1));
}

#[test]
fn what_may_not_run_twice_and_what_nobody_sent_is_found() {
    let twice = |class| {
        [
            (0, sent("a", class, 0)),
            (1, arrived("a", 0, class)),
            (90, arrived("a", 1, class)),
        ]
    };
    assert_eq!(found("duplicates", &twice(0)), (0, 0), "it may run again");
    assert_eq!(found("duplicates", &twice(1)), (1, 0));
    let turned_away = [
        (0, sent("a", 1, 0)),
        (1, arrived("a", 0, 1)),
        (2, done("a", Ran::Never)),
        (3, arrived("a", 1, 1)),
        (9, done("a", Ran::Whole)),
    ];
    assert_eq!(found("duplicates", &turned_away), (0, 0));
    assert_eq!(found("duplicates", &[(1, arrived("a", 0, 0))]), (1, 0));
}

#[test]
fn a_send_after_the_word_and_the_grace_is_found() {
    let told = |state: &str| Event::Told {
        door: 0,
        rev: 2,
        whole: false,
        states: vec![(3, state.into())],
    };
    let after = |events: &[(u64, Event)], ms| {
        found("drains", &[events, &[(ms, arrived("a", 3, 0))]].concat())
    };
    for word in ["draining", "gone"] {
        assert_eq!(after(&[(0, told(word))], 540), (0, 0));
        assert_eq!(after(&[(0, told(word))], 560), (1, 0));
    }
    assert_eq!(
        after(&[(0, told("draining")), (400, told("ready"))], 900),
        (0, 0)
    );
    let call = |line: &str, answer: &str| Event::Call {
        door: 0,
        line: line.into(),
        answer: answer.into(),
    };
    let ban = call("maint-on s-00000003", "done s-00000003 is out");
    assert_eq!(after(&[(0, ban.clone())], 560), (1, 0));
    assert_eq!(
        after(&[(0, ban.clone()), (1, told("ready"))], 560),
        (1, 0),
        "the list does not lift a ban"
    );
    assert_eq!(
        after(
            &[(0, ban.clone()), (9, call("maint-off s-00000003", "done"))],
            560
        ),
        (0, 0)
    );
    assert_eq!(
        after(&[(0, call("maint-on s-00000003", "error"))], 560),
        (0, 0)
    );
    assert_eq!(
        after(&[(0, ban.clone()), (1, door(Life::Started))], 560),
        (0, 0),
        "a new life was told nothing"
    );
    let link = Event::Link {
        from: "d0".into(),
        to: "b3".into(),
        condition: "cut".into(),
    };
    assert_eq!(after(&[(0, ban), (100, link)], 560), (0, 1));
}

#[test]
fn units_beyond_a_ceiling_are_found_and_counted_once() {
    // 40 at once and 36 a second, with a slack of a tenth and of what the rate gives in 150 ms.
    let burst = |count: u64, step: u64| -> Vec<(u64, Event)> {
        (0..count)
            .map(|n| (n * step, arrived(&format!("{n:x}"), 0, 0)))
            .collect()
    };
    assert_eq!(found("ceilings", &burst(49, 0)), (0, 0));
    assert_eq!(found("ceilings", &burst(52, 0)).0, 3);
    assert_eq!(
        found("ceilings", &burst(1000, 26)),
        (0, 0),
        "38 a second are within the rate's slack"
    );
    assert!(found("ceilings", &burst(1000, 20)).0 > 50);
    let again: Vec<(u64, Event)> = (0..100).map(|n| (n, arrived("a", 0, 0))).collect();
    assert_eq!(
        found("ceilings", &again),
        (0, 0),
        "further attempts of a try take no units"
    );
    let entries: Vec<Entry> = burst(60, 0)
        .into_iter()
        .map(|(us, event)| Entry { us, event })
        .collect();
    let beyond = figures(&facts(), &entries).beyond_units;
    assert!((beyond - 60.0 + 45.4 * 1.1).abs() < 1e-6, "{beyond}");
}

#[test]
fn attempts_out_beyond_a_cap_are_found() {
    let mut facts = Facts {
        checks: vec!["ceilings".into()],
        ..facts()
    };
    facts.plans[2].open = 2;
    let mut entries: Vec<Entry> = Vec::new();
    for (n, id) in ["a", "b", "c", "d"].into_iter().enumerate() {
        entries.push(Entry {
            us: n as u64,
            event: arrived(id, 0, 0),
        });
    }
    assert_eq!(findings(&facts, &entries)[0].broken, 1);
    entries.insert(
        3,
        Entry {
            us: 2,
            event: done("a", Ran::Whole),
        },
    );
    assert_eq!(findings(&facts, &entries)[0].broken, 0);
}

#[test]
fn a_cold_backend_that_falls_and_a_process_that_ends_by_itself_are_found() {
    assert_eq!(found("cold", &[(0, Event::Tipped { backend: 1 })]), (1, 0));
    assert_eq!(
        found(
            "cold",
            &[(
                0,
                Event::Backend {
                    backend: 1,
                    state: "restart".into()
                }
            )]
        ),
        (0, 0)
    );
    assert_eq!(
        found(
            "crashes",
            &[(0, door(Life::Started)), (1, door(Life::Ready))]
        ),
        (0, 0)
    );
    assert_eq!(
        found(
            "crashes",
            &[(0, door(Life::Started)), (1, door(Life::Crashed))]
        ),
        (1, 0)
    );
    assert_eq!(
        found(
            "crashes",
            &[(0, door(Life::Started)), (9000, sent("a", 0, 0))]
        ),
        (1, 0)
    );
    assert_eq!(
        found(
            "crashes",
            &[(0, door(Life::Started)), (1000, sent("a", 0, 0))]
        ),
        (0, 0)
    );
}

#[test]
fn a_machine_that_cannot_keep_up_gives_no_verdict() {
    let facts = facts();
    let late = |us| {
        vec![Entry {
            us,
            event: sent("a", 0, 0),
        }]
    };
    assert_eq!(verdict(&facts, &late(0), &[]), Verdict::Kept);
    assert_eq!(verdict(&facts, &late(40_000), &[]), Verdict::None);
    let broken = Finding {
        broken: 1,
        ..Finding::new("lost")
    };
    assert_eq!(verdict(&facts, &late(0), &[broken]), Verdict::Broken);
}

#[test]
fn figures_tell_for_how_long_others_go_on() {
    let mut entries = Vec::new();
    let mut put = |ms: u64, event| {
        entries.push(Entry {
            us: ms * 1000,
            event,
        });
    };
    let ban = Event::Call {
        door: 1,
        line: "maint-on s-00000003".into(),
        answer: "done".into(),
    };
    put(1000, ban);
    put(
        1001,
        Event::Fault {
            number: 1,
            text: "withdraw chain at d0".into(),
            begins: true,
        },
    );
    put(1400, arrived("a", 3, 0));
    put(3000, arrived("b", 3, 0));
    for (door, ms) in [(0, 4000), (1, 4700)] {
        put(
            ms,
            Event::Told {
                door,
                rev: 1,
                whole: true,
                states: vec![],
            },
        );
        put(
            ms + 100,
            Event::Told {
                door,
                rev: 2,
                whole: false,
                states: vec![],
            },
        );
    }
    let figures = figures(&facts(), &entries);
    assert_eq!(
        (figures.ban_ignored_ms, figures.ban_ignored_sends),
        (Some(2000.0), 1)
    );
    assert_eq!(
        (figures.settings_ignored_ms, figures.settings_ignored_sends),
        (Some(1999.0), 2)
    );
    assert_eq!(figures.lists_differ_ms, 700.0);
}
