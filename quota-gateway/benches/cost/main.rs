//! Measures the cost per request of the gateway between simulated peers on loopback, with a fixed number of requests.
//!
//!     cargo bench --bench cost                            # this build
//!     cargo bench --bench cost -- --vs OTHER/quota-gateway    # and its ratio to another, run by run in turn
//!     cargo bench --bench cost -- --rounds 9 --only kept --own target/release/quota-gateway
//!
//! Times depend on the machine and its load: compare the ratios and the counts only.

mod calls;
mod gateway_process;
mod standins;

use calls::SyscallCounts;
use gateway_process::{GatewayProcess, ResourceUsage};
use quota_gateway::{
    Action, AttemptEnd, Class, Effect, Event, Gateway, Lifecycle, ListKind, Outcome, Plan, Request,
    ServerEntry, Settings,
};
use standins::{fleet, load, request, run, Client, Fleet};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use std::{env, thread};
use tokio::time::sleep;

/// Number of requests before the measured ones.
const WARM_UP: usize = 50;
const IDLE_CONNECTIONS: usize = 1000;
const CUSTOMERS: usize = 10_000;
/// Duration of each measurement of the idle gateway, and the pause between the two.
const IDLE_MEASUREMENT: Duration = Duration::from_secs(2);
const IDLE_PAUSE: Duration = Duration::from_secs(2);

/// Name and value of each figure of a run.
type Figures = Vec<(&'static str, f64)>;

struct Scenario {
    name: &'static str,
    backends: usize,
    work: Duration,
    size: usize,
    gateways: u32,
    run_load: fn(&GatewayProcess) -> Figures,
    /// Number of requests of a traced run and the function that sends them; `None` if system calls are not counted.
    traced: Option<Traced>,
}

type Traced = (usize, fn(&GatewayProcess, usize));

const KEPT: Scenario = Scenario {
    name: "kept",
    backends: 20,
    work: Duration::from_millis(10),
    size: 1024,
    gateways: 1,
    run_load: |gateway| loaded(gateway, 32, 200, true, "ample"),
    traced: Some((200, |gateway, requests| {
        plain(gateway, requests, true, "ample");
    })),
};

const SCENARIOS: [Scenario; 8] = [
    KEPT,
    Scenario {
        name: "fresh",
        run_load: |gateway| loaded(gateway, 16, 150, false, "ample"),
        traced: Some((200, |gateway, requests| {
            plain(gateway, requests, false, "ample");
        })),
        ..KEPT
    },
    Scenario {
        name: "many-idle",
        work: Duration::ZERO,
        run_load: many_idle,
        traced: None,
        ..KEPT
    },
    Scenario {
        name: "refused",
        run_load: |gateway| loaded(gateway, 8, 4000, true, "scant"),
        traced: Some((200, |gateway, requests| {
            plain(gateway, requests, true, "scant");
        })),
        ..KEPT
    },
    Scenario {
        name: "idle",
        run_load: idle,
        traced: None,
        ..KEPT
    },
    Scenario {
        name: "fleet",
        backends: 200,
        gateways: 300,
        run_load: one_of_many,
        ..KEPT
    },
    Scenario {
        name: "large",
        size: 1 << 20,
        run_load: |gateway| loaded(gateway, 8, 40, true, "ample"),
        traced: Some((20, |gateway, requests| {
            plain(gateway, requests, true, "ample");
        })),
        ..KEPT
    },
    Scenario {
        name: "customers",
        work: Duration::ZERO,
        run_load: customers,
        traced: None,
        ..KEPT
    },
];

/// Returns the resource usage per request.
fn per_request(before: ResourceUsage, after: ResourceUsage, requests: usize) -> Figures {
    let each =
        |figure: fn(&ResourceUsage) -> f64| (figure(&after) - figure(&before)) / requests as f64;
    vec![
        ("processor us/request", each(|usage| usage.cpu)),
        ("  of it user", each(|usage| usage.user)),
        ("wake-ups/request", each(|usage| usage.wake_ups)),
        ("descriptors", after.descriptors),
    ]
}

fn loaded(
    gateway: &GatewayProcess,
    connections: usize,
    each: usize,
    keep: bool,
    plan: &str,
) -> Figures {
    let status = if plan == "ample" { 200 } else { 429 };
    run(async {
        // The least that a plan lets through comes before the refusals.
        load(gateway.address, connections, WARM_UP, keep, plan, status).await;
        let before = gateway.resource_usage();
        let mismatches = load(gateway.address, connections, each, keep, plan, status).await;
        let figures = per_request(before, gateway.resource_usage(), connections * each);
        assert_eq!(mismatches, 0, "answers that are not {status}");
        figures
    })
}

/// A gateway that receives a small part of a large fleet's traffic, once its capacity has grown from that of a new
/// gateway.
fn one_of_many(gateway: &GatewayProcess) -> Figures {
    run(async {
        load(gateway.address, 2, 100, true, "ample", 200).await;
        let before = gateway.resource_usage();
        let refused = load(gateway.address, 2, 200, true, "ample", 200).await;
        let mut figures = per_request(before, gateway.resource_usage(), 400);
        figures.push(("refused/request", refused as f64 / 400.0));
        figures
    })
}

/// Sends requests one after another, so that a trace counts the system calls of each.
fn plain(gateway: &GatewayProcess, requests: usize, keep: bool, plan: &str) {
    run(async { load(gateway.address, 1, requests, keep, plan, 0).await });
}

/// Memory per idle connection, before and after its first request.
fn many_idle(gateway: &GatewayProcess) -> Figures {
    run(async {
        load(gateway.address, 4, WARM_UP, true, "ample", 200).await;
        let before = gateway.resource_usage();
        let mut silent = Vec::new();
        for _ in 0..IDLE_CONNECTIONS {
            silent.push(Client::connect(gateway.address).await);
        }
        sleep(Duration::from_millis(100)).await;
        let with_silent = gateway.resource_usage();
        let asked = request("ample", 1);
        for client in &mut silent {
            client.ask(&asked).await;
        }
        let with_asked = gateway.resource_usage();
        load(gateway.address, 4, 100, true, "ample", 200).await;
        let after = gateway.resource_usage();
        let each = |more: ResourceUsage, less: ResourceUsage| {
            (more.resident_kib - less.resident_kib) / IDLE_CONNECTIONS as f64
        };
        vec![
            ("KiB/silent connection", each(with_silent, before)),
            (
                "KiB/idle connection that has asked",
                each(with_asked, before),
            ),
            (
                "processor us/request beside them",
                (after.cpu - with_asked.cpu) / 400.0,
            ),
            ("descriptors", with_asked.descriptors),
        ]
    })
}

/// Wake-ups and CPU time of a gateway without load, after it has served requests.
fn idle(gateway: &GatewayProcess) -> Figures {
    run(load(gateway.address, 8, 50, true, "ample", 200));
    let watched = |gateway: &GatewayProcess| {
        let before = gateway.resource_usage();
        thread::sleep(IDLE_MEASUREMENT);
        let after = gateway.resource_usage();
        let seconds = IDLE_MEASUREMENT.as_secs_f64();
        (
            (after.wake_ups - before.wake_ups) / seconds,
            (after.cpu - before.cpu) / seconds,
        )
    };
    // First with the connections to backends still open, then after they may have closed.
    let (soon, _) = watched(gateway);
    thread::sleep(IDLE_PAUSE);
    let (wake_ups, processor) = watched(gateway);
    vec![
        ("wake-ups/s after load", soon),
        ("wake-ups/s", wake_ups),
        ("processor us/s", processor),
    ]
}

fn customers(gateway: &GatewayProcess) -> Figures {
    run(async {
        let mut client = Client::connect(gateway.address).await;
        for _ in 0..WARM_UP {
            client.ask(&request("ample", 1)).await;
        }
        let before = gateway.resource_usage();
        for customer in 0..CUSTOMERS {
            client.ask(&request("scant", customer as u64)).await;
        }
        let after = gateway.resource_usage();
        vec![
            (
                "KiB/customer",
                (after.resident_kib - before.resident_kib) / CUSTOMERS as f64,
            ),
            (
                "processor us/request",
                (after.cpu - before.cpu) / CUSTOMERS as f64,
            ),
        ]
    })
}

/// Counts the system calls per request of a scenario.
fn traced(program: &Path, scenario: &Scenario, fleet: &Fleet) -> Option<Figures> {
    let (requests, run_load) = scenario.traced?;
    let gateway = GatewayProcess::start(program, fleet, scenario.gateways);
    run_load(&gateway, WARM_UP);
    let (tracing, done) = (AtomicBool::new(false), AtomicBool::new(false));
    let calls = thread::scope(|scope| {
        let counting = scope.spawn(|| calls::count_syscalls(gateway.pid(), &tracing, &done));
        while !tracing.load(Ordering::Acquire) && !counting.is_finished() {
            thread::yield_now();
        }
        run_load(&gateway, requests);
        done.store(true, Ordering::Release);
        // The trace ends at the next system call.
        while !counting.is_finished() {
            run_load(&gateway, 1);
        }
        counting.join().ok().flatten()
    });
    let SyscallCounts {
        reads,
        writes,
        others,
    } = calls?;
    let each = |count: u64| count as f64 / requests as f64;
    Some(vec![
        ("reads/request", each(reads)),
        ("writes/request", each(writes)),
        ("other calls/request", each(others)),
    ])
}

/// Prints the allocations of the decision module per event, at 200 backends and 300 gateways.
fn allocations() {
    let class = Class {
        worth: 1.0,
        aim: 1000.0,
        deadline: 4000.0,
        late_share: 0.0,
        effect: Effect::Idempotent,
    };
    let plan = Plan {
        rate: 1e6,
        burst: 2e6,
        price: 1.0,
        ..Plan::default()
    };
    let settings = Settings {
        gateways: 300,
        classes: vec![class],
        plans: vec![plan],
        ..Settings::default()
    };
    let mut gateway = Gateway::new(settings, 7, 0.0).expect("the settings are valid");
    let server = |id| ServerEntry {
        id,
        zone: 0,
        cell: 0,
        share: 1.0,
        lifecycle: Lifecycle::Ready,
        launched: None,
    };
    let mut actions = Vec::new();
    let entries = (0..200).map(server).collect();
    gateway.handle(
        0.0,
        Event::Servers {
            kind: ListKind::Full,
            entries,
        },
        &mut actions,
    );
    let events = 2000;
    let mut counts = [0; 2];
    for id in 0..events {
        actions.clear();
        let now = id as f64;
        let request = Request {
            id,
            customer: id % 50,
            plan: 0,
            class: 0,
            units: 1.0,
            spread: 1,
            first: 0,
            expires_in: 4000.0,
            repeat: false,
        };
        let count = allocation_counter::measure(|| {
            gateway.handle(now, Event::Request(request), &mut actions);
        });
        counts[0] += count.count_total;
        if actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }))
        {
            let outcome = Outcome::Ok;
            let end = AttemptEnd {
                request: id,
                attempt: 0,
                outcome,
                elapsed: 50.0,
                finished: true,
                used: None,
                billed: None,
            };
            let event = Event::AttemptEnd(end);
            counts[1] += allocation_counter::measure(|| gateway.handle(now, event, &mut actions))
                .count_total;
        }
    }
    let each = |count: u64| count as f64 / events as f64;
    println!(
        "module: {:.2} allocations a request, {:.2} an attempt's end",
        each(counts[0]),
        each(counts[1])
    );
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(f64::NAN)
}

fn main() {
    let mut own = PathBuf::from(env!("CARGO_BIN_EXE_quota-gateway"));
    let mut other: Option<PathBuf> = None;
    let (mut rounds, mut only) = (5, None);
    let mut args = env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--vs" => other = args.next().map(PathBuf::from),
            // Cargo builds a bench with the features that dev-dependencies enable; a release build lacks them.
            "--own" => own = args.next().map(PathBuf::from).unwrap_or(own),
            "--rounds" => {
                rounds = args
                    .next()
                    .and_then(|arg| arg.parse().ok())
                    .unwrap_or(rounds)
                    .clamp(1, 50);
            }
            "--only" => only = args.next(),
            // Added by `cargo bench`.
            "--bench" => {}
            _ => {
                eprintln!(
                    "unknown argument {arg}: --vs PROGRAM, --own PROGRAM, --rounds N, --only SCENARIO"
                );
                std::process::exit(2);
            }
        }
    }
    let programs: Vec<&Path> = [Some(own.as_path()), other.as_deref()]
        .into_iter()
        .flatten()
        .collect();
    println!("medians of {rounds} runs in turn; ratios are this build's to the other's, run by run: median (least to most)");
    allocations();
    for scenario in SCENARIOS
        .iter()
        .filter(|scenario| only.as_deref().is_none_or(|only| only == scenario.name))
    {
        let fleet = fleet(scenario.backends, scenario.work, scenario.size);
        // The figures of each program, run by run.
        let mut runs: Vec<Vec<Figures>> = vec![Vec::new(); programs.len()];
        for _ in 0..rounds {
            for (program, runs) in programs.iter().zip(&mut runs) {
                runs.push((scenario.run_load)(&GatewayProcess::start(
                    program,
                    &fleet,
                    scenario.gateways,
                )));
            }
        }
        let counted = programs
            .iter()
            .map(|program| traced(program, scenario, &fleet));
        for (calls, runs) in counted.collect::<Vec<_>>().into_iter().zip(&mut runs) {
            if let Some(calls) = calls {
                runs.iter_mut().for_each(|run| run.extend(calls.clone()));
            }
        }
        println!("{}", scenario.name);
        for (at, (name, _)) in runs[0][0].iter().enumerate() {
            let column = |runs: &[Figures]| -> Vec<f64> {
                runs.iter()
                    .filter_map(|run| run.get(at))
                    .map(|(_, figure)| *figure)
                    .collect()
            };
            let columns: Vec<Vec<f64>> = runs.iter().map(|runs| column(runs)).collect();
            let medians = columns
                .iter()
                .map(|column| format!("{:>12.2}", median(column.clone())));
            let mut line = format!("  {name:<36}{}", medians.collect::<String>());
            if let [own, other] = columns.as_slice() {
                let mut ratios: Vec<f64> = own
                    .iter()
                    .zip(other)
                    .map(|(own, other)| own / other)
                    .collect();
                ratios.sort_by(f64::total_cmp);
                if ratios.iter().all(|ratio| ratio.is_finite()) {
                    let (least, most) = (ratios[0], ratios[ratios.len() - 1]);
                    line += &format!("   {:.3} ({least:.3} to {most:.3})", median(ratios));
                }
            }
            println!("{line}");
        }
    }
}
