//! Check at the first start of the system that a seed can found the core, which needs a disk and a role that may join it.
//! Without this check, a deployment where none can would answer 503 with nothing in its logs.

use crate::distribution::identify::identify;
use crate::distribution::message::Answer;
use crate::node::Node;
use std::time::Duration;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The error is logged at the first of so many consecutive checks that find it.
const CHECKS_PER_MESSAGE: u32 = 10;

/// Whether the seeds can found the core, according to all their answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoundingOutlook {
    /// A seed can found the core, or knows an existing one.
    Possible,
    /// No seed that answered can found the core, and some have not answered.
    Unknown,
    /// All seeds have answered, and none can found the core.
    Impossible,
}

impl FoundingOutlook {
    /// Evaluates the answers of all seeds; `None` stands for no answer.
    pub fn of(answers: &[Option<Answer>]) -> FoundingOutlook {
        let may_found = |answer: &Answer| match answer {
            Answer::Identity(node, core) => {
                let is_founder = node.disk.is_some() && node.role.may_join_core();
                is_founder || core.primary.is_some() || !core.members.is_empty()
            }
            Answer::Update(_) | Answer::NotPrimary(_) => true,
        };
        if answers.iter().flatten().any(may_found) {
            return FoundingOutlook::Possible;
        }
        match answers.iter().all(Option::is_some) {
            true => FoundingOutlook::Impossible,
            false => FoundingOutlook::Unknown,
        }
    }
}

/// Queries the seeds until the core exists or can be founded, and logs an error while it can't.
pub async fn run(node: Node) {
    let mut checks: u32 = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if node.poll_state.validated_since_ms().is_some() {
            return;
        }
        match identify_seeds(&node).await {
            FoundingOutlook::Possible => return,
            FoundingOutlook::Unknown => continue,
            FoundingOutlook::Impossible => (),
        }
        if checks.is_multiple_of(CHECKS_PER_MESSAGE) {
            log::error!(
                "no seed can found the core: none of {:?} has a disk and a role that serves control_plane. \
                 Every operator's call and every request will be answered with 503. Run `alderhollow core` (or \
                 `alderhollow door`) with `control_plane` in `serves` on machines that have a disk",
                node.directory.seeds()
            );
        }
        checks = checks.wrapping_add(1);
    }
}

async fn identify_seeds(node: &Node) -> FoundingOutlook {
    let mut answers = Vec::new();
    for seed in node.directory.seeds() {
        answers.push(identify(&node.network, seed).await);
    }
    FoundingOutlook::of(&answers)
}
