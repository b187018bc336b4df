use crate::clients::phase::PhaseError;
use crate::cluster::{ClusterError, ClusterSettingsError};
use crate::life::config::ConfigError;
use crate::life::handover::HandoverError;
use crate::operators::admin::CallError;
use crate::operators::bans::BanError;
use crate::StartError;
use gateway_cluster::leadership::ActRejection;
use quota_gateway::InvalidSetting;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// Longer than a line has room for.
const MOST: usize = 300;
/// What an advice begins with.
const VERBS: &str =
    "ask call check choose correct end leave look make name remove rename send set split start wait write";

/// One error of each kind, by the type's name. It does not compile while a variant is missing.
macro_rules! every {
        ($type:ident { $($variant:ident $from:tt),+ $(,)? }) => {{
            let _ = |error: &$type| match error {
                $($type::$variant { .. } => (),)+
            };
            let texts: Vec<String> = vec![$(every!(@ $type $variant $from).to_string()),+];
            (stringify!($type), texts)
        }};
        (@ $type:ident $variant:ident {}) => { $type::$variant };
        (@ $type:ident $variant:ident { $($field:ident: $value:expr),+ }) => { $type::$variant { $($field: $value),+ } };
        (@ $type:ident $variant:ident ($value:expr)) => { $type::$variant($value) };
    }

fn all() -> Vec<(&'static str, Vec<String>)> {
    // As bad as it may come from outside: long, and of several lines.
    let bad = || "one; two\n".repeat(100);
    // A key with the longest name that is shown.
    let key = || format!("fleet.peers[{}]", "x".repeat(64));
    let failed = || io::Error::other(bad());
    let malformed = || serde_json::from_str::<bool>(&format!("{:?}", bad())).expect_err("no bool");
    let at = "255.255.255.255:65535".parse().expect("an address");
    let address = "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
        .parse()
        .expect("an address");
    let setting = InvalidSetting {
        field: "plans[0].rate".into(),
        problem: "must be a finite number, not below 0",
    };
    let word = || super::word(bad());
    vec![
        every!(ClusterSettingsError {
            NoName {},
            InvalidName { key: key() },
            ProbeOutOfRange { probe_ms: u64::MAX },
            LeaseOutOfRange { lease_ms: u64::MAX },
            LeaseTooShort { lease_ms: 60_000, gateways: 1000, min_ms: 60_000 },
            ShardsWithoutLease {},
            LeaseTooShortForShards { lease_ms: 60_000, gateways: 1000, min_ms: 60_000 },
            ShardCountOutOfRange { count: usize::MAX },
            IncompleteProposal {},
            SessionsWithoutShards {},
            NoPeers {},
            TooManyPeers { peers: usize::MAX },
            OwnNameInPeers { key: key() },
            NotUnicast { key: key(), address: at },
            DuplicateName { key: key() },
            PeerIdCollision { key: key(), other: word() },
            NotIpv4 { key: key(), written: word() },
            InvalidAddress { key: key(), written: word() },
        }),
        every!(ConfigError {
            NoFile {},
            Unreadable { path: PathBuf::from(bad()), error: failed() },
            Malformed(malformed()),
            NotSet { key: "BALANCER_DISCOVERY" },
            NoAddress { key: "BALANCER_DISCOVERY", written: bad() },
            Seed { written: bad() },
            Setting(setting),
            Time { key: "bounds.connectTimeout", ms: f64::MIN_POSITIVE },
            TooFewSockets { sockets: 5, least: 33 },
            ClusterSettings(ClusterSettingsError::NoName),
        }),
        every!(StartError {
            Config(ConfigError::NoFile),
            Map { findings: usize::MAX },
            Runtime(failed()),
            Signals(failed()),
            Listen { address: address, error: failed() },
            Listener(failed()),
        }),
        every!(HandoverError {
            OtherAddress { listens: address },
            NoSocket {},
            NoRoom {},
            Late {},
            Gone {},
            Malformed(malformed()),
            System(failed()),
        }),
        every!(ClusterError {
            NotRunning { listen: at },
            Serialize(malformed()),
            Bind { listen: at, error: failed() },
            Socket(failed()),
            PeerSetRejected(bad()),
            LeaseMismatch { name: word(), theirs_ms: u32::MAX, own_ms: 60_000 },
            PeerSetMismatch { name: word() },
            LeaderRequestRejected { name: word(), why: ActRejection::Late { late_ms: u64::MAX } },
            ShardMapHistory { former: u64::MAX, present: u64::MAX },
            InvalidCustomerId { written: word() },
            ShardMapRejected { finding: super::text(bad()) },
            NodeNotStarted(bad()),
        }),
        every!(PhaseError { HandedOver {}, Ending {} }),
        every!(BanError { NoBackend {}, OutHereOnly(failed()), BackHereOnly(failed()) }),
        every!(CallError {
            NotUtf8 {},
            Empty {},
            TooLong {},
            NoLine {},
            TooManyWords {},
            NoBackendId {},
            NoCustomerId {},
            Unknown {},
            Accept(failed()),
            NotTakenOver {},
            NoBackend {},
            NoFleet {},
            NoOwner {},
            NoShards {},
            NoSessions {},
            Phase(PhaseError::Ending),
            Ban(BanError::NoBackend),
            Cluster(ClusterError::NodeNotStarted(bad())),
        }),
    ]
}

/// The sources of the program.
fn sources(folder: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.push(fs::read_to_string(&path).expect("text"));
        }
    }
}

/// The table of the page for staff: what an error says, with `...` for what differs from time to time.
fn rows() -> Vec<Vec<String>> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operators.md");
    let page = fs::read_to_string(page).expect("the page for staff");
    let (_, table) = page
        .split_once("| error | what it means | what to do |\n")
        .expect("the table of errors");
    let lines = table
        .lines()
        .skip(1)
        .take_while(|line| line.starts_with('|'));
    lines
        .map(|line| {
            line.trim_matches('|')
                .split('|')
                .map(|cell| cell.trim().to_string())
                .collect()
        })
        .collect()
}

fn fits(row: &str, problem: &str) -> bool {
    let pieces: Vec<&str> = row.split("...").collect();
    let [first, middle @ .., last] = &pieces[..] else {
        return row == problem;
    };
    let Some(mut rest) = problem
        .strip_prefix(first)
        .and_then(|rest| rest.strip_suffix(last))
    else {
        return false;
    };
    for piece in middle {
        let Some((_, after)) = rest.split_once(piece) else {
            return false;
        };
        rest = after;
    }
    true
}

#[test]
fn each_error_is_one_line_that_ends_with_what_an_operator_can_do() {
    let verbs: BTreeSet<&str> = VERBS.split(' ').collect();
    for (of, texts) in all() {
        for text in texts {
            assert!(!text.contains(char::is_control), "{of}: {text:?}");
            assert!(
                text.chars().count() < MOST,
                "{of}: {} characters: {text}",
                text.chars().count()
            );
            let (_, advice) = text.rsplit_once("; ").expect(&text);
            let verb = advice.split([' ', ',']).next().unwrap_or_default();
            assert!(verbs.contains(verb), "{of}: {advice}");
        }
    }
}

#[test]
fn the_page_for_staff_lists_each_error_and_no_other() {
    let rows = rows();
    let mut met = BTreeSet::new();
    for (of, texts) in all() {
        for text in texts {
            let (problem, _) = text.rsplit_once("; ").expect(&text);
            let fitting: Vec<usize> = (0..rows.len())
                .filter(|at| fits(rows[*at][0].trim_matches('`'), problem))
                .collect();
            assert_eq!(
                fitting.len(),
                1,
                "{of}: {problem:?} stands in the table {} times",
                fitting.len()
            );
            met.extend(fitting);
        }
    }
    for (at, row) in rows.iter().enumerate() {
        assert!(met.contains(&at), "no error says this: {}", row[0]);
        assert!(
            row.len() == 3 && row.iter().all(|cell| !cell.is_empty()),
            "{row:?}"
        );
    }
}

#[test]
fn no_type_of_errors_is_left_out_of_the_walk() {
    let (mut texts, walked) = (Vec::new(), all());
    sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src/bin/quota-gateway"),
        &mut texts,
    );
    let mut types = BTreeSet::new();
    for text in &texts {
        let mut lines = text.lines().map(str::trim_start);
        while lines.any(|line| line.starts_with("#[derive(") && line.contains("Error")) {
            let line = lines.next().unwrap_or_default();
            types.extend(line.split(' ').find(|word| word.ends_with("Error")));
        }
    }
    let walked: BTreeSet<&str> = walked.iter().map(|(of, _)| *of).collect();
    assert_eq!(types, walked);
}
