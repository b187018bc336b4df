//! The front door: one program on real sockets round the decision module of the crate `quota_gateway`.

mod backends;
mod clients;
mod cluster;
mod door;
mod errors;
mod life;
mod log;
mod operators;

use backends::attempts::Backends;
use backends::discovery::{self, CallSchedule};
use backends::pool::Pool;
use clap::Parser;
use clients::connections::{self, ConnectionContext};
use clients::phase::{Phase, PhaseControl};
use clients::stats::Stats;
use cluster::{Cluster, ClusterSettings};
use door::Door;
use errors::text;
use life::config::{Config, ConfigError, Replaced, Source};
use life::handover::{self, Numbers};
use life::reload;
use operators::admin;
use operators::bans::{self, Bans};
use operators::staff::Staff;
use quota_gateway::ListKind;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{watch, Semaphore};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};
use tracing::{info, warn};

/// Descriptors that are neither a client's nor a backend's: streams, event queue, listeners, discovery,
/// files, and the operators' callers.
const OWN_DESCRIPTORS: usize = 16 + admin::CALLERS + 8;
/// After SIGTERM clients still come for up to 0.4 s; the listener stays open for longer than that. What is
/// in hand then may take as long as a client waits, 3 s at the most, before it fails, and such failures so
/// long to be written: with what came last, the end is due before SIGKILL, 0.7 s after the longest wait.
const LEAVING: Duration = Duration::from_millis(600);
const CLOSING: Duration = Duration::from_millis(3000);
const LAST_WORDS: Duration = Duration::from_millis(100);

/// Part of the memory that bodies kept for further attempts may take.
const KEPT_PART: usize = 8;
/// Memory for all else, and the part of the rest that large answers may take before their clients read them: a
/// backend that is done with a request sooner takes others. A process that is taken over from gives up what
/// of it is free.
const OWN_MEMORY: usize = 12 << 20;
const AHEAD_PART: usize = 2;
/// How long answers that have begun may go on when all else has ended.
const REST: Duration = Duration::from_secs(60);
/// How often to look for a backend to send to before taking over.
const LOOK: Duration = Duration::from_millis(10);
/// Part of the descriptors that is left to a predecessor until it has ended.
const PREDECESSORS_PART: usize = 4;

/// What keeps the program from its start. It ends with this line.
#[derive(Error, Debug)]
pub enum StartError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The proposed shard map is invalid.
    #[error(
        "fleet.shards.map: {findings} findings, told above; correct each there, and check the file again"
    )]
    Map {
        /// How many findings were reported.
        findings: usize,
    },
    /// The runtime cannot be started.
    #[error("cannot start: {}; check this user's limits on descriptors and memory", text(.0))]
    Runtime(io::Error),
    /// Signals cannot be caught.
    #[error("cannot take signals: {}; check this user's limit on descriptors", text(.0))]
    Signals(io::Error),
    /// The clients' address cannot be listened on.
    #[error("cannot listen on {address}: {}; end what holds that port, or set an address of this machine", text(.error))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// The listening socket cannot be used.
    #[error("cannot listen: {}; check this user's limit on descriptors, and start again", text(.0))]
    Listener(io::Error),
}

/// A front door: admits clients' requests by quota and spreads them over backends. What it serves, and where, is in
/// a file of JSON that `BALANCER_CONFIG` names; `BALANCER_LISTEN`, `BALANCER_DISCOVERY` and `BALANCER_ADMIN_ADDR` go before
/// what the file says.
#[derive(Parser)]
#[command(name = "quota-gateway", version)]
struct Arguments {
    /// Take the configuration from this file, whatever `BALANCER_CONFIG` names
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Read and check the configuration as a start would, say what it holds, and end: 0 if it is good, 1 if not
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // Guards against requests stranded by a task that is no more: a panic anywhere ends the process.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    match start(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("quota-gateway: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: Arguments) -> Result<(), StartError> {
    if !arguments.check {
        return run(arguments);
    }
    let config = Source::open(arguments.config)?.config()?;
    let findings = config
        .fleet
        .as_ref()
        .map_or_else(Vec::new, ClusterSettings::findings);
    if !findings.is_empty() {
        findings
            .iter()
            .for_each(|finding| eprintln!("quota-gateway: fleet.shards.map: {finding}"));
        return Err(StartError::Map {
            findings: findings.len(),
        });
    }
    spare_descriptors(&config)?;
    let admin = config
        .admin
        .map_or("none".to_string(), |admin| admin.to_string());
    println!(
        "the configuration is good: listens on {}, operators' door {admin}, discovery {}, {} classes, {} plans, {} \
         front doors, {} backends known, {} descriptors, {} MB",
        config.listen,
        config.discovery,
        config.names.classes.len(),
        config.names.plans.len(),
        config.settings.gateways,
        config.known.targets.len(),
        config.sockets,
        config.memory >> 20,
    );
    Ok(())
}

/// The descriptors that clients and backends may have.
fn spare_descriptors(config: &Config) -> Result<usize, ConfigError> {
    let own = OWN_DESCRIPTORS + usize::from(config.fleet.is_some());
    let spare = config.sockets.checked_sub(own).filter(|spare| *spare > 0);
    spare.ok_or(ConfigError::TooFewSockets {
        sockets: config.sockets,
        least: own + 1,
    })
}

fn run(arguments: Arguments) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    // Guards against a signal that comes while the configuration is read: it would end the process.
    let signals = {
        let _inside = runtime.enter();
        Signals::take().map_err(StartError::Signals)?
    };
    let source = Source::open(arguments.config)?;
    let config = source.config()?;
    log::start(config.log);
    LocalSet::new().block_on(&runtime, front_door(config, source, signals))
}

/// What the platform tells this process by signals.
struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    fn take() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "not split by step yet: docs/ROADMAP.md, Readable code"
)]
async fn front_door(config: Config, source: Source, signals: Signals) -> Result<(), StartError> {
    let Signals {
        mut terminate,
        mut hang_up,
    } = signals;
    let spare = spare_descriptors(&config)?;
    let descriptors = Arc::new(Semaphore::new(spare.min(Semaphore::MAX_PERMITS)));
    let shared = bans::shared_folder(config.listen);
    let (listener, predecessor) = match handover::join(&shared, config.listen).await {
        Some((listener, predecessor)) => (listener, Some(predecessor)),
        None => {
            let listener = handover::listen(config.listen).map_err(|error| StartError::Listen {
                address: config.listen,
                error,
            })?;
            (listener, None)
        }
    };

    let longest = config
        .settings
        .classes
        .iter()
        .map(|class| class.deadline)
        .fold(0.0, f64::max);
    let closing = Duration::try_from_secs_f64(longest / 1000.0)
        .unwrap_or(CLOSING)
        .min(CLOSING);

    let stats = Stats::new(config.names.classes.len());
    let (connect_timeout, idle_timeout) = (config.connect_timeout, config.idle_timeout);
    let pool = Pool::new(
        descriptors.clone(),
        stats.attempts.clone(),
        connect_timeout,
        idle_timeout,
        config.seed,
    );
    let ahead = config.memory.saturating_sub(OWN_MEMORY) / AHEAD_PART;
    let backends = Rc::new(Backends::new(pool, ahead));
    let bans = Bans::new(&shared);
    bans.tidy();
    let zones = config.names.zones.clone();
    let epoch = predecessor
        .as_ref()
        .map(|predecessor| predecessor.introduction.epoch);
    let door = Door::new(
        config.settings.clone(),
        config.seed,
        zones,
        backends.clone(),
        bans,
        epoch,
    )
    .map_err(ConfigError::Setting)?;
    spawn_local(door.clone().follow_bans());
    let held = (!config.known.targets.is_empty()).then_some(config.known.rev);
    door.servers(ListKind::Cached, config.known);
    let phase_control = PhaseControl::new();
    if let Some(predecessor) = &predecessor {
        door.servers(
            ListKind::Cached,
            handover::as_list(predecessor.introduction.targets.clone()),
        );
        if predecessor.introduction.standby {
            // It serves: nothing has been told to it yet.
            let _ = phase_control.stand_by();
        }
    }
    spawn_local(door.clone().keep_time());
    let (agent, agents) = watch::channel(config.discovery);
    let callers = if config.settings.list_on_request {
        config.settings.gateways
    } else {
        0
    };
    let told = door.clone();
    spawn_local(discovery::watch(
        agents,
        move |kind, list| told.servers(kind, list),
        held,
        CallSchedule::new(callers, config.seed, Instant::now()),
        stats.discovery.clone(),
    ));
    let sweeper = backends.clone();
    spawn_local(async move { sweeper.pool.sweep().await });

    let fleet = config
        .fleet
        .map(|roster| Cluster::start(roster, config.seed, &phase_control));
    if let Some(fleet) = fleet.as_ref().filter(|fleet| fleet.has_sessions()) {
        backends.pool.watch(fleet.clone());
    }
    let open = Rc::new(Cell::new(false));
    if let Some(address) = config.admin {
        let calls = TcpListener::bind(address)
            .await
            .map_err(|error| StartError::Listen { address, error })?;
        let staff = Staff {
            door: door.clone(),
            backends: backends.clone(),
            stats: stats.clone(),
            phase_control: phase_control.clone(),
            classes: config.names.classes.clone(),
            open: open.clone(),
            fleet: fleet.clone(),
        };
        spawn_local(admin::serve(calls, Rc::new(staff)));
    }
    let numbers = Numbers::of(&config.names);
    if let Some(mut predecessor) = predecessor {
        let ready = async {
            while !backends.pool.any_ready() {
                sleep(LOOK).await;
            }
        };
        tokio::select! {
            biased;
            // Clients are the other's, and it goes on: there is nothing here to end in order.
            _ = terminate.recv() => return Ok(()),
            () = predecessor.wait(ready) => {}
        }
        match predecessor.take_over(&door, &numbers).await {
            Ok(()) => {
                // The two share the limit on descriptors until the first has ended.
                let part = (spare / PREDECESSORS_PART) as u32;
                let held = descriptors.clone().acquire_many_owned(part).await;
                let (door, phase_control) = (door.clone(), phase_control.clone());
                spawn_local(async move {
                    predecessor.follow(door, phase_control).await;
                    drop(held);
                });
            }
            Err(problem) => {
                warn!(event = "not_handed_over", %problem, "the running process did not hand over: {problem}");
            }
        }
    }
    open.set(true);
    let handed = listener.try_clone().map_err(StartError::Listener)?;
    let listener = TcpListener::from_std(listener).map_err(StartError::Listener)?;
    spawn_local(handover::host(
        shared,
        handed,
        numbers,
        door.clone(),
        phase_control.clone(),
    ));
    let context = Rc::new(ConnectionContext {
        door: door.clone(),
        backends,
        names: config.names,
        settings: config.settings,
        phase_control: phase_control.clone(),
        stats: stats.clone(),
        room: Arc::new(Semaphore::new(
            (config.memory / KEPT_PART).min(Semaphore::MAX_PERMITS),
        )),
        is_over: Cell::new(false),
    });
    let mut serving = spawn_local(connections::serve(listener, context.clone(), descriptors));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            Some(()) = hang_up.recv() => match source.reload() {
                Ok(Replaced { discovery, roster, left }) => {
                    stats.reloads_ok.set(stats.reloads_ok.get() + 1);
                    agent.send_replace(discovery);
                    if let (Some(fleet), Some(roster)) = (&fleet, roster) {
                        fleet.replace_settings(roster);
                    }
                    if !left.is_empty() {
                        let keys = reload::phrase(&left);
                        warn!(
                            event = "reload_left",
                            %discovery,
                            keys,
                            "the configuration is taken over as far as discovery and the fleet's peers go; before the \
                             next start it is not in: {keys}"
                        );
                    } else {
                        info!(event = "reloaded", %discovery, "the configuration is taken over");
                    }
                }
                // Guards against a file that cannot be read: what was known before stays in force.
                Err(problem) => {
                    stats.reloads_failed.set(stats.reloads_failed.get() + 1);
                    warn!(event = "not_reloaded", %problem, "the configuration is not taken over: {problem}");
                }
            },
        }
    }
    if let Some(fleet) = fleet.filter(|_| phase_control.phase() != Phase::HandedOver) {
        fleet.leave();
    }
    phase_control.end();
    if phase_control.phase() != Phase::HandedOver {
        sleep(LEAVING).await;
    }
    phase_control.close();
    if timeout(closing.saturating_sub(LAST_WORDS), &mut serving)
        .await
        .is_err()
    {
        context.is_over.set(true);
        door.fail_all();
        // What has begun to reach its client goes on until it is whole, or the platform ends this process.
        let _ = timeout(REST, &mut serving).await;
    }
    Ok(())
}
