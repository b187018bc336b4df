//! Clients that keep using an open connection until it ends.

use super::record::{Outcome, Route, Sent};
use super::tier_support::{stream_request, SERVICE};
use super::world::World;
use super::Place;
use alderhollow_standins::client::ClientRequest;
use alderhollow_standins::header;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use oorandom::Rand64;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// Clients of each gateway, of the first few.
const CLIENTS_OF_A_GATEWAY: u64 = 2;
const GATEWAYS_WITH_CLIENTS: usize = 24;
const LONGEST_PAUSE_MS: u64 = 60;
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
const PATIENCE: Duration = Duration::from_secs(6);
const TOKENS_OUT: u64 = 60;
const ROUTES: [Route; 3] = [Route::Chat, Route::Sale, Route::Switch];

type Connection = SendRequest<Full<Bytes>>;

/// One client of one gateway.
struct Client {
    world: Rc<World>,
    name: String,
    gateway: Place,
    address: SocketAddr,
    random: Rand64,
    requests: u64,
}

/// Starts the clients; each acts until `end`.
pub(crate) fn start(world: &Rc<World>, seed: u64, end: Instant) -> Vec<JoinHandle<()>> {
    let mut clients = Vec::new();
    for (index, gateway) in world
        .gateways
        .iter()
        .take(GATEWAYS_WITH_CLIENTS)
        .enumerate()
    {
        for number in 0..CLIENTS_OF_A_GATEWAY {
            let client = Client {
                world: world.clone(),
                name: format!("s{seed}-g{index}-c{number}"),
                gateway: *gateway,
                address: world.tier.borrow().front(*gateway),
                random: Rand64::new(
                    u128::from(seed) << 32 | (index as u128) << 8 | u128::from(number),
                ),
                requests: 0,
            };
            clients.push(tokio::task::spawn_local(client.run(end)));
        }
    }
    clients
}

impl Client {
    async fn run(mut self, end: Instant) {
        let mut connection = None;
        while Instant::now() < end {
            let open = match connection.take() {
                Some(open) => Some(open),
                None => connect(self.address).await,
            };
            let Some(mut open) = open else {
                sleep(RECONNECT_PAUSE).await;
                continue;
            };
            if open.ready().await.is_ok() && self.send(&mut open).await {
                connection = Some(open);
            }
            sleep(Duration::from_millis(
                self.random.rand_range(0..LONGEST_PAUSE_MS),
            ))
            .await;
        }
    }

    /// Sends one request; tells whether the connection may be used again.
    async fn send(&mut self, connection: &mut Connection) -> bool {
        self.requests += 1;
        let id = format!("{}-{}", self.name, self.requests);
        let route = ROUTES[self.random.rand_range(0..ROUTES.len() as u64) as usize];
        let mut request = stream_request(&id, route.name(), TOKENS_OUT);
        let expected_version = self.world.versions.get().draw(&mut self.random);
        if let Some(version) = expected_version {
            let name = header::EXPECT_VERSION.to_string();
            request.headers.push((name, version.to_string()));
        }
        let sent = Sent {
            gateway: self.gateway,
            route,
            expected_version,
            at: Instant::now(),
            ended: None,
        };
        self.world.record.borrow_mut().sent.insert(id.clone(), sent);
        let outcome = timeout(PATIENCE, exchange(connection, &request)).await;
        let outcome = outcome.unwrap_or(Outcome::GivenUp);
        if let Some(sent) = self.world.record.borrow_mut().sent.get_mut(&id) {
            sent.ended = Some((Instant::now(), outcome));
        }
        matches!(outcome, Outcome::Answered(_))
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(PATIENCE, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}

async fn exchange(connection: &mut Connection, request: &ClientRequest) -> Outcome {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(&request.path)
        .header("host", &request.host)
        .header(header::REQUEST_ID, &request.id)
        .header(header::DEADLINE_MS, PATIENCE.as_millis().to_string());
    for (name, value) in &request.headers {
        builder = builder.header(name, value);
    }
    let body = Full::new(Bytes::copy_from_slice(&request.body));
    let request = builder.body(body).expect("a request");
    let Ok(answer) = connection.send_request(request).await else {
        return Outcome::Cut;
    };
    let status = answer.status().as_u16();
    match answer.into_body().collect().await {
        Ok(_) => Outcome::Answered(status),
        Err(_) => Outcome::Cut,
    }
}

/// The services that a route may lead to in any configuration.
pub(crate) fn may_lead_to(route: Route, service: &str) -> bool {
    route == Route::Switch || service == SERVICE
}
