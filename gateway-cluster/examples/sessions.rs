//! Error rates and delays of the classification of customers, over many seeds of simulated traffic whose truth is
//! known.
//!
//! `cargo run --release -p gateway-cluster --example sessions -- [SEEDS] [MINUTES] [FIRST]`

use gateway_cluster::sessions::sim::{
    customer_mix, run, CustomerOutcome, Fault, Plan, SimulatedCustomer, FAULTS,
};
use gateway_cluster::sessions::Pooling;

const KINDS: [Pooling; 3] = [Pooling::Statement, Pooling::Transaction, Pooling::Session];

fn at(times: &mut [u64], part: f64) -> String {
    times.sort_unstable();
    match times.get((times.len() as f64 * part) as usize) {
        Some(&u64::MAX) | None => "-".to_string(),
        Some(time) => format!("{:.1}", *time as f64 / 1e6),
    }
}

fn plan(fault: Fault, gateways: usize, seed: u64, minutes: u64) -> Plan {
    Plan {
        gateways,
        customers: customer_mix(),
        fault,
        time: minutes * 60_000_000,
        lossy: true,
        use_verdicts: true,
        owner_replaced_at: Some(minutes * 40_000_000),
        seed,
    }
}

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    let seeds = numbers.first().copied().unwrap_or(6);
    let minutes = numbers.get(1).copied().unwrap_or(60);
    let first = numbers.get(2).copied().unwrap_or(1);
    println!("{seeds} seeds of {minutes} minutes for each fault and each of 2, 3, 4 gateways; 20% lost, 10% duplicated, 5% late;");
    println!(
        "an owner without state takes over at two thirds; times in seconds, `-`: not in the run\n"
    );
    let (mut hours, mut wrong) = (0.0, 0);
    for fault in FAULTS {
        let mut all: Vec<(SimulatedCustomer, CustomerOutcome)> = Vec::new();
        let mut excluded = [0; 2];
        let mut datagrams = 0;
        for gateways in 2..=4 {
            for seed in first..first + seeds {
                let plan = plan(fault, gateways, seed, minutes);
                let out = run(&plan);
                excluded = [excluded[0] + out.excluded[0], excluded[1] + out.excluded[1]];
                datagrams += out.datagrams;
                all.extend(plan.customers.iter().copied().zip(out.seen));
            }
        }
        let bound = all
            .iter()
            .filter(|(person, _)| person.truth != Pooling::Statement);
        let false_statements: u32 = bound.clone().map(|(_, seen)| seen.false_statements).sum();
        let bound_hours = bound.clone().count() as f64 * minutes as f64 / 60.0;
        hours += bound_hours;
        wrong += false_statements;
        let free: Vec<_> = all
            .iter()
            .filter(|(person, _)| person.truth == Pooling::Statement)
            .collect();
        let held: u64 = free.iter().map(|(_, seen)| seen.overclassified_time).sum();
        let ever = free
            .iter()
            .filter(|(_, seen)| seen.overclassified_time > 0)
            .count();
        let weakened: u32 = all.iter().map(|(_, seen)| seen.false_transactions).sum();
        println!("{fault:?}: false statements {false_statements} in {bound_hours:.0} customer-hours; session to transaction {weakened};");
        println!(
            "  stateless restricted too far: {:.3}% of their time, {ever} of {} ever; entries excluded: unhealthy {}, too few others {}; datagrams {:.1}/s a set",
            held as f64 / (free.len() as f64 * minutes as f64 * 60e6) * 100.0,
            free.len(),
            excluded[0],
            excluded[1],
            datagrams as f64 / (3.0 * seeds as f64 * minutes as f64 * 60.0)
        );
        let both = |seen: &CustomerOutcome| {
            seen.everywhere
                .zip(seen.right)
                .map(|(all, one)| all.saturating_sub(one))
        };
        let mut delays: Vec<u64> = all.iter().filter_map(|(_, seen)| both(seen)).collect();
        let late = delays.iter().filter(|&&delay| delay > 1_000_000).count();
        let [half, most] = [0.5, 0.99].map(|part| at(&mut delays, part));
        println!(
            "  from the owner to all gateways: median {half} s, 99th {most} s, {late} of {} over 1 s",
            delays.len()
        );
        rows(&all);
    }
    println!("\nall: {wrong} false statements in {hours:.0} customer-hours of bound customers");

    for (name, customers) in worlds() {
        println!("\n{name}");
        let mut all: Vec<(SimulatedCustomer, CustomerOutcome)> = Vec::new();
        for seed in first..first + seeds {
            let plan = Plan {
                customers: customers.clone(),
                ..plan(Fault::None, 3, seed, minutes)
            };
            all.extend(plan.customers.iter().copied().zip(run(&plan).seen));
        }
        rows(&all);
    }
}

fn worlds() -> Vec<(&'static str, Vec<SimulatedCustomer>)> {
    let mut turning = customer_mix();
    for (truth, turned) in [
        (Pooling::Statement, Pooling::Session),
        (Pooling::Statement, Pooling::Transaction),
        (Pooling::Session, Pooling::Statement),
        (Pooling::Transaction, Pooling::Statement),
        (Pooling::Transaction, Pooling::Session),
    ] {
        for rate in [2.0 / 60.0, 1.0, 10.0] {
            turning.push(SimulatedCustomer {
                changes_at: Some((600_000_000, turned)),
                ..SimulatedCustomer::new(truth, rate)
            });
        }
    }
    let bound = [Pooling::Transaction, Pooling::Session]
        .map(|kind| vec![SimulatedCustomer::new(kind, 1.0); 15])
        .concat();
    let few = KINDS
        .map(|kind| SimulatedCustomer::new(kind, 2.0 / 60.0))
        .to_vec();
    vec![
        (
            "Customers that turn after 10 minutes (times from then)",
            turning,
        ),
        ("All customers are bound", bound),
        ("Three customers at 2 a minute and nobody else", few),
    ]
}

/// Prints one line for each kind of customer.
fn rows(all: &[(SimulatedCustomer, CustomerOutcome)]) {
    let mut sorts: Vec<SimulatedCustomer> = Vec::new();
    for (person, _) in all {
        if !sorts.contains(person) {
            sorts.push(*person);
        }
    }
    for sort in sorts {
        let ours: Vec<_> = all.iter().filter(|(person, _)| *person == sort).collect();
        let since = sort.changes_at.map_or(0, |(at, _)| at);
        let after = |time: Option<u64>| {
            time.filter(|&at| at >= since)
                .map_or(u64::MAX, |at| at - since)
        };
        let mut times: Vec<u64> = ours.iter().map(|(_, seen)| after(seen.right)).collect();
        let mut everywhere: Vec<u64> = ours
            .iter()
            .map(|(_, seen)| after(seen.everywhere))
            .collect();
        let sum = |at: usize| ours.iter().map(|(_, seen)| seen.requests[at]).sum::<u64>() as f64;
        let wrong: u32 = ours.iter().map(|(_, seen)| seen.false_statements).sum();
        let held: u64 = ours.iter().map(|(_, seen)| seen.overclassified_time).sum();
        let ever = ours
            .iter()
            .filter(|(_, seen)| seen.overclassified_time > 0)
            .count();
        let mut name = format!("{:?} {:.3}/s", sort.truth, sort.rate);
        if sort.break_failure_rate < 1.0 || sort.own_failure_rate > 0.0 {
            name += &format!(
                ", breaks fail {}, others {}",
                sort.break_failure_rate, sort.own_failure_rate
            );
        }
        if let Some((_, kind)) = sort.changes_at {
            name += &format!(", then {kind:?}");
        }
        println!(
            "  {name:<46} right median {:>7} 95th {:>7}, everywhere 95th {:>7}; {wrong} false statements; {:.2}% broken; {ever} of {} held for more, {:.0} s",
            at(&mut times, 0.5),
            at(&mut times, 0.95),
            at(&mut everywhere, 0.95),
            sum(1) / sum(0) * 100.0,
            ours.len(),
            held as f64 / 1e6
        );
    }
}
