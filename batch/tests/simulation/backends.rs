//! Backends: the output of an item, and the outcomes of its runs.

use alderhollow_batch::api::{ItemStart, Resume, RunEnd};
use oorandom::Rand64;

/// Data of the events of an item.
pub(crate) fn events(item_id: &str) -> Vec<String> {
    let count = 1 + item_id.bytes().map(u64::from).sum::<u64>() % 4;
    (1..=count)
        .map(|event| format!("{item_id}/{event}"))
        .collect()
}

/// Whether every backend rejects the item.
pub(crate) fn is_undoable(item_id: &str) -> bool {
    item_id.bytes().map(u64::from).sum::<u64>() % 17 == 0
}

/// The text of the first events.
pub(crate) fn text(item_id: &str, count: usize) -> String {
    let events: Vec<String> = events(item_id).into_iter().take(count).collect();
    events.join("\n")
}

/// Random outcome of a run.
pub(crate) fn run(start: &ItemStart, random: &mut Rand64) -> RunEnd {
    let all = events(&start.item_id).len();
    let from = start
        .resume
        .as_ref()
        .map_or(0, |resume| resume.last_event_id as usize);
    let held = start
        .resume
        .as_ref()
        .map_or("", |resume| resume.text.as_str());
    assert!(
        from <= all && held == text(&start.item_id, from),
        "ORDER: resumed with {:?}",
        start.resume
    );
    let luck = random.rand_float();
    if luck < 0.1 {
        return RunEnd::NotRun { retry_after_ms: 50 };
    }
    if is_undoable(&start.item_id) {
        return RunEnd::Rejected;
    }
    if luck < 0.2 {
        return RunEnd::Failed;
    }
    if luck < 0.4 {
        let reached = random.rand_range(from as u64..all as u64 + 1) as usize;
        let resume = Resume {
            last_event_id: reached as u64,
            text: text(&start.item_id, reached),
        };
        return RunEnd::Interrupted {
            resume: (reached > 0).then_some(resume),
            retry_after_ms: 30,
        };
    }
    RunEnd::Completed {
        text: text(&start.item_id, all),
    }
}
