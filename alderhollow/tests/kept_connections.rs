//! Tests of client keep-alive connections: a request that was forwarded to a backend is answered even if its connection
//! is about to be closed.

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

/// Idle timeout in the configuration of the test gateway.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Offsets from the time of a close, in milliseconds.
const CLOSE_OFFSETS_MS: std::ops::RangeInclusive<i64> = -4..=4;

/// A client that has received one response on its connection.
async fn connected_client(gateway: &Gateway) -> Client {
    let mut client = Client::connect(gateway.address).await;
    // Scripts may be left over from a request that was not forwarded.
    gateway.backends.drop_scripts();
    gateway.backends.script(served("first"));
    client.write(&request_with_id("first")).await;
    assert_eq!(client.reply().await.expect("a response").body, "first");
    client
}

/// A request with the given id.
fn request_with_id(id: &str) -> String {
    request("/once/x", "", "x").replace("Request-Id: r1", &format!("Request-Id: {id}"))
}

fn offset_by(span: Duration, by_ms: i64) -> Duration {
    let by = Duration::from_millis(by_ms.unsigned_abs());
    if by_ms < 0 {
        span - by
    } else {
        span + by
    }
}

/// Whether a request was forwarded.
fn is_forwarded(gateway: &Gateway, id: &str) -> bool {
    gateway
        .backends
        .seen()
        .iter()
        .any(|seen| seen.header("request-id").as_deref() == Some(id))
}

/// Checks that the request `id` was answered if it was forwarded; returns whether it was forwarded.
async fn answered_if_forwarded(gateway: &Gateway, client: &mut Client, id: &str) -> bool {
    let reply = client.reply().await;
    if is_forwarded(gateway, id) {
        let reply = reply.unwrap_or_else(|| {
            panic!("{id} was forwarded, but its connection closed without a response")
        });
        assert!(reply.whole && reply.status == 200, "{id}: {reply:?}");
        return true;
    }
    false
}

fn set_limits(gateway: &Gateway, limits: Limits) {
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
fn a_request_that_races_with_the_idle_timeout_is_answered_or_not_forwarded() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut reached = 0;
        for by_ms in CLOSE_OFFSETS_MS {
            let mut client = connected_client(&gateway).await;
            sleep(offset_by(IDLE_TIMEOUT, by_ms)).await;
            gateway.backends.script(served("second"));
            let id = format!("idle{by_ms}");
            client.offer(&request_with_id(&id)).await;
            let was_forwarded = answered_if_forwarded(&gateway, &mut client, &id).await;
            assert!(was_forwarded || by_ms >= 0, "{by_ms} ms: closed too early");
            reached += u32::from(was_forwarded);
        }
        assert!(
            (4..9).contains(&reached),
            "requests must arrive both before and after the close: {reached}"
        );
    });
}

#[test]
fn a_head_that_races_with_the_header_timeout_is_answered_or_not_forwarded() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut reached = 0;
        for by_ms in CLOSE_OFFSETS_MS {
            let mut client = connected_client(&gateway).await;
            let id = format!("head{by_ms}");
            let text = request_with_id(&id);
            client.write(&text[..40]).await;
            sleep(offset_by(HEADER_TIMEOUT, by_ms)).await;
            gateway.backends.script(served("second"));
            client.offer(&text[40..]).await;
            reached += u32::from(answered_if_forwarded(&gateway, &mut client, &id).await);
        }
        assert!(
            (4..9).contains(&reached),
            "requests must arrive both before and after the close: {reached}"
        );
    });
}

#[test]
fn the_header_timeout_applies_to_kept_connections() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut client = connected_client(&gateway).await;
        sleep(Duration::from_secs(1)).await;
        client.write(&request_with_id("half")[..40]).await;
        let began = Instant::now();
        assert!(client.ends().await);
        let took = began.elapsed();
        assert!(
            took >= HEADER_TIMEOUT && took < HEADER_TIMEOUT + Duration::from_millis(500),
            "{took:?}"
        );
    });
}

#[test]
fn an_incomplete_body_is_not_forwarded() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut client = connected_client(&gateway).await;
        let text =
            request("/once/x", "", "0123456789").replace("Request-Id: r1", "Request-Id: stalled");
        client.write(&text[..text.len() - 5]).await;
        assert_eq!(client.reply().await.expect("a response").status, 408);
        assert!(!is_forwarded(&gateway, "stalled"));
    });
}

#[test]
fn requests_that_race_with_the_start_of_leaving_are_answered_or_not_forwarded() {
    for by_ms in CLOSE_OFFSETS_MS {
        // A gateway can leave only once.
        run(async {
            let gateway = Gateway::start(1).await;
            let mut client = connected_client(&gateway).await;
            let begun = Instant::now();
            let at = begun + Duration::from_millis(20);
            let leave = async {
                tokio::time::sleep_until(at).await;
                gateway.phase.send_replace(Phase::Draining);
            };
            let id = format!("leave{by_ms}");
            gateway.backends.script(served("second"));
            let ask = async {
                tokio::time::sleep_until(begun + offset_by(Duration::from_millis(20), by_ms)).await;
                client.offer(&request_with_id(&id)).await;
                answered_if_forwarded(&gateway, &mut client, &id).await
            };
            // At the same instant, the future that is polled first acts first.
            let was_forwarded = tokio::join!(ask, leave).0;
            assert!(
                was_forwarded || by_ms >= 0,
                "{by_ms} ms: not forwarded before the close"
            );
        });
    }
}

#[test]
fn changed_limits_close_no_connection_with_a_pending_request() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut busy = connected_client(&gateway).await;
        let mut idle = connected_client(&gateway).await;
        let mut steps = vec![Step::Pause(Duration::from_millis(1_500))];
        steps.extend(served("busy"));
        gateway.backends.script(steps);
        busy.write(&request_with_id("busy")).await;
        while !is_forwarded(&gateway, "busy") {
            tokio::task::yield_now().await;
        }
        let short = Limits {
            header_timeout_ms: 50,
            idle_timeout_ms: 50,
            ..gateway_limits(&gateway)
        };
        set_limits(&gateway, short);
        assert!(answered_if_forwarded(&gateway, &mut busy, "busy").await);
        gateway.backends.script(served("idle"));
        idle.offer(&request_with_id("idle")).await;
        answered_if_forwarded(&gateway, &mut idle, "idle").await;
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
fn a_pipelined_request_on_a_closing_connection_is_answered_or_not_forwarded() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut client = connected_client(&gateway).await;
        let mut steps = vec![Step::Pause(Duration::from_millis(200))];
        steps.extend(served("before"));
        gateway.backends.script(steps);
        gateway.backends.script(served("behind"));
        client
            .write(&(request_with_id("before") + &request_with_id("behind")))
            .await;
        while !is_forwarded(&gateway, "before") {
            tokio::task::yield_now().await;
        }
        gateway.phase.send_replace(Phase::Draining);
        assert!(answered_if_forwarded(&gateway, &mut client, "before").await);
        answered_if_forwarded(&gateway, &mut client, "behind").await;
    });
}

#[test]
fn a_request_pending_at_the_end_of_leaving_gets_a_response() {
    run(async {
        let gateway = Gateway::start(1).await;
        let mut client = connected_client(&gateway).await;
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
            .write(&request_with_id("long").replace("Deadline-Ms: 2500", "Deadline-Ms: 50000"))
            .await;
        while !is_forwarded(&gateway, "long") {
            tokio::task::yield_now().await;
        }
        let began = Instant::now();
        gateway.phase.send_replace(Phase::Draining);
        let reply = client.reply().await.expect("a response of the gateway");
        assert_eq!(
            (reply.status, reply.header("connection").as_deref()),
            (504, Some("close"))
        );
        assert!(client.ends().await);
        gateway.running.await.expect("the gateway stops");
        assert!(began.elapsed() <= GRACE, "{:?}", began.elapsed());
    });
}
