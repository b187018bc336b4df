//! Scenarios: what a run consists of, read from TOML and checked before anything is started.

use crate::client::Habits;
use crate::fleet::{Class, Facts, Plan, Rules};
use crate::ground::MOST_DOORS;
use crate::kinds::Kind as Bound;
use crate::model::Machine;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;
use toml::Spanned;

/// The scenarios that ship: name and text.
pub const SHIPPED: [(&str, &str); 12] = [
    ("calm", include_str!("../scenarios/calm.toml")),
    ("kill", include_str!("../scenarios/kill.toml")),
    ("stall", include_str!("../scenarios/stall.toml")),
    ("partition", include_str!("../scenarios/partition.toml")),
    ("ban", include_str!("../scenarios/ban.toml")),
    ("settings", include_str!("../scenarios/settings.toml")),
    ("lists", include_str!("../scenarios/lists.toml")),
    ("rolling", include_str!("../scenarios/rolling.toml")),
    ("view", include_str!("../scenarios/view.toml")),
    ("sessions", include_str!("../scenarios/sessions.toml")),
    ("owner", include_str!("../scenarios/owner.toml")),
    ("shards", include_str!("../scenarios/shards.toml")),
];

/// Bounds of a run, so that each ends and fits a machine.
const MOST_SECONDS: f64 = 600.0;
const MOST_BACKENDS: usize = 200;
const MOST_REQUESTS: f64 = 1_000_000.0;
const MOST_REPEATS: u32 = 100;

/// A scenario as it is written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    pub about: String,
    pub seconds: f64,
    /// Runs with as many seeds, one after the other.
    #[serde(default = "once")]
    pub repeats: u32,
    /// The checks that a run has to pass; all where it is missing.
    pub checks: Option<Vec<String>>,
    /// No verdict where the lab itself was later than this, at the 99th percentile.
    #[serde(default = "lateness")]
    pub lateness_ms: f64,
    pub fleet: Fleet,
    pub backends: Backends,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub clients: Clients,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
    #[serde(default, rename = "kill")]
    kills: Vec<Kill>,
    #[serde(default, rename = "stop")]
    stops: Vec<Stop>,
    #[serde(default, rename = "restart")]
    restarts: Vec<Restart>,
    #[serde(default, rename = "link")]
    links: Vec<Link>,
    #[serde(default, rename = "backend")]
    troubles: Vec<Trouble>,
    #[serde(default, rename = "call")]
    calls: Vec<Call>,
    #[serde(default, rename = "settings")]
    settings: Vec<Replace>,
    #[serde(default, rename = "roster")]
    rosters: Vec<Members>,
}

fn once() -> u32 {
    1
}
fn lateness() -> f64 {
    30.0
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub doors: usize,
    #[serde(default = "one")]
    pub zones: usize,
    #[serde(default = "memory")]
    pub memory_mb: u32,
    #[serde(default = "sockets")]
    pub sockets: u32,
    /// Each agent learns of changes so late, drawn between the two.
    #[serde(default)]
    pub list_late_ms: [u64; 2],
    /// The front doors keep a view of the fleet, over relays on every directed link, with this probe period.
    #[serde(default)]
    pub view: bool,
    #[serde(default = "probe")]
    pub probe_ms: u64,
    /// They agree on an owner by a lease of this length, on a map of who keeps which customers, and pool sessions by what
    /// keepers saw. What the last two say goes into their configuration as it stands. Each needs the one before it.
    pub lease_ms: Option<u64>,
    pub shards: Option<serde_json::Value>,
    pub sessions: Option<serde_json::Value>,
}

impl Fleet {
    /// Whether the front doors know of each other.
    pub fn has_view(&self) -> bool {
        self.view || self.lease_ms.is_some()
    }
}

fn probe() -> u64 {
    500
}

fn one() -> usize {
    1
}
fn memory() -> u32 {
    192
}
fn sockets() -> u32 {
    1024
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backends {
    pub count: usize,
    pub cores: usize,
    #[serde(default = "half")]
    pub spread: f64,
    #[serde(default = "waiting")]
    pub waiting: usize,
    #[serde(default = "late")]
    pub meter_late_ms: f64,
}

fn half() -> f64 {
    0.5
}
fn waiting() -> usize {
    32
}
fn late() -> f64 {
    400.0
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    pub retry_share: f64,
    pub retry_after_ms: u64,
    pub notice_ms: u64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retry_share: 0.0,
            retry_after_ms: 500,
            notice_ms: 2000,
        }
    }
}

/// Some parties: `d0, d3`, `doors`, `b1`, `backends`, `agents`, `clients`, or a part drawn from the seed: `7/10 doors`.
/// The same part is the same choice throughout a run; `rest 7/10 doors` are the others. `owner` is the front door that was
/// the last to tell that it is, when the fault begins; `others`, in a link, all front doors that are not on its other side.
#[derive(Debug, Clone, Deserialize, PartialEq, Eq)]
#[serde(try_from = "String")]
pub struct Selection {
    terms: Vec<Term>,
    text: String,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Term {
    Clients,
    Owner,
    Others,
    One(Kind, usize),
    All(Kind),
    Part {
        kind: Kind,
        part: usize,
        of: usize,
        rest: bool,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Door,
    Backend,
    Agent,
}

impl Kind {
    const ALL: [(Kind, &'static str, &'static str); 3] = [
        (Kind::Door, "d", "doors"),
        (Kind::Backend, "b", "backends"),
        (Kind::Agent, "a", "agents"),
    ];
    fn letter(self) -> &'static str {
        Kind::ALL
            .iter()
            .find(|(kind, ..)| *kind == self)
            .map_or("", |(_, letter, _)| letter)
    }
    fn plural(word: &str) -> Option<Kind> {
        Kind::ALL
            .iter()
            .find(|(.., plural)| *plural == word)
            .map(|(kind, ..)| *kind)
    }
}

impl TryFrom<String> for Selection {
    type Error = String;
    fn try_from(text: String) -> Result<Selection, String> {
        text.parse()
    }
}

impl FromStr for Selection {
    type Err = String;
    fn from_str(text: &str) -> Result<Selection, String> {
        let terms: Result<Vec<Term>, String> = text
            .split(',')
            .map(|term| Term::read(term.trim()))
            .collect();
        Ok(Selection {
            terms: terms?,
            text: text.to_string(),
        })
    }
}

impl Term {
    fn read(text: &str) -> Result<Term, String> {
        let problem = || {
            format!(
                "'{text}' is none of d0, b0, a0, doors, backends, agents, clients, 1/3 doors, rest 1/3 doors, owner, \
                 others"
            )
        };
        if text == "clients" {
            return Ok(Term::Clients);
        }
        if text == OWNER {
            return Ok(Term::Owner);
        }
        if text == OTHERS {
            return Ok(Term::Others);
        }
        if let Some(kind) = Kind::plural(text) {
            return Ok(Term::All(kind));
        }
        for (kind, letter, _) in Kind::ALL {
            if let Some(Ok(number)) = text.strip_prefix(letter).map(str::parse) {
                return Ok(Term::One(kind, number));
            }
        }
        let (rest, words) = match text.strip_prefix("rest ") {
            Some(words) => (true, words),
            None => (false, text),
        };
        let (part, plural) = words.split_once(' ').ok_or_else(problem)?;
        let (part, of) = part.split_once('/').ok_or_else(problem)?;
        let (part, of) = (
            part.parse().map_err(|_| problem())?,
            of.parse().map_err(|_| problem())?,
        );
        let kind = Kind::plural(plural.trim()).ok_or_else(problem)?;
        if part > of || of == 0 {
            return Err(problem());
        }
        Ok(Term::Part {
            kind,
            part,
            of,
            rest,
        })
    }
}

impl Selection {
    /// The parties' names, in order. A part is drawn from the seed and rounded to at least one party.
    fn names(&self, scenario: &Scenario, seed: u64) -> Result<Vec<String>, String> {
        let count = |kind| match kind {
            Kind::Door | Kind::Agent => scenario.fleet.doors,
            Kind::Backend => scenario.backends.count,
        };
        let mut names = Vec::new();
        for term in &self.terms {
            match *term {
                Term::Clients => names.push("clients".to_string()),
                Term::Owner if scenario.fleet.lease_ms.is_none() => {
                    return Err("there is no owner without fleet.lease_ms".into());
                }
                Term::Owner => names.push(OWNER.to_string()),
                Term::Others => names.push(OTHERS.to_string()),
                Term::One(kind, number) if number >= count(kind) => {
                    return Err(format!(
                        "there is no {}{number}: there are {}",
                        kind.letter(),
                        count(kind)
                    ));
                }
                Term::One(kind, number) => names.push(format!("{}{number}", kind.letter())),
                Term::All(kind) => {
                    names.extend((0..count(kind)).map(|n| format!("{}{n}", kind.letter())));
                }
                Term::Part {
                    kind,
                    part,
                    of,
                    rest,
                } => {
                    let mut all: Vec<usize> = (0..count(kind)).collect();
                    all.shuffle(&mut Pcg64Mcg::seed_from_u64(seed));
                    let some = ((all.len() * part) as f64 / of as f64).round().max(1.0) as usize;
                    let chosen: BTreeSet<usize> = if rest {
                        all.split_off(some.min(all.len()))
                    } else {
                        all.drain(..some).collect()
                    }
                    .into_iter()
                    .collect();
                    names.extend(chosen.into_iter().map(|n| format!("{}{n}", kind.letter())));
                }
            }
        }
        Ok(names)
    }

    /// The numbers of the parties, all of which have to be of this kind.
    fn numbers(&self, kind: Kind, scenario: &Scenario, seed: u64) -> Result<Vec<usize>, String> {
        let names = self.names(scenario, seed)?;
        let number = |name: &String| name.strip_prefix(kind.letter())?.parse().ok();
        names
            .iter()
            .map(|name| number(name).ok_or_else(|| format!("{name} is not what this is done to")))
            .collect()
    }

    /// Front doors, of which one may be the owner.
    fn whom(&self, scenario: &Scenario, seed: u64) -> Result<Vec<Whom>, String> {
        let mut doors = Vec::new();
        for term in &self.terms {
            let alone = Selection {
                terms: vec![term.clone()],
                text: String::new(),
            };
            if *term == Term::Owner {
                alone.names(scenario, seed)?;
                doors.push(Whom::Owner);
            } else {
                doors.extend(
                    alone
                        .numbers(Kind::Door, scenario, seed)?
                        .into_iter()
                        .map(Whom::Door),
                );
            }
        }
        Ok(doors)
    }
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Kill {
    at_ms: Spanned<u64>,
    doors: Spanned<Selection>,
    /// They are started anew so much later; never where it is missing.
    back_ms: Option<u64>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stop {
    at_ms: Spanned<u64>,
    doors: Spanned<Selection>,
    for_ms: u64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Restart {
    at_ms: Spanned<u64>,
    doors: Spanned<Selection>,
    /// So many at a time, and so long from one step to the next.
    #[serde(default = "one")]
    at_once: usize,
    every_ms: u64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Link {
    at_ms: Spanned<u64>,
    from: Spanned<Selection>,
    to: Spanned<Selection>,
    for_ms: u64,
    /// In both directions; else only from `from` to `to`.
    #[serde(default = "both")]
    both: bool,
    #[serde(default)]
    cut: bool,
    #[serde(default)]
    stall: bool,
    /// Open connections are reset at the beginning.
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    delay_ms: u64,
    #[serde(default)]
    jitter_ms: u64,
    #[serde(default)]
    loss: f64,
    #[serde(default)]
    double: f64,
    #[serde(default)]
    reorder: f64,
}

fn both() -> bool {
    true
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Trouble {
    at_ms: Spanned<u64>,
    backends: Spanned<Selection>,
    for_ms: Option<u64>,
    state: State,
    /// With `slow`: so many times slower; with `failing`: the part of requests that fails.
    #[serde(default = "much")]
    much: f64,
}

fn much() -> f64 {
    1.0
}

#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Slow,
    Failing,
    Silent,
    Gone,
    /// It drains, is told so, and comes back as it was.
    Draining,
    /// It is gone and starts anew, cold.
    Restart,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Call {
    at_ms: Spanned<u64>,
    doors: Spanned<Selection>,
    /// What staff say; `b0` stands for that backend's name.
    line: String,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Replace {
    at_ms: Spanned<u64>,
    doors: Spanned<Selection>,
    /// The plan that the new settings leave with next to no quota.
    withdraw: Spanned<String>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Members {
    at_ms: Spanned<u64>,
    /// Who is told.
    doors: Spanned<Selection>,
    /// The front doors that the fleet has from then on.
    members: Spanned<Selection>,
}

/// How a link names the owner, and those who are not on its other side: who that is shows when the fault begins.
pub const OWNER: &str = "owner";
pub const OTHERS: &str = "others";

/// To which front door something is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Whom {
    Door(usize),
    /// Whichever is the owner when the fault begins.
    Owner,
}

/// What is done at a moment.
#[derive(Debug, Clone, PartialEq)]
pub enum Deed {
    Kill(Vec<Whom>),
    Start(Vec<Whom>),
    Stop(Vec<Whom>),
    Continue(Vec<Whom>),
    /// SIGTERM, and a new start once each has ended.
    Restart(Vec<Whom>),
    Link {
        from: Vec<String>,
        to: Vec<String>,
        both: bool,
        change: Change,
    },
    Backend {
        backends: Vec<usize>,
        state: State,
        much: f64,
        begins: bool,
    },
    Call {
        doors: Vec<usize>,
        line: String,
    },
    Withdraw {
        doors: Vec<usize>,
        plan: String,
    },
    /// These are told that the fleet has those members.
    Roster {
        doors: Vec<usize>,
        members: Vec<usize>,
    },
}

impl Deed {
    /// Whether it is done to the owner of the moment.
    pub fn names_owner(&self) -> bool {
        match self {
            Deed::Kill(doors)
            | Deed::Start(doors)
            | Deed::Stop(doors)
            | Deed::Continue(doors)
            | Deed::Restart(doors) => doors.contains(&Whom::Owner),
            Deed::Link { from, to, .. } => from.iter().chain(to).any(|name| name == OWNER),
            _ => false,
        }
    }
}

/// What happens to links.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Set(crate::net::Condition, bool),
    Whole,
}

/// A deed and its moment in milliseconds since the clients' first request.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    pub at_ms: u64,
    pub deed: Deed,
    /// The fault that this begins or ends, and how it is called.
    pub fault: usize,
    pub text: String,
    pub begins: bool,
}

impl Scenario {
    /// One that ships.
    pub fn shipped(name: &str) -> Option<Result<Scenario, String>> {
        let (_, text) = SHIPPED.iter().find(|(shipped, _)| *shipped == name)?;
        Some(Scenario::parse(name, text))
    }

    /// Reads and checks a scenario. `file` is how errors call it.
    ///
    /// # Errors
    /// One line with file, line, key and what is wrong there.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, String> {
        let line =
            |span: &Range<usize>| 1 + text[..span.start.min(text.len())].matches('\n').count();
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            let at = error.span().map_or(0, |span| line(&span));
            let key = error
                .span()
                .and_then(|span| text.lines().nth(line(&span) - 1))
                .unwrap_or_default();
            let message = error.message().replace('\n', " ");
            format!("{file}:{at}: {message}: {}", key.trim())
        })?;
        scenario
            .check_sizes()
            .map_err(|problem| format!("{file}: {problem}"))?;
        scenario
            .steps_or_problem(1)
            .map_err(|(span, key, problem)| format!("{file}:{}: {key}: {problem}", line(&span)))?;
        Ok(scenario)
    }

    #[expect(
        clippy::too_many_lines,
        reason = "not split by step yet: docs/ROADMAP.md, Readable code"
    )]
    fn check_sizes(&self) -> Result<(), String> {
        let within = |key: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err(format!("{key}: {value} is not between {least} and {most}"))
            }
        };
        within("seconds", self.seconds, 1.0, MOST_SECONDS)?;
        within("repeats", self.repeats.into(), 1.0, MOST_REPEATS.into())?;
        within(
            "fleet.doors",
            self.fleet.doors as f64,
            1.0,
            MOST_DOORS as f64,
        )?;
        within("fleet.zones", self.fleet.zones as f64, 1.0, 16.0)?;
        within("fleet.probe_ms", self.fleet.probe_ms as f64, 50.0, 60_000.0)?;
        let lease = self.fleet.lease_ms;
        within(
            "fleet.lease_ms",
            lease.unwrap_or(500) as f64,
            500.0,
            60_000.0,
        )?;
        if self.fleet.shards.is_some() && lease.is_none() {
            return Err("fleet.shards: it needs fleet.lease_ms".into());
        }
        if self.fleet.sessions.is_some() && self.fleet.shards.is_none() {
            return Err("fleet.sessions: it needs fleet.shards".into());
        }
        within(
            "backends.count",
            self.backends.count as f64,
            1.0,
            MOST_BACKENDS as f64,
        )?;
        within("backends.cores", self.backends.cores as f64, 1.0, 1024.0)?;
        within("backends.spread", self.backends.spread, 0.0, 4.0)?;
        within("clients.retry_share", self.clients.retry_share, 0.0, 1.0)?;
        within(
            "rules.most_units",
            self.rules.most_units.into(),
            1.0,
            1000.0,
        )?;
        within(
            "rules.meter_period_ms",
            self.rules.meter_period_ms,
            100.0,
            60_000.0,
        )?;
        for (key, count) in [("class", self.classes.len()), ("plan", self.plans.len())] {
            within(key, count as f64, 1.0, 64.0)?;
        }
        for class in &self.classes {
            within(
                &format!("class {}: service_ms", class.name),
                class.service_ms,
                0.01,
                60_000.0,
            )?;
            within(
                &format!("class {}: deadline_ms", class.name),
                class.deadline_ms,
                10.0,
                60_000.0,
            )?;
            within(
                &format!("class {}: share", class.name),
                class.share,
                1e-6,
                1e6,
            )?;
        }
        for plan in &self.plans {
            self.check_runs(plan)?;
            within(
                &format!("plan {}: units_per_s", plan.name),
                plan.units_per_s,
                1e-3,
                1e6,
            )?;
            within(
                &format!("plan {}: offered", plan.name),
                plan.offered,
                0.0,
                1000.0,
            )?;
            within(
                &format!("plan {}: uneven", plan.name),
                plan.uneven,
                0.0,
                1.0,
            )?;
            within(
                &format!("plan {}: spread", plan.name),
                plan.spread as f64,
                1.0,
                MOST_DOORS as f64,
            )?;
            within(
                &format!("plan {}: customers", plan.name),
                plan.customers as f64,
                0.0,
                100_000.0,
            )?;
        }
        let names: BTreeSet<&str> = self.plans.iter().map(|plan| plan.name.as_str()).collect();
        if names.len() < self.plans.len() {
            return Err("plan: two have the same name".into());
        }
        let [least, most] = self.fleet.list_late_ms;
        if least > most {
            return Err(format!("fleet.list_late_ms: {least} is more than {most}"));
        }
        let requests: f64 = self
            .plans
            .iter()
            .map(|plan| plan.customers as f64 * plan.units_per_s * plan.offered)
            .sum();
        within(
            "all requests of a run",
            requests * self.seconds,
            0.0,
            MOST_REQUESTS,
        )?;
        for check in self.checks.iter().flatten() {
            if !crate::check::NAMES.contains(&check.as_str()) {
                return Err(format!(
                    "checks: there is no '{check}': there are {}",
                    crate::check::NAMES.join(", ")
                ));
            }
        }
        Ok(())
    }

    /// Whether a plan's requests can come in the runs that it asks for.
    fn check_runs(&self, plan: &Plan) -> Result<(), String> {
        let Plan {
            name,
            run_length,
            run_gap_ms,
            run_spread,
            ..
        } = plan;
        if plan.kind == Bound::Statement && *run_length == 0.0 {
            return Ok(());
        }
        for (key, value, least, most) in [
            ("run_length", *run_length, 1.0, 1000.0),
            ("run_gap_ms", *run_gap_ms, 10.0, 60_000.0),
            ("run_spread", *run_spread as f64, 1.0, plan.spread as f64),
        ] {
            if !(least..=most).contains(&value) {
                return Err(format!(
                    "plan {name}: {key}: {value} is not between {least} and {most}"
                ));
            }
        }
        let mean_units = (1.0 + f64::from(self.rules.most_units)) / 2.0;
        let rate = plan.units_per_s * plan.offered * (1.0 + plan.uneven) / mean_units;
        if rate > 0.0 && plan.between_runs_ms(rate)[0] <= 0.0 {
            return Err(format!(
                "plan {name}: run_gap_ms: {rate} requests a second leave no time between runs of {run_length}: make \
                 runs longer, the gap shorter, or offer less"
            ));
        }
        Ok(())
    }

    /// What the parties and the checks are to know.
    pub fn facts(&self, seed: u64) -> Facts {
        let all = || {
            crate::check::NAMES
                .iter()
                .map(ToString::to_string)
                .collect()
        };
        Facts {
            scenario: self.name.clone(),
            seed,
            seconds: self.seconds,
            doors: self.fleet.doors,
            backends: self.backends.count,
            zones: self.fleet.zones,
            classes: self.classes.clone(),
            plans: self.plans.clone(),
            rules: self.rules.clone(),
            checks: self.checks.clone().unwrap_or_else(all),
            lateness_ms: self.lateness_ms,
        }
    }

    /// How each backend is made.
    pub fn machine(&self) -> Machine {
        Machine {
            cores: self.backends.cores,
            service_ms: self.classes.iter().map(|class| class.service_ms).collect(),
            spread: self.backends.spread,
            waiting: self.backends.waiting,
            cold_from: self.rules.cold_from,
            cold_ms: self.rules.cold_ms,
            tip_multiple: self.rules.tip_multiple,
            tip_ms: self.rules.tip_ms,
        }
    }

    /// How clients behave.
    pub fn habits(&self) -> Habits {
        Habits {
            retry_share: self.clients.retry_share,
            retry_after: Duration::from_millis(self.clients.retry_after_ms),
            notice: Duration::from_millis(self.clients.notice_ms),
        }
    }

    /// Whether a fault is put between the clients and a front door: else they call it without a relay, so that one that
    /// is not there refuses their connections.
    pub fn relays_clients(&self) -> bool {
        let named = |of: &Spanned<Selection>| of.get_ref().terms.contains(&Term::Clients);
        self.links
            .iter()
            .any(|link| named(&link.from) || named(&link.to))
    }

    /// All that is done, in order, with choices drawn from the seed.
    pub fn steps(&self, seed: u64) -> Vec<Step> {
        // Parsing has found no problem for any seed: choices differ, their sizes do not.
        self.steps_or_problem(seed).unwrap_or_default()
    }

    #[expect(
        clippy::too_many_lines,
        reason = "not split by step yet: docs/ROADMAP.md, Readable code"
    )]
    fn steps_or_problem(
        &self,
        seed: u64,
    ) -> Result<Vec<Step>, (Range<usize>, &'static str, String)> {
        let mut steps: Vec<Step> = Vec::new();
        let mut fault = 0;
        let end = (self.seconds * 1000.0) as u64;
        let at = |of: &Spanned<u64>| {
            let at = *of.get_ref();
            if at < end {
                Ok(at)
            } else {
                Err((
                    of.span(),
                    "at_ms",
                    format!("{at} is not before the end at {end}"),
                ))
            }
        };
        let doors = |of: &Spanned<Selection>| {
            let numbers = of.get_ref().numbers(Kind::Door, self, seed);
            numbers.map_err(|problem| (of.span(), "doors", problem))
        };
        let whom = |of: &Spanned<Selection>| {
            of.get_ref()
                .whom(self, seed)
                .map_err(|problem| (of.span(), "doors", problem))
        };
        let mut add = |at_ms: u64, deed: Deed, text: &str, begins: bool, new: bool| {
            fault += usize::from(new);
            steps.push(Step {
                at_ms,
                deed,
                fault,
                text: text.to_string(),
                begins,
            });
        };
        for kill in &self.kills {
            let (at, doors) = (at(&kill.at_ms)?, whom(&kill.doors)?);
            let text = format!("kill {}", kill.doors.get_ref().text);
            add(at, Deed::Kill(doors.clone()), &text, true, true);
            if let Some(back) = kill.back_ms {
                add(at + back, Deed::Start(doors), &text, false, false);
            }
        }
        for stop in &self.stops {
            let (at, doors) = (at(&stop.at_ms)?, whom(&stop.doors)?);
            let text = format!("stop {}", stop.doors.get_ref().text);
            add(at, Deed::Stop(doors.clone()), &text, true, true);
            add(at + stop.for_ms, Deed::Continue(doors), &text, false, false);
        }
        for restart in &self.restarts {
            let (mut at, doors) = (at(&restart.at_ms)?, whom(&restart.doors)?);
            let text = format!("restart {}", restart.doors.get_ref().text);
            let mut new = true;
            let groups: Vec<&[Whom]> = doors.chunks(restart.at_once.max(1)).collect();
            for (n, group) in groups.iter().enumerate() {
                add(
                    at,
                    Deed::Restart(group.to_vec()),
                    &text,
                    n + 1 < groups.len() || n == 0,
                    new,
                );
                (at, new) = (at + restart.every_ms, false);
            }
        }
        for link in &self.links {
            let at = at(&link.at_ms)?;
            let names = |of: &Spanned<Selection>, key| {
                of.get_ref()
                    .names(self, seed)
                    .map_err(|problem| (of.span(), key, problem))
            };
            let (from, to) = (names(&link.from, "from")?, names(&link.to, "to")?);
            if [&from, &to]
                .into_iter()
                .all(|side| side.iter().any(|name| name == OTHERS))
            {
                let problem =
                    "others are those who are not on the other side, which names them too"
                        .to_string();
                return Err((link.to.span(), "to", problem));
            }
            let condition = crate::net::Condition {
                delay: Duration::from_millis(link.delay_ms),
                jitter: Duration::from_millis(link.jitter_ms),
                cut: link.cut,
                stall: link.stall,
                loss: link.loss,
                double: link.double,
                reorder: link.reorder,
                resets: 0,
            };
            let what = if link.reset {
                "reset".into()
            } else {
                condition.words()
            };
            let text = format!(
                "{what} {} - {}",
                link.from.get_ref().text,
                link.to.get_ref().text
            );
            let deed = |change| Deed::Link {
                from: from.clone(),
                to: to.clone(),
                both: link.both,
                change,
            };
            add(
                at,
                deed(Change::Set(condition, link.reset)),
                &text,
                true,
                true,
            );
            add(at + link.for_ms, deed(Change::Whole), &text, false, false);
        }
        for trouble in &self.troubles {
            let at = at(&trouble.at_ms)?;
            let numbers = trouble
                .backends
                .get_ref()
                .numbers(Kind::Backend, self, seed);
            let backends =
                numbers.map_err(|problem| (trouble.backends.span(), "backends", problem))?;
            let text =
                format!("{:?} {}", trouble.state, trouble.backends.get_ref().text).to_lowercase();
            let deed = |begins| Deed::Backend {
                backends: backends.clone(),
                state: trouble.state,
                much: trouble.much,
                begins,
            };
            add(at, deed(true), &text, true, true);
            if let Some(time) = trouble.for_ms {
                add(at + time, deed(false), &text, false, false);
            }
        }
        for call in &self.calls {
            let (at, doors) = (at(&call.at_ms)?, doors(&call.doors)?);
            let text = format!("{} at {}", call.line, call.doors.get_ref().text);
            add(
                at,
                Deed::Call {
                    doors,
                    line: call.line.clone(),
                },
                &text,
                true,
                true,
            );
        }
        for replace in &self.settings {
            let (at, doors) = (at(&replace.at_ms)?, doors(&replace.doors)?);
            let plan = replace.withdraw.get_ref().clone();
            if !self.plans.iter().any(|known| known.name == plan) {
                return Err((
                    replace.withdraw.span(),
                    "withdraw",
                    format!("there is no plan '{plan}'"),
                ));
            }
            let text = format!("withdraw {plan} at {}", replace.doors.get_ref().text);
            add(at, Deed::Withdraw { doors, plan }, &text, true, true);
        }
        for roster in &self.rosters {
            let (at, doors) = (at(&roster.at_ms)?, doors(&roster.doors)?);
            let members = roster.members.get_ref().numbers(Kind::Door, self, seed);
            let members = members.map_err(|problem| (roster.members.span(), "members", problem))?;
            if !self.fleet.has_view() {
                let problem = "the front doors have no view of the fleet (fleet.view)".to_string();
                return Err((roster.members.span(), "members", problem));
            }
            let text = format!(
                "roster {} at {}",
                roster.members.get_ref().text,
                roster.doors.get_ref().text
            );
            add(at, Deed::Roster { doors, members }, &text, true, true);
        }
        steps.sort_by_key(|step| step.at_ms);
        Ok(steps)
    }
}

#[cfg(test)]
mod tests;
