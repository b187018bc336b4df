//! What processes count of broken rules by themselves. A program that has no metrics counts nothing, and says so.

use super::violation::Violation;
use alderhollow_standins::http::{call, read_whole};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

pub(crate) const PORT: u16 = 18_151;
const PATH: &str = "/metrics";
const OPTION: &str = "--metrics";
const FAMILY: &str = "alderhollow_invariant_violations_total";
const PATIENCE: Duration = Duration::from_secs(3);

/// The options with which a process tells its metrics; none if the program has no such option.
pub(crate) fn options() -> Vec<String> {
    let help = Command::new(env!("CARGO_BIN_EXE_alderhollow"))
        .args(["store", "--help"])
        .output();
    let help = help.expect("the program starts").stdout;
    match String::from_utf8_lossy(&help).contains(OPTION) {
        true => vec![OPTION.to_string(), format!("{PORT}{PATH}")],
        false => Vec::new(),
    }
}

/// Rules that a process counted as broken since its start; `None` if it tells none.
pub(crate) async fn counted(process: &str, address: SocketAddr) -> Option<Violation> {
    let request = Request::get(PATH).header("host", address.to_string());
    let request = request.body(Full::<Bytes>::default()).ok()?;
    let answer = call(address, request, PATIENCE).await.ok()?;
    let text = read_whole(answer.into_body(), PATIENCE).await.ok()?;
    let text = String::from_utf8_lossy(&text);
    let samples = text.lines().filter(|line| line.starts_with(FAMILY));
    let values = samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    let count = values.sum::<f64>() as u64;
    (count > 0).then(|| Violation::Counted {
        process: process.to_string(),
        count,
    })
}
