//! Emulated backends on sockets, round the model of [`crate::model`].

use crate::fleet::Facts;
use crate::ground::Ground;
use crate::http::{serve, Body};
use crate::kinds::{Book, Connection, State};
use crate::lock;
use crate::model::{Arrival, Machine, Meter, Server};
use crate::record::{Event, Micros, Ran, Recorder};
use hyper::body::Bytes;
use hyper::{Request, Response};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{interval_at, sleep, Instant};

/// How often the open connections are counted.
const SAMPLE_US: Micros = 1_000_000;

/// How a backend behaves beside its model.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Mode {
    #[default]
    Up,
    /// A part of the requests ends as 500, at once.
    Failing(f64),
    /// Requests are read and never answered.
    Silent,
    /// Connections are reset, and none comes up.
    Gone,
}

/// What all backends of a run share.
pub struct Site {
    pub facts: Facts,
    pub meter: Mutex<Meter>,
    pub recorder: Recorder,
    pub ground: Arc<Ground>,
}

/// One backend. Clones are the same.
#[derive(Clone)]
pub struct Backend {
    inner: Arc<Inner>,
}

struct Inner {
    number: usize,
    site: Arc<Site>,
    model: Mutex<Server>,
    book: Mutex<Book>,
    mode: watch::Sender<Mode>,
}

impl Backend {
    /// A warm backend with this number.
    pub fn new(number: usize, machine: Machine, seed: u64, site: Arc<Site>) -> Backend {
        let model = Mutex::new(Server::new(machine, Pcg64Mcg::seed_from_u64(seed), None));
        let (book, mode) = (Mutex::default(), watch::Sender::new(Mode::Up));
        Backend {
            inner: Arc::new(Inner {
                number,
                site,
                model,
                book,
                mode,
            }),
        }
    }

    /// Behaves so from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.inner.mode.send_replace(mode);
        let state = format!("{mode:?}").to_lowercase();
        self.inner.site.recorder.tell(Event::Backend {
            backend: self.inner.number,
            state,
        });
    }

    /// Takes so many times as long as its model says.
    pub fn set_slow(&self, times: f64) {
        lock(&self.inner.model).slow = times;
    }

    /// Turns new work away, or takes it again.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.inner.model).draining = draining;
    }

    /// Stands anew: cold, empty and up.
    pub fn restart(&self) {
        lock(&self.inner.model).restart(self.inner.now());
        lock(&self.inner.book).forget();
        self.inner.site.recorder.tell(Event::Backend {
            backend: self.inner.number,
            state: "restart".into(),
        });
        self.set_mode(Mode::Up);
    }

    /// Serves for ever at this address.
    ///
    /// # Errors
    /// Its port cannot be had.
    pub async fn run(self, listener: TcpListener) -> io::Result<()> {
        let address = listener.local_addr()?;
        let mut mode = self.inner.mode.subscribe();
        let mut listener = Some(listener);
        let mut connections = JoinSet::new();
        let (recorder, binds) = (&self.inner.site.recorder, self.inner.site.facts.binds());
        // At whole seconds of the run, so that the samples of all backends are of one time.
        let next = recorder.instant((recorder.now() / SAMPLE_US + 1) * SAMPLE_US);
        let mut samples = interval_at(Instant::from_std(next), Duration::from_micros(SAMPLE_US));
        loop {
            if *mode.borrow_and_update() == Mode::Gone {
                // Dropped sockets with linger of nought reset their connections.
                connections.shutdown().await;
                listener = None;
                if mode.wait_for(|mode| *mode != Mode::Gone).await.is_err() {
                    return Ok(());
                }
            }
            let open = match &listener {
                Some(open) => open,
                None => listener.insert(bind_again(address).await?),
            };
            tokio::select! {
                _ = mode.changed() => {}
                _ = samples.tick(), if binds => {
                    let open = lock(&self.inner.book).connections();
                    recorder.tell(Event::Connections { backend: self.inner.number, open });
                }
                Some(_) = connections.join_next() => {}
                accepted = open.accept() => {
                    let Ok((stream, from)) = accepted else { continue };
                    let door = self.inner.site.ground.door_at(from.ip());
                    let backend = self.inner.clone();
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    connections.spawn(backend.connection(stream, door));
                }
            }
        }
    }
}

async fn bind_again(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

impl Inner {
    fn now(&self) -> f64 {
        self.site.recorder.now() as f64 / 1000.0
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, door: Option<usize>) {
        // A request that came through no relay is nobody's of this run.
        let Some(door) = door else { return };
        let on = lock(&self.book).opened(door);
        let _closed = OnDrop::new(|| lock(&self.book).closed(on));
        serve(stream, |request| self.answer(request, door, on)).await;
    }

    #[expect(
        clippy::too_many_lines,
        reason = "not split by step yet: docs/ROADMAP.md, Readable code"
    )]
    async fn answer(
        &self,
        request: Request<Bytes>,
        door: usize,
        on: Connection,
    ) -> Option<Response<Body>> {
        let plain = |status| {
            Response::builder()
                .status(status)
                .body(Body::default())
                .ok()
        };
        let header = |name| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
        };
        let id = header("x-request-id").to_string();
        let Facts { classes, plans, .. } = &self.site.facts;
        let class = classes
            .iter()
            .position(|class| class.name == header("x-class"));
        let plan = plans.iter().position(|plan| plan.name == header("plan"));
        let customer = header("cookie")
            .strip_prefix("client=")
            .and_then(|id| u64::from_str_radix(id, 16).ok());
        let (Some(class), Some(plan), Some(customer)) = (class, plan, customer) else {
            return plain(400);
        };
        let quota = header("quota-info")
            .split(',')
            .find_map(|pair| pair.strip_prefix("units="));
        let units = quota.and_then(|units| units.parse().ok()).unwrap_or(1u32);
        let (now, recorder) = (self.now(), &self.site.recorder);
        recorder.tell(Event::Arrived {
            id: id.clone(),
            backend: self.number,
            door,
            customer,
            plan,
            class,
            units,
        });
        if let Ok(number) = u64::from_str_radix(&id, 16) {
            lock(&self.site.meter).count(now, number, customer, f64::from(units));
        }
        let done = |ran| {
            recorder.tell(Event::Done {
                id: id.clone(),
                backend: self.number,
                customer,
                ran,
            });
        };
        let mode = *self.mode.borrow();
        let arrival = lock(&self.model).arrive(now, class);
        match (mode, arrival) {
            (Mode::Silent | Mode::Gone, _) => {
                // The caller goes away at its deadline, and takes this with it.
                let _gone = OnDrop::new(|| done(Ran::Badly));
                std::future::pending().await
            }
            (Mode::Failing(part), _) if lock(&self.model).chance(part) => {
                done(Ran::Badly);
                plain(500)
            }
            (_, Arrival::Tips) => {
                recorder.tell(Event::Tipped {
                    backend: self.number,
                });
                self.mode.send_replace(Mode::Gone);
                done(Ran::Badly);
                None
            }
            (_, Arrival::Full) => {
                done(Ran::Never);
                Response::builder()
                    .status(503)
                    .header("x-not-run", "1")
                    .body(Body::default())
                    .ok()
            }
            (_, Arrival::Runs { until }) => {
                let need = plans[plan].need();
                let state = lock(&self.book).runs(now, on, customer, need);
                if let Some(state) = state {
                    let (id, backend, connection) = (id.clone(), self.number, on);
                    recorder.tell(Event::State {
                        id,
                        backend,
                        door,
                        customer,
                        plan,
                        connection,
                        state,
                    });
                }
                let mut called_off = OnDrop::new(|| done(Ran::Badly));
                sleep(Duration::from_secs_f64((until - now).max(0.0) / 1000.0)).await;
                called_off.end();
                // It has taken its time like any other: failures that are quick would draw more requests here.
                if state.is_some_and(State::is_lost) {
                    done(Ran::Badly);
                    return plain(500);
                }
                done(Ran::Whole);
                let rate = plans[plan].units_per_s;
                let usage = lock(&self.site.meter).usage(self.now(), customer, rate);
                let (inflight, queue) = lock(&self.model).load(self.now());
                let cores = lock(&self.model).cores();
                let mut answer = Response::builder().status(200).header(
                    "x-load",
                    format!(
                        "inflight={inflight},queue={queue},util={:.2}",
                        inflight as f64 / cores as f64
                    ),
                );
                if let Some(usage) = usage {
                    answer = answer.header("usage-percent", format!("{:.0}", usage * 100.0));
                }
                answer.body(Body::from(id.clone())).ok()
            }
        }
    }
}

/// Does this once it is dropped, unless it was ended before: what it stands in was called off.
struct OnDrop<F: FnMut()> {
    then: F,
    armed: bool,
}

impl<F: FnMut()> OnDrop<F> {
    fn new(then: F) -> OnDrop<F> {
        OnDrop { then, armed: true }
    }
    fn end(&mut self) {
        self.armed = false;
    }
}

impl<F: FnMut()> Drop for OnDrop<F> {
    fn drop(&mut self) {
        if self.armed {
            (self.then)();
        }
    }
}
