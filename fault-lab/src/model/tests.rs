use super::*;
use rand::SeedableRng;

fn machine() -> Machine {
    Machine {
        cores: 2,
        service_ms: vec![10.0],
        spread: 0.0,
        waiting: 3,
        cold_from: 0.5,
        cold_ms: 1000.0,
        tip_multiple: 2.0,
        tip_ms: 100.0,
    }
}

fn server(started: Option<Millis>) -> Server {
    Server::new(machine(), Pcg64Mcg::seed_from_u64(1), started)
}

#[test]
fn a_queue_before_cores_fills_and_turns_away() {
    let mut server = server(None);
    let ends: Vec<Arrival> = (0..6).map(|_| server.arrive(100.0, 0)).collect();
    let until = |at| Arrival::Runs { until: at };
    assert_eq!(
        ends[..5],
        [
            until(110.0),
            until(110.0),
            until(120.0),
            until(120.0),
            until(130.0)
        ]
    );
    assert_eq!(ends[5], Arrival::Full);
    assert_eq!(server.load(100.0), (2, 3));
    assert_eq!(server.load(115.0), (2, 1));
    assert_eq!(server.arrive(200.0, 0), until(210.0), "it is empty again");
    server.draining = true;
    assert_eq!(server.arrive(300.0, 0), Arrival::Full);
}

#[test]
fn a_cold_one_is_slow_warms_and_falls_over_when_pushed() {
    let mut server = server(Some(0.0));
    assert_eq!(server.arrive(0.0, 0), Arrival::Runs { until: 20.0 });
    assert_eq!(server.warmth(500.0), 0.75);
    assert_eq!(server.arrive(1000.0, 0), Arrival::Runs { until: 1010.0 });
    // Two cores at 0.55 of their speed do 110 ms of work in 100 ms: 220 ms are borne, more are not.
    let arrivals: Vec<Arrival> = (0..24).map(|n| self::server(Some(0.0)).pushed(n)).collect();
    assert_eq!(
        arrivals.iter().position(|end| *end == Arrival::Tips),
        Some(22)
    );
}

impl Server {
    /// The end of the last of so many arrivals and one more within a tenth of a second.
    fn pushed(mut self, before: usize) -> Arrival {
        for _ in 0..before {
            self.arrive(110.0, 0);
        }
        self.arrive(150.0, 0)
    }
}

#[test]
fn the_meter_tells_a_period_late_and_counts_a_try_once() {
    let mut meter = Meter::new(1000.0, 400.0);
    meter.count(100.0, 1, 7, 2.0);
    meter.count(200.0, 1, 7, 2.0);
    meter.count(300.0, 2, 7, 3.0);
    assert_eq!(meter.usage(1300.0, 7, 10.0), None);
    assert_eq!(meter.usage(1400.0, 7, 10.0), Some(0.5));
    assert_eq!(meter.usage(1400.0, 8, 10.0), Some(0.0));
    assert_eq!(meter.usage(2400.0, 7, 10.0), Some(0.0));
}
