//! The model's engine against sums by hand, and what the policies must show.

use alderhollow::balance::Prompt;
use alderhollow_placement_model::engine::{Engine, Progress, Times};
use alderhollow_placement_model::policy::Policy;
use alderhollow_placement_model::settings::Settings;
use alderhollow_placement_model::simulation::{play, RunResult};
use alderhollow_placement_model::traffic::{self, Request};

const LOADED: &str = include_str!("../configs/loaded.toml");

fn settings() -> Settings {
    Settings {
        seconds: 4.0,
        ..Settings::parse(LOADED).expect("a configuration")
    }
}

fn request(part: u64, shared: u32, own: u32, events: u64) -> Request {
    let prompt = Prompt {
        parts: vec![(part, shared), (part + 1_000, own)],
        tokens_in: shared + own,
        tokens_out: (events * 23) as u32,
    };
    Request {
        at_ms: 0.0,
        class: 0,
        sender: 0,
        prompt,
        events,
    }
}

/// Runs an engine until nothing is left; the times of the requests, all of which come at 0.
fn answer(requests: &[Request]) -> Vec<Times> {
    let mut engine = Engine::new(settings().engines, 0);
    let mut times = vec![Times::default(); requests.len()];
    for (index, request) in requests.iter().enumerate() {
        engine.add(0.0, index, request);
    }
    while let Some(at) = engine.next_step_at() {
        engine.step(at, &mut times);
    }
    times
}

#[test]
fn a_request_alone_takes_its_reading_and_its_steps() {
    let times = answer(&[request(1, 0, 1_220, 3)])[0];
    let reading = Engine::reading_ms(&settings().engines, 1_220);
    let step = 1.68 + 0.00547;
    let first = times.first_ms.expect("it began");
    // The step that reads the last chunk gives the first token.
    assert!((first - (reading + step)).abs() < 1e-6, "{first}");
    assert!(
        (times.longest_pause_ms - 23.0 * step).abs() < 1e-6,
        "{}",
        times.longest_pause_ms
    );
}

#[test]
fn a_long_prompt_stretches_the_pauses_of_a_running_stream() {
    let alone = answer(&[request(1, 0, 100, 20)])[0].longest_pause_ms;
    let beside = answer(&[request(1, 0, 100, 20), request(2, 0, 54_000, 2)])[0].longest_pause_ms;
    assert!(alone < 60.0 && beside > 300.0, "{alone} {beside}");
}

#[test]
fn a_shared_part_is_read_once() {
    let mut engine = Engine::new(settings().engines, 0);
    let mut times = vec![Times::default(); 2];
    engine.add(0.0, 0, &request(1, 5_000, 10, 1));
    engine.add(0.0, 1, &request(1, 5_000, 10, 1));
    while let Some(at) = engine.next_step_at() {
        engine.step(at, &mut times);
    }
    assert_eq!(engine.tokens_read, 5_010 + 10);
}

#[test]
fn no_more_than_the_slots_run_at_once() {
    let slots = settings().engines.slots;
    let requests: Vec<Request> = (0..=slots as u64)
        .map(|index| request(index * 10, 0, 10, 5))
        .collect();
    let times = answer(&requests);
    let first_end = times
        .iter()
        .filter_map(|times| times.last_ms)
        .fold(f64::INFINITY, f64::min);
    assert!(times[slots].first_ms.expect("it began") >= first_end);
}

#[test]
fn progress_is_told_in_order() {
    let mut engine = Engine::new(settings().engines, 0);
    let mut times = vec![Times::default()];
    engine.add(0.0, 0, &request(1, 0, 10, 2));
    let mut progress = Vec::new();
    while let Some(at) = engine.next_step_at() {
        progress.extend(engine.step(at, &mut times));
    }
    assert_eq!(progress, [Progress::Began(0), Progress::Ended(0)]);
}

#[test]
fn the_same_seed_draws_the_same_run() {
    let settings = settings();
    assert_eq!(traffic::draw(&settings, 3), traffic::draw(&settings, 3));
    assert_ne!(traffic::draw(&settings, 3), traffic::draw(&settings, 4));
    assert_eq!(
        play(&settings, Policy::Zone, 3),
        play(&settings, Policy::Zone, 3)
    );
}

fn late(result: &RunResult, class: &str) -> f64 {
    let class = result
        .classes
        .iter()
        .find(|result| result.name == class)
        .expect("a class");
    class.late() as f64 / class.asked as f64
}

#[test]
fn sight_of_all_attempts_leaves_fewer_streams_late_than_choosing_blind() {
    let settings = Settings {
        load: 1.9,
        ..settings()
    };
    let blind = late(&play(&settings, Policy::Blind, 5), "short");
    let zone = late(&play(&settings, Policy::Zone, 5), "short");
    assert!(zone < blind / 2.0, "blind {blind}, zone {zone}");
}

#[test]
fn with_a_fifth_of_the_engines_gone_and_a_burst_of_items_streams_keep_their_room() {
    let mut settings = Settings {
        load: 1.5,
        ..settings()
    };
    settings.engines.count = 72;
    settings.classes[2].per_s *= 3.0;
    let blind = late(&play(&settings, Policy::Blind, 5), "short");
    let zone = late(&play(&settings, Policy::Zone, 5), "short");
    assert!(zone < blind / 2.0, "blind {blind}, zone {zone}");
}

#[test]
fn a_configuration_that_makes_no_sense_is_refused() {
    let text = LOADED.replace("slots = 12", "slots = 0");
    assert!(Settings::parse(&text).is_err());
    assert!(Settings::parse(&format!("{LOADED}\nunknown = 1")).is_err());
}

#[test]
fn placers_learn_how_slowly_engines_read() {
    let mut slow = Settings {
        seconds: 8.0,
        load: 0.4,
        ..settings()
    };
    slow.engines.read_tokens_per_ms = 40.0;
    let late = late(&play(&slow, Policy::Zone, 1), "short");
    assert!(late < 0.015, "{late} of the short streams are late");
}

#[test]
fn engines_of_three_speeds_serve_nearly_as_well_as_equal_ones() {
    let mut equal = Settings {
        seconds: 8.0,
        load: 1.9,
        ..settings()
    };
    equal.engines.slowness = [1.1, 1.1, 1.1];
    let mut unequal = equal.clone();
    unequal.engines.slowness = [1.0, 1.0, 1.3];
    let late = |settings: &Settings| late(&play(settings, Policy::Zone, 1), "short");
    let (equal, unequal) = (late(&equal), late(&unequal));
    assert!(
        unequal < equal + 0.006,
        "{unequal} of the short streams late, {equal} with equal engines"
    );
}
