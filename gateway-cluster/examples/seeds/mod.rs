//! Runs of many seeds beside each other, for the programs that print figures.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Runs this for each seed from 1 on, on so many threads. Results come as they are done, with their seeds.
pub fn over_seeds<T: Send>(
    seeds: u64,
    threads: usize,
    run: impl Fn(u64) -> T + Sync,
) -> Vec<(u64, T)> {
    let (next, found) = (AtomicU64::new(1), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > seeds {
                    return;
                }
                let took = run(seed);
                if let Ok(mut found) = found.lock() {
                    found.push((seed, took));
                }
            });
        }
    });
    found.into_inner().unwrap_or_default()
}
