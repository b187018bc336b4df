//! The shard map across several gateway processes: proposals in the configuration of any gateway, shard owners that are
//! stopped during a move, and fault injection runs in which the leader and shard owners are killed, stopped and
//! partitioned. The tests check the recorded run, or each process's answers to the calls `shards` and `owner`.

mod stage;

use fault_lab::scripted::{closed_port, config, list, unused_port, Front, Program};
use rustix::process::Signal;
use serde_json::{json, Value};
use stage::{assert_checks_pass, run_scenario, SMALL};
use std::net::SocketAddr;
use std::process::Stdio;
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};
/// Number of keys that the shard map covers.
const KEY_COUNT: u64 = 1 << 33;
const LEASE_MS: u64 = 1000;

/// The configurations of `count` gateways in one peer set with a shard map.
fn gateway_configs(count: usize) -> Vec<Value> {
    let mut all: Vec<Value> = (0..count)
        .map(|_| config(closed_port(), list(&[])))
        .collect();
    let port = |config: &Value| {
        let address: SocketAddr = config["listen"]
            .as_str()
            .expect("a string")
            .parse()
            .expect("an address");
        SocketAddr::from((address.ip(), unused_port())).to_string()
    };
    let ports: Vec<String> = all.iter().map(port).collect();
    for (n, config) in all.iter_mut().enumerate() {
        let others = (0..count).filter(|other| *other != n);
        let peers: Vec<Value> = others
            .map(|other| json!({"name": format!("n{other}"), "address": ports[other]}))
            .collect();
        config["name"] = json!(format!("n{n}"));
        config["fleet"] = json!({"listen": ports[n], "peers": peers, "probe_ms": 200, "lease_ms": LEASE_MS,
                                 "shards": {"count": 12}});
    }
    all
}

/// The same configuration with a proposed shard map that replaces version `expected_version`.
fn with_proposal(config: &Value, expected_version: u64, map: &[(u64, u64, &str)]) -> Value {
    let mut config = config.clone();
    let ranges: Vec<Value> = map
        .iter()
        .map(|(from, to, owner)| json!({"from": from, "to": to, "keeper": owner}))
        .collect();
    config["fleet"]["shards"]["expect"] = json!(expected_version);
    config["fleet"]["shards"]["map"] = json!(ranges);
    config
}

/// The answer of a gateway to a call, which must be JSON.
fn query(gateway: &Front, call: &str) -> Value {
    let answer = gateway.call(call);
    let line = answer
        .strip_suffix("\nend\n")
        .unwrap_or_else(|| panic!("{call}: {answer}"));
    serde_json::from_str(line).expect("an answer in JSON")
}

/// Waits until the answers of all these gateways to a call meet the condition.
fn wait_until(gateways: &[&Front], call: &str, what: &str, condition: impl Fn(&Value) -> bool) {
    let begin = Instant::now();
    for gateway in gateways {
        while !condition(&query(gateway, call)) {
            assert!(
                begin.elapsed() < Duration::from_secs(30),
                "timed out: {what}: {}",
                gateway.call(call)
            );
            sleep(Duration::from_millis(20));
        }
    }
}

/// The key ranges that a gateway owns, as half-open intervals.
fn owned_ranges(gateway: &Front) -> Vec<(u64, u64)> {
    serde_json::from_value(query(gateway, "shards")["mine"].clone()).expect("a list of key ranges")
}

/// Waits until each key has exactly one owner.
fn wait_until_covered(gateways: &[&Front], what: &str) {
    let begin = Instant::now();
    loop {
        let mut all: Vec<(u64, u64)> = gateways
            .iter()
            .flat_map(|gateway| owned_ranges(gateway))
            .collect();
        all.sort_unstable();
        let covered = all.first().is_some_and(|first| first.0 == 0)
            && all.last().is_some_and(|last| last.1 == KEY_COUNT)
            && all.windows(2).all(|pair| pair[0].1 == pair[1].0);
        if covered {
            return;
        }
        assert!(
            begin.elapsed() < Duration::from_secs(30),
            "timed out: {what}: {all:?}"
        );
        sleep(Duration::from_millis(20));
    }
}

/// Starts a process for each configuration.
fn start_gateways(configs: &[Value]) -> Vec<Front> {
    configs.iter().map(|config| PROGRAM.start(config)).collect()
}

#[test]
fn a_valid_proposal_takes_effect_at_all_gateways_and_an_invalid_one_is_rejected_with_all_findings()
{
    let configs = gateway_configs(3);
    let gateways = start_gateways(&configs);
    let all: Vec<&Front> = gateways.iter().collect();
    wait_until(&all, "shards", "the initial map", |answer| {
        answer["version"] == 1 && answer["ranges"] == 12
    });
    wait_until_covered(&all, "the initial map");

    // A gateway that does not lead forwards its proposal to the leader.
    let third = KEY_COUNT / 3;
    let valid = [
        (0, third + 1000, "n0"),
        (third + 1000, 2 * third, "n1"),
        (2 * third, KEY_COUNT, "n2"),
    ];
    gateways[2].replace_config(&with_proposal(&configs[2], 1, &valid).to_string());
    wait_until(&all, "shards", "the valid proposal", |answer| {
        answer["version"] == 2 && answer["ranges"] == 3
    });
    wait_until(&[all[2]], "shards", "the proposal is answered", |answer| {
        answer["proposal"]["state"] == "in force"
    });
    wait_until_covered(&all, "the valid proposal");
    assert_eq!(owned_ranges(all[0]), [(0, third + 1000)]);
    let hashes: Vec<Value> = all
        .iter()
        .map(|gateway| query(gateway, "shards")["hash"].clone())
        .collect();
    assert!(hashes.iter().all(|hash| *hash == hashes[0]), "{hashes:?}");

    // A gap of one key, an overlap of two keys, and an owner that is not in the peer set.
    let invalid = [
        (0, third, "n0"),
        (third + 1, 2 * third, "n9"),
        (2 * third - 2, KEY_COUNT, "n2"),
    ];
    gateways[1].replace_config(&with_proposal(&configs[1], 2, &invalid).to_string());
    wait_until(&[all[1]], "shards", "the invalid proposal", |answer| {
        answer["proposal"]["state"] == "refused"
    });
    let rejected = query(all[1], "shards")["proposal"].clone();
    assert_eq!(rejected["version"], 3);
    let findings = rejected["findings"]
        .as_array()
        .expect("a list of findings")
        .clone();
    let finding = |rule: &str| {
        findings
            .iter()
            .find(|finding| finding["rule"] == rule)
            .cloned()
            .unwrap_or_default()
    };
    assert_eq!(
        (
            finding("gap")["from"].as_u64(),
            finding("gap")["to"].as_u64()
        ),
        (Some(third), Some(third + 1))
    );
    assert_eq!(
        (
            finding("overlap")["from"].as_u64(),
            finding("overlap")["to"].as_u64()
        ),
        (Some(2 * third - 2), Some(2 * third))
    );
    assert!(
        finding("keeper")["text"]
            .as_str()
            .is_some_and(|text| text.contains("n9")),
        "{findings:?}"
    );

    // A proposal for a version that is no longer in force changes nothing.
    gateways[0].replace_config(&with_proposal(&configs[0], 1, &valid).to_string());
    wait_until(&[all[0]], "shards", "the outdated proposal", |answer| {
        answer["proposal"]["state"] != "waiting"
    });
    assert_eq!(query(all[0], "shards")["version"], 2);
}

#[test]
fn the_config_check_reports_all_shard_map_findings_and_a_gateway_with_that_config_serves() {
    let configs = gateway_configs(3);
    let invalid_config = with_proposal(
        &configs[0],
        0,
        &[(0, 10, "n0"), (11, KEY_COUNT + 5, "gone"), (4, 4, "n1")],
    );
    let file = PROGRAM.write(&invalid_config);
    let output = std::process::Command::new(PROGRAM.path)
        .args(["--check", "--config"])
        .arg(&file)
        .env("BALANCER_LISTEN", "127.0.0.1:1")
        .output()
        .expect("the check exits");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    let reported = |text: &str| {
        stderr.lines().any(|line| {
            line.starts_with("quota-gateway: fleet.shards.map: ") && line.contains(text)
        })
    };
    for text in ["gone", "10", "8589934592"] {
        assert!(reported(text), "no finding with {text}: {stderr}");
    }
    assert!(
        stderr.lines().count() >= 5,
        "each finding must be on a line of its own: {stderr}"
    );
    // The gateway still starts and serves; only its proposal is rejected.
    let gateway = PROGRAM.start_with(&invalid_config, Stdio::null());
    assert!(gateway.call("stats").ends_with("end\n"));
}

#[test]
fn a_stopped_shard_owner_owns_no_key_of_another_gateway_when_it_resumes() {
    let configs = gateway_configs(3);
    let gateways = start_gateways(&configs);
    let all: Vec<&Front> = gateways.iter().collect();
    wait_until(&all, "shards", "the initial map", |answer| {
        answer["version"] == 1
    });
    wait_until_covered(&all, "the initial map");
    let leader = query(all[0], "owner")["owner"]
        .as_str()
        .expect("a leader")
        .to_string();
    let stopped = (0..3)
        .find(|n| leader != format!("n{n}"))
        .expect("a gateway that does not lead");
    let owned_before = owned_ranges(all[stopped]);
    let others: Vec<&Front> = (0..3).filter(|n| *n != stopped).map(|n| all[n]).collect();
    all[stopped].signal(Signal::STOP);
    // Its keys move to the others once its lease has expired and membership reports it dead.
    wait_until_covered(&others, "without the stopped gateway");
    all[stopped].signal(Signal::CONT);
    let after_resume = owned_ranges(all[stopped]);
    let owned_by_others: Vec<(u64, u64)> = others
        .iter()
        .flat_map(|gateway| owned_ranges(gateway))
        .collect();
    for (from, to) in &after_resume {
        assert!(
            owned_by_others
                .iter()
                .all(|(low, high)| high <= from || to <= low),
            "owned after the resume: {after_resume:?}, by others: {owned_by_others:?}, before the stop: {owned_before:?}"
        );
    }
    wait_until_covered(&all, "with the resumed gateway");
}

#[test]
fn a_leader_that_was_stopped_decides_nothing_when_it_resumes() {
    let configs = gateway_configs(3);
    let gateways = start_gateways(&configs);
    let all: Vec<&Front> = gateways.iter().collect();
    wait_until(&all, "shards", "the initial map", |answer| {
        answer["version"] == 1
    });
    let leader_name = query(all[0], "owner")["owner"]
        .as_str()
        .expect("a leader")
        .to_string();
    let leader = (0..3)
        .find(|n| leader_name == format!("n{n}"))
        .expect("the leader is one of the gateways");
    let others: Vec<&Front> = (0..3).filter(|n| *n != leader).map(|n| all[n]).collect();
    let epoch = query(all[leader], "owner")["epoch"].as_u64();
    // The proposal is written to the leader's configuration while the leader is stopped.
    let half = KEY_COUNT / 2;
    let map = [(0, half, "n0"), (half, KEY_COUNT, "n1")];
    all[leader].signal(Signal::STOP);
    all[leader].replace_config(&with_proposal(&configs[leader], 1, &map).to_string());
    wait_until(
        &others,
        "owner",
        "another gateway is elected leader",
        |answer| {
            answer["owner"]
                .as_str()
                .is_some_and(|leader| leader != leader_name)
                && answer["epoch"].as_u64() > epoch
        },
    );
    all[leader].signal(Signal::CONT);
    let answer_after_resume = query(all[leader], "owner");
    assert_eq!(answer_after_resume["mine"], false, "{answer_after_resume}");
    assert!(
        answer_after_resume["left_ms"] == 0 || answer_after_resume["owner"] != json!(leader_name),
        "{answer_after_resume}"
    );
    // The old leader forwards its proposal to the new leader, which applies or rejects it.
    wait_until(
        &[all[leader]],
        "shards",
        "its proposal is answered",
        |answer| {
            ["in force", "refused"]
                .contains(&answer["proposal"]["state"].as_str().unwrap_or_default())
        },
    );
    let hash = |gateway: &Front| query(gateway, "shards")["hash"].clone();
    wait_until(&all, "shards", "all gateways have the same map", |answer| {
        answer["hash"] == hash(others[0])
    });
    wait_until_covered(&all, "after the proposal is answered");
}

/// Runs gateways with a shard map under these faults. Fails if a check fails or judged too few cases to be conclusive.
fn run_gateways(name: &str, gateways: usize, seconds: u32, lease_ms: u64, faults: &str) {
    let text = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    let text = text.replace(
        "doors = 4",
        &format!("doors = {gateways}\nlease_ms = {lease_ms}\nshards = {{ count = 24 }}"),
    );
    let (summary, _) = run_scenario(name, &(text + faults));
    for check in ["one_owner", "one_keeper", "fenced"] {
        assert!(
            assert_checks_pass(&summary, check).cases > 500,
            "the check {check} judged too few cases"
        );
    }
}

#[test]
fn no_key_has_two_owners_while_leader_and_shard_owners_are_killed_stopped_and_partitioned() {
    run_gateways(
        "shards-faults",
        7,
        42,
        LEASE_MS,
        "[[kill]]\nat_ms = 6000\ndoors = \"d3, owner\"\nback_ms = 8000\n\
         [[stop]]\nat_ms = 18000\ndoors = \"d4, d5\"\nfor_ms = 8000\n\
         [[link]]\nat_ms = 28000\nfor_ms = 7000\nfrom = \"owner, d1\"\nto = \"others\"\ncut = true\n",
    );
}

#[test]
fn no_key_has_two_owners_with_delayed_and_lost_datagrams_and_one_way_links() {
    run_gateways(
        "shards-late",
        5,
        30,
        LEASE_MS,
        "[[link]]\nat_ms = 5000\nfor_ms = 6000\nfrom = \"d1\"\nto = \"d0, d2, d3, d4\"\ndelay_ms = 1500\ndouble = 0.3\n\
         [[link]]\nat_ms = 14000\nfor_ms = 7000\nfrom = \"d2\"\nto = \"d0, d1, d3, d4\"\nboth = false\ncut = true\n\
         [[link]]\nat_ms = 14000\nfor_ms = 7000\nfrom = \"d0, d1\"\nto = \"d3, d4\"\nloss = 0.2\njitter_ms = 30\n",
    );
}

#[test]
fn a_partitioned_shard_owner_serves_until_its_lease_expires_and_no_other_takes_over_before() {
    // Membership reports the gateway dead after four seconds, but its shard lease lasts for six. In between, its keys
    // have no owner.
    let faults = "[[link]]\nat_ms = 12000\nfor_ms = 10000\nfrom = \"d1\"\nto = \"others\"\ncut = true\n\
               [[link]]\nat_ms = 24000\nfor_ms = 10000\nfrom = \"d4\"\nto = \"others\"\ncut = true\n";
    run_gateways("shards-cut-off", 5, 36, 3000, faults);
}
