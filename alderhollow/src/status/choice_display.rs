//! The reason of a choice as text: the chosen backend, what decided, and each backend with its price.

use super::message::ChoiceReport;
use crate::balance::{Candidate, Cost, Explanation, Verdict};
use std::fmt::{self, Display, Formatter};

/// Parts of a price below this are not shown, in milliseconds.
const SHOWN_FROM_MS: f64 = 0.05;

impl Display for ChoiceReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        show_view(f, "as placer", self.as_placer.as_ref())?;
        show_view(f, "as sender", self.as_sender.as_ref())
    }
}

fn show_view(f: &mut Formatter<'_>, view: &str, explanation: Option<&Explanation>) -> fmt::Result {
    let Some(explanation) = explanation else {
        return writeln!(f, "{view}: knows no backend of the service");
    };
    match (explanation.chosen(), explanation.decisive_component()) {
        (Some(chosen), Some(part)) => writeln!(f, "{view}: {}, decided by {part}", chosen.backend)?,
        (Some(chosen), None) => writeln!(
            f,
            "{view}: {}, nothing speaks for another one",
            chosen.backend
        )?,
        (None, _) => writeln!(f, "{view}: no backend may take it now")?,
    }
    explanation
        .candidates
        .iter()
        .try_for_each(|candidate| show_candidate(f, candidate))
}

fn show_candidate(f: &mut Formatter<'_>, candidate: &Candidate) -> fmt::Result {
    let Candidate {
        backend,
        zone,
        attempts,
        uncached_fraction,
        verdict,
        cost,
    } = candidate;
    write!(f, "  {backend} in {zone}: ")?;
    match verdict {
        Verdict::Open => write!(f, "open")?,
        Verdict::Unhealthy { for_ms } => write!(f, "unhealthy for {for_ms:.0} ms")?,
        Verdict::Full { for_ms } => write!(f, "full for {for_ms:.0} ms")?,
        Verdict::Withdrawn => write!(f, "drains or is evacuated")?,
    }
    write!(
        f,
        ", {attempts} under way, reads {:.0}% of the shared prefix, ",
        uncached_fraction * 100.0
    )?;
    show_cost(f, cost)
}

fn show_cost(f: &mut Formatter<'_>, cost: &Cost) -> fmt::Result {
    write!(f, "price {:.1}", cost.total())?;
    let parts = cost.components();
    let shown: Vec<String> = parts
        .iter()
        .filter(|(_, part_ms)| part_ms.abs() >= SHOWN_FROM_MS)
        .map(|(name, part_ms)| format!("{name} {part_ms:.1}"))
        .collect();
    match shown.is_empty() {
        true => writeln!(f),
        false => writeln!(f, " = {}", shown.join(" + ")),
    }
}
