//! Damage to the head of an answer, after which it is no well-formed response.

use oorandom::Rand64;

const LINE_END: &str = "\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked";

/// What is damaged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Damage {
    /// `Transfer-Encoding` names a coding that the body does not have.
    Coding,
    /// Two framings contradict each other.
    TwoFramings,
    /// The status is none.
    Status(u16),
    /// A line has no colon.
    NoField,
    /// The name of a field holds a blank and a control byte.
    FieldName,
    /// A line ends with a bare line feed.
    LineEnd,
}

impl Damage {
    pub(super) fn draw(random: &mut Rand64) -> Damage {
        match random.rand_range(0..8) {
            0..=1 => Damage::Coding,
            2 => Damage::TwoFramings,
            3 => Damage::Status(0),
            4 => Damage::Status(777),
            5 => Damage::NoField,
            6 => Damage::FieldName,
            _ => Damage::LineEnd,
        }
    }

    /// The damaged answer.
    pub(super) fn apply(self, answer: &str) -> String {
        match self {
            Damage::Coding if answer.contains(CHUNKED) => {
                answer.replace(CHUNKED, "Transfer-Encoding: chunkd")
            }
            Damage::Coding => with_line(answer, "Transfer-Encoding: gzip"),
            Damage::TwoFramings => {
                with_line(answer, &format!("Content-Length: 3{LINE_END}{CHUNKED}"))
            }
            Damage::Status(status) => {
                let rest = answer.split_once(LINE_END).map_or("", |(_, rest)| rest);
                format!("HTTP/1.1 {status:03} Damaged{LINE_END}{rest}")
            }
            Damage::NoField => with_line(answer, "no field"),
            Damage::FieldName => with_line(answer, "in side\u{1}: x"),
            Damage::LineEnd => answer.replacen(LINE_END, "\n", 1),
        }
    }
}

/// The answer with a further line behind its status line.
fn with_line(answer: &str, line: &str) -> String {
    answer.replacen(LINE_END, &format!("{LINE_END}{line}{LINE_END}"), 1)
}
