//! A process without a free descriptor. The limit holds for the whole process, so this file has no other test.

mod support;

use alderhollow::balance::{Outcome, SelectionRequest};
use alderhollow::exchange::outbound::Outbound;
use alderhollow::exchange::wait_limits::WaitLimits;
use alderhollow::exchange::SendError;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::Method;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::time::Duration;
use support::gateway::Gateway;
use support::run;
use tokio::time::Instant;

/// Guards against backends that are ejected because their sender has no descriptor left for a connection.
#[test]
fn a_process_without_descriptors_ejects_no_backend() {
    run(async {
        let gateway = Gateway::start(1).await;
        let wanted = SelectionRequest {
            service: "plain",
            prompt: None,
            priority: 0,
            tried: &[],
            expected_weights: None,
            sender: None,
        };
        let mut headers = HeaderMap::new();
        headers.insert("request-id", HeaderValue::from_static("r1"));
        let uri = "/once/1".parse().expect("a path");
        let outbound =
            Outbound::new(Method::POST, &uri, headers, Default::default()).expect("a request");
        let attempt = gateway.exchange.choose(&wanted).expect("a backend");
        let limits = WaitLimits::until(Instant::now() + Duration::from_secs(1));

        let allowed = getrlimit(Resource::Nofile);
        let none = Rlimit {
            current: Some(0),
            ..allowed
        };
        setrlimit(Resource::Nofile, none).expect("a lower limit");
        let sent = gateway
            .exchange
            .send(attempt, &outbound, None, &limits)
            .await;
        setrlimit(Resource::Nofile, allowed).expect("the former limit");

        assert_eq!(gateway.unhealthy(), Vec::<String>::new());
        let outcome = SendError::NotRun(Outcome::ConnectionLimit);
        assert_eq!(sent.err(), Some(outcome));
    });
}
