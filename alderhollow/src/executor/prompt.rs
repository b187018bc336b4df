//! What an item's headers tell of its prompt, for the choice of a backend.

use crate::balance::Prompt;
use alderhollow_batch::job::Header;
use std::hash::Hasher;
use twox_hash::XxHash3_64;

const USAGE: &str = "token-usage";
const PREFIX: &str = "prompt-prefix";

/// The prompt, or `None` if the headers name none. What can't be read is left out: it only steers the choice.
pub fn of_headers(headers: &[Header]) -> Option<Prompt> {
    let usage = value(headers, USAGE);
    let prefix = value(headers, PREFIX);
    if usage.is_none() && prefix.is_none() {
        return None;
    }
    let mut counts = usage.unwrap_or("").split(',').map(|count| count.trim().parse().unwrap_or(0));
    let tokens_in = counts.next().unwrap_or(0);
    let tokens_out = counts.next().unwrap_or(0);
    let parts = prefix.unwrap_or("").split(',').filter_map(part).collect();
    Some(Prompt { parts, tokens_in, tokens_out })
}

fn value<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value.as_str())
}

/// Reads `ID:TOKENS`.
fn part(text: &str) -> Option<(u64, u32)> {
    let (id, tokens) = text.trim().split_once(':')?;
    let tokens = tokens.parse().ok()?;
    let number = u64::from_str_radix(id, 16).unwrap_or_else(|_| hash(id));
    Some((number, tokens))
}

fn hash(id: &str) -> u64 {
    let mut hasher = XxHash3_64::with_seed(0);
    hasher.write(id.as_bytes());
    hasher.finish()
}

#[cfg(test)]
mod tests;
