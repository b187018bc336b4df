//! Asks each front door who owns the fleet, who keeps which customers and what some of these are held for, all the time and
//! whatever is done to it.
//!
//! A front door has one such question of each kind before it at a time. It is also asked while it stands still: the answer
//! then comes when it goes on, and is the first thing that it says after its stall.

use crate::client::Customer;
use crate::http::call_staff;
use crate::lock;
use crate::record::{Event, Micros, Owner, Recorder, Session, Shards};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

/// How often.
const PERIOD: Duration = Duration::from_millis(50);
/// How often for a customer, one after the other, and how many of each plan there are to ask for.
const SESSION_PERIOD: Duration = Duration::from_millis(250);
const OF_EACH_PLAN: usize = 3;
/// Longer than any front door is stopped for in a test of what it says when it wakes.
const PATIENCE: Duration = Duration::from_secs(90);

/// Who told last that it owns the fleet, and when that was asked.
#[derive(Clone, Default)]
pub(super) struct LastOwner(Arc<Mutex<Option<(Micros, usize)>>>);

impl LastOwner {
    fn tell(&self, asked: Micros, door: usize) {
        let mut last = lock(&self.0);
        // An answer that was long on its way is older than one that was asked for later.
        if last.is_none_or(|(at, _)| at <= asked) {
            *last = Some((asked, door));
        }
    }

    pub(super) fn door(&self) -> Option<usize> {
        lock(&self.0).map(|(_, door)| door)
    }
}

/// Asks one front door for `owner`, for ever.
pub(super) async fn owner(door: usize, staff: SocketAddr, recorder: Recorder, last: LastOwner) {
    let calls = ["owner".to_string()];
    ask(
        &calls,
        PERIOD,
        door,
        staff,
        recorder,
        |_, asked_us, answered_us, answer: Owner| {
            if answer.mine {
                last.tell(asked_us, door);
            }
            Event::Owner {
                door,
                asked_us,
                answered_us,
                answer,
            }
        },
    )
    .await;
}

/// Asks one front door for `shards`, for ever.
pub(super) async fn shards(door: usize, staff: SocketAddr, recorder: Recorder) {
    let calls = ["shards".to_string()];
    ask(
        &calls,
        PERIOD,
        door,
        staff,
        recorder,
        |_, asked_us, answered_us, answer: Shards| Event::Shards {
            door,
            asked_us,
            answered_us,
            answer,
        },
    )
    .await;
}

/// Some customers of each plan, so that asking for them stays cheap however many there are.
pub(super) fn some_of(customers: &[Customer]) -> Vec<u64> {
    let mut taken: BTreeMap<usize, usize> = BTreeMap::new();
    let mut take = |customer: &&Customer| {
        let taken = taken.entry(customer.plan).or_default();
        *taken += 1;
        *taken <= OF_EACH_PLAN
    };
    customers
        .iter()
        .filter(|customer| take(customer))
        .map(|customer| customer.number)
        .collect()
}

/// Asks one front door for `session` of these customers in turn, for ever.
pub(super) async fn sessions(
    door: usize,
    staff: SocketAddr,
    recorder: Recorder,
    mut customers: Vec<u64>,
) {
    // Doors begin with different ones: one that changes is seen sooner by some door.
    let first = door.checked_rem(customers.len()).unwrap_or(0);
    customers.rotate_left(first);
    let calls: Vec<String> = customers
        .iter()
        .map(|customer| format!("session {customer:016x}"))
        .collect();
    ask(
        &calls,
        SESSION_PERIOD,
        door,
        staff,
        recorder,
        |turn, asked_us, answered_us, answer: Session| {
            let customer = customers.get(turn).copied().unwrap_or(0);
            Event::Session {
                door,
                customer,
                asked_us,
                answered_us,
                answer,
            }
        },
    )
    .await;
}

async fn ask<T: DeserializeOwned>(
    calls: &[String],
    period: Duration,
    door: usize,
    staff: SocketAddr,
    recorder: Recorder,
    event: impl Fn(usize, Micros, Micros, T) -> Event,
) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for (turn, call) in calls.iter().enumerate().cycle() {
        ticks.tick().await;
        let asked = recorder.now();
        // One that is gone is told by the gap.
        let Ok(text) = call_staff(staff, call, PATIENCE).await else {
            continue;
        };
        let answered = recorder.now();
        let line = text.lines().next().unwrap_or_default();
        match serde_json::from_str::<T>(line) {
            Ok(answer) => recorder.tell_at(answered, event(turn, asked, answered, answer)),
            // It does not know the call, or has no such key.
            Err(_) if line.starts_with("error") || line.is_empty() => {}
            // Nothing can be judged by this: it is to be seen at least.
            Err(_) => recorder.tell_at(
                answered,
                Event::Call {
                    door,
                    line: call.clone(),
                    answer: text,
                },
            ),
        }
    }
}

#[cfg(test)]
mod tests;
