//! The HTTP server of a gateway: requests, answers, and what becomes of them when backends fail.

mod support;

use alderhollow::clock::SteadyClock;
use alderhollow::distribution::client::PollState;
use alderhollow::distribution::validity::TableValidity;
use alderhollow::http_server::ServerSettings;
use alderhollow_model::snapshot::ControlView;
use std::sync::Arc;
use std::time::Duration;
use support::backend::*;
use support::client::{ask, Client};
use support::gateway::*;
use support::run;
use tokio::task::spawn_local;
use tokio::time::sleep;

#[test]
fn no_route_is_404_and_no_validated_table_503() {
    run(async {
        let gateway = Gateway::start(1).await;
        assert_eq!(
            ask(gateway.address, &request("/none/1", "", ""))
                .await
                .status,
            404
        );
        assert_eq!(
            ask(
                gateway.address,
                "GET /once/1 HTTP/1.1\r\nHost: other.example\r\n\r\n"
            )
            .await
            .status,
            404
        );
        gateway
            .snapshots
            .send_replace(Arc::new(snapshot(Vec::new(), false)));
        let reply = ask(gateway.address, &request("/once/1", "", "")).await;
        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
        assert!(gateway.backends.seen().is_empty());
    });
}

#[test]
fn an_unknown_route_is_denied_only_while_the_tables_are_known_to_be_the_newest() {
    run(async {
        const CONFIG_APPLY: Duration = Duration::from_secs(3_600);
        let (polls, clock) = (PollState::default(), SteadyClock::start());
        let gateway = Gateway::start_with(
            1,
            Some(TableValidity::new(polls.clone(), clock, CONFIG_APPLY)),
        )
        .await;
        let reply = ask(gateway.address, &request("/none/1", "", "")).await;
        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
        polls.record_validation(clock.now_ms());
        assert_eq!(
            ask(gateway.address, &request("/none/1", "", ""))
                .await
                .status,
            404
        );
    });
}

#[test]
fn who_comes_before_the_first_tables_is_told_to_come_when_the_core_has_a_primary_again() {
    run(async {
        let gateway = Gateway::start(1).await;
        gateway
            .snapshots
            .send_replace(Arc::new(snapshot(Vec::new(), false)));
        let mut told = Vec::new();
        for _ in 0..2 {
            let reply = ask(gateway.address, &request("/once/1", "", "x")).await;
            assert_eq!(reply.status, 503);
            told.push(
                reply
                    .header("retry-after")
                    .expect("a pause")
                    .parse::<f64>()
                    .expect("seconds"),
            );
            sleep(Duration::from_millis(300)).await;
        }
        assert_eq!(told, [0.2, 1.0]);
    });
}

#[test]
fn limits_bound_heads_and_bodies() {
    run(async {
        let gateway = Gateway::start(1).await;
        let long = "x".repeat(2000);
        let reply = ask(
            gateway.address,
            &request("/often/1", &format!("Long: {long}\r\n"), ""),
        )
        .await;
        assert_eq!(reply.status, 431);
        let reply = ask(gateway.address, &request("/often/1", "", &"x".repeat(5001))).await;
        assert_eq!(reply.status, 413);
        let chunked = "POST /often/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n\
                       Transfer-Encoding: chunked\r\n\r\n";
        let body = format!("{:x}\r\n{}\r\n0\r\n\r\n", 5001, "x".repeat(5001));
        assert_eq!(
            ask(gateway.address, &format!("{chunked}{body}"))
                .await
                .status,
            413
        );
        assert!(gateway.backends.seen().is_empty());
        gateway.backends.script(served("ok"));
        let body = format!("{:x}\r\n{}\r\n0\r\n\r\n", 5000, "x".repeat(5000));
        assert_eq!(
            ask(gateway.address, &format!("{chunked}{body}"))
                .await
                .status,
            200
        );
        assert_eq!(gateway.backends.seen()[0].body.len(), 5000);
    });
}

#[test]
fn a_request_and_its_answer_go_on_unchanged_but_for_their_connections() {
    run(async {
        let gateway = Gateway::start(1).await;
        gateway.backends.script(answer(
            "200 OK",
            "Response-Seal: s9\r\nVersions: 4\r\nKeep-Alive: timeout=5\r\nConnection: X-Hop\r\nX-Hop: 1\r\n",
            "the bytes",
        ));
        let headers = "Model: m\r\nConnection: X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\n";
        let reply = ask(
            gateway.address,
            &request("/often/a%20b/../c?q=1&r=%2F", headers, "in"),
        )
        .await;
        assert_eq!(
            (reply.status, reply.body.as_str(), reply.whole),
            (200, "the bytes", true)
        );
        for (name, value) in [
            ("response-seal", "s9"),
            ("versions", "4"),
            ("request-id", "r1"),
        ] {
            assert_eq!(reply.header(name).as_deref(), Some(value));
        }
        for name in ["x-hop", "keep-alive", "connection"] {
            assert_eq!(reply.header(name), None, "{name}");
        }
        let seen = &gateway.backends.seen()[0];
        assert!(
            seen.head
                .starts_with("POST /often/a%20b/../c?q=1&r=%2F HTTP/1.1\r\n"),
            "{}",
            seen.head
        );
        assert_eq!(seen.body, "in");
        let expected = [
            ("host", "shop.example"),
            ("request-id", "r1"),
            ("model", "m"),
            ("target-instance", "b0"),
        ];
        for (name, value) in expected {
            assert_eq!(seen.header(name).as_deref(), Some(value));
        }
        for name in ["x-mine", "te", "connection"] {
            assert_eq!(seen.header(name), None, "{name}");
        }
        let left: u64 = seen
            .header("deadline-ms")
            .expect("a deadline")
            .parse()
            .expect("a number");
        assert!((2000..=2500).contains(&left), "{left}");
    });
}

#[test]
fn the_routes_timeout_bounds_the_clients_deadline() {
    run(async {
        let gateway = Gateway::start(1).await;
        gateway.backends.script(served("ok"));
        let request = request("/once/1", "", "").replace("Deadline-Ms: 2500", "Deadline-Ms: 60000");
        assert_eq!(ask(gateway.address, &request).await.status, 200);
        let left: u64 = gateway.backends.seen()[0]
            .header("deadline-ms")
            .expect("one")
            .parse()
            .expect("a number");
        assert!((2500..=3000).contains(&left), "{left}");
    });
}

#[test]
fn a_second_attempt_is_handed_what_is_left_of_the_time() {
    run(async {
        const LOST: Duration = Duration::from_millis(700);
        let gateway = Gateway::start(2).await;
        gateway
            .backends
            .script(vec![Step::Pause(LOST), Step::Reset]);
        gateway.backends.script(served("ok"));
        assert_eq!(
            ask(gateway.address, &request("/often/1", "", "x"))
                .await
                .body,
            "ok"
        );
        let handed: Vec<u64> = gateway.backends.seen().iter().map(deadline_of).collect();
        assert_eq!(handed.len(), 2);
        assert!(handed[0] <= 2_500, "{handed:?}");
        let left = handed[0] - LOST.as_millis() as u64;
        assert!((left - 200..=left).contains(&handed[1]), "{handed:?}");
    });
}

fn deadline_of(seen: &Seen) -> u64 {
    seen.header("deadline-ms")
        .expect("each attempt has one")
        .parse()
        .expect("a number")
}

#[test]
fn what_was_not_executed_goes_to_another_backend() {
    run(async {
        for path in ["/once/1", "/often/1", "/tokens/1"] {
            let gateway = Gateway::start(2).await;
            gateway.backends.script(declined());
            gateway.backends.script(served("ok"));
            let reply = ask(gateway.address, &request(path, "", "x")).await;
            assert_eq!((reply.status, reply.body.as_str()), (200, "ok"));
            let seen = gateway.backends.seen();
            assert_ne!(seen[0].backend, seen[1].backend);
        }
    });
}

#[test]
fn what_no_backend_takes_is_refused_with_a_time_to_come_again() {
    run(async {
        let gateway = Gateway::start(2).await;
        gateway.backends.script(declined());
        gateway
            .backends
            .script(answer("421 Misdirected Request", "", ""));
        let reply = ask(gateway.address, &request("/once/1", "", "x")).await;
        assert_eq!(reply.status, 503);
        let pause: f64 = reply
            .header("retry-after")
            .expect("a pause")
            .parse()
            .expect("seconds");
        assert!(pause > 0.0 && pause < 1.0);
        assert_eq!(reply.header("response-seal"), None);
        assert_eq!(gateway.backends.seen().len(), 2);
    });
}

#[test]
fn another_instance_at_the_address_is_left() {
    run(async {
        let gateway = Gateway::start(2).await;
        gateway.backends.script(answer(
            "421 Misdirected Request",
            "Instance-Id: i-1\r\n",
            "",
        ));
        gateway.backends.script(served("ok"));
        assert_eq!(
            ask(gateway.address, &request("/once/1", "", "x"))
                .await
                .status,
            200
        );
    });
}

/// Guards against a gateway giving up all backends for all clients because their weights are not those that one client
/// expects.
#[test]
fn backends_with_other_weights_serve_clients_that_expect_none() {
    run(async {
        let gateway = Gateway::start(2).await;
        let other_weights = || {
            let headers = "Not-Executed: 1\r\nVersions: 1\r\n";
            answer("421 Misdirected Request", headers, "")
        };
        gateway.backends.script(other_weights());
        gateway.backends.script(other_weights());
        let early = request("/tokens/1", "Model: m\r\nExpect-Version: 2\r\n", "x");
        for _ in 0..5 {
            let reply = ask(gateway.address, &early).await;
            assert_eq!(reply.status, 503);
            assert!(reply.header("retry-after").is_some());
        }
        assert_eq!(gateway.backends.seen().len(), 2, "asked again and again");
        for _ in 0..5 {
            gateway.backends.script(served("ok"));
            let plain = request("/once/1", "Model: m\r\n", "x");
            assert_eq!(ask(gateway.address, &plain).await.status, 200);
        }
        tokio::time::sleep(Duration::from_secs(6)).await;
        gateway.backends.script(served("late"));
        assert_eq!(ask(gateway.address, &early).await.body, "late");
    });
}

/// Guards against a 421 without an end: the instance is asked again, and only where it is named.
#[test]
fn an_instance_that_answered_421_is_asked_again_by_its_name() {
    run(async {
        let gateway = Gateway::start(1).await;
        gateway
            .backends
            .script(answer("421 Misdirected Request", "", ""));
        let plain = request("/once/1", "", "x");
        assert_eq!(ask(gateway.address, &plain).await.status, 503);
        tokio::time::sleep(Duration::from_millis(400)).await;
        gateway.backends.script(served("ok"));
        assert_eq!(ask(gateway.address, &plain).await.status, 200);
        let seen = gateway.backends.seen();
        assert!(seen
            .iter()
            .all(|seen| seen.header("target-instance").as_deref() == Some("b0")));
    });
}

/// Guards against requests without `Target-Instance`: whoever has the backend's address by now would run them.
#[test]
fn a_backend_whose_id_no_request_can_name_gets_none() {
    run(async {
        for id in ["b-\u{fc}", "b\n0", ""] {
            let gateway = Gateway::start(1).await;
            gateway.list(|list| list[0].id = id.into());
            let reply = ask(gateway.address, &request("/often/1", "", "x")).await;
            assert_eq!(reply.status, 503, "{id:?}");
            assert!(gateway.backends.seen().is_empty());
        }
    });
}

#[test]
fn an_answer_to_another_request_is_none() {
    run(async {
        let foreign = || {
            let text =
                "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nold";
            vec![Step::Write(text.into())]
        };
        let gateway = Gateway::start(2).await;
        gateway.backends.script(foreign());
        assert_eq!(
            ask(gateway.address, &request("/once/1", "", "x"))
                .await
                .status,
            502
        );
        assert_eq!(gateway.backends.seen().len(), 1);
        gateway.backends.script(foreign());
        gateway.backends.script(served("new"));
        assert_eq!(
            ask(gateway.address, &request("/often/1", "", "x"))
                .await
                .body,
            "new"
        );
    });
}

#[test]
fn a_connection_that_holds_a_surplus_answer_carries_no_further_request() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut twice = served("first");
        twice.extend(served("surplus"));
        gateway.backends.script(twice);
        assert_eq!(
            ask(gateway.address, &request("/once/1", "", "x"))
                .await
                .body,
            "first"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
        gateway.backends.script(served("second"));
        assert_eq!(
            ask(gateway.address, &request("/once/2", "", "x"))
                .await
                .body,
            "second"
        );
        assert_eq!(gateway.backends.accepted.get(), 2);
    });
}

/// The copy of a 500 that has gone to its client comes in the place where the next answer is due. That request may have run.
#[test]
fn a_late_copy_of_a_500_is_no_answer_to_the_next_request() {
    run(async {
        let gateway = Gateway::start(1).await;
        let failed =
            "HTTP/1.1 500 Failed\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n";
        gateway.backends.script(vec![Step::Write(failed.into())]);
        let first = ask(gateway.address, &request("/once/1", "", "x")).await;
        assert_eq!(first.status, 500);
        tokio::time::sleep(Duration::from_millis(50)).await;
        gateway.backends.script(vec![Step::Write(failed.into())]);
        let next = request("/once/2", "", "x").replace("Request-Id: r1", "Request-Id: r2");
        assert_eq!(ask(gateway.address, &next).await.status, 502);
        assert_eq!(gateway.backends.accepted.get(), 1, "connections");
        assert_eq!(gateway.backends.seen().len(), 2, "requests");
    });
}

#[test]
fn a_connection_that_has_rested_is_used_again_unless_the_backend_closes_it() {
    run(async {
        let gateway = Gateway::start(1).await;
        for _ in 0..3 {
            gateway.backends.script(served("ok"));
            assert_eq!(
                ask(gateway.address, &request("/once/1", "", "x"))
                    .await
                    .status,
                200
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(gateway.backends.accepted.get(), 1);
        gateway.backends.script(answer(
            "200 OK",
            "Response-Seal: s\r\nConnection: close\r\n",
            "ok",
        ));
        assert_eq!(
            ask(gateway.address, &request("/once/1", "", "x"))
                .await
                .status,
            200
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
        gateway.backends.script(answer(
            "200 OK",
            "Response-Seal: s\r\nKeep-Alive: timeout=1\r\n",
            "ok",
        ));
        assert_eq!(
            ask(gateway.address, &request("/once/1", "", "x"))
                .await
                .status,
            200
        );
        assert_eq!(gateway.backends.accepted.get(), 2);
        tokio::time::sleep(Duration::from_millis(900)).await;
        gateway.backends.script(served("ok"));
        assert_eq!(
            ask(gateway.address, &request("/once/1", "", "x"))
                .await
                .status,
            200
        );
        assert_eq!(gateway.backends.accepted.get(), 3);
    });
}

#[test]
fn what_may_have_run_is_sent_again_only_where_the_route_may_repeat() {
    run(async {
        let cuts = [
            vec![Step::Reset],
            vec![Step::Close],
            vec![Step::Write("nonsense\r\n\r\n".into()), Step::Close],
            vec![
                Step::Write(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 9\r\n\r\nhalf".into(),
                ),
                Step::Close,
            ],
        ];
        for cut in cuts {
            let gateway = Gateway::start(3).await;
            gateway.backends.script(cut.clone());
            assert_eq!(
                ask(gateway.address, &request("/once/1", "", "x"))
                    .await
                    .status,
                502
            );
            assert_eq!(gateway.backends.seen().len(), 1);
            gateway.backends.script(cut.clone());
            gateway.backends.script(served("ok"));
            assert_eq!(
                ask(gateway.address, &request("/often/1", "", "x"))
                    .await
                    .body,
                "ok"
            );
            gateway.backends.script(cut.clone());
            gateway.backends.script(cut.clone());
            assert_eq!(
                ask(gateway.address, &request("/often/1", "", "x"))
                    .await
                    .status,
                502
            );
            assert_eq!(gateway.backends.seen().len(), 5, "two backends at most");
        }
    });
}

#[test]
fn a_failure_that_ran_passes_unchanged_once_no_other_backend_may_run_it() {
    run(async {
        let failed = || answer("500 Internal Server Error", "Response-Seal: s5\r\n", "why");
        let gateway = Gateway::start(3).await;
        gateway.backends.script(failed());
        let reply = ask(gateway.address, &request("/once/1", "", "x")).await;
        assert_eq!((reply.status, reply.body.as_str()), (500, "why"));
        assert_eq!(reply.header("response-seal").as_deref(), Some("s5"));
        gateway.backends.script(failed());
        gateway.backends.script(served("ok"));
        assert_eq!(
            ask(gateway.address, &request("/often/1", "", "x"))
                .await
                .status,
            200
        );
        gateway.backends.script(failed());
        gateway.backends.script(vec![Step::Reset]);
        assert_eq!(
            ask(gateway.address, &request("/often/1", "", "x"))
                .await
                .status,
            500
        );
    });
}

#[test]
fn an_answer_that_may_not_be_passed_on_is_a_failure() {
    run(async {
        let answers = [
            answer("200 OK", "", "no stamp"),
            answer(
                "200 OK",
                "Response-Seal: s\r\nContent-Encoding: gzip\r\n",
                "zz",
            ),
            answer(
                "503 Service Unavailable",
                "Response-Seal: s\r\n",
                "perhaps run",
            ),
            answer(
                "429 Too Many Requests",
                "Response-Seal: s\r\n",
                "perhaps run",
            ),
        ];
        for answer in answers {
            let gateway = Gateway::start(2).await;
            gateway.backends.script(answer);
            let reply = ask(gateway.address, &request("/once/1", "", "x")).await;
            assert_eq!((reply.status, reply.header("response-seal")), (502, None));
        }
    });
}

#[test]
fn a_long_answer_passes_as_it_comes_and_an_early_end_is_seen() {
    run(async {
        let gateway = Gateway::start(1).await;
        let long = "y".repeat(200_000);
        gateway.backends.script(served(&long));
        let reply = ask(gateway.address, &request("/once/1", "", "x")).await;
        assert_eq!((reply.body.len(), reply.whole), (200_000, true));
        let head =
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 200000\r\n\r\n";
        gateway.backends.script(vec![
            Step::Write(format!("{head}{}", &long[..150_000])),
            Step::Close,
        ]);
        let reply = ask(gateway.address, &request("/often/1", "", "x")).await;
        assert_eq!((reply.status, reply.whole), (200, false));
        assert_eq!(gateway.backends.seen().len(), 2);
    });
}

#[test]
fn a_backend_that_drains_between_the_choice_and_the_first_byte_gets_nothing() {
    run(async {
        use alderhollow::balance::Outcome;
        use alderhollow::exchange::evidence::{Evidence, SendError};
        use alderhollow::exchange::wait_limits::WaitLimits;

        let gateway = Gateway::start(1).await;
        let outbound = outbound("/once/1");
        // Once over a connection that is opened for it, once over one that has rested.
        for warm in [false, true] {
            if warm {
                gateway.list(|list| {
                    list.iter_mut().for_each(|one| {
                        one.state = alderhollow_model::backend::BackendState::Ready;
                    });
                });
                gateway.backends.script(served("ok"));
                assert_eq!(
                    ask(gateway.address, &request("/once/1", "", "x"))
                        .await
                        .status,
                    200
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            let before = gateway.backends.seen().len();
            let attempt = gateway.exchange.choose(&selection()).expect("a backend");
            let patience = WaitLimits::until(tokio::time::Instant::now() + Duration::from_secs(1));
            if warm {
                gateway.drain_all();
            }
            let (sent, ()) = tokio::join!(
                gateway.exchange.send(attempt, &outbound, None, &patience),
                async { gateway.drain_all() }
            );
            let not_written = SendError {
                evidence: Evidence::NothingWritten,
                outcome: Outcome::Cancelled,
            };
            assert_eq!(sent.err(), Some(not_written));
            assert_eq!(gateway.backends.seen().len(), before);
        }
    });
}

/// Guards against a long 503 of a backend that reaches the client as a promise that its request has not run.
#[test]
fn a_status_that_promises_too_much_is_withheld_at_any_length() {
    run(async {
        let buffered = 64 * 1024;
        for status in ["408 Timeout", "429 Too Many", "503 Unavailable"] {
            let number: u16 = status[..3].parse().expect("a status");
            for path in ["/once/1", "/talk/1"] {
                for length in [0, buffered, buffered + 1, 200_000] {
                    let case = format!("{status}, {path}, {length} bytes");
                    let body = "n".repeat(length);
                    let gateway = Gateway::start(1).await;
                    let plain = answer(status, "Response-Seal: s1\r\n", &body);
                    gateway.backends.script(plain);
                    let reply = ask(gateway.address, &request(path, "", "x")).await;
                    assert_eq!(reply.status, 502, "{case}");
                    gateway.backends.script(in_chunks(status, &body));
                    let reply = ask(gateway.address, &request(path, "", "x")).await;
                    assert_eq!(reply.status, 502, "{case}, in chunks");
                }
            }
            // A request that may run again is told what its backend said.
            for length in [0, 200_000] {
                let gateway = Gateway::start(1).await;
                let plain = answer(status, "Response-Seal: s1\r\n", &"n".repeat(length));
                gateway.backends.script(plain);
                let reply = ask(gateway.address, &request("/often/1", "", "x")).await;
                assert_eq!((reply.status, reply.body.len()), (number, length));
            }
            // With `Not-Executed` the promise is the backend's own.
            let gateway = Gateway::start(1).await;
            gateway
                .backends
                .script(answer(status, "Not-Executed: 1\r\n", ""));
            let reply = ask(gateway.address, &request("/once/1", "", "x")).await;
            assert_eq!(reply.status, 503, "{status}");
        }
    });
}

/// An answer whose length only its chunks tell.
fn in_chunks(status: &str, body: &str) -> Vec<Step> {
    let head = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {{id}}\r\nResponse-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let data = match body.is_empty() {
        true => String::new(),
        false => format!("{:x}\r\n{body}\r\n", body.len()),
    };
    vec![Step::Write(format!("{head}{data}0\r\n\r\n"))]
}

#[test]
fn a_new_start_of_a_backend_gets_a_new_connection() {
    run(async {
        let gateway = Gateway::start(1).await;
        gateway.backends.script(served("ok"));
        assert_eq!(
            ask(gateway.address, &request("/once/1", "", "x"))
                .await
                .status,
            200
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
        gateway.list(|list| {
            list.iter_mut()
                .for_each(|backend| backend.id = "b0-again".into());
        });
        gateway.backends.script(served("ok"));
        assert_eq!(
            ask(gateway.address, &request("/once/1", "", "x"))
                .await
                .status,
            200
        );
        assert_eq!(gateway.backends.accepted.get(), 2);
        assert_eq!(
            gateway.backends.seen()[1]
                .header("target-instance")
                .as_deref(),
            Some("b0-again")
        );
    });
}

#[test]
fn a_client_that_leaves_ends_the_backends_work() {
    run(async {
        for (path, steps) in [
            ("/once/1", vec![Step::Hang]),
            (
                "/talk/1",
                vec![stream_head("s1"), chunk(&event(1)), Step::Hang],
            ),
        ] {
            let gateway = Gateway::start(1).await;
            let begins = steps.len() > 1;
            gateway.backends.script(steps);
            let mut client = Client::connect(gateway.address).await;
            client.write(&request(path, "", "x")).await;
            if begins {
                client.read_until("text 1").await;
            } else {
                while gateway.backends.seen().is_empty() {
                    tokio::task::yield_now().await;
                }
            }
            drop(client);
            for _ in 0..100 {
                tokio::task::yield_now().await;
            }
            assert_eq!(gateway.backends.left.get(), 1, "{path}");
        }
    });
}

#[test]
fn a_request_whose_backend_says_nothing_is_answered_at_its_deadline() {
    run(async {
        let gateway = Gateway::start(2).await;
        gateway.backends.script(vec![Step::Hang]);
        let began = tokio::time::Instant::now();
        assert_eq!(
            ask(gateway.address, &request("/once/1", "", "x"))
                .await
                .status,
            504
        );
        assert!(
            began.elapsed() <= Duration::from_millis(2600),
            "{:?}",
            began.elapsed()
        );
        assert_eq!(gateway.backends.seen().len(), 1);
    });
}

/// Guards against requests whose backends are silent holding the memory that requests of other routes need.
#[test]
fn a_route_with_silent_backends_leaves_memory_for_bodies_of_others() {
    const BODY: usize = 5_000;
    run(async {
        let settings = ServerSettings {
            grace: GRACE,
            max_connections: 100,
            body_bytes: 4 * BODY,
            validity: None,
        };
        let gateway = Gateway::start_with_settings(3, settings).await;
        let large = request("/once/1", "", &"x".repeat(BODY));
        for _ in 0..4 {
            gateway.backends.script(vec![Step::Hang]);
            let (address, large) = (gateway.address, large.clone());
            spawn_local(async move { ask(address, &large).await });
        }
        sleep(Duration::from_millis(100)).await;
        assert_eq!(gateway.backends.seen().len(), 3);
        gateway.backends.drop_scripts();
        assert_eq!(ask(gateway.address, &large).await.status, 503);
        gateway.backends.script(served("ok"));
        let small = request("/often/1", "", &"x".repeat(BODY / 5));
        assert_eq!(ask(gateway.address, &small).await.status, 200);
    });
}

/// Guards against backends that count as failed for all clients because one client gives its requests too little time.
#[test]
fn a_client_without_time_ejects_no_backend_for_others() {
    run(async {
        let gateway = Gateway::start(2).await;
        let without_time =
            request("/once/1", "", "x").replace("Deadline-Ms: 2500", "Deadline-Ms: 40");
        for _ in 0..3 {
            gateway.backends.script(vec![Step::Hang]);
            assert_eq!(ask(gateway.address, &without_time).await.status, 504);
        }
        assert_eq!(gateway.unhealthy(), Vec::<String>::new());
    });
}

#[test]
fn a_client_that_reads_no_more_holds_no_backend_beyond_its_deadline() {
    run(async {
        let gateway = Gateway::start(1).await;
        // More than all buffers on the way hold.
        gateway.backends.script(served(&"y".repeat(64 << 20)));
        let mut client = Client::connect(gateway.address).await;
        let began = tokio::time::Instant::now();
        client.write(&request("/once/1", "", "x")).await;
        while gateway.backends.left.get() == 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(began.elapsed() < Duration::from_secs(4));
        }
        assert!(!client.reply().await.expect("what came").whole);
    });
}

#[test]
fn calls_about_batch_jobs_go_to_their_endpoints() {
    run(async {
        let gateway = Gateway::start(1).await;
        let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: shop.example\r\n\r\n");
        let calls = [
            request("/jobs/1", "", "{}"),
            get("/alderhollow/lots/j1?after=0"),
            get("/alderhollow/items/j1?id=i1"),
        ];
        for call in calls {
            let reply = ask(gateway.address, &call).await;
            assert_eq!(reply.status, 503);
            assert!(reply.header("retry-after").is_some());
        }
        assert_eq!(ask(gateway.address, &get("/jobs/1")).await.status, 404);
    });
}

#[test]
fn the_parts_of_a_split_get_their_shares_of_a_gateways_requests() {
    run(async {
        const REQUESTS: usize = 300;
        let gateway = Gateway::start(2).await;
        let mut snapshot = (**gateway.snapshots.borrow()).clone();
        let mut config = (**snapshot.control.config.as_ref().expect("a configuration")).clone();
        let parts = serde_json::json!([{"service": "plain", "weight": 70}, {"service": "other", "weight": 30}]);
        config.routes[0].service = None;
        config.routes[0].traffic_split = serde_json::from_value(parts).expect("a split");
        config
            .services
            .push(serde_json::from_str(r#"{"name":"other"}"#).expect("a service"));
        let mut backends = (*snapshot.backends).clone();
        backends.backends[1].service = "other".into();
        let control = ControlView {
            version: 2,
            config: Some(Arc::new(config)),
            ..Default::default()
        };
        (snapshot.control, snapshot.backends) = (Arc::new(control), Arc::new(backends));
        gateway.snapshots.send_replace(Arc::new(snapshot));
        let mut client = Client::connect(gateway.address).await;
        for number in 0..REQUESTS {
            // A part that answers 503 is left for no other part.
            gateway.backends.script(if number % 10 == 0 {
                declined()
            } else {
                served("ok")
            });
            client.write(&request("/once/1", "", "x")).await;
            assert!(client.reply().await.is_some());
        }
        let seen = gateway.backends.seen();
        let of_other = seen.iter().filter(|seen| seen.backend == "b1").count();
        assert_eq!(seen.len(), REQUESTS);
        assert!(
            of_other.abs_diff(REQUESTS * 30 / 100) <= 4,
            "{of_other} of {REQUESTS}"
        );
    });
}
