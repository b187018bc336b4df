//! Strict reading of JSON: all of the text must be one value, and no object may name a key twice.

use crate::finding::Finding;
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;
use thiserror::Error as ThisError;

/// The text is not JSON, or says something twice.
#[derive(Debug, ThisError)]
#[error("can't be read whole: {0}")]
pub struct JsonError(serde_json::Error);

impl JsonError {
    /// The same with its position.
    pub fn finding(&self) -> Finding {
        let position = format!("line {}, column {}", self.0.line(), self.0.column());
        Finding::new(position, self.to_string())
    }
}

/// Reads a text that must hold one JSON value and nothing else.
///
/// # Errors
/// The text is no JSON, holds more than one value, or repeats a key.
pub fn read_json(text: &[u8]) -> Result<Value, JsonError> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = StrictValue
        .deserialize(&mut deserializer)
        .map_err(JsonError)?;
    deserializer.end().map_err(JsonError)?;
    Ok(value)
}

/// Reads a [`Value`] whose objects name each key once.
#[derive(Clone, Copy)]
struct StrictValue;

impl<'de> DeserializeSeed<'de> for StrictValue {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StrictValue {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        let number =
            Number::from_f64(value).ok_or_else(|| E::custom("a number that is not finite"))?;
        Ok(Value::Number(number))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_string<E: Error>(self, value: String) -> Result<Value, E> {
        Ok(Value::String(value))
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        while let Some(value) = items.next_element_seed(self)? {
            values.push(value);
        }
        Ok(Value::Array(values))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            let value = entries.next_value_seed(self)?;
            if object.contains_key(&key) {
                return Err(A::Error::custom(format_args!(
                    "the key `{key}` stands twice in one object"
                )));
            }
            object.insert(key, value);
        }
        Ok(Value::Object(object))
    }
}
