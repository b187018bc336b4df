use super::*;

#[test]
fn a_customer_is_asked_for_by_sixteen_digits_and_no_other_way() {
    assert_eq!(customer_of("00000000b4d65521").expect("good"), 0xb4d6_5521);
    for bad in ["", "b4d65521", "00000000b4d6552g", "+0000000b4d65521", "00000000b4d655210", "äääääääää"]
    {
        let problem = customer_of(bad).expect_err(bad);
        assert!(matches!(problem, FleetError::NoCustomer { .. }), "{problem}");
    }
}

#[test]
fn the_answer_has_the_fields_that_staff_go_by() {
    let line = SessionLine {
        customer: format!("{:016x}", 0xb4d6_5521_u64),
        keeper: None,
        pooling: Pooling::Statement,
        epoch: 17,
        version: 8,
        age_ms: 120,
        reports: vec!["n0".into()],
        evidence: Shown { kept: [812, 1], ..Shown::default() },
    };
    let told = serde_json::to_string(&line).expect("it can be written");
    let want = r#"{"customer":"00000000b4d65521","keeper":null,"pooling":"statement","epoch":17,"version":8,"age_ms":120,"reports":["n0"],"evidence":{"kept":[812,1],"changed_in_run":[0,0],"changed_between":[0,0],"control":[0,0]}}"#;
    assert_eq!(told, want);
}
