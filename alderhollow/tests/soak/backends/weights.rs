//! Versions of the backends' weights: they come late, at a part of the backends, and are rolled back, while clients expect
//! versions that some backends or none have.

use super::record::Record;
use super::world::World;
use alderhollow_standins::backend::Backend;
use oorandom::Rand64;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const SHORTEST_PAUSE_MS: u64 = 150;
const LONGEST_PAUSE_MS: u64 = 1_500;
/// One request in so many expects a version.
const EXPECTING_SHARE: u64 = 4;

/// The versions that a client may expect.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Versions {
    /// The newest that any backend has had.
    newest: u64,
}

impl Versions {
    /// Those of backends that have just started.
    pub(crate) fn first() -> Versions {
        Versions { newest: 1 }
    }

    /// The version that a request expects, if it expects one: from the one before the newest to one that no backend has
    /// yet.
    pub(crate) fn draw(self, random: &mut Rand64) -> Option<u64> {
        let expects = random.rand_range(0..EXPECTING_SHARE) == 0;
        let first = self.newest.saturating_sub(1).max(1);
        expects.then(|| random.rand_range(first..self.newest + 2))
    }
}

/// How many of the backends get other weights.
#[derive(Debug, Clone, Copy)]
enum Part {
    All,
    Half,
    One,
}

/// Changes weights until `end`. Then all backends have the newest.
pub(crate) async fn change(world: Rc<World>, seed: u64, end: Instant) {
    let mut random = Rand64::new(u128::from(seed) << 8 | 5);
    loop {
        let pause = random.rand_range(SHORTEST_PAUSE_MS..LONGEST_PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
        if Instant::now() >= end {
            break;
        }
        let part = match random.rand_range(0..3) {
            0 => Part::All,
            1 => Part::Half,
            _ => Part::One,
        };
        let version = match random.rand_range(0..3) {
            0 => world.versions.get().newest.saturating_sub(1).max(1),
            _ => world.versions.get().newest + 1,
        };
        set(&world, version, part, &mut random);
    }
    let newest = world.versions.get().newest;
    set(&world, newest, Part::All, &mut random);
}

fn set(world: &World, version: u64, part: Part, random: &mut Rand64) {
    let newest = world.versions.get().newest.max(version);
    world.versions.set(Versions { newest });
    let tier = world.tier.borrow();
    let backends = world.backends.borrow();
    let all: Vec<&Backend> = tier.backends.iter().chain(backends.present()).collect();
    let one = random.rand_range(0..all.len().max(1) as u64) as usize;
    for (index, backend) in all.iter().enumerate() {
        let is_meant = match part {
            Part::All => true,
            Part::Half => index % 2 == 0,
            Part::One => index == one,
        };
        if is_meant {
            backend.set_weights(version);
        }
    }
    let mut record: std::cell::RefMut<'_, Record> = world.record.borrow_mut();
    record.note(format!("weights of version {version} at {part:?}"));
}
