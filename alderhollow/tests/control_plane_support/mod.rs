//! Gateways of one tier in one process, on loopback, with a platform that lists one backend, and an operator.

use alderhollow::gateway;
use alderhollow::settings::Settings;
use alderhollow_model::identity::Role;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const CONTROL_PORT: u16 = 18_146;
const READY_PORT: u16 = 18_140;
const PLATFORM_PORT: u16 = 18_142;
/// Maximum time for which a test waits.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test with its own network and a time-out.
pub(crate) fn run<F: Future<Output = ()>>(test: impl FnOnce(Net) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let net = Net::new();
    let folder = net.folder.clone();
    let bounded = async {
        tokio::time::timeout(TEST_TIMEOUT, test(net))
            .await
            .expect("ends in time");
    };
    LocalSet::new().block_on(&runtime, bounded);
    let _ = std::fs::remove_dir_all(folder);
}

/// Addresses and folders of one test, different from those of all other tests and runs.
pub(crate) struct Net {
    prefix: String,
    folder: PathBuf,
}

/// An answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

impl Net {
    fn new() -> Net {
        static TESTS: AtomicU8 = AtomicU8::new(1);
        let test = TESTS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let prefix = format!(
            "127.{}.{}",
            1 + process % 250,
            1 + (process / 250 + u32::from(test) * 17) % 250
        );
        let folder = std::env::temp_dir().join(format!("alderhollow-control-{process}-{test}"));
        Net { prefix, folder }
    }

    /// The machine's address, without a port.
    pub(crate) fn ip(&self, machine: u8) -> String {
        format!("{}.{machine}", self.prefix)
    }

    /// A machine's address for operators' calls.
    pub(crate) fn control(&self, machine: u8) -> String {
        format!("{}:{CONTROL_PORT}", self.ip(machine))
    }

    /// Settings of a gateway; the seeds are machines 1 to 3.
    pub(crate) fn settings(&self, machine: u8, has_disk: bool) -> Settings {
        let ip = self.ip(machine);
        let seeds: Vec<String> = (1..=3)
            .map(|seed| format!("{:?}", self.control(seed)))
            .collect();
        let data_dir = self.folder.join(machine.to_string());
        let data_line = match has_disk {
            true => format!("data-dir = {:?}", data_dir.display().to_string()),
            false => String::new(),
        };
        let text = format!(
            r#"
            node = "edge-{machine}"
            role = "door"
            machine-class = "edge"
            serves = ["edge", "control_plane"]
            ip = "{ip}"
            zone = "zone-{machine}"
            region = "north"
            internal-ports = [17660, 17675]
            seeds = [{seeds}]
            first-start = true
            counts-for-quorum = true
            {data_line}
            [zones]
            zone-1 = "north"
            zone-2 = "north"
            zone-3 = "north"
            [listen]
            ready = "{ip}:{READY_PORT}"
            control = "{ip}:{CONTROL_PORT}"
            front = "{ip}:18144"
            [limits]
            cpu-share = 0.5
            cores = 1
            [tolerate]
            machines = 1
            zones = 1
            regions = 0
            [bounds]
            grace-s = 8
            [cloud]
            address = "{platform}:{PLATFORM_PORT}"
            rate-per-s = 42.0
            lag-ms = 800
            "#,
            seeds = seeds.join(", "),
            platform = self.ip(100),
        );
        Settings::parse(&text, Role::Gateway).expect("settings that can be read")
    }

    /// Starts a gateway that runs until the test ends.
    pub(crate) fn start_gateway(&self, machine: u8, has_disk: bool) {
        if has_disk {
            std::fs::create_dir_all(self.folder.join(machine.to_string())).expect("a folder");
        }
        let settings = self.settings(machine, has_disk);
        tokio::task::spawn_local(
            async move { gateway::run(settings).await.expect("the door runs") },
        );
    }

    /// Starts the platform, which lists one backend.
    pub(crate) async fn start_platform(&self) {
        let listener = TcpListener::bind(format!("{}:{PLATFORM_PORT}", self.ip(100)))
            .await
            .expect("the platform's port");
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(list_backends(stream));
            }
        });
    }

    /// Whether a gateway reports that it is ready.
    pub(crate) async fn is_ready(&self, machine: u8) -> bool {
        let url = format!(
            "http://{}:{READY_PORT}/alderhollow/readyz",
            self.ip(machine)
        );
        call(Method::GET, &url, None, "")
            .await
            .is_some_and(|answer| answer.status == StatusCode::OK)
    }

    /// Calls one gateway without following redirects.
    pub(crate) async fn call_once(
        &self,
        machine: u8,
        method: Method,
        path: &str,
    ) -> Option<Answer> {
        call(
            method,
            &format!("http://{}{path}", self.control(machine)),
            None,
            "",
        )
        .await
    }

    /// Calls as operators do: follows two redirects and retries after a 5xx or a broken connection.
    pub(crate) async fn operate(
        &self,
        machine: u8,
        method: Method,
        path: &str,
        if_match: Option<u64>,
        body: &str,
    ) -> Answer {
        loop {
            let mut url = format!("http://{}{path}", self.control(machine));
            for _ in 0..3 {
                let Some(answer) = call(method.clone(), &url, if_match, body).await else {
                    break;
                };
                if answer.status == StatusCode::TEMPORARY_REDIRECT {
                    url = answer.headers["location"]
                        .to_str()
                        .expect("text")
                        .to_string();
                    continue;
                }
                if answer.status.is_server_error() {
                    break;
                }
                return answer;
            }
            tokio::task::yield_now().await;
        }
    }
}

async fn call(method: Method, url: &str, if_match: Option<u64>, body: &str) -> Option<Answer> {
    let uri: http::Uri = url.parse().expect("a URL");
    let authority = uri.authority().expect("an address").to_string();
    let stream = TcpStream::connect(&authority).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::task::spawn_local(connection);
    let path = uri.path_and_query().expect("a path").to_string();
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", authority);
    if let Some(version) = if_match {
        request = request.header("if-match", version.to_string());
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    let answer = sender.send_request(request).await.ok()?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Answer {
        status: head.status,
        headers: head.headers,
        body: String::from_utf8(body.to_vec()).expect("text"),
    })
}

async fn list_backends(mut stream: TcpStream) {
    let list = r#"{"instances":[{"service":"svc","address":"127.0.0.1:9","zone":"zone-1","slots":4,
        "state":"ready","cold-remaining-ms":0,"id":"i-1"}],"next-token":null}"#;
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}",
        list.len()
    );
    let mut request = Vec::new();
    let mut byte = [0; 1];
    while stream.read_exact(&mut byte).await.is_ok() {
        request.push(byte[0]);
        if request.ends_with(b"\r\n\r\n") {
            request.clear();
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
