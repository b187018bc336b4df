//! Kept connections: a request that was passed on to a backend is answered, whenever its connection is to be closed.

mod support;

use alderhollow::http_server::phase::Phase;
use alderhollow_model::config::Limits;
use alderhollow_model::snapshot::{ControlView, Snapshot};
use std::sync::Arc;
use std::time::Duration;
use support::backend::*;
use support::client::Client;
use support::gateway::*;
use support::run;
use tokio::time::{sleep, Instant};

/// As in the configuration of the tests' gateway.
const IDLE: Duration = Duration::from_secs(15);
const HEADER: Duration = Duration::from_secs(3);
/// Moments around a close: before it by so many milliseconds, or after it.
const AROUND_MS: std::ops::RangeInclusive<i64> = -4..=4;

/// A client that has had one answer on its connection.
async fn kept(gateway: &Gateway) -> Client {
    let mut client = Client::connect(gateway.address).await;
    // Of a request that was not passed on.
    gateway.backends.drop_scripts();
    gateway.backends.script(served("first"));
    client.write(&named("first")).await;
    assert_eq!(client.reply().await.expect("an answer").body, "first");
    client
}

/// A request with an id of its own.
fn named(id: &str) -> String {
    request("/once/x", "", "x").replace("Request-Id: r1", &format!("Request-Id: {id}"))
}

fn shifted(span: Duration, by_ms: i64) -> Duration {
    let by = Duration::from_millis(by_ms.unsigned_abs());
    if by_ms < 0 {
        span - by
    } else {
        span + by
    }
}

/// Whether a request was passed on.
fn passed_on(gateway: &Gateway, id: &str) -> bool {
    gateway
        .backends
        .seen()
        .iter()
        .any(|seen| seen.header("request-id").as_deref() == Some(id))
}

/// Checks that the request `id` was answered if it was passed on, and whether it was.
async fn answered_if_passed_on(gateway: &Gateway, client: &mut Client, id: &str) -> bool {
    let reply = client.reply().await;
    if passed_on(gateway, id) {
        let reply = reply.unwrap_or_else(|| {
            panic!("{id} was passed on and its connection closed without an answer")
        });
        assert!(reply.whole && reply.status == 200, "{id}: {reply:?}");
        return true;
    }
    false
}

fn with_limits(gateway: &Gateway, limits: Limits) {
    let before = gateway.snapshots.borrow().clone();
    let mut config = (**before.control.config.as_ref().expect("a configuration")).clone();
    config.config_version += 1;
    config.limits = limits;
    let control = ControlView {
        version: 2,
        config: Some(Arc::new(config)),
        ..Default::default()
    };
    gateway.snapshots.send_replace(Arc::new(Snapshot {
        control: Arc::new(control),
        ..(*before).clone()
    }));
}

#[test]
fn a_request_that_meets_the_idle_timeout_is_answered_or_not_passed_on() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut reached = 0;
        for by_ms in AROUND_MS {
            let mut client = kept(&gateway).await;
            sleep(shifted(IDLE, by_ms)).await;
            gateway.backends.script(served("second"));
            let id = format!("idle{by_ms}");
            client.offer(&named(&id)).await;
            let was_passed_on = answered_if_passed_on(&gateway, &mut client, &id).await;
            assert!(
                was_passed_on || by_ms >= 0,
                "{by_ms} ms: closed before its time"
            );
            reached += u32::from(was_passed_on);
        }
        assert!(
            (4..9).contains(&reached),
            "both sides of the close are to be met: {reached}"
        );
    });
}

#[test]
fn a_head_that_meets_the_header_timeout_is_answered_or_not_passed_on() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut reached = 0;
        for by_ms in AROUND_MS {
            let mut client = kept(&gateway).await;
            let id = format!("head{by_ms}");
            let text = named(&id);
            client.write(&text[..40]).await;
            sleep(shifted(HEADER, by_ms)).await;
            gateway.backends.script(served("second"));
            client.offer(&text[40..]).await;
            reached += u32::from(answered_if_passed_on(&gateway, &mut client, &id).await);
        }
        assert!(
            (4..9).contains(&reached),
            "both sides of the close are to be met: {reached}"
        );
    });
}

#[test]
fn the_time_for_a_head_holds_on_a_kept_connection_too() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut client = kept(&gateway).await;
        sleep(Duration::from_secs(1)).await;
        client.write(&named("half")[..40]).await;
        let began = Instant::now();
        assert!(client.ends().await);
        let took = began.elapsed();
        assert!(
            took >= HEADER && took < HEADER + Duration::from_millis(500),
            "{took:?}"
        );
    });
}

#[test]
fn a_body_that_does_not_come_is_not_passed_on() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut client = kept(&gateway).await;
        let text =
            request("/once/x", "", "0123456789").replace("Request-Id: r1", "Request-Id: stalled");
        client.write(&text[..text.len() - 5]).await;
        assert_eq!(client.reply().await.expect("an answer").status, 408);
        assert!(!passed_on(&gateway, "stalled"));
    });
}

#[test]
fn requests_that_meet_the_start_of_leaving_are_answered_or_not_passed_on() {
    for by_ms in AROUND_MS {
        // Each gateway leaves once.
        run(async {
            let gateway = Gateway::start(1).await;
            let mut client = kept(&gateway).await;
            let begun = Instant::now();
            let at = begun + Duration::from_millis(20);
            let leave = async {
                tokio::time::sleep_until(at).await;
                gateway.phase.send_replace(Phase::Leaving);
            };
            let id = format!("leave{by_ms}");
            gateway.backends.script(served("second"));
            let ask = async {
                tokio::time::sleep_until(begun + shifted(Duration::from_millis(20), by_ms)).await;
                client.offer(&named(&id)).await;
                answered_if_passed_on(&gateway, &mut client, &id).await
            };
            // Whoever is polled first acts first in the same moment.
            let was_passed_on = tokio::join!(ask, leave).0;
            assert!(
                was_passed_on || by_ms >= 0,
                "{by_ms} ms: a request before the close"
            );
        });
    }
}

#[test]
fn limits_that_change_cut_no_kept_connection_with_a_request_on_it() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut busy = kept(&gateway).await;
        let mut idle = kept(&gateway).await;
        let mut steps = vec![Step::Pause(Duration::from_millis(1_500))];
        steps.extend(served("busy"));
        gateway.backends.script(steps);
        busy.write(&named("busy")).await;
        while !passed_on(&gateway, "busy") {
            tokio::task::yield_now().await;
        }
        let short = Limits {
            header_timeout_ms: 50,
            idle_timeout_ms: 50,
            ..gateway_limits(&gateway)
        };
        with_limits(&gateway, short);
        assert!(answered_if_passed_on(&gateway, &mut busy, "busy").await);
        gateway.backends.script(served("idle"));
        idle.offer(&named("idle")).await;
        answered_if_passed_on(&gateway, &mut idle, "idle").await;
    });
}

fn gateway_limits(gateway: &Gateway) -> Limits {
    let snapshot = gateway.snapshots.borrow();
    snapshot
        .control
        .config
        .as_ref()
        .expect("a configuration")
        .limits
        .clone()
}

#[test]
fn a_request_behind_another_on_a_connection_that_closes_is_answered_or_not_passed_on() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut client = kept(&gateway).await;
        let mut steps = vec![Step::Pause(Duration::from_millis(200))];
        steps.extend(served("before"));
        gateway.backends.script(steps);
        gateway.backends.script(served("behind"));
        client.write(&(named("before") + &named("behind"))).await;
        while !passed_on(&gateway, "before") {
            tokio::task::yield_now().await;
        }
        gateway.phase.send_replace(Phase::Leaving);
        assert!(answered_if_passed_on(&gateway, &mut client, "before").await);
        answered_if_passed_on(&gateway, &mut client, "behind").await;
    });
}

#[test]
fn a_request_without_an_answer_at_the_end_of_the_time_for_leaving_gets_one() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut client = kept(&gateway).await;
        gateway.backends.script(vec![Step::Hang]);
        let config = gateway.snapshots.borrow().clone();
        let mut longer = (**config.control.config.as_ref().expect("a configuration")).clone();
        longer
            .routes
            .iter_mut()
            .for_each(|route| route.timeout_ms = Some(60_000));
        let control = ControlView {
            version: 2,
            config: Some(Arc::new(longer)),
            ..Default::default()
        };
        gateway.snapshots.send_replace(Arc::new(Snapshot {
            control: Arc::new(control),
            ..(*config).clone()
        }));
        client
            .write(&named("long").replace("Deadline-Ms: 2500", "Deadline-Ms: 50000"))
            .await;
        while !passed_on(&gateway, "long") {
            tokio::task::yield_now().await;
        }
        let began = Instant::now();
        gateway.phase.send_replace(Phase::Leaving);
        let reply = client
            .reply()
            .await
            .expect("an answer, though none of the backend's");
        assert_eq!(
            (reply.status, reply.header("connection").as_deref()),
            (504, Some("close"))
        );
        assert!(client.ends().await);
        gateway.running.await.expect("it ends");
        assert!(began.elapsed() <= GRACE, "{:?}", began.elapsed());
    });
}
