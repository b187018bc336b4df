//! The HTTP server of a gateway over emulated backends.

use super::backend::Backends;
use alderhollow::balance::{Balancer, SelectionRequest};
use alderhollow::batch_api::{unavailable, BatchCall, BatchEndpoints, BatchResponseFuture};
use alderhollow::distribution::validity::TableValidity;
use alderhollow::exchange::outbound::Outbound;
use alderhollow::exchange::Exchange;
use alderhollow::http_server::phase::Phase;
use alderhollow::http_server::{Server, ServerSettings};
use alderhollow_model::backend::{Backend, BackendList, BackendState};
use alderhollow_model::config::Config;
use alderhollow_model::identity::Address;
use alderhollow_model::snapshot::{ControlView, Snapshot};
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::Instant;

/// Paths: `/once/` non-idempotent, `/often/` idempotent, `/tokens/` a stream that may be resumed, `/talk/` one that may
/// not, `/jobs/` batch.
const CONFIG: &str = r#"{"config-version":1,"routes":[
 {"name":"once","hostname":"shop.example","path-prefix":"/once/","route-type":"non_idempotent","timeout-ms":3000,
  "target-latency-ms":300,"service":"plain","max-attempts":3},
 {"name":"often","hostname":"shop.example","path-prefix":"/often/","route-type":"idempotent","timeout-ms":3000,
  "target-latency-ms":300,"service":"plain","max-attempts":2},
 {"name":"tokens","hostname":"shop.example","path-prefix":"/tokens/","route-type":"streaming","timeout-ms":6000,
  "target-latency-ms":250,"service":"plain","max-attempts":2,"resumable":true,"gap_aim_ms":250},
 {"name":"talk","hostname":"shop.example","path-prefix":"/talk/","route-type":"streaming","timeout-ms":6000,
  "target-latency-ms":250,"service":"plain","max-attempts":2,"resumable":false,"gap_aim_ms":250},
 {"name":"jobs","hostname":"shop.example","path-prefix":"/jobs/","route-type":"batch","timeout-ms":6000,
  "service":"plain","max-attempts":2}],
 "services":[{"name":"plain","max-conns":100}],
 "limits":{"max-header-bytes":2000,"max-body-bytes":5000,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

pub(crate) const GRACE: Duration = Duration::from_secs(8);
/// Largest bodies that a gateway over a test's own backends may hold at a time.
const BODIES_IN_MEMORY: usize = 32;

/// Endpoints without stores: each call gets 503.
struct NoStores;

impl BatchEndpoints for NoStores {
    fn serve(&self, _: BatchCall) -> BatchResponseFuture {
        Box::pin(async { unavailable() })
    }
}

pub(crate) struct Gateway {
    pub address: SocketAddr,
    pub backends: Backends,
    pub exchange: Rc<Exchange>,
    balancer: Rc<RefCell<Balancer>>,
    started: Instant,
    pub phase: watch::Sender<Phase>,
    pub snapshots: watch::Sender<Arc<Snapshot>>,
    pub running: JoinHandle<()>,
}

impl Gateway {
    /// A gateway over so many backends, `b0` and on.
    pub(crate) async fn start(count: usize) -> Gateway {
        Gateway::start_with(count, None).await
    }

    /// The same, where only tables with this validity are the newest.
    pub(crate) async fn start_with(count: usize, validity: Option<TableValidity>) -> Gateway {
        let settings = ServerSettings {
            grace: GRACE,
            max_connections: 100,
            body_bytes: 1 << 20,
            validity,
        };
        Gateway::start_with_settings(count, settings).await
    }

    /// The same with settings of its own.
    pub(crate) async fn start_with_settings(count: usize, settings: ServerSettings) -> Gateway {
        let backends = Backends::default();
        let mut list = Vec::new();
        for number in 0..count {
            let id = format!("b{number}");
            let address = Address(backends.start(&id).await);
            list.push(backend(&id, address));
        }
        let (snapshots, receiver) = watch::channel(Arc::new(snapshot(list, true)));
        let balancer = Rc::new(RefCell::new(Balancer::new("door-1", "z1", 7)));
        let started = Instant::now();
        let exchange = Exchange::new(started, 7, receiver, balancer.clone());
        let server = Server::new(settings, exchange.clone(), Rc::new(NoStores));
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (phase, following) = watch::channel(Phase::Running);
        let running = spawn_local(server.run(listener, following));
        Gateway {
            address,
            backends,
            exchange,
            balancer,
            started,
            phase,
            snapshots,
            running,
        }
    }

    /// A gateway over backends of the test's own, that takes bodies of so many bytes.
    pub(crate) async fn start_over(backends: Vec<SocketAddr>, max_body_bytes: u64) -> Gateway {
        let settings = ServerSettings {
            grace: GRACE,
            max_connections: 100,
            body_bytes: BODIES_IN_MEMORY * max_body_bytes as usize,
            validity: None,
        };
        let gateway = Gateway::start_with_settings(0, settings).await;
        let numbered = backends.into_iter().enumerate();
        let list = numbered
            .map(|(number, address)| backend(&format!("b{number}"), Address(address)))
            .collect();
        let initial = snapshot(list, true);
        let config = initial.control.config.as_ref().expect("a configuration");
        let mut config = Config::clone(config);
        config.limits.max_body_bytes = max_body_bytes;
        let control = ControlView {
            version: 2,
            config: Some(Arc::new(config)),
            ..Default::default()
        };
        gateway.snapshots.send_replace(Arc::new(Snapshot {
            control: Arc::new(control),
            ..initial
        }));
        gateway
    }

    /// Changes the list of backends.
    pub(crate) fn list(&self, change: impl Fn(&mut Vec<Backend>)) {
        let mut list = self.snapshots.borrow().backends.backends.clone();
        change(&mut list);
        self.snapshots.send_replace(Arc::new(snapshot(list, true)));
    }

    /// The backends that get requests only after a backoff.
    pub(crate) fn unhealthy(&self) -> Vec<String> {
        let now_ms = self.started.elapsed().as_secs_f64() * 1000.0;
        self.balancer.borrow().unhealthy(now_ms, "plain")
    }

    pub(crate) fn drain_all(&self) {
        self.list(|list| {
            list.iter_mut()
                .for_each(|backend| backend.state = BackendState::Draining);
        });
    }
}

pub(crate) fn backend(id: &str, address: Address) -> Backend {
    Backend {
        id: id.into(),
        service: "plain".into(),
        address,
        zone: "z1".into(),
        slots: 6,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    }
}

pub(crate) fn snapshot(backends: Vec<Backend>, validated: bool) -> Snapshot {
    let config: Config = serde_json::from_str(CONFIG).expect("a configuration");
    Snapshot {
        control: Arc::new(ControlView {
            version: 1,
            config: Some(Arc::new(config)),
            ..Default::default()
        }),
        backends: Arc::new(BackendList {
            epoch: 1,
            sequence: 1,
            backends,
        }),
        validated,
        ..Default::default()
    }
}

/// A request to the shop with the id `r1`.
pub(crate) fn request(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\nDeadline-Ms: 2500\r\n{headers}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// What a request for `/once/` needs of a backend.
pub(crate) fn selection() -> SelectionRequest<'static> {
    SelectionRequest {
        service: "plain",
        prompt: None,
        priority: 0,
        tried: &[],
        expected_weights: None,
        sender: None,
    }
}

/// A request to a backend with the id `r1` and no body.
pub(crate) fn outbound(path: &'static str) -> Outbound {
    let mut headers = HeaderMap::new();
    headers.insert("request-id", HeaderValue::from_static("r1"));
    let uri = Uri::from_static(path);
    Outbound::new(Method::POST, &uri, headers, Bytes::new()).expect("a request")
}
