//! A process without a free descriptor. The limit holds for the whole process, so this file has no other test.

mod support;

use alderhollow::balance::Outcome;
use alderhollow::exchange::evidence::{Evidence, SendError};
use alderhollow::exchange::wait_limits::WaitLimits;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::time::Duration;
use support::gateway::{outbound, selection, Gateway};
use support::run;
use tokio::time::Instant;

/// Guards against backends that are ejected because their sender has no descriptor left for a connection.
#[test]
fn a_process_without_descriptors_ejects_no_backend() {
    run(async {
        let gateway = Gateway::start(1).await;
        let outbound = outbound("/once/1");
        let attempt = gateway.exchange.choose(&selection()).expect("a backend");
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
        let outcome = SendError {
            evidence: Evidence::NothingWritten,
            outcome: Outcome::ConnectionLimit,
        };
        assert_eq!(sent.err(), Some(outcome));
    });
}
