//! What the errors of this program have in common: each is a type of its own, beside what it is about, and its text is
//! one plain line that says what is wrong and, after the last "; ", what an operator can do. All of them are listed in
//! `docs/operators.md`.

use std::fmt::Display;

/// Most characters of a key, a name or an address that came from outside, and of a text that another program or crate
/// made of such.
const WORD_LIMIT: usize = 64;
const TEXT_LIMIT: usize = 120;

/// A word from outside, fit to stand in a line: short, and with nothing that would end the line or hide in it.
pub(crate) fn word(from_outside: impl Display) -> String {
    cut(&from_outside.to_string(), WORD_LIMIT)
}

/// As [`word`], for a whole text.
pub(crate) fn text(from_outside: impl Display) -> String {
    cut(&from_outside.to_string(), TEXT_LIMIT)
}

fn cut(text: &str, limit: usize) -> String {
    text.chars()
        .map(|char| if char.is_control() { ' ' } else { char })
        .take(limit)
        .collect()
}

#[cfg(test)]
mod tests;
