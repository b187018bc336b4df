//! Signals to gateways: restarts in series that overlap, kills, pauses, and settings that are read again.

use super::record::{Signal, Signalled, Span};
use super::tier_support::GRACE;
use super::world::World;
use super::Place;
use alderhollow_standins::process::TierProcess;
use oorandom::Rand64;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Series of signals at a time.
const LANES: u64 = 2;
const LONGEST_CALM_MS: u64 = 3_500;
/// Gateways of one series that are restarted one after the other.
const MOST_RESTARTS: u64 = 3;
const SHORTEST_MS: u64 = 200;
const LONGEST_MS: u64 = 1_500;

/// Sends signals until `end`; all processes run when this returns.
pub(crate) async fn signal(world: Rc<World>, seed: u64, end: Instant) {
    let struck = Rc::new(RefCell::new(BTreeSet::new()));
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let random = Rand64::new(u128::from(seed) << 8 | 0x10 | u128::from(lane));
            tokio::task::spawn_local(run_lane(world.clone(), random, struck.clone(), end))
        })
        .collect();
    for lane in lanes {
        lane.await.expect("signals end");
    }
}

async fn run_lane(
    world: Rc<World>,
    mut random: Rand64,
    struck: Rc<RefCell<BTreeSet<Place>>>,
    end: Instant,
) {
    loop {
        sleep(Duration::from_millis(random.rand_range(0..LONGEST_CALM_MS))).await;
        let signal = match random.rand_range(0..10) {
            0..=4 => Signal::Restart,
            5 => Signal::Kill,
            6 => Signal::Pause,
            _ => Signal::HangUp,
        };
        let series = match signal {
            Signal::Restart => random.rand_range(1..MOST_RESTARTS + 1),
            _ => 1,
        };
        for _ in 0..series {
            if Instant::now() >= end {
                return;
            }
            let place = draw_gateway(&world, &mut random);
            let span = Duration::from_millis(random.rand_range(SHORTEST_MS..LONGEST_MS));
            if struck.borrow_mut().insert(place) {
                send(&world, place, signal, span).await;
                struck.borrow_mut().remove(&place);
            }
        }
    }
}

/// Mostly a gateway without a disk: the core is to be stable for most of the time.
fn draw_gateway(world: &World, random: &mut Rand64) -> Place {
    let has_disk = |place: &&Place| matches!(place, Place::Gateway(_));
    let wants_disk = random.rand_range(0..8) == 0;
    let fitting: Vec<&Place> = world
        .gateways
        .iter()
        .filter(|place| has_disk(place) == wants_disk)
        .collect();
    *fitting[random.rand_range(0..fitting.len() as u64) as usize]
}

async fn send(world: &World, place: Place, signal: Signal, span: Duration) {
    world.note(format!("{signal:?} of {place:?}"));
    let index = note_signal(world, place, signal);
    match signal {
        Signal::HangUp => process(world, place, |process| process.hang_up()),
        Signal::Pause => {
            process(world, place, |process| process.pause());
            sleep(span).await;
            process(world, place, |process| process.resume());
        }
        Signal::Kill => {
            process(world, place, |process| process.kill());
            sleep(span).await;
            world.tier.borrow_mut().start_process(place, false);
        }
        Signal::Restart => {
            process(world, place, |process| process.terminate());
            wait_for_end(world, place).await;
            world.note(format!("{place:?} has ended and starts again"));
            world.tier.borrow_mut().start_process(place, false);
        }
    }
    world.record.borrow_mut().signals[index].span.until = Some(Instant::now());
}

/// Notes a signal whose trouble has just begun. Returns its place among the signals.
fn note_signal(world: &World, place: Place, signal: Signal) -> usize {
    let from = Instant::now();
    let signals = &mut world.record.borrow_mut().signals;
    signals.push(Signalled {
        place,
        signal,
        span: Span { from, until: None },
    });
    signals.len() - 1
}

fn process(world: &World, place: Place, act: impl FnOnce(&mut TierProcess) -> std::io::Result<()>) {
    act(world.tier.borrow_mut().process(place)).expect("a process of this tier");
}

/// Waits until a process has ended by itself; one that does not is killed after its time.
async fn wait_for_end(world: &World, place: Place) {
    let end = Instant::now() + GRACE;
    loop {
        let ended = world.tier.borrow_mut().process(place).ended();
        if ended.expect("it can be waited for").is_some() {
            return;
        }
        if Instant::now() >= end {
            world.note(format!("{place:?} did not end in time"));
            process(world, place, |process| process.kill());
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}
