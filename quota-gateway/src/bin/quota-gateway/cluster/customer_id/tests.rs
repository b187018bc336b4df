use super::*;

#[test]
fn a_customer_id_has_exactly_sixteen_hexadecimal_digits() {
    assert_eq!(
        parse_customer_id("00000000b4d65521").expect("a valid ID"),
        0xb4d6_5521
    );
    for invalid in [
        "",
        "b4d65521",
        "00000000b4d6552g",
        "+0000000b4d65521",
        "00000000b4d655210",
        "äääääääää",
    ] {
        let error = parse_customer_id(invalid).expect_err(invalid);
        assert!(
            matches!(error, ClusterError::InvalidCustomerId { .. }),
            "{error}"
        );
    }
}
