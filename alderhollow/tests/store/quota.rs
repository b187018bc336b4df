//! The limit of a route, shared by the groups.

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

/// A backend that never answers, so that all accepted tokens go on waiting.
fn silent() -> Vec<Reply> {
    std::iter::repeat_with(|| Reply::Silence)
        .take(400)
        .collect()
}

/// Hands one job in until it is answered 202 or 429.
async fn hand_in_until_decided(tier: &Tier, id: &str, items: usize) -> u16 {
    loop {
        let status = tier.hand_in(id, items, 4_000).await.status().as_u16();
        if status == 202 || status == 429 {
            return status;
        }
        assert_eq!(status, 503);
    }
}

#[test]
fn groups_share_a_routes_limit() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), 3 * ITEM_TOKENS, &THREE_GROUPS).await;
        let [a, b, c] = [0, 1, 2].map(|group| jobs_of_group(group, 3, 2));
        assert_eq!(hand_in_until_decided(&tier, &a[0], 2).await, 202);
        assert_eq!(hand_in_until_decided(&tier, &b[0], 2).await, 429);
        assert_eq!(hand_in_until_decided(&tier, &b[1], 1).await, 202);
        assert_eq!(hand_in_until_decided(&tier, &c[0], 1).await, 429);
        assert_eq!(
            hand_in_until_decided(&tier, &a[0], 2).await,
            202,
            "a known job is answered without its tokens"
        );
        assert_eq!(
            tier.status("DELETE", &format!("/alderhollow/lots/{}", a[0]))
                .await,
            200
        );
        assert_eq!(hand_in_until_decided(&tier, &c[1], 2).await, 202);
        assert_eq!(hand_in_until_decided(&tier, &a[1], 1).await, 429);
    });
}

#[test]
fn all_that_fits_and_no_more_is_taken_over_all_groups() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), 10 * ITEM_TOKENS, &THREE_GROUPS).await;
        let jobs = (0..3).flat_map(|group| jobs_of_group(group, 3, 8));
        let ids: Vec<String> = jobs.collect();
        let all = ids.iter().map(|id| hand_in_until_decided(&tier, id, 1));
        let statuses = futures_of(all.collect()).await;
        let taken = statuses.iter().filter(|status| **status == 202).count();
        assert_eq!(taken, 10, "{statuses:?}");
    });
}

/// Ends of futures that run at once.
async fn futures_of<F: Future<Output = u16>>(futures: Vec<F>) -> Vec<u16> {
    let mut futures: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut ends: Vec<Option<u16>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (future, end) in futures.iter_mut().zip(&mut ends) {
            if end.is_none() {
                if let std::task::Poll::Ready(status) = future.as_mut().poll(context) {
                    *end = Some(status);
                }
            }
        }
        if ends.iter().any(Option::is_none) {
            return std::task::Poll::Pending;
        }
        std::task::Poll::Ready(())
    })
    .await;
    ends.into_iter().flatten().collect()
}

#[test]
fn a_successor_counts_what_it_finds() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), 3 * ITEM_TOKENS, &THREE_GROUPS).await;
        let [a, b, c] = [0, 1, 2].map(|group| jobs_of_group(group, 3, 2));
        assert_eq!(hand_in_until_decided(&tier, &b[0], 2).await, 202);
        tier.stores[1].stop();
        // The home group of the route may be any of them: all are led by others than before.
        tier.set_groups(
            2,
            &[
                Plan::new(2, 0, &[0]),
                Plan::new(2, 2, &[2]),
                Plan::new(2, 0, &[2, 0]),
            ],
        );
        assert_eq!(hand_in_until_decided(&tier, &a[0], 2).await, 429);
        assert_eq!(hand_in_until_decided(&tier, &c[0], 1).await, 202);
        assert_eq!(hand_in_until_decided(&tier, &b[1], 1).await, 429);
    });
}

#[test]
fn without_a_coordinator_nothing_is_refused_as_over_quota() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), 3 * ITEM_TOKENS, &THREE_GROUPS).await;
        let home = alderhollow_batch::quota::home_group(ROUTE, 3) as usize;
        let other = (home + 1) % 3;
        tier.stores[home].stop();
        let id = &jobs_of_group(other, 3, 1)[0];
        let status = tier.hand_in(id, 1, 1_500).await.status().as_u16();
        assert!(status == 503 || status == 504, "{status}");
    });
}

/// A network that counts what goes over it.
struct CountedNetwork {
    network: Network,
    offers: Cell<usize>,
    hand_overs: Cell<usize>,
}

impl StoreLink for CountedNetwork {
    fn call(&self, to: SocketAddr, call: &StoreCall, timeout: Duration) -> StoreAnswerFuture {
        match call {
            StoreCall::Offer { .. } => self.offers.set(self.offers.get() + 1),
            StoreCall::Submit { .. } => self.hand_overs.set(self.hand_overs.get() + 1),
            _ => {}
        }
        StoreLink::call(&self.network, to, call, timeout)
    }
}

/// Gateways of one seed would name their tries alike, so that one's refused try would be another's.
static NEXT_GATEWAY_SEED: AtomicU64 = AtomicU64::new(100);

/// Bytes of a body that is offered before it is sent.
const LARGE_BODY: usize = 64 * 1024;

/// Hands a large job of one item in at a new gateway, until it is decided; the answer, and how often the body was sent.
async fn hand_in_large(tier: &Tier, id: &str) -> (u16, usize) {
    loop {
        let seed = NEXT_GATEWAY_SEED.fetch_add(1, Ordering::Relaxed);
        let network = Network::new(10);
        let link = Rc::new(CountedNetwork {
            network,
            offers: Cell::new(0),
            hand_overs: Cell::new(0),
        });
        let gateway = StoreEndpoints::new(
            link.clone(),
            tier.tables.subscribe(),
            SteadyClock::start(),
            seed,
        );
        let items = [job_item("i0", &vec![7; LARGE_BODY])];
        let status = tier
            .hand_in_through(&gateway, id, &items, 4_000)
            .await
            .status()
            .as_u16();
        if status == 202 || status == 429 {
            assert!(link.offers.get() >= 1, "a large job is offered first");
            return (status, link.hand_overs.get());
        }
        assert_eq!(status, 503);
        assert_eq!(
            link.hand_overs.get(),
            0,
            "an offer that can't be told keeps the body at the door"
        );
    }
}

#[test]
fn an_offer_waits_for_the_routes_account_and_a_body_travels_only_where_it_fits() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), 2 * ITEM_TOKENS, &THREE_GROUPS).await;
        let [a, b, c] = [0, 1, 2].map(|group| jobs_of_group(group, 3, 2));
        assert_eq!(hand_in_large(&tier, &a[0]).await, (202, 1));
        assert_eq!(hand_in_large(&tier, &b[0]).await, (202, 1));
        for id in [&c[0], &a[1], &b[1]] {
            assert_eq!(hand_in_large(&tier, id).await, (429, 0), "{id}");
        }
        assert_eq!(
            hand_in_large(&tier, &a[0]).await,
            (202, 0),
            "a known job is told by its offer"
        );
        assert_eq!(
            tier.status("DELETE", &format!("/alderhollow/lots/{}", a[0]))
                .await,
            200
        );
        assert_eq!(hand_in_large(&tier, &c[1]).await, (202, 1));
        assert_eq!(hand_in_large(&tier, &a[1]).await, (429, 0));
    });
}

#[test]
fn a_question_for_a_known_job_is_answered_at_once_at_a_full_quota() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), ITEM_TOKENS, &THREE_GROUPS).await;
        let jobs = jobs_of_group(0, 3, 2);
        assert_eq!(hand_in_until_decided(&tier, &jobs[0], 1).await, 202);
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
                .expect("no wait");
            assert_eq!(answer.reply, reply);
        }
    });
}
