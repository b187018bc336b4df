//! Gateways and processes of the core as processes on loopback, with a platform whose list is empty.
// Each file of tests uses a part of it.
#![allow(dead_code)]

use alderhollow::status;
use alderhollow::status::message::StatusReport;
use alderhollow_standins::http;
use alderhollow_standins::operator::{Operator, Order, OrderAnswer};
use alderhollow_standins::platform::{ListSettings, Platform, PlatformList};
use alderhollow_standins::process::TierProcess;
use alderhollow_standins::settings::{settings_file, Machine, MachineClass, Ports, Site};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, StatusCode};
use serde_json::json;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet};

const PORTS: Ports = Ports {
    front: 18_144,
    ready: 18_140,
    control: 18_146,
    internal: [17_660, 17_675],
};
const PLATFORM_HOST: u8 = 100;
const PLATFORM_PORT: u16 = 18_142;
/// Longest time that a test waits for anything.
const PATIENCE: Duration = Duration::from_secs(60);
/// The settings' `grace-s`.
const GRACE: Duration = Duration::from_secs(8);

/// How a gateway logs its part in the core.
const PARTS: [&str; 3] = ["core: primary", "core: follows", "core: not a member"];

/// Longest time that a read waits for its answer.
const READ_PATIENCE: Duration = Duration::from_secs(10);

/// How one gateway answers a read of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadAnswer {
    /// 200 with this version.
    Version(u64),
    /// Another status.
    NotSure(u16),
    /// None.
    Silence,
}

/// Runs a test with its own tier, within bounded time.
pub(crate) fn run<F: Future<Output = ()>>(test: impl FnOnce(Tier) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let bounded = async {
        let tier = Tier::new().await;
        let folder = tier.folder.clone();
        tokio::time::timeout(PATIENCE, test(tier))
            .await
            .expect("ends in time");
        let _ = std::fs::remove_dir_all(folder);
    };
    LocalSet::new().block_on(&runtime, bounded);
}

/// The gateways of one test: no other test, nor another run of them, has the same addresses and folders.
pub(crate) struct Tier {
    first_octets: [u8; 2],
    folder: PathBuf,
    gateways: BTreeMap<u8, TierProcess>,
    seeds: [u8; 3],
    _platform: Platform,
}

impl Tier {
    async fn new() -> Tier {
        static TESTS: AtomicU8 = AtomicU8::new(1);
        let test = TESTS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let second = 1 + (process / 250 + u32::from(test) * 17) % 250;
        let first_octets =
            [1 + process % 250, second].map(|octet| u8::try_from(octet).expect("below 251"));
        let folder = std::env::temp_dir().join(format!("alderhollow-processes-{process}-{test}"));
        let list = ListSettings {
            lag: Duration::ZERO,
            rate_per_s: 42,
            page_size: 50,
        };
        let platform = SocketAddr::from((ip(first_octets, PLATFORM_HOST), PLATFORM_PORT));
        let platform = Platform::start(platform, PlatformList::new(list, Vec::new())).await;
        let platform = platform.expect("the platform's port");
        Tier {
            first_octets,
            folder,
            gateways: BTreeMap::new(),
            seeds: [1, 2, 3],
            _platform: platform,
        }
    }

    /// Starts the three gateways that found the core.
    pub(crate) async fn found(&mut self) {
        for gateway in 1..=3 {
            self.start(gateway, true, true);
        }
        self.put_config(0, 1).await;
    }

    /// The settings of gateways that start from now on name these gateways as seeds, in place of gateways 1 to 3.
    pub(crate) fn name_seeds(&mut self, seeds: [u8; 3]) {
        self.seeds = seeds;
    }

    /// Starts the three machines of the core's own that found the core.
    pub(crate) async fn found_on_own_machines(&mut self) {
        for machine in 1..=3 {
            self.start_core(machine, true);
        }
        self.put_config(0, 1).await;
    }

    /// Starts a gateway.
    pub(crate) fn start(&mut self, gateway: u8, has_disk: bool, first_start: bool) {
        self.start_machine(MachineClass::Edge, gateway, has_disk, first_start);
    }

    /// Starts a process that keeps the core and serves no clients.
    pub(crate) fn start_core(&mut self, machine: u8, first_start: bool) {
        self.start_machine(MachineClass::Core, machine, true, first_start);
    }

    fn start_machine(
        &mut self,
        class: MachineClass,
        gateway: u8,
        has_disk: bool,
        first_start: bool,
    ) {
        let folder = self.gateway_folder(gateway);
        let data_dir = has_disk.then(|| folder.join("data"));
        std::fs::create_dir_all(data_dir.as_ref().unwrap_or(&folder)).expect("a folder");
        let settings = folder.join("node.toml");
        std::fs::write(
            &settings,
            self.settings(class, gateway, data_dir, first_start),
        )
        .expect("the settings");
        let binary = Path::new(env!("CARGO_BIN_EXE_alderhollow"));
        let name = format!("{}-{gateway}", class.name());
        let process = TierProcess::start(
            &name,
            binary,
            class.subcommand(),
            &settings,
            &folder.join("log"),
        );
        self.gateways
            .insert(gateway, process.expect("the door starts"));
    }

    fn settings(
        &self,
        class: MachineClass,
        gateway: u8,
        data_dir: Option<PathBuf>,
        first_start: bool,
    ) -> String {
        let zones = (1..=9)
            .map(|zone| (format!("zone-{zone}"), "north".to_string()))
            .collect();
        let site = Site {
            ports: PORTS,
            zones,
            seeds: self.seeds.iter().map(|seed| self.control(*seed)).collect(),
            platform: SocketAddr::from((ip(self.first_octets, PLATFORM_HOST), PLATFORM_PORT)),
            first_start,
        };
        let machine = Machine {
            node: format!("{}-{gateway}", class.name()),
            class,
            ip: ip(self.first_octets, gateway),
            zone: format!("zone-{gateway}"),
            data_dir,
        };
        settings_file(&site, &machine).expect("settings")
    }

    fn gateway_folder(&self, gateway: u8) -> PathBuf {
        self.folder.join(gateway.to_string())
    }

    fn control(&self, gateway: u8) -> SocketAddr {
        SocketAddr::from((ip(self.first_octets, gateway), PORTS.control))
    }

    /// Kills a gateway at once.
    pub(crate) fn kill(&mut self, gateway: u8) {
        self.gateways
            .remove(&gateway)
            .expect("a door that runs")
            .kill()
            .expect("it is killed");
    }

    /// Takes a killed gateway's disk away.
    pub(crate) fn wipe(&self, gateway: u8) {
        std::fs::remove_dir_all(self.gateway_folder(gateway)).expect("the disk goes");
    }

    /// Halts a gateway until [`Tier::resume`].
    pub(crate) fn pause(&self, gateway: u8) {
        self.gateways[&gateway].pause().expect("the signal is sent");
    }

    /// Lets a halted gateway go on.
    pub(crate) fn resume(&self, gateway: u8) {
        self.gateways[&gateway]
            .resume()
            .expect("the signal is sent");
    }

    /// Tells a gateway that its settings have changed.
    pub(crate) fn hang_up(&self, gateway: u8) {
        self.gateways[&gateway]
            .hang_up()
            .expect("the signal is sent");
    }

    /// Stops a gateway as the platform does; tells whether it ended by itself, without an error, in time.
    pub(crate) async fn stop(&mut self, gateway: u8) -> bool {
        let mut process = self.gateways.remove(&gateway).expect("a door that runs");
        process.terminate().expect("the signal is sent");
        process
            .wait(GRACE)
            .await
            .expect("it can be waited for")
            .is_some_and(|status| status.success())
    }

    /// Whether a gateway has ended.
    pub(crate) fn has_ended(&mut self, gateway: u8) -> bool {
        !matches!(
            self.gateways.get_mut(&gateway).expect("a door").ended(),
            Ok(None)
        )
    }

    /// What a gateway has logged.
    pub(crate) fn log(&self, gateway: u8) -> String {
        std::fs::read_to_string(self.gateway_folder(gateway).join("log")).unwrap_or_default()
    }

    /// Waits until a gateway has logged a text.
    pub(crate) async fn until_logged(&self, gateway: u8, text: &str) {
        while !self.log(gateway).contains(text) {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until a gateway's disk is a member of the core, and the change that made it one has ended.
    pub(crate) async fn until_member(&self, gateway: u8) {
        let is_member = |log: String| {
            let last = log
                .lines()
                .rfind(|line| line.contains("core: members"))
                .map(str::to_string);
            last.is_some_and(|line| !line.contains("joint with the former members"))
        };
        while !is_member(self.log(gateway)) {
            tokio::task::yield_now().await;
        }
    }

    /// Version of the configuration as one process answers or redirects.
    pub(crate) async fn config_version_at(&self, gateway: u8) -> Option<u64> {
        let operator = Operator::new(vec![self.control(gateway)]);
        let answer = operator
            .send(&Order::get_config())
            .await
            .expect("a clear answer");
        serde_json::from_slice::<serde_json::Value>(&answer.body).ok()?["config-version"].as_u64()
    }

    /// What a process says of itself.
    pub(crate) async fn status(&self, gateway: u8) -> StatusReport {
        let address = SocketAddr::from((ip(self.first_octets, gateway), PORTS.internal[0]));
        status::ask(address).await.expect("a status")
    }

    /// Waits until a gateway calls itself ready.
    pub(crate) async fn until_ready(&self, gateway: u8) {
        let address = SocketAddr::from((ip(self.first_octets, gateway), PORTS.ready));
        loop {
            let request = Request::get("/alderhollow/readyz").header("host", address.to_string());
            let request = request.body(Full::new(Bytes::new())).expect("a request");
            let answer = http::call(address, request, PATIENCE).await;
            if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// The gateway that answers for the core itself.
    pub(crate) async fn primary(&self) -> u8 {
        loop {
            for gateway in self.gateways.keys() {
                let log = self.log(*gateway);
                let last = log
                    .lines()
                    .rfind(|line| PARTS.iter().any(|part| line.contains(part)));
                if last.is_some_and(|line| line.contains(PARTS[0])) {
                    return *gateway;
                }
            }
            tokio::task::yield_now().await;
        }
    }

    /// Has the gateways that run take a configuration; the answer's status.
    pub(crate) async fn put_config(&self, base: u64, version: u64) -> u16 {
        self.operate(&Order::put_config(base, config(version)))
            .await
            .status
    }

    /// Version of the configuration as read back.
    pub(crate) async fn config_version(&self) -> Option<u64> {
        let answer = self.operate(&Order::get_config()).await;
        serde_json::from_slice::<serde_json::Value>(&answer.body).ok()?["config-version"].as_u64()
    }

    /// Begins to read the configuration at one gateway; the answer is waited for in the background, without following it.
    pub(crate) fn begin_read(&self, gateway: u8) -> JoinHandle<ReadAnswer> {
        let address = self.control(gateway);
        tokio::task::spawn_local(
            async move { read_at(address).await.unwrap_or(ReadAnswer::Silence) },
        )
    }

    async fn operate(&self, order: &Order) -> OrderAnswer {
        let operator = Operator::new(
            self.gateways
                .keys()
                .map(|gateway| self.control(*gateway))
                .collect(),
        );
        operator.send(order).await.expect("a clear answer")
    }
}

async fn read_at(address: SocketAddr) -> Result<ReadAnswer, http::CallError> {
    let order = Order::get_config();
    let request = Request::builder()
        .method(order.method)
        .uri(order.path)
        .header("host", address.to_string());
    let answer = http::call(
        address,
        request.body(Full::new(Bytes::new()))?,
        READ_PATIENCE,
    )
    .await?;
    if answer.status() != StatusCode::OK {
        return Ok(ReadAnswer::NotSure(answer.status().as_u16()));
    }
    let body = http::read_whole(answer.into_body(), READ_PATIENCE).await?;
    let document: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
    Ok(ReadAnswer::Version(
        document["config-version"].as_u64().expect("a version"),
    ))
}

fn ip([first, second]: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, first, second, host)
}

fn config(version: u64) -> Vec<u8> {
    json!({
        "config-version": version,
        "routes": [{
            "name": "r-1", "hostname": "shop.example", "path-prefix": "/a/", "route-type": "idempotent",
            "timeout-ms": 1000, "target-latency-ms": 100, "priority": 0, "service": "svc", "max-attempts": 2
        }],
        "services": [{"name": "svc", "health-path": "/healthz", "max-conns": 10}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000}
    })
    .to_string()
    .into_bytes()
}
