use super::*;

#[test]
fn the_answer_to_session_has_the_recorded_keys() {
    let answer = SessionAnswer {
        customer: format!("{:016x}", 0xb4d6_5521_u64),
        owner: None,
        pooling: Pooling::Statement,
        epoch: 17,
        version: 8,
        age_ms: 120,
        reports: vec!["n0".into()],
        evidence: EvidenceSummary {
            kept: [812, 1],
            ..EvidenceSummary::default()
        },
    };
    let json = serde_json::to_string(&answer).expect("serializable");
    let recorded = r#"{"customer":"00000000b4d65521","keeper":null,"pooling":"statement","epoch":17,"version":8,"age_ms":120,"reports":["n0"],"evidence":{"kept":[812,1],"changed_in_run":[0,0],"changed_between":[0,0],"control":[0,0]}}"#;
    assert_eq!(json, recorded);
}

#[test]
fn answers_to_operators_calls_have_the_recorded_keys() {
    let counts = DatagramCounts {
        messages: 1,
        bytes: 2,
    };
    let membership = MembershipAnswer {
        name: "n0",
        incarnation: 3,
        peer_set_size: 4,
        alive: vec!["n0"],
        suspect: vec!["n1"],
        dead: vec!["n2"],
        side: "majority",
        unchanged_ms: 5,
        digest: "d".into(),
        sent: counts,
        received: counts,
        dropped: DroppedCounts {
            malformed: 6,
            unknown: 7,
            stale: 8,
        },
    };
    let membership_json = r#"{"name":"n0","incarnation":3,"roster":4,"alive":["n0"],"suspect":["n1"],"dead":["n2"],"side":"majority","settled_ms":5,"digest":"d","sent":{"messages":1,"bytes":2},"received":{"messages":1,"bytes":2},"dropped":{"malformed":6,"unknown":7,"stale":8}}"#;
    assert_eq!(
        serde_json::to_string(&membership).expect("serializable"),
        membership_json
    );

    let leader = LeaderAnswer {
        name: "n0",
        leader: Some("n1".into()),
        epoch: 9,
        is_leader: true,
        remaining_ms: 10,
        no_votes_ms: 11,
        rejected: 12,
    };
    let leader_json = r#"{"name":"n0","owner":"n1","epoch":9,"mine":true,"left_ms":10,"quiet_ms":11,"refused":12}"#;
    assert_eq!(
        serde_json::to_string(&leader).expect("serializable"),
        leader_json
    );

    let finding = |keys: Option<(Key, Key)>| FindingAnswer {
        rule: Rule::Gap,
        from: keys.map(|keys| keys.0),
        to: keys.map(|keys| keys.1),
        text: "a gap".into(),
    };
    let shard_map = ShardMapAnswer {
        version: 3,
        epoch: 9,
        hash: MapHash(1),
        parent: MapHash(2),
        ranges: 2,
        ranges_by_owner: [("n0".to_string(), 2)].into(),
        owned_ranges: vec![(0, 5)],
        next: Some(NextMapAnswer {
            version: 4,
            waits_for: vec!["n1".into()],
            max_wait_ms: Some(13),
        }),
        proposal: ProposalAnswer {
            state: "waiting",
            version: 4,
            findings: vec![finding(Some((1, 2))), finding(None)],
        },
    };
    let shard_map_json = r#"{"version":3,"epoch":9,"hash":"0000000000000001","parent":"0000000000000002","ranges":2,"kept":{"n0":2},"mine":[[0,5]],"next":{"version":4,"waits_for":["n1"],"at_most_ms":13},"proposal":{"state":"waiting","version":4,"findings":[{"rule":"gap","from":1,"to":2,"text":"a gap"},{"rule":"gap","text":"a gap"}]}}"#;
    assert_eq!(
        serde_json::to_string(&shard_map).expect("serializable"),
        shard_map_json
    );
}
