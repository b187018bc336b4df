//! Bounds of the leader election over seeds: `cargo run --release -p gateway-cluster --example leadership [GATEWAYS [SEEDS
//! [PERCENT [THREADS]]]]`. Prints the time without a leader after the leader is killed, leaves, or all gateways restart, and
//! the traffic of the election, idle and after seven in ten gateways are killed. Steps with two leaders are counted
//! throughout.

mod seeds;

use gateway_cluster::protocol::{Micros, PeerIndex};
use gateway_cluster::sim::{NetworkConditions, Sent, Sim, SimulatedNode};
use seeds::over_seeds;

const LEASE_MS: u64 = 3000;
const PROBE: Micros = 500_000;
const SECOND: Micros = 1_000_000;
/// Time between two observations of the leaders, in microseconds.
const STEP: Micros = 5_000;
/// Traffic is averaged over any interval of this many seconds.
const WINDOW: usize = 10;

/// A simulated cluster and its observed violations.
struct Cluster {
    sim: Sim<SimulatedNode<LEASE_MS>>,
    /// Number of steps at which there were two leaders.
    steps_with_two_leaders: u64,
}

impl Cluster {
    /// A cluster with a leader, after a time that depends on the seed.
    fn running(gateways: usize, loss: f64, seed: u64) -> Cluster {
        let mut sim = Sim::new(gateways, PROBE, seed);
        if loss > 0.0 {
            sim.network = NetworkConditions {
                loss,
                jitter: 50_000,
                double: 0.05,
                ..NetworkConditions::default()
            };
        }
        let mut cluster = Cluster {
            sim,
            steps_with_two_leaders: 0,
        };
        cluster.start();
        cluster.until(60 * SECOND, |_| true);
        // A random time between two renewals.
        let phase = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (LEASE_MS * 1000);
        cluster.until(8 * SECOND + phase, |_| false);
        // With losses there may be no leader at the moment.
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
                    .and_then(|node| node.stack.election()?.epoch(now))
                    .is_some()
            })
            .collect()
    }

    /// Runs until there is an accepted leader. Returns the elapsed seconds, or infinity after a time-out.
    fn until(&mut self, timeout: Micros, is_accepted: impl Fn(PeerIndex) -> bool) -> f64 {
        let started_at = self.sim.now();
        while self.sim.now() < started_at + timeout {
            self.sim.run_until(self.sim.now() + STEP);
            let leaders = self.leaders();
            self.steps_with_two_leaders += u64::from(leaders.len() > 1);
            if leaders.iter().any(|leader| is_accepted(*leader)) {
                return (self.sim.now() - started_at) as f64 / 1e6;
            }
        }
        f64::INFINITY
    }

    /// The traffic of each gateway's election in each of these seconds, and whether it was the leader in it.
    fn seconds(&mut self, seconds: usize) -> Vec<Vec<(Sent, bool)>> {
        let gateways = self.sim.peers();
        let mut sent = vec![Vec::new(); gateways];
        let mut take = |cluster: &mut Cluster, node: &[bool]| {
            for (gateway, seconds) in sent.iter_mut().enumerate() {
                let taken = cluster
                    .sim
                    .engine(gateway)
                    .map(|node| std::mem::take(&mut node.sent));
                seconds.extend(taken.map(|taken| (taken, node[gateway])));
            }
        };
        // Discard the traffic from before.
        for gateway in 0..gateways {
            self.sim
                .engine(gateway)
                .map(|node| std::mem::take(&mut node.sent));
        }
        for _ in 0..seconds {
            let mut node = vec![false; gateways];
            for _ in 0..SECOND / STEP {
                self.until(STEP, |_| false);
                self.leaders()
                    .into_iter()
                    .for_each(|leader| node[leader] = true);
            }
            take(self, &node);
        }
        sent
    }
}

/// Messages and bytes a second.
type Rate = (f64, f64);

fn higher(one: Rate, other: Rate) -> Rate {
    (one.0.max(other.0), one.1.max(other.1))
}

/// The maximum traffic over any window: of a leader, of another gateway, and of all gateways on average.
fn max_rates(sent: &[Vec<(Sent, bool)>]) -> [Rate; 3] {
    let mut max_rates = [(0.0, 0.0); 3];
    let rate = |window: &[(Sent, bool)]| {
        let sum =
            |of: fn(&Sent) -> u64| window.iter().map(|(sent, _)| of(sent)).sum::<u64>() as f64;
        (
            sum(|sent| sent.messages) / WINDOW as f64,
            sum(|sent| sent.bytes) / WINDOW as f64,
        )
    };
    for window in sent.iter().flat_map(|gateway| gateway.windows(WINDOW)) {
        let kind = usize::from(!window.iter().any(|(_, node)| *node));
        max_rates[kind] = higher(max_rates[kind], rate(window));
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
        max_rates[2] = higher(max_rates[2], (sum.0 / gateways, sum.1 / gateways));
    }
    max_rates
}

/// The measurements of one seed.
struct Measurement {
    after_kill_s: f64,
    after_leave_s: f64,
    after_restart_s: f64,
    idle: [Rate; 3],
    after_mass_failure: [Rate; 3],
    steps_with_two_leaders: u64,
    /// Whether the leader stayed the same while the cluster was idle.
    leader_is_stable: bool,
}

/// Selects a figure of a measurement.
type Figure<T> = fn(&Measurement) -> T;

fn measure(gateways: usize, loss: f64, seed: u64) -> Measurement {
    let timeout = 60 * SECOND;
    let mut cluster = Cluster::running(gateways, loss, seed);
    let Some(leader) = cluster.leaders().first().copied() else {
        let (unreached, none) = (f64::INFINITY, [(0.0, 0.0); 3]);
        let steps_with_two_leaders = cluster.steps_with_two_leaders;
        return Measurement {
            after_kill_s: unreached,
            after_leave_s: unreached,
            after_restart_s: unreached,
            idle: none,
            after_mass_failure: none,
            steps_with_two_leaders,
            leader_is_stable: false,
        };
    };
    let idle = max_rates(&cluster.seconds(20));
    let leader_is_stable = cluster.leaders() == [leader];
    cluster.until(timeout, |_| true);
    let leader = cluster.leaders().first().copied().unwrap_or(leader);
    cluster.sim.kill(leader);
    let after_kill_s = cluster.until(timeout, |next| next != leader);
    // In small clusters all gateways are needed for the next steps.
    cluster
        .sim
        .start(leader, 1_700_000_000 * SECOND + cluster.sim.now());
    cluster.until(10 * SECOND, |_| false);
    cluster.until(timeout, |_| true);
    let leader = cluster.leaders().first().copied().unwrap_or(leader);
    cluster.sim.leave(leader);
    let after_leave_s = cluster.until(timeout, |next| next != leader);
    (0..gateways).for_each(|gateway| cluster.sim.kill(gateway));
    cluster.start();
    let after_restart_s = cluster.until(timeout, |_| true);
    let mut steps_with_two_leaders = cluster.steps_with_two_leaders;
    // In some runs the leader survives and is left with a minority.
    let mut cluster = Cluster::running(gateways, loss, seed);
    (0..gateways)
        .filter(|gateway| gateway % 10 < 7)
        .for_each(|gateway| cluster.sim.kill(gateway));
    let after_mass_failure = max_rates(&cluster.seconds(40));
    steps_with_two_leaders += cluster.steps_with_two_leaders;
    Measurement {
        after_kill_s,
        after_leave_s,
        after_restart_s,
        idle,
        after_mass_failure,
        steps_with_two_leaders,
        leader_is_stable,
    }
}

fn report(gateways: usize, seeds: u64, percent: u64, threads: usize) {
    let found = over_seeds(seeds, threads, |seed| {
        measure(gateways, percent as f64 / 100.0, seed)
    });
    let found: Vec<Measurement> = found.into_iter().map(|(_, found)| found).collect();
    println!("{gateways} gateways, {percent}% loss, {seeds} seeds, lease {LEASE_MS} ms:");
    let times: [(&str, Figure<f64>); 3] = [
        ("the leader is killed", |found| found.after_kill_s),
        ("the leader leaves", |found| found.after_leave_s),
        ("all are killed and start at once", |found| {
            found.after_restart_s
        }),
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
            "  {what}: the next leader is elected after {:.2} s in the median, {:.2} s in 99%, {worst:.2} s at most",
            at(0.5),
            at(0.99)
        );
    }
    let sent: [(&str, Figure<[Rate; 3]>); 2] = [
        ("calm", |found| found.idle),
        ("seven in ten killed", |found| found.after_mass_failure),
    ];
    for (what, of) in sent {
        for (kind, who) in ["the leader", "another gateway", "a gateway on average"]
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
    let steps_with_two_leaders: u64 = found.iter().map(|found| found.steps_with_two_leaders).sum();
    let unstable_runs = found.iter().filter(|found| !found.leader_is_stable).count();
    let unreached = found
        .iter()
        .filter(|found| found.after_kill_s.is_infinite())
        .count();
    println!("  there was no leader for a minute in {unreached} runs");
    println!(
        "  two leaders at {steps_with_two_leaders} steps of {STEP} us; the leader changed while idle in {unstable_runs} runs"
    );
}

fn main() {
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let number = |at: usize, otherwise: u64| arguments.get(at).copied().unwrap_or(otherwise);
    let threads = number(
        3,
        std::thread::available_parallelism().map_or(4, usize::from) as u64,
    ) as usize;
    if arguments.len() > 2 {
        return report(number(0, 300) as usize, number(1, 6), number(2, 0), threads);
    }
    for gateways in arguments
        .first()
        .map_or(vec![3, 30, 300], |gateways| vec![*gateways])
    {
        for percent in [0, 10] {
            report(gateways as usize, number(1, 6), percent, threads);
        }
    }
}
