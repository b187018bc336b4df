//! Tests of event streams through a gateway.

mod support;

use std::time::Duration;
use support::backend::*;
use support::client::{ask, Client};
use support::gateway::*;
use support::run;
use tokio::time::Instant;

/// A stream of these events, one chunk each, followed by the steps of `then`.
fn stream(ids: std::ops::RangeInclusive<u64>, then: Vec<Step>) -> Vec<Step> {
    let mut steps = vec![stream_head(&format!("from {}", ids.start()))];
    steps.extend(ids.map(|id| chunk(&event(id))));
    steps.extend(then);
    steps
}

#[test]
fn a_complete_stream_is_forwarded_completely() {
    run(async {
        for path in ["/tokens/1", "/talk/1"] {
            let gateway = Gateway::start(2).await;
            gateway.backends.script(stream(1..=9, vec![last_chunk()]));
            let reply = ask(gateway.address, &request(path, "", "x")).await;
            assert_eq!((reply.status, reply.whole), (200, true));
            assert_eq!(reply.body, events(1..=9));
            assert_eq!(gateway.backends.seen()[0].header("last-event-id"), None);
        }
    });
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    run(async {
        for path in ["/tokens/1", "/talk/1"] {
            let gateway = Gateway::start(1).await;
            let pause = Step::Pause(Duration::from_millis(200));
            gateway
                .backends
                .script(stream(1..=1, vec![pause, chunk(&event(2)), Step::Hang]));
            let mut client = Client::connect(gateway.address).await;
            let began = Instant::now();
            client.write(&request(path, "", "x")).await;
            client.read_until(&event(1)).await;
            assert!(began.elapsed() < Duration::from_millis(100));
            client.read_until(&event(2)).await;
            assert!(began.elapsed() < Duration::from_millis(300));
        }
    });
}

#[test]
fn an_interrupted_stream_resumes_at_another_backend_within_one_response() {
    run(async {
        let partial_event = &event(4)[..7];
        let interruptions = [
            vec![Step::Close],
            vec![Step::Reset],
            vec![chunk(partial_event), Step::Close],
            vec![Step::Write("5\r\nid: ".into()), Step::Close],
            // A backend that repeats events is abandoned like one whose stream was interrupted.
            vec![chunk(&event(2)), Step::Hang],
        ];
        for interruption in interruptions {
            let gateway = Gateway::start(3).await;
            gateway.backends.script(stream(1..=3, interruption));
            gateway.backends.script(stream(4..=9, vec![last_chunk()]));
            let reply = ask(gateway.address, &request("/tokens/1", "", "x")).await;
            assert_eq!((reply.status, reply.whole), (200, true));
            assert_eq!(reply.body, events(1..=9));
            assert_eq!(reply.header("response-seal").as_deref(), Some("from 1"));
            let seen = gateway.backends.seen();
            assert_eq!(seen[1].header("last-event-id").as_deref(), Some("3"));
            assert_eq!(seen[1].header("request-id").as_deref(), Some("r1"));
            assert_ne!(seen[0].backend, seen[1].backend);
        }
    });
}

/// Guards against a stream that ends early because each of its backends once declined it or broke off: what one answered
/// before the last events says nothing about the next resumption.
#[test]
fn a_backend_that_declined_before_the_last_events_may_resume_the_stream() {
    run(async {
        let gateway = Gateway::start(2).await;
        let backoff = Step::Pause(Duration::from_millis(200));
        let declined_and_closed = [declined(), vec![Step::Close]].concat();
        gateway.backends.script(declined_and_closed);
        gateway
            .backends
            .script(stream(1..=3, vec![backoff, Step::Close]));
        gateway.backends.script(stream(4..=9, vec![last_chunk()]));
        let reply = ask(gateway.address, &request("/tokens/1", "", "x")).await;
        assert_eq!((reply.whole, reply.body), (true, events(1..=9)));
        let seen = gateway.backends.seen();
        assert_eq!(seen[2].backend, seen[0].backend);
        assert_ne!(seen[1].backend, seen[0].backend);
    });
}

/// Guards against a surplus answer to the first attempt being taken for the answer to the one that resumes the stream.
#[test]
fn a_stream_that_returns_to_a_backend_uses_another_connection() {
    run(async {
        let gateway = Gateway::start(2).await;
        let backoff = Step::Pause(Duration::from_millis(200));
        gateway.backends.script(declined());
        gateway
            .backends
            .script(stream(1..=3, vec![backoff, Step::Close]));
        gateway.backends.script(stream(4..=9, vec![last_chunk()]));
        let reply = ask(gateway.address, &request("/tokens/1", "", "x")).await;
        let seen = gateway.backends.seen();
        assert_eq!(seen[2].backend, seen[0].backend);
        assert_eq!(gateway.backends.accepted.get(), 3);
        assert_eq!((reply.whole, reply.body), (true, events(1..=9)));
    });
}

#[test]
fn a_stream_that_no_backend_resumes_ends_incomplete() {
    run(async {
        let gateway = Gateway::start(3).await;
        gateway.backends.script(stream(1..=3, vec![Step::Close]));
        gateway.backends.script(stream(4..=5, vec![Step::Close]));
        let reply = ask(gateway.address, &request("/tokens/1", "", "x")).await;
        assert_eq!((reply.whole, reply.body), (false, events(1..=5)));
        assert_eq!(gateway.backends.seen().len(), 2, "two backends at most");
    });
}

#[test]
fn a_non_resumable_stream_ends_where_its_backend_interrupts_it() {
    run(async {
        let gateway = Gateway::start(3).await;
        gateway
            .backends
            .script(stream(1..=3, vec![chunk("id: 4"), Step::Close]));
        let reply = ask(gateway.address, &request("/talk/1", "", "x")).await;
        assert_eq!((reply.status, reply.whole), (200, false));
        assert_eq!(reply.body, events(1..=3) + "id: 4");
        assert_eq!(gateway.backends.seen().len(), 1);
    });
}

#[test]
fn a_stream_without_a_delimited_end_is_incomplete() {
    run(async {
        let gateway = Gateway::start(1).await;
        let head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
        gateway.backends.script(vec![
            Step::Write(format!("{head}{}", events(1..=2))),
            Step::Close,
        ]);
        let reply = ask(gateway.address, &request("/talk/1", "", "x")).await;
        assert!(!reply.whole);
    });
}

#[test]
fn a_resuming_client_is_served_from_its_last_event() {
    run(async {
        let gateway = Gateway::start(2).await;
        gateway.backends.script(stream(6..=6, vec![Step::Close]));
        gateway.backends.script(stream(7..=9, vec![last_chunk()]));
        let reply = ask(
            gateway.address,
            &request("/tokens/1", "Last-Event-Id: 5\r\n", "x"),
        )
        .await;
        assert_eq!((reply.whole, reply.body), (true, events(6..=9)));
        let seen = gateway.backends.seen();
        let last_event_ids: Vec<_> = seen
            .iter()
            .filter_map(|seen| seen.header("last-event-id"))
            .collect();
        assert_eq!(last_event_ids, ["5", "6"]);
    });
}

#[test]
fn a_silent_backend_is_replaced_before_and_between_events() {
    run(async {
        let gateway = Gateway::start(3).await;
        gateway.backends.script(vec![Step::Hang]);
        gateway.backends.script(stream(1..=3, vec![last_chunk()]));
        let began = Instant::now();
        let reply = ask(gateway.address, &request("/tokens/1", "", "x")).await;
        assert_eq!((reply.whole, reply.body), (true, events(1..=3)));
        assert!(
            began.elapsed() < Duration::from_millis(900),
            "{:?}",
            began.elapsed()
        );
        gateway.backends.script(stream(1..=3, vec![Step::Hang]));
        gateway.backends.script(stream(4..=5, vec![last_chunk()]));
        let began = Instant::now();
        let reply = ask(gateway.address, &request("/tokens/1", "", "x")).await;
        assert_eq!((reply.whole, reply.body), (true, events(1..=5)));
        assert!(
            began.elapsed() < Duration::from_millis(1500),
            "{:?}",
            began.elapsed()
        );
    });
}

#[test]
fn a_silent_backend_without_an_alternative_is_awaited() {
    run(async {
        let gateway = Gateway::start(1).await;
        let pause = Step::Pause(Duration::from_millis(2000));
        gateway
            .backends
            .script(stream(1..=1, vec![pause, chunk(&event(2)), last_chunk()]));
        let reply = ask(gateway.address, &request("/tokens/1", "", "x")).await;
        assert_eq!((reply.whole, reply.body), (true, events(1..=2)));
    });
}

#[test]
fn a_non_resumable_stream_is_not_abandoned_for_silence() {
    run(async {
        let gateway = Gateway::start(2).await;
        let pause = Step::Pause(Duration::from_millis(2000));
        gateway
            .backends
            .script(stream(1..=1, vec![pause, chunk(&event(2)), last_chunk()]));
        let reply = ask(gateway.address, &request("/talk/1", "", "x")).await;
        assert_eq!((reply.whole, reply.body), (true, events(1..=2)));
        assert_eq!(gateway.backends.seen().len(), 1);
    });
}
