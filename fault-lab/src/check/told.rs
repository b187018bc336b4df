//! What front doors told of the owner and of the map, each with the times between which it was true, and their lives.

use crate::record::{Entry, Event, Life, Micros, Owner, Shards};
use std::collections::HashMap;

/// What times may be apart without telling anything. All are read from one clock, the lab's; but `left_ms` is rounded to
/// a millisecond, and a signal is written down a moment after it was sent.
pub(super) const CLOCK: Micros = 5_000;
/// The shortest lease that a configuration can have, in milliseconds.
const SHORTEST_LEASE: u64 = 500;

/// Something that a front door told, true at some instant from one time to the other.
pub(super) struct Said<'a, T> {
    pub door: usize,
    pub life: usize,
    pub from: Micros,
    pub to: Micros,
    /// When it was asked, where that was in a stall long before it could be true.
    pub asked: Micros,
    pub answer: &'a T,
}

/// All that was told, by front door, in order.
pub(super) struct Told<'a> {
    pub owners: Vec<Vec<Said<'a, Owner>>>,
    pub shards: Vec<Vec<Said<'a, Shards>>>,
    /// Answers that a start came between: nobody can say which life they are of.
    pub between_lives: usize,
    pub lives: Lives,
    /// The lease that the front doors run with, if the record has it, and the shortest that it can be.
    pub lease: Option<Micros>,
    pub least_lease: Micros,
}

/// When processes were started, and from when to when they were stopped.
pub(super) struct Lives {
    doors: usize,
    started: HashMap<usize, Vec<Micros>>,
    ended: HashMap<usize, Vec<Micros>>,
    pub stops: HashMap<usize, Vec<(Micros, Micros)>>,
}

impl Lives {
    fn of(doors: usize, entries: &[Entry]) -> Lives {
        let (mut started, mut ended) = (HashMap::<_, Vec<_>>::new(), HashMap::<_, Vec<_>>::new());
        let mut stops = HashMap::<_, Vec<(Micros, Micros)>>::new();
        for entry in entries {
            match entry.event {
                Event::Door {
                    door,
                    life: Life::Started,
                } => started.entry(door).or_default().push(entry.us),
                Event::Door {
                    door,
                    life: Life::Stopped,
                } => {
                    stops.entry(door).or_default().push((entry.us, Micros::MAX));
                }
                Event::Door {
                    door,
                    life: Life::Ended | Life::Crashed,
                } => {
                    ended.entry(door).or_default().push(entry.us);
                }
                Event::Door {
                    door,
                    life: life @ (Life::Continued | Life::Killed),
                } => {
                    if life == Life::Killed {
                        ended.entry(door).or_default().push(entry.us);
                    }
                    let open = stops.get_mut(&door).and_then(|stops| stops.last_mut());
                    if let Some(stop) = open.filter(|stop| stop.1 == Micros::MAX) {
                        stop.1 = entry.us;
                    }
                }
                _ => {}
            }
        }
        Lives {
            doors,
            started,
            ended,
            stops,
        }
    }

    fn starts(&self, door: usize, from: Micros, to: Micros) -> usize {
        let within = |at: &&Micros| **at > from && **at <= to;
        self.started
            .get(&door)
            .into_iter()
            .flatten()
            .filter(within)
            .count()
    }

    /// Whether each life that ran at the one moment was over by the other, so that what all knew together may be gone.
    pub(super) fn all_anew(&self, from: Micros, to: Micros) -> bool {
        (0..self.doors).all(|door| {
            let times =
                |of: &HashMap<usize, Vec<Micros>>| of.get(&door).cloned().unwrap_or_default();
            let (started, ended) = (times(&self.started), times(&self.ended));
            let over = ended
                .iter()
                .chain(&started)
                .any(|at| *at > from && *at <= to);
            let last = |times: &[Micros]| times.iter().rev().find(|at| **at <= from).copied();
            over || last(&ended).is_some_and(|end| last(&started).is_none_or(|start| start < end))
        })
    }

    fn said<'a, T>(
        &self,
        door: usize,
        asked: Micros,
        to: Micros,
        answer: &'a T,
    ) -> Option<Said<'a, T>> {
        if self.starts(door, asked, to) > 0 {
            return None;
        }
        // Asked while it stood still, it can have come to its answer only when it went on.
        let stops = self.stops.get(&door).into_iter().flatten();
        let woken = stops.filter(|(begin, end)| asked > begin + CLOCK && asked < *end);
        let from = woken
            .map(|(_, end)| end.saturating_sub(CLOCK))
            .fold(asked, Micros::max)
            .min(to);
        Some(Said {
            door,
            life: self.starts(door, 0, asked),
            from,
            to,
            asked,
            answer,
        })
    }
}

impl<'a> Told<'a> {
    pub(super) fn of(doors: usize, entries: &'a [Entry]) -> Told<'a> {
        let lives = Lives::of(doors, entries);
        let (mut owners, mut shards): (Vec<Vec<_>>, Vec<Vec<_>>) = Default::default();
        let (mut between_lives, mut lease) = (0, None);
        for entry in entries {
            match &entry.event {
                Event::Lease { lease_ms } => lease = Some(lease_ms.saturating_mul(1000)),
                Event::Owner {
                    door,
                    asked_us,
                    answered_us,
                    answer,
                } => match lives.said(*door, *asked_us, *answered_us, answer) {
                    Some(said) => at(&mut owners, *door).push(said),
                    None => between_lives += 1,
                },
                Event::Shards {
                    door,
                    asked_us,
                    answered_us,
                    answer,
                } => match lives.said(*door, *asked_us, *answered_us, answer) {
                    Some(said) => at(&mut shards, *door).push(said),
                    None => between_lives += 1,
                },
                _ => {}
            }
        }
        let least_lease = lease.unwrap_or(SHORTEST_LEASE * 1000);
        Told {
            owners,
            shards,
            between_lives,
            lives,
            lease,
            least_lease,
        }
    }
}

fn at<T>(lists: &mut Vec<Vec<T>>, door: usize) -> &mut Vec<T> {
    if lists.len() <= door {
        lists.resize_with(door + 1, Vec::new);
    }
    &mut lists[door]
}

/// Neighbours in time of one life, in pairs.
pub(super) fn steps<'b, 'a, T>(
    said: &'b [Said<'a, T>],
) -> impl Iterator<Item = (&'b Said<'a, T>, &'b Said<'a, T>)> {
    said.iter()
        .zip(said.iter().skip(1))
        .filter(|(one, next)| one.life == next.life)
}
