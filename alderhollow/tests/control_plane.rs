//! The control plane of three gateways with disks and one without, on loopback: founding, operators' calls, readiness.

mod control_plane_support;

use alderhollow::operator_api::calls::{Call, PendingCall, Reply};
use alderhollow::operator_api::server::{serve, OperatorContext};
use control_plane_support::{run, Net};
use http::{Method, StatusCode};
use serde_json::{json, Value};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

const CONFIG: &str = "/alderhollow/config";

fn config(version: u64) -> String {
    json!({
        "config-version": version,
        "routes": [{
            "name": "r-1", "hostname": "shop.example", "path-prefix": "/a/", "route-type": "idempotent",
            "timeout-ms": 1000, "target-latency-ms": 100, "priority": 0, "service": "svc", "max-attempts": 2
        }],
        "services": [{"name": "svc", "health-path": "/healthz", "max-conns": 10, "note": [1, null]}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000}
    })
    .to_string()
}

async fn start(net: &Net) {
    net.start_platform().await;
    for machine in 1..=3 {
        net.start_gateway(machine, true);
    }
    net.start_gateway(4, false);
}

#[test]
fn gateways_found_a_core_and_apply_the_first_configuration() {
    run(|net| async move {
        start(&net).await;
        let taken = net
            .operate(4, Method::PUT, CONFIG, Some(0), &config(3))
            .await;
        assert_eq!(taken.status, StatusCode::OK, "{}", taken.body);
        for machine in 1..=4 {
            let read = net.operate(machine, Method::GET, CONFIG, None, "").await;
            assert_eq!(read.status, StatusCode::OK);
            let expected: Value = serde_json::from_str(&config(3)).expect("JSON");
            assert_eq!(
                serde_json::from_str::<Value>(&read.body).expect("JSON"),
                expected
            );
            while !net.is_ready(machine).await {
                tokio::task::yield_now().await;
            }
        }
    });
}

#[test]
fn a_retried_configuration_is_acknowledged_after_later_ones() {
    run(|net| async move {
        start(&net).await;
        let mut base = 0;
        for version in [2, 5, 9, 11] {
            let taken = net
                .operate(1, Method::PUT, CONFIG, Some(base), &config(version))
                .await;
            assert_eq!(taken.status, StatusCode::OK, "{}", taken.body);
            base = version;
        }
        let again = net
            .operate(2, Method::PUT, CONFIG, Some(2), &config(5))
            .await;
        assert_eq!(again.status, StatusCode::OK, "{}", again.body);
        let read = net.operate(3, Method::GET, CONFIG, None, "").await;
        assert!(read.body.contains("\"config-version\":11"));
        let stale = net
            .operate(3, Method::PUT, CONFIG, Some(5), &config(12))
            .await;
        assert_eq!(
            stale.status,
            StatusCode::PRECONDITION_FAILED,
            "{}",
            stale.body
        );
    });
}

#[test]
fn of_two_concurrent_changes_of_one_version_one_is_accepted() {
    run(|net| async move {
        start(&net).await;
        net.operate(1, Method::PUT, CONFIG, Some(0), &config(1))
            .await;
        let one = config(4);
        let other = one.replace("\"timeout-ms\":1000", "\"timeout-ms\":900");
        assert_ne!(one, other);
        let (first, second) = tokio::join!(
            net.operate(1, Method::PUT, CONFIG, Some(1), &one),
            net.operate(2, Method::PUT, CONFIG, Some(1), &other)
        );
        let mut statuses = [first.status, second.status];
        statuses.sort();
        assert_eq!(statuses, [StatusCode::OK, StatusCode::PRECONDITION_FAILED]);
    });
}

#[test]
fn invalid_calls_are_rejected() {
    run(|net| async move {
        start(&net).await;
        net.operate(1, Method::PUT, CONFIG, Some(0), &config(1))
            .await;
        let cut_short = &config(2)[..60];
        for body in [
            cut_short,
            "",
            "[]",
            &config(1),
            &config(2).replace("\"svc\",\"max", "\"none\",\"max"),
        ] {
            let refused = net.operate(4, Method::PUT, CONFIG, Some(1), body).await;
            assert_eq!(
                refused.status,
                StatusCode::BAD_REQUEST,
                "{body}: {}",
                refused.body
            );
        }
        let patched = r#"{"config-version":6,"delete":{"services":["svc"]}}"#;
        let refused = net
            .operate(4, Method::PATCH, CONFIG, Some(1), patched)
            .await;
        assert_eq!(refused.status, StatusCode::BAD_REQUEST, "{}", refused.body);
        let unknown = net
            .operate(
                4,
                Method::POST,
                "/alderhollow/retire/storage-9",
                None,
                "{\"deadline-s\":10}",
            )
            .await;
        assert_eq!(unknown.status, StatusCode::NOT_FOUND);
        let unknown = net
            .operate(4, Method::POST, "/alderhollow/evacuate/zone-9", None, "")
            .await;
        assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    });
}

#[test]
fn evacuations_and_their_cancellations_are_idempotent() {
    run(|net| async move {
        start(&net).await;
        for machine in [1, 2, 4] {
            let path = "/alderhollow/evacuate/zone-2";
            assert_eq!(
                net.operate(machine, Method::POST, path, None, "")
                    .await
                    .status,
                StatusCode::OK
            );
        }
        for machine in [3, 4] {
            let path = "/alderhollow/evacuate/zone-2";
            assert_eq!(
                net.operate(machine, Method::DELETE, path, None, "")
                    .await
                    .status,
                StatusCode::OK
            );
        }
    });
}

#[test]
fn a_single_gateway_without_a_quorum_rejects_changes() {
    run(|net| async move {
        net.start_platform().await;
        net.start_gateway(1, true);
        net.start_gateway(4, false);
        let mut answers = 0;
        while answers < 10 {
            for machine in [1, 4] {
                let Some(answer) = net.call_once(machine, Method::GET, CONFIG).await else {
                    continue;
                };
                assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
                answers += 1;
            }
            tokio::task::yield_now().await;
        }
        assert!(!net.is_ready(1).await);
    });
}

#[test]
fn followers_redirect_to_the_primary_and_never_to_themselves() {
    run(|net| async move {
        start(&net).await;
        net.operate(1, Method::PUT, CONFIG, Some(0), &config(1))
            .await;
        let mut redirects = 0;
        while redirects < 12 {
            for machine in 1..=4 {
                let answer = net
                    .call_once(machine, Method::GET, CONFIG)
                    .await
                    .expect("an answer");
                if answer.status == StatusCode::TEMPORARY_REDIRECT {
                    redirects += 1;
                    let location = answer.headers["location"]
                        .to_str()
                        .expect("text")
                        .to_string();
                    assert!(location.ends_with(CONFIG), "{location}");
                    assert!(!location.contains(&net.control(machine)), "{location}");
                }
            }
        }
    });
}

/// Parses the document in an answer.
fn document_in(body: &str) -> Value {
    serde_json::from_str(body).expect("JSON")
}

/// Reads from each gateway without following redirects. Each answer must be this document; returns the number of answers.
async fn read_from_all_gateways(net: &Net, newest: &Value) -> u32 {
    let mut answered = 0;
    for machine in 1..=4 {
        let answer = net
            .call_once(machine, Method::GET, CONFIG)
            .await
            .expect("an answer");
        match answer.status {
            StatusCode::OK => {
                assert_eq!(document_in(&answer.body), *newest, "door {machine}");
                answered += 1;
            }
            StatusCode::TEMPORARY_REDIRECT | StatusCode::SERVICE_UNAVAILABLE => {}
            other => panic!("door {machine} answers a read with {other}"),
        }
    }
    answered
}

#[test]
fn a_read_after_an_acknowledgement_returns_the_newest_complete_configuration() {
    run(|net| async move {
        start(&net).await;
        let mut answered = 0;
        for version in 1..=8 {
            let gateway = 1 + u8::try_from(version % 4).expect("a door");
            let mut newest = document_in(&config(version));
            let taken = if version % 2 == 1 {
                net.operate(
                    gateway,
                    Method::PUT,
                    CONFIG,
                    Some(version - 1),
                    &config(version),
                )
                .await
            } else {
                let limits = json!({"max-header-bytes": 16384, "max-body-bytes": 4096 + version,
                    "header-timeout-ms": 3000, "idle-timeout-ms": 15000});
                newest["limits"] = limits.clone();
                let change = json!({"config-version": version, "limits": limits}).to_string();
                net.operate(gateway, Method::PATCH, CONFIG, Some(version - 1), &change)
                    .await
            };
            assert_eq!(taken.status, StatusCode::OK, "{}", taken.body);
            answered += read_from_all_gateways(&net, &newest).await;
            for machine in 1..=4 {
                let read = net.operate(machine, Method::GET, CONFIG, None, "").await;
                assert_eq!(document_in(&read.body), newest, "door {machine}");
            }
        }
        assert!(answered > 0, "no door answered a read itself");
    });
}

/// Serves a gateway's control address; each read is answered with `reply`.
fn serve_replies(
    net: &Net,
    machine: u8,
    reply: impl Fn() -> Reply + 'static,
) -> dropshot::HttpServer<OperatorContext> {
    let (calls, mut pending) = mpsc::channel::<PendingCall>(1);
    tokio::task::spawn_local(async move {
        while let Some(PendingCall {
            call,
            reply: decided,
        }) = pending.recv().await
        {
            assert_eq!(call, Call::ReadConfig);
            decided.send(reply()).expect("the server waits for the end");
        }
    });
    let address = net.control(machine).parse().expect("an address");
    serve(address, OperatorContext { calls }).expect("the control address")
}

/// A process may be suspended between the check of the lease and the answer, so the lease is checked again at the answer.
#[test]
fn a_read_whose_lease_expired_before_the_answer_is_rejected_with_503() {
    run(|net| async move {
        let decided = |valid_until| {
            move || Reply::Decided {
                status: StatusCode::OK,
                body: config(3).into_bytes(),
                valid_until: Some(valid_until),
            }
        };
        let _run_out = serve_replies(&net, 1, decided(Instant::now()));
        let _running = serve_replies(&net, 2, decided(Instant::now() + Duration::from_secs(60)));
        let late = net
            .call_once(1, Method::GET, CONFIG)
            .await
            .expect("an answer");
        assert_eq!(
            (late.status, late.body.as_str()),
            (StatusCode::SERVICE_UNAVAILABLE, "")
        );
        let in_time = net
            .call_once(2, Method::GET, CONFIG)
            .await
            .expect("an answer");
        assert_eq!((in_time.status, in_time.body), (StatusCode::OK, config(3)));
    });
}
