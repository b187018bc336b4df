//! The client of batch jobs, against a server that keeps one batch job in memory.

use alderhollow_standins::batch_client::{
    end, item_body, read_to_end, submit, BatchJob, Item, ResultState,
};
use alderhollow_standins::http::{Server, ServerBody};
use hyper::body::Bytes;
use hyper::{Method, Request, Response};
use std::cell::RefCell;
use std::future::{ready, Future};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

const PATIENCE: Duration = Duration::from_secs(5);

async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

fn job() -> BatchJob {
    let items = ["i1", "i2", "i3"]
        .map(|id| Item::new(id, "/lots/x", (500, 40), id.as_bytes()))
        .to_vec();
    BatchJob {
        id: "b1".into(),
        host: "shop.example".into(),
        path: "/lots/b1".into(),
        items,
    }
}

/// Lists one more result with each read, and answers the second read with 503.
async fn store(submitted: Rc<RefCell<Vec<u8>>>) -> Server {
    let reads = Rc::new(RefCell::new(0));
    let handler = move |request: Request<Bytes>| {
        let (status, body) = match (
            request.method(),
            request.uri().path(),
            request.uri().query(),
        ) {
            (&Method::POST, "/lots/b1", None) => {
                *submitted.borrow_mut() = request.body().to_vec();
                (202, String::new())
            }
            (&Method::GET, "/alderhollow/lots/b1", Some(query)) => {
                *reads.borrow_mut() += 1;
                let after: usize = query.strip_prefix("after=").unwrap().parse().unwrap();
                let result = format!(
                    r#"{{"id":"i{}","state":"completed","text":"done"}}"#,
                    after + 1
                );
                let page = format!(
                    r#"{{"total":3,"next-token":{},"results":[{result}]}}"#,
                    after + 1
                );
                if *reads.borrow() == 2 {
                    (503, String::new())
                } else {
                    (200, page)
                }
            }
            (&Method::GET, "/alderhollow/items/b1", Some("id=i2")) => (200, "i2".to_string()),
            (&Method::DELETE, "/alderhollow/lots/b1", None) => (200, String::new()),
            _ => (404, String::new()),
        };
        ready(
            Response::builder()
                .status(status)
                .body(ServerBody::Whole(body.into()))
                .unwrap(),
        )
    };
    Server::start("127.0.0.1:0".parse().unwrap(), handler)
        .await
        .unwrap()
}

#[tokio::test(start_paused = true)]
async fn a_batch_job_is_handed_in_read_to_the_end_and_ended() {
    local(async {
        let submitted = Rc::new(RefCell::new(Vec::new()));
        let server = store(submitted.clone()).await;
        let (gateway, job) = (server.address(), job());
        assert_eq!(submit(gateway, &job, PATIENCE).await.unwrap(), 202);
        let sent: serde_json::Value = serde_json::from_slice(&submitted.borrow()).unwrap();
        assert_eq!(sent["requests"][1]["body"], "aTI=");
        assert_eq!(sent["requests"][1]["tokens"], 540);
        let mut failures = Vec::new();
        let results = read_to_end(&[gateway], &job, &mut failures).await;
        let ids: Vec<&str> = results.iter().map(|result| result.id.as_str()).collect();
        assert_eq!(ids, ["i1", "i2", "i3"]);
        assert!(results
            .iter()
            .all(|result| result.state == ResultState::Completed && result.text == "done"));
        assert_eq!(failures.len(), 1);
        assert_eq!(
            item_body(gateway, &job, "i2", PATIENCE).await.unwrap(),
            Ok(b"i2".to_vec())
        );
        assert_eq!(
            item_body(gateway, &job, "i9", PATIENCE).await.unwrap(),
            Err(404)
        );
        assert_eq!(end(gateway, &job, PATIENCE).await.unwrap(), 200);
    })
    .await;
}
