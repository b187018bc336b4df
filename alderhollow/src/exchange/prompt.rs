//! Reads the description of a request's prompt from its headers.

use crate::balance::Prompt;
use hyper::header::{HeaderMap, HeaderName};
use twox_hash::XxHash3_64;

/// Parts of the prompt in order, as comma-separated `ID:TOKENS`.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
/// Number of prompt tokens and maximum number of output tokens, separated by a comma.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");

/// Reads the prompt; `None` if the headers describe none. Malformed parts are ignored, as the prompt only affects which
/// backend is preferred.
pub fn read(headers: &HeaderMap) -> Option<Prompt> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let parts: Vec<(u64, u32)> = text(PROMPT_PREFIX)
        .unwrap_or("")
        .split(',')
        .filter_map(|part| read_part(part.trim()))
        .collect();
    let mut usage = text(TOKEN_USAGE).unwrap_or("").split(',');
    let mut next_count = || {
        usage
            .next()
            .and_then(|number| number.trim().parse::<u32>().ok())
    };
    let (tokens_in, tokens_out) = (next_count(), next_count());
    if parts.is_empty() && tokens_in.is_none() {
        return None;
    }
    let sum_of_parts = || {
        parts
            .iter()
            .fold(0, |sum: u32, (_, tokens)| sum.saturating_add(*tokens))
    };
    let tokens_in = tokens_in.unwrap_or_else(sum_of_parts);
    Some(Prompt {
        parts,
        tokens_in,
        tokens_out: tokens_out.unwrap_or(0),
    })
}

fn read_part(part: &str) -> Option<(u64, u32)> {
    let (id, tokens) = part.split_once(':')?;
    Some((
        XxHash3_64::oneshot(id.as_bytes()),
        tokens.trim().parse().ok()?,
    ))
}

#[cfg(test)]
mod tests;
