use super::*;

#[test]
fn state_of_a_customer_is_as_small_as_stated() {
    let (record, total) = (std::mem::size_of::<Record>(), BYTES_PER_CUSTOMER);
    assert!(record <= 328 && total <= 360, "{record} and {total} bytes");
    println!("{record} and {total} bytes");
}
