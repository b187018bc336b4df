//! The shard map in several gateway processes: proposals in the configuration of any gateway, shard owners that are
//! stopped during a move, and runs of the fault lab in which the leader and shard owners are killed, stopped and
//! partitioned. The tests judge the record, or the answers of each process to the calls `shards` and `owner`.

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
/// Number of keys of the shard map.
const KEYS: u64 = 1 << 33;
const LEASE_MS: u64 = 1000;

/// Configurations of this number of gateways in one peer set, with a shard map.
fn configurations(count: usize) -> Vec<Value> {
    let mut all: Vec<Value> = (0..count)
        .map(|_| config(closed_port(), list(&[])))
        .collect();
    let port = |config: &Value| {
        let at: SocketAddr = config["listen"]
            .as_str()
            .expect("text")
            .parse()
            .expect("an address");
        SocketAddr::from((at.ip(), unused_port())).to_string()
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

/// The same configuration with a proposed shard map that replaces version `expect`.
fn with_proposal(config: &Value, expect: u64, map: &[(u64, u64, &str)]) -> Value {
    let mut config = config.clone();
    let ranges: Vec<Value> = map
        .iter()
        .map(|(from, to, keeper)| json!({"from": from, "to": to, "keeper": keeper}))
        .collect();
    config["fleet"]["shards"]["expect"] = json!(expect);
    config["fleet"]["shards"]["map"] = json!(ranges);
    config
}

/// The JSON answer to a call.
fn answer_to(gateway: &Front, call: &str) -> Value {
    let answer = gateway.call(call);
    let line = answer
        .strip_suffix("\nend\n")
        .unwrap_or_else(|| panic!("{call}: {answer}"));
    serde_json::from_str(line).expect("JSON")
}

/// Waits until the answers of all these gateways to a call meet the condition.
fn until(gateways: &[&Front], call: &str, what: &str, condition: impl Fn(&Value) -> bool) {
    let begin = Instant::now();
    for gateway in gateways {
        while !condition(&answer_to(gateway, call)) {
            assert!(
                begin.elapsed() < Duration::from_secs(30),
                "{what}: {}",
                gateway.call(call)
            );
            sleep(Duration::from_millis(20));
        }
    }
}

/// The ranges of keys that a gateway owns: from the first key up to and without the last.
fn owned_ranges(gateway: &Front) -> Vec<(u64, u64)> {
    serde_json::from_value(answer_to(gateway, "shards")["mine"].clone()).expect("ranges")
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
            && all.last().is_some_and(|last| last.1 == KEYS)
            && all.windows(2).all(|two| two[0].1 == two[1].0);
        if covered {
            return;
        }
        assert!(begin.elapsed() < Duration::from_secs(30), "{what}: {all:?}");
        sleep(Duration::from_millis(20));
    }
}

/// Starts a process for each configuration.
fn start(configs: &[Value]) -> Vec<Front> {
    configs.iter().map(|config| PROGRAM.start(config)).collect()
}

#[test]
fn a_valid_proposal_is_in_force_at_all_gateways_and_an_invalid_one_is_rejected_with_all_findings() {
    let configs = configurations(3);
    let gateways = start(&configs);
    let all: Vec<&Front> = gateways.iter().collect();
    until(&all, "shards", "the first map", |answer| {
        answer["version"] == 1 && answer["ranges"] == 12
    });
    wait_until_covered(&all, "the first map");

    // Any gateway forwards a proposal to the leader.
    let third = KEYS / 3;
    let valid = [
        (0, third + 1000, "n0"),
        (third + 1000, 2 * third, "n1"),
        (2 * third, KEYS, "n2"),
    ];
    gateways[2].replace_config(&with_proposal(&configs[2], 1, &valid).to_string());
    until(&all, "shards", "the valid proposal", |answer| {
        answer["version"] == 2 && answer["ranges"] == 3
    });
    until(&[all[2]], "shards", "the proposal is answered", |answer| {
        answer["proposal"]["state"] == "in force"
    });
    wait_until_covered(&all, "the valid proposal");
    assert_eq!(owned_ranges(all[0]), [(0, third + 1000)]);
    let hashes: Vec<Value> = all
        .iter()
        .map(|gateway| answer_to(gateway, "shards")["hash"].clone())
        .collect();
    assert!(hashes.iter().all(|hash| *hash == hashes[0]), "{hashes:?}");

    // A gap of one key, an overlap of two, and an owner that is no gateway of the peer set.
    let invalid = [
        (0, third, "n0"),
        (third + 1, 2 * third, "n9"),
        (2 * third - 2, KEYS, "n2"),
    ];
    gateways[1].replace_config(&with_proposal(&configs[1], 2, &invalid).to_string());
    until(&[all[1]], "shards", "the invalid proposal", |answer| {
        answer["proposal"]["state"] == "refused"
    });
    let rejected = answer_to(all[1], "shards")["proposal"].clone();
    assert_eq!(rejected["version"], 3);
    let findings = rejected["findings"].as_array().expect("findings").clone();
    let of = |rule: &str| {
        findings
            .iter()
            .find(|finding| finding["rule"] == rule)
            .cloned()
            .unwrap_or_default()
    };
    assert_eq!(
        (of("gap")["from"].as_u64(), of("gap")["to"].as_u64()),
        (Some(third), Some(third + 1))
    );
    assert_eq!(
        (of("overlap")["from"].as_u64(), of("overlap")["to"].as_u64()),
        (Some(2 * third - 2), Some(2 * third))
    );
    assert!(
        of("keeper")["text"]
            .as_str()
            .is_some_and(|text| text.contains("n9")),
        "{findings:?}"
    );

    // A proposal for a version that is no longer in force changes nothing.
    gateways[0].replace_config(&with_proposal(&configs[0], 1, &valid).to_string());
    until(&[all[0]], "shards", "the outdated proposal", |answer| {
        answer["proposal"]["state"] != "waiting"
    });
    assert_eq!(answer_to(all[0], "shards")["version"], 2);
}

#[test]
fn the_check_of_a_file_reports_all_findings_on_its_shard_map_and_a_start_with_it_serves() {
    let configs = configurations(3);
    let invalid_config = with_proposal(
        &configs[0],
        0,
        &[(0, 10, "n0"), (11, KEYS + 5, "gone"), (4, 4, "n1")],
    );
    let file = PROGRAM.write(&invalid_config);
    let output = std::process::Command::new(PROGRAM.path)
        .args(["--check", "--config"])
        .arg(&file)
        .env("BALANCER_LISTEN", "127.0.0.1:1")
        .output()
        .expect("the check ends");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    let found = |line: &str| {
        stderr.lines().any(|printed| {
            printed.starts_with("quota-gateway: fleet.shards.map: ") && printed.contains(line)
        })
    };
    for line in ["gone", "10", "8589934592"] {
        assert!(found(line), "{line}: {stderr}");
    }
    assert!(
        stderr.lines().count() >= 5,
        "each finding has its line: {stderr}"
    );
    // The gateway serves all the same; only its proposal is rejected.
    let gateway = PROGRAM.start_with(&invalid_config, Stdio::null());
    assert!(gateway.call("stats").ends_with("end\n"));
}

#[test]
fn a_shard_owner_stopped_during_a_move_owns_nothing_of_others_when_it_resumes() {
    let configs = configurations(3);
    let gateways = start(&configs);
    let all: Vec<&Front> = gateways.iter().collect();
    until(&all, "shards", "the first map", |answer| {
        answer["version"] == 1
    });
    wait_until_covered(&all, "the first map");
    let leader = answer_to(all[0], "owner")["owner"]
        .as_str()
        .expect("a leader")
        .to_string();
    let stopped = (0..3).find(|n| leader != format!("n{n}")).expect("another");
    let had = owned_ranges(all[stopped]);
    let others: Vec<&Front> = (0..3).filter(|n| *n != stopped).map(|n| all[n]).collect();
    all[stopped].signal(Signal::STOP);
    // Its keys go to the others once its lease is over and the membership has it as dead.
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
            "{after_resume:?} and {owned_by_others:?}, before the stop {had:?}"
        );
    }
    wait_until_covered(&all, "with the resumed gateway");
}

#[test]
fn a_leader_that_was_stopped_decides_nothing_when_it_resumes() {
    let configs = configurations(3);
    let gateways = start(&configs);
    let all: Vec<&Front> = gateways.iter().collect();
    until(&all, "shards", "the first map", |answer| {
        answer["version"] == 1
    });
    let name = answer_to(all[0], "owner")["owner"]
        .as_str()
        .expect("a leader")
        .to_string();
    let leader = (0..3)
        .find(|n| name == format!("n{n}"))
        .expect("one of them");
    let others: Vec<&Front> = (0..3).filter(|n| *n != leader).map(|n| all[n]).collect();
    let epoch = answer_to(all[leader], "owner")["epoch"].as_u64();
    // The leader is stopped with a proposal in its configuration.
    let half = KEYS / 2;
    let map = [(0, half, "n0"), (half, KEYS, "n1")];
    all[leader].signal(Signal::STOP);
    all[leader].replace_config(&with_proposal(&configs[leader], 1, &map).to_string());
    until(&others, "owner", "another gateway leads", |answer| {
        answer["owner"]
            .as_str()
            .is_some_and(|leader| leader != name)
            && answer["epoch"].as_u64() > epoch
    });
    all[leader].signal(Signal::CONT);
    let first = answer_to(all[leader], "owner");
    assert_eq!(first["mine"], false, "{first}");
    assert!(
        first["left_ms"] == 0 || first["owner"] != json!(name),
        "{first}"
    );
    // Its proposal goes to the new leader, which decides or rejects it.
    until(
        &[all[leader]],
        "shards",
        "its proposal is answered",
        |answer| {
            ["in force", "refused"]
                .contains(&answer["proposal"]["state"].as_str().unwrap_or_default())
        },
    );
    let hash = |gateway: &Front| answer_to(gateway, "shards")["hash"].clone();
    until(&all, "shards", "one map", |answer| {
        answer["hash"] == hash(others[0])
    });
    wait_until_covered(&all, "at the end");
}

/// Runs gateways with a shard map under these faults, and checks that there was enough to judge.
fn run(name: &str, gateways: usize, seconds: u32, lease_ms: u64, faults: &str) {
    let text = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    let text = text.replace(
        "doors = 4",
        &format!("doors = {gateways}\nlease_ms = {lease_ms}\nshards = {{ count = 24 }}"),
    );
    let (summary, _) = run_scenario(name, &(text + faults));
    for check in ["one_owner", "one_keeper", "fenced"] {
        assert!(
            assert_checks_pass(&summary, check).cases > 500,
            "too few cases of {check}"
        );
    }
}

#[test]
fn no_key_has_two_owners_while_leader_and_shard_owners_are_killed_stopped_and_partitioned() {
    run(
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
    run(
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
fn a_partitioned_shard_owner_serves_until_its_lease_is_over_and_no_other_before() {
    // The membership has the gateway as dead after four seconds, and its shard lease lasts for six: in between, its keys
    // have no owner.
    let cut = "[[link]]\nat_ms = 12000\nfor_ms = 10000\nfrom = \"d1\"\nto = \"others\"\ncut = true\n\
               [[link]]\nat_ms = 24000\nfor_ms = 10000\nfrom = \"d4\"\nto = \"others\"\ncut = true\n";
    run("shards-cut-off", 5, 36, 3000, cut);
}
