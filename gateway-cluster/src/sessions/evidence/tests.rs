use super::*;

#[test]
fn state_of_a_customer_is_as_small_as_stated() {
    let (record, whole) = (std::mem::size_of::<Record>(), BYTES_PER_CUSTOMER);
    assert!(record <= 328 && whole <= 360, "{record} and {whole} bytes");
    println!("{record} and {whole} bytes");
}
