//! Troubles drawn from a seed, some of them at a time.

use super::relay::RelayMode;
use super::timeline::{Edge, Timeline};
use super::world::World;
use super::Place;
use alderhollow_standins::backend::Fault;
use oorandom::Rand64;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Troubles at a time, at most.
const LANES: u64 = 3;
/// Longest calm between two troubles of a lane.
const LONGEST_CALM_MS: u64 = 1_200;
const SHORTEST_TROUBLE_MS: u64 = 200;
const LONGEST_TROUBLE_MS: u64 = 3_000;
/// Most faults that a backend has in stock.
const MOST_FAULTS: u64 = 6;

/// What a trouble strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Target {
    /// A process.
    Process(Place),
    /// The way to a backend, by its place in the list.
    BackendLink(usize),
    /// The clients' way to a gateway, by its place in the list.
    GatewayLink(usize),
    /// A backend, by its place in the list.
    Backend(usize),
}

/// What a trouble does.
#[derive(Debug, Clone)]
pub(crate) enum Kind {
    /// The process is killed, and started again at the end.
    Kill,
    /// The process stands still.
    Pause,
    /// The connections are broken.
    Cut,
    /// What is answered gets lost.
    LoseAnswers,
    /// The next requests meet these faults.
    Faults(Vec<Fault>),
}

/// A trouble.
#[derive(Debug, Clone)]
pub(crate) struct Trouble {
    target: Target,
    kind: Kind,
    span: Duration,
}

impl Display for Trouble {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} at {:?} for {} ms",
            self.kind,
            self.target,
            self.span.as_millis()
        )
    }
}

impl Trouble {
    fn draw(random: &mut Rand64, places: &[Place], gateways: usize, backends: usize) -> Trouble {
        let span =
            Duration::from_millis(random.rand_range(SHORTEST_TROUBLE_MS..LONGEST_TROUBLE_MS));
        let process = Target::Process(places[draw_index(random, places.len())]);
        let backend = draw_index(random, backends);
        let gateway = draw_index(random, gateways);
        let (target, kind) = match random.rand_range(0..10) {
            0..=2 => (process, Kind::Kill),
            3..=4 => (process, Kind::Pause),
            5 => (Target::BackendLink(backend), Kind::Cut),
            6 => (Target::BackendLink(backend), Kind::LoseAnswers),
            7 => (Target::GatewayLink(gateway), Kind::Cut),
            8 => (Target::GatewayLink(gateway), Kind::LoseAnswers),
            _ => (Target::Backend(backend), Kind::Faults(draw_faults(random))),
        };
        Trouble { target, kind, span }
    }

    fn begin(&self, world: &World) {
        match (&self.kind, self.target) {
            (Kind::Kill, Target::Process(place)) => {
                world
                    .tier
                    .borrow_mut()
                    .process(place)
                    .kill()
                    .expect("a process of this tier");
            }
            (Kind::Pause, Target::Process(place)) => {
                world
                    .tier
                    .borrow_mut()
                    .process(place)
                    .pause()
                    .expect("a process of this tier");
            }
            (Kind::Cut, target) => world.relay(target).set_mode(RelayMode::Cut),
            (Kind::LoseAnswers, target) => world.relay(target).set_mode(RelayMode::LoseAnswers),
            (Kind::Faults(faults), Target::Backend(backend)) => {
                world.tier.borrow().backends[backend].fail_next(faults);
            }
            (kind, target) => unreachable!("{kind:?} at {target:?} is never drawn"),
        }
    }

    fn end(&self, world: &World) {
        match (&self.kind, self.target) {
            (Kind::Kill, Target::Process(place)) => {
                world.tier.borrow_mut().start_process(place, false);
            }
            (Kind::Pause, Target::Process(place)) => {
                world
                    .tier
                    .borrow_mut()
                    .process(place)
                    .resume()
                    .expect("a process of this tier");
            }
            (Kind::Cut | Kind::LoseAnswers, target) => {
                world.relay(target).set_mode(RelayMode::Pass);
            }
            _ => {}
        }
    }
}

fn draw_index(random: &mut Rand64, count: usize) -> usize {
    random.rand_range(0..count as u64) as usize
}

fn draw_faults(random: &mut Rand64) -> Vec<Fault> {
    let count = random.rand_range(1..MOST_FAULTS);
    let draw = |_| match random.rand_range(0..7) {
        0..=1 => Fault::CutAfter(1),
        2 => Fault::SilentAfter(1),
        3 => Fault::Refuse,
        4 => Fault::Fail,
        5 => Fault::FailTwice,
        _ => Fault::Reject,
    };
    (0..count).map(draw).collect()
}

/// Strikes until `end`; all that was struck is well again when this returns.
pub(crate) async fn strike(world: Rc<World>, seed: u64, end: Instant) {
    let struck = Rc::new(RefCell::new(BTreeSet::new()));
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let random = Rand64::new(u128::from(seed) << 8 | u128::from(lane));
            tokio::task::spawn_local(run_lane(world.clone(), random, struck.clone(), end))
        })
        .collect();
    for lane in lanes {
        lane.await.expect("troubles end");
    }
}

/// One trouble after the other, never at a target that another lane has struck.
async fn run_lane(
    world: Rc<World>,
    mut random: Rand64,
    struck: Rc<RefCell<BTreeSet<Target>>>,
    end: Instant,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(random.rand_range(0..LONGEST_CALM_MS))).await;
        let trouble = Trouble::draw(
            &mut random,
            &world.places,
            world.gateway_relays.len(),
            world.backend_relays.len(),
        );
        if Instant::now() + trouble.span >= end {
            return;
        }
        if struck.borrow_mut().insert(trouble.target) {
            run_trouble(&world, &world.timeline, &trouble).await;
            struck.borrow_mut().remove(&trouble.target);
        }
    }
}

async fn run_trouble(world: &World, timeline: &Timeline, trouble: &Trouble) {
    if let (Kind::Kill, Target::Process(place)) = (&trouble.kind, trouble.target) {
        // What it has counted ends with it.
        world.note_counted(place).await;
    }
    timeline.note(Edge::Begin, trouble);
    trouble.begin(world);
    tokio::time::sleep(trouble.span).await;
    trouble.end(world);
    timeline.note(Edge::End, trouble);
}
