//! Typed access to the keys of a TOML table that gathers findings instead of ending at the first.

use crate::finding::Finding;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::time::Duration;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Longest span that a setting may name: a year. Longer ones are slips, and can't overflow sums of times.
const LONGEST_SPAN_MS: f64 = 365.0 * 24.0 * 3600.0 * 1000.0;
/// Largest whole number that a setting may name.
const LARGEST_COUNT: f64 = 1e12;

/// What is wrong with a text so far.
#[derive(Debug)]
pub(super) struct Findings<'a> {
    text: &'a str,
    found: Vec<Finding>,
}

impl<'a> Findings<'a> {
    /// None yet, for a text.
    pub(super) fn new(text: &'a str) -> Findings<'a> {
        Findings {
            text,
            found: Vec::new(),
        }
    }

    /// Adds one at a place in the text.
    pub(super) fn add_at(&mut self, span: Range<usize>, message: impl Into<String>) {
        let position = format!("line {}", self.line_of(span.start));
        self.found.push(Finding::new(position, message));
    }

    /// Adds one about the file as a whole.
    pub(super) fn add(&mut self, message: impl Into<String>) {
        self.found.push(Finding::new("settings", message));
    }

    /// All of them.
    pub(super) fn into_vec(self) -> Vec<Finding> {
        self.found
    }

    fn line_of(&self, offset: usize) -> usize {
        let before = self
            .text
            .as_bytes()
            .get(..offset)
            .unwrap_or(self.text.as_bytes());
        before.iter().filter(|byte| **byte == b'\n').count() + 1
    }
}

/// One table of the file, by the name under which messages speak of it (empty: the top).
#[derive(Debug, Clone, Copy)]
pub(super) struct Keys<'t, 'i> {
    name: &'t str,
    table: Option<&'t DeTable<'i>>,
}

impl<'t, 'i> Keys<'t, 'i> {
    /// The top table.
    pub(super) fn top(table: &'t DeTable<'i>) -> Keys<'t, 'i> {
        Keys {
            name: "",
            table: Some(table),
        }
    }

    /// A table below; one that is missing is like an empty one.
    pub(super) fn table(&self, name: &'t str, findings: &mut Findings) -> Keys<'t, 'i> {
        let Some(value) = self.value(name) else {
            return Keys { name, table: None };
        };
        let table = value.get_ref().as_table();
        if table.is_none() {
            findings.add_at(
                value.span(),
                format!("`{name}` must be a table: write it as [{name}]"),
            );
        }
        Keys { name, table }
    }

    /// All keys with texts as values; others are findings.
    pub(super) fn texts(&self, findings: &mut Findings) -> Vec<(String, String)> {
        let mut texts = Vec::new();
        for (key, value) in self.table.into_iter().flatten() {
            match value.get_ref().as_str() {
                Some(text) => texts.push((key.get_ref().to_string(), text.to_string())),
                None => self.wrong(findings, key.get_ref(), value, "a text in quotes"),
            }
        }
        texts
    }

    /// The value of a key. An empty text counts as a key that is missing.
    fn value(&self, key: &str) -> Option<&'t Spanned<DeValue<'i>>> {
        let value = self.table?.get(key)?;
        match value.get_ref().as_str() {
            Some("") => None,
            _ => Some(value),
        }
    }

    fn path(&self, key: &str) -> String {
        if self.name.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.name)
        }
    }

    fn missing(&self, findings: &mut Findings, key: &str, what: &str) {
        findings.add(format!("`{}` is missing: set it to {what}", self.path(key)));
    }

    fn wrong(&self, findings: &mut Findings, key: &str, value: &Spanned<DeValue>, what: &str) {
        findings.add_at(
            value.span(),
            format!("`{}` is senseless: set it to {what}", self.path(key)),
        );
    }

    /// A value of some type, by a conversion. `None` if the key is missing or has a wrong value.
    fn optional<T>(
        &self,
        findings: &mut Findings,
        key: &str,
        what: &str,
        convert: impl FnOnce(&DeValue) -> Option<T>,
    ) -> Option<T> {
        let value = self.value(key)?;
        let converted = convert(value.get_ref());
        if converted.is_none() {
            self.wrong(findings, key, value, what);
        }
        converted
    }

    /// As [`Keys::optional`]; a missing key is a finding.
    fn required<T>(
        &self,
        findings: &mut Findings,
        key: &str,
        what: &str,
        convert: impl FnOnce(&DeValue) -> Option<T>,
    ) -> Option<T> {
        if self.value(key).is_none() {
            self.missing(findings, key, what);
            return None;
        }
        self.optional(findings, key, what, convert)
    }

    /// A text that must be there.
    pub(super) fn required_text(
        &self,
        findings: &mut Findings,
        key: &str,
        what: &str,
    ) -> Option<String> {
        self.required(findings, key, what, |value| {
            value.as_str().map(str::to_string)
        })
    }

    /// A text.
    pub(super) fn text(&self, findings: &mut Findings, key: &str) -> Option<String> {
        self.optional(findings, key, "a text in quotes", |value| {
            value.as_str().map(str::to_string)
        })
    }

    /// Texts in a list; a missing list is empty.
    pub(super) fn text_list(&self, findings: &mut Findings, key: &str) -> Vec<String> {
        let list = self.optional(findings, key, "a list of texts", |value| {
            value
                .as_array()?
                .iter()
                .map(|item| item.get_ref().as_str().map(str::to_string))
                .collect()
        });
        list.unwrap_or_default()
    }

    /// An IP address that must be there.
    pub(super) fn required_ip(&self, findings: &mut Findings, key: &str) -> Option<IpAddr> {
        self.required(findings, key, "this machine's IP address", |value| {
            value.as_str()?.parse().ok()
        })
    }

    /// An address with a port.
    pub(super) fn address(&self, findings: &mut Findings, key: &str) -> Option<SocketAddr> {
        self.optional(
            findings,
            key,
            "an address such as \"10.0.0.1:8080\"",
            address_of,
        )
    }

    /// An address with a port that must be there.
    pub(super) fn required_address(
        &self,
        findings: &mut Findings,
        key: &str,
        why: &str,
    ) -> Option<SocketAddr> {
        let what = format!("an address such as \"10.0.0.1:8080\" ({why})");
        self.required(findings, key, &what, address_of)
    }

    /// Addresses in a list that must hold at least one.
    pub(super) fn required_addresses(
        &self,
        findings: &mut Findings,
        key: &str,
    ) -> Option<Vec<SocketAddr>> {
        let what = "a list of one address or more, such as [\"10.0.0.1:8080\"]";
        self.required(findings, key, what, |value| {
            let addresses: Option<Vec<SocketAddr>> = value
                .as_array()?
                .iter()
                .map(|item| address_of(item.get_ref()))
                .collect();
            addresses.filter(|addresses| !addresses.is_empty())
        })
    }

    /// A range of ports, given as its first and its last, that must be there.
    pub(super) fn required_ports(&self, findings: &mut Findings, key: &str) -> Option<(u16, u16)> {
        let what = "the first and the last free port, such as [7660, 7675]";
        self.required(findings, key, what, |value| {
            let array = value.as_array()?;
            let ports: Option<Vec<u16>> =
                array.iter().map(|item| port_of(item.get_ref())).collect();
            match ports?.as_slice() {
                [first, last] if first <= last => Some((*first, *last)),
                _ => None,
            }
        })
    }

    /// True or false; `default` where the key is missing.
    pub(super) fn flag(&self, findings: &mut Findings, key: &str, default: bool) -> bool {
        self.optional(findings, key, "true or false", |value| value.as_bool())
            .unwrap_or(default)
    }

    /// True or false; must be there.
    pub(super) fn required_flag(&self, findings: &mut Findings, key: &str) -> Option<bool> {
        self.required(findings, key, "true or false", |value| value.as_bool())
    }

    /// A number that is not negative.
    pub(super) fn number(&self, findings: &mut Findings, key: &str) -> Option<f64> {
        self.optional(findings, key, "a number that is not negative", |value| {
            number_of(value).filter(|number| *number >= 0.0)
        })
    }

    /// A number above 0.
    pub(super) fn positive(&self, findings: &mut Findings, key: &str) -> Option<f64> {
        self.optional(findings, key, "a number above 0", |value| {
            number_of(value).filter(|number| *number > 0.0)
        })
    }

    /// A whole number that is not negative.
    pub(super) fn count(&self, findings: &mut Findings, key: &str) -> Option<u64> {
        self.optional(
            findings,
            key,
            "a whole number that is not negative",
            count_of,
        )
    }

    /// A span in milliseconds; `default` where the key is missing.
    pub(super) fn milliseconds(
        &self,
        findings: &mut Findings,
        key: &str,
        default: Duration,
    ) -> Duration {
        self.span(
            findings,
            key,
            1.0,
            "milliseconds, a number that is not negative",
        )
        .unwrap_or(default)
    }

    /// A span in seconds; `default` where the key is missing.
    pub(super) fn seconds(
        &self,
        findings: &mut Findings,
        key: &str,
        default: Duration,
    ) -> Duration {
        self.span(
            findings,
            key,
            1000.0,
            "seconds, a number that is not negative",
        )
        .unwrap_or(default)
    }

    fn span(
        &self,
        findings: &mut Findings,
        key: &str,
        unit_ms: f64,
        what: &str,
    ) -> Option<Duration> {
        self.optional(findings, key, what, |value| {
            let milliseconds = number_of(value)? * unit_ms;
            let sensible = (0.0..=LONGEST_SPAN_MS).contains(&milliseconds);
            sensible.then(|| Duration::from_secs_f64(milliseconds / 1000.0))
        })
    }

    /// A level of log entries.
    pub(super) fn log_level(&self, findings: &mut Findings, key: &str) -> Option<log::LevelFilter> {
        let what = "one of \"off\", \"error\", \"warn\", \"info\", \"debug\", \"trace\"";
        self.optional(findings, key, what, |value| value.as_str()?.parse().ok())
    }
}

fn address_of(value: &DeValue) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn number_of(value: &DeValue) -> Option<f64> {
    let number: f64 = match value {
        DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str().parse().ok()?,
        DeValue::Integer(integer) => {
            i64::from_str_radix(integer.as_str(), integer.radix()).ok()? as f64
        }
        DeValue::Float(float) => float.as_str().parse().ok()?,
        _ => return None,
    };
    number.is_finite().then_some(number)
}

fn count_of(value: &DeValue) -> Option<u64> {
    let number = number_of(value)?;
    let whole = number.fract() == 0.0 && (0.0..=LARGEST_COUNT).contains(&number);
    whole.then_some(number as u64)
}

fn port_of(value: &DeValue) -> Option<u16> {
    u16::try_from(count_of(value)?)
        .ok()
        .filter(|port| *port > 0)
}
