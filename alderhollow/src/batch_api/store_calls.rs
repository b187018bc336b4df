//! Calls of a gateway to the primary of the batch group that stores a job. Calls are retried, also at a new primary, until
//! the outcome is known or a limit is reached.

use crate::batch_protocol::{StoreAnswer, StoreCall, StoreReply, TenantReading};
use crate::internal::{CallError, Network, ServiceId};
use crate::metrics;
use crate::SnapshotReceiver;
use alderhollow_batch::job::JobId;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::Instant;

/// Delay before a retry, unless the tables change earlier.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Timeout of one answer, in addition to the time that the store may hold it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// A batch job whose item bodies reach this total size is offered before it is first sent. A smaller one is sent
/// immediately and offered only before it is sent again.
const LARGE_JOB_BYTES: usize = 8 * 1024;

/// The pending answer to one call to one store.
pub type StoreAnswerFuture = Pin<Box<dyn Future<Output = Result<StoreAnswer, StoreCallError>>>>;

/// Why a call to a store was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreCallError {
    /// The store has certainly not served the call.
    #[error("the store did not receive the call")]
    NotServed,
    /// The store may have served the call.
    #[error("the store may have served the call")]
    Unknown,
}

/// Transport for calls to stores.
pub trait StoreLink {
    /// Calls the store at an address exactly once, without retries.
    fn call(&self, to: SocketAddr, call: &StoreCall, timeout: Duration) -> StoreAnswerFuture;
}

impl StoreLink for Network {
    fn call(&self, to: SocketAddr, call: &StoreCall, timeout: Duration) -> StoreAnswerFuture {
        let network = self.clone();
        let payload = minicbor::to_vec(call);
        let is_submit = matches!(call, StoreCall::Submit { .. });
        Box::pin(async move {
            let payload = payload.map_err(|_| StoreCallError::NotServed)?;
            if is_submit {
                metrics::get().batch_api.handed_over(payload.len());
            }
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

/// Limits on retrying a call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// End of retries while no attempt may have been served.
    pub retry_until: Instant,
    /// End of retries once the outcome of an attempt is unknown.
    pub resolve_until: Instant,
    /// How long the store may hold the answer.
    pub hold: Duration,
}

/// Outcome of a call over all attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The store's reply; all earlier attempts were certainly not served. Never `NotPrimary`, `NotSure` or `Unknown`.
    Answered(StoreReply),
    /// The store's reply after an attempt with unknown outcome.
    AnsweredAfterUnknown(StoreReply),
    /// No store has served any attempt, and none will.
    NotServed,
    /// A store may have served an attempt.
    Unknown,
}

/// Calls the primary of the job's group until it replies or a limit is reached. Also returns the latest reading received.
///
/// A large batch job is first offered by a small call, and its body is sent only if it would be accepted. Otherwise every
/// gateway would resend the bodies of refused jobs every few milliseconds, which saturates the primary's network link
/// and cuts it off from the core and the members of its group.
pub async fn call_primary(
    link: &dyn StoreLink,
    mut snapshots: SnapshotReceiver,
    call: &StoreCall,
    limits: CallLimits,
) -> (CallOutcome, Option<TenantReading>) {
    let mut state = CallState::default();
    let offer = offer_of(call);
    let mut offer_first = is_large(call);
    loop {
        if let Some(to) = call.job().and_then(|job| primary_address(&snapshots, job)) {
            let offered = match &offer {
                Some(offer) if offer_first => state.offer(link, to, offer).await,
                _ => OfferOutcome::Send,
            };
            offer_first = true;
            let reply = match offered {
                OfferOutcome::Final(reply) => Some(reply),
                OfferOutcome::Send => {
                    state
                        .send(link, to, call, ANSWER_TIMEOUT + limits.hold)
                        .await
                }
                OfferOutcome::Retry => None,
            };
            if let Some(reply) = reply {
                return (state.outcome_with(reply), state.reading);
            }
        }
        let until = if state.unknown {
            limits.resolve_until
        } else {
            limits.retry_until
        };
        if Instant::now() + RETRY_DELAY >= until {
            return (state.outcome_without_reply(), state.reading);
        }
        wait_before_retry(&mut snapshots).await;
        metrics::get().batch_api.asked_again(call);
    }
}

/// Asks the primary of the job's group once whether it has accepted a job. Also returns the reading received.
///
/// The query is an offer of zero tokens: it submits nothing, needs no quota and is not counted as demand.
pub async fn is_accepted(
    link: &dyn StoreLink,
    snapshots: &SnapshotReceiver,
    query: &KnownJobQuery<'_>,
    timeout: Duration,
) -> (bool, Option<TenantReading>) {
    let Some(to) = primary_address(snapshots, query.job) else {
        return (false, None);
    };
    let offer = StoreCall::Offer {
        try_id: query.try_id,
        job: query.job.clone(),
        route: query.route.to_owned(),
        tokens: 0,
    };
    match link.call(to, &offer, timeout).await {
        Ok(answer) => (answer.reply == StoreReply::Committed, answer.reading),
        Err(_) => (false, None),
    }
}

/// Identifies the job of [`is_accepted`].
pub struct KnownJobQuery<'a> {
    /// A new attempt id, under which no job is submitted.
    pub try_id: u64,
    /// The job.
    pub job: &'a JobId,
    /// Name of the job's route.
    pub route: &'a str,
}

/// State of a call over its attempts.
#[derive(Default)]
struct CallState {
    /// Whether the outcome of an attempt is unknown.
    unknown: bool,
    reading: Option<TenantReading>,
}

/// Outcome of an offer.
enum OfferOutcome {
    /// The call should be sent.
    Send,
    /// The reply is also the outcome of the call.
    Final(StoreReply),
    /// The primary could not decide or did not answer; the offer is retried.
    Retry,
}

impl CallState {
    /// Offers a batch job. Nothing is submitted by this, whatever the outcome.
    async fn offer(
        &mut self,
        link: &dyn StoreLink,
        to: SocketAddr,
        offer: &StoreCall,
    ) -> OfferOutcome {
        match link
            .call(to, offer, ANSWER_TIMEOUT)
            .await
            .map(|answer| self.record_reading(answer))
        {
            Ok(StoreReply::WouldAccept) => OfferOutcome::Send,
            Ok(reply @ (StoreReply::Committed | StoreReply::OverQuota)) => {
                OfferOutcome::Final(reply)
            }
            Ok(_) | Err(_) => OfferOutcome::Retry,
        }
    }

    /// Sends the call; returns the reply if it is final.
    async fn send(
        &mut self,
        link: &dyn StoreLink,
        to: SocketAddr,
        call: &StoreCall,
        timeout: Duration,
    ) -> Option<StoreReply> {
        match link
            .call(to, call, timeout)
            .await
            .map(|answer| self.record_reading(answer))
        {
            Ok(StoreReply::Unknown) | Err(StoreCallError::Unknown) => {
                self.unknown = true;
                None
            }
            Ok(StoreReply::NotPrimary | StoreReply::NotSure) | Err(StoreCallError::NotServed) => {
                None
            }
            Ok(reply) => Some(reply),
        }
    }

    fn record_reading(&mut self, answer: StoreAnswer) -> StoreReply {
        self.reading = answer.reading.or(self.reading);
        answer.reply
    }

    fn outcome_with(&self, reply: StoreReply) -> CallOutcome {
        match self.unknown {
            true => CallOutcome::AnsweredAfterUnknown(reply),
            false => CallOutcome::Answered(reply),
        }
    }

    fn outcome_without_reply(&self) -> CallOutcome {
        match self.unknown {
            true => CallOutcome::Unknown,
            false => CallOutcome::NotServed,
        }
    }
}

/// The small call that asks whether a submission would be accepted.
fn offer_of(call: &StoreCall) -> Option<StoreCall> {
    let StoreCall::Submit { try_id, job } = call else {
        return None;
    };
    let (route, tokens) = (job.route.clone(), job.tokens());
    Some(StoreCall::Offer {
        try_id: *try_id,
        job: job.id.clone(),
        route,
        tokens,
    })
}

/// Whether a call is offered before it is first sent.
fn is_large(call: &StoreCall) -> bool {
    let StoreCall::Submit { job, .. } = call else {
        return false;
    };
    let requests = job.items.iter().filter_map(|item| item.request.as_ref());
    requests.map(|request| request.body.len()).sum::<usize>() >= LARGE_JOB_BYTES
}

/// Waits for [`RETRY_DELAY`] or until the tables change.
async fn wait_before_retry(snapshots: &mut SnapshotReceiver) {
    let retry_at = Instant::now() + RETRY_DELAY;
    if let Ok(Err(_)) = tokio::time::timeout_at(retry_at, snapshots.changed()).await {
        // The sender of snapshots is gone.
        tokio::time::sleep_until(retry_at).await;
    }
}

/// Address of the primary of the job's group according to the current tables, if they are validated.
fn primary_address(snapshots: &SnapshotReceiver, job: &JobId) -> Option<SocketAddr> {
    let snapshot = snapshots.borrow();
    let (_, group) = snapshot
        .control
        .group_of_job(&job.0)
        .filter(|_| snapshot.validated)?;
    group.primary_member().map(|member| member.node.internal.0)
}
