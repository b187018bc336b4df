//! Codec of the simulator's wire protocol: converts frames, records and settings to and from the types of
//! [`crate::interface`].

use crate::interface::{
    Action, AttemptEnd, Class, Effect, Event, Lifecycle, ListKind, Outcome, Plan, Request, Scope,
    ServerEntry, Settings,
};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Read};

/// Size of an event record in bytes.
pub const EVENT_BYTES: usize = 48;
/// Size of an action record in bytes.
pub const ACTION_BYTES: usize = 24;
/// Maximum frame length in bytes; a longer one is rejected as malformed.
const MAX_FRAME_BYTES: u32 = 1 << 30;

/// Error in reading or decoding the input.
#[derive(Debug)]
pub enum WireError {
    /// The input could not be read.
    Io(io::Error),
    /// The input violates the format; the text names the field and the fault.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "cannot read the input: {error}"),
            WireError::Malformed(text) => write!(f, "malformed input: {text}"),
        }
    }
}

impl std::error::Error for WireError {}

fn malformed<T>(text: impl Into<String>) -> Result<T, WireError> {
    Err(WireError::Malformed(text.into()))
}

/// A batch of events.
#[derive(Debug)]
pub struct Batch {
    /// Clock in milliseconds.
    pub clock: f64,
    /// Number of records.
    pub count: usize,
    body: Vec<u8>,
}

impl Batch {
    /// Reads one frame; `None` at the end of the input.
    ///
    /// # Errors
    /// If a frame is truncated, its lengths are inconsistent or its clock is not finite.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
        let mut header = Vec::with_capacity(16);
        input
            .by_ref()
            .take(12)
            .read_to_end(&mut header)
            .map_err(WireError::Io)?;
        if header.is_empty() {
            return Ok(None);
        }
        if header.len() < 12 {
            return malformed(format!(
                "frame header cut short after {} of 16 bytes",
                header.len()
            ));
        }
        let header = Record(&header);
        let clock = header.f64(0);
        let length = header.u32(8);
        if !clock.is_finite() {
            return malformed("the clock is not a finite number");
        }
        if !(4..=MAX_FRAME_BYTES).contains(&length) {
            return malformed(format!(
                "frame length {length} is outside 4 to {MAX_FRAME_BYTES}"
            ));
        }
        let mut body = Vec::new();
        input
            .by_ref()
            .take(u64::from(length))
            .read_to_end(&mut body)
            .map_err(WireError::Io)?;
        if body.len() < length as usize {
            return malformed(format!(
                "frame cut short after {} of {length} bytes",
                body.len()
            ));
        }
        let count = Record(&body).u32(0) as usize;
        if count > (body.len() - 4) / EVENT_BYTES {
            return malformed(format!(
                "{count} records do not fit a frame of {length} bytes"
            ));
        }
        Ok(Some(Batch { clock, count, body }))
    }

    /// Decodes the record at `index`.
    ///
    /// # Errors
    /// If a code is unknown or a reference points outside the tail.
    pub fn event(&self, index: usize) -> Result<(u16, WireEvent), WireError> {
        let start = 4 + index * EVENT_BYTES;
        let tail = &self.body[4 + self.count * EVENT_BYTES..];
        decode(&self.body[start..start + EVENT_BYTES], tail)
    }
}

/// A decoded event record.
#[derive(Debug, Clone, PartialEq)]
pub enum WireEvent {
    /// An instance starts.
    InstanceStarted {
        /// Its seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    InstanceKilled,
    /// An event of the decision module.
    Event(Event),
    /// An event that the decision module does not use: probes, peer messages and the counter, none of which it
    /// requests.
    Unused,
}

/// Big-endian fields of a slice whose length has been checked.
struct Record<'a>(&'a [u8]);

impl Record<'_> {
    fn array<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[offset..offset + N]);
        bytes
    }
    fn u8(&self, offset: usize) -> u8 {
        self.0[offset]
    }
    fn u16(&self, offset: usize) -> u16 {
        u16::from_be_bytes(self.array(offset))
    }
    fn u32(&self, offset: usize) -> u32 {
        u32::from_be_bytes(self.array(offset))
    }
    fn u64(&self, offset: usize) -> u64 {
        u64::from_be_bytes(self.array(offset))
    }
    fn f32(&self, offset: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.array(offset)))
    }
    fn f64(&self, offset: usize) -> f64 {
        f64::from_be_bytes(self.array(offset))
    }
    fn tail_slice<'t>(
        &self,
        offset: usize,
        item_bytes: usize,
        tail: &'t [u8],
        field: &str,
    ) -> Result<&'t [u8], WireError> {
        let (start, length) = (self.u32(offset) as usize, self.u32(offset + 4) as usize);
        match start
            .checked_add(length.saturating_mul(item_bytes))
            .and_then(|end| tail.get(start..end))
        {
            Some(slice) => Ok(slice),
            None => malformed(format!(
                "{field}: reference {start}+{length} lies outside a tail of {}",
                tail.len()
            )),
        }
    }
}

fn require_finite(value: f64, field: &str) -> Result<f64, WireError> {
    if value.is_finite() {
        return Ok(value);
    }
    malformed(format!("{field} is not a finite number"))
}

fn decode(bytes: &[u8], tail: &[u8]) -> Result<(u16, WireEvent), WireError> {
    let record = Record(bytes);
    let event = match record.u8(0) {
        16 => WireEvent::Event(Event::AttemptEnd(AttemptEnd {
            request: record.u64(3),
            attempt: record.u8(24),
            outcome: outcome(record.u16(29))?,
            elapsed: require_finite(record.f64(11), "ATTEMPT_END duration")?,
            finished: record.u8(19) != 0,
            used: record
                .u16(22)
                .checked_sub(1)
                .map(|percent| f64::from(percent) / 100.0),
            billed: Some(f64::from(record.u16(20))).filter(|units| *units > 0.0),
        })),
        17 => WireEvent::Event(Event::Timer(record.u64(3))),
        18 => WireEvent::Event(Event::Request(Request {
            id: record.u64(3),
            customer: record.u64(19),
            plan: record.u32(15) as usize,
            class: usize::from(record.u16(40)),
            units: require_finite(record.f32(42), "ACCEPT weight")?,
            spread: require_finite(record.f32(11), "ACCEPT spread")?.round() as u32,
            first: require_finite(record.f32(36), "ACCEPT setFrom")?.round() as u32,
            expires_in: require_finite(record.f64(28), "ACCEPT expiresIn")?,
            repeat: record.u8(27) & 2 != 0,
        })),
        19 => {
            let text = record.tail_slice(11, 1, tail, "BORN params")?;
            let Ok(text) = std::str::from_utf8(text) else {
                return malformed("BORN params are not UTF-8");
            };
            WireEvent::InstanceStarted {
                seed: record.u64(3),
                settings: Box::new(settings(text)?),
            }
        }
        20 => {
            let kind = match record.u8(3) {
                0 => ListKind::Delta,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                other => return malformed(format!("ROSTER_CHANGE form {other} is unknown")),
            };
            let entries = record.tail_slice(12, ENTRY_BYTES, tail, "ROSTER_CHANGE hosts")?;
            let entries = entries
                .chunks_exact(ENTRY_BYTES)
                .map(server_entry)
                .collect::<Result<_, _>>()?;
            WireEvent::Event(Event::Servers { kind, entries })
        }
        23 => WireEvent::InstanceKilled,
        24 => WireEvent::Event(Event::StreamStarted(record.u64(3))),
        26 => WireEvent::Event(Event::ClientGone(record.u64(3))),
        21 => {
            record.tail_slice(5, 1, tail, "MESSAGE payload")?;
            WireEvent::Unused
        }
        22 | 25 => WireEvent::Unused,
        other => return malformed(format!("event code {other} is unknown")),
    };
    Ok((record.u16(1), event))
}

/// Size of a server list entry in bytes.
const ENTRY_BYTES: usize = 22;

fn server_entry(bytes: &[u8]) -> Result<ServerEntry, WireError> {
    let record = Record(bytes);
    let launched = require_finite(record.f64(14), "launched")?;
    Ok(ServerEntry {
        id: record.u32(0),
        zone: record.u16(4),
        cell: record.u16(7),
        share: require_finite(record.f32(10), "share")?,
        lifecycle: match record.u8(9) {
            0 => Lifecycle::Gone,
            1 => Lifecycle::Ready,
            2 => Lifecycle::Draining,
            other => return malformed(format!("lifecycle {other} is unknown")),
        },
        launched: (launched != 0.0).then_some(launched),
    })
}

fn outcome(code: u16) -> Result<Outcome, WireError> {
    Ok(match code {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Overloaded,
        303 => Outcome::TimedOut,
        304 => Outcome::NoConnection,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        other => return malformed(format!("outcome {other} is unknown")),
    })
}

/// Settings in the form of `path=value` lines.
struct Params<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Params<'a> {
    fn parse<T: std::str::FromStr>(&self, path: &str) -> Result<T, WireError> {
        let Some(text) = self.0.get(path) else {
            return malformed(format!("required setting {path} is missing"));
        };
        match text.parse() {
            Ok(value) => Ok(value),
            Err(_) => malformed(format!("setting {path} has the malformed value '{text}'")),
        }
    }
    fn text(&self, path: &str) -> Result<&'a str, WireError> {
        match self.0.get(path) {
            Some(text) => Ok(text),
            None => malformed(format!("required setting {path} is missing")),
        }
    }
    /// Reads a list of objects: its length is under `path.count`, its items under `path.0` and so on.
    fn list<T>(
        &self,
        path: &str,
        item: impl Fn(&str) -> Result<T, WireError>,
    ) -> Result<Vec<T>, WireError> {
        let count: u16 = self.parse(&format!("{path}.count"))?;
        (0..count)
            .map(|index| item(&format!("{path}.{index}")))
            .collect()
    }
}

/// Parses the settings of an instance. Unknown keys are ignored.
///
/// # Errors
/// Names the required key that is missing, malformed or out of range.
pub fn settings(text: &str) -> Result<Settings, WireError> {
    let params = Params(
        text.lines()
            .filter_map(|line| line.split_once('='))
            .collect(),
    );
    let classes = params.list("classes", |path| {
        let field = |name: &str| format!("{path}.{name}");
        let effect = match params.text(&field("semantics"))? {
            "free" => Effect::Idempotent,
            "single_shot" => Effect::NonIdempotent,
            "guarded" => Effect::Deduplicated {
                scope: match params.text(&field("group"))? {
                    "all" => Scope::All,
                    "zone" => Scope::Zone,
                    "cell" => Scope::Cell,
                    other => {
                        return malformed(format!(
                            "setting {path}.group has the unknown value '{other}'"
                        ))
                    }
                },
                window: params.parse(&field("dedupWindow"))?,
            },
            other => {
                return malformed(format!(
                    "setting {path}.semantics has the unknown value '{other}'"
                ))
            }
        };
        Ok(Class {
            worth: params.parse(&field("worth"))?,
            aim: params.parse(&field("slo"))?,
            deadline: params.parse(&field("deadline"))?,
            late_share: params.parse(&field("lateShare"))?,
            effect,
        })
    })?;
    let plans = params.list("plans", |path| {
        let number = |name: &str| params.parse(&format!("{path}.{name}"));
        Ok(Plan {
            rate: number("unitsPerS")?,
            burst: number("storeSize")?,
            open: params.parse(&format!("{path}.concurrency"))?,
            price: number("price")?,
            over_worth: number("excessWorth")?,
            over_cost: number("overrunCost")?,
            ceiling_rate: number("neverOverRate")?,
            ceiling_burst: number("capDepth")?,
            ceiling_slack: number("tolerance")?,
        })
    })?;
    let sends_retry_after: bool = params.parse("bounds.retryAfter")?;
    let settings = Settings {
        gateways: params.parse("balancers")?,
        ordinal: params.parse("ordinal")?,
        zone: params.parse("zone")?,
        classes,
        plans,
        max_units: params.parse("familyInfo.mostUnits")?,
        meter_period: params.parse("familyInfo.usePeriod")?,
        max_attempts: params.parse("bounds.maxAttempts")?,
        may_duplicate: params.parse("bounds.mayDuplicate")?,
        may_cancel: params.parse("bounds.cancel")?,
        max_retry_after: if sends_retry_after {
            params.parse("bounds.maxRetryAfter")?
        } else {
            0.0
        },
        drain_grace: params.parse("rules.stopSendingWithin")?,
        cold_from: params.parse("rules.coldFrom")?,
        cold_for: params.parse("rules.cold")?,
        tip_multiple: params.parse("rules.tipMultiple")?,
        tip_after: params.parse("rules.fall")?,
        tick: params.parse("tick")?,
        list_on_request: match params.text("registryMode")? {
            "pushed" => false,
            "on_request" => true,
            other => {
                return malformed(format!(
                    "setting registryMode has the unknown value '{other}'"
                ))
            }
        },
    };
    settings
        .validate()
        .map_err(|error| WireError::Malformed(error.to_string()))?;
    Ok(settings)
}

/// A reply under construction.
#[derive(Debug, Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Send {
                request,
                server,
                expire_at,
                ..
            } => self.record(91, instance, |out| {
                out.extend(request.to_be_bytes());
                out.extend(server.to_be_bytes());
                out.extend(expire_at.unwrap_or(0.0).to_be_bytes());
            }),
            Action::Refuse {
                request,
                retry_after,
            } => self.record(83, instance, |out| {
                out.extend(request.to_be_bytes());
                out.extend(retry_after.to_be_bytes());
            }),
            Action::Fail(request) => {
                self.record(88, instance, |out| out.extend(request.to_be_bytes()));
            }
            Action::Cancel { request, attempt } => self.record(86, instance, |out| {
                out.extend(request.to_be_bytes());
                out.push(*attempt);
            }),
            Action::Timer { at, token } => self.record(82, instance, |out| {
                out.extend(at.to_be_bytes());
                out.extend(token.to_be_bytes());
            }),
            Action::FollowServers => self.record(81, instance, |out| out.push(1)),
            Action::Log(text) => self.text(84, instance, text),
        }
    }

    /// Reports that the decision code of an instance failed.
    pub fn report_failure(&mut self, instance: u16, text: &str) {
        self.text(92, instance, text);
    }

    fn text(&mut self, code: u8, instance: u16, text: &str) {
        let from = self.tail.len() as u32;
        self.tail.extend(text.as_bytes());
        self.record(code, instance, |out| {
            out.extend(from.to_be_bytes());
            out.extend((text.len() as u32).to_be_bytes());
        });
    }

    fn record(&mut self, code: u8, instance: u16, fields: impl FnOnce(&mut Vec<u8>)) {
        self.count += 1;
        self.records.push(code);
        self.records.extend(instance.to_be_bytes());
        fields(&mut self.records);
        self.records.resize(self.count as usize * ACTION_BYTES, 0);
    }

    /// Returns the encoded frame.
    pub fn into_bytes(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.records.len() + self.tail.len());
        frame.extend(self.count.to_be_bytes());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}
