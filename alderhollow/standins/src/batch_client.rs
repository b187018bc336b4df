//! A client of batch jobs: hands one in, reads its results to the end, asks for bodies, ends it.

use crate::header;
use crate::http::{call, read_whole, CallError};
use base64::prelude::{Engine, BASE64_STANDARD};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// One item of a batch job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Item {
    /// Its id.
    pub id: String,
    /// Path of the request that it stands for.
    pub path: String,
    /// Headers of that request.
    pub headers: BTreeMap<String, String>,
    /// Body of that request, in base64.
    pub body: String,
    /// Tokens of the prompt and most out, summed.
    pub tokens: u64,
}

impl Item {
    /// An item with these bytes as its body.
    pub fn new(id: &str, path: &str, token_usage: (u64, u64), body: &[u8]) -> Item {
        let (prompt, out) = token_usage;
        let headers = BTreeMap::from([
            ("Model".to_string(), "m".to_string()),
            ("Token-Usage".to_string(), format!("{prompt},{out}")),
        ]);
        let (id, path, body) = (
            id.to_string(),
            path.to_string(),
            BASE64_STANDARD.encode(body),
        );
        Item {
            id,
            path,
            headers,
            body,
            tokens: prompt + out,
        }
    }
}

/// A batch job.
#[derive(Debug, Clone)]
pub struct BatchJob {
    /// Its id.
    pub id: String,
    /// Host of its route.
    pub host: String,
    /// Path under its route's prefix.
    pub path: String,
    /// Its items.
    pub items: Vec<Item>,
}

/// State of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResultState {
    /// The item was done.
    Completed,
    /// The item was given up.
    DeadLetter,
}

/// One result.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ItemResult {
    /// Id of the item.
    pub id: String,
    /// How it ended.
    pub state: ResultState,
    /// Data of all events of its answer, parted by line feeds.
    #[serde(default)]
    pub text: String,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ResultPage {
    /// Items of the batch job.
    pub total: usize,
    /// Results at the position asked for and on.
    pub results: Vec<ItemResult>,
    /// Position behind them.
    pub next_token: usize,
}

#[derive(Serialize)]
struct Submission<'a> {
    requests: &'a [Item],
}

/// The answer that asks a client to come again.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Time between two tries to hand a batch job in.
const SUBMIT_PAUSE: Duration = Duration::from_millis(300);
/// How long a read asks to be held.
const WAIT: Duration = Duration::from_millis(1_000);
/// How much longer than that a caller waits.
const READ_SLACK: Duration = Duration::from_millis(1_500);

/// Hands the batch job in once; gives the status.
///
/// # Errors
/// The gateway cannot be reached, or does not answer in time.
pub async fn submit(
    gateway: SocketAddr,
    job: &BatchJob,
    patience: Duration,
) -> Result<u16, CallError> {
    let body = serde_json::to_vec(&Submission {
        requests: &job.items,
    })
    .map_err(|error| CallError::Unexpected(error.to_string()))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(&job.path)
        .header("host", &job.host)
        .header(header::REQUEST_ID, &job.id)
        .header("content-type", "application/json")
        .body(Full::new(body.into()))?;
    Ok(call(gateway, request, patience).await?.status().as_u16())
}

/// Hands the batch job in at the gateways in turn until one answers anything but 503 or `patience` is over, as clients do;
/// gives the last status and the number of tries.
pub async fn submit_until_answered(
    gateways: &[SocketAddr],
    job: &BatchJob,
    patience: Duration,
) -> (Result<u16, CallError>, u32) {
    let end = Instant::now() + patience;
    let mut tries = 0;
    let mut status = Err(CallError::Unexpected("there is no door".into()));
    for gateway in gateways.iter().cycle() {
        tries += 1;
        status = submit(*gateway, job, patience).await;
        let is_answered = matches!(status, Ok(status) if status != SERVICE_UNAVAILABLE);
        if is_answered || Instant::now() >= end {
            break;
        }
        tokio::time::sleep(SUBMIT_PAUSE).await;
    }
    (status, tries)
}

/// Reads the results from position `after` on; the status if it isn't 200.
///
/// # Errors
/// The gateway cannot be reached, does not answer in time, or answers with no page of results.
pub async fn read(
    gateway: SocketAddr,
    job: &BatchJob,
    after: usize,
) -> Result<Result<ResultPage, u16>, CallError> {
    let patience = WAIT + READ_SLACK;
    let request = request_for(
        Method::GET,
        &format!("/alderhollow/lots/{}?after={after}", job.id),
        job,
    )
    .header(header::WAIT_MS, WAIT.as_millis().to_string())
    .body(Full::default())?;
    let answer = call(gateway, request, patience).await?;
    let status = answer.status().as_u16();
    let body = read_whole(answer.into_body(), patience).await?;
    if status != 200 {
        return Ok(Err(status));
    }
    let page =
        serde_json::from_slice(&body).map_err(|error| CallError::Unexpected(error.to_string()))?;
    Ok(Ok(page))
}

/// Reads until all items are listed, at the gateways in turn. Each failure is noted in `failures`.
pub async fn read_to_end(
    gateways: &[SocketAddr],
    job: &BatchJob,
    failures: &mut Vec<String>,
) -> Vec<ItemResult> {
    let mut results = Vec::new();
    for gateway in gateways.iter().cycle() {
        match read(*gateway, job, results.len()).await {
            Ok(Ok(page)) => {
                let is_last = results.len() + page.results.len() >= page.total;
                results.extend(page.results);
                if is_last {
                    break;
                }
            }
            Ok(Err(status)) => failures.push(format!("read at {gateway}: {status}")),
            Err(error) => failures.push(format!("read at {gateway}: {error}")),
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    results
}

/// Time between two reads.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Asks for the body of an item; the status if it isn't 200.
///
/// # Errors
/// The gateway cannot be reached, or does not answer in time.
pub async fn item_body(
    gateway: SocketAddr,
    job: &BatchJob,
    item: &str,
    patience: Duration,
) -> Result<Result<Vec<u8>, u16>, CallError> {
    let path = format!("/alderhollow/items/{}?id={item}", job.id);
    let request = request_for(Method::GET, &path, job).body(Full::default())?;
    let answer = call(gateway, request, patience).await?;
    let status = answer.status().as_u16();
    let body = read_whole(answer.into_body(), patience).await?;
    Ok(if status == 200 { Ok(body) } else { Err(status) })
}

/// Ends the batch job; gives the status.
///
/// # Errors
/// The gateway cannot be reached, or does not answer in time.
pub async fn end(
    gateway: SocketAddr,
    job: &BatchJob,
    patience: Duration,
) -> Result<u16, CallError> {
    let path = format!("/alderhollow/lots/{}", job.id);
    let request = request_for(Method::DELETE, &path, job).body(Full::<Bytes>::default())?;
    Ok(call(gateway, request, patience).await?.status().as_u16())
}

fn request_for(method: Method, path: &str, job: &BatchJob) -> hyper::http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", &job.host)
}
