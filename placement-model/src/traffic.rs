//! Draws the requests of a run.

use crate::settings::{Class, Settings};
use alderhollow::balance::Prompt;
use rand::Rng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Low ranks are those from this one on.
const LOW_RANK: u32 = 2;

/// A request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// When it comes.
    pub at_ms: f64,
    /// Its class, by its place in the settings.
    pub class: usize,
    /// Its sender.
    pub sender: usize,
    /// Its prompt.
    pub prompt: Prompt,
    /// Events of its answer.
    pub events: u64,
}

impl Request {
    /// Worth of the request against others of its class, by its size.
    pub fn size(&self) -> f64 {
        f64::from(self.prompt.tokens_in) + 10.0 * f64::from(self.prompt.tokens_out)
    }
}

/// All requests of a run, in the order in which they come.
pub fn draw(settings: &Settings, seed: u64) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (index, class) in settings.classes.iter().enumerate() {
        let per_ms = class.per_s * settings.load / 1000.0;
        let Ok(gaps) = Exp::new(per_ms) else { continue };
        let mut at_ms = gaps.sample(&mut rng);
        while at_ms < settings.seconds * 1000.0 {
            requests.push(request(settings, class, index, at_ms, &mut rng));
            at_ms += gaps.sample(&mut rng);
        }
    }
    requests.sort_by(|one, other| one.at_ms.total_cmp(&other.at_ms));
    requests
}

fn request(
    settings: &Settings,
    class: &Class,
    index: usize,
    at_ms: f64,
    rng: &mut Pcg64Mcg,
) -> Request {
    let thing = rng.random_range(0..class.shared.things.max(1));
    // The same thing has the same size in each run.
    let mut thing_rng = Pcg64Mcg::seed_from_u64(((index as u64) << 32) | thing);
    let shared = size(
        class.shared.mean,
        class.shared.sigma,
        class.shared.max,
        &mut thing_rng,
    );
    let own = size(class.own.mean, class.own.sigma, class.own.max, rng);
    let events = size(class.events.mean, class.events.sigma, class.events.max, rng);
    let is_item = class.priority >= LOW_RANK;
    let (first, count) = if is_item {
        (settings.senders.gateways, settings.senders.stores)
    } else {
        (0, settings.senders.gateways)
    };
    let part = ((index as u64 + 1) << 32) | thing;
    let tokens_out = events * settings.engines.tokens_per_event;
    Request {
        at_ms,
        class: index,
        sender: first + rng.random_range(0..count),
        prompt: Prompt {
            parts: vec![(part, shared as u32), (rng.random(), own as u32)],
            tokens_in: (shared + own) as u32,
            tokens_out: tokens_out as u32,
        },
        events,
    }
}

/// A log-normal size with this mean, at least 1.
fn size(mean: f64, sigma: f64, max: f64, rng: &mut Pcg64Mcg) -> u64 {
    let location = mean.max(1.0).ln() - sigma * sigma / 2.0;
    let drawn =
        LogNormal::new(location, sigma).map_or(mean, |distribution| distribution.sample(rng));
    drawn.clamp(1.0, max.max(1.0)) as u64
}
