//! What the program costs the machine: read when staff ask, at no cost otherwise.
//!
//! The system's figures come from its own files. One that it does not give, or gives in another form, is left
//! out: a guess would be worse than nothing.

use serde_json::{json, Map, Value};
use std::cell::Cell;
use std::rc::Rc;
use std::{fs, io};

/// Unit of the processor times in `/proc/self/stat`, which Linux keeps for programs whatever its own clock is.
const TICK_MS: u64 = 10;

/// How many of one kind there are. Each holds a [`Held`], so the count cannot drift, however one ends.
#[derive(Clone, Default)]
pub(crate) struct Gauge(Rc<Cell<usize>>);

/// One that counts, until it is dropped.
pub(crate) struct Held(Gauge);

impl Gauge {
    pub(crate) fn hold(&self) -> Held {
        self.0.set(self.0.get() + 1);
        Held(self.clone())
    }
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0 .0.set(self.0 .0.get() - 1);
    }
}

/// Descriptors by what they are for.
#[derive(Default)]
pub(crate) struct Descriptors {
    pub clients: usize,
    pub backends_idle: usize,
    /// Those that carry an exchange or are on their way.
    pub backends_busy: usize,
    pub discovery: usize,
}

impl Descriptors {
    fn line(&self, open: Option<usize>) -> Value {
        let mut line = json!({
            "clients": self.clients,
            "backends_idle": self.backends_idle,
            "backends_busy": self.backends_busy,
            "discovery": self.discovery,
        });
        // A connection on its way may be counted before the system has opened its descriptor.
        let known = self.clients + self.backends_idle + self.backends_busy + self.discovery;
        if let (Some(open), Some(line)) = (open, line.as_object_mut()) {
            line.insert("own".into(), open.saturating_sub(known).into());
            line.insert("open".into(), open.into());
        }
        line
    }
}

/// What the program itself has counted since its start.
pub(crate) struct Counted {
    pub descriptors: Descriptors,
    pub requests: u64,
    pub attempts: u64,
    /// How often it has had to wait for something to do: as often it was woken.
    pub wake_ups: u64,
}

/// One line of JSON.
pub(crate) fn line(counted: &Counted) -> String {
    let read = |path| fs::read_to_string(path).ok();
    let mut line = Map::new();
    if let Some((user, system)) = read("/proc/self/stat").as_deref().and_then(processor_ms) {
        line.insert(
            "processor_ms".into(),
            json!({"user": user, "system": system}),
        );
    }
    let status = read("/proc/self/status").unwrap_or_default();
    let memory: Map<String, Value> = [("resident", "VmRSS:"), ("peak", "VmHWM:")]
        .into_iter()
        .filter_map(|(name, field)| Some((name.into(), kib(&status, field)?.into())))
        .collect();
    if !memory.is_empty() {
        line.insert("memory_kib".into(), memory.into());
    }
    line.insert(
        "descriptors".into(),
        counted.descriptors.line(open_descriptors().ok()),
    );
    line.insert("requests".into(), counted.requests.into());
    line.insert("attempts".into(), counted.attempts.into());
    line.insert("wake_ups".into(), counted.wake_ups.into());
    Value::Object(line).to_string()
}

/// Processor time used, in the program and in the system for it, out of `/proc/self/stat`.
fn processor_ms(stat: &str) -> Option<(u64, u64)> {
    // The program's name, in brackets, may hold anything, brackets and blanks too.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields
        .split_ascii_whitespace()
        .skip(11)
        .map(|field| field.parse::<u64>().ok());
    let (user, system) = (fields.next()??, fields.next()??);
    Some((user.checked_mul(TICK_MS)?, system.checked_mul(TICK_MS)?))
}

/// A field of `/proc/self/status` that is given in KiB.
fn kib(status: &str, field: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(field))?;
    value.trim().strip_suffix("kB")?.trim_end().parse().ok()
}

/// How many descriptors are open, but for the one that this reading itself takes.
fn open_descriptors() -> io::Result<usize> {
    Ok(fs::read_dir("/proc/self/fd")?.count().saturating_sub(1))
}

#[cfg(test)]
mod tests;
