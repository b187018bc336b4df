//! The gateway process under measurement, and its resource usage as reported by the kernel.

use crate::standins::Fleet;
use serde_json::{json, Value};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Unit of the CPU times in `/proc/PID/stat`.
const CLOCK_TICK_US: f64 = 10_000.0;

pub(crate) struct GatewayProcess {
    child: Child,
    folder: PathBuf,
    pub address: SocketAddr,
}

/// Resource usage of the process so far.
#[derive(Clone, Copy, Default)]
pub(crate) struct ResourceUsage {
    /// CPU time in microseconds, user and system.
    pub cpu: f64,
    /// The part of the CPU time spent in user mode.
    pub user: f64,
    /// Number of voluntary context switches, each of which ends in a wake-up.
    pub wake_ups: f64,
    pub resident_kib: f64,
    pub descriptors: f64,
}

impl GatewayProcess {
    /// Starts one of `gateways` gateways in front of `fleet` and waits until it listens.
    pub(crate) fn start(program: &Path, fleet: &Fleet, gateways: u32) -> GatewayProcess {
        let free_address = || {
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
                .and_then(|listener| listener.local_addr())
                .expect("a free port on loopback")
        };
        let address = free_address();
        let folder =
            std::env::temp_dir().join(format!("cost-{}-{}", std::process::id(), address.port()));
        fs::create_dir_all(&folder).expect("the temporary folder is created");
        let file = folder.join("config.json");
        fs::write(&file, config(address, fleet, gateways).to_string())
            .expect("the configuration is written");
        let child = Command::new(program)
            .env("BALANCER_CONFIG", &file)
            .env("TMPDIR", &folder)
            .env_remove("BALANCER_ADMIN_ADDR")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {}: {error}", program.display()));
        let gateway = GatewayProcess {
            child,
            folder,
            address,
        };
        let deadline = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(address).is_err() {
            assert!(
                Instant::now() < deadline,
                "{} does not listen",
                program.display()
            );
            thread::sleep(Duration::from_millis(5));
        }
        gateway
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn resource_usage(&self) -> ResourceUsage {
        let read_proc = |name: &str| {
            fs::read_to_string(format!("/proc/{}/{name}", self.pid()))
                .expect("the process entry in /proc is readable")
        };
        let status = read_proc("status");
        let status_field = |name: &str| -> f64 {
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix(name))
                .expect("the status has the field");
            line.trim()
                .trim_end_matches("kB")
                .trim()
                .parse()
                .expect("the field is a number")
        };
        let stat = read_proc("stat");
        let ticks: Vec<f64> = stat.rsplit_once(')').map_or(Vec::new(), |(_, fields)| {
            fields
                .split_ascii_whitespace()
                .skip(11)
                .take(2)
                .filter_map(|field| field.parse().ok())
                .collect()
        });
        // The first field is the CPU time in nanoseconds, which is finer than clock ticks.
        let schedstat = read_proc("schedstat");
        let cpu_nanos = schedstat
            .split(' ')
            .next()
            .and_then(|field| field.parse::<f64>().ok());
        ResourceUsage {
            cpu: cpu_nanos.map_or_else(
                || ticks.iter().sum::<f64>() * CLOCK_TICK_US,
                |nanos| nanos / 1000.0,
            ),
            user: ticks[0] * CLOCK_TICK_US,
            wake_ups: status_field("voluntary_ctxt_switches:"),
            resident_kib: status_field("VmRSS:"),
            descriptors: fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, Iterator::count)
                as f64,
        }
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn config(address: SocketAddr, fleet: &Fleet, gateways: u32) -> Value {
    let plan = |name: &str, rate: f64| {
        json!({"name": name, "unitsPerS": rate, "storeSize": 2.0 * rate, "concurrency": 0, "price": 1.0,
               "excessWorth": 0.0, "overrunCost": 0.8, "neverOverRate": 0.0, "capDepth": 0.0, "tolerance": 0.0})
    };
    let targets: Vec<Value> = fleet
        .backends
        .iter()
        .enumerate()
        .map(|(index, address)| {
            json!({"uid": format!("s-{index:08x}"), "endpoint": address.to_string(), "az": "a", "model": "m",
                   "pod_group": 0, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0})
        })
        .collect();
    json!({
        "name": "n0", "listen": address.to_string(), "discovery": fleet.discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        "known": {"rev": 1, "all": true, "targets": targets},
        "settings": {
            "areas": ["a", "b"], "balancers": gateways, "ordinal": 0, "zone": 0, "tick": 4.0, "registryMode": "pushed",
            "bounds": {"cancel": true, "connIdle": 4000.0, "connectTimeout": 250.0, "maxAttempts": 4,
                       "maxRetryAfter": 500.0, "mayDuplicate": false, "retryAfter": true},
            "rules": {"cold": 18000.0, "coldFrom": 0.24, "fall": 3000.0, "stopSendingWithin": 500.0, "tipMultiple": 2.0},
            "familyInfo": {"mostUnits": 1, "usePeriod": 500.0},
            "classes": [{"name": "read", "semantics": "free", "group": "all", "dedupWindow": 5000.0, "worth": 1.0,
                         "slo": 1000.0, "deadline": 4000.0, "lateShare": 0.0, "stream": false}],
            "plans": [plan("ample", 1e6), plan("scant", 0.001)],
        },
    })
}
