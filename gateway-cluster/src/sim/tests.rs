use super::*;

/// Tells everybody twice a second that it lives, and counts whom it hears.
struct Shout {
    options: StartOptions,
    next: Micros,
    heard: Vec<u64>,
}

impl Protocol for Shout {
    fn start(now: Micros, options: StartOptions, _: &mut Vec<IndexedTransmit>) -> Shout {
        Shout {
            options,
            next: now,
            heard: vec![0; options.peer_count],
        }
    }
    fn on_datagram(&mut self, _: Micros, bytes: &[u8], _: &mut Vec<IndexedTransmit>) {
        self.heard[usize::from(bytes[0])] += 1;
    }
    fn next_wakeup(&self) -> Option<Micros> {
        Some(self.next)
    }
    fn on_timer(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.next = now + self.options.probe_period;
        let others = (0..self.options.peer_count).filter(|to| *to != self.options.own_index);
        sends.extend(others.map(|to| IndexedTransmit {
            to,
            bytes: vec![self.options.own_index as u8],
        }));
    }
    fn view(&self) -> Vec<PeerState> {
        self.heard
            .iter()
            .map(|heard| {
                if *heard > 0 {
                    PeerState::Alive
                } else {
                    PeerState::Dead
                }
            })
            .collect()
    }
}

fn cluster(seed: u64) -> Sim<Shout> {
    let mut sim = Sim::new(4, 500_000, seed);
    (0..4).for_each(|gateway| sim.start(gateway, 0));
    sim
}

fn heard(sim: &Sim<Shout>, by: PeerIndex, of: PeerIndex) -> u64 {
    sim.gateways[by]
        .engine
        .as_ref()
        .map_or(0, |engine| engine.heard[of])
}

#[test]
fn a_seed_gives_the_same_run_again_and_another_gives_another() {
    let run = |seed| {
        let mut sim = cluster(seed);
        sim.network = NetworkConditions {
            loss: 0.3,
            double: 0.2,
            jitter: 50_000,
            ..NetworkConditions::default()
        };
        sim.run_until(60_000_000);
        (0..16)
            .map(|n| heard(&sim, n / 4, n % 4))
            .collect::<Vec<u64>>()
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

#[test]
fn datagrams_are_lost_and_doubled_as_often_as_told() {
    let mut sim = cluster(1);
    sim.network = NetworkConditions {
        loss: 0.25,
        double: 0.5,
        ..NetworkConditions::default()
    };
    sim.run_until(1_000_000_000);
    let came = heard(&sim, 0, 1) as f64 / 2000.0;
    assert!(
        (came - 0.75 * 1.5).abs() < 0.1,
        "{came} for each that was sent"
    );
    assert_eq!(
        sim.take_sent(0),
        Sent {
            messages: 6003,
            bytes: 6003 * 29,
            largest: 1
        }
    );
}

#[test]
fn a_cut_is_one_way_and_what_is_killed_or_stopped_is_silent() {
    let mut sim = cluster(1);
    sim.cut(0, 1, true);
    sim.kill(2);
    sim.stop(3, true);
    sim.run_until(10_000_000);
    assert_eq!(
        (heard(&sim, 1, 0), heard(&sim, 0, 2), heard(&sim, 0, 3)),
        (0, 0, 0)
    );
    assert!(heard(&sim, 0, 1) > 15);
    assert_eq!(heard(&sim, 3, 0), 0);
    sim.stop(3, false);
    assert!(
        heard(&sim, 3, 0) > 15,
        "its socket held what came meanwhile"
    );
    let before = heard(&sim, 0, 3);
    sim.run_until(11_000_000);
    assert!(
        (1..=4).contains(&(heard(&sim, 0, 3) - before)),
        "its timers do not make up for what they missed"
    );
    sim.start(2, 0);
    sim.partition(|gateway| gateway % 2);
    let before = [heard(&sim, 0, 1), heard(&sim, 0, 2)];
    sim.run_until(20_000_000);
    assert!(heard(&sim, 0, 1) <= before[0] + 1 && heard(&sim, 0, 2) > before[1] + 10);
}
