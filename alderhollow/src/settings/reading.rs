//! From the text of a settings file to [`Settings`].

use super::keys::{Findings, Keys};
use super::{Bounds, Cloud, Listen, MachineLimits, Settings, Tolerate};
use crate::finding::Finding;
use alderhollow_model::identity::Role;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use toml::de::DeTable;

/// Party that clients are, in `serves`.
const EDGE: &str = "edge";
/// Party that operators are, in `serves`.
const CONTROL_PLANE: &str = "control_plane";
/// Party that nobody outside is, in `serves`: the role keeps data.
const STORAGE: &str = "storage";
/// Calls a second to the platform's list where the file does not tell.
const DEFAULT_RATE_PER_S: f64 = 10.0;

/// Reads the text of a settings file.
pub(super) fn read(text: &str, role: Option<Role>) -> Result<Settings, Vec<Finding>> {
    let mut findings = Findings::new(text);
    let table = match DeTable::parse(text) {
        Ok(table) => table,
        Err(error) => {
            let span = error.span().unwrap_or(0..0);
            findings.add_at(span, format!("not TOML: {}", error.message()));
            return Err(findings.into_vec());
        }
    };
    let top = Keys::top(table.get_ref());
    let role = role.or_else(|| role_by_parties(&top.text_list(&mut Findings::new(text), "serves")));
    let settings = read_top(top, role, &mut findings);
    let found = findings.into_vec();
    match settings {
        Some(settings) if found.is_empty() => Ok(settings),
        _ => Err(found),
    }
}

/// The role that a file is for, by the parties that it serves.
fn role_by_parties(serves: &[String]) -> Option<Role> {
    let serves_party = |party: &str| serves.iter().any(|served| served == party);
    if serves_party(EDGE) {
        return Some(Role::Gateway);
    }
    if serves_party(CONTROL_PLANE) {
        return Some(Role::Core);
    }
    serves_party(STORAGE).then_some(Role::Store)
}

/// `None` only together with findings.
fn read_top(top: Keys, role: Option<Role>, findings: &mut Findings) -> Option<Settings> {
    let node = top.required_text(findings, "node", "the name of this machine");
    let ip = top.required_ip(findings, "ip");
    let zone = top.required_text(findings, "zone", "the name of this machine's zone");
    let ports = top.required_ports(findings, "internal-ports");
    let seeds = top.required_addresses(findings, "seeds");
    let first_start = top.required_flag(findings, "first-start");
    let counts_for_quorum = top.flag(findings, "counts-for-quorum", true);
    let data_dir = top.text(findings, "data-dir").map(PathBuf::from);
    let serves = top.text_list(findings, "serves");
    match role {
        Some(Role::Store) if data_dir.is_none() => findings
            .add("`data-dir` is missing: a store keeps batch jobs, set it to a folder on the machine's disk"),
        Some(Role::Core) => check_core(data_dir.is_some(), &serves, findings),
        _ => (),
    }
    let listen = read_listen(top.table("listen", findings), role, &serves, findings);
    let role_name = top.text(findings, "role").unwrap_or_default();
    let machine_class = top.text(findings, "machine-class").unwrap_or_default();
    let region = top.text(findings, "region").unwrap_or_default();
    let contracts = top.text_list(findings, "contracts");
    let log_level = top.log_level(findings, "log-level");
    let mut zones: BTreeMap<String, String> = top
        .table("zones", findings)
        .texts(findings)
        .into_iter()
        .collect();
    let limits = read_limits(top.table("limits", findings), findings);
    let tolerate = read_tolerate(top.table("tolerate", findings), findings);
    let bounds = read_bounds(top.table("bounds", findings), findings);
    let cloud = read_cloud(top.table("cloud", findings), role, findings);
    let zone = zone?;
    zones.entry(zone.clone()).or_insert_with(|| region.clone());
    let (first_port, last_port) = ports?;
    Some(Settings {
        node: node?,
        role: role_name,
        machine_class,
        serves,
        ip: ip?,
        zone,
        region,
        internal_ports: first_port..=last_port,
        seeds: seeds?,
        first_start: first_start?,
        counts_for_quorum,
        data_dir,
        contracts,
        zones,
        listen,
        limits,
        tolerate,
        bounds,
        cloud,
        log_level,
    })
}

/// What a process of the core must have besides addresses.
fn check_core(has_disk: bool, serves: &[String], findings: &mut Findings) {
    if !has_disk {
        findings.add(
            "`data-dir` is missing: a process of the core keeps the control state, set it to a folder on the machine's \
             disk, or run `alderhollow door` on machines without one",
        );
    }
    if !serves.iter().any(|party| party == CONTROL_PLANE) {
        findings.add(
            "`serves` lacks \"control_plane\": operators must reach the core, add it to the role in the deploy file",
        );
    }
}

fn read_listen(
    keys: Keys,
    role: Option<Role>,
    serves: &[String],
    findings: &mut Findings,
) -> Listen {
    let serves_party =
        |party: &str| role != Some(Role::Store) && serves.iter().any(|served| served == party);
    let (front, ready) = if serves_party(EDGE) {
        (
            keys.required_address(findings, "front", "clients are served there"),
            keys.required_address(
                findings,
                "ready",
                "the platform asks there whether the door is ready",
            ),
        )
    } else {
        (
            keys.address(findings, "front"),
            keys.address(findings, "ready"),
        )
    };
    let control = if serves_party(CONTROL_PLANE) {
        keys.required_address(findings, "control", "operators are served there")
    } else {
        keys.address(findings, "control")
    };
    Listen {
        front,
        ready,
        control,
    }
}

fn read_limits(keys: Keys, findings: &mut Findings) -> MachineLimits {
    MachineLimits {
        cpu_share: keys.positive(findings, "cpu-share").unwrap_or(1.0),
        cores: keys.positive(findings, "cores").unwrap_or(1.0),
        memory_mb: keys.count(findings, "memory-mb"),
        max_fds: keys.count(findings, "max-fds"),
        link_mbps: keys.number(findings, "link-mbps"),
        disk_mb: keys.count(findings, "disk-mb"),
    }
}

fn read_tolerate(keys: Keys, findings: &mut Findings) -> Tolerate {
    let mut count = |key: &str, default: usize| {
        keys.count(findings, key).map_or(default, |count| {
            usize::try_from(count).unwrap_or(usize::MAX)
        })
    };
    Tolerate {
        machines: count("machines", 1),
        zones: count("zones", 0),
        regions: count("regions", 0),
    }
}

fn read_bounds(keys: Keys, findings: &mut Findings) -> Bounds {
    let ms = Duration::from_millis;
    let s = Duration::from_secs;
    Bounds {
        seed_lag: keys.seconds(findings, "seed-lag-s", s(3)),
        reuse_after: keys.seconds(findings, "reuse-after-s", s(2)),
        contact: keys.milliseconds(findings, "contact-ms", ms(3000)),
        ack: keys.milliseconds(findings, "ack-ms", ms(4000)),
        catch_up: keys.seconds(findings, "catch-up-s", ms(5300)),
        drain: keys.milliseconds(findings, "drain-ms", ms(3000)),
        grace: keys.seconds(findings, "grace-s", s(8)),
        loss_slack: keys.milliseconds(findings, "loss-slack-ms", ms(200)),
        config_apply: keys.milliseconds(findings, "config-apply-ms", ms(2000)),
        rollback_slack: keys.milliseconds(findings, "rollback-slack-ms", ms(250)),
        outer: keys.milliseconds(findings, "outer-ms", ms(5000)),
        cold_over: keys.number(findings, "cold-over").unwrap_or(1.0),
        cold_slack: keys.number(findings, "cold-slack").unwrap_or(0.0),
        evacuate: keys.milliseconds(findings, "evacuate-ms", ms(5000)),
        recover: keys.seconds(findings, "recover-s", s(12)),
        pass: keys.milliseconds(findings, "pass_ms", ms(120)),
        finish: keys.seconds(findings, "finish-s", s(10)),
        status: keys.seconds(findings, "status-s", s(120)),
        cancel: keys.milliseconds(findings, "cancel-ms", ms(3000)),
        settle: keys.milliseconds(findings, "settle-ms", ms(1000)),
        quota_over: keys.number(findings, "quota-over").unwrap_or(0.0),
    }
}

fn read_cloud(keys: Keys, role: Option<Role>, findings: &mut Findings) -> Cloud {
    let address = if matches!(role, Some(Role::Gateway | Role::Core)) {
        keys.required_address(
            findings,
            "address",
            "the platform's list of backends is there",
        )
    } else {
        keys.address(findings, "address")
    };
    Cloud {
        address,
        rate_per_s: keys
            .positive(findings, "rate-per-s")
            .unwrap_or(DEFAULT_RATE_PER_S),
        lag: keys.milliseconds(findings, "lag-ms", Duration::from_millis(800)),
    }
}
