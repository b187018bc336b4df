//! A change of named items: what `PATCH` does to a document.

use super::InvalidConfig;
use crate::finding::Finding;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

const UPSERT: &str = "upsert";
const DELETE: &str = "delete";
const NAME: &str = "name";

/// Applies a change to a document: names under `delete` are removed from their lists, then items under `upsert` replace
/// those of the same name in place, or are added at the end. Other fields of the change (`config-version`, `limits`)
/// take the place of the document's; objects are merged by key. The result has yet to be checked.
///
/// # Errors
/// The change is no object, or names what cannot be changed.
pub fn apply_patch(document: &Value, patch: &Value) -> Result<Value, InvalidConfig> {
    let mut result = document.as_object().cloned().unwrap_or_default();
    let Some(patch) = patch.as_object() else {
        return Err(Finding::new("document", "must be an object").into());
    };
    let mut findings = Vec::new();
    for (list, names) in lists_of(patch, DELETE, &mut findings) {
        delete_named(&mut result, list, names, &mut findings);
    }
    for (list, items) in lists_of(patch, UPSERT, &mut findings) {
        upsert(&mut result, list, items, &mut findings);
    }
    for (key, value) in patch {
        if key != UPSERT && key != DELETE {
            merge_field(&mut result, key, value);
        }
    }
    if findings.is_empty() {
        Ok(Value::Object(result))
    } else {
        Err(InvalidConfig(findings))
    }
}

/// The entries of `upsert` or `delete`; none where the change has no such part.
fn lists_of<'a>(
    patch: &'a Map<String, Value>,
    part: &str,
    findings: &mut Vec<Finding>,
) -> Vec<(&'a String, &'a Value)> {
    match patch.get(part) {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Object(lists)) => lists.iter().collect(),
        Some(_) => {
            findings.push(Finding::new(part, "must be an object of lists"));
            Vec::new()
        }
    }
}

fn delete_named(
    document: &mut Map<String, Value>,
    list: &str,
    names: &Value,
    findings: &mut Vec<Finding>,
) {
    let texts: Option<BTreeSet<&str>> = names
        .as_array()
        .and_then(|names| names.iter().map(Value::as_str).collect());
    let Some(texts) = texts else {
        findings.push(Finding::new(
            format!("{DELETE}.{list}"),
            "must be a list of names",
        ));
        return;
    };
    if let Some(items) = document.get_mut(list).and_then(Value::as_array_mut) {
        items.retain(|item| !name_of(item).is_some_and(|name| texts.contains(name)));
    }
}

fn upsert(
    document: &mut Map<String, Value>,
    list: &str,
    given: &Value,
    findings: &mut Vec<Finding>,
) {
    let position = format!("{UPSERT}.{list}");
    let given_items = match given {
        Value::Array(items) => items,
        Value::Object(_) => return merge_field(document, list, given),
        _ => {
            findings.push(Finding::new(position, "must be a list of items"));
            return;
        }
    };
    let held = document
        .entry(list)
        .or_insert_with(|| Value::Array(Vec::new()));
    let Some(items) = held.as_array_mut() else {
        findings.push(Finding::new(position, "the configuration has no such list"));
        return;
    };
    for (index, item) in given_items.iter().enumerate() {
        let Some(name) = name_of(item) else {
            findings.push(Finding::new(
                format!("{position}[{index}]"),
                "must be an object with a `name`",
            ));
            continue;
        };
        match items.iter_mut().find(|held| name_of(held) == Some(name)) {
            Some(held) => *held = item.clone(),
            None => items.push(item.clone()),
        }
    }
}

fn merge_field(document: &mut Map<String, Value>, key: &str, value: &Value) {
    match (document.get_mut(key), value) {
        (Some(Value::Object(held)), Value::Object(given)) => {
            held.extend(
                given
                    .iter()
                    .map(|(key, value)| (key.clone(), value.clone())),
            );
        }
        _ => {
            document.insert(key.to_string(), value.clone());
        }
    }
}

fn name_of(item: &Value) -> Option<&str> {
    item.get(NAME).and_then(Value::as_str)
}
