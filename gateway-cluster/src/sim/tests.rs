use super::*;

/// Sends a heartbeat to all others every probe period and counts the received ones by sender.
struct HeartbeatCounter {
    options: StartOptions,
    next: Micros,
    received: Vec<u64>,
}

impl Protocol for HeartbeatCounter {
    fn start(now: Micros, options: StartOptions, _: &mut Vec<IndexedTransmit>) -> HeartbeatCounter {
        HeartbeatCounter {
            options,
            next: now,
            received: vec![0; options.peer_count],
        }
    }
    fn on_datagram(&mut self, _: Micros, bytes: &[u8], _: &mut Vec<IndexedTransmit>) {
        self.received[usize::from(bytes[0])] += 1;
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
        self.received
            .iter()
            .map(|received| {
                if *received > 0 {
                    PeerState::Alive
                } else {
                    PeerState::Dead
                }
            })
            .collect()
    }
}

fn cluster(seed: u64) -> Sim<HeartbeatCounter> {
    let mut sim = Sim::new(4, 500_000, seed);
    (0..4).for_each(|gateway| sim.start(gateway, 0));
    sim
}

fn received(sim: &Sim<HeartbeatCounter>, at: PeerIndex, from: PeerIndex) -> u64 {
    sim.gateways[at]
        .protocol
        .as_ref()
        .map_or(0, |protocol| protocol.received[from])
}

#[test]
fn a_seed_reproduces_a_run_and_another_seed_does_not() {
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
            .map(|n| received(&sim, n / 4, n % 4))
            .collect::<Vec<u64>>()
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

#[test]
fn datagrams_are_lost_and_duplicated_with_the_configured_probabilities() {
    let mut sim = cluster(1);
    sim.network = NetworkConditions {
        loss: 0.25,
        double: 0.5,
        ..NetworkConditions::default()
    };
    sim.run_until(1_000_000_000);
    let arrived = received(&sim, 0, 1) as f64 / 2000.0;
    assert!(
        (arrived - 0.75 * 1.5).abs() < 0.1,
        "{arrived} arrivals per datagram"
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
fn a_blocked_link_is_one_way_and_killed_or_paused_gateways_send_nothing() {
    let mut sim = cluster(1);
    sim.cut(0, 1, true);
    sim.kill(2);
    sim.stop(3, true);
    sim.run_until(10_000_000);
    assert_eq!(
        (
            received(&sim, 1, 0),
            received(&sim, 0, 2),
            received(&sim, 0, 3)
        ),
        (0, 0, 0)
    );
    assert!(received(&sim, 0, 1) > 15);
    assert_eq!(received(&sim, 3, 0), 0);
    sim.stop(3, false);
    assert!(
        received(&sim, 3, 0) > 15,
        "the socket buffered the datagrams"
    );
    let before = received(&sim, 0, 3);
    sim.run_until(11_000_000);
    assert!(
        (1..=4).contains(&(received(&sim, 0, 3) - before)),
        "missed timers are not repeated"
    );
    sim.start(2, 0);
    sim.partition(|gateway| gateway % 2);
    let before = [received(&sim, 0, 1), received(&sim, 0, 2)];
    sim.run_until(20_000_000);
    assert!(received(&sim, 0, 1) <= before[0] + 1 && received(&sim, 0, 2) > before[1] + 10);
}
