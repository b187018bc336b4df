//! The metrics as they are fetched over a socket, and what they count.

use alderhollow::invariant::{self, Invariant};
use alderhollow::metrics;
use alderhollow::metrics::listener::{self, MetricsPlace, PlaceError};
use alderhollow::metrics::store::RunEndKind;
use hyper::StatusCode;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Longest time that a test waits for anything.
const PATIENCE: Duration = Duration::from_secs(20);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let bounded = async {
        tokio::time::timeout(PATIENCE, test)
            .await
            .expect("ends in time");
    };
    LocalSet::new().block_on(&runtime, bounded);
}

async fn serving() -> SocketAddr {
    let listener = TcpListener::bind((LOOPBACK, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(listener::serve(listener, "/metrics".to_owned()));
    address
}

/// The whole answer to one request, as text.
async fn ask(address: SocketAddr, method: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = format!("{method} {path} HTTP/1.1\r\nhost: metrics\r\nconnection: close\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("a request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

#[test]
fn the_text_is_fetched_from_its_path() {
    run(async {
        let address = serving().await;
        metrics::get().batch_api.offered(1_000);
        metrics::get()
            .batch_api
            .answered(StatusCode::TOO_MANY_REQUESTS, Duration::from_millis(15));
        metrics::get().store.run_ended(RunEndKind::NotRun);
        let answer = ask(address, "GET", "/metrics").await;
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
        assert!(
            answer.contains("content-type: text/plain; version=0.0.4\r\n"),
            "{answer}"
        );
        for line in [
            "# TYPE alderhollow_batch_jobs_offered_total counter",
            "alderhollow_batch_jobs_offered_total 1",
            "alderhollow_batch_jobs_offered_bytes_total 1000",
            "alderhollow_batch_job_answers_total{status=\"429\"} 1",
            "alderhollow_batch_job_answers_total{status=\"202\"} 0",
            "alderhollow_batch_job_answer_seconds_bucket{le=\"0.01\"} 0",
            "alderhollow_batch_job_answer_seconds_bucket{le=\"0.02\"} 1",
            "alderhollow_store_run_ends_total{end=\"not_run\"} 1",
            "alderhollow_internal_sent_bytes_total{kind=\"notice\",service=\"replication\"} 0",
        ] {
            assert!(
                answer.lines().any(|told| told == line),
                "`{line}` is missing in {answer}"
            );
        }
    });
}

#[test]
fn other_paths_and_methods_get_no_text() {
    run(async {
        let address = serving().await;
        assert!(ask(address, "GET", "/").await.starts_with("HTTP/1.1 404 "));
        assert!(ask(address, "GET", "/metrics/more")
            .await
            .starts_with("HTTP/1.1 404 "));
        assert!(ask(address, "POST", "/metrics")
            .await
            .starts_with("HTTP/1.1 405 "));
    });
}

#[test]
fn a_port_that_is_taken_ends_nothing() {
    run(async {
        let taken = TcpListener::bind((LOOPBACK, 0)).await.expect("a port");
        let port = taken.local_addr().expect("an address").port();
        listener::start(
            LOOPBACK,
            MetricsPlace {
                port,
                path: "/metrics".to_owned(),
            },
        )
        .await;
    });
}

#[test]
fn a_place_is_a_port_and_a_path() {
    let place = MetricsPlace {
        port: 9464,
        path: "/metrics".to_owned(),
    };
    assert_eq!("9464/metrics".parse(), Ok(place));
    let refused = |text: &str| text.parse::<MetricsPlace>().expect_err("no place");
    assert_eq!(refused("9464"), PlaceError::NoPath("9464".to_owned()));
    assert_eq!(refused("0/metrics"), PlaceError::Port("0".to_owned()));
    assert_eq!(
        refused("65536/metrics"),
        PlaceError::Port("65536".to_owned())
    );
    assert_eq!(refused("/metrics"), PlaceError::Port(String::new()));
}

/// Each metric is registered, and stands in the operators' page.
#[test]
fn operators_can_read_of_each_metric() {
    let page = include_str!("../../docs/operators-tier.md");
    let text = metrics::get().text();
    let names: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split_once(' '))
        .map(|(name, _)| name)
        .collect();
    let mentioned = page.matches("`alderhollow_").count();
    assert_eq!(
        names.len(),
        mentioned,
        "the page and the program name different metrics: {names:?}"
    );
    for name in names {
        assert!(
            page.contains(&format!("`{name}`")),
            "{name} is missing in the operators' page"
        );
    }
}

#[test]
fn a_violation_is_counted_and_panics_where_tests_run() {
    invariant::check(Invariant::GroupEpochRises, true, || {
        unreachable!("it holds")
    });
    let violate = || {
        invariant::check(Invariant::QuotaAtAcceptance, false, || {
            "11 of 10".to_owned()
        });
    };
    assert!(std::panic::catch_unwind(violate).is_err());
    invariant::tolerate_violations();
    violate();
    let violations = "alderhollow_invariant_violations_total{invariant=\"quota_at_acceptance\"} 2";
    assert!(metrics::get().text().lines().any(|line| line == violations));
}
