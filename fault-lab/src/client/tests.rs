use super::*;
use crate::scenario::Scenario;

#[test]
fn what_is_sent_follows_from_the_seed_alone_and_comes_at_the_rate_asked_for() {
    let scenario = Scenario::shipped("calm")
        .expect("it ships")
        .expect("it makes sense");
    let facts = scenario.facts(1);
    let drawn = |seed| plan(&facts, &customers(&facts, seed), seed);
    let (one, same, other) = (drawn(1), drawn(1), drawn(2));
    assert!(one == same && one != other);
    let offered: f64 = customers(&facts, 1)
        .iter()
        .map(|customer| customer.rate)
        .sum();
    let wanted = offered * facts.seconds;
    assert!(
        (one.len() as f64 - wanted).abs() < 5.0 * wanted.sqrt(),
        "{} for {wanted}",
        one.len()
    );
    assert!(one.windows(2).all(|pair| pair[0].due <= pair[1].due));
}

#[test]
fn runs_come_closely_by_one_door_and_apart_from_each_other_at_the_rate_asked_for() {
    let scenario = Scenario::shipped("sessions")
        .expect("it ships")
        .expect("it makes sense");
    let facts = Facts {
        seconds: 400.0,
        ..scenario.facts(1)
    };
    let customers = customers(&facts, 1);
    let requests = plan(&facts, &customers, 1);
    for (number, plan) in facts
        .plans
        .iter()
        .enumerate()
        .filter(|(_, plan)| plan.run_length > 0.0)
    {
        let (mut runs, mut sent, mut wanted) = (0, 0, 0.0);
        let theirs = customers
            .iter()
            .enumerate()
            .filter(|(_, customer)| customer.plan == number);
        for (who, customer) in theirs {
            let all: Vec<&Planned> = requests
                .iter()
                .filter(|request| request.customer == who)
                .collect();
            let follows = |pair: &&[&Planned]| {
                pair[1].due - pair[0].due < (plan.run_gap_ms * 1500.0) as Micros
            };
            let (close, apart): (Vec<_>, Vec<_>) = all.windows(2).partition(follows);
            let quarter = (plan.run_gap_ms * 250.0) as Micros;
            assert!(close
                .iter()
                .all(|pair| pair[1].due - pair[0].due <= quarter && pair[0].way == pair[1].way));
            let moved = apart.iter().any(|pair| pair[0].way != pair[1].way);
            assert_eq!(
                moved,
                customer.spread > 1,
                "runs go by other ways than those before"
            );
            (runs, sent) = (runs + apart.len() + 1, sent + all.len());
            wanted += customer.rate * facts.seconds;
        }
        let length = sent as f64 / runs as f64;
        assert!(
            (length / plan.run_length - 1.0).abs() < 0.1,
            "{}: {length} requests a run",
            plan.name
        );
        assert!(
            (sent as f64 / wanted - 1.0).abs() < 0.1,
            "{}: {sent} for {wanted}",
            plan.name
        );
    }
}
