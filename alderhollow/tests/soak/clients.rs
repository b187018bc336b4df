//! Clients that hand batch jobs in, read them from any position, ask for bodies, end them and send them again.

use super::record::{Readable, TryEnd, ITEM_EVENTS};
use super::tier_support::HOST;
use super::world::World;
use alderhollow_standins::batch_client::{self, BatchJob, Item};
use alderhollow_standins::http::CallError;
use base64::prelude::{Engine, BASE64_STANDARD};
use oorandom::Rand64;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const CLIENTS: u64 = 6;
const MOST_ITEMS: u64 = 8;
const PROMPT_TOKENS: u64 = 40;
const TOKENS_PER_EVENT: u64 = 20;
/// Tries of one job.
const MOST_TRIES: u32 = 5;
/// How long one call may take.
const PATIENCE: Duration = Duration::from_secs(4);
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE_MS: u64 = 120;

const ACCEPTED: u16 = 202;
const REFUSALS: [u16; 2] = [429, 503];
const NOT_FOUND: u16 = 404;
const OK: u16 = 200;

/// One client.
struct Client {
    world: Rc<World>,
    name: String,
    random: Rand64,
    jobs: u64,
}

/// Lets all clients act until `end`.
pub(crate) async fn act(world: &Rc<World>, seed: u64, end: Instant) {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Client {
                world: world.clone(),
                name: format!("s{seed}-c{number}"),
                random: Rand64::new(u128::from(seed) << 16 | u128::from(number)),
                jobs: 0,
            };
            tokio::task::spawn_local(client.run(end))
        })
        .collect();
    for client in clients {
        client.await.expect("a client ends");
    }
}

impl Client {
    async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            let chosen = self.choose_accepted();
            match (self.random.rand_range(0..10), chosen) {
                (0..=2, _) | (_, None) => drop(self.hand_in_new().await),
                (3, _) => self.hand_in_and_end().await,
                (4..=6, Some(chosen)) => self.read(&chosen).await,
                (7, Some(chosen)) => self.ask_body(&chosen).await,
                (8, Some(chosen)) => self.send_again(&chosen).await,
                (_, Some(chosen)) => self.end(&chosen.job).await,
            }
            let pause = self.random.rand_range(0..LONGEST_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    fn draw_index(&mut self, count: usize) -> usize {
        self.random.rand_range(0..count as u64) as usize
    }

    fn draw_gateway(&mut self) -> SocketAddr {
        let gateway = self.draw_index(self.world.gateway_relays.len());
        self.world.gateway_relays[gateway].address()
    }

    fn choose_accepted(&mut self) -> Option<Readable> {
        let mut accepted = self.world.record.borrow().readable();
        if accepted.is_empty() {
            return None;
        }
        let chosen = self.draw_index(accepted.len());
        Some(accepted.swap_remove(chosen))
    }

    fn new_job(&mut self) -> BatchJob {
        self.jobs += 1;
        let id = format!("{}-{}", self.name, self.jobs);
        let items = self.random.rand_range(1..MOST_ITEMS + 1);
        let usage = (PROMPT_TOKENS, ITEM_EVENTS * TOKENS_PER_EVENT);
        let item = |number: u64| {
            let item_id = format!("{id}-{number}");
            Item::new(
                &item_id,
                &format!("/lots/item/{number}"),
                usage,
                item_id.as_bytes(),
            )
        };
        let items = (0..items).map(item).collect();
        BatchJob {
            path: format!("/lots/{id}"),
            id,
            host: HOST.into(),
            items,
        }
    }

    /// Hands a new job in; gives it if it was accepted.
    async fn hand_in_new(&mut self) -> Option<BatchJob> {
        let job = self.new_job();
        for _ in 0..MOST_TRIES {
            match self.hand_in(&job).await {
                TryEnd::Accepted => return Some(job),
                TryEnd::Refused | TryEnd::Unknown => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        None
    }

    /// Ends a new job while most of its items wait.
    async fn hand_in_and_end(&mut self) {
        if let Some(job) = self.hand_in_new().await {
            self.end(&job).await;
        }
    }

    async fn hand_in(&mut self, job: &BatchJob) -> TryEnd {
        let gateway = self.draw_gateway();
        self.world.record.borrow_mut().try_begins(job);
        let end = try_end(batch_client::submit(gateway, job, PATIENCE).await);
        let tier = self.world.tier.borrow();
        self.world
            .record
            .borrow_mut()
            .try_ended(&job.id, end, &tier.backends);
        end
    }

    async fn send_again(&mut self, chosen: &Readable) {
        self.hand_in(&chosen.job).await;
    }

    async fn read(&mut self, chosen: &Readable) {
        let (gateway, after) = (self.draw_gateway(), self.draw_index(chosen.known + 1));
        read_page(&self.world, gateway, chosen, after).await;
    }

    async fn ask_body(&mut self, chosen: &Readable) {
        let (gateway, index) = (self.draw_gateway(), self.draw_index(chosen.job.items.len()));
        let item = &chosen.job.items[index];
        let answer = batch_client::item_body(gateway, &chosen.job, &item.id, PATIENCE).await;
        if let Ok(Ok(body)) = answer {
            let is_right = BASE64_STANDARD.encode(body) == item.body;
            self.world
                .record
                .borrow_mut()
                .body(&chosen.job, &item.id, is_right);
        }
    }

    async fn end(&mut self, job: &BatchJob) {
        let gateway = self.draw_gateway();
        self.world.record.borrow_mut().end_asked(&job.id);
        let answer = batch_client::end(gateway, job, PATIENCE).await;
        if matches!(answer, Ok(OK)) {
            self.world.record.borrow_mut().end_acknowledged(&job.id);
        }
    }
}

/// Reads a page of a job, and notes what came.
pub(crate) async fn read_page(world: &World, gateway: SocketAddr, chosen: &Readable, after: usize) {
    match batch_client::read(gateway, &chosen.job, after).await {
        Ok(Ok(page)) => {
            let tier = world.tier.borrow();
            world.record.borrow_mut().read(
                &chosen.job.id,
                after,
                chosen.known,
                page,
                &tier.backends,
            );
        }
        Ok(Err(NOT_FOUND)) => world.record.borrow_mut().not_found(&chosen.job.id),
        Ok(Err(_)) | Err(_) => {}
    }
}

fn try_end(answer: Result<u16, CallError>) -> TryEnd {
    match answer {
        Ok(ACCEPTED) => TryEnd::Accepted,
        Ok(status) if REFUSALS.contains(&status) => TryEnd::Refused,
        Err(CallError::Connect { .. }) => TryEnd::Refused,
        Ok(_) | Err(_) => TryEnd::Unknown,
    }
}
