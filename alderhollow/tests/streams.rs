//! Streams of events through the front of a gateway.

mod support;

use std::time::Duration;
use support::backend::*;
use support::client::{ask, Client};
use support::gateway::*;
use support::run;
use tokio::time::Instant;

/// A stream of these events, in one piece each, then what follows.
fn stream(ids: std::ops::RangeInclusive<u64>, then: Vec<Step>) -> Vec<Step> {
    let mut steps = vec![stream_head(&format!("from {}", ids.start()))];
    steps.extend(ids.map(|id| chunk(&event(id))));
    steps.extend(then);
    steps
}

#[test]
fn a_whole_stream_passes_whole() {
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
fn events_pass_on_as_they_come() {
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
fn a_cut_stream_goes_on_at_another_backend_inside_one_answer() {
    run(async {
        let half = &event(4)[..7];
        let cuts = [
            vec![Step::Close],
            vec![Step::Reset],
            vec![chunk(half), Step::Close],
            vec![Step::Write("5\r\nid: ".into()), Step::Close],
            // A backend that begins anew, or bends its stream, is left as one that was cut.
            vec![chunk(&event(2)), Step::Hang],
        ];
        for cut in cuts {
            let gateway = Gateway::start(3).await;
            gateway.backends.script(stream(1..=3, cut));
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

#[test]
fn a_stream_that_no_backend_goes_on_with_is_seen_to_be_cut() {
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
fn a_stream_that_may_not_be_resumed_is_cut_where_its_backend_cuts_it() {
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
fn a_stream_whose_end_cannot_be_told_from_a_cut_is_not_whole() {
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
fn a_client_that_resumes_is_served_from_its_event_on() {
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
        let asked: Vec<_> = seen
            .iter()
            .filter_map(|seen| seen.header("last-event-id"))
            .collect();
        assert_eq!(asked, ["5", "6"]);
    });
}

#[test]
fn a_silent_backend_is_left_before_and_between_events_where_another_one_goes_on() {
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
fn a_silent_backend_without_another_one_is_waited_for() {
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
fn a_stream_that_may_not_be_resumed_is_never_left_for_its_silence() {
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
