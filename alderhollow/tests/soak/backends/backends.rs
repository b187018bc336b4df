//! Backends that drain, end, and come again at the same address as another one, often of the other service.

use super::record::{Listed, Record, Run};
use super::tier_support::{Tier, SERVICE};
use super::world::World;
use alderhollow_standins::backend::{Backend, BackendSettings};
use alderhollow_standins::platform::Instance;
use oorandom::Rand64;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The second service.
pub(crate) const OTHER_SERVICE: &str = "other";
const ZONES: [&str; 3] = ["east", "middle", "west"];
/// Backends beside those that the tier starts with; each has an address of its own.
const COUNT: usize = 9;
const FIRST_HOST: u8 = 41;
/// Of these, so many belong to the second service and never leave.
const STAYING: usize = 2;
const PORT: u16 = 10_080;
/// `reuse-after-s` of the settings.
const REUSE_AFTER: Duration = Duration::from_secs(2);
const LONGEST_PAUSE_MS: u64 = 900;
/// A backend that drains still takes what comes, at times long after `drain-ms`.
const SHORTEST_DRAIN_MS: u64 = 3_200;
const LONGEST_DRAIN_MS: u64 = 8_000;

/// An address, and the backend that has it now.
struct Slot {
    address: SocketAddr,
    zone: &'static str,
    backend: Option<Backend>,
    is_busy: bool,
}

/// All backends beside those of the tier.
pub(crate) struct Backends {
    slots: Vec<Slot>,
    started: u64,
}

impl Backends {
    /// Starts them and has the platform list them.
    pub(crate) async fn start(tier: &Tier, record: &mut Record) -> Backends {
        for backend in &tier.backends {
            let listed = Listed {
                service: SERVICE,
                leaving_shown: None,
            };
            record.backends.insert(backend.listed().id, listed);
        }
        let mut backends = Backends {
            slots: Vec::new(),
            started: 0,
        };
        for index in 0..COUNT {
            let mut address = tier.standin_address(FIRST_HOST + index as u8);
            address.set_port(PORT);
            backends.slots.push(Slot {
                address,
                zone: ZONES[index % ZONES.len()],
                backend: None,
                is_busy: index < STAYING,
            });
            let service = if index < COUNT / 2 {
                OTHER_SERVICE
            } else {
                SERVICE
            };
            let settings = backends.settings(index, service);
            backends.begin(index, settings, record).await;
        }
        tier.platform.change(backends.listed(tier));
        backends
    }

    fn settings(&mut self, index: usize, service: &str) -> BackendSettings {
        self.started += 1;
        BackendSettings {
            id: format!("i-{index}-{}", self.started),
            service: service.into(),
            zone: self.slots[index].zone.into(),
            slots: 64,
            health_path: "/healthz".into(),
            event_pause: Duration::from_millis(15),
            keep_alive_s: 10,
        }
    }

    async fn begin(&mut self, index: usize, settings: BackendSettings, record: &mut Record) {
        let service = if settings.service == SERVICE {
            SERVICE
        } else {
            OTHER_SERVICE
        };
        let listed = Listed {
            service,
            leaving_shown: None,
        };
        record.backends.insert(settings.id.clone(), listed);
        let backend = Backend::start(self.slots[index].address, settings).await;
        self.slots[index].backend = Some(backend.expect("the address is free"));
    }

    /// What the platform is to list.
    fn listed(&self, tier: &Tier) -> Vec<Instance> {
        let own = tier.backends.iter();
        let slots = self.slots.iter().filter_map(|slot| slot.backend.as_ref());
        own.chain(slots).map(Backend::listed).collect()
    }

    /// Those that have not ended.
    pub(crate) fn present(&self) -> impl Iterator<Item = &Backend> {
        self.slots.iter().filter_map(|slot| slot.backend.as_ref())
    }

    /// Notes the runs of all that have not ended.
    pub(crate) fn note_runs(&self, tier: &Tier, record: &mut Record) {
        let own = tier.backends.iter();
        let slots = self.slots.iter().filter_map(|slot| slot.backend.as_ref());
        for backend in own.chain(slots) {
            note_runs(backend, record);
        }
    }

    fn draw_idle(&mut self, random: &mut Rand64) -> Option<usize> {
        let idle: Vec<usize> = (0..self.slots.len())
            .filter(|index| !self.slots[*index].is_busy)
            .collect();
        let place = random.rand_range(0..idle.len().max(1) as u64) as usize;
        let index = idle.get(place).copied()?;
        self.slots[index].is_busy = true;
        Some(index)
    }
}

fn note_runs(backend: &Backend, record: &mut Record) {
    let id = backend.listed().id;
    backend.for_each_run(|run| {
        record.runs.push(Run {
            request: run.request_id.clone(),
            backend: id.clone(),
            named_instance: run.named_instance,
            at: run.started,
        });
    });
}

/// Replaces one backend after the other until `end`; several are replaced at a time.
pub(crate) async fn change(world: Rc<World>, seed: u64, end: Instant) {
    let mut random = Rand64::new(u128::from(seed) << 8 | 1);
    let mut replaced = Vec::new();
    loop {
        sleep(Duration::from_millis(
            random.rand_range(0..LONGEST_PAUSE_MS),
        ))
        .await;
        if Instant::now() >= end {
            break;
        }
        let chosen = world.backends.borrow_mut().draw_idle(&mut random);
        let Some(index) = chosen else { continue };
        let draws = Rand64::new(u128::from(random.rand_u64()));
        replaced.push(tokio::task::spawn_local(replace(
            world.clone(),
            index,
            draws,
        )));
    }
    for replacement in replaced {
        replacement.await.expect("a replacement ends");
    }
}

/// Lets a backend drain or crash, and another one come at its address.
async fn replace(world: Rc<World>, index: usize, mut random: Rand64) {
    let drains = random.rand_range(0..5) > 0;
    if drains {
        drain(&world, index);
        let span = random.rand_range(SHORTEST_DRAIN_MS..LONGEST_DRAIN_MS);
        sleep(Duration::from_millis(span)).await;
    }
    remove(&world, index, drains);
    sleep(REUSE_AFTER).await;
    let service = if random.rand_range(0..2) == 0 {
        SERVICE
    } else {
        OTHER_SERVICE
    };
    // No borrow may last while the address is taken.
    let mut backends = world.backends.replace(Backends {
        slots: Vec::new(),
        started: 0,
    });
    let settings = backends.settings(index, service);
    let id = settings.id.clone();
    let mut record = world.record.borrow_mut();
    begin_at(&mut backends, index, settings, &mut record);
    backends.slots[index].is_busy = false;
    record.note(format!("{id} of {service} comes at the same address"));
    drop(record);
    let tier = world.tier.borrow();
    tier.platform.change(backends.listed(&tier));
    world.backends.replace(backends);
}

/// As [`Backends::begin`], without waiting: the address is on loopback and free.
fn begin_at(backends: &mut Backends, index: usize, settings: BackendSettings, record: &mut Record) {
    use std::future::Future;
    use std::task::{Context, Poll, Waker};
    let mut begin = Box::pin(backends.begin(index, settings, record));
    let ready = begin.as_mut().poll(&mut Context::from_waker(Waker::noop()));
    assert!(matches!(ready, Poll::Ready(())), "listening never waits");
}

fn drain(world: &World, index: usize) {
    let backends = world.backends.borrow();
    let Some(backend) = &backends.slots[index].backend else {
        return;
    };
    backend.drain();
    let tier = world.tier.borrow();
    let shown = tier.platform.change(backends.listed(&tier));
    note_leaving(world, &backend.listed().id, shown, "drains");
}

fn remove(world: &World, index: usize, drained: bool) {
    let mut backends = world.backends.borrow_mut();
    let Some(backend) = backends.slots[index].backend.take() else {
        return;
    };
    let id = backend.listed().id;
    note_runs(&backend, &mut world.record.borrow_mut());
    drop(backend);
    let tier = world.tier.borrow();
    let shown = tier.platform.change(backends.listed(&tier));
    if drained {
        world.note(format!("{id} is gone"));
    } else {
        note_leaving(world, &id, shown, "crashes");
    }
}

fn note_leaving(world: &World, id: &str, shown: Instant, what: &str) {
    let mut record = world.record.borrow_mut();
    if let Some(listed) = record.backends.get_mut(id) {
        listed.leaving_shown = Some(shown);
    }
    let shown_s = (shown - record.started).as_secs_f64();
    record.note(format!("{id} {what}; the list shows it at {shown_s:.3} s"));
}
