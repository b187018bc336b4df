//! Records that were written before records named their ancestors.

use alderhollow_coordination::replica::interface::{EpochRecord, Member};
use minicbor::Encode;

/// The layout of a record at that time.
#[derive(Encode)]
struct FormerRecord {
    #[n(0)]
    number: u64,
    #[n(1)]
    primary: u64,
    #[n(2)]
    replicas: Vec<u64>,
    #[n(3)]
    witnesses: Vec<Member>,
    #[n(4)]
    former_witnesses: Vec<Member>,
    #[n(5)]
    follows: u64,
}

#[test]
fn a_record_without_ancestors_is_read() {
    let former = FormerRecord {
        number: 7,
        primary: 2,
        replicas: vec![1, 2],
        witnesses: Vec::new(),
        former_witnesses: Vec::new(),
        follows: 6,
    };
    let bytes = minicbor::to_vec(former).expect("encodes");
    let record: EpochRecord = minicbor::decode(&bytes).expect("decodes");
    let expected =
        EpochRecord { number: 7, primary: 2, replicas: vec![1, 2], follows: 6, ..EpochRecord::default() };
    assert_eq!(record, expected);
}
