//! The tier's processes and the stand-ins around them.

use crate::configuration::{HEALTH_PATH, SERVICE};
use crate::report::Report;
use alderhollow_standins::backend::{Backend, BackendSettings};
use alderhollow_standins::platform::{ListSettings, Platform, PlatformList};
use alderhollow_standins::process::TierProcess;
use alderhollow_standins::settings::{
    settings_file, Machine, MachineClass, Ports, Site, PLATFORM_LAG_MS, PLATFORM_RATE_PER_S,
};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

const ZONES: [&str; 3] = ["east", "middle", "west"];
const REGION: &str = "coast";
const PORTS: Ports = Ports {
    front: 18144,
    ready: 18140,
    control: 18146,
    internal: [17660, 17675],
};
const PLATFORM: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::new(127, 0, 0, 4)), 18142);
const BACKEND_PORT: u16 = 18080;
/// Last parts of the addresses 127.0.0.x, one for each zone.
const GATEWAYS: [u8; 3] = [11, 12, 13];
const STORES: [u8; 3] = [21, 22, 23];
const BACKENDS: [u8; 3] = [31, 32, 33];
/// How long a process may take to end after SIGTERM; the settings' `grace-s`.
const GRACE: Duration = Duration::from_secs(8);
/// Time between two looks whether a process has ended.
const END_POLL: Duration = Duration::from_millis(200);

/// A machine of the tier and the process that runs on it.
struct Node {
    class: MachineClass,
    zone: &'static str,
    host: u8,
    process: TierProcess,
}

/// The tier's processes.
pub(crate) struct Processes {
    folder: PathBuf,
    nodes: Vec<Node>,
}

/// What stands around the processes.
pub(crate) struct Surroundings {
    /// The platform's list.
    pub platform: Platform,
    /// The model backends.
    pub backends: Vec<Backend>,
}

impl Surroundings {
    /// Starts the stand-ins.
    pub(crate) async fn start() -> io::Result<Surroundings> {
        let mut backends = Vec::new();
        for (zone, host) in ZONES.iter().zip(BACKENDS) {
            backends.push(start_backend(zone, host).await?);
        }
        let settings = ListSettings {
            lag: Duration::from_millis(PLATFORM_LAG_MS),
            rate_per_s: PLATFORM_RATE_PER_S,
            page_size: 50,
        };
        let listed = backends.iter().map(Backend::listed).collect();
        let platform = Platform::start(PLATFORM, PlatformList::new(settings, listed)).await?;
        Ok(Surroundings { platform, backends })
    }

    /// Clients' addresses of the gateways.
    pub(crate) fn fronts(&self) -> Vec<SocketAddr> {
        addresses(PORTS.front)
    }

    /// Readiness addresses of the gateways.
    pub(crate) fn readiness(&self) -> Vec<SocketAddr> {
        addresses(PORTS.ready)
    }

    /// Operators' addresses of the gateways.
    pub(crate) fn controls(&self) -> Vec<SocketAddr> {
        addresses(PORTS.control)
    }
}

impl Processes {
    /// Starts three gateways and three stores, with their files below `folder`.
    pub(crate) fn start(binary: &Path, folder: &Path) -> io::Result<Processes> {
        let gateways = ZONES
            .iter()
            .zip(GATEWAYS)
            .map(|(zone, host)| (MachineClass::Edge, *zone, host));
        let stores = ZONES
            .iter()
            .zip(STORES)
            .map(|(zone, host)| (MachineClass::Storage, *zone, host));
        let start = |(class, zone, host)| {
            let process = start_process(binary, folder, true, class, zone, host)?;
            Ok(Node {
                class,
                zone,
                host,
                process,
            })
        };
        Ok(Processes {
            folder: folder.to_path_buf(),
            nodes: gateways
                .chain(stores)
                .map(start)
                .collect::<io::Result<_>>()?,
        })
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Ends one process and starts it again from another build, with its settings and data.
    pub(crate) async fn replace(&mut self, index: usize, binary: &Path, report: &mut Report) {
        let Some(node) = self.nodes.get_mut(index) else {
            return;
        };
        let name = node.process.name().to_string();
        if let Err(error) = node.process.terminate() {
            report.failed(format!("{name} can't be asked to end: {error}"));
        }
        match node.process.wait(GRACE).await {
            Ok(Some(status)) if status.success() => {}
            other => report.failed(format!("{name} did not end as asked: {other:?}")),
        }
        match start_process(
            binary,
            &self.folder,
            false,
            node.class,
            node.zone,
            node.host,
        ) {
            Ok(process) => {
                node.process = process;
                report.good(format!("{name} restarted with {}", binary.display()));
            }
            Err(error) => report.failed(format!("{name} can't be started again: {error}")),
        }
    }

    /// Waits until one of them has ended by itself; gives its name.
    pub(crate) async fn first_end(&mut self) -> String {
        loop {
            for node in &mut self.nodes {
                if !matches!(node.process.ended(), Ok(None)) {
                    return node.process.name().to_string();
                }
            }
            tokio::time::sleep(END_POLL).await;
        }
    }

    /// Ends all processes: asks first, kills after the grace.
    pub(crate) async fn stop(&mut self, report: &mut Report) {
        for process in self.nodes.iter_mut().map(|node| &mut node.process) {
            match process.ended() {
                Ok(None) => {}
                other => {
                    report.failed(format!("{} had ended by itself: {other:?}", process.name()));
                }
            }
            if let Err(error) = process.terminate() {
                report.failed(format!("{} can't be asked to end: {error}", process.name()));
            }
        }
        for process in self.nodes.iter_mut().map(|node| &mut node.process) {
            match process.wait(GRACE).await {
                Ok(Some(status)) => report.check(
                    status.success(),
                    format!("{} ended: {status}", process.name()),
                ),
                Ok(None) => report.failed(format!("{} had to be killed", process.name())),
                Err(error) => {
                    report.failed(format!("{} can't be waited for: {error}", process.name()));
                }
            }
        }
    }
}

fn addresses(port: u16) -> Vec<SocketAddr> {
    GATEWAYS
        .iter()
        .map(|host| SocketAddr::from((loopback(*host), port)))
        .collect()
}

fn loopback(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, host)
}

async fn start_backend(zone: &str, host: u8) -> io::Result<Backend> {
    let settings = BackendSettings {
        id: format!("i-{zone}"),
        service: SERVICE.into(),
        zone: zone.into(),
        slots: 16,
        health_path: HEALTH_PATH.into(),
        event_pause: Duration::from_millis(20),
        keep_alive_s: 10,
    };
    Backend::start(SocketAddr::from((loopback(host), BACKEND_PORT)), settings).await
}

fn site(first_start: bool) -> Site {
    Site {
        ports: PORTS,
        zones: ZONES
            .iter()
            .map(|zone| (zone.to_string(), REGION.to_string()))
            .collect::<BTreeMap<_, _>>(),
        seeds: addresses(PORTS.control),
        platform: PLATFORM,
        first_start,
    }
}

fn start_process(
    binary: &Path,
    folder: &Path,
    first_start: bool,
    class: MachineClass,
    zone: &str,
    host: u8,
) -> io::Result<TierProcess> {
    let node = format!("{}-{zone}-1", class.name());
    let own_folder = folder.join(&node);
    let data_dir = own_folder.join("data");
    std::fs::create_dir_all(&data_dir)?;
    let machine = Machine {
        node: node.clone(),
        class,
        ip: loopback(host),
        zone: zone.into(),
        data_dir: Some(data_dir),
    };
    let settings = own_folder.join("node.toml");
    let text = settings_file(&site(first_start), &machine).map_err(io::Error::other)?;
    std::fs::write(&settings, text)?;
    TierProcess::start(
        &node,
        binary,
        class.subcommand(),
        &settings,
        &own_folder.join("log"),
    )
}
