//! Which headers go on from one connection to the next.

use hyper::header::{self, HeaderMap, HeaderName};
use std::time::Duration;

/// Name of the header that tells how long a connection is kept.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that speak of one connection alone.
pub const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// What of a message's headers goes on to the other side: not those of one connection, nor those that `Connection`
/// names, nor `own`.
pub fn pass_on(mut headers: HeaderMap, own: &[HeaderName]) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(',').filter_map(|name| name.trim().parse().ok()))
        .collect();
    // Few of them are there at all: a look at each header is cheaper than a search for each name.
    let present: Vec<HeaderName> = headers
        .keys()
        .filter(|name| HOP_BY_HOP.contains(name) || own.contains(name))
        .cloned()
        .collect();
    for name in named.iter().chain(&present) {
        headers.remove(name);
    }
    headers
}

/// How long the peer keeps an idle connection, where its answer says so. What cannot be read says nothing.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(KEEP_ALIVE);
    values
        .iter()
        .filter_map(|value| value.to_str().ok())
        .find_map(keep_alive_timeout)
}

/// The whole seconds of `timeout=`.
fn keep_alive_timeout(text: &str) -> Option<Duration> {
    text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        let seconds = value.trim().trim_matches('"').parse().ok()?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then_some(Duration::from_secs(seconds))
    })
}
