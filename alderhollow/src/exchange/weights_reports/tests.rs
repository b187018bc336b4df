use super::*;
use crate::balance::Balancer;
use alderhollow_model::backend::BackendState;
use alderhollow_model::identity::Address;
use alderhollow_model::snapshot::Snapshot;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;

const REPORT: &str = r#"{"models":[{"name":"m","config-version":2}]}"#;

/// What comes of a report from a backend that answers with this text and closes the connection.
async fn request_report(answer: &str) -> Result<Report, ReportError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    let backend = Backend {
        id: "b0".into(),
        service: "plain".into(),
        address: Address(listener.local_addr().expect("an address")),
        zone: "z1".into(),
        slots: 6,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    };
    let (_tables, snapshots) = watch::channel(Arc::new(Snapshot::default()));
    let balancer = Rc::new(RefCell::new(Balancer::new("door-1", "z1", 7)));
    let exchange = Exchange::new(Instant::now(), 7, snapshots, balancer);
    let peer = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut request).await.expect("a request");
        }
        stream.write_all(answer.as_bytes()).await.expect("a reader");
    };
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let (report, ()) = tokio::join!(exchange.request_report(&backend, deadline), peer);
    report
}

/// Guards against a version of the weights that only a damaged report shows.
#[tokio::test]
async fn a_malformed_report_shows_no_version_of_the_weights() {
    let length = REPORT.len();
    let chunked = format!("{length:x}\r\n{REPORT}\r\n0\r\n\r\n");
    for malformed in [
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkd\r\n\r\n{REPORT}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n{chunked}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nin side: x\r\n\r\n{REPORT}"),
        format!("HTTP/1.1 000 OK\r\nContent-Length: {length}\r\n\r\n{REPORT}"),
    ] {
        let report = request_report(&malformed).await;
        assert!(
            matches!(report, Err(ReportError::Broken)),
            "{malformed:?}: {report:?}"
        );
    }
    let sound = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n{chunked}");
    let report = request_report(&sound).await.expect("a report");
    assert_eq!(report.models.len(), 1);
}
