use super::*;

fn id(number: usize) -> HeaderValue {
    HeaderValue::from_str(&format!("r{number}")).expect("a header value")
}

#[test]
fn a_request_that_is_not_sent_again_is_forgotten() {
    let mut carried = CarriedRequests::default();
    carried.record(&id(1));
    carried.record(&id(2));
    carried.forget_last();
    assert!(carried.contains(&id(1)));
    assert!(!carried.contains(&id(2)));
}

#[test]
fn each_carried_id_is_remembered_until_the_connection_is_full() {
    let mut carried = CarriedRequests::default();
    for number in 0..MAX_CARRIED_REQUESTS {
        assert!(!carried.is_full(), "{number}");
        assert!(!carried.contains(&id(number)), "{number}");
        carried.record(&id(number));
    }
    assert!(carried.is_full());
    assert!((0..MAX_CARRIED_REQUESTS).all(|number| carried.contains(&id(number))));
    assert!(!carried.contains(&id(MAX_CARRIED_REQUESTS)));
}
