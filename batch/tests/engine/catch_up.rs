//! Bytes needed to synchronize a member that missed a part of a group of 20,000 items: the digests of all jobs, and
//! full copies of the jobs that differ. With `--nocapture` the bytes are printed.

use crate::cluster::{job, routes, terms, Cluster};
use alderhollow_batch::api::RouteTerms;
use alderhollow_batch::message::Message;
use alderhollow_batch::state::State;

const JOBS: usize = 500;
const ITEMS: usize = 40;
/// Size of the body of one item in the reference deployment.
const BODY_BYTES: usize = 1_600;
/// Bytes of a job's digest, including its id of 16 characters.
const MOST_DIGEST_BYTES: usize = 48;

/// Bytes sent between two stores, by purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Bytes {
    comparison: usize,
    entries: usize,
}

fn bytes(cluster: &Cluster) -> Bytes {
    let mut bytes = Bytes::default();
    for (_, _, message) in &cluster.sent {
        let length = minicbor::to_vec(message).expect("it encodes").len();
        match message {
            Message::Entries { .. } => bytes.entries += length,
            _ => bytes.comparison += length,
        }
    }
    bytes
}

fn accept(cluster: &mut Cluster, numbers: std::ops::Range<usize>) {
    for number in numbers {
        let mut job = job(&format!("{number:016x}"), ITEMS, 1);
        for item in &mut job.items {
            item.request
                .as_mut()
                .expect("a new item has a request")
                .body = vec![7; BODY_BYTES];
        }
        cluster.accept(1, job);
    }
}

/// Lets a member miss the last `missed` jobs, and synchronizes it.
fn catch_up(missed: usize) -> Bytes {
    let mut cluster = Cluster::active(2);
    let now_ms = cluster.now_ms;
    let unlimited = routes(RouteTerms {
        max_queued_tokens: 0,
        ..terms()
    });
    cluster.engine(1).set_routes(now_ms, 2, unlimited);
    accept(&mut cluster, 0..JOBS - missed);
    cluster.partitioned.insert(2);
    cluster.set_group(2, 1, &[1], &[]);
    accept(&mut cluster, JOBS - missed..JOBS);
    cluster.partitioned.clear();
    cluster.restart(2);
    cluster.sent.clear();
    cluster.set_group(3, 1, &[1], &[2]);
    let restored =
        State::restore(now_ms, None, &cluster.stores[&2].records).expect("a disk that can be read");
    assert_eq!(restored.jobs.len(), JOBS);
    bytes(&cluster)
}

#[test]
fn catching_up_sends_missed_records_and_digests_of_the_rest() {
    for percent in [0, 1, 10, 100] {
        let missed = JOBS * percent / 100;
        let bytes = catch_up(missed);
        println!("{percent} in 100 missed: {bytes:?}");
        assert!(
            bytes.comparison <= JOBS * MOST_DIGEST_BYTES + missed * MOST_DIGEST_BYTES + 200,
            "{bytes:?}"
        );
        let job_bytes = ITEMS * (BODY_BYTES + 100);
        assert!(bytes.entries <= missed * job_bytes + 200, "{bytes:?}");
    }
}
