//! Runs simulations of many seeds in parallel, for the examples that print figures.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Runs this for each seed from 1 to `seeds`, on this number of threads. Returns the results with their seeds, in the order
/// of completion.
pub(crate) fn over_seeds<T: Send>(
    seeds: u64,
    threads: usize,
    run: impl Fn(u64) -> T + Sync,
) -> Vec<(u64, T)> {
    let (next, results) = (AtomicU64::new(1), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > seeds {
                    return;
                }
                let result = run(seed);
                if let Ok(mut results) = results.lock() {
                    results.push((seed, result));
                }
            });
        }
    });
    results.into_inner().unwrap_or_default()
}
