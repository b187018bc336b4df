//! The front door that is measured: a process of the built program, and what the system tells of it.

use crate::standins::Fleet;
use serde_json::{json, Value};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const STARTS_WITHIN: Duration = Duration::from_secs(10);
/// Unit of the processor times in `/proc/PID/stat`.
const TICK_US: f64 = 10_000.0;

pub(crate) struct Door {
    child: Child,
    folder: PathBuf,
    pub address: SocketAddr,
}

/// What the process has used up to now.
#[derive(Clone, Copy, Default)]
pub(crate) struct Used {
    /// Processor time in microseconds: all, and the program's own part of it.
    pub processor: f64,
    pub user: f64,
    /// How often it went to sleep, and so was woken.
    pub wake_ups: f64,
    pub resident_kib: f64,
    pub descriptors: f64,
}

impl Door {
    /// One of so many front doors, before this fleet.
    pub(crate) fn start(program: &Path, fleet: &Fleet, gateways: u32) -> Door {
        let free = || {
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
                .and_then(|at| at.local_addr())
                .expect("a port")
        };
        let address = free();
        let folder =
            std::env::temp_dir().join(format!("cost-{}-{}", std::process::id(), address.port()));
        fs::create_dir_all(&folder).expect("a folder");
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
        let door = Door {
            child,
            folder,
            address,
        };
        let until = Instant::now() + STARTS_WITHIN;
        while TcpStream::connect(address).is_err() {
            assert!(
                Instant::now() < until,
                "{} does not listen",
                program.display()
            );
            thread::sleep(Duration::from_millis(5));
        }
        door
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn used(&self) -> Used {
        let file = |name: &str| {
            fs::read_to_string(format!("/proc/{}/{name}", self.pid()))
                .expect("the system's figures")
        };
        let status = file("status");
        let figure = |name: &str| -> f64 {
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix(name))
                .expect("a figure of the status");
            line.trim()
                .trim_end_matches("kB")
                .trim()
                .parse()
                .expect("a number")
        };
        let stat = file("stat");
        let ticks: Vec<f64> = stat.rsplit_once(')').map_or(Vec::new(), |(_, fields)| {
            fields
                .split_ascii_whitespace()
                .skip(11)
                .take(2)
                .filter_map(|field| field.parse().ok())
                .collect()
        });
        // The first figure is the time on a processor in nanoseconds, finer than ticks.
        let schedule = file("schedstat");
        let all = schedule
            .split(' ')
            .next()
            .and_then(|field| field.parse::<f64>().ok());
        Used {
            processor: all.map_or_else(
                || ticks.iter().sum::<f64>() * TICK_US,
                |nanos| nanos / 1000.0,
            ),
            user: ticks[0] * TICK_US,
            wake_ups: figure("voluntary_ctxt_switches:"),
            resident_kib: figure("VmRSS:"),
            descriptors: fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, Iterator::count)
                as f64,
        }
    }
}

impl Drop for Door {
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
        .map(|(number, at)| {
            json!({"uid": format!("s-{number:08x}"), "endpoint": at.to_string(), "az": "a", "model": "m",
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
