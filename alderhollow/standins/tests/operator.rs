//! The operator: redirections, further gateways, clear answers.

use alderhollow_standins::http::{Server, ServerBody};
use alderhollow_standins::operator::{Operator, Order};
use hyper::body::Bytes;
use hyper::{Request, Response};
use std::cell::RefCell;
use std::future::{ready, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::LocalSet;

/// What a control address was asked: method, path, `If-Match`.
type Calls = Rc<RefCell<Vec<(String, String, Option<String>)>>>;

async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

/// A control address that gives the same answer always.
async fn control(status: u16, location: Option<String>) -> (Server, Calls) {
    let calls = Calls::default();
    let record = calls.clone();
    let handler = move |request: Request<Bytes>| {
        let if_match = request
            .headers()
            .get("if-match")
            .map(|value| value.to_str().unwrap().to_string());
        let (method, path) = (
            request.method().to_string(),
            request.uri().path().to_string(),
        );
        record.borrow_mut().push((method, path, if_match));
        let mut answer = Response::builder().status(status);
        if let Some(location) = &location {
            answer = answer.header("location", location);
        }
        ready(answer.body(ServerBody::empty()).unwrap())
    };
    (
        Server::start("127.0.0.1:0".parse().unwrap(), handler)
            .await
            .unwrap(),
        calls,
    )
}

/// An address where nobody listens.
fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn redirection(to: SocketAddr) -> Option<String> {
    Some(format!("http://{to}/alderhollow/config"))
}

#[tokio::test]
async fn an_order_follows_a_redirection_unchanged() {
    local(async {
        let (primary, calls) = control(200, None).await;
        let (other, _) = control(307, redirection(primary.address())).await;
        let operator = Operator::new(vec![other.address()]);
        let answer = operator
            .send(&Order::put_config(5, b"{}".to_vec()))
            .await
            .unwrap();
        assert_eq!((answer.status, answer.calls), (200, 1));
        let expected = (
            "PUT".to_string(),
            "/alderhollow/config".to_string(),
            Some("5".to_string()),
        );
        assert_eq!(*calls.borrow(), [expected]);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_order_goes_to_another_gateway_after_a_failure() {
    local(async {
        let gone = free_address();
        let (busy, _) = control(503, None).await;
        let (primary, _) = control(412, None).await;
        let operator = Operator::new(vec![gone, busy.address(), primary.address()]);
        let answer = operator
            .send(&Order::put_config(0, b"{}".to_vec()))
            .await
            .unwrap();
        assert_eq!((answer.status, answer.calls), (412, 3));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn gateways_that_redirect_to_each_other_bring_an_error_in_the_end() {
    local(async {
        let (end, _) = control(307, Some("http://nowhere".into())).await;
        let (start, calls) = control(307, redirection(end.address())).await;
        let operator = Operator {
            max_calls: 3,
            ..Operator::new(vec![start.address()])
        };
        assert!(operator.send(&Order::evacuate("east", true)).await.is_err());
        assert_eq!(calls.borrow().len(), 3);
    })
    .await;
}
