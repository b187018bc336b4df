//! Calls of a gateway to the primary of the group of stores that keeps the batch job, asked again at a successor until the end is known.

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

/// Pause before the primary is asked again, unless the tables change before.
const ASK_AGAIN_PAUSE: Duration = Duration::from_millis(60);
/// Longest time for one answer, beyond what the call may wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// A batch job whose items' bodies are of this size together is offered before it is sent for the first time; a smaller one
/// is sent at once, and offered when it has to be sent again.
const LARGE_JOB_BYTES: usize = 8 * 1024;

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
        let is_hand_over = matches!(call, StoreCall::Submit { .. });
        Box::pin(async move {
            let payload = payload.map_err(|_| StoreCallError::NotServed)?;
            if is_hand_over {
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
/// A batch job is large. It is offered first, by a small call: where it would not be taken, its body stays here. Bodies of
/// jobs that are refused, sent anew every few milliseconds by every gateway, fill the primary's link, so that it hears neither
/// the core nor its members.
pub async fn ask_primary(
    link: &dyn StoreLink,
    mut snapshots: SnapshotReceiver,
    call: &StoreCall,
    patience: Patience,
) -> (CallEnd, Option<TenantReading>) {
    let mut asked = Asked::default();
    let offer = offer_of(call);
    let mut offers_first = is_large(call);
    loop {
        if let Some(to) = call.job().and_then(|job| primary_address(&snapshots, job)) {
            let offered = match &offer {
                Some(offer) if offers_first => asked.offer(link, to, offer).await,
                _ => OfferEnd::SendIt,
            };
            offers_first = true;
            let ended = match offered {
                OfferEnd::Settled(reply) => Some(reply),
                OfferEnd::SendIt => {
                    asked
                        .hand_over(link, to, call, ANSWER_TIMEOUT + patience.held)
                        .await
                }
                OfferEnd::NotNow => None,
            };
            if let Some(reply) = ended {
                return (asked.end_with(reply), asked.reading);
            }
        }
        let until = if asked.unknown {
            patience.unknown_until
        } else {
            patience.unserved_until
        };
        if Instant::now() + ASK_AGAIN_PAUSE >= until {
            return (asked.end_without_reply(), asked.reading);
        }
        pause(&mut snapshots).await;
        metrics::get().batch_api.asked_again(call);
    }
}

/// Asks the primary of the job's group once whether it has accepted a job, within a time. Gives the reading that came
/// along.
///
/// The question is an offer without tokens: it hands nothing over, needs no room and is not counted as demand.
pub async fn is_accepted(
    link: &dyn StoreLink,
    snapshots: &SnapshotReceiver,
    question: &KnownJobQuestion<'_>,
    timeout: Duration,
) -> (bool, Option<TenantReading>) {
    let Some(to) = primary_address(snapshots, question.job) else {
        return (false, None);
    };
    let offer = StoreCall::Offer {
        try_id: question.try_id,
        job: question.job.clone(),
        route: question.route.to_owned(),
        tokens: 0,
    };
    match link.call(to, &offer, timeout).await {
        Ok(answer) => (answer.reply == StoreReply::Committed, answer.reading),
        Err(_) => (false, None),
    }
}

/// Names the job of [`is_accepted`].
pub struct KnownJobQuestion<'a> {
    /// A name of its own: no job is handed over under it.
    pub try_id: u64,
    /// The job.
    pub job: &'a JobId,
    /// Name of its route.
    pub route: &'a str,
}

/// What came of the tries so far.
#[derive(Default)]
struct Asked {
    /// Whether a try was handed over whose end is unknown.
    unknown: bool,
    reading: Option<TenantReading>,
}

/// What came of an offer.
enum OfferEnd {
    /// The call is to be sent.
    SendIt,
    /// This is the call's end.
    Settled(StoreReply),
    /// The primary can't tell now, or said nothing.
    NotNow,
}

impl Asked {
    /// Offers a batch job. Whatever comes of it, nothing was handed over.
    async fn offer(&mut self, link: &dyn StoreLink, to: SocketAddr, offer: &StoreCall) -> OfferEnd {
        match link
            .call(to, offer, ANSWER_TIMEOUT)
            .await
            .map(|answer| self.note_reading(answer))
        {
            Ok(StoreReply::Welcome) => OfferEnd::SendIt,
            Ok(reply @ (StoreReply::Committed | StoreReply::OverQuota)) => OfferEnd::Settled(reply),
            Ok(_) | Err(_) => OfferEnd::NotNow,
        }
    }

    /// Hands the call over; its reply, if that is its end.
    async fn hand_over(
        &mut self,
        link: &dyn StoreLink,
        to: SocketAddr,
        call: &StoreCall,
        timeout: Duration,
    ) -> Option<StoreReply> {
        match link
            .call(to, call, timeout)
            .await
            .map(|answer| self.note_reading(answer))
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

    fn note_reading(&mut self, answer: StoreAnswer) -> StoreReply {
        self.reading = answer.reading.or(self.reading);
        answer.reply
    }

    fn end_with(&self, reply: StoreReply) -> CallEnd {
        match self.unknown {
            true => CallEnd::AnsweredAfterUnknown(reply),
            false => CallEnd::Answered(reply),
        }
    }

    fn end_without_reply(&self) -> CallEnd {
        match self.unknown {
            true => CallEnd::Unknown,
            false => CallEnd::NotServed,
        }
    }
}

/// The small call that shows whether a large one would be taken.
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

/// Whether a call is offered before it is sent for the first time.
fn is_large(call: &StoreCall) -> bool {
    let StoreCall::Submit { job, .. } = call else {
        return false;
    };
    let requests = job.items.iter().filter_map(|item| item.request.as_ref());
    requests.map(|request| request.body.len()).sum::<usize>() >= LARGE_JOB_BYTES
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
    let (_, group) = snapshot
        .control
        .group_of_job(&job.0)
        .filter(|_| snapshot.validated)?;
    group.primary_member().map(|member| member.node.internal.0)
}
