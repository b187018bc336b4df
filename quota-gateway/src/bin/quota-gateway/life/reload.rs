//! What a replaced configuration changes, key by key, so that what is not taken over is told and not passed over.

use serde_json::{Map, Value};

/// Most keys that one line names, and most characters of each: a line of the log holds them.
const NAMED: usize = 40;
const KEY_LIMIT: usize = 64;

/// The keys at which two configurations differ, apart from those at the top that `but` names. Entries of lists that
/// bear a name are matched by it, others by their place.
pub(crate) fn differences(before: &Value, after: &Value, but: &[&str]) -> Vec<String> {
    let mut found = Vec::new();
    compare("", before, after, but, &mut found);
    found
}

/// The keys as one phrase, bounded in length.
pub(crate) fn phrase(keys: &[String]) -> String {
    let named: Vec<String> = keys
        .iter()
        .take(NAMED)
        .map(|key| key.chars().take(KEY_LIMIT).collect())
        .collect();
    let more = keys.len().saturating_sub(NAMED);
    let rest = if more > 0 {
        format!(" and {more} more")
    } else {
        String::new()
    };
    named.join(", ") + &rest
}

fn compare(path: &str, before: &Value, after: &Value, but: &[&str], found: &mut Vec<String>) {
    match (before, after) {
        _ if before == after => {}
        (Value::Object(before), Value::Object(after)) => {
            let key = |name: &str| {
                if path.is_empty() {
                    name.to_string()
                } else {
                    format!("{path}.{name}")
                }
            };
            let names = before
                .keys()
                .chain(after.keys().filter(|name| !before.contains_key(*name)));
            for name in names.filter(|name| !but.contains(&name.as_str())) {
                let [old, new] = [before, after].map(|side| side.get(name).unwrap_or(&Value::Null));
                compare(&key(name), old, new, &[], found);
            }
        }
        (Value::Array(old), Value::Array(new)) => match (by_name(old), by_name(new)) {
            (Some(old), Some(new)) => {
                let names = old
                    .keys()
                    .chain(new.keys().filter(|name| !old.contains_key(*name)));
                for name in names {
                    let [old, new] =
                        [&old, &new].map(|side| side.get(name).unwrap_or(&Value::Null));
                    compare(&format!("{path}[{name}]"), old, new, &[], found);
                }
            }
            _ => found.push(path.to_string()),
        },
        _ => found.push(if path.is_empty() {
            "all".into()
        } else {
            path.to_string()
        }),
    }
}

/// The entries by name; `None` if one has none, or two have the same.
fn by_name(entries: &[Value]) -> Option<Map<String, Value>> {
    let name = |entry: &Value| {
        Some(
            entry
                .get("name")
                .or_else(|| entry.get("uid"))?
                .as_str()?
                .to_string(),
        )
    };
    let named: Option<Map<String, Value>> = entries
        .iter()
        .map(|entry| Some((name(entry)?, entry.clone())))
        .collect();
    named.filter(|named| named.len() == entries.len())
}

#[cfg(test)]
mod tests;
