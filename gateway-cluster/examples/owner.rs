//! The owner's bounds over seeds: `cargo run --release -p gateway-cluster --example owner [DOORS [SEEDS [PERCENT
//! [THREADS]]]]`, how long nobody owns after the owner is killed, ends as planned, or all are killed at once, and what the
//! office sends beyond the view, in calm and after seven in ten are killed. Two owners at one instant are counted throughout.

mod seeds;

use gateway_cluster::engine::{Micros, Place};
use gateway_cluster::sim::{Owned, Sent, Sim, Weather};
use seeds::over_seeds;

const LEASE_MS: u64 = 3000;
const PROBE: Micros = 500_000;
const SECOND: Micros = 1_000_000;
/// How often it is looked who owns.
const STEP: Micros = 5_000;
/// What is sent is told as the mean of any so many seconds.
const WINDOW: usize = 10;

struct Fleet {
    sim: Sim<Owned<LEASE_MS>>,
    /// Steps at which there were two owners.
    two: u64,
}

impl Fleet {
    /// One that has run for a while, up to a moment that differs by the seed.
    fn running(doors: usize, loss: f64, seed: u64) -> Fleet {
        let mut sim = Sim::new(doors, PROBE, seed);
        if loss > 0.0 {
            sim.weather = Weather {
                loss,
                jitter: 50_000,
                double: 0.05,
                ..Weather::default()
            };
        }
        let mut fleet = Fleet { sim, two: 0 };
        fleet.start();
        fleet.until(60 * SECOND, |_| true);
        // Somewhere between two renewals.
        let phase = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (LEASE_MS * 1000);
        fleet.until(8 * SECOND + phase, |_| false);
        // While much is lost it may just be without one.
        fleet.until(60 * SECOND, |_| true);
        fleet
    }

    fn start(&mut self) {
        let unix = 1_700_000_000 * SECOND + self.sim.now();
        (0..self.sim.roster()).for_each(|door| self.sim.start(door, unix));
    }

    fn owners(&mut self) -> Vec<Place> {
        let now = self.sim.now();
        let sim = &mut self.sim;
        (0..sim.roster())
            .filter(|door| {
                sim.engine(*door)
                    .and_then(|owned| owned.stack.office()?.epoch(now))
                    .is_some()
            })
            .collect()
    }

    /// Goes on until somebody owns who will do. Returns how many seconds that took; without an end if it took too long.
    fn until(&mut self, most: Micros, will_do: impl Fn(Place) -> bool) -> f64 {
        let began = self.sim.now();
        while self.sim.now() < began + most {
            self.sim.run_until(self.sim.now() + STEP);
            let owners = self.owners();
            self.two += u64::from(owners.len() > 1);
            if owners.iter().any(|owner| will_do(*owner)) {
                return (self.sim.now() - began) as f64 / 1e6;
            }
        }
        f64::INFINITY
    }

    /// What each door's office sends in each of so many seconds, and whether it owned in it.
    fn seconds(&mut self, seconds: usize) -> Vec<Vec<(Sent, bool)>> {
        let doors = self.sim.roster();
        let mut sent = vec![Vec::new(); doors];
        let mut take = |fleet: &mut Fleet, owned: &[bool]| {
            for (door, seconds) in sent.iter_mut().enumerate() {
                let taken = fleet
                    .sim
                    .engine(door)
                    .map(|owned| std::mem::take(&mut owned.sent));
                seconds.extend(taken.map(|taken| (taken, owned[door])));
            }
        };
        // What was sent before counts for nothing.
        for door in 0..doors {
            self.sim
                .engine(door)
                .map(|owned| std::mem::take(&mut owned.sent));
        }
        for _ in 0..seconds {
            let mut owned = vec![false; doors];
            for _ in 0..SECOND / STEP {
                self.until(STEP, |_| false);
                self.owners()
                    .into_iter()
                    .for_each(|owner| owned[owner] = true);
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
    for window in sent.iter().flat_map(|door| door.windows(WINDOW)) {
        let kind = usize::from(!window.iter().any(|(_, owned)| *owned));
        most[kind] = higher(most[kind], rate(window));
    }
    let running: Vec<&Vec<(Sent, bool)>> = sent.iter().filter(|door| !door.is_empty()).collect();
    let seconds = running.iter().map(|door| door.len()).min().unwrap_or(0);
    for begin in 0..(seconds + 1).saturating_sub(WINDOW) {
        let all = running
            .iter()
            .map(|door| rate(&door[begin..begin + WINDOW]));
        let sum = all.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let doors = running.len() as f64;
        most[2] = higher(most[2], (sum.0 / doors, sum.1 / doors));
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
    /// Whether one owner stayed through the calm time.
    stayed: bool,
}

/// One of the figures.
type Of<T> = fn(&Found) -> T;

fn measure(doors: usize, loss: f64, seed: u64) -> Found {
    let patience = 60 * SECOND;
    let mut fleet = Fleet::running(doors, loss, seed);
    let Some(owner) = fleet.owners().first().copied() else {
        let (never, none) = (f64::INFINITY, [(0.0, 0.0); 3]);
        let two = fleet.two;
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
    let calm = most(&fleet.seconds(20));
    let stayed = fleet.owners() == [owner];
    fleet.until(patience, |_| true);
    let owner = fleet.owners().first().copied().unwrap_or(owner);
    fleet.sim.kill(owner);
    let killed = fleet.until(patience, |next| next != owner);
    // Of few doors all are needed for what comes next.
    fleet
        .sim
        .start(owner, 1_700_000_000 * SECOND + fleet.sim.now());
    fleet.until(10 * SECOND, |_| false);
    fleet.until(patience, |_| true);
    let owner = fleet.owners().first().copied().unwrap_or(owner);
    fleet.sim.leave(owner);
    let ended = fleet.until(patience, |next| next != owner);
    (0..doors).for_each(|door| fleet.sim.kill(door));
    fleet.start();
    let all = fleet.until(patience, |_| true);
    let mut two = fleet.two;
    // The owner is among those that are left in some runs: then it is cut down to a minority.
    let mut fleet = Fleet::running(doors, loss, seed);
    (0..doors)
        .filter(|door| door % 10 < 7)
        .for_each(|door| fleet.sim.kill(door));
    let storm = most(&fleet.seconds(40));
    two += fleet.two;
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

fn report(doors: usize, seeds: u64, percent: u64, threads: usize) {
    let found = over_seeds(seeds, threads, |seed| {
        measure(doors, percent as f64 / 100.0, seed)
    });
    let found: Vec<Found> = found.into_iter().map(|(_, found)| found).collect();
    println!("{doors} doors, {percent}% loss, {seeds} seeds, lease {LEASE_MS} ms:");
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
    for doors in words.first().map_or(vec![3, 30, 300], |doors| vec![*doors]) {
        for percent in [0, 10] {
            report(doors as usize, number(1, 6), percent, threads);
        }
    }
}
