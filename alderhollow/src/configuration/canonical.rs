//! A digest of what a JSON value says, whatever the order of the keys in its objects.

use serde_json::{Map, Value};
use twox_hash::XxHash3_64;

/// Marks what follows, so that values of different kinds never have the same bytes.
#[repr(u8)]
#[derive(Clone, Copy)]
enum Mark {
    Null = 0,
    False = 1,
    True = 2,
    Number = 3,
    Text = 4,
    Array = 5,
    Object = 6,
}

/// A digest of a JSON value. Equal for values that differ in the order of keys or in spaces only.
pub fn digest(value: &Value) -> u64 {
    let mut bytes = Vec::new();
    add_value(&mut bytes, value);
    XxHash3_64::oneshot(&bytes)
}

fn add_value(bytes: &mut Vec<u8>, value: &Value) {
    match value {
        Value::Null => add_mark(bytes, Mark::Null),
        Value::Bool(false) => add_mark(bytes, Mark::False),
        Value::Bool(true) => add_mark(bytes, Mark::True),
        Value::Number(number) => {
            add_mark(bytes, Mark::Number);
            add_text(bytes, &number.to_string());
        }
        Value::String(text) => {
            add_mark(bytes, Mark::Text);
            add_text(bytes, text);
        }
        Value::Array(values) => {
            add_mark(bytes, Mark::Array);
            add_length(bytes, values.len());
            for value in values {
                add_value(bytes, value);
            }
        }
        Value::Object(object) => add_object(bytes, object),
    }
}

fn add_object(bytes: &mut Vec<u8>, object: &Map<String, Value>) {
    add_mark(bytes, Mark::Object);
    add_length(bytes, object.len());
    let mut entries: Vec<_> = object.iter().collect();
    entries.sort_by_key(|(key, _)| *key);
    for (key, value) in entries {
        add_text(bytes, key);
        add_value(bytes, value);
    }
}

fn add_mark(bytes: &mut Vec<u8>, mark: Mark) {
    bytes.push(mark as u8);
}

fn add_length(bytes: &mut Vec<u8>, length: usize) {
    bytes.extend_from_slice(&(length as u64).to_le_bytes());
}

fn add_text(bytes: &mut Vec<u8>, text: &str) {
    add_length(bytes, text.len());
    bytes.extend_from_slice(text.as_bytes());
}
