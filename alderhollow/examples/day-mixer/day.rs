//! Draws one day.

use super::catalogue::{Trouble, CHANGES, CLOSINGS, PLANNED, TROUBLES};
use super::MixerError;
use oorandom::Rand32;
use toml::{Table, Value};

/// Troubles lie in this part of the day, in seconds of traffic.
const FIRST_S: f32 = 2.0;
const LAST_S: f32 = 30.0;
/// Most of them lie around one moment, within so much before or after it.
const AROUND_S: f32 = 4.0;
/// One day in so many has hundreds of configuration changes.
const BUSY_DAYS: u32 = 6;
const BUSY_CHANGES: u32 = 160;
const USUAL_CHANGES: u32 = 14;

/// The quiet day of a site with drawn troubles.
pub(crate) fn draw(site: &Table, seed: u64, random: &mut Rand32) -> Result<Table, MixerError> {
    let mut day = quiet_day(site)?;
    day.insert("name".into(), format!("mixed-{seed}").into());
    day.insert("seed".into(), Value::Integer(i64::from(random.rand_u32())));
    let count = random.rand_range(3..9);
    let moment = FIRST_S + AROUND_S + random.rand_float() * (LAST_S - FIRST_S - 2.0 * AROUND_S);
    let mut faults = Vec::new();
    let mut plan = Vec::new();
    for _ in 0..count {
        let at = when(moment, random);
        match random.rand_range(0..3) {
            0 => plan.push(entry(pick(PLANNED, random), at, random)),
            _ => faults.push(entry(pick(TROUBLES, random), at, random)),
        }
    }
    let most_changes = if random.rand_range(0..BUSY_DAYS) == 0 {
        BUSY_CHANGES
    } else {
        USUAL_CHANGES
    };
    for _ in 0..random.rand_range(2..most_changes) {
        let at = FIRST_S + random.rand_float() * (LAST_S - FIRST_S);
        plan.push(change(at, random));
    }
    day.insert("faults".into(), Value::Array(faults));
    day.insert("plan".into(), Value::Array(plan));
    day.insert("closing".into(), Value::Table(closing(random)));
    let mut file = Table::new();
    file.insert("day".into(), Value::Array(vec![Value::Table(day)]));
    Ok(file)
}

fn quiet_day(site: &Table) -> Result<Table, MixerError> {
    let days = site
        .get("day")
        .and_then(Value::as_array)
        .ok_or(MixerError::NoQuietDay)?;
    let is_quiet = |day: &&Table| day.get("slot").and_then(Value::as_str) == Some("quiet");
    days.iter()
        .filter_map(Value::as_table)
        .find(is_quiet)
        .cloned()
        .ok_or(MixerError::NoQuietDay)
}

fn when(moment: f32, random: &mut Rand32) -> f32 {
    moment + (random.rand_float() * 2.0 - 1.0) * AROUND_S
}

fn entry(trouble: &Trouble, at: f32, random: &mut Rand32) -> Value {
    let mut entry = Table::new();
    entry.insert("at".into(), figure(at));
    entry.insert("kind".into(), trouble.kind.into());
    if !trouble.on.is_empty() {
        entry.insert("on".into(), (*pick(trouble.on, random)).into());
    }
    entry.insert("how".into(), (*pick(trouble.how, random)).into());
    if let Some((shortest, longest)) = trouble.duration_s {
        entry.insert(
            "for_s".into(),
            figure(shortest + random.rand_float() * (longest - shortest)),
        );
    }
    for (name, value) in trouble.figures {
        entry.insert((*name).into(), Value::Float(*value));
    }
    if trouble.most > 0 {
        entry.insert(
            "count".into(),
            Value::Integer(i64::from(random.rand_range(1..trouble.most + 1))),
        );
    }
    Value::Table(entry)
}

fn change(at: f32, random: &mut Rand32) -> Value {
    let mut entry = Table::new();
    entry.insert("at".into(), figure(at));
    entry.insert("kind".into(), "config_change".into());
    entry.insert("how".into(), (*pick(CHANGES, random)).into());
    Value::Table(entry)
}

fn closing(random: &mut Rand32) -> Table {
    let (kind, how) = pick(CLOSINGS, random);
    let mut closing = Table::new();
    closing.insert("kind".into(), (*kind).into());
    closing.insert("how".into(), (*pick(how, random)).into());
    closing.insert("down_s".into(), figure(0.5 + random.rand_float() * 1.5));
    closing
}

/// A figure with two places: days are to be read.
fn figure(value: f32) -> Value {
    Value::Float((f64::from(value) * 100.0).round() / 100.0)
}

/// One of some things.
pub(crate) fn pick<'a, T>(things: &'a [T], random: &mut Rand32) -> &'a T {
    let count = u32::try_from(things.len()).unwrap_or(u32::MAX);
    &things[random.rand_range(0..count) as usize]
}
