//! The platform's list gets late, long, slow, limited in its rate, or silent.

use super::record::Span;
use super::world::World;
use alderhollow_standins::platform::ListSettings;
use alderhollow_standins::settings::{PLATFORM_LAG_MS, PLATFORM_RATE_PER_S};
use oorandom::Rand64;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The list as the settings describe it, on pages of a few entries.
pub(crate) const USUAL_LIST: ListSettings = ListSettings {
    lag: Duration::from_millis(PLATFORM_LAG_MS),
    rate_per_s: PLATFORM_RATE_PER_S,
    page_size: 3,
};
/// Calls a second where the platform takes fewer than the settings say.
const LOW_RATE_PER_S: usize = 6;
const LONG_LAG: Duration = Duration::from_millis(2_000);
/// An answer on a busy link.
const SLOW_ANSWER: Duration = Duration::from_millis(120);
/// Longer than any call waits.
const SILENCE: Duration = Duration::from_secs(30);
const SHORTEST_MS: u64 = 500;
const LONGEST_MS: u64 = 3_500;
const LONGEST_CALM_MS: u64 = 2_500;

/// What the platform does for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mood {
    /// Its list shows changes later.
    Late,
    /// A page has one entry.
    Long,
    /// Each answer takes longer.
    Slow,
    /// It takes fewer calls.
    Limited,
    /// It answers nothing.
    Silent,
}

const MOODS: [Mood; 5] = [
    Mood::Late,
    Mood::Long,
    Mood::Slow,
    Mood::Limited,
    Mood::Silent,
];

impl Mood {
    /// Whether bounds on what the list shows don't count meanwhile.
    fn is_down(self) -> bool {
        matches!(self, Mood::Limited | Mood::Silent)
    }

    fn list(self) -> ListSettings {
        match self {
            Mood::Late => ListSettings {
                lag: LONG_LAG,
                ..USUAL_LIST
            },
            Mood::Long => ListSettings {
                page_size: 1,
                ..USUAL_LIST
            },
            Mood::Limited => ListSettings {
                rate_per_s: LOW_RATE_PER_S,
                ..USUAL_LIST
            },
            Mood::Slow | Mood::Silent => USUAL_LIST,
        }
    }

    fn answer_delay(self) -> Duration {
        match self {
            Mood::Slow => SLOW_ANSWER,
            Mood::Silent => SILENCE,
            Mood::Late | Mood::Long | Mood::Limited => Duration::ZERO,
        }
    }
}

/// Changes the platform's mood until `end`; it is as usual when this returns.
pub(crate) async fn change(world: Rc<World>, seed: u64, end: Instant) {
    let mut random = Rand64::new(u128::from(seed) << 8 | 2);
    loop {
        sleep(Duration::from_millis(random.rand_range(0..LONGEST_CALM_MS))).await;
        let mood = MOODS[random.rand_range(0..MOODS.len() as u64) as usize];
        let span = Duration::from_millis(random.rand_range(SHORTEST_MS..LONGEST_MS));
        if Instant::now() + span >= end {
            return;
        }
        let from = Instant::now();
        world.note(format!(
            "the platform is {mood:?} for {} ms",
            span.as_millis()
        ));
        behave(&world, &mood.list(), mood.answer_delay());
        sleep(span).await;
        behave(&world, &USUAL_LIST, Duration::ZERO);
        if mood.is_down() {
            let until = Some(Instant::now());
            let down = Span { from, until };
            world.record.borrow_mut().platform_down.push(down);
        }
    }
}

fn behave(world: &World, list: &ListSettings, answer_delay: Duration) {
    let tier = world.tier.borrow();
    tier.platform.set(list.clone());
    tier.platform.delay_answers(answer_delay);
}
