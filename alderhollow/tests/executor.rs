//! Tests of the executor with backends on loopback: the result of an item for each kind of response.

#[path = "support/batch_backend.rs"]
mod batch_backend;
#[path = "support/batch_tables.rs"]
mod batch_tables;

use alderhollow::balance::Balancer;
use alderhollow::clock::SteadyClock;
use alderhollow::exchange::Exchange;
use alderhollow::executor::Executor;
use alderhollow_batch::api::{ItemStart, Resume, RunEnd, RunId};
use alderhollow_batch::job::{Header, ItemRequest, JobId};
use alderhollow_model::backend::BackendState;
use alderhollow_model::snapshot::Snapshot;
use batch_backend::{events_from, whole_text, BatchBackend, Reply};
use batch_tables::{backend, config, snapshot, HOST, ROUTE};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

struct Setup {
    backend: BatchBackend,
    executor: Executor,
    tables: watch::Sender<Arc<Snapshot>>,
}

async fn setup(script: Vec<Reply>) -> Setup {
    let started = BatchBackend::start(script).await;
    let (tables, snapshots) = watch::channel(snapshot(
        config(1, 0),
        vec![backend("i-1", started.address)],
        1,
        None,
    ));
    let clock = SteadyClock::start();
    let balancer = Rc::new(RefCell::new(Balancer::new("store-1", "a", 7)));
    let exchange = Exchange::new(clock.instant(0), 7, snapshots, balancer);
    Setup {
        backend: started,
        executor: Executor::new(clock, exchange),
        tables,
    }
}

fn item(resume: Option<Resume>) -> ItemStart {
    let header = |name: &str, value: &str| Header {
        name: name.to_string(),
        value: value.to_string(),
    };
    let headers = vec![
        header("Model", "m"),
        header("Token-Usage", "540,400"),
        header("Prompt-Prefix", "9c2e41:300,5d07b8:240"),
        header("Request-Id", "forged"),
        header("Host", "forged.example"),
        header("Content-Length", "1"),
        header("Connection", "close"),
    ];
    ItemStart {
        run: RunId(1),
        job: JobId::from("j1"),
        route: ROUTE.to_string(),
        host: HOST.to_string(),
        item_id: "i1".to_string(),
        tokens: 940,
        failures: 0,
        request: ItemRequest {
            path: "/b/3/91c4?x=1".to_string(),
            headers,
            body: b"body\x00\xff".to_vec(),
        },
        due_ms: 10_000,
        abandon_at_ms: 40_000,
        resume,
    }
}

fn in_local_set(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn an_item_is_sent_as_specified_and_its_text_is_complete() {
    in_local_set(async {
        let setup = setup(vec![]).await;
        let end = setup.executor.run(&item(None)).await;
        assert_eq!(end, RunEnd::Completed { text: whole_text() });
        let request = setup.backend.requests().remove(0);
        assert!(
            request.head.starts_with("POST /b/3/91c4?x=1 HTTP/1.1\r\n"),
            "{}",
            request.head
        );
        let expected = [
            ("request-id", Some("i1")),
            ("host", Some(HOST)),
            ("target-instance", Some("i-1")),
            ("model", Some("m")),
            ("prompt-prefix", Some("9c2e41:300,5d07b8:240")),
            ("content-length", Some("6")),
            ("connection", None),
            ("last-event-id", None),
        ];
        for (name, value) in expected {
            assert_eq!(request.header(name).as_deref(), value, "{name}");
        }
        let deadline: u64 = request
            .header("deadline-ms")
            .and_then(|text| text.parse().ok())
            .expect("a deadline");
        assert!((2_000..=20_000).contains(&deadline), "{deadline}");
        assert_eq!(request.body, b"body\x00\xff");
    });
}

#[test]
fn a_run_interrupted_at_any_byte_resumes_without_loss_or_duplication() {
    in_local_set(async {
        let length = events_from(1).len();
        let script = (0..=length)
            .flat_map(|cut| [Reply::CutAfter(cut), Reply::Whole])
            .collect();
        let setup = setup(script).await;
        for cut in 0..=length {
            let RunEnd::Interrupted { resume, .. } = setup.executor.run(&item(None)).await else {
                panic!("cut at {cut}: not detected")
            };
            let end = setup.executor.run(&item(resume.clone())).await;
            assert_eq!(
                end,
                RunEnd::Completed { text: whole_text() },
                "cut at {cut}"
            );
            let requested_id = setup
                .backend
                .requests()
                .last()
                .and_then(|request| request.header("last-event-id"));
            assert_eq!(
                requested_id,
                resume.map(|resume| resume.last_event_id.to_string()),
                "cut at {cut}"
            );
        }
    });
}

#[test]
fn an_ambiguous_end_of_the_response_is_not_taken_as_complete() {
    in_local_set(async {
        let setup = setup(vec![
            Reply::Undelimited,
            Reply::Unsealed,
            Reply::Surplus,
            Reply::Reset,
        ])
        .await;
        let RunEnd::Interrupted {
            resume: Some(resume),
            ..
        } = setup.executor.run(&item(None)).await
        else {
            panic!()
        };
        assert_eq!((resume.last_event_id, resume.text), (4, whole_text()));
        for _ in 0..3 {
            let end = setup.executor.run(&item(None)).await;
            assert!(
                matches!(end, RunEnd::Interrupted { resume: None, .. }),
                "{end:?}"
            );
        }
    });
}

#[test]
fn a_run_that_does_not_resume_at_the_requested_event_is_rejected() {
    in_local_set(async {
        let setup = setup(vec![Reply::FromTheStart]).await;
        let resume = Some(Resume {
            last_event_id: 2,
            text: "one\n".to_string(),
        });
        let RunEnd::Interrupted { resume: kept, .. } =
            setup.executor.run(&item(resume.clone())).await
        else {
            panic!()
        };
        assert_eq!(kept, resume);
    });
}

/// Checks the end of a run.
type EndCheck = fn(&RunEnd) -> bool;

#[test]
fn failures_and_rejections_are_distinguished() {
    in_local_set(async {
        // One setup per case, as a backend that has just declined is avoided for a while.
        let cases: [(Reply, EndCheck); 4] = [
            (Reply::Status(500), |end| *end == RunEnd::Failed),
            (Reply::Status(422), |end| *end == RunEnd::Rejected),
            (Reply::NotExecuted, |end| {
                matches!(end, RunEnd::NotRun { .. })
            }),
            (Reply::Status(418), |end| {
                matches!(end, RunEnd::Interrupted { resume: None, .. })
            }),
        ];
        for (reply, is_expected) in cases {
            let setup = setup(vec![reply.clone()]).await;
            let end = setup.executor.run(&item(None)).await;
            assert!(is_expected(&end), "{reply:?}: {end:?}");
            assert_eq!(setup.backend.requests().len(), 1, "{reply:?}");
        }
    });
}

/// Guards against an item that is given up for an error that its backend did not finish: bytes of a truncated response
/// belong to no request.
#[test]
fn a_truncated_error_response_is_no_verdict_on_an_item() {
    in_local_set(async {
        for status in [500, 422] {
            let setup = setup(vec![Reply::TruncatedStatus(status)]).await;
            let end = setup.executor.run(&item(None)).await;
            assert!(
                matches!(end, RunEnd::Interrupted { resume: None, .. }),
                "{status}: {end:?}"
            );
        }
    });
}

#[test]
fn an_error_response_without_a_length_ends_with_its_connection() {
    in_local_set(async {
        for (status, expected) in [(500, RunEnd::Failed), (422, RunEnd::Rejected)] {
            let setup = setup(vec![Reply::UndelimitedStatus(status)]).await;
            assert_eq!(setup.executor.run(&item(None)).await, expected, "{status}");
        }
    });
}

/// Malformed heads with this first line, whose body is a complete stream of events.
fn malformed(status_line: &str) -> Vec<Reply> {
    let head = |fields: &str| {
        Reply::Raw(format!(
            "{status_line}\r\nContent-Type: text/event-stream\r\nRequest-Id: {{id}}\r\n{{seal}}{fields}\r\n\r\n{{events}}"
        ))
    };
    vec![
        head("Transfer-Encoding: chunkd"),
        head("Transfer-Encoding: gzip, chunked"),
        head("Transfer-Encoding: chunked, chunked"),
        head("Transfer-Encoding: chunked\r\nContent-Length: 3"),
        head("no field\r\nTransfer-Encoding: chunked"),
        head("in side: x\r\nTransfer-Encoding: chunked"),
        head("control\u{1}byte: x\r\nTransfer-Encoding: chunked"),
    ]
}

async fn assert_interrupted(reply: Reply) {
    let setup = setup(vec![reply.clone()]).await;
    let end = setup.executor.run(&item(None)).await;
    assert!(
        matches!(end, RunEnd::Interrupted { resume: None, .. }),
        "{reply:?}: {end:?}"
    );
}

/// Guards against chunk sizes in an item's text, and against an item that is given up for a damaged response.
#[test]
fn a_malformed_response_is_no_verdict_on_an_item() {
    in_local_set(async {
        for status in [
            "200 OK", "500 Oh", "422 No", "000 Odd", "101 Odd", "600 Odd",
        ] {
            for reply in malformed(&format!("HTTP/1.1 {status}")) {
                assert_interrupted(reply).await;
            }
        }
    });
}

/// Guards against an item that runs at two backends at a time: it may have run at the one that seems to decline it.
#[test]
fn a_malformed_decline_does_not_show_that_an_item_has_not_run() {
    in_local_set(async {
        for reply in malformed("HTTP/1.1 503 Full\r\nNot-Executed: 1") {
            assert_interrupted(reply).await;
        }
    });
}

/// Guards against a response that a backend sends twice being counted as the result of two attempts.
#[test]
fn a_surplus_500_is_not_the_response_to_the_next_attempt() {
    in_local_set(async {
        let setup = setup(vec![Reply::StatusTwice(500), Reply::Whole]).await;
        assert_eq!(setup.executor.run(&item(None)).await, RunEnd::Failed);
        rest_connections().await;
        let end = setup.executor.run(&item(None)).await;
        assert_eq!(end, RunEnd::Completed { text: whole_text() });
    });
}

/// Guards against two of three runs that failed being counted as three, as each answer is taken for that of the next run.
#[test]
fn surplus_500s_do_not_shift_the_results_of_later_attempts() {
    in_local_set(async {
        let script = [500, 500, 422].map(Reply::StatusTwice);
        let setup = setup(script.into_iter().chain([Reply::Whole]).collect()).await;
        let mut ends = Vec::new();
        for _ in 0..4 {
            ends.push(setup.executor.run(&item(None)).await);
            rest_connections().await;
        }
        let whole = RunEnd::Completed { text: whole_text() };
        assert_eq!(
            ends,
            [RunEnd::Failed, RunEnd::Failed, RunEnd::Rejected, whole]
        );
    });
}

/// Guards against a decline that a backend sends twice as evidence that the next attempt has not run.
#[test]
fn a_surplus_decline_is_no_evidence_on_the_next_attempt() {
    in_local_set(async {
        let setup = setup(vec![Reply::NotExecutedTwice, Reply::Whole]).await;
        let end = setup.executor.run(&item(None)).await;
        assert!(matches!(end, RunEnd::NotRun { .. }), "{end:?}");
        // Longer than the backoff after a decline.
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        let end = setup.executor.run(&item(None)).await;
        assert_eq!(end, RunEnd::Completed { text: whole_text() });
    });
}

/// The surplus response to one item is due in the place of another one's, which may have run.
#[test]
fn a_surplus_500_interrupts_another_item_without_a_failed_attempt() {
    in_local_set(async {
        let setup = setup(vec![Reply::StatusTwice(500), Reply::Whole]).await;
        assert_eq!(setup.executor.run(&item(None)).await, RunEnd::Failed);
        rest_connections().await;
        let mut other = item(None);
        other.item_id = "i2".to_string();
        let end = setup.executor.run(&other).await;
        assert!(
            matches!(end, RunEnd::Interrupted { resume: None, .. }),
            "{end:?}"
        );
    });
}

/// Waits until a connection may be used again.
async fn rest_connections() {
    tokio::time::sleep(std::time::Duration::from_millis(40)).await;
}

#[test]
fn a_response_of_another_instance_means_not_run() {
    in_local_set(async {
        let setup = setup(vec![Reply::OtherInstance]).await;
        assert!(matches!(
            setup.executor.run(&item(None)).await,
            RunEnd::NotRun { .. }
        ));
    });
}

/// Guards against a backend being given up because its weights are not those that one item expects.
#[test]
fn a_backend_with_other_weights_runs_the_next_item_that_expects_none() {
    in_local_set(async {
        let setup = setup(vec![]).await;
        setup.backend.set_weights(1);
        let mut early = item(None);
        early.request.headers.push(Header {
            name: "Expect-Version".to_string(),
            value: "2".to_string(),
        });
        for _ in 0..10 {
            let end = setup.executor.run(&early).await;
            assert!(matches!(end, RunEnd::NotRun { .. }), "{end:?}");
        }
        assert_eq!(setup.backend.requests().len(), 1);
        let end = setup.executor.run(&item(None)).await;
        assert_eq!(end, RunEnd::Completed { text: whole_text() });
    });
}

/// Guards against a 421 being a verdict without an end: the instance shows itself when it is asked again.
#[test]
fn a_backend_after_another_instance_is_asked_again_and_returns() {
    in_local_set(async {
        let setup = setup(vec![Reply::OtherInstance, Reply::OtherInstance]).await;
        let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(4);
        let mut end = setup.executor.run(&item(None)).await;
        while end != (RunEnd::Completed { text: whole_text() }) {
            assert!(matches!(end, RunEnd::NotRun { .. }), "{end:?}");
            assert!(tokio::time::Instant::now() < deadline, "not asked again");
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            end = setup.executor.run(&item(None)).await;
        }
        assert_eq!(
            setup.backend.requests().len(),
            3,
            "it was asked without a backoff"
        );
    });
}

#[test]
fn nothing_is_sent_to_a_draining_backend_or_for_a_removed_route() {
    in_local_set(async {
        let setup = setup(vec![]).await;
        let mut draining = backend("i-1", setup.backend.address);
        draining.state = BackendState::Draining;
        setup
            .tables
            .send_replace(snapshot(config(1, 0), vec![draining], 2, None));
        assert!(matches!(
            setup.executor.run(&item(None)).await,
            RunEnd::NotRun { .. }
        ));
        let mut without_route = config(2, 0);
        without_route.routes.clear();
        setup.tables.send_replace(snapshot(
            without_route,
            vec![backend("i-1", setup.backend.address)],
            3,
            None,
        ));
        assert!(matches!(
            setup.executor.run(&item(None)).await,
            RunEnd::NotRun { .. }
        ));
        assert_eq!(setup.backend.requests(), []);
    });
}

#[test]
fn a_backend_that_drains_after_the_choice_gets_no_request() {
    in_local_set(async {
        let setup = setup(vec![]).await;
        let mut draining = backend("i-1", setup.backend.address);
        draining.state = BackendState::Draining;
        let (item, tables) = (item(None), setup.tables);
        // The tables change while the connection is awaited, between the choice and the request.
        let change = async { tables.send_replace(snapshot(config(1, 0), vec![draining], 2, None)) };
        let (end, _) = tokio::join!(polled_first(setup.executor.run(&item)), change);
        assert!(matches!(end, RunEnd::NotRun { .. }), "{end:?}");
        assert_eq!(setup.backend.requests(), []);
    });
}

/// `join!` polls its futures in order, and this one is the first.
async fn polled_first<T>(work: impl Future<Output = T>) -> T {
    work.await
}

#[test]
fn no_request_is_written_without_permission() {
    in_local_set(async {
        let setup = setup(vec![]).await;
        let permitted = Rc::new(Cell::new(false));
        let is_permitted = permitted.clone();
        let permission = || is_permitted.get();
        let item = item(None);
        let run = setup.executor.run_permitted(&item, &permission).await;
        assert!(matches!(run, RunEnd::NotRun { .. }));
        assert_eq!(setup.backend.requests(), []);
        permitted.set(true);
        let run = setup.executor.run_permitted(&item, &permission).await;
        assert!(matches!(run, RunEnd::Completed { .. }));
    });
}

#[test]
fn a_dropped_run_closes_its_connection() {
    in_local_set(async {
        let setup = setup(vec![Reply::Silence]).await;
        let executor = setup.executor.clone();
        let run = tokio::task::spawn_local(async move { executor.run(&item(None)).await });
        setup.backend.until_requests(1).await;
        run.abort();
        setup.backend.until_closed(1).await;
    });
}
