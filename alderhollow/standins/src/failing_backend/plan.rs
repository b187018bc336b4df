//! What a failing backend does with one request, drawn from a seed.

use super::damage::Damage;
use oorandom::Rand64;

/// Longest time between an answer and its late copy, in milliseconds: within it a caller may use the connection again.
const MAX_COPY_DELAY_MS: u64 = 60;
/// Most writes of an answer that is sent in pieces.
const MAX_PIECES: u64 = 9;

/// What a backend is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Requests that are answered with a short body.
    Requests,
    /// Items of batch jobs, which are answered with a stream of events.
    Items,
}

/// What an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerKind {
    /// 200 with the result.
    Served,
    /// 500.
    Failed,
    /// 422: the item can never be done.
    Rejected,
    /// 503 with `Not-Executed`.
    Declined,
    /// 503 without it.
    Unavailable,
    /// The same with a long body.
    UnavailableAtLength,
}

impl AnswerKind {
    fn draw(random: &mut Rand64, workload: Workload) -> AnswerKind {
        match (random.rand_range(0..10), workload) {
            (0..=2, _) => AnswerKind::Served,
            (3..=5, _) => AnswerKind::Failed,
            (6..=7, _) => AnswerKind::Declined,
            (_, Workload::Items) => AnswerKind::Rejected,
            (8, Workload::Requests) => AnswerKind::Unavailable,
            (_, Workload::Requests) => AnswerKind::UnavailableAtLength,
        }
    }
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Closing {
    /// By a reset, as after a crash.
    Reset,
    /// Regularly, unless the system resets it for unread bytes.
    Close,
}

/// Where a connection breaks without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BreakPoint {
    /// Before anything of the body is read; the request does not run.
    BeforeBody,
    /// While the request runs on a part of its body.
    WithinBody,
    /// After the request has run.
    AfterRun,
    /// After an interim answer to a request that has run.
    AfterInterimAnswer,
}

/// How a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Conclusion {
    /// With an answer.
    Answer(AnswerKind),
    /// With a part of an answer to a request that has run.
    TruncatedAnswer(AnswerKind, Closing),
    /// With a malformed answer to a request that has run. Without a closing the connection stays open.
    MalformedAnswer(AnswerKind, Damage, Option<Closing>),
    /// Without an answer.
    Break(BreakPoint, Closing),
    /// The backend begins on a part of the body and does nothing more.
    Stall,
}

/// How an answer tells its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    Length,
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// When a backend sends an answer once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CopyTime {
    /// In one write with the answer.
    AtOnce,
    /// So many milliseconds later.
    AfterMs(u64),
    /// When the head of the next request has been read.
    AfterNextHead,
    /// When a part of the body of the next request has been read.
    AfterNextBodyPart,
}

/// Further sends of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Copies {
    pub(super) count: usize,
    pub(super) time: CopyTime,
}

/// What a backend does with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Plan {
    pub(super) conclusion: Conclusion,
    pub(super) framing: Framing,
    /// Whether the answer is sent before the body is read.
    pub(super) is_early: bool,
    pub(super) has_interim_answer: bool,
    /// Number of writes of the answer.
    pub(super) pieces: usize,
    pub(super) copies: Option<Copies>,
}

impl Plan {
    const SERVE: Plan = Plan {
        conclusion: Conclusion::Answer(AnswerKind::Served),
        framing: Framing::Length,
        is_early: false,
        has_interim_answer: false,
        pieces: 1,
        copies: None,
    };

    /// Draws a plan; half of the time the request is simply served.
    pub(super) fn draw(random: &mut Rand64, workload: Workload) -> Plan {
        if random.rand_range(0..2) == 0 {
            return Plan::SERVE;
        }
        let conclusion = Conclusion::draw(random, workload);
        let framing = match random.rand_range(0..6) {
            0..=2 => Framing::Length,
            3..=4 => Framing::Chunked,
            _ => Framing::UntilClose,
        };
        let may_stay =
            matches!(conclusion, Conclusion::Answer(_)) && framing != Framing::UntilClose;
        Plan {
            conclusion,
            framing,
            is_early: may_stay && random.rand_range(0..5) == 0,
            has_interim_answer: random.rand_range(0..6) == 0,
            pieces: random.rand_range(1..MAX_PIECES) as usize,
            copies: (may_stay && random.rand_range(0..2) == 0).then(|| Copies::draw(random)),
        }
    }

    /// Whether the connection breaks at this point.
    pub(super) fn breaks_at(&self, point: BreakPoint) -> bool {
        matches!(self.conclusion, Conclusion::Break(planned, _) if planned == point)
    }

    /// Says how the connection ends, if it breaks at this point.
    pub(super) fn break_at(&self, point: BreakPoint) -> Result<(), Closing> {
        match self.conclusion {
            Conclusion::Break(planned, closing) if planned == point => Err(closing),
            _ => Ok(()),
        }
    }

    /// Whether the backend begins to work on the request.
    pub(super) fn is_run(&self) -> bool {
        !matches!(
            self.conclusion,
            Conclusion::Answer(AnswerKind::Declined) | Conclusion::Break(BreakPoint::BeforeBody, _)
        )
    }
}

impl Conclusion {
    fn draw(random: &mut Rand64, workload: Workload) -> Conclusion {
        match (random.rand_range(0..23), workload) {
            (0..=10, _) => Conclusion::Answer(AnswerKind::draw(random, workload)),
            (11..=14, _) => {
                let kind = AnswerKind::draw(random, workload);
                Conclusion::TruncatedAnswer(kind, Closing::draw(random))
            }
            (20..=22, _) => {
                let kind = AnswerKind::draw(random, workload);
                let stays = random.rand_range(0..2) == 0;
                let closing = (!stays).then(|| Closing::draw(random));
                Conclusion::MalformedAnswer(kind, Damage::draw(random), closing)
            }
            (19, Workload::Requests) => Conclusion::Stall,
            _ => Conclusion::Break(BreakPoint::draw(random), Closing::draw(random)),
        }
    }
}

impl Closing {
    fn draw(random: &mut Rand64) -> Closing {
        match random.rand_range(0..2) {
            0 => Closing::Reset,
            _ => Closing::Close,
        }
    }
}

impl BreakPoint {
    fn draw(random: &mut Rand64) -> BreakPoint {
        match random.rand_range(0..4) {
            0 => BreakPoint::BeforeBody,
            1 => BreakPoint::WithinBody,
            2 => BreakPoint::AfterRun,
            _ => BreakPoint::AfterInterimAnswer,
        }
    }
}

impl Copies {
    fn draw(random: &mut Rand64) -> Copies {
        let time = match random.rand_range(0..4) {
            0 => CopyTime::AtOnce,
            1 => CopyTime::AfterMs(random.rand_range(0..MAX_COPY_DELAY_MS)),
            2 => CopyTime::AfterNextHead,
            _ => CopyTime::AfterNextBodyPart,
        };
        Copies {
            count: random.rand_range(1..3) as usize,
            time,
        }
    }
}
