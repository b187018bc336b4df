//! The shard map in several processes: staff's proposals by any door's file, keepers that stand still over a move, and
//! runs of the lab in which owner and keepers are killed, stopped and cut off. Verdicts come from the record, or from
//! what each process told.

mod stage;

use fault_lab::scripted::{closed_port, config, list, unused_port, Front, Program};
use rustix::process::Signal;
use serde_json::{json, Value};
use stage::{carry, kept, SMALL};
use std::net::SocketAddr;
use std::process::Stdio;
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};
const KEYS: u64 = 1 << 33;
const LEASE_MS: u64 = 1000;

/// Configurations of so many front doors that keep keys.
fn doors(count: usize) -> Vec<Value> {
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

/// The same with a proposal of staff.
fn proposes(config: &Value, expect: u64, map: &[(u64, u64, &str)]) -> Value {
    let mut config = config.clone();
    let ranges: Vec<Value> = map
        .iter()
        .map(|(from, to, keeper)| json!({"from": from, "to": to, "keeper": keeper}))
        .collect();
    config["fleet"]["shards"]["expect"] = json!(expect);
    config["fleet"]["shards"]["map"] = json!(ranges);
    config
}

fn told(front: &Front, call: &str) -> Value {
    let answer = front.call(call);
    let line = answer
        .strip_suffix("\nend\n")
        .unwrap_or_else(|| panic!("{call}: {answer}"));
    serde_json::from_str(line).expect("JSON")
}

/// Waits until all tell something.
fn until(fronts: &[&Front], call: &str, what: &str, holds: impl Fn(&Value) -> bool) {
    let begin = Instant::now();
    for front in fronts {
        while !holds(&told(front, call)) {
            assert!(
                begin.elapsed() < Duration::from_secs(30),
                "{what}: {}",
                front.call(call)
            );
            sleep(Duration::from_millis(20));
        }
    }
}

/// The keys that a front door keeps, from and up to.
fn mine(front: &Front) -> Vec<(u64, u64)> {
    serde_json::from_value(told(front, "shards")["mine"].clone()).expect("ranges")
}

/// Each key has one keeper, once the map is with them.
fn whole(fronts: &[&Front], what: &str) {
    let begin = Instant::now();
    loop {
        let mut all: Vec<(u64, u64)> = fronts.iter().flat_map(|front| mine(front)).collect();
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

fn start(configs: &[Value]) -> Vec<Front> {
    configs.iter().map(|config| PROGRAM.start(config)).collect()
}

#[test]
fn a_good_proposal_is_in_force_everywhere_and_a_bad_one_is_refused_with_all_that_is_wrong() {
    let configs = doors(3);
    let fronts = start(&configs);
    let all: Vec<&Front> = fronts.iter().collect();
    until(&all, "shards", "the first map", |told| {
        told["version"] == 1 && told["ranges"] == 12
    });
    whole(&all, "the first map");

    // Any door carries it to the owner.
    let third = KEYS / 3;
    let good = [
        (0, third + 1000, "n0"),
        (third + 1000, 2 * third, "n1"),
        (2 * third, KEYS, "n2"),
    ];
    fronts[2].replace_config(&proposes(&configs[2], 1, &good).to_string());
    until(&all, "shards", "the good one", |told| {
        told["version"] == 2 && told["ranges"] == 3
    });
    until(&[all[2]], "shards", "it is answered", |told| {
        told["proposal"]["state"] == "in force"
    });
    whole(&all, "the good one");
    assert_eq!(mine(all[0]), [(0, third + 1000)]);
    let hashes: Vec<Value> = all
        .iter()
        .map(|front| told(front, "shards")["hash"].clone())
        .collect();
    assert!(hashes.iter().all(|hash| *hash == hashes[0]), "{hashes:?}");

    // A gap of one key, an overlap of two, and a keeper that nobody knows.
    let bad = [
        (0, third, "n0"),
        (third + 1, 2 * third, "n9"),
        (2 * third - 2, KEYS, "n2"),
    ];
    fronts[1].replace_config(&proposes(&configs[1], 2, &bad).to_string());
    until(&[all[1]], "shards", "the bad one", |told| {
        told["proposal"]["state"] == "refused"
    });
    let refused = told(all[1], "shards")["proposal"].clone();
    assert_eq!(refused["version"], 3);
    let findings = refused["findings"].as_array().expect("findings").clone();
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

    // One for a version that is over changes nothing either.
    fronts[0].replace_config(&proposes(&configs[0], 1, &good).to_string());
    until(&[all[0]], "shards", "the late one", |told| {
        told["proposal"]["state"] != "waiting"
    });
    assert_eq!(told(all[0], "shards")["version"], 2);
}

#[test]
fn a_file_that_proposes_a_bad_map_is_found_out_with_all_that_is_wrong_and_keeps_no_door_from_its_start(
) {
    let configs = doors(3);
    let bad = proposes(
        &configs[0],
        0,
        &[(0, 10, "n0"), (11, KEYS + 5, "gone"), (4, 4, "n1")],
    );
    let file = PROGRAM.write(&bad);
    let output = std::process::Command::new(PROGRAM.path)
        .args(["--check", "--config"])
        .arg(&file)
        .env("BALANCER_LISTEN", "127.0.0.1:1")
        .output()
        .expect("it ends");
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{said}");
    let found = |line: &str| {
        said.lines().any(|said| {
            said.starts_with("quota-gateway: fleet.shards.map: ") && said.contains(line)
        })
    };
    for line in ["gone", "10", "8589934592"] {
        assert!(found(line), "{line}: {said}");
    }
    assert!(
        said.lines().count() >= 5,
        "each finding has its line: {said}"
    );
    // The front door serves all the same; its proposal is refused.
    let front = PROGRAM.start_with(&bad, Stdio::null());
    assert!(front.call("stats").ends_with("end\n"));
}

#[test]
fn a_keeper_that_stands_still_over_a_move_keeps_nothing_when_it_wakes() {
    let configs = doors(3);
    let fronts = start(&configs);
    let all: Vec<&Front> = fronts.iter().collect();
    until(&all, "shards", "the first map", |told| told["version"] == 1);
    whole(&all, "the first map");
    let owner = told(all[0], "owner")["owner"]
        .as_str()
        .expect("an owner")
        .to_string();
    let still = (0..3).find(|n| owner != format!("n{n}")).expect("another");
    let (had, others) = (mine(all[still]), (0..3).filter(|n| *n != still));
    let others: Vec<&Front> = others.map(|n| all[n]).collect();
    all[still].signal(Signal::STOP);
    // Its keys go to the others, after its lease and the view's verdict.
    whole(&others, "without it");
    all[still].signal(Signal::CONT);
    let woke = mine(all[still]);
    let kept: Vec<(u64, u64)> = others.iter().flat_map(|front| mine(front)).collect();
    for (from, to) in &woke {
        assert!(
            kept.iter().all(|(low, high)| high <= from || to <= low),
            "{woke:?} and {kept:?}, it had {had:?}"
        );
    }
    whole(&all, "with it again");
}

#[test]
fn an_owner_that_stands_still_decides_nothing_when_it_wakes() {
    let configs = doors(3);
    let fronts = start(&configs);
    let all: Vec<&Front> = fronts.iter().collect();
    until(&all, "shards", "the first map", |told| told["version"] == 1);
    let name = told(all[0], "owner")["owner"]
        .as_str()
        .expect("an owner")
        .to_string();
    let owner = (0..3)
        .find(|n| name == format!("n{n}"))
        .expect("it is one of them");
    let others: Vec<&Front> = (0..3).filter(|n| *n != owner).map(|n| all[n]).collect();
    let epoch = told(all[owner], "owner")["epoch"].as_u64();
    // It is given a proposal, and stands still with it.
    let half = KEYS / 2;
    let map = [(0, half, "n0"), (half, KEYS, "n1")];
    all[owner].signal(Signal::STOP);
    all[owner].replace_config(&proposes(&configs[owner], 1, &map).to_string());
    until(&others, "owner", "another owns", |told| {
        told["owner"].as_str().is_some_and(|owner| owner != name) && told["epoch"].as_u64() > epoch
    });
    all[owner].signal(Signal::CONT);
    let first = told(all[owner], "owner");
    assert_eq!(first["mine"], false, "{first}");
    assert!(
        first["left_ms"] == 0 || first["owner"] != json!(name),
        "{first}"
    );
    // What it proposes goes to the new owner, and is decided or refused there.
    until(
        &[all[owner]],
        "shards",
        "its proposal is answered",
        |told| {
            ["in force", "refused"]
                .contains(&told["proposal"]["state"].as_str().unwrap_or_default())
        },
    );
    let hash = |front: &Front| told(front, "shards")["hash"].clone();
    until(&all, "shards", "one map", |told| {
        told["hash"] == hash(others[0])
    });
    whole(&all, "in the end");
}

/// Runs front doors that keep keys, under these faults.
fn run(name: &str, doors: usize, seconds: u32, lease_ms: u64, faults: &str) {
    let text = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    let text = text.replace(
        "doors = 4",
        &format!("doors = {doors}\nlease_ms = {lease_ms}\nshards = {{ count = 24 }}"),
    );
    let (summary, _) = carry(name, &(text + faults));
    for check in ["one_owner", "one_keeper", "fenced"] {
        assert!(
            kept(&summary, check).cases > 500,
            "{check} looked at too little"
        );
    }
}

#[test]
fn keepers_and_owners_that_are_killed_stopped_and_cut_off_never_share_a_key() {
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
fn a_keeper_whose_datagrams_are_late_and_lost_and_one_that_only_hears_share_no_key() {
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
fn a_keeper_that_is_cut_off_keeps_until_its_lease_is_over_and_nobody_else_before() {
    // The view holds it for gone after four seconds, and its lease lasts for six: its keys wait in between.
    let cut = "[[link]]\nat_ms = 12000\nfor_ms = 10000\nfrom = \"d1\"\nto = \"others\"\ncut = true\n\
               [[link]]\nat_ms = 24000\nfor_ms = 10000\nfrom = \"d4\"\nto = \"others\"\ncut = true\n";
    run("shards-cut-off", 5, 36, 3000, cut);
}
