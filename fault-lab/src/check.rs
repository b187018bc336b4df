//! Verdicts and figures, from the records of a run alone.

use crate::client::BEYOND;
use crate::fleet::{backend_name, Facts, Plan, Semantics};
use crate::kinds::{bound, Bound};
use crate::record::{Ending, Entry, Event, Life, Micros, Ran};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

mod fences;
mod keepers;
mod owner;
mod told;
mod verdicts;

pub use owner::Gap;
pub use verdicts::Told as ToldOfKind;

/// The checks by name.
pub const NAMES: [&str; 11] = [
    "answers",
    "lost",
    "duplicates",
    "drains",
    "ceilings",
    "cold",
    "crashes",
    "one_owner",
    "one_keeper",
    "fenced",
    "verdicts",
];

/// What sockets and a busy machine are allowed beyond a rule's own time.
const SLACK: Micros = 50_000;
/// A ceiling's slack is what its rate gives in this time, beside its tolerance.
const CEILING_SLACK_S: f64 = 0.15;
/// How long before and after the first fault is looked at for units beyond limits.
const AFTER: Micros = 10_000_000;
/// Examples that a finding names.
const EXAMPLES: usize = 5;

/// What one check found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    pub check: String,
    /// How often the rule was broken.
    pub broken: usize,
    /// How many cases were looked at, and how many of those were left out as a fault excuses them.
    pub cases: usize,
    pub excused: usize,
    pub examples: Vec<String>,
}

impl Finding {
    fn new(check: &str) -> Finding {
        Finding {
            check: check.to_string(),
            broken: 0,
            cases: 0,
            excused: 0,
            examples: Vec::new(),
        }
    }
    fn break_rule(&mut self, example: impl FnOnce() -> String) {
        self.broken += 1;
        if self.examples.len() < EXAMPLES {
            self.examples.push(example());
        }
    }
}

/// What a run comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    Kept,
    Broken,
    /// The machine could not keep up: the run says nothing of the program.
    None,
}

/// How long something lasts during which something does not work: from one time to another, `None` for ever.
type Span = (Micros, Option<Micros>);

fn overlaps(spans: &[Span], from: Micros, to: Micros) -> bool {
    spans
        .iter()
        .any(|(begin, end)| *begin <= to && end.is_none_or(|end| end >= from))
}

/// When processes of a front door did not run, through no fault of their own, and when links were not whole.
struct Faults {
    doors: HashMap<usize, Vec<Span>>,
    links: HashMap<(String, String), Vec<Span>>,
}

impl Faults {
    fn of(entries: &[Entry]) -> Faults {
        let (mut doors, mut links) = (
            HashMap::<_, Vec<Span>>::new(),
            HashMap::<_, Vec<Span>>::new(),
        );
        for entry in entries {
            match &entry.event {
                Event::Door {
                    door,
                    life: Life::Killed | Life::Stopped,
                } => {
                    doors.entry(*door).or_default().push((entry.us, None));
                }
                // A front door that is started, or goes on, needs a moment.
                Event::Door {
                    door,
                    life: Life::Ready | Life::Continued,
                } => end(doors.get_mut(door), entry.us + SLACK),
                Event::Link {
                    from,
                    to,
                    condition,
                } => {
                    let spans = links.entry((from.clone(), to.clone())).or_default();
                    end(Some(spans), entry.us);
                    if condition != "whole" {
                        spans.push((entry.us, None));
                    }
                }
                _ => {}
            }
        }
        Faults { doors, links }
    }

    /// Whether the front door of a try, or its link to clients, was at fault before the try's end.
    fn excuse(&self, one: &Try, until: Micros) -> bool {
        let stood = |spans: &Vec<Span>| overlaps(spans, one.sent, until);
        self.doors.get(&one.door).is_some_and(stood)
            || self.link("clients", &door(one.door), one.sent, until)
    }

    /// Whether the link between two parties was at fault in either direction.
    fn link(&self, a: &str, b: &str, from: Micros, to: Micros) -> bool {
        let faulty = |a: &str, b: &str| {
            self.links
                .get(&(a.to_string(), b.to_string()))
                .is_some_and(|spans| overlaps(spans, from, to))
        };
        faulty(a, b) || faulty(b, a)
    }
}

fn end(spans: Option<&mut Vec<Span>>, at: Micros) {
    for span in spans.into_iter().flatten().filter(|(_, end)| end.is_none()) {
        span.1 = Some(at);
    }
}

/// What all checks look at.
struct Case<'a> {
    facts: &'a Facts,
    entries: &'a [Entry],
    tries: HashMap<&'a str, Try>,
    faults: Faults,
    told: told::Told<'a>,
}

type Check = fn(&Case<'_>) -> Finding;

/// All checks that the run is to pass.
pub fn findings(facts: &Facts, entries: &[Entry]) -> Vec<Finding> {
    let told = told::Told::of(facts.doors, entries);
    let case = Case {
        facts,
        entries,
        tries: tries(entries),
        faults: Faults::of(entries),
        told,
    };
    let all: [(&str, Check); 11] = [
        ("answers", answers),
        ("lost", lost),
        ("duplicates", duplicates),
        ("drains", drains),
        ("ceilings", ceilings),
        ("cold", cold),
        ("crashes", crashes),
        ("one_owner", owner::one_owner),
        ("one_keeper", keepers::one_keeper),
        ("fenced", fences::fenced),
        ("verdicts", verdicts::verdicts),
    ];
    let asked = all
        .iter()
        .filter(|(name, _)| facts.checks.iter().any(|check| check == name));
    asked.map(|(_, check)| check(&case)).collect()
}

/// What the findings come to. A run of a machine that could not keep up has no verdict.
pub fn verdict(facts: &Facts, entries: &[Entry], findings: &[Finding]) -> Verdict {
    if lateness(entries).0 > facts.lateness_ms {
        Verdict::None
    } else if findings.iter().any(|finding| finding.broken > 0) {
        Verdict::Broken
    } else {
        Verdict::Kept
    }
}

/// How late the lab itself was, in milliseconds: the 99th percentile and the worst of its requests.
pub fn lateness(entries: &[Entry]) -> (f64, f64) {
    let mut late: Vec<Micros> = entries
        .iter()
        .filter_map(|entry| match &entry.event {
            Event::Sent { due, .. } => Some(entry.us.saturating_sub(*due)),
            _ => None,
        })
        .collect();
    late.sort_unstable();
    let at = |part: f64| {
        let index = (late.len() as f64 * part) as usize;
        late.get(index.min(late.len().saturating_sub(1)))
            .map_or(0.0, |us| *us as f64 / 1000.0)
    };
    (at(0.99), at(1.0))
}

struct Try {
    sent: Micros,
    door: usize,
    class: usize,
    ended: Option<(Micros, Ending)>,
}

fn tries(entries: &[Entry]) -> HashMap<&str, Try> {
    let mut tries: HashMap<&str, Try> = HashMap::new();
    for entry in entries {
        match &entry.event {
            Event::Sent {
                id, door, class, ..
            } => {
                let one = Try {
                    sent: entry.us,
                    door: *door,
                    class: *class,
                    ended: None,
                };
                tries.insert(id, one);
            }
            Event::Ended {
                id, ending, door, ..
            } => {
                if let Some(one) = tries.get_mut(id.as_str()) {
                    // A request that a close has crossed may have gone on to another one.
                    one.door = *door;
                    one.ended.get_or_insert((entry.us, *ending));
                }
            }
            _ => {}
        }
    }
    tries
}

/// Each request has one answer, and one in time.
fn answers(
    &Case {
        facts,
        entries,
        ref tries,
        ref faults,
        ..
    }: &Case<'_>,
) -> Finding {
    let mut finding = Finding::new("answers");
    let mut ends: HashMap<&str, usize> = HashMap::new();
    for entry in entries {
        if let Event::Ended { id, .. } = &entry.event {
            *ends.entry(id).or_default() += 1;
        }
    }
    for (id, one) in tries {
        finding.cases += 1;
        let limit = (facts.classes[one.class].deadline_ms * 1000.0) as Micros + SLACK;
        let until = one.ended.map_or(Micros::MAX, |(at, _)| at);
        let late = matches!(one.ended, Some((at, Ending::Served | Ending::Refused | Ending::Failed))
            if at.saturating_sub(one.sent) > limit + BEYOND.as_micros() as Micros);
        let never = matches!(one.ended, None | Some((_, Ending::GaveUp)));
        if ends.get(id).is_some_and(|ends| *ends > 1) {
            finding.break_rule(|| format!("{id} ended more than once"));
        } else if late || never {
            if faults.excuse(one, until) {
                finding.excused += 1;
            } else {
                let how = if late { "late" } else { "never" };
                finding.break_rule(|| {
                    format!(
                        "{id}, sent to d{} at {} ms, was answered {how}",
                        one.door,
                        one.sent / 1000
                    )
                });
            }
        }
    }
    finding
}

fn door(number: usize) -> String {
    format!("d{number}")
}

/// No front door that runs closes on a request that it has taken.
fn lost(Case { tries, faults, .. }: &Case<'_>) -> Finding {
    let mut finding = Finding::new("lost");
    for (id, one) in tries {
        finding.cases += 1;
        let Some((at, Ending::Cut)) = one.ended else {
            continue;
        };
        if faults.excuse(one, at) {
            finding.excused += 1;
        } else {
            finding.break_rule(|| {
                format!(
                    "{id}, sent to d{} at {} ms, was cut off",
                    one.door,
                    one.sent / 1000
                )
            });
        }
    }
    finding
}

/// What may not run twice does not, and backends get nothing that no client sent.
fn duplicates(
    &Case {
        facts,
        entries,
        ref tries,
        ..
    }: &Case<'_>,
) -> Finding {
    let mut finding = Finding::new("duplicates");
    // By id: when each attempt that may have run came, and those that were turned away at which backend.
    let mut arrived: BTreeMap<&str, Vec<(Micros, usize)>> = BTreeMap::new();
    for entry in entries {
        match &entry.event {
            Event::Arrived { id, backend, .. } => {
                arrived.entry(id).or_default().push((entry.us, *backend));
            }
            Event::Done {
                id,
                backend,
                ran: Ran::Never,
                ..
            } => {
                let attempts = arrived.entry(id).or_default();
                if let Some(last) = attempts.iter().rposition(|(_, at)| at == backend) {
                    attempts.remove(last);
                }
            }
            _ => {}
        }
    }
    for (id, attempts) in arrived {
        finding.cases += 1;
        let Some(one) = tries.get(id) else {
            finding.break_rule(|| format!("{id} came to a backend, and no client sent it"));
            continue;
        };
        let class = &facts.classes[one.class];
        let (Some((first, _)), Some((last, _))) = (attempts.first(), attempts.last()) else {
            continue;
        };
        let twice = match class.semantics {
            Semantics::Free => false,
            Semantics::SingleShot => attempts.len() > 1,
            Semantics::Guarded => (last - first) as f64 / 1000.0 > class.dedup_ms,
        };
        if twice {
            finding.break_rule(|| {
                format!(
                    "{id} of class {} may have run {} times",
                    class.name,
                    attempts.len()
                )
            });
        }
    }
    finding
}

/// Nothing new goes to a backend that the front door was told to leave alone, once the grace is over.
fn drains(
    &Case {
        facts,
        entries,
        ref faults,
        ..
    }: &Case<'_>,
) -> Finding {
    let mut finding = Finding::new("drains");
    let grace = (facts.rules.grace_ms * 1000.0) as Micros + SLACK;
    // By front door and backend: since when the list, or staff, have it out.
    let mut out: HashMap<(usize, usize), [Option<Micros>; 2]> = HashMap::new();
    for entry in entries {
        match &entry.event {
            Event::Told { door, states, .. } => {
                for (backend, state) in states {
                    let [list, _] = out.entry((*door, *backend)).or_default();
                    *list = (state != "ready").then(|| list.unwrap_or(entry.us));
                }
            }
            Event::Call { door, line, answer } if answer.starts_with("done") => {
                let Some((call, backend)) = named(facts, line) else {
                    continue;
                };
                let [_, staff] = out.entry((*door, backend)).or_default();
                *staff = (call == "maint-on").then(|| staff.unwrap_or(entry.us));
            }
            // What a process knew is gone with it.
            Event::Door {
                door,
                life: Life::Started,
            } => out.retain(|(told, _), _| told != door),
            Event::Arrived {
                id,
                backend,
                door: from,
                ..
            } => {
                finding.cases += 1;
                let told = out
                    .get(&(*from, *backend))
                    .into_iter()
                    .flatten()
                    .flatten()
                    .min();
                let Some(told) = told.filter(|told| entry.us > **told + grace) else {
                    continue;
                };
                // What a link held comes late through no fault of the front door.
                if faults.link(&door(*from), &format!("b{backend}"), *told, entry.us) {
                    finding.excused += 1;
                } else {
                    let after = (entry.us - told) / 1000;
                    finding.break_rule(|| {
                        format!("{id} came from d{from} to b{backend}, {after} ms after the word")
                    });
                }
            }
            _ => {}
        }
    }
    finding
}

/// The call and the backend of a line that staff said.
fn named<'a>(facts: &Facts, line: &'a str) -> Option<(&'a str, usize)> {
    let (call, name) = line.split_once(' ')?;
    Some((
        call,
        (0..facts.backends).find(|backend| backend_name(*backend) == name)?,
    ))
}

/// A limit on a customer's units: a second, at once, and how much more is let pass as slack of its level.
struct Limit {
    per_s: f64,
    most: f64,
}

/// The hard ceiling of a plan, with its slack.
fn ceiling(facts: &Facts, plan: &Plan) -> Option<Limit> {
    let depth = plan.ceiling_burst + plan.ceiling_per_s * CEILING_SLACK_S;
    let most = (depth * (1.0 + plan.tolerance)).max(depth + f64::from(facts.rules.most_units));
    let per_s = plan.ceiling_per_s * (1.0 + plan.tolerance);
    (plan.ceiling_per_s > 0.0).then_some(Limit { per_s, most })
}

/// The quota of a plan, without any slack: it is kept by chance and on the whole.
fn quota(_: &Facts, plan: &Plan) -> Option<Limit> {
    Some(Limit {
        per_s: plan.units_per_s,
        most: plan.burst_units,
    })
}

/// Units beyond a limit, each time that some are sent on: when, for whom, and how many.
fn beyond(
    facts: &Facts,
    entries: &[Entry],
    limit: impl Fn(&Facts, &Plan) -> Option<Limit>,
) -> (usize, Vec<(Micros, u64, f64)>) {
    // By customer: the level of its bucket, and when that was.
    let (mut buckets, mut seen) = (HashMap::<u64, (f64, Micros)>::new(), HashSet::new());
    let (mut cases, mut over) = (0, Vec::new());
    for entry in entries {
        let Event::Arrived {
            id,
            customer,
            plan,
            units,
            ..
        } = &entry.event
        else {
            continue;
        };
        let Some(Limit { per_s, most }) = limit(facts, &facts.plans[*plan]) else {
            continue;
        };
        // A try takes its units when its first attempt reaches a backend.
        if !seen.insert(id.as_str()) {
            continue;
        }
        cases += 1;
        let (level, at) = buckets.entry(*customer).or_insert((0.0, entry.us));
        *level = (*level - (entry.us - *at) as f64 / 1e6 * per_s).max(0.0) + f64::from(*units);
        *at = entry.us;
        let excess = *level - most;
        if excess > 0.0 {
            // Counted once: what is beyond does not make the next one be beyond.
            *level = most;
            over.push((entry.us, *customer, excess));
        }
    }
    (cases, over)
}

/// All front doors together keep each customer's ceiling, in rate and in attempts out at once.
fn ceilings(&Case { facts, entries, .. }: &Case<'_>) -> Finding {
    let mut finding = Finding::new("ceilings");
    let (cases, over) = beyond(facts, entries, ceiling);
    finding.cases = cases;
    for (at, customer, units) in over {
        finding.break_rule(|| {
            format!(
                "customer {customer:x} is {units:.1} units beyond at {} ms",
                at / 1000
            )
        });
    }
    let mut out: HashMap<u64, u32> = HashMap::new();
    let mut plans: HashMap<u64, &Plan> = HashMap::new();
    for entry in entries {
        match &entry.event {
            Event::Arrived { customer, plan, .. } => {
                let plan = plans.entry(*customer).or_insert(&facts.plans[*plan]);
                let now = out.entry(*customer).or_default();
                *now += 1;
                let most = f64::from(plan.open) * (1.0 + plan.tolerance) + 1.0;
                if plan.open > 0 && f64::from(*now) > most {
                    finding.break_rule(|| {
                        format!(
                            "customer {customer:x} has {now} attempts out at {} ms",
                            entry.us / 1000
                        )
                    });
                }
            }
            Event::Done { customer, .. } => {
                let now = out.entry(*customer).or_default();
                *now = now.saturating_sub(1);
            }
            _ => {}
        }
    }
    finding
}

/// No cold backend is pushed over.
fn cold(&Case { entries, .. }: &Case<'_>) -> Finding {
    let mut finding = Finding::new("cold");
    for entry in entries {
        match &entry.event {
            Event::Backend { state, .. } if state == "restart" => finding.cases += 1,
            Event::Tipped { backend } => {
                finding.break_rule(|| format!("b{backend} fell over at {} ms", entry.us / 1000));
            }
            _ => {}
        }
    }
    finding
}

/// No front door ends by itself, and each that is started says yes.
fn crashes(&Case { entries, .. }: &Case<'_>) -> Finding {
    let mut finding = Finding::new("crashes");
    let mut starting: BTreeMap<usize, Micros> = BTreeMap::new();
    for entry in entries {
        let Event::Door { door, life } = entry.event else {
            continue;
        };
        match life {
            Life::Started => {
                finding.cases += 1;
                starting.insert(door, entry.us);
            }
            Life::Crashed => {
                finding.break_rule(|| format!("d{door} ended by itself at {} ms", entry.us / 1000));
            }
            _ => drop(starting.remove(&door)),
        }
    }
    // The last moments of a run are too short for a start.
    let last = entries.last().map_or(0, |entry| entry.us);
    for (door, at) in starting.into_iter().filter(|(_, at)| at + 5_000_000 < last) {
        finding.break_rule(|| format!("d{door}, started at {} ms, never said yes", at / 1000));
    }
    finding
}

/// The figures of a run that later ones are compared by.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    pub sent: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Not taken, cut off, or without an answer.
    pub unanswered: usize,
    pub attempts: usize,
    /// From when a request was due to its answer, of those served, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// The lab's own lateness, in milliseconds.
    pub late_p99_ms: f64,
    pub late_worst_ms: f64,
    /// Units sent on beyond ceilings in all, and in the 10 s after the first fault.
    pub beyond_units: f64,
    pub beyond_units_after_fault: f64,
    /// Units sent on beyond quotas, rate and store, over all front doors, in the 10 s before the first fault (or what
    /// there is of them) and after it.
    pub over_quota_units_before_fault: f64,
    pub over_quota_units_after_fault: f64,
    /// From the first fault until as much is served, in each second for 3 s, as 0.9 of the mean of the 3 s before it.
    /// `None`: never, or there was no fault.
    pub whole_after_ms: Option<f64>,
    /// The share of the mean before the fault that is served in the worst second after it.
    pub worst_second: Option<f64>,
    /// For how long after the first word of staff, and how often, anybody sent to a backend that was out.
    pub ban_ignored_ms: Option<f64>,
    pub ban_ignored_by: usize,
    pub ban_ignored_sends: usize,
    /// For how long, and how often, a plan was served after it was withdrawn.
    pub settings_ignored_ms: Option<f64>,
    pub settings_ignored_by: usize,
    pub settings_ignored_sends: usize,
    /// The longest time between the first front door and the last that was told of one change of the list.
    pub lists_differ_ms: f64,
    /// Sends to a backend later than the grace after it began to drain or went, whoever knew of it.
    pub drain_ignored_sends: usize,
    /// How customers fared whose work depends on connections, where there are any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound: Option<Bound>,
    /// How long nobody was known to be the owner after each kill, stop or planned end of the owner, and of those that
    /// ended: the median and the worst. How many had no end.
    pub owner_gaps: Vec<Gap>,
    pub owner_gap_median_ms: Option<f64>,
    pub owner_gap_worst_ms: Option<f64>,
    pub owner_gaps_without_end: usize,
    /// From the first front door that told of a version of the map to the last one that could: the median and the worst.
    pub map_everywhere_median_ms: Option<f64>,
    pub map_everywhere_worst_ms: Option<f64>,
    /// What front doors told of customers of each kind, where they were asked.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub told: Vec<ToldOfKind>,
}

/// What one run comes to, as it is kept in the file `summary.json`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    pub scenario: String,
    pub seed: u64,
    pub verdict: Verdict,
    pub findings: Vec<Finding>,
    pub figures: Figures,
}

fn ms(us: Micros) -> f64 {
    us as f64 / 1000.0
}

/// Computes them.
pub fn figures(facts: &Facts, entries: &[Entry]) -> Figures {
    let mut figures = Figures::default();
    let mut due: HashMap<&str, Micros> = HashMap::new();
    // Milliseconds up to a minute, to three digits.
    let mut latency = hdrhistogram::Histogram::<u64>::new_with_bounds(1, 120_000_000, 3).ok();
    let start = entries
        .iter()
        .find(|entry| matches!(entry.event, Event::Sent { .. }))
        .map_or(0, |entry| entry.us);
    let mut served_in: BTreeMap<u64, usize> = BTreeMap::new();
    for entry in entries {
        match &entry.event {
            Event::Sent { id, due: at, .. } => {
                figures.sent += 1;
                due.insert(id, *at);
            }
            Event::Ended { id, ending, .. } => {
                let count = match ending {
                    Ending::Served => &mut figures.served,
                    Ending::Refused => &mut figures.refused,
                    Ending::Failed => &mut figures.failed,
                    Ending::NotTaken | Ending::Cut | Ending::GaveUp => &mut figures.unanswered,
                };
                *count += 1;
                if *ending == Ending::Served {
                    *served_in
                        .entry(entry.us.saturating_sub(start) / 1_000_000)
                        .or_default() += 1;
                    let took = entry
                        .us
                        .saturating_sub(due.get(id.as_str()).copied().unwrap_or(entry.us));
                    if let Some(latency) = &mut latency {
                        latency.saturating_record(took.max(1));
                    }
                }
            }
            Event::Arrived { .. } => figures.attempts += 1,
            _ => {}
        }
    }
    if let Some(latency) = &latency {
        let at = |quantile| ms(latency.value_at_quantile(quantile));
        (figures.p50_ms, figures.p99_ms, figures.p999_ms) = (at(0.5), at(0.99), at(0.999));
    }
    (figures.late_p99_ms, figures.late_worst_ms) = lateness(entries);
    let fault = entries
        .iter()
        .find(|entry| matches!(entry.event, Event::Fault { begins: true, .. }));
    let fault = fault.map(|entry| entry.us);
    let first = fault.unwrap_or(Micros::MAX);
    let units = |over: &[(Micros, u64, f64)], from: Micros, to: Micros| {
        over.iter()
            .filter(|(at, ..)| (from..to).contains(at))
            .fold(0.0, |sum, (.., units)| sum + units)
    };
    let after = (first, first.saturating_add(AFTER));
    let (_, over) = beyond(facts, entries, ceiling);
    figures.beyond_units = units(&over, 0, Micros::MAX);
    figures.beyond_units_after_fault = units(&over, after.0, after.1);
    let (_, over) = beyond(facts, entries, quota);
    figures.over_quota_units_before_fault = units(&over, first.saturating_sub(AFTER), first);
    figures.over_quota_units_after_fault = units(&over, after.0, after.1);
    if let Some(fault) = fault {
        recovery(
            &mut figures,
            &served_in,
            fault.saturating_sub(start),
            facts.seconds as u64,
        );
    }
    bans(facts, entries, &mut figures);
    withdrawals(facts, entries, &mut figures);
    lists(facts, entries, &mut figures);
    figures.bound = bound(facts, entries);
    figures.owner_gaps = owner::gaps(entries);
    let known = figures.owner_gaps.iter().filter_map(|gap| gap.ms).collect();
    (figures.owner_gap_median_ms, figures.owner_gap_worst_ms) = median_and_worst(known);
    figures.owner_gaps_without_end = figures
        .owner_gaps
        .iter()
        .filter(|gap| gap.ms.is_none())
        .count();
    (
        figures.map_everywhere_median_ms,
        figures.map_everywhere_worst_ms,
    ) = median_and_worst(keepers::spread(entries));
    figures.told = verdicts::told(facts, entries);
    figures
}

fn median_and_worst(mut all: Vec<f64>) -> (Option<f64>, Option<f64>) {
    all.sort_by(f64::total_cmp);
    (all.get(all.len() / 2).copied(), all.last().copied())
}

fn recovery(figures: &mut Figures, served_in: &BTreeMap<u64, usize>, fault: Micros, seconds: u64) {
    let fault = fault / 1_000_000;
    let served = |second: u64| served_in.get(&second).copied().unwrap_or(0) as f64;
    let mean = (fault.saturating_sub(3)..fault).map(served).sum::<f64>() / fault.clamp(1, 3) as f64;
    if mean <= 0.0 {
        return;
    }
    let whole = |second: &u64| (*second..second + 3).all(|second| served(second) >= 0.9 * mean);
    let after: Vec<u64> = (fault..seconds.saturating_sub(2)).collect();
    figures.whole_after_ms = after
        .iter()
        .find(|second| whole(second))
        .map(|second| (second - fault) as f64 * 1000.0);
    let worst = (fault..seconds).map(served).fold(f64::MAX, f64::min);
    figures.worst_second = Some(worst / mean).filter(|worst| worst.is_finite());
}

/// What came to backends that staff had out, from whomever.
fn bans(facts: &Facts, entries: &[Entry], figures: &mut Figures) {
    let grace = (facts.rules.grace_ms * 1000.0) as Micros;
    let (mut out, mut by) = (BTreeMap::new(), BTreeSet::new());
    for entry in entries {
        match &entry.event {
            Event::Call { line, answer, .. } if answer.starts_with("done") => {
                match named(facts, line) {
                    Some(("maint-on", backend)) => {
                        out.entry(backend).or_insert(entry.us);
                        figures.ban_ignored_ms.get_or_insert(0.0);
                    }
                    Some(("maint-off", backend)) => drop(out.remove(&backend)),
                    _ => {}
                }
            }
            Event::Arrived { backend, door, .. } => {
                let Some(told) = out.get(backend).filter(|told| entry.us > **told + grace) else {
                    continue;
                };
                figures.ban_ignored_ms = Some(ms(entry.us - told));
                figures.ban_ignored_sends += 1;
                by.insert(*door);
            }
            _ => {}
        }
    }
    figures.ban_ignored_by = by.len();
}

/// What was sent on for a plan after settings without it were given to any front door.
fn withdrawals(facts: &Facts, entries: &[Entry], figures: &mut Figures) {
    let withdrawn = |text: &str| {
        let name = text.strip_prefix("withdraw ")?.split(" at ").next()?;
        facts.plans.iter().position(|plan| plan.name == name)
    };
    let (mut since, mut by) = (BTreeMap::new(), BTreeSet::new());
    for entry in entries {
        match &entry.event {
            Event::Fault {
                text, begins: true, ..
            } => {
                if let Some(plan) = withdrawn(text) {
                    since.entry(plan).or_insert(entry.us);
                    figures.settings_ignored_ms.get_or_insert(0.0);
                }
            }
            Event::Arrived { plan, door, .. } => {
                let Some(since) = since.get(plan).filter(|since| entry.us > **since + SLACK) else {
                    continue;
                };
                figures.settings_ignored_ms = Some(ms(entry.us - since));
                figures.settings_ignored_sends += 1;
                by.insert(*door);
            }
            _ => {}
        }
    }
    figures.settings_ignored_by = by.len();
}

fn lists(facts: &Facts, entries: &[Entry], figures: &mut Figures) {
    let grace = (facts.rules.grace_ms * 1000.0) as Micros;
    // When each front door was first told of each version or a later one.
    let mut versions: BTreeMap<usize, Vec<(Micros, u64)>> = BTreeMap::new();
    let (mut newest, mut out) = (BTreeSet::new(), BTreeMap::new());
    for entry in entries {
        match &entry.event {
            Event::Told { door, rev, .. } => {
                versions.entry(*door).or_default().push((entry.us, *rev));
                newest.insert(*rev);
            }
            Event::Backend { backend, state } => match state.as_str() {
                "draining" | "gone" => drop(out.entry(*backend).or_insert(entry.us)),
                "ready" => drop(out.remove(backend)),
                _ => {}
            },
            Event::Arrived { backend, .. } => {
                let late = out.get(backend).is_some_and(|told| entry.us > told + grace);
                figures.drain_ignored_sends += usize::from(late);
            }
            _ => {}
        }
    }
    for rev in newest.into_iter().skip(1) {
        let first =
            |told: &Vec<(Micros, u64)>| told.iter().find(|(_, at)| *at >= rev).map(|(at, _)| *at);
        let times: Vec<Micros> = versions.values().filter_map(first).collect();
        if let (Some(first), Some(last)) = (times.iter().min(), times.iter().max()) {
            figures.lists_differ_ms = figures.lists_differ_ms.max(ms(last - first));
        }
    }
}

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod tests;
