//! Bounds of the membership protocol over seeds, on all processors:
//! `cargo run --release -p gateway-cluster --example membership_bounds heal [GATEWAYS [SEEDS]]`, the time until all views
//! are correct after partitions of several shapes and durations; `... loss [GATEWAYS [SEEDS [SECONDS [PERCENT]]]]`, wrong
//! verdicts while datagrams are lost; `... kill [GATEWAYS [SEEDS [PERCENT]]]`, the time until a killed gateway is dead in
//! every view; `... storm [GATEWAYS [SEEDS [PERCENT]]]`, the traffic after a mass failure.

mod seeds;

use gateway_cluster::membership::Membership;
use gateway_cluster::protocol::{Micros, PeerState};
use gateway_cluster::sim::{NetworkConditions, Sim};

const PROBE: Micros = 500_000;
const SECOND: Micros = 1_000_000;
const SHAPES: [&str; 5] = ["halves", "thirds", "one", "tenth", "bridge"];

fn side(shape: &str, gateway: usize) -> usize {
    match shape {
        "halves" => gateway % 2,
        "thirds" => gateway % 3,
        "tenth" => usize::from(gateway % 10 == 0),
        _ => usize::from(gateway == 0),
    }
}

/// Seconds from the end of a partition until all views are correct; `None` after a minute.
fn healing_time_s(gateways: usize, shape: &str, duration_s: u64, seed: u64) -> Option<f64> {
    let mut sim = cluster(gateways, 0.0, seed);
    if shape == "bridge" {
        for (a, b) in (0..gateways).flat_map(|a| (0..gateways).map(move |b| (a, b))) {
            sim.cut(a, b, a != 0 && b != 0 && a % 2 != b % 2);
        }
    } else {
        sim.partition(|gateway| side(shape, gateway));
    }
    sim.run_until(sim.now() + duration_s * SECOND);
    sim.partition(|_| 0);
    let since = sim.now();
    let at = sim.run_until_true(since + 60 * SECOND, Sim::has_converged);
    at.map(|at| (at - since) as f64 / 1e6)
}

/// A cluster that starts now. With loss there are jitter and duplicated datagrams too.
fn started(gateways: usize, loss: f64, seed: u64) -> Sim<Membership> {
    let mut sim = Sim::<Membership>::new(gateways, PROBE, seed);
    sim.network = match loss > 0.0 {
        true => NetworkConditions {
            loss,
            jitter: 50_000,
            double: 0.05,
            ..NetworkConditions::default()
        },
        false => NetworkConditions::default(),
    };
    (0..gateways).for_each(|gateway| {
        sim.start(
            gateway,
            1_700_000_000 * SECOND + gateway as u64 * 77 * SECOND,
        );
    });
    sim
}

/// A cluster after twenty seconds of operation.
fn cluster(gateways: usize, loss: f64, seed: u64) -> Sim<Membership> {
    let mut sim = started(gateways, loss, seed);
    sim.run_until(20 * SECOND);
    sim
}

/// Seconds until a killed gateway is dead in every view.
fn detection_time_s(gateways: usize, loss: f64, seed: u64) -> f64 {
    let mut sim = cluster(gateways, loss, seed);
    let since = sim.now();
    sim.kill(0);
    let dead = |sim: &Sim<Membership>| {
        (1..sim.peers())
            .filter_map(|gateway| sim.view(gateway))
            .all(|view| view[0] == PeerState::Dead)
    };
    let at = sim.run_until_true(since + 60 * SECOND, dead);
    at.map_or(f64::INFINITY, |at| (at - since) as f64 / 1e6)
}

/// Maximum rate of a gateway in the forty seconds after seven in ten are killed, averaged over any ten seconds: datagrams
/// and bytes per second.
fn traffic_after_mass_failure(gateways: usize, loss: f64, seed: u64) -> (f64, f64) {
    let mut sim = cluster(gateways, loss, seed);
    (0..gateways)
        .filter(|gateway| gateway % 10 < 7)
        .for_each(|gateway| sim.kill(gateway));
    for gateway in 0..gateways {
        sim.take_sent(gateway);
    }
    let mut seconds = vec![Vec::new(); gateways];
    for _ in 0..40 {
        sim.run_until(sim.now() + SECOND);
        (0..gateways).for_each(|gateway| seconds[gateway].push(sim.take_sent(gateway)));
    }
    let (mut messages, mut bytes) = (0, 0);
    for ten in seconds.iter().flat_map(|sent| sent.windows(10)) {
        messages = messages.max(ten.iter().map(|sent| sent.messages).sum());
        bytes = bytes.max(ten.iter().map(|sent| sent.bytes).sum());
    }
    (messages as f64 / 10.0, bytes as f64 / 10.0)
}

/// Number of seconds in which some running gateway was considered dead, at this loss and 50 ms jitter, and number of wrong
/// verdicts.
fn false_verdicts(gateways: usize, seconds: u64, loss: f64, seed: u64) -> (u64, usize) {
    let mut sim = started(gateways, loss, seed);
    let (mut wrong, mut verdicts) = (0, 0);
    for _ in 0..seconds {
        sim.run_until(sim.now() + SECOND);
        let mut any = false;
        for gateway in 0..gateways {
            let Some(view) = sim.engine(gateway) else {
                continue;
            };
            any |= view.states().contains(&PeerState::Dead);
            while let Some(change) = view.next_change() {
                verdicts += usize::from(change.to == PeerState::Dead);
            }
        }
        wrong += u64::from(any);
    }
    (wrong, verdicts)
}

/// Runs this for each seed, on all processors.
fn over_seeds<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<(u64, T)> {
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    seeds::over_seeds(seeds, threads, run)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, otherwise: u64| {
        arguments
            .get(at)
            .and_then(|argument| argument.parse().ok())
            .unwrap_or(otherwise)
    };
    let (gateways, seeds) = (number(1, 300) as usize, number(2, 6));
    if arguments.first().is_some_and(|argument| argument == "loss") {
        let (seconds, percent) = (number(3, 3600), number(4, 10));
        let found = over_seeds(seeds, |seed| {
            false_verdicts(gateways, seconds, percent as f64 / 100.0, seed)
        });
        let wrong: u64 = found.iter().map(|(_, (wrong, _))| wrong).sum();
        let verdicts: usize = found.iter().map(|(_, (_, verdicts))| verdicts).sum();
        let seeds_with_wrong_verdicts: Vec<u64> = found
            .iter()
            .filter(|(_, found)| found.1 > 0)
            .map(|(seed, _)| *seed)
            .collect();
        println!(
            "{gateways:>3} gateways, {percent}% loss, {seeds} seeds of {seconds} s: {wrong} seconds with a running \
             gateway considered dead, {verdicts} wrong verdicts, in seeds {seeds_with_wrong_verdicts:?}"
        );
        return;
    }
    if arguments
        .first()
        .is_some_and(|argument| argument == "kill" || argument == "storm")
    {
        let percent = number(3, 0);
        let loss = percent as f64 / 100.0;
        let what = format!("{gateways:>3} gateways, {percent}% loss, {seeds} seeds");
        if arguments[0] == "storm" {
            let found = over_seeds(seeds, |seed| {
                traffic_after_mass_failure(gateways, loss, seed)
            });
            let max = |of: fn(&(f64, f64)) -> f64| {
                found.iter().map(|(_, sent)| of(sent)).fold(0.0, f64::max)
            };
            println!(
                "{what}, seven in ten killed: {:.1} messages and {:.0} bytes a second at most",
                max(|sent| sent.0),
                max(|sent| sent.1)
            );
            return;
        }
        let found = over_seeds(seeds, |seed| detection_time_s(gateways, loss, seed));
        let mut times: Vec<f64> = found.iter().map(|(_, took)| *took).collect();
        times.sort_by(f64::total_cmp);
        println!(
            "{what}: a killed gateway is dead in every view after {:.2} s in the median, {:.2} s at most",
            times[times.len() / 2],
            times[times.len() - 1]
        );
        return;
    }
    for shape in SHAPES {
        for duration_s in [3, 8, 30, 90] {
            let found = over_seeds(seeds, |seed| {
                healing_time_s(gateways, shape, duration_s, seed).unwrap_or(f64::INFINITY)
            });
            let mut times: Vec<f64> = found.iter().map(|(_, took)| *took).collect();
            times.sort_by(f64::total_cmp);
            let over = found.iter().filter(|(_, took)| *took > 5.0).count();
            println!(
                "{gateways:>3} gateways, {shape:>6} for {duration_s:>2} s, {seeds} seeds: median {:.2} s, worst {:.2} s, over 5 s {over}",
                times[times.len() / 2],
                times[times.len() - 1]
            );
        }
    }
}
