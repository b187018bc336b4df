//! Tests of a gateway's responses to batch calls, with scripted stores.

use super::*;
use crate::batch_api::store_calls::{StoreAnswerFuture, StoreCallError};
use crate::batch_protocol::{StoreAnswer, TenantReading};
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::{BatchGroup, ControlView, GroupMember, Snapshot};
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use tokio::sync::watch;

type ScriptedReply = Result<StoreReply, StoreCallError>;

/// Answers calls from a script and repeats its last entry.
struct Script {
    replies: RefCell<VecDeque<ScriptedReply>>,
    calls: RefCell<Vec<(SocketAddr, StoreCall)>>,
    reading: RefCell<Option<TenantReading>>,
}

/// A primary that accepts every submitted job and recognizes offers of jobs that it has accepted.
#[derive(Default)]
struct AcceptingPrimary {
    accepted: RefCell<HashSet<JobId>>,
    offers: Cell<usize>,
    submissions: Cell<usize>,
    /// Whether offers remain unanswered.
    ignores_offers: Cell<bool>,
    reading: Cell<Option<TenantReading>>,
}

impl AcceptingPrimary {
    fn serve(&self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Submit { job, .. } => {
                self.submissions.set(self.submissions.get() + 1);
                self.accepted.borrow_mut().insert(job.id.clone());
                StoreReply::Committed
            }
            StoreCall::Offer { job, .. } => {
                self.offers.set(self.offers.get() + 1);
                match self.accepted.borrow().contains(job) {
                    true => StoreReply::Committed,
                    false => StoreReply::WouldAccept,
                }
            }
            _ => StoreReply::NotSure,
        }
    }
}

impl StoreLink for AcceptingPrimary {
    fn call(&self, _: SocketAddr, call: &StoreCall, timeout: Duration) -> StoreAnswerFuture {
        let answer = StoreAnswer {
            reply: self.serve(call),
            reading: self.reading.get(),
        };
        let is_ignored = self.ignores_offers.get() && matches!(call, StoreCall::Offer { .. });
        Box::pin(async move {
            if is_ignored {
                tokio::time::sleep(timeout).await;
                return Err(StoreCallError::Unknown);
            }
            Ok(answer)
        })
    }
}

impl StoreLink for Script {
    fn call(&self, to: SocketAddr, call: &StoreCall, _: Duration) -> StoreAnswerFuture {
        self.calls.borrow_mut().push((to, call.clone()));
        let mut replies = self.replies.borrow_mut();
        let reply = match replies.len() {
            1 => replies[0].clone(),
            _ => replies.pop_front().expect("a reply"),
        };
        let reading = *self.reading.borrow();
        Box::pin(async move { reply.map(|reply| StoreAnswer { reply, reading }) })
    }
}

fn member(number: u64) -> GroupMember {
    let address = format!("10.0.0.{number}:7000").parse().expect("an address");
    let node = NodeInfo {
        node: format!("store-{number}"),
        role: Role::Store,
        zone: "a".to_string(),
        incarnation: Incarnation(number),
        disk: Some(DiskId(number)),
        internal: Address(address),
        control: None,
    };
    GroupMember {
        disk: DiskId(number),
        node,
    }
}

fn tables(primary: u64) -> Arc<Snapshot> {
    let members = vec![member(1), member(2)];
    let group = BatchGroup {
        epoch: primary,
        primary: DiskId(primary),
        members,
        learners: vec![],
    };
    let control = ControlView {
        groups: vec![Arc::new(group)],
        ..ControlView::default()
    };
    Arc::new(Snapshot {
        control: Arc::new(control),
        validated: true,
        ..Snapshot::default()
    })
}

fn route() -> Arc<Route> {
    let route = serde_json::json!({
        "name": "r", "hostname": "h.example", "path-prefix": "/b/", "route-type": "batch", "service": "s"
    });
    Arc::new(serde_json::from_value(route).expect("a route"))
}

const JOB: &str = r#"{"requests":[{"id":"i1","path":"/b/1","headers":{"Model":"m"},"body":"q83v","tokens":940}]}"#;

fn submit(body: &str) -> BatchCall {
    let request = Request::post("/b/x")
        .header("Request-Id", "j1")
        .header("Deadline-Ms", "4000");
    let request = request
        .body(Bytes::copy_from_slice(body.as_bytes()))
        .expect("a request");
    BatchCall {
        request,
        route: Some(route()),
        received_at: tokio::time::Instant::now(),
    }
}

fn call(method: &str, path: &str) -> BatchCall {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("Wait-Ms", "1000");
    let request = request.body(Bytes::new()).expect("a request");
    BatchCall {
        request,
        route: None,
        received_at: tokio::time::Instant::now(),
    }
}

/// Returns the status, whether there is a `Retry-After`, the body, and the calls received by stores.
async fn respond(
    replies: Vec<ScriptedReply>,
    call: BatchCall,
) -> (u16, bool, String, Vec<(SocketAddr, StoreCall)>) {
    let script = Rc::new(Script {
        replies: RefCell::new(replies.into()),
        calls: RefCell::default(),
        reading: RefCell::default(),
    });
    let (_sender, snapshots) = watch::channel(tables(1));
    let response = StoreEndpoints::new(script.clone(), snapshots, SteadyClock::start(), 7)
        .serve(call)
        .await;
    let retry = response.headers().contains_key("retry-after");
    let body = String::from_utf8(response.body().to_vec()).expect("text");
    let calls = script.calls.borrow().clone();
    (response.status().as_u16(), retry, body, calls)
}

async fn status_of(replies: Vec<ScriptedReply>, call: BatchCall) -> (u16, bool) {
    let (status, retry, _, _) = respond(replies, call).await;
    (status, retry)
}

#[tokio::test(start_paused = true)]
async fn a_job_that_is_on_all_disks_gets_202() {
    let (status, _, _, calls) = respond(vec![Ok(StoreReply::Committed)], submit(JOB)).await;
    assert_eq!(status, 202);
    insta::assert_debug_snapshot!(calls);
}

#[tokio::test(start_paused = true)]
async fn definite_refusals_get_429_503_or_400() {
    assert_eq!(
        status_of(vec![Ok(StoreReply::OverQuota)], submit(JOB)).await,
        (429, true)
    );
    assert_eq!(
        status_of(vec![Ok(StoreReply::NotSure)], submit(JOB)).await,
        (503, true)
    );
    assert_eq!(
        status_of(vec![Ok(StoreReply::NotPrimary)], submit(JOB)).await,
        (503, true)
    );
    assert_eq!(
        status_of(vec![Err(StoreCallError::NotServed)], submit(JOB)).await,
        (503, true)
    );
    assert_eq!(
        status_of(vec![Ok(StoreReply::Invalid)], submit(JOB)).await,
        (400, false)
    );
}

#[tokio::test(start_paused = true)]
async fn after_an_unknown_outcome_only_504_or_202_is_returned() {
    for unknown in [Err(StoreCallError::Unknown), Ok(StoreReply::Unknown)] {
        for then in [
            Ok(StoreReply::OverQuota),
            Ok(StoreReply::NotSure),
            Ok(StoreReply::NotPrimary),
            Ok(StoreReply::Invalid),
            Ok(StoreReply::NotFound),
            Err(StoreCallError::NotServed),
        ] {
            let status = status_of(vec![unknown.clone(), then.clone()], submit(JOB)).await;
            assert_eq!(status, (504, false), "{then:?}");
        }
        let status = status_of(
            vec![unknown.clone(), Ok(StoreReply::Committed)],
            submit(JOB),
        )
        .await;
        assert_eq!(status, (202, false));
    }
}

#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_reported_before_the_clients_deadline() {
    let before = tokio::time::Instant::now();
    assert_eq!(
        status_of(vec![Err(StoreCallError::Unknown)], submit(JOB)).await,
        (504, false)
    );
    assert!(before.elapsed() <= SUBMIT_RESOLVE_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn a_new_primary_is_called_as_soon_as_it_is_known() {
    let replies = vec![Err(StoreCallError::Unknown), Ok(StoreReply::Committed)];
    let script = Rc::new(Script {
        replies: RefCell::new(replies.into()),
        calls: RefCell::default(),
        reading: RefCell::default(),
    });
    let (sender, snapshots) = watch::channel(tables(1));
    let endpoints = StoreEndpoints::new(script.clone(), snapshots, SteadyClock::start(), 7);
    let change = async {
        tokio::task::yield_now().await;
        sender.send_replace(tables(2));
    };
    let (response, ()) = tokio::join!(endpoints.serve(submit(JOB)), change);
    assert_eq!(response.status(), 202);
    let asked: Vec<_> = script
        .calls
        .borrow()
        .iter()
        .map(|(to, _)| to.to_string())
        .collect();
    assert_eq!(asked, ["10.0.0.1:7000", "10.0.0.2:7000"]);
}

/// For each call whether it is a full copy of the job (`true`) or an offer.
fn full_copies(calls: &[(SocketAddr, StoreCall)]) -> Vec<bool> {
    calls
        .iter()
        .map(|(_, call)| matches!(call, StoreCall::Submit { .. }))
        .collect()
}

#[tokio::test(start_paused = true)]
async fn an_undecided_primary_gets_one_copy_of_a_job_and_then_offers() {
    let (status, _, _, calls) = respond(vec![Ok(StoreReply::NotSure)], submit(JOB)).await;
    assert_eq!(status, 503);
    let copies = full_copies(&calls);
    assert!(copies.len() > 2, "{copies:?}");
    assert_eq!(copies.iter().filter(|copy| **copy).count(), 1, "{copies:?}");
}

#[tokio::test(start_paused = true)]
async fn a_job_is_sent_again_once_its_primary_would_accept_it() {
    let replies = [
        StoreReply::NotSure,
        StoreReply::NotSure,
        StoreReply::WouldAccept,
        StoreReply::Committed,
    ];
    let (status, _, _, calls) = respond(replies.map(Ok).into(), submit(JOB)).await;
    assert_eq!(status, 202);
    assert_eq!(full_copies(&calls), [true, false, false, true]);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_an_offer_shows_as_committed_is_accepted() {
    let replies = vec![
        Err(StoreCallError::Unknown),
        Ok(StoreReply::NotSure),
        Ok(StoreReply::Committed),
    ];
    let (status, _, _, calls) = respond(replies, submit(JOB)).await;
    assert_eq!(status, 202);
    assert_eq!(full_copies(&calls), [true, false, false]);
}

/// A job large enough to be offered first.
fn large_job() -> String {
    let body = "q83v".repeat(4 * 1024);
    format!(
        r#"{{"requests":[{{"id":"i1","path":"/b/1","headers":{{}},"body":"{body}","tokens":940}}]}}"#
    )
}

#[tokio::test(start_paused = true)]
async fn a_large_job_is_sent_only_if_it_would_be_accepted() {
    let (status, _, _, calls) = respond(
        vec![Ok(StoreReply::WouldAccept), Ok(StoreReply::Committed)],
        submit(&large_job()),
    )
    .await;
    assert_eq!(status, 202);
    assert_eq!(full_copies(&calls), [false, true]);
    for (refusal, status) in [
        (StoreReply::OverQuota, 429),
        (StoreReply::NotSure, 503),
        (StoreReply::NotPrimary, 503),
    ] {
        let (answered, _, _, calls) = respond(vec![Ok(refusal)], submit(&large_job())).await;
        assert_eq!(answered, status);
        assert!(full_copies(&calls).iter().all(|copy| !copy), "{calls:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_offer_submits_nothing() {
    assert_eq!(
        status_of(vec![Err(StoreCallError::Unknown)], submit(&large_job())).await,
        (503, true)
    );
}

#[tokio::test(start_paused = true)]
async fn malformed_jobs_are_rejected_without_a_call() {
    for body in [
        "",
        "{}",
        "[]",
        r#"{"requests":[]}"#,
        r#"{"requests":[{"id":"a","path":"b"}]}"#,
    ] {
        let (status, _, _, calls) = respond(vec![Ok(StoreReply::Committed)], submit(body)).await;
        assert_eq!((status, calls.len()), (400, 0), "{body}");
    }
    let mut without_id = submit(JOB);
    without_id.request.headers_mut().remove("request-id");
    assert_eq!(
        status_of(vec![Ok(StoreReply::Committed)], without_id).await,
        (400, false)
    );
}

#[tokio::test(start_paused = true)]
async fn reads_forward_results_and_the_wait_time() {
    let json = br#"{"total":1,"next-token":0,"results":[]}"#.to_vec();
    let read = call("GET", "/alderhollow/lots/j1?after=0");
    let (status, _, body, calls) = respond(vec![Ok(StoreReply::Results(json.clone()))], read).await;
    assert_eq!((status, body.as_bytes()), (200, &json[..]));
    assert_eq!(
        calls[0].1,
        StoreCall::Read {
            job: JobId::from("j1"),
            after: 0,
            wait_ms: 1000
        }
    );
}

#[tokio::test(start_paused = true)]
async fn only_a_definite_reply_gives_404() {
    let read = || call("GET", "/alderhollow/lots/j1");
    assert_eq!(
        status_of(vec![Ok(StoreReply::NotFound)], read()).await,
        (404, false)
    );
    for unsure in [
        Ok(StoreReply::NotSure),
        Ok(StoreReply::NotPrimary),
        Err(StoreCallError::NotServed),
        Err(StoreCallError::Unknown),
    ] {
        assert_eq!(status_of(vec![unsure], read()).await, (503, true));
    }
    let item = || call("GET", "/alderhollow/items/j1?id=i1");
    assert_eq!(
        status_of(vec![Ok(StoreReply::NotFound)], item()).await,
        (404, false)
    );
    assert_eq!(
        status_of(vec![Ok(StoreReply::NotSure)], item()).await,
        (503, true)
    );
    let (status, _, body, _) = respond(vec![Ok(StoreReply::Body(b"xyz".to_vec()))], item()).await;
    assert_eq!((status, body.as_str()), (200, "xyz"));
}

#[tokio::test(start_paused = true)]
async fn an_end_is_acknowledged_once_it_is_committed() {
    let end = || call("DELETE", "/alderhollow/lots/j1");
    assert_eq!(
        status_of(vec![Ok(StoreReply::Committed)], end()).await,
        (200, false)
    );
    let again = vec![Err(StoreCallError::Unknown), Ok(StoreReply::Committed)];
    assert_eq!(status_of(again, end()).await, (200, false));
    assert_eq!(
        status_of(vec![Err(StoreCallError::Unknown)], end()).await,
        (504, false)
    );
    assert_eq!(
        status_of(vec![Ok(StoreReply::NotSure)], end()).await,
        (503, true)
    );
}

#[tokio::test(start_paused = true)]
async fn without_validated_tables_jobs_are_refused() {
    let script = Rc::new(Script {
        replies: RefCell::new([Ok(StoreReply::Committed)].into()),
        calls: RefCell::default(),
        reading: RefCell::default(),
    });
    let (_sender, snapshots) = watch::channel(Arc::<Snapshot>::default());
    let response = StoreEndpoints::new(script.clone(), snapshots, SteadyClock::start(), 7)
        .serve(submit(JOB))
        .await;
    assert_eq!(response.status(), 503);
    assert!(script.calls.borrow().is_empty());
}

#[tokio::test(start_paused = true)]
async fn other_methods_and_paths_are_rejected() {
    assert_eq!(
        status_of(
            vec![Ok(StoreReply::NotFound)],
            call("PUT", "/alderhollow/lots/j1")
        )
        .await
        .0,
        405
    );
    assert_eq!(
        status_of(
            vec![Ok(StoreReply::NotFound)],
            call("GET", "/alderhollow/lots/")
        )
        .await
        .0,
        400
    );
    assert_eq!(
        status_of(
            vec![Ok(StoreReply::NotFound)],
            call("GET", "/alderhollow/items/j")
        )
        .await
        .0,
        400
    );
}

/// Far above any quota, in a period that has just ended: the admission probability is at its minimum.
const FAR_OVER_QUOTA: TenantReading = TenantReading {
    period: 1,
    age_ms: 0,
    length_ms: 500,
    waiting: 1_000_000,
    beyond: 9_000_000,
};

/// Endpoints at a primary whose readings show an exceeded quota, and the sender of their tables.
async fn gateway_over_quota() -> (
    Rc<AcceptingPrimary>,
    StoreEndpoints,
    watch::Sender<Arc<Snapshot>>,
) {
    let primary = Rc::new(AcceptingPrimary::default());
    let (sender, snapshots) = watch::channel(tables(1));
    let clock = SteadyClock::start();
    tokio::time::advance(Duration::from_secs(5)).await;
    let endpoints = StoreEndpoints::new(primary.clone(), snapshots, clock, 7);
    primary.reading.set(Some(FAR_OVER_QUOTA));
    (primary, endpoints, sender)
}

/// Submits a job under a quota.
async fn submit_with_quota(endpoints: &StoreEndpoints, id: &str, quota: u64) -> Response<Bytes> {
    let mut call = submit(JOB);
    call.request
        .headers_mut()
        .insert("request-id", id.parse().expect("an id"));
    call.route = Some(Arc::new(Route {
        max_queued_tokens: quota,
        ..Route::clone(&route())
    }));
    endpoints.serve(call).await
}

#[tokio::test(start_paused = true)]
async fn only_jobs_over_quota_by_a_fresh_reading_are_refused_at_the_gateway() {
    let (primary, endpoints, _sender) = gateway_over_quota().await;
    assert_eq!(
        submit_with_quota(&endpoints, "first", 1_000).await.status(),
        202
    );
    let mut refused = 0;
    for number in 0..100 {
        let response = submit_with_quota(&endpoints, &format!("full-{number}"), 1_000).await;
        refused +=
            usize::from(response.status() == 429 && response.headers().contains_key("retry-after"));
    }
    assert!(refused > 50, "{refused} of 100");
    assert_eq!(
        primary.submissions.get(),
        101 - refused,
        "no body is sent for a refused job"
    );
    assert_eq!(primary.offers.get(), refused, "one query for each");
    // Jobs that fit are submitted, and so are all jobs once the reading is old.
    for number in 0..100 {
        let response = submit_with_quota(&endpoints, &format!("fits-{number}"), 10_000_000).await;
        assert_eq!(response.status(), 202);
    }
    primary.reading.set(None);
    tokio::time::advance(Duration::from_secs(5)).await;
    for number in 0..100 {
        let response = submit_with_quota(&endpoints, &format!("old-{number}"), 1_000).await;
        assert_eq!(response.status(), 202);
    }
    assert_eq!(primary.submissions.get(), 301 - refused);
}

#[tokio::test(start_paused = true)]
async fn an_already_accepted_job_gets_202_despite_the_admission_check() {
    let (primary, endpoints, _sender) = gateway_over_quota().await;
    for _ in 0..100 {
        assert_eq!(
            submit_with_quota(&endpoints, "known", 1_000).await.status(),
            202
        );
    }
    assert!(
        primary.offers.get() > 50,
        "the admission check refused {} of 100",
        primary.offers.get()
    );
    assert_eq!(primary.submissions.get() + primary.offers.get(), 100);
}

#[tokio::test(start_paused = true)]
async fn the_refusal_stands_if_the_primary_does_not_answer_in_time() {
    let (primary, endpoints, sender) = gateway_over_quota().await;
    assert_eq!(
        submit_with_quota(&endpoints, "known", 1_000).await.status(),
        202
    );
    primary.ignores_offers.set(true);
    let mut refused = 0;
    for number in 0..20 {
        let before = Instant::now();
        let status = submit_with_quota(&endpoints, &format!("unheard-{number}"), 1_000)
            .await
            .status();
        refused += usize::from(status == 429);
        assert!(
            before.elapsed() <= KNOWN_JOB_QUERY_TIMEOUT,
            "{:?}",
            before.elapsed()
        );
    }
    assert!(refused > 0);
    // Without a known primary there is no query, and the refusal stands immediately.
    sender.send_replace(Arc::default());
    let offers = primary.offers.get();
    for number in 0..20 {
        let status = submit_with_quota(&endpoints, &format!("alone-{number}"), 1_000)
            .await
            .status();
        assert!(status == 429 || status == 503, "{status}");
    }
    assert_eq!(primary.offers.get(), offers);
}
