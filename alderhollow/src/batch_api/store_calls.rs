//! Calls of a door to the primary of the group of stores that keeps the batch job, asked again at a successor until the end is known.

use crate::batch_protocol::{StoreAnswer, StoreCall, StoreReply, TenantReading};
use crate::internal::{CallError, Network, ServiceId};
use crate::SnapshotReceiver;
use alderhollow_batch::job::JobId;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::Instant;

/// Pause before the primary is asked again, unless the tables change before.
const ASK_AGAIN_PAUSE: Duration = Duration::from_millis(60);
/// Longest time for one answer, beyond what the call may wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// One call to one store.
pub type StoreAnswerFuture = Pin<Box<dyn Future<Output = Result<StoreAnswer, StoreCallError>>>>;

/// Why a call to a store has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreCallError {
    /// The store has surely done nothing of the call.
    #[error("the store did not get the call")]
    NotServed,
    /// The store may have served the call.
    #[error("the store may have served the call")]
    Unknown,
}

/// Carries calls to stores.
pub trait StoreLink {
    /// Calls the store at an address once; never twice.
    fn call(&self, to: SocketAddr, call: &StoreCall, timeout: Duration) -> StoreAnswerFuture;
}

impl StoreLink for Network {
    fn call(&self, to: SocketAddr, call: &StoreCall, timeout: Duration) -> StoreAnswerFuture {
        let network = self.clone();
        let payload = minicbor::to_vec(call);
        Box::pin(async move {
            let payload = payload.map_err(|_| StoreCallError::NotServed)?;
            let answer = Network::call(&network, to, ServiceId::Batch, payload, timeout).await;
            let answer = answer.map_err(StoreCallError::from)?;
            minicbor::decode(&answer).map_err(|_| StoreCallError::Unknown)
        })
    }
}

impl From<CallError> for StoreCallError {
    fn from(error: CallError) -> StoreCallError {
        match error.surely_not_served() {
            true => StoreCallError::NotServed,
            false => StoreCallError::Unknown,
        }
    }
}

/// How long a call is tried.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// While nothing was handed over, until here.
    pub unserved_until: Instant,
    /// Once something was handed over whose end is unknown, until here.
    pub unknown_until: Instant,
    /// How long the store may hold its answer.
    pub held: Duration,
}

/// How a call ended over all its tries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The store's answer, and all tries before it were surely not served. Never `NotPrimary`, `NotSure` or `Unknown`.
    Answered(StoreReply),
    /// The store's answer after a try whose end was unknown.
    AnsweredAfterUnknown(StoreReply),
    /// No store has served any try, and none will.
    NotServed,
    /// A store may have served a try.
    Unknown,
}

/// Asks the primary of the job's group until there is an answer or patience ends. Gives the newest reading that came along.
///
/// A batch job is large. A primary that did not serve it is first asked whether it serves calls at all: copies of many
/// jobs, sent anew every few milliseconds, would fill its link, so that it could not hear the core.
pub async fn ask_primary(
    link: &dyn StoreLink,
    mut snapshots: SnapshotReceiver,
    call: &StoreCall,
    patience: Patience,
) -> (CallEnd, Option<TenantReading>) {
    let mut unknown = false;
    let mut reading = None;
    let probe = probe_for(call);
    let mut unserved_by = None;
    loop {
        let primary = call.job().and_then(|job| primary_address(&snapshots, job));
        let probed = match (primary, &probe) {
            (Some(to), Some(probe)) if unserved_by == primary => send_probe(link, to, probe).await,
            _ => Probed::Serves,
        };
        if probed == Probed::IsCommitted {
            let end = if unknown { CallEnd::AnsweredAfterUnknown } else { CallEnd::Answered };
            return (end(StoreReply::Committed), reading);
        }
        if let Some(to) = primary.filter(|_| probed == Probed::Serves) {
            unserved_by = primary;
            let answer = link.call(to, call, ANSWER_TIMEOUT + patience.held).await;
            let reply = answer.map(|answer| {
                reading = answer.reading.or(reading);
                answer.reply
            });
            match reply {
                Ok(StoreReply::Unknown) | Err(StoreCallError::Unknown) => unknown = true,
                Ok(StoreReply::NotPrimary | StoreReply::NotSure) | Err(StoreCallError::NotServed) => {}
                Ok(reply) if unknown => return (CallEnd::AnsweredAfterUnknown(reply), reading),
                Ok(reply) => return (CallEnd::Answered(reply), reading),
            }
        }
        let until = if unknown { patience.unknown_until } else { patience.unserved_until };
        if Instant::now() + ASK_AGAIN_PAUSE >= until {
            let end = if unknown { CallEnd::Unknown } else { CallEnd::NotServed };
            return (end, reading);
        }
        pause(&mut snapshots).await;
    }
}

/// What a primary that did not serve a batch job answered to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probed {
    /// It serves calls again, and does not have the batch job.
    Serves,
    /// It has it, on every member's disk.
    IsCommitted,
    /// It can't tell, or said nothing.
    IsUnsure,
}

/// A small call that shows whether the primary would serve a large one.
fn probe_for(call: &StoreCall) -> Option<StoreCall> {
    match call {
        StoreCall::Submit { job, .. } => {
            Some(StoreCall::Read { job: job.id.clone(), after: u32::MAX, wait_ms: 0 })
        }
        StoreCall::Read { .. } | StoreCall::Body { .. } | StoreCall::End(_) | StoreCall::Quota(_) => None,
    }
}

async fn send_probe(link: &dyn StoreLink, to: SocketAddr, probe: &StoreCall) -> Probed {
    match link.call(to, probe, ANSWER_TIMEOUT).await.map(|answer| answer.reply) {
        Ok(StoreReply::Results(_)) => Probed::IsCommitted,
        Ok(StoreReply::NotPrimary | StoreReply::NotSure | StoreReply::Unknown) | Err(_) => Probed::IsUnsure,
        Ok(_) => Probed::Serves,
    }
}

/// Waits a little, or until the tables change.
async fn pause(snapshots: &mut SnapshotReceiver) {
    let again_at = Instant::now() + ASK_AGAIN_PAUSE;
    if let Ok(Err(_)) = tokio::time::timeout_at(again_at, snapshots.changed()).await {
        // Nobody changes the tables any more.
        tokio::time::sleep_until(again_at).await;
    }
}

/// Where the primary of the job's group takes calls, as the newest validated tables say.
fn primary_address(snapshots: &SnapshotReceiver, job: &JobId) -> Option<SocketAddr> {
    let snapshot = snapshots.borrow();
    let (_, group) = snapshot.control.group_of_job(&job.0).filter(|_| snapshot.validated)?;
    group.primary_member().map(|member| member.node.internal.0)
}
