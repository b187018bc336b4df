//! The limit of a route, shared between groups.

use crate::batch_backend::Reply;
use crate::batch_tables::ROUTE;
use alderhollow::batch_api::endpoints::StoreEndpoints;
use alderhollow::batch_api::store_calls::{StoreAnswerFuture, StoreLink};
use alderhollow::batch_protocol::{StoreCall, StoreReply};
use alderhollow::clock::SteadyClock;
use alderhollow::internal::Network;
use alderhollow_batch::job::JobId;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::tier::*;

/// Replies of a backend that never answers, so that all accepted tokens keep waiting.
fn silent_replies() -> Vec<Reply> {
    std::iter::repeat_with(|| Reply::Silence)
        .take(400)
        .collect()
}

/// Submits a job until it is answered with 202 or 429.
async fn submit_until_decided(tier: &Tier, id: &str, items: usize) -> u16 {
    loop {
        let status = tier.submit_job(id, items, 4_000).await.status().as_u16();
        if status == 202 || status == 429 {
            return status;
        }
        assert_eq!(status, 503);
    }
}

#[test]
fn groups_share_a_routes_limit() {
    run_in_local_set(async {
        let tier = Tier::start_with(silent_replies(), 3 * ITEM_TOKENS, &THREE_GROUPS).await;
        let [a, b, c] = [0, 1, 2].map(|group| jobs_of_group(group, 3, 2));
        assert_eq!(submit_until_decided(&tier, &a[0], 2).await, 202);
        assert_eq!(submit_until_decided(&tier, &b[0], 2).await, 429);
        assert_eq!(submit_until_decided(&tier, &b[1], 1).await, 202);
        assert_eq!(submit_until_decided(&tier, &c[0], 1).await, 429);
        assert_eq!(
            submit_until_decided(&tier, &a[0], 2).await,
            202,
            "a known job needs no quota"
        );
        assert_eq!(
            tier.status("DELETE", &format!("/alderhollow/lots/{}", a[0]))
                .await,
            200
        );
        assert_eq!(submit_until_decided(&tier, &c[1], 2).await, 202);
        assert_eq!(submit_until_decided(&tier, &a[1], 1).await, 429);
    });
}

#[test]
fn jobs_are_accepted_up_to_the_limit_over_all_groups() {
    run_in_local_set(async {
        let tier = Tier::start_with(silent_replies(), 10 * ITEM_TOKENS, &THREE_GROUPS).await;
        let jobs = (0..3).flat_map(|group| jobs_of_group(group, 3, 8));
        let ids: Vec<String> = jobs.collect();
        let all = ids.iter().map(|id| submit_until_decided(&tier, id, 1));
        let statuses = join_all(all.collect()).await;
        let accepted = statuses.iter().filter(|status| **status == 202).count();
        assert_eq!(accepted, 10, "{statuses:?}");
    });
}

/// Runs futures concurrently and returns their outputs in order.
async fn join_all<F: Future<Output = u16>>(futures: Vec<F>) -> Vec<u16> {
    let mut futures: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut outputs: Vec<Option<u16>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (future, output) in futures.iter_mut().zip(&mut outputs) {
            if output.is_none() {
                if let std::task::Poll::Ready(status) = future.as_mut().poll(context) {
                    *output = Some(status);
                }
            }
        }
        if outputs.iter().any(Option::is_none) {
            return std::task::Poll::Pending;
        }
        std::task::Poll::Ready(())
    })
    .await;
    outputs.into_iter().flatten().collect()
}

#[test]
fn a_new_primary_counts_the_tokens_it_finds() {
    run_in_local_set(async {
        let tier = Tier::start_with(silent_replies(), 3 * ITEM_TOKENS, &THREE_GROUPS).await;
        let [a, b, c] = [0, 1, 2].map(|group| jobs_of_group(group, 3, 2));
        assert_eq!(submit_until_decided(&tier, &b[0], 2).await, 202);
        tier.stores[1].stop();
        // Every group changes its primary, as any of them may be the home group of the route.
        tier.set_groups(
            2,
            &[
                GroupPlan::new(2, 0, &[0]),
                GroupPlan::new(2, 2, &[2]),
                GroupPlan::new(2, 0, &[2, 0]),
            ],
        );
        assert_eq!(submit_until_decided(&tier, &a[0], 2).await, 429);
        assert_eq!(submit_until_decided(&tier, &c[0], 1).await, 202);
        assert_eq!(submit_until_decided(&tier, &b[1], 1).await, 429);
    });
}

#[test]
fn without_a_coordinator_no_job_is_rejected_as_over_quota() {
    run_in_local_set(async {
        let tier = Tier::start_with(silent_replies(), 3 * ITEM_TOKENS, &THREE_GROUPS).await;
        let home = alderhollow_batch::quota::home_group(ROUTE, 3) as usize;
        let other = (home + 1) % 3;
        tier.stores[home].stop();
        let id = &jobs_of_group(other, 3, 1)[0];
        let status = tier.submit_job(id, 1, 1_500).await.status().as_u16();
        assert!(status == 503 || status == 504, "{status}");
    });
}

/// A link to the stores that counts offers and submissions.
struct CountingLink {
    network: Network,
    offers: Cell<usize>,
    submissions: Cell<usize>,
}

impl StoreLink for CountingLink {
    fn call(&self, to: SocketAddr, call: &StoreCall, timeout: Duration) -> StoreAnswerFuture {
        match call {
            StoreCall::Offer { .. } => self.offers.set(self.offers.get() + 1),
            StoreCall::Submit { .. } => self.submissions.set(self.submissions.get() + 1),
            _ => {}
        }
        StoreLink::call(&self.network, to, call, timeout)
    }
}

/// Seed of the next gateway. Gateways with the same seed would use the same attempt ids, so that a rejected attempt of
/// one would also reject that of another.
static NEXT_GATEWAY_SEED: AtomicU64 = AtomicU64::new(100);

/// Size of a body that is large enough to be offered before it is sent.
const LARGE_BODY_BYTES: usize = 64 * 1024;

/// Submits a large job of one item, at a new gateway for each attempt, until it is answered with 202 or 429. Returns the
/// status and how often the last gateway sent the body.
async fn submit_large_until_decided(tier: &Tier, id: &str) -> (u16, usize) {
    loop {
        let seed = NEXT_GATEWAY_SEED.fetch_add(1, Ordering::Relaxed);
        let network = Network::new(10);
        let link = Rc::new(CountingLink {
            network,
            offers: Cell::new(0),
            submissions: Cell::new(0),
        });
        let gateway = StoreEndpoints::new(
            link.clone(),
            tier.tables.subscribe(),
            SteadyClock::start(),
            seed,
        );
        let items = [job_item("i0", &vec![7; LARGE_BODY_BYTES])];
        let status = tier
            .submit_through(&gateway, id, &items, 4_000)
            .await
            .status()
            .as_u16();
        if status == 202 || status == 429 {
            assert!(link.offers.get() >= 1, "a large job is offered first");
            return (status, link.submissions.get());
        }
        assert_eq!(status, 503);
        assert_eq!(
            link.submissions.get(),
            0,
            "the body is not sent after an offer that was not decided"
        );
    }
}

#[test]
fn an_offer_waits_for_quota_and_a_body_is_sent_only_if_it_fits() {
    run_in_local_set(async {
        let tier = Tier::start_with(silent_replies(), 2 * ITEM_TOKENS, &THREE_GROUPS).await;
        let [a, b, c] = [0, 1, 2].map(|group| jobs_of_group(group, 3, 2));
        assert_eq!(submit_large_until_decided(&tier, &a[0]).await, (202, 1));
        assert_eq!(submit_large_until_decided(&tier, &b[0]).await, (202, 1));
        for id in [&c[0], &a[1], &b[1]] {
            assert_eq!(
                submit_large_until_decided(&tier, id).await,
                (429, 0),
                "{id}"
            );
        }
        assert_eq!(
            submit_large_until_decided(&tier, &a[0]).await,
            (202, 0),
            "a known job is answered at its offer"
        );
        assert_eq!(
            tier.status("DELETE", &format!("/alderhollow/lots/{}", a[0]))
                .await,
            200
        );
        assert_eq!(submit_large_until_decided(&tier, &c[1]).await, (202, 1));
        assert_eq!(submit_large_until_decided(&tier, &a[1]).await, (429, 0));
    });
}

#[test]
fn an_offer_without_tokens_is_answered_at_once_at_a_full_quota() {
    run_in_local_set(async {
        let tier = Tier::start_with(silent_replies(), ITEM_TOKENS, &THREE_GROUPS).await;
        let jobs = jobs_of_group(0, 3, 2);
        assert_eq!(submit_until_decided(&tier, &jobs[0], 1).await, 202);
        for (id, reply) in jobs
            .iter()
            .zip([StoreReply::Committed, StoreReply::WouldAccept])
        {
            let job = JobId::from(id.as_str());
            let call = StoreCall::Offer {
                try_id: 1,
                job,
                route: ROUTE.to_owned(),
                tokens: 0,
            };
            let answer = alderhollow::store::calls::serve(&tier.stores[0].node, call);
            let answer = tokio::time::timeout(Duration::from_millis(100), answer)
                .await
                .expect("an immediate answer");
            assert_eq!(answer.reply, reply);
        }
    });
}
