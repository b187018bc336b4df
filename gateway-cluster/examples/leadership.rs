//! The leader's bounds over seeds: `cargo run --release -p gateway-cluster --example leader [GATEWAYS [SEEDS [PERCENT
//! [THREADS]]]]`, how long nobody owns after the leader is killed, ends as planned, or all are killed at once, and what the
//! leadership sends beyond the view, in calm and after seven in ten are killed. Two leaders at one instant are counted throughout.

mod seeds;

use gateway_cluster::protocol::{Micros, PeerIndex};
use gateway_cluster::sim::{NetworkConditions, Sent, Sim, SimulatedNode};
use seeds::over_seeds;

const LEASE_MS: u64 = 3000;
const PROBE: Micros = 500_000;
const SECOND: Micros = 1_000_000;
/// How often it is looked who owns.
const STEP: Micros = 5_000;
/// What is sent is told as the mean of any so many seconds.
const WINDOW: usize = 10;

struct Fleet {
    sim: Sim<SimulatedNode<LEASE_MS>>,
    /// Steps at which there were two leaders.
    two: u64,
}

impl Fleet {
    /// One that has run for a while, up to a moment that differs by the seed.
    fn running(gateways: usize, loss: f64, seed: u64) -> Fleet {
        let mut sim = Sim::new(gateways, PROBE, seed);
        if loss > 0.0 {
            sim.network = NetworkConditions {
                loss,
                jitter: 50_000,
                double: 0.05,
                ..NetworkConditions::default()
            };
        }
        let mut cluster = Fleet { sim, two: 0 };
        cluster.start();
        cluster.until(60 * SECOND, |_| true);
        // Somewhere between two renewals.
        let phase = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (LEASE_MS * 1000);
        cluster.until(8 * SECOND + phase, |_| false);
        // While much is lost it may just be without one.
        cluster.until(60 * SECOND, |_| true);
        cluster
    }

    fn start(&mut self) {
        let unix = 1_700_000_000 * SECOND + self.sim.now();
        (0..self.sim.peers()).for_each(|gateway| self.sim.start(gateway, unix));
    }

    fn leaders(&mut self) -> Vec<PeerIndex> {
        let now = self.sim.now();
        let sim = &mut self.sim;
        (0..sim.peers())
            .filter(|gateway| {
                sim.engine(*gateway)
                    .and_then(|owned| owned.stack.election()?.epoch(now))
                    .is_some()
            })
            .collect()
    }

    /// Goes on until somebody owns who will do. Returns how many seconds that took; without an end if it took too long.
    fn until(&mut self, most: Micros, will_do: impl Fn(PeerIndex) -> bool) -> f64 {
        let began = self.sim.now();
        while self.sim.now() < began + most {
            self.sim.run_until(self.sim.now() + STEP);
            let leaders = self.leaders();
            self.two += u64::from(leaders.len() > 1);
            if leaders.iter().any(|leader| will_do(*leader)) {
                return (self.sim.now() - began) as f64 / 1e6;
            }
        }
        f64::INFINITY
    }

    /// What each gateway's leadership sends in each of so many seconds, and whether it owned in it.
    fn seconds(&mut self, seconds: usize) -> Vec<Vec<(Sent, bool)>> {
        let gateways = self.sim.peers();
        let mut sent = vec![Vec::new(); gateways];
        let mut take = |cluster: &mut Fleet, owned: &[bool]| {
            for (gateway, seconds) in sent.iter_mut().enumerate() {
                let taken = cluster
                    .sim
                    .engine(gateway)
                    .map(|owned| std::mem::take(&mut owned.sent));
                seconds.extend(taken.map(|taken| (taken, owned[gateway])));
            }
        };
        // What was sent before counts for nothing.
        for gateway in 0..gateways {
            self.sim
                .engine(gateway)
                .map(|owned| std::mem::take(&mut owned.sent));
        }
        for _ in 0..seconds {
            let mut owned = vec![false; gateways];
            for _ in 0..SECOND / STEP {
                self.until(STEP, |_| false);
                self.leaders()
                    .into_iter()
                    .for_each(|leader| owned[leader] = true);
            }
            take(self, &owned);
        }
        sent
    }
}

/// Messages and bytes a second.
type Rate = (f64, f64);

fn higher(one: Rate, other: Rate) -> Rate {
    (one.0.max(other.0), one.1.max(other.1))
}

/// The most that was sent over any window: by one that owned in it, by one that did not, and by all in the mean.
fn most(sent: &[Vec<(Sent, bool)>]) -> [Rate; 3] {
    let mut most = [(0.0, 0.0); 3];
    let rate = |window: &[(Sent, bool)]| {
        let sum =
            |of: fn(&Sent) -> u64| window.iter().map(|(sent, _)| of(sent)).sum::<u64>() as f64;
        (
            sum(|sent| sent.messages) / WINDOW as f64,
            sum(|sent| sent.bytes) / WINDOW as f64,
        )
    };
    for window in sent.iter().flat_map(|gateway| gateway.windows(WINDOW)) {
        let kind = usize::from(!window.iter().any(|(_, owned)| *owned));
        most[kind] = higher(most[kind], rate(window));
    }
    let running: Vec<&Vec<(Sent, bool)>> =
        sent.iter().filter(|gateway| !gateway.is_empty()).collect();
    let seconds = running
        .iter()
        .map(|gateway| gateway.len())
        .min()
        .unwrap_or(0);
    for begin in 0..(seconds + 1).saturating_sub(WINDOW) {
        let all = running
            .iter()
            .map(|gateway| rate(&gateway[begin..begin + WINDOW]));
        let sum = all.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let gateways = running.len() as f64;
        most[2] = higher(most[2], (sum.0 / gateways, sum.1 / gateways));
    }
    most
}

/// What was measured with one seed.
struct Found {
    killed: f64,
    ended: f64,
    all: f64,
    calm: [Rate; 3],
    storm: [Rate; 3],
    two: u64,
    /// Whether one leader stayed through the calm time.
    stayed: bool,
}

/// One of the figures.
type Of<T> = fn(&Found) -> T;

fn measure(gateways: usize, loss: f64, seed: u64) -> Found {
    let patience = 60 * SECOND;
    let mut cluster = Fleet::running(gateways, loss, seed);
    let Some(leader) = cluster.leaders().first().copied() else {
        let (never, none) = (f64::INFINITY, [(0.0, 0.0); 3]);
        let two = cluster.two;
        return Found {
            killed: never,
            ended: never,
            all: never,
            calm: none,
            storm: none,
            two,
            stayed: false,
        };
    };
    let calm = most(&cluster.seconds(20));
    let stayed = cluster.leaders() == [leader];
    cluster.until(patience, |_| true);
    let leader = cluster.leaders().first().copied().unwrap_or(leader);
    cluster.sim.kill(leader);
    let killed = cluster.until(patience, |next| next != leader);
    // Of few gateways all are needed for what comes next.
    cluster
        .sim
        .start(leader, 1_700_000_000 * SECOND + cluster.sim.now());
    cluster.until(10 * SECOND, |_| false);
    cluster.until(patience, |_| true);
    let leader = cluster.leaders().first().copied().unwrap_or(leader);
    cluster.sim.leave(leader);
    let ended = cluster.until(patience, |next| next != leader);
    (0..gateways).for_each(|gateway| cluster.sim.kill(gateway));
    cluster.start();
    let all = cluster.until(patience, |_| true);
    let mut two = cluster.two;
    // The leader is among those that are left in some runs: then it is cut down to a minority.
    let mut cluster = Fleet::running(gateways, loss, seed);
    (0..gateways)
        .filter(|gateway| gateway % 10 < 7)
        .for_each(|gateway| cluster.sim.kill(gateway));
    let storm = most(&cluster.seconds(40));
    two += cluster.two;
    Found {
        killed,
        ended,
        all,
        calm,
        storm,
        two,
        stayed,
    }
}

fn report(gateways: usize, seeds: u64, percent: u64, threads: usize) {
    let found = over_seeds(seeds, threads, |seed| {
        measure(gateways, percent as f64 / 100.0, seed)
    });
    let found: Vec<Found> = found.into_iter().map(|(_, found)| found).collect();
    println!("{gateways} doors, {percent}% loss, {seeds} seeds, lease {LEASE_MS} ms:");
    let times: [(&str, Of<f64>); 3] = [
        ("the owner is killed", |found| found.killed),
        ("the owner ends as planned", |found| found.ended),
        ("all are killed and start at once", |found| found.all),
    ];
    for (what, of) in times {
        let mut times: Vec<f64> = found.iter().map(of).collect();
        times.sort_by(f64::total_cmp);
        let at = |part: f64| {
            times
                .get((times.len() as f64 * part) as usize)
                .copied()
                .unwrap_or(f64::NAN)
        };
        let worst = times.last().copied().unwrap_or(f64::NAN);
        println!(
            "  {what}: the next owns after {:.2} s in the median, {:.2} s in 99%, {worst:.2} s at most",
            at(0.5),
            at(0.99)
        );
    }
    let sent: [(&str, Of<[Rate; 3]>); 2] = [
        ("calm", |found| found.calm),
        ("seven in ten killed", |found| found.storm),
    ];
    for (what, of) in sent {
        for (kind, who) in ["one that owns", "another door", "a door in the mean"]
            .into_iter()
            .enumerate()
        {
            let (messages, bytes) = found
                .iter()
                .map(|found| of(found)[kind])
                .fold((0.0, 0.0), higher);
            println!("  {what}: {who} sends {messages:.1} messages and {bytes:.0} bytes a second at most");
        }
    }
    let two: u64 = found.iter().map(|found| found.two).sum();
    let unseated = found.iter().filter(|found| !found.stayed).count();
    let never = found
        .iter()
        .filter(|found| found.killed.is_infinite())
        .count();
    println!("  nobody owned for a minute in {never} runs");
    println!(
        "  two owners at {two} steps of {STEP} us; the owner changed in calm in {unseated} runs"
    );
}

fn main() {
    let words: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    let number = |at: usize, otherwise: u64| words.get(at).copied().unwrap_or(otherwise);
    let threads = number(
        3,
        std::thread::available_parallelism().map_or(4, usize::from) as u64,
    ) as usize;
    if words.len() > 2 {
        return report(number(0, 300) as usize, number(1, 6), number(2, 0), threads);
    }
    for gateways in words
        .first()
        .map_or(vec![3, 30, 300], |gateways| vec![*gateways])
    {
        for percent in [0, 10] {
            report(gateways as usize, number(1, 6), percent, threads);
        }
    }
}
