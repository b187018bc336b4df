use super::*;
use hyper::header::HeaderValue;

fn headers(prefix: &'static str, usage: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(PROMPT_PREFIX, HeaderValue::from_static(prefix));
    headers.insert(TOKEN_USAGE, HeaderValue::from_static(usage));
    headers
}

#[test]
fn parts_and_token_counts_are_read_in_order() {
    let prompt = read(&headers("5c1e07a2:800, 91bd3f06:410", "1460,80")).expect("a prompt");
    let tokens: Vec<u32> = prompt.parts.iter().map(|(_, tokens)| *tokens).collect();
    assert_eq!(
        (tokens, prompt.tokens_in, prompt.tokens_out),
        (vec![800, 410], 1460, 80)
    );
    let same = read(&headers("5c1e07a2:800", "")).expect("a prompt");
    assert_eq!((same.parts[0], same.tokens_in), (prompt.parts[0], 800));
}

#[test]
fn malformed_values_are_ignored() {
    assert_eq!(read(&HeaderMap::new()), None);
    assert_eq!(read(&headers(",,:,a:,:b", "x")), None);
    let prompt = read(&headers("a:99999999999,b:7", "4294967296,")).expect("a prompt");
    assert_eq!(
        (prompt.parts.len(), prompt.tokens_in, prompt.tokens_out),
        (1, 7, 0)
    );
}
