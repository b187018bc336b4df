use super::*;

#[test]
fn customer_record_size_stays_within_the_documented_bytes() {
    let (record, total) = (std::mem::size_of::<Record>(), BYTES_PER_CUSTOMER);
    assert!(record <= 328 && total <= 360, "{record} and {total} bytes");
    println!("{record} and {total} bytes");
}
