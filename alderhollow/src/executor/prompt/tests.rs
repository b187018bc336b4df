//! Prompts from headers.

use super::*;
use proptest::prelude::*;

fn headers(usage: &str, prefix: &str) -> Vec<Header> {
    let header = |name: &str, value: &str| Header { name: name.to_string(), value: value.to_string() };
    vec![header("Token-Usage", usage), header("Prompt-Prefix", prefix)]
}

#[test]
fn parts_and_tokens_are_read() {
    let prompt = of_headers(&headers("540,400", "9c2e41:300,5d07b8:240")).expect("a prompt");
    assert_eq!(prompt.parts, [(0x9c2e41, 300), (0x5d07b8, 240)]);
    assert_eq!((prompt.tokens_in, prompt.tokens_out), (540, 400));
    assert_eq!(of_headers(&[]), None);
}

proptest! {
    #[test]
    fn arbitrary_headers_never_panic(usage in ".*", prefix in ".*") {
        let _ = of_headers(&headers(&usage, &prefix));
    }
}
