//! Backends and clients on loopback sockets.

use alderhollow_standins::backend::{Backend, BackendSettings, Fault};
use alderhollow_standins::client::{send, stream, ClientRequest, StreamEnd};
use alderhollow_standins::events::whole_text;
use alderhollow_standins::header;
use std::future::Future;
use std::time::Duration;
use tokio::task::LocalSet;

async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

async fn backend(slots: u32) -> Backend {
    let settings = BackendSettings {
        id: "i-1".into(),
        service: "model".into(),
        zone: "east".into(),
        slots,
        health_path: "/healthz".into(),
        event_pause: Duration::ZERO,
        keep_alive_s: 5,
    };
    Backend::start("127.0.0.1:0".parse().unwrap(), settings)
        .await
        .unwrap()
}

fn request(id: &str, headers: &[(&str, &str)]) -> ClientRequest {
    ClientRequest {
        id: id.into(),
        host: "shop.example".into(),
        path: "/chat/1".into(),
        headers: headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect(),
        body: b"prompt".to_vec(),
        patience: Duration::from_secs(5),
    }
}

#[tokio::test]
async fn a_stream_comes_whole_with_its_seal() {
    local(async {
        let backend = backend(4).await;
        let answer = stream(
            backend.address(),
            &request("r1", &[(header::TOKEN_USAGE, "100,130")]),
        )
        .await
        .unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.seal.as_deref(), Some("i-1.r1.1"));
        assert!(answer.is_whole_from(1));
        assert_eq!(answer.text(), whole_text("r1", 7));
        let runs = backend.runs();
        assert_eq!(
            (runs.len(), runs[0].path.as_str(), runs[0].body.as_slice()),
            (1, "/chat/1", &b"prompt"[..])
        );
        assert!(runs[0].is_whole);
    })
    .await;
}

#[tokio::test]
async fn a_stream_goes_on_behind_the_last_event_of_another() {
    local(async {
        let backend = backend(4).await;
        backend.fail_next(&[Fault::CutAfter(2)]);
        let first = stream(backend.address(), &request("r1", &[]))
            .await
            .unwrap();
        assert!(matches!(first.end, StreamEnd::Broken(_)), "{first:?}");
        assert_eq!(first.events.len(), 2);
        let rest = stream(
            backend.address(),
            &request("r1", &[(header::LAST_EVENT_ID, "2")]),
        )
        .await
        .unwrap();
        assert!(rest.is_whole_from(3));
        assert_eq!(
            format!("{}\n{}", first.text(), rest.text()),
            whole_text("r1", 5)
        );
        assert_eq!(
            backend
                .runs()
                .iter()
                .map(|run| run.is_whole)
                .collect::<Vec<_>>(),
            [false, true]
        );
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_silent_backend_is_given_up_and_its_slot_is_free_again() {
    local(async {
        let backend = backend(1).await;
        backend.fail_next(&[Fault::SilentAfter(1)]);
        let silent = stream(backend.address(), &request("r1", &[]))
            .await
            .unwrap();
        assert_eq!(silent.events.len(), 1);
        assert!(matches!(silent.end, StreamEnd::Broken(_)));
        // The backend notices that the connection is closed when it next looks.
        while send(backend.address(), &request("r2", &[]))
            .await
            .unwrap()
            .status
            != 200
        {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

#[tokio::test]
async fn a_backend_runs_nothing_that_is_for_another_one() {
    local(async {
        let backend = backend(4).await;
        let other = send(
            backend.address(),
            &request("r1", &[(header::TARGET_INSTANCE, "i-2")]),
        )
        .await
        .unwrap();
        assert_eq!((other.status, other.seal), (421, None));
        let own = send(
            backend.address(),
            &request("r2", &[(header::TARGET_INSTANCE, "i-1")]),
        )
        .await
        .unwrap();
        assert_eq!(own.status, 200);
        assert_eq!(backend.runs().len(), 1);
        assert_eq!(backend.refused(), 1);
    })
    .await;
}

#[tokio::test]
async fn faults_come_in_order_and_once() {
    local(async {
        let backend = backend(4).await;
        backend.fail_next(&[Fault::Refuse, Fault::Fail, Fault::Reject]);
        let mut statuses = Vec::new();
        for id in ["r1", "r2", "r3", "r4"] {
            let answer = send(backend.address(), &request(id, &[])).await.unwrap();
            assert_eq!(answer.request_id.as_deref(), Some(id));
            statuses.push(answer.status);
        }
        assert_eq!(statuses, [503, 500, 422, 200]);
        assert_eq!(backend.runs().len(), 3);
    })
    .await;
}

#[tokio::test]
async fn a_full_backend_refuses_without_running() {
    local(async {
        let backend = backend(0).await;
        assert_eq!(
            send(backend.address(), &request("r1", &[]))
                .await
                .unwrap()
                .status,
            503
        );
        assert!(backend.runs().is_empty());
    })
    .await;
}

#[tokio::test]
async fn a_draining_backend_says_so_in_list_and_health() {
    local(async {
        let backend = backend(4).await;
        let health = ClientRequest {
            path: "/healthz".into(),
            ..request("h", &[])
        };
        assert_eq!(send(backend.address(), &health).await.unwrap().status, 200);
        backend.drain();
        assert_eq!(send(backend.address(), &health).await.unwrap().status, 503);
        assert_eq!(
            backend.listed().state,
            alderhollow_standins::platform::ListedState::Draining
        );
    })
    .await;
}
