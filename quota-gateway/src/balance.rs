//! Server selection and health of one gateway: the server list and operator overrides, the gateway's attempts
//! in flight, response times and failures, and the ramp-up of recently started servers.

use crate::control::blend;
use crate::interface::{
    Effect, Lifecycle, ListKind, Millis, Outcome, Scope, ServerEntry, ServerId, Settings,
};
use crate::quota::{Bucket, DecayingRate, DISTANT_PAST};
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Weight of a new sample in a server's slowness: about its last ten.
const SAMPLE_WEIGHT: f64 = 0.1;
/// A server with attempts of this gateway in flight that has not answered for this many mean answer times is
/// taken to hang.
const HANG_AFTER_MEANS: f64 = 4.0;
/// Mean answer times after which a server's measured slowness has decayed to a third.
const SLOWNESS_DECAY_MEANS: f64 = 20.0;
/// Consecutive failures that eject a server.
const EJECTION_FAILURES: u32 = 3;
/// Duration of a first ejection, in mean answer times.
const EJECTION_MEANS: f64 = 3.0;
/// Fraction of a cold server's allowance that is used. The rest covers differences between requests and
/// between gateways.
const COLD_MARGIN: f64 = 0.7;
/// Collapse windows (settings `tip_after`) for which unused allowance accumulates.
const ALLOWANCE_WINDOWS: f64 = 0.4;
/// Collapse windows for which successful answers are remembered.
const THROUGHPUT_WINDOWS: f64 = 4.0;
/// Minimum throughput assumed for a warm server, as a fraction of one core.
const MIN_CORES: f64 = 0.5;
/// Cost factor of a server in another zone: it breaks near ties only.
const REMOTE_ZONE_COST: f64 = 1.1;
/// Lower bound of a server's slowness: being faster than this does not count, so that a few lucky answers
/// do not attract all requests.
const MIN_SLOWNESS: f64 = 0.2;
/// Relative size of the random part of a cost: enough to separate equal servers, too little to overrule a
/// real difference.
const COST_JITTER: f64 = 0.1;
/// Minimum number of gateways that share a subset of the servers.
const MIN_GATEWAYS_PER_SUBSET: u32 = 20;
/// Minimum number of servers in a subset.
const MIN_SUBSET_SIZE: u32 = 12;

#[derive(Debug)]
struct Server {
    entry: ServerEntry,
    /// Send times of this gateway's attempts in flight, oldest first.
    in_flight: Vec<Millis>,
    /// Answer time relative to the mean of all servers.
    slowness: f64,
    last_outcome: Millis,
    last_answer: Millis,
    consecutive_failures: u32,
    ejected_until: Millis,
    /// Whether it belongs to the subset of servers that this gateway prefers.
    in_subset: bool,
}

impl Server {
    /// Whether it is excluded for now after consecutive failures.
    fn ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
            || (self.consecutive_failures >= EJECTION_FAILURES && !self.in_flight.is_empty())
    }

    /// Answer time relative to the mean. It decays towards 1, so that a server that was avoided is tried again.
    fn slowness(&self, now: Millis, mean: Millis) -> f64 {
        let age = (now - self.last_outcome).max(0.0) / mean.max(1.0);
        1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_DECAY_MEANS).exp()
    }

    /// Time without an answer while attempts are in flight, in mean answer times. A hung, paused, slow,
    /// partitioned or misbehaving server looks the same from here and is treated the same.
    fn silence(&self, now: Millis, mean: Millis) -> f64 {
        let Some(oldest) = self.in_flight.first() else {
            return 0.0;
        };
        (now - oldest.max(self.last_answer)) / mean.max(1.0)
    }
}

/// Health of a server as handed over to a successor: its slowness, the time of its last outcome, its
/// consecutive failures and the end of its ejection.
pub(crate) type ServerHealth = (ServerId, f64, Millis, u32, Millis);

/// Inputs for selecting a server for an attempt.
pub(crate) struct Selection<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) now: Millis,
    /// Mean answer time.
    pub(crate) mean: Millis,
    pub(crate) effect: Effect,
    /// Server on which an attempt of the request may have run.
    pub(crate) first_run_on: Option<ServerEntry>,
    /// Servers already tried for this request.
    pub(crate) tried: Vec<ServerId>,
}

/// The servers known to one gateway.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    /// Servers disabled by an operator, whatever the list says, with the time at which they were enabled again.
    /// Such a server counts as cold from then on, because it may have been restarted without the list saying so.
    disabled: BTreeMap<ServerId, Option<Millis>>,
    /// Number of gateways whose subset contains a given server.
    gateways_per_subset: f64,
    /// Capacity of this gateway's subset, in warm servers.
    capacity: f64,
    /// Recent successful answers per warm server.
    throughput: DecayingRate,
    /// Requests that a cold server may get for each unit of its capacity.
    cold_allowance: Bucket,
}

impl Fleet {
    pub(crate) fn new(settings: &Settings, now: Millis) -> Fleet {
        let throughput = DecayingRate {
            units: 0.0,
            seconds: settings.tip_after / 4000.0,
            at: now,
        };
        Fleet {
            throughput,
            cold_allowance: Bucket {
                units: 0.0,
                at: now,
            },
            ..Fleet::default()
        }
    }

    // ---- Server list. ----

    /// Applies a server list update. Draining and removed servers get no new attempts from now on.
    pub(crate) fn update(&mut self, kind: ListKind, entries: Vec<ServerEntry>, now: Millis) {
        if kind != ListKind::Delta {
            for server in self.servers.values_mut() {
                server.entry.lifecycle = Lifecycle::Gone;
            }
        }
        for mut entry in entries {
            entry.share = if entry.share > 0.0 { entry.share } else { 1.0 };
            let fresh = Server {
                entry,
                in_flight: Vec::new(),
                slowness: 1.0,
                last_outcome: now,
                last_answer: now,
                consecutive_failures: 0,
                ejected_until: 0.0,
                in_subset: true,
            };
            let server = self.servers.entry(entry.id).or_insert(fresh);
            if entry.launched.is_some() && entry.launched != server.entry.launched {
                server.consecutive_failures = 0;
                server.ejected_until = 0.0;
                server.slowness = 1.0;
            }
            server.entry = entry;
        }
        self.servers.retain(|_, server| {
            server.entry.lifecycle != Lifecycle::Gone || !server.in_flight.is_empty()
        });
    }

    /// Records since when an operator has enabled a server again; `None` disables it.
    pub(crate) fn set_enabled(
        &mut self,
        id: ServerId,
        enabled_at: Option<Millis>,
        now: Millis,
        cold_for: Millis,
    ) {
        self.disabled.insert(id, enabled_at);
        self.disabled.retain(|_, enabled_at| {
            enabled_at.is_none_or(|enabled_at| now < enabled_at + cold_for)
        });
        if let Some(server) = self.servers.get_mut(&id).filter(|_| enabled_at.is_some()) {
            (
                server.consecutive_failures,
                server.ejected_until,
                server.slowness,
            ) = (0, 0.0, 1.0);
        }
    }

    /// Whether a server takes new requests according to the list and the operators.
    fn is_ready(&self, server: &Server) -> bool {
        server.entry.lifecycle == Lifecycle::Ready
            && self.disabled.get(&server.entry.id) != Some(&None)
    }

    /// Chooses the subset of servers that this gateway prefers. With hundreds of gateways using all servers, each
    /// would reach a server too rarely to learn its state or to reuse connections. The servers of each zone are
    /// therefore divided into subsets. As many consecutive gateways as there are subsets take one each from one
    /// random order, and the next group uses another order, so that every server is in equally many subsets.
    /// When the number of subsets halves, each becomes twice as large and keeps its previous servers.
    pub(crate) fn assign_subset(&mut self, settings: &Settings) {
        let power_of_two = |limit: u32| 1 << limit.max(1).ilog2();
        let max_subsets: u32 = power_of_two(settings.gateways / MIN_GATEWAYS_PER_SUBSET);
        let subsets = power_of_two(self.ready() as u32 / MIN_SUBSET_SIZE).min(max_subsets);
        self.gateways_per_subset = f64::from(settings.gateways) / f64::from(subsets);
        let (order, own_subset) = (
            u64::from(settings.ordinal / max_subsets),
            settings.ordinal % max_subsets * subsets / max_subsets,
        );
        let mut zones: BTreeMap<u16, Vec<(u64, ServerId)>> = BTreeMap::new();
        for server in self.servers.values().filter(|server| self.is_ready(server)) {
            let position =
                Rand64::new(u128::from(server.entry.id) << 64 | u128::from(order)).rand_u64();
            zones
                .entry(server.entry.zone)
                .or_default()
                .push((position, server.entry.id));
        }
        for zone in zones.values_mut() {
            zone.sort_unstable();
            for (rank, (_, id)) in zone.iter().enumerate() {
                if let Some(server) = self.servers.get_mut(id) {
                    server.in_subset = rank * subsets as usize / zone.len() == own_subset as usize;
                }
            }
        }
    }

    /// Number of servers that take new requests.
    pub(crate) fn ready(&self) -> usize {
        self.servers
            .values()
            .filter(|server| self.is_ready(server))
            .count()
    }

    /// Number of servers that are listed or have attempts in flight.
    pub(crate) fn known(&self) -> usize {
        self.servers.len()
    }

    /// Number of listed servers that get no requests because an operator disabled them or they failed.
    pub(crate) fn excluded(&self, now: Millis) -> usize {
        let listed = self
            .servers
            .values()
            .filter(|server| server.entry.lifecycle != Lifecycle::Gone);
        let is_disabled = |server: &Server| self.disabled.get(&server.entry.id) == Some(&None);
        listed
            .filter(|server| is_disabled(server) || server.ejected(now))
            .count()
    }

    // ---- Attempts in flight. ----

    /// Records an attempt as sent; `None` if the server is no longer known.
    pub(crate) fn record_sent(&mut self, id: ServerId, now: Millis) -> Option<ServerEntry> {
        let server = self.servers.get_mut(&id)?;
        server.in_flight.push(now);
        Some(server.entry)
    }

    /// Records the end of an attempt that was sent at `sent`.
    pub(crate) fn record_ended(&mut self, id: ServerId, sent: Millis) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if let Some(index) = server.in_flight.iter().position(|at| *at == sent) {
            server.in_flight.remove(index);
        }
        if server.in_flight.is_empty() && server.entry.lifecycle == Lifecycle::Gone {
            self.servers.remove(&id);
        }
    }

    /// Attempts in flight that were sent after `since`.
    pub(crate) fn in_flight_since(&self, since: Millis) -> usize {
        let recent = |server: &Server| server.in_flight.iter().filter(|at| **at > since).count();
        self.servers.values().map(recent).sum()
    }

    /// Whether a server is gone or has not answered for so long that it appears to hang.
    pub(crate) fn hangs(&self, id: ServerId, now: Millis, mean: Millis) -> bool {
        self.servers
            .get(&id)
            .is_none_or(|server| server.silence(now, mean) > HANG_AFTER_MEANS)
    }

    // ---- Selection. ----

    /// Lower bound on a server's capacity during its ramp-up, as a fraction of its full capacity.
    fn warmth_of(&self, server: &Server, settings: &Settings, now: Millis) -> f64 {
        let enabled_at = self
            .disabled
            .get(&server.entry.id)
            .copied()
            .flatten()
            .unwrap_or(DISTANT_PAST);
        match server
            .entry
            .launched
            .unwrap_or(DISTANT_PAST)
            .max(enabled_at)
        {
            at if settings.cold_for > 0.0 && now < at + settings.cold_for => {
                let ramp = ((now - at) / settings.cold_for).clamp(0.0, 1.0);
                settings.cold_from + (1.0 - settings.cold_from) * ramp
            }
            _ => 1.0,
        }
    }

    pub(crate) fn warmth(&self, id: ServerId, settings: &Settings, now: Millis) -> Option<f64> {
        self.servers
            .get(&id)
            .map(|server| self.warmth_of(server, settings, now))
    }

    /// Selects the server with the lowest expected wait, judged by this gateway's attempts and their answers.
    pub(crate) fn choose(&mut self, selection: &Selection, rng: &mut Rand64) -> Option<ServerId> {
        let Selection {
            settings,
            now,
            mean,
            ..
        } = *selection;
        // Guards against overloading a cold server until it collapses. A single random draw limits what all
        // gateways together send it: in proportion to its capacity no more than to a warm server, and no more than
        // servers were observed to handle. If few servers remain, the excess is refused. A size in the list may be
        // only momentary, so it can lower a cold server's part but not raise it.
        let subset = || {
            self.servers
                .values()
                .filter(|server| self.is_ready(server) && server.in_subset)
        };
        let ready = subset().count().max(1) as f64;
        let mean_size = subset().map(|server| server.entry.share).sum::<f64>() / ready;
        self.capacity = subset()
            .map(|server| self.warmth_of(server, settings, now))
            .sum();
        self.capacity = self
            .capacity
            .max(ready / (COLD_MARGIN * settings.tip_multiple).max(1.0));
        let allowance_seconds =
            (now - self.cold_allowance.at).max(ALLOWANCE_WINDOWS * settings.tip_after) / 1000.0;
        self.throughput
            .decay(THROUGHPUT_WINDOWS * settings.tip_after, now);
        let min_rate = 1000.0 * MIN_CORES / (self.gateways_per_subset * mean).max(1.0);
        let rate = COLD_MARGIN
            * settings.tip_multiple
            * min_rate.max(self.throughput.units / self.throughput.seconds);
        self.cold_allowance
            .fill(rate, rate * allowance_seconds, now);
        let part = self.cold_allowance.units.min(1.0 / self.capacity);
        self.cold_allowance.units -= part;
        let mut draw = rng.rand_float();
        let mut best: [Option<(f64, ServerId)>; 3] = [None; 3];
        for (&id, server) in &self.servers {
            let same_group = match (selection.effect, selection.first_run_on) {
                (
                    Effect::Deduplicated {
                        scope: Scope::Zone, ..
                    },
                    Some(first_run_on),
                ) => first_run_on.zone == server.entry.zone,
                (
                    Effect::Deduplicated {
                        scope: Scope::Cell, ..
                    },
                    Some(first_run_on),
                ) => first_run_on.cell == server.entry.cell,
                _ => true,
            };
            if !same_group || !self.is_ready(server) {
                continue;
            }
            let (warmth, slowness) = (
                self.warmth_of(server, settings, now),
                server.slowness(now, mean),
            );
            if warmth < 1.0 && !server.in_subset {
                continue;
            }
            let size = server.entry.share;
            let cold_capacity = warmth * (size / mean_size).min(1.0);
            let selected = warmth < 1.0 && (0.0..cold_capacity * part).contains(&draw);
            draw -= if warmth < 1.0 {
                cold_capacity * part
            } else {
                0.0
            };
            // Whether a cold server may take one more attempt. With one in flight from each gateway it receives no
            // more than it completes, and a simultaneous burst, even with only one core, stays below the spare load
            // that it tolerates. This does not apply while most requests are refused, nor if the server's last
            // outcome was a failure or it may still be running an abandoned attempt.
            let spare = (settings.tip_multiple - 1.0) * cold_capacity * settings.tip_after;
            let can_take_one_more = server.in_flight.is_empty()
                && 2.0 * part * self.capacity > 1.0
                && server.consecutive_failures == 0
                && server.last_answer >= server.last_outcome
                && f64::from(settings.gateways) * mean * slowness.max(1.0) < spare;
            if warmth < 1.0 && !selected && !can_take_one_more {
                continue;
            }
            let zone_cost = if server.entry.zone == settings.zone {
                1.0
            } else {
                REMOTE_ZONE_COST
            };
            let pace = slowness
                .max(server.silence(now, mean) / 2.0)
                .max(MIN_SLOWNESS);
            let wait = (server.in_flight.len() as f64 + 1.0) * pace / warmth;
            let cost = if selected { 0.0 } else { wait } * zone_cost / size
                * (1.0 + COST_JITTER * rng.rand_float());
            let failed = server.ejected(now) || selection.tried.contains(&id);
            let rank = &mut best[if failed {
                2
            } else {
                usize::from(!server.in_subset)
            }];
            if rank.is_none_or(|(least, _)| cost < least) {
                *rank = Some((cost, id));
            }
        }
        best[0].or(best[1]).or(best[2]).map(|(_, id)| id)
    }

    /// Updates a server's health after an attempt. `pace` is the answer time relative to `mean_of_class`,
    /// normalized to the mean request size. Returns a log line if the server is ejected or answers again.
    pub(crate) fn record_outcome(
        &mut self,
        id: ServerId,
        now: Millis,
        outcome: Outcome,
        pace: f64,
        mean_of_class: Millis,
        mean: Millis,
    ) -> Option<String> {
        let server = self.servers.get_mut(&id)?;
        server.slowness = server.slowness(now, mean);
        server.last_outcome = now;
        let worst = 2.0 * HANG_AFTER_MEANS;
        let pace = pace.min(worst);
        let mut log_line = None;
        match outcome {
            Outcome::Ok => {
                self.throughput.units += 1.0 / self.capacity;
                if server.consecutive_failures >= EJECTION_FAILURES {
                    log_line = Some(format!("server {id} answers again"));
                }
                server.consecutive_failures = 0;
                server.ejected_until = 0.0;
                server.last_answer = now;
                blend(&mut server.slowness, pace, SAMPLE_WEIGHT);
            }
            Outcome::Cancelled => blend(&mut server.slowness, pace, SAMPLE_WEIGHT),
            Outcome::NotSent => {}
            // Guards against a server that fails some or all of its requests, quickly or slowly: each failure counts
            // as a very slow answer, and consecutive failures eject it. This is wrong if the request is at fault.
            _ => {
                // A server that refuses connections is down, not failing intermittently, so it is ejected at once.
                let unreachable = outcome == Outcome::NoConnection;
                server.consecutive_failures = (server.consecutive_failures + 1)
                    .max(if unreachable { EJECTION_FAILURES } else { 0 });
                blend(&mut server.slowness, worst, SAMPLE_WEIGHT);
                if matches!(outcome, Outcome::Overloaded | Outcome::Error) {
                    server.last_answer = now;
                }
            }
        }
        if server.consecutive_failures >= EJECTION_FAILURES {
            if server.consecutive_failures == EJECTION_FAILURES {
                log_line = Some(format!(
                    "server {id} ejected after {EJECTION_FAILURES} consecutive failures"
                ));
            }
            let doublings = (server.consecutive_failures - EJECTION_FAILURES).min(4);
            // Lengthened with the number of gateways, so that all together probe the server as often as two would.
            let ejection =
                EJECTION_MEANS * mean_of_class * (self.gateways_per_subset / 2.0).max(1.0);
            server.ejected_until = now + ejection * f64::from(1u32 << doublings);
        }
        log_line
    }

    // ---- Handover. ----

    pub(crate) fn health(&self) -> Vec<ServerHealth> {
        let to_health = |(id, server): (&ServerId, &Server)| {
            (
                *id,
                server.slowness,
                server.last_outcome,
                server.consecutive_failures,
                server.ejected_until,
            )
        };
        self.servers.iter().map(to_health).collect()
    }

    pub(crate) fn take_over(&mut self, health: Vec<ServerHealth>) {
        for (id, slowness, last_outcome, consecutive_failures, ejected_until) in health {
            if let Some(server) = self.servers.get_mut(&id) {
                (server.slowness, server.last_outcome) = (slowness, last_outcome);
                (server.consecutive_failures, server.ejected_until) =
                    (consecutive_failures, ejected_until);
            }
        }
    }
}
