//! Processor time and memory of processes, as the system counts them.

use std::io;
use std::path::Path;

/// Ticks a second of the system's counts.
const TICKS_PER_S: f64 = 100.0;
const KB_PER_MB: f64 = 1024.0;

/// Processor time so far and memory now.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sample {
    /// Processor time in ticks.
    pub ticks: u64,
    /// Memory in use, in kB.
    pub memory_kb: u64,
}

/// Samples of the core: its primary, and the mean of the others.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CoreSample {
    /// The primary.
    pub primary: Sample,
    /// Ticks of the other members, the mean.
    pub others_ticks: f64,
}

/// What was used over some time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// Of one processor, in percent.
    pub primary_percent: f64,
    /// The same, the mean of the other members.
    pub other_percent: f64,
    /// Memory of the primary at the end.
    pub primary_mb: f64,
}

impl CoreSample {
    /// What was used since an earlier sample.
    pub(crate) fn since(&self, earlier: &CoreSample, seconds: u64) -> Usage {
        let percent = |ticks: f64| 100.0 * ticks / TICKS_PER_S / seconds as f64;
        Usage {
            primary_percent: percent((self.primary.ticks - earlier.primary.ticks) as f64),
            other_percent: percent(self.others_ticks - earlier.others_ticks),
            primary_mb: self.primary.memory_kb as f64 / KB_PER_MB,
        }
    }
}

/// Reads a process's counts.
pub(crate) fn sample(process: u32) -> io::Result<Sample> {
    let folder = Path::new("/proc").join(process.to_string());
    let stat = std::fs::read_to_string(folder.join("stat"))?;
    let status = std::fs::read_to_string(folder.join("status"))?;
    let unreadable = || io::Error::other("the system's counts of a process can't be read");
    let ticks = ticks(&stat).ok_or_else(unreadable)?;
    let memory_kb = memory_kb(&status).ok_or_else(unreadable)?;
    Ok(Sample { ticks, memory_kb })
}

/// Fields 14 and 15, counted behind the name in parentheses.
fn ticks(stat: &str) -> Option<u64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn memory_kb(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
