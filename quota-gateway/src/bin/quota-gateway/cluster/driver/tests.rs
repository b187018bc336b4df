use super::*;

#[test]
fn a_customer_is_asked_for_by_sixteen_digits_and_no_other_way() {
    assert_eq!(customer_of("00000000b4d65521").expect("good"), 0xb4d6_5521);
    for bad in [
        "",
        "b4d65521",
        "00000000b4d6552g",
        "+0000000b4d65521",
        "00000000b4d655210",
        "äääääääää",
    ] {
        let problem = customer_of(bad).expect_err(bad);
        assert!(
            matches!(problem, ClusterError::NoCustomer { .. }),
            "{problem}"
        );
    }
}

#[test]
fn the_answer_has_the_fields_that_staff_go_by() {
    let line = SessionLine {
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
    let told = serde_json::to_string(&line).expect("it can be written");
    let want = r#"{"customer":"00000000b4d65521","keeper":null,"pooling":"statement","epoch":17,"version":8,"age_ms":120,"reports":["n0"],"evidence":{"kept":[812,1],"changed_in_run":[0,0],"changed_between":[0,0],"control":[0,0]}}"#;
    assert_eq!(told, want);
}

#[test]
fn answers_to_operators_calls_have_the_recorded_keys() {
    let counted = DatagramCounts {
        messages: 1,
        bytes: 2,
    };
    let view = MembershipLine {
        name: "n0",
        incarnation: 3,
        roster: 4,
        alive: vec!["n0"],
        suspect: vec!["n1"],
        dead: vec!["n2"],
        side: "majority",
        settled_ms: 5,
        digest: "d".into(),
        sent: counted,
        received: counted,
        dropped: DroppedLine {
            malformed: 6,
            unknown: 7,
            stale: 8,
        },
    };
    let view_json = r#"{"name":"n0","incarnation":3,"roster":4,"alive":["n0"],"suspect":["n1"],"dead":["n2"],"side":"majority","settled_ms":5,"digest":"d","sent":{"messages":1,"bytes":2},"received":{"messages":1,"bytes":2},"dropped":{"malformed":6,"unknown":7,"stale":8}}"#;
    assert_eq!(
        serde_json::to_string(&view).expect("it can be written"),
        view_json
    );

    let owner = OwnerLine {
        name: "n0",
        owner: Some("n1".into()),
        epoch: 9,
        mine: true,
        left_ms: 10,
        quiet_ms: 11,
        refused: 12,
    };
    let owner_json = r#"{"name":"n0","owner":"n1","epoch":9,"mine":true,"left_ms":10,"quiet_ms":11,"refused":12}"#;
    assert_eq!(
        serde_json::to_string(&owner).expect("it can be written"),
        owner_json
    );

    let finding = |keys: Option<(Key, Key)>| FindingLine {
        rule: Rule::Gap,
        from: keys.map(|keys| keys.0),
        to: keys.map(|keys| keys.1),
        text: "a gap".into(),
    };
    let shards = ShardsLine {
        version: 3,
        epoch: 9,
        hash: MapHash(1),
        parent: MapHash(2),
        ranges: 2,
        kept: [("n0".to_string(), 2)].into(),
        mine: vec![(0, 5)],
        next: Some(NextLine {
            version: 4,
            waits_for: vec!["n1".into()],
            at_most_ms: Some(13),
        }),
        proposal: ProposalLine {
            state: "waiting",
            version: 4,
            findings: vec![finding(Some((1, 2))), finding(None)],
        },
    };
    let shards_json = r#"{"version":3,"epoch":9,"hash":"0000000000000001","parent":"0000000000000002","ranges":2,"kept":{"n0":2},"mine":[[0,5]],"next":{"version":4,"waits_for":["n1"],"at_most_ms":13},"proposal":{"state":"waiting","version":4,"findings":[{"rule":"gap","from":1,"to":2,"text":"a gap"},{"rule":"gap","text":"a gap"}]}}"#;
    assert_eq!(
        serde_json::to_string(&shards).expect("it can be written"),
        shards_json
    );
}
