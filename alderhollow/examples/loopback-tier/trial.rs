//! What is tried with a running tier.

use crate::configuration::{self, CHAT, HOST, LATER, LOTS, ONCE};
use crate::report::Report;
use crate::tier::{Processes, Surroundings};
use alderhollow_standins::backend::Fault;
use alderhollow_standins::batch_client::{self, BatchJob, Item, ItemResult, ResultState};
use alderhollow_standins::client::{self, ClientRequest};
use alderhollow_standins::events::whole_text;
use alderhollow_standins::operator::{Operator, Order};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

const PATIENCE: Duration = Duration::from_secs(5);
/// Time between two looks whether a gateway is ready.
const READY_POLL: Duration = Duration::from_millis(100);
/// How long the gateways may take to be ready once the configuration is acknowledged.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// `config-apply-ms` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// How long the stores may take to be a group and to accept a batch job: clients come again after 503.
const BATCH_LIMIT: Duration = Duration::from_secs(20);
const CHAT_TOKENS_OUT: u64 = 100;
const CHAT_EVENTS: u64 = 5;
const BATCH_ITEMS: usize = 6;
const BATCH_TOKENS: (u64, u64) = (540, 60);
const BATCH_EVENTS: u64 = 3;

/// Name of the steps after the first start, which goes before the ids of their requests.
const FIRST_ROUND: &str = "";

/// Runs all steps.
pub(crate) async fn run(tier: &Surroundings, report: &mut Report) {
    if !hand_in_configuration(tier, report).await {
        return;
    }
    wait_until_ready(tier, report).await;
    requests_at_each_gateway(tier, FIRST_ROUND, report).await;
    stream_over_a_cut(tier, report).await;
    batch_job(tier, FIRST_ROUND, report).await;
    change_configuration(tier, report).await;
    report.good(format!(
        "the platform was called {} times",
        tier.platform.calls()
    ));
}

/// Restarts every process with another build and then with the first one again, one process at a time, and sends
/// requests, streams and a batch job after each restart: processes of both builds then serve side by side.
pub(crate) async fn run_rolling_restarts(
    tier: &Surroundings,
    processes: &mut Processes,
    builds: [&Path; 2],
    report: &mut Report,
) {
    for (pass, build) in builds.into_iter().enumerate() {
        for index in 0..processes.count() {
            processes.replace(index, build, report).await;
            wait_until_ready(tier, report).await;
            let round = format!("{pass}{index}");
            requests_at_each_gateway(tier, &round, report).await;
            batch_job(tier, &round, report).await;
        }
    }
}

async fn hand_in_configuration(tier: &Surroundings, report: &mut Report) -> bool {
    let order = Order::put_config(0, configuration::first().to_string().into_bytes());
    let started = Instant::now();
    let answer = Operator::new(tier.controls()).send(&order).await;
    let took = started.elapsed().as_millis();
    match answer {
        Ok(answer) => {
            let is_good = answer.status == 200;
            report.check(
                is_good,
                format!("configuration: {} after {took} ms", answer.status),
            );
            is_good
        }
        Err(error) => {
            report.failed(format!("configuration: {error} after {took} ms"));
            false
        }
    }
}

async fn wait_until_ready(tier: &Surroundings, report: &mut Report) {
    for gateway in tier.readiness() {
        let started = Instant::now();
        while !is_ready(gateway).await && started.elapsed() < READY_LIMIT {
            tokio::time::sleep(READY_POLL).await;
        }
        report.check(
            started.elapsed() < READY_LIMIT,
            format!(
                "gateway {gateway} ready after {} ms more",
                started.elapsed().as_millis()
            ),
        );
    }
}

async fn is_ready(gateway: SocketAddr) -> bool {
    let order = Order {
        method: hyper::Method::GET,
        path: "/alderhollow/readyz".into(),
        ..Order::get_config()
    };
    let caller = Operator {
        max_calls: 1,
        ..Operator::new(vec![gateway])
    };
    caller
        .send(&order)
        .await
        .is_ok_and(|answer| answer.status == 200)
}

fn request(id: String, path: String) -> ClientRequest {
    let headers = vec![
        ("Model".to_string(), "m".to_string()),
        ("Token-Usage".to_string(), format!("210,{CHAT_TOKENS_OUT}")),
        ("Prompt-Prefix".to_string(), format!("5c1e07a2:200,{id}:10")),
    ];
    ClientRequest {
        id,
        host: HOST.into(),
        path,
        headers,
        body: b"prompt".to_vec(),
        patience: PATIENCE,
    }
}

async fn requests_at_each_gateway(tier: &Surroundings, round: &str, report: &mut Report) {
    for (number, gateway) in tier.fronts().into_iter().enumerate() {
        let once = request(format!("{round}a{number}"), format!("{ONCE}{number}"));
        let outcome = client::send(gateway, &once).await;
        let is_good = outcome
            .as_ref()
            .is_ok_and(|answer| answer.status == 200 && answer.seal.is_some());
        let status = outcome.map(|answer| answer.status);
        report.check(is_good, format!("request at {gateway}: {status:?}"));
        let chat = request(format!("{round}b{number}"), format!("{CHAT}{number}"));
        check_stream(gateway, &chat, report).await;
    }
    let unknown = request(format!("{round}c0"), "/nowhere/".into());
    if let Some(gateway) = tier.fronts().first() {
        let status = client::send(*gateway, &unknown)
            .await
            .map(|answer| answer.status);
        report.check(
            matches!(status, Ok(404)),
            format!("request on no route: {status:?}"),
        );
    }
}

async fn check_stream(gateway: SocketAddr, request: &ClientRequest, report: &mut Report) {
    match client::stream(gateway, request).await {
        Ok(answer) => {
            let is_whole =
                answer.is_whole_from(1) && answer.text() == whole_text(&request.id, CHAT_EVENTS);
            let (status, count) = (answer.status, answer.events.len());
            let text = format!(
                "stream {} at {gateway}: {status}, {count} events, {:?}",
                request.id, answer.end
            );
            report.check(status == 200 && is_whole && answer.seal.is_some(), text);
        }
        Err(error) => report.failed(format!("stream {} at {gateway}: {error}", request.id)),
    }
}

/// One backend cuts its next stream in the middle of an event; the gateway goes on at another one.
async fn stream_over_a_cut(tier: &Surroundings, report: &mut Report) {
    let Some(gateway) = tier.fronts().first().copied() else {
        return;
    };
    if let Some(backend) = tier.backends.first() {
        backend.fail_next(&[Fault::CutAfter(2)]);
    }
    for number in 0..4 {
        let chat = request(format!("d{number}"), format!("{CHAT}cut"));
        check_stream(gateway, &chat, report).await;
    }
    let cuts = tier
        .backends
        .iter()
        .flat_map(alderhollow_standins::backend::Backend::runs)
        .filter(|run| !run.is_whole)
        .count();
    report.good(format!("streams that a backend cut off meanwhile: {cuts}"));
}

async fn batch_job(tier: &Surroundings, round: &str, report: &mut Report) {
    let gateways = tier.fronts();
    let (Some(first), Some(last)) = (gateways.first().copied(), gateways.last().copied()) else {
        return;
    };
    let items = (0..BATCH_ITEMS).map(|number| {
        Item::new(
            &format!("{round}e{number}"),
            &format!("{LOTS}item/{number}"),
            BATCH_TOKENS,
            b"lot",
        )
    });
    let job = BatchJob {
        id: format!("{round}f0"),
        host: HOST.into(),
        path: format!("{LOTS}{round}f0"),
        items: items.collect(),
    };
    let started = Instant::now();
    let (status, tries) = batch_client::submit_until_answered(&gateways, &job, BATCH_LIMIT).await;
    let took = started.elapsed().as_millis();
    let is_taken = matches!(status, Ok(202));
    report.check(
        is_taken,
        format!("batch job at {first} and on: {status:?} after {took} ms, tries: {tries}"),
    );
    if !is_taken {
        return;
    }
    let again = batch_client::submit(last, &job, PATIENCE).await;
    report.check(
        matches!(again, Ok(202)),
        format!("the same batch job at {last}: {again:?}"),
    );

    let mut failures = Vec::new();
    let results = batch_client::read_to_end(&gateways, &job, &mut failures).await;
    let is_good = results.len() == BATCH_ITEMS && results.iter().all(is_whole);
    let took = started.elapsed().as_millis();
    report.check(
        is_good,
        format!("batch job: {} results after {took} ms", results.len()),
    );
    failures.iter().for_each(|failure| report.failed(failure));
    let end = batch_client::end(last, &job, PATIENCE).await;
    report.check(
        matches!(end, Ok(200)),
        format!("end of the batch job at {last}: {end:?}"),
    );
}

fn is_whole(result: &ItemResult) -> bool {
    result.state == ResultState::Completed && result.text == whole_text(&result.id, BATCH_EVENTS)
}

async fn change_configuration(tier: &Surroundings, report: &mut Report) {
    let change = configuration::change().to_string().into_bytes();
    let order = Order::patch_config(configuration::FIRST_VERSION, change);
    let operator = Operator::new(tier.controls());
    let status = operator.send(&order).await.map(|answer| answer.status);
    report.check(
        matches!(status, Ok(200)),
        format!("change of the configuration: {status:?}"),
    );
    let again = operator.send(&order).await.map(|answer| answer.status);
    report.check(
        matches!(again, Ok(200)),
        format!("the same change again: {again:?}"),
    );
    tokio::time::sleep(CONFIG_APPLY).await;
    for (number, gateway) in tier.fronts().into_iter().enumerate() {
        let later = request(format!("9{number}"), format!("{LATER}{number}"));
        check_stream(gateway, &later, report).await;
    }
    let version = operator
        .send(&Order::get_config())
        .await
        .ok()
        .and_then(|answer| version_of(&answer.body));
    let is_newest = version == Some(configuration::SECOND_VERSION);
    report.check(
        is_newest,
        format!("configuration read back: version {version:?}"),
    );
}

fn version_of(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<serde_json::Value>(body)
        .ok()?
        .get("config-version")?
        .as_u64()
}
