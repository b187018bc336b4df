//! One run: everything is started, the scenario's faults are carried out, and all that happens is written down.

use crate::agent::{Agent, List, Manner, Target};
use crate::backend::{Backend, Mode, Site};
use crate::check::{figures, findings, verdict, Summary};
use crate::client::{customers, plan, Clients};
use crate::fleet::{backend_name, Facts};
use crate::ground::Ground;
use crate::http::call_staff;
use crate::model::Meter;
use crate::net::{Condition, Net};
use crate::process::{last_words, Launcher, Process};
use crate::record::{self, Event, Life, Micros, Recorder, View};
use crate::report;
use crate::scenario::{Change, Deed, Scenario, State, Step, Whom, OTHERS, OWNER};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

mod polls;

/// How long front doors may take to say yes at first, all together.
const START: Duration = Duration::from_secs(30);
/// How often processes are looked at, and how often the lab measures how late it wakes.
const LOOK: Duration = Duration::from_millis(50);
/// How long after SIGTERM a front door may take to end by itself: the longest deadline and what DEPLOY adds.
const ENDING: Duration = Duration::from_millis(4500);
/// How long staff wait for an answer.
const STAFF: Duration = Duration::from_secs(2);
/// How often each front door is asked for its view of the fleet, and how long it may take.
const VIEWS: Duration = Duration::from_millis(250);
const VIEW_ANSWER: Duration = Duration::from_millis(200);
/// The names of a run's files.
pub const RECORD: &str = "record.jsonl";
pub const FACTS: &str = "facts.json";
pub const SUMMARY: &str = "summary.json";
pub const REPORT: &str = "report.html";

/// A front door of the run.
struct Post {
    folder: PathBuf,
    config: Value,
    /// The life that runs, and how it is expected to end.
    process: Option<Process>,
    leaving: Option<Instant>,
    stopped: bool,
}

/// A run that is going on.
pub struct Run {
    scenario: Scenario,
    facts: Facts,
    pub net: Net,
    list: List,
    backends: Vec<Backend>,
    manners: Vec<watch::Sender<Manner>>,
    agents: Vec<Arc<Agent>>,
    posts: Vec<Post>,
    clients: Arc<Clients>,
    recorder: Recorder,
    ground: Arc<Ground>,
    launcher: Launcher,
    tasks: JoinSet<()>,
    versions: u64,
    /// Where each front door reaches each other one, if they keep a view of the fleet.
    reaches: Vec<Vec<SocketAddr>>,
    last_owner: polls::LastOwner,
    /// Who was the owner when each fault that names it began, and whether anybody had told that it is.
    owners: BTreeMap<usize, (usize, bool)>,
}

fn seeded(seed: u64, part: u64) -> u64 {
    Pcg64Mcg::seed_from_u64(seed ^ (part << 56)).random()
}

fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1000.0
}

impl Run {
    /// Starts backends, agents, relays and front doors, and waits until each front door says yes.
    ///
    /// # Errors
    /// What could not be had, in one line. All that was started ends.
    #[expect(
        clippy::too_many_lines,
        reason = "not split by step yet: docs/ROADMAP.md, Readable code"
    )]
    pub async fn start(
        scenario: &Scenario,
        seed: u64,
        folder: &Path,
        launcher: &Launcher,
        recorder: Recorder,
    ) -> io::Result<Run> {
        let facts = scenario.facts(seed);
        let ground = Arc::new(Ground::claim(facts.doors)?);
        let net = Net::new(ground.own(), seeded(seed, 1), Some(recorder.clone()));
        for door in 0..facts.doors {
            net.party(&format!("d{door}"), ground.door(door));
        }
        net.party("clients", ground.clients());
        let mut tasks = JoinSet::new();
        let site = Arc::new(Site {
            facts: facts.clone(),
            meter: Mutex::new(Meter::new(
                facts.rules.meter_period_ms,
                scenario.backends.meter_late_ms,
            )),
            recorder: recorder.clone(),
            ground: ground.clone(),
        });
        let (mut backends, mut places) = (Vec::new(), Vec::new());
        for number in 0..facts.backends {
            let listener = TcpListener::bind(SocketAddr::new(ground.own(), 0)).await?;
            places.push(listener.local_addr()?);
            let seed = seeded(seed, 2).wrapping_add(number as u64);
            let backend = Backend::new(number, scenario.machine(), seed, site.clone());
            let serving = backend.clone();
            tasks.spawn(async move { drop(serving.run(listener).await) });
            backends.push(backend);
        }
        let targets = (0..facts.backends)
            .map(|backend| Target {
                backend,
                zone: facts.zone(backend),
                state: "ready",
                boot_ms: 0.0,
            })
            .collect();
        let list = List::new(targets, recorder.clone());
        let mut lags = Pcg64Mcg::seed_from_u64(seeded(seed, 3));
        let (mut manners, mut agents, mut posts, mut entrances) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for door in 0..facts.doors {
            let name = format!("d{door}");
            let mut endpoints = Vec::new();
            for (backend, place) in places.iter().enumerate() {
                endpoints.push(net.tcp(&name, &format!("b{backend}"), *place).await?);
            }
            let [least, most] = scenario.fleet.list_late_ms;
            let lag = Duration::from_millis(lags.random_range(least..=most));
            let manner = watch::Sender::new(Manner { lag, silent: false });
            let listener = TcpListener::bind(SocketAddr::new(ground.own(), 0)).await?;
            let discovery = net
                .tcp(&name, &format!("a{door}"), listener.local_addr()?)
                .await?;
            let agent = Arc::new(Agent {
                door,
                list: list.clone(),
                endpoints,
                manner: manner.subscribe(),
                recorder: recorder.clone(),
            });
            let config = json!({
                "name": format!("n{door}"), "listen": ground.listen(door).to_string(),
                "admin_addr": ground.staff(door).to_string(), "discovery": discovery.to_string(),
                "seed": "0", "limits": {"cores": 1.0, "memory_mb": scenario.fleet.memory_mb,
                                        "sockets": scenario.fleet.sockets},
                "known": {"rev": 0, "all": true, "targets": []},
                "settings": facts.settings(door, None),
            });
            tasks.spawn(agent.clone().run(listener));
            agents.push(agent);
            manners.push(manner);
            entrances.push(match scenario.relays_clients() {
                true => net.tcp("clients", &name, ground.listen(door)).await?,
                false => ground.listen(door),
            });
            let folder = folder.join(&name);
            fs::create_dir_all(&folder)?;
            posts.push(Post {
                folder,
                config,
                process: None,
                leaving: None,
                stopped: false,
            });
        }
        let customers = customers(&facts, seeded(seed, 4));
        let own = (recorder.clone(), ground.clone(), seeded(seed, 5));
        let clients = Clients::new(facts.clone(), scenario.habits(), customers, &entrances, own);
        let mut run = Run {
            scenario: scenario.clone(),
            facts,
            net,
            list,
            backends,
            manners,
            agents,
            posts,
            clients,
            recorder,
            ground,
            launcher: launcher.clone(),
            tasks,
            versions: 0,
            reaches: Vec::new(),
            last_owner: polls::LastOwner::default(),
            owners: BTreeMap::new(),
        };
        if scenario.fleet.has_view() {
            run.lay_links().await?;
        }
        run.start_doors().await?;
        run.begin_polls();
        Ok(run)
    }

    /// From now on front doors are asked who owns the fleet, who keeps what and what customers are held for, if they are
    /// to know.
    fn begin_polls(&mut self) {
        let Some(lease_ms) = self.scenario.fleet.lease_ms else {
            return;
        };
        self.recorder.tell(Event::Lease { lease_ms });
        for door in 0..self.facts.doors {
            let (staff, recorder) = (self.ground.staff(door), self.recorder.clone());
            self.tasks.spawn(polls::owner(
                door,
                staff,
                recorder.clone(),
                self.last_owner.clone(),
            ));
            if self.scenario.fleet.shards.is_some() {
                self.tasks
                    .spawn(polls::shards(door, staff, recorder.clone()));
            }
            if self.scenario.fleet.sessions.is_some() {
                let customers = polls::some_of(self.clients.customers());
                self.tasks
                    .spawn(polls::sessions(door, staff, recorder, customers));
            }
        }
    }

    /// A relay for each directed link between front doors, and the key `fleet` with its addresses.
    async fn lay_links(&mut self) -> io::Result<()> {
        for from in 0..self.facts.doors {
            let mut reaches = Vec::new();
            for to in 0..self.facts.doors {
                let relay = self
                    .net
                    .udp(
                        &format!("d{from}"),
                        &format!("d{to}"),
                        self.ground.fleet(to),
                    )
                    .await?;
                reaches.push(relay);
            }
            self.reaches.push(reaches);
        }
        let all: Vec<usize> = (0..self.facts.doors).collect();
        for door in 0..self.facts.doors {
            self.posts[door].config["fleet"] = self.fleet(door, &all);
        }
        Ok(())
    }

    /// What a front door's configuration says of a fleet with these members.
    fn fleet(&self, door: usize, members: &[usize]) -> Value {
        let others = members.iter().filter(|member| **member != door);
        let peer = |to: &usize| json!({"name": format!("n{to}"), "address": self.reaches[door][*to].to_string()});
        let keys = &self.scenario.fleet;
        let mut fleet = json!({
            "listen": self.ground.fleet(door).to_string(), "probe_ms": keys.probe_ms,
            "peers": others.map(peer).collect::<Vec<_>>(),
        });
        let more = [
            ("lease_ms", keys.lease_ms.map(Value::from)),
            ("shards", keys.shards.clone()),
            ("sessions", keys.sessions.clone()),
        ];
        for (key, value) in more {
            if let Some(value) = value {
                fleet[key] = value;
            }
        }
        fleet
    }

    /// Asks each front door that runs for its view, and writes down what it tells.
    fn ask_for_views(&mut self) {
        for door in 0..self.posts.len() {
            let post = &self.posts[door];
            if post.process.is_none() || post.stopped || post.leaving.is_some() {
                continue;
            }
            let (staff, recorder) = (self.ground.staff(door), self.recorder.clone());
            self.tasks.spawn(async move {
                // One that does not answer is told by the gap.
                let Ok(answer) = call_staff(staff, "fleet", VIEW_ANSWER).await else {
                    return;
                };
                let line = answer.lines().next().unwrap_or_default();
                if let Ok(view) = serde_json::from_str::<View>(line) {
                    recorder.tell(Event::View { door, view });
                }
            });
        }
    }

    async fn start_doors(&mut self) -> io::Result<()> {
        for door in 0..self.facts.doors {
            self.start_door(door)?;
            self.tasks.spawn(self.clients.clone().watch(door));
        }
        let until = Instant::now() + START;
        while let Some(door) = (0..self.facts.doors).find(|door| !self.clients.takes(*door)) {
            self.look();
            let post = &self.posts[door];
            let problem = match &post.process {
                None => "ended at its start",
                Some(_) if Instant::now() > until => "does not say yes",
                Some(_) => {
                    sleep(LOOK).await;
                    continue;
                }
            };
            return Err(io::Error::other(format!(
                "d{door} {problem}: {}",
                last_words(&post.folder)
            )));
        }
        Ok(())
    }

    /// Starts a front door from nothing, under its name.
    fn start_door(&mut self, door: usize) -> io::Result<()> {
        let post = &mut self.posts[door];
        post.config["known"] = self.agents[door].known();
        post.config["seed"] = json!(format!(
            "{:016x}",
            seeded(self.facts.seed, 6).wrapping_add(self.recorder.now())
        ));
        fs::write(post.folder.join("config.json"), post.config.to_string())?;
        self.clients.begins(door);
        post.process = Some(Process::start(&self.launcher, &post.folder)?);
        (post.leaving, post.stopped) = (None, false);
        self.recorder.tell(Event::Door {
            door,
            life: Life::Started,
        });
        Ok(())
    }

    /// Looks after the processes: those that ended are written down, those that were to leave are started anew.
    fn look(&mut self) {
        for door in 0..self.posts.len() {
            let post = &mut self.posts[door];
            let Some(process) = &mut post.process else {
                continue;
            };
            let overdue = post.leaving.is_some_and(|since| since.elapsed() > ENDING);
            if overdue {
                let _ = process.kill();
            }
            if process.ended().is_ok_and(|ended| ended.is_none()) {
                continue;
            }
            let leaving = post.leaving.take().is_some();
            post.process = None;
            let life = match (leaving, overdue) {
                (true, true) => Life::Killed,
                (true, false) => Life::Ended,
                (false, _) => Life::Crashed,
            };
            self.recorder.tell(Event::Door { door, life });
            if leaving {
                // A front door that cannot be started is written down as crashed by the next look.
                let _ = self.start_door(door);
            }
        }
    }

    fn signal(&mut self, door: usize, signal: Signal, life: Life) {
        let Some(process) = &mut self.posts[door].process else {
            return;
        };
        if process.signal(signal).is_ok() {
            self.recorder.tell(Event::Door { door, life });
        }
    }

    /// Who the owner is to this fault, the same from its beginning to its end, and what is to be said of that.
    fn owner_to(&mut self, fault: usize) -> (usize, String) {
        let last = self.last_owner.door();
        // Without one there is still a fault to be put, and the record is to say that it met nobody's lease.
        let owner = self
            .owners
            .entry(fault)
            .or_insert((last.unwrap_or(0), last.is_some()));
        let words = if owner.1 {
            ""
        } else {
            ": nobody has told that it is"
        };
        (owner.0, format!(" (owner: d{}{words})", owner.0))
    }

    /// Carries out one step of the scenario, and writes down that it is.
    async fn carry_out_step(&mut self, step: Step) -> io::Result<()> {
        let Step {
            deed,
            fault,
            mut text,
            begins,
            ..
        } = step;
        let mut owner = 0;
        if deed.names_owner() {
            let words;
            (owner, words) = self.owner_to(fault);
            text.push_str(&words);
        }
        self.recorder.tell(Event::Fault {
            number: fault,
            text,
            begins,
        });
        self.carry_out(&deed, owner).await
    }

    async fn carry_out(&mut self, deed: &Deed, owner: usize) -> io::Result<()> {
        let settle = |whom: &[Whom]| -> Vec<usize> {
            let mut doors: Vec<usize> = whom
                .iter()
                .map(|whom| match whom {
                    Whom::Door(door) => *door,
                    Whom::Owner => owner,
                })
                .collect();
            doors.sort_unstable();
            doors.dedup();
            doors
        };
        match deed {
            Deed::Kill(doors) => {
                let doors = &settle(doors);
                // All first, then all are waited for: they die together.
                for door in doors {
                    self.clients.killed(*door);
                    self.signal(*door, Signal::KILL, Life::Killed);
                }
                for door in doors {
                    self.posts[*door].process = None;
                }
            }
            Deed::Start(doors) => {
                for door in &settle(doors) {
                    if self.posts[*door].process.is_none() {
                        self.start_door(*door)?;
                    }
                }
            }
            Deed::Stop(doors) => {
                for door in &settle(doors) {
                    self.signal(*door, Signal::STOP, Life::Stopped);
                    self.posts[*door].stopped = true;
                }
            }
            Deed::Continue(doors) => {
                for door in &settle(doors) {
                    if std::mem::take(&mut self.posts[*door].stopped) {
                        self.signal(*door, Signal::CONT, Life::Continued);
                    }
                }
            }
            Deed::Restart(doors) => {
                for door in &settle(doors) {
                    if self.posts[*door].process.is_some() {
                        self.signal(*door, Signal::TERM, Life::Terminated);
                        self.posts[*door].leaving = Some(Instant::now());
                        self.tasks.spawn(self.clients.clone().leaves(*door));
                    }
                }
            }
            Deed::Link {
                from,
                to,
                both,
                change,
            } => {
                let (from, to) = sides(from, to, owner, self.facts.doors);
                for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))) {
                    self.change_link(a, b, change);
                    if *both {
                        self.change_link(b, a, change);
                    }
                }
            }
            Deed::Backend {
                backends,
                state,
                much,
                begins,
            } => {
                for backend in backends {
                    self.trouble(*backend, *state, *much, *begins);
                }
            }
            Deed::Call { doors, line } => {
                let words: Vec<String> = line.split(' ').map(|word| self.name(word)).collect();
                for door in doors {
                    self.call(*door, &words.join(" ")).await;
                }
            }
            Deed::Withdraw { doors, plan } => {
                self.versions += 1;
                for door in doors {
                    let settings = self.facts.settings(*door, Some(plan));
                    self.replace(*door, |config| config["settings"] = settings)?;
                }
            }
            Deed::Roster { doors, members } => {
                self.versions += 1;
                for door in doors {
                    let fleet = self.fleet(*door, members);
                    self.replace(*door, |config| config["fleet"] = fleet)?;
                }
            }
        }
        Ok(())
    }

    /// `b0` stands for the name that the list gives that backend.
    fn name(&self, word: &str) -> String {
        let backend = word
            .strip_prefix('b')
            .and_then(|number| number.parse().ok());
        backend
            .filter(|backend| *backend < self.facts.backends)
            .map_or_else(|| word.to_string(), backend_name)
    }

    fn change_link(&self, from: &str, to: &str, change: &Change) {
        self.net.change(from, to, |condition| {
            *condition = match change {
                Change::Set(new, reset) => Condition {
                    resets: condition.resets + u32::from(*reset),
                    ..*new
                },
                Change::Whole => condition.healed(),
            };
        });
    }

    fn trouble(&self, number: usize, state: State, much: f64, begins: bool) {
        let backend = &self.backends[number];
        match (state, begins) {
            (State::Slow, true) => backend.set_slow(much.max(0.01)),
            (State::Slow, false) => backend.set_slow(1.0),
            (State::Failing, true) => backend.set_mode(Mode::Failing(much)),
            (State::Silent, true) => backend.set_mode(Mode::Silent),
            (State::Gone | State::Restart, true) => {
                backend.set_mode(Mode::Gone);
                self.list.change(number, "gone", None);
            }
            (State::Draining, _) => {
                backend.set_draining(begins);
                self.list
                    .change(number, if begins { "draining" } else { "ready" }, None);
            }
            (State::Failing | State::Silent, false) => backend.set_mode(Mode::Up),
            (State::Gone | State::Restart, false) => {
                backend.restart();
                self.list.change(number, "ready", Some(unix_ms()));
            }
        }
    }

    /// Calls a front door's staff, and writes the answer down.
    pub async fn call(&self, door: usize, line: &str) -> String {
        let answer = call_staff(self.ground.staff(door), line, STAFF).await;
        let answer = answer.unwrap_or_else(|error| format!("error no answer: {error}"));
        self.recorder.tell(Event::Call {
            door,
            line: line.into(),
            answer: answer.clone(),
        });
        answer
    }

    /// Replaces a front door's configuration and sends SIGHUP.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn replace(&mut self, door: usize, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        let post = &mut self.posts[door];
        change(&mut post.config);
        fs::write(post.folder.join("config.json"), post.config.to_string())?;
        if let Some(process) = &mut post.process {
            process.signal(Signal::HUP)?;
            self.recorder.tell(Event::Configured {
                door,
                version: self.versions,
            });
        }
        Ok(())
    }

    /// The ids of the processes that run.
    pub fn processes(&self) -> Vec<u32> {
        self.posts
            .iter()
            .filter_map(|post| post.process.as_ref().map(Process::id))
            .collect()
    }

    /// Changes how an agent tells its front door of the list.
    pub fn set_manner(&self, door: usize, change: impl FnOnce(&mut Manner)) {
        self.manners[door].send_modify(change);
    }

    /// Sends what the clients have planned, carries the scenario's steps out, and ends when each request has ended.
    ///
    /// # Errors
    /// What could not be done, in one line.
    pub async fn play(&mut self, mut progress: impl FnMut(f64, usize)) -> io::Result<()> {
        let seed = self.facts.seed;
        let requests = plan(&self.facts, self.clients.customers(), seeded(seed, 7));
        let mut steps = self.scenario.steps(seeded(seed, 8)).into_iter().peekable();
        let start = self.recorder.now() + 200_000;
        let mut clients = tokio::spawn(self.clients.clone().run(requests, start));
        let lateness = tokio::spawn(lateness(self.recorder.clone()));
        let mut look = tokio::time::interval(LOOK);
        let mut views = tokio::time::interval(VIEWS);
        let moment = |step: &Step| start + step.at_ms * 1000;
        loop {
            let next: Option<Micros> = steps.peek().map(moment);
            let next = next.map(|at| Instant::from_std(self.recorder.instant(at)));
            tokio::select! {
                ended = &mut clients => {
                    ended.map_err(io::Error::other)?;
                    break;
                }
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    let Some(step) = steps.next() else { continue };
                    self.carry_out_step(step).await?;
                }
                _ = views.tick(), if self.scenario.fleet.has_view() => self.ask_for_views(),
                _ = look.tick() => {
                    self.look();
                    progress(self.recorder.now().saturating_sub(start) as f64 / 1e6, self.clients.out());
                }
            }
        }
        lateness.abort();
        Ok(())
    }
}

/// The parties on the two sides of a link, once it is known who the owner is.
fn sides(from: &[String], to: &[String], owner: usize, doors: usize) -> (Vec<String>, Vec<String>) {
    let named = |side: &[String]| -> Vec<String> {
        let one = |name: &String| {
            if name == OWNER {
                format!("d{owner}")
            } else {
                name.clone()
            }
        };
        let mut names: Vec<String> = side.iter().map(one).collect();
        names.sort_unstable();
        names.dedup();
        names
    };
    let rest = |side: Vec<String>, other: &[String]| -> Vec<String> {
        if !side.iter().any(|name| name == OTHERS) {
            return side;
        }
        let all = (0..doors).map(|door| format!("d{door}"));
        all.filter(|name| !other.contains(name)).collect()
    };
    let (from, to) = (named(from), named(to));
    (rest(from.clone(), &to), rest(to, &from))
}

/// Tells each second how late the lab's own timers woke at most.
async fn lateness(recorder: Recorder) {
    let (mut worst, mut told) = (0, recorder.now());
    loop {
        let due = recorder.now() + 5_000;
        sleep_until(Instant::from_std(recorder.instant(due))).await;
        worst = recorder.now().saturating_sub(due).max(worst);
        if recorder.now() > told + 1_000_000 {
            recorder.tell(Event::Lateness { worst_us: worst });
            (worst, told) = (0, recorder.now());
        }
    }
}

/// How often a run is begun anew that could not get its ports.
const TRIES: usize = 3;

/// Carries a scenario out with one seed and writes its files into `folder`.
///
/// # Errors
/// What could not be done, in one line. No process is left behind.
pub async fn carry_out(
    scenario: &Scenario,
    seed: u64,
    folder: &Path,
    launcher: &Launcher,
    progress: impl FnMut(f64, usize),
) -> io::Result<Summary> {
    fs::create_dir_all(folder)?;
    let facts = scenario.facts(seed);
    fs::write(folder.join(FACTS), serde_json::to_vec_pretty(&facts)?)?;
    let path = folder.join(RECORD);
    let (mut run, writer) = {
        let mut tries = 1;
        loop {
            let (recorder, writer) = Recorder::create(&path)?;
            match Run::start(scenario, seed, folder, launcher, recorder).await {
                Ok(run) => break (run, writer),
                // Another program may have taken a port meanwhile: the next ground has others.
                Err(error) if tries < TRIES && error.to_string().contains("cannot listen") => {
                    tries += 1;
                }
                Err(error) => return Err(error),
            }
        }
    };
    let played = run.play(progress).await;
    run.net.close();
    run.tasks.shutdown().await;
    drop(run);
    // Whatever still holds the record ends with its task; those of connections may need a moment.
    let finished = tokio::task::spawn_blocking(|| writer.finish())
        .await
        .map_err(io::Error::other)?;
    played?;
    finished?;
    judge(folder)
}

/// Judges a run by the files in `folder` alone, and writes summary and report there.
///
/// # Errors
/// A file is not there or makes no sense.
pub fn judge(folder: &Path) -> io::Result<Summary> {
    let facts_path = folder.join(FACTS);
    let told = |error: io::Error| {
        io::Error::new(error.kind(), format!("{}: {error}", facts_path.display()))
    };
    let facts: Facts = serde_json::from_slice(&fs::read(&facts_path).map_err(told)?)?;
    let path = folder.join(RECORD);
    let told =
        |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
    let entries = record::read(&path).map_err(told)?;
    let findings = findings(&facts, &entries);
    let summary = Summary {
        scenario: facts.scenario.clone(),
        seed: facts.seed,
        verdict: verdict(&facts, &entries, &findings),
        findings,
        figures: figures(&facts, &entries),
    };
    fs::write(folder.join(SUMMARY), serde_json::to_vec_pretty(&summary)?)?;
    fs::write(folder.join("summary.txt"), report::text(&summary))?;
    fs::write(
        folder.join(REPORT),
        report::html(&facts, &entries, &summary),
    )?;
    Ok(summary)
}

#[cfg(test)]
mod tests;
