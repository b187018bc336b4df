//! Processor time as a quota for processes of a trial: full speed until it is spent, then nothing for the rest of the period.
//! A thread reads what each process has consumed and stops and continues it by signals.

use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often consumption is looked at: a process may overrun its quota by so much.
const LOOK: Duration = Duration::from_millis(1);

/// The quota of each process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Processor time of one period.
    pub time: Duration,
    /// The period.
    pub period: Duration,
}

/// What was done to one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Throttled {
    /// Periods in which it spent its quota and was stopped.
    pub periods: u32,
    /// The longest time for which it was stopped.
    pub longest_stop: Duration,
}

#[derive(Debug, Default)]
struct Process {
    consumed_at_start: Duration,
    stopped_at: Option<Instant>,
    throttled: Throttled,
}

type Processes = Arc<Mutex<BTreeMap<u32, Process>>>;

/// Holds processes to a quota until it is dropped. A process must be released before it is ended, as its number may then be
/// another's.
#[derive(Debug)]
pub struct ProcessorQuota {
    processes: Processes,
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ProcessorQuota {
    /// Holds these processes to a quota. All periods begin together.
    pub fn start(quota: Quota, processes: impl IntoIterator<Item = u32>) -> ProcessorQuota {
        let processes = processes
            .into_iter()
            .map(|id| (id, Process::default()))
            .collect();
        let processes: Processes = Arc::new(Mutex::new(processes));
        let ends = Arc::new(AtomicBool::new(false));
        let (shared, told) = (processes.clone(), ends.clone());
        let thread = std::thread::spawn(move || {
            while !told.load(Ordering::Relaxed) {
                play_period(&shared, quota);
            }
        });
        ProcessorQuota {
            processes,
            ends,
            thread: Some(thread),
        }
    }

    /// Lets a process run freely from now on, and tells what was done to it.
    pub fn release(&self, id: u32) -> Option<Throttled> {
        let mut processes = self
            .processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut process = processes.remove(&id)?;
        go_on(id, &mut process);
        Some(process.throttled)
    }

    /// What was done to each process so far.
    pub fn throttled(&self) -> BTreeMap<u32, Throttled> {
        let processes = self
            .processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        processes
            .iter()
            .map(|(id, process)| (*id, process.throttled))
            .collect()
    }
}

impl Drop for ProcessorQuota {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has nothing left to do.
            let _ = thread.join();
        }
        let mut processes = self
            .processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        processes
            .iter_mut()
            .for_each(|(id, process)| go_on(*id, process));
    }
}

/// One period: all go on, and each stops once it has spent its quota.
fn play_period(processes: &Processes, quota: Quota) {
    let begun = Instant::now();
    for_each(processes, |id, process| {
        go_on(id, process);
        process.consumed_at_start = consumed(id).unwrap_or_default();
    });
    while begun.elapsed() < quota.period {
        for_each(processes, |id, process| {
            let Some(consumed) = consumed(id) else { return };
            let spent = consumed.saturating_sub(process.consumed_at_start);
            if process.stopped_at.is_none() && spent >= quota.time {
                stop(id, process);
            }
        });
        std::thread::sleep(LOOK);
    }
}

fn for_each(processes: &Processes, mut act: impl FnMut(u32, &mut Process)) {
    let mut processes = processes.lock().unwrap_or_else(PoisonError::into_inner);
    processes
        .iter_mut()
        .for_each(|(id, process)| act(*id, process));
}

fn stop(id: u32, process: &mut Process) {
    if signal(id, Signal::STOP) {
        process.stopped_at = Some(Instant::now());
        process.throttled.periods += 1;
    }
}

fn go_on(id: u32, process: &mut Process) {
    let Some(stopped_at) = process.stopped_at.take() else {
        return;
    };
    signal(id, Signal::CONT);
    process.throttled.longest_stop = process.throttled.longest_stop.max(stopped_at.elapsed());
}

/// Whether the signal was sent.
fn signal(id: u32, signal: Signal) -> bool {
    let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
    pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
}

/// Processor time that a process has consumed; `None` once it has ended.
fn consumed(id: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
    let nanoseconds = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanoseconds))
}
