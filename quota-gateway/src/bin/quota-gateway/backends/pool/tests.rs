use super::*;
use crate::backends::sessions::{Attempt, MOST};
use socket2::SockRef;
use std::future::Future;
use std::io::Write;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::pin::pin;
use std::task::Waker;

const SECOND: Duration = Duration::from_secs(1);
const ID: ServerId = 7;

/// A pool of so many descriptors that knows one backend.
fn pool(descriptors: usize, idle: Duration, seed: u64) -> (TcpListener, SocketAddr, Pool) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let pool = Pool::new(
        Arc::new(Semaphore::new(descriptors)),
        Rc::default(),
        SECOND,
        idle,
        seed,
    );
    pool.put(ID, address, 0.0, true);
    (listener, address, pool)
}

async fn open(pool: &Pool) -> Pooled {
    pool.connect(pool.ready_at(ID).expect("it is ready"))
        .await
        .expect("it comes up")
}

#[tokio::test(start_paused = true)]
async fn the_sweep_is_woken_only_for_what_is_due() {
    let (listener, _, pool) = pool(100, 2000 * SECOND, 7);
    let mut looks = 0;
    let mut sweep = pin!(pool.sweep());
    let mut sweep_for = async |time| {
        let sweeping = poll_fn(|context| {
            looks += 1;
            sweep.as_mut().poll(context)
        });
        let _ = timeout(time, sweeping).await;
        std::mem::take(&mut looks)
    };
    assert!(
        sweep_for(400 * SECOND).await <= 3,
        "woken with nothing to look after"
    );
    for _ in 0..20 {
        pool.park(ID, open(&pool).await);
    }
    assert_eq!(pool.connections(), (20, 0));
    let looks = sweep_for(400 * SECOND).await;
    assert!(looks <= 6, "woken {looks} times while nothing happens");
    // What the other side closes gives its descriptor back at once.
    drop(listener);
    sweep_for(SECOND).await;
    assert_eq!(
        (pool.connections(), pool.descriptors.available_permits()),
        ((0, 0), 100)
    );
}

#[tokio::test(start_paused = true)]
async fn the_sweep_closes_what_has_been_idle_for_long() {
    let (_listener, _, pool) = pool(1, 10 * SECOND, 7);
    pool.park(ID, open(&pool).await);
    let half = (10 * SECOND).mul_f64(IDLE_PART);
    let _ = timeout(half.mul_f32(1.0 - JITTER), pool.sweep()).await;
    assert_eq!(pool.connections(), (1, 0));
    let _ = timeout(half.mul_f32(JITTER) + SWEEP * 2, pool.sweep()).await;
    assert_eq!(pool.connections(), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn no_connection_of_an_earlier_life_is_kept() {
    let (_listener, address, pool) = pool(10, 1000 * SECOND, 7);
    let lives: [(&str, &dyn Fn()); 5] = [
        ("a new start", &|| pool.put(ID, address, 5.0, true)),
        ("a drain", &|| {
            pool.put(ID, address, 5.0, false);
            pool.put(ID, address, 5.0, true);
        }),
        ("a ban", &|| {
            pool.take_out(ID, true);
            pool.take_out(ID, false);
        }),
        ("an absence", &|| {
            pool.retain(|id| id != ID);
            pool.put(ID, address, 5.0, true);
        }),
        ("another address", &|| {
            pool.put(ID, SocketAddr::from((Ipv4Addr::LOCALHOST, 9)), 5.0, true);
            pool.put(ID, address, 5.0, true);
        }),
    ];
    for (name, end) in lives {
        let busy = open(&pool).await;
        pool.park(ID, open(&pool).await);
        end();
        assert_eq!(pool.connections(), (0, 1), "idle ones after {name}");
        pool.park(ID, busy);
        assert_eq!(
            pool.connections(),
            (0, 0),
            "one that came back after {name}"
        );
    }
    pool.park(ID, open(&pool).await);
    pool.put(ID, address, 5.0, true);
    assert_eq!(pool.connections(), (1, 0), "nothing has changed");
    assert!(pool.idle(ID, Instant::now()).await.is_some());
    assert_eq!(pool.descriptors.available_permits(), 10);
}

#[tokio::test(start_paused = true)]
async fn connections_that_were_opened_together_are_not_closed_together() {
    let mut keeps = Vec::new();
    for seed in 0..40 {
        let (_listener, _, pool) = pool(1, 100 * SECOND, seed);
        keeps.push(open(&pool).await.keep);
    }
    keeps.sort();
    let most = keeps.windows(10).map(|some| some[9] - some[0]).min();
    assert!(most >= Some(SECOND), "a quarter of them within {most:?}");
    assert!(keeps[0] >= 37 * SECOND && keeps[39] <= 50 * SECOND);
}

#[tokio::test(start_paused = true)]
async fn what_a_backend_says_of_keeping_a_connection_is_heeded_if_it_makes_sense() {
    let (_listener, _, pool) = pool(10, 100 * SECOND, 7);
    let own = open(&pool).await.keep;
    let wanted = [
        ("timeout=20, max=5", 10 * SECOND),
        ("max=5, Timeout = \"4\"", 2 * SECOND),
        ("timeout=0", Duration::ZERO),
        ("timeout=18446744073709551615", own),
        ("timeout=99999999999999999999", own),
        ("timeout=-1", own),
        ("timeout=soon", own),
        ("timeout", own),
        ("", own),
    ];
    for (told, keep) in wanted {
        let mut pooled = open(&pool).await;
        pooled.keep = own;
        let mut headers = HeaderMap::new();
        headers.insert("keep-alive", told.parse().expect("a value"));
        pooled.heed(&headers);
        assert_eq!(pooled.keep, keep, "{told:?}");
        pool.park(ID, pooled);
    }
    assert_eq!(
        pool.connections(),
        (wanted.len() - 1, 0),
        "one that is not to be kept is closed"
    );
}

#[tokio::test(start_paused = true)]
async fn a_connection_rests_after_an_answer_and_each_that_waits_has_its_own() {
    let (listener, address, pool) = pool(10, 100 * SECOND, 7);
    let park = async || {
        let mut used = open(&pool).await;
        used.used = 1;
        pool.park(ID, used);
    };
    park().await;
    let mut context = Context::from_waker(Waker::noop());
    let (parked, far) = (Instant::now(), Instant::now() + SECOND);
    assert!(
        pool.idle(ID, parked + REST / 2).await.is_none(),
        "not in time: it dials"
    );
    let mut waiting = Box::pin(pool.idle(ID, far));
    assert!(waiting.as_mut().poll(&mut context).is_pending());
    assert_eq!(pool.connections(), (0, 1));
    assert!(pool.idle(ID, far).await.is_none(), "another dials at once");
    drop(waiting);
    assert_eq!(
        pool.connections(),
        (1, 0),
        "what was called off closes nothing"
    );

    // It began to rest when the answer had come, not when it came back.
    let first = pool.idle(ID, far).await.expect("it has rested");
    assert!(
        (REST..REST + Duration::from_millis(5)).contains(&parked.elapsed()),
        "{:?}",
        parked.elapsed()
    );
    park().await;
    pool.put_back(ID, first);
    let rested = Instant::now();
    let first = pool.idle(ID, far).await.expect("one has rested");
    assert_eq!(
        (first.since, rested.elapsed()),
        (parked, Duration::ZERO),
        "none waits while one has"
    );

    let second = pool.idle(ID, far).await.expect("the other has rested");
    let (mut backends_end, _) = listener.accept().expect("the first one");
    pool.park(ID, first);
    let mut waiting = Box::pin(pool.idle(ID, far));
    assert!(waiting.as_mut().poll(&mut context).is_pending());
    backends_end
        .write_all(b"HTTP/1.1 200 OK\r\n\r\n")
        .expect("the bytes go out");
    assert!(
        waiting.await.is_none(),
        "what came unasked while it rested ended it"
    );
    assert_eq!(pool.connections(), (0, 1));

    pool.park(ID, second);
    let mut waiting = Box::pin(pool.idle(ID, far));
    assert!(waiting.as_mut().poll(&mut context).is_pending());
    pool.put(ID, address, 0.0, false);
    drop(waiting);
    assert_eq!(
        pool.connections(),
        (0, 0),
        "none of a life that is over comes back"
    );
}

/// Holds customers as it is told, and keeps what it hears.
#[derive(Default)]
struct Told {
    holds: RefCell<BTreeMap<CustomerId, Hold>>,
    notes: RefCell<Vec<Attempt>>,
}

impl Sessions for Told {
    fn hold(&self, customer: CustomerId) -> Hold {
        self.holds
            .borrow()
            .get(&customer)
            .copied()
            .unwrap_or(Hold::Any)
    }
    fn note(&self, attempt: Attempt) {
        self.notes.borrow_mut().push(attempt);
    }
}

/// A watched pool, and who holds the given customers in the given way.
fn watched(descriptors: usize, holds: &[(CustomerId, Hold)]) -> (TcpListener, Pool, Rc<Told>) {
    let (listener, _, pool) = pool(descriptors, 1000 * SECOND, 7);
    let told = Rc::new(Told::default());
    told.holds.borrow_mut().extend(holds.iter().copied());
    pool.watch(told.clone());
    (listener, pool, told)
}

/// A customer's request goes out.
async fn go(pool: &Pool, customer: CustomerId) -> (Pooled, ConnectionUse) {
    let place = pool.ready_at(ID).expect("it is ready");
    let until = Instant::now() + SECOND;
    let mut pooled = pool
        .have(ID, place, customer, until)
        .await
        .expect("there is one");
    let conn = pool
        .begin(ID, customer, &mut pooled)
        .expect("it is watched");
    (pooled, conn)
}

/// It is answered.
fn over(pool: &Pool, customer: CustomerId, (mut pooled, conn): (Pooled, ConnectionUse)) {
    pooled.used += 1;
    pool.park(ID, pooled);
    pool.end(ID, customer, conn, true, Some(Outcome::Fine));
}

/// A whole request: which connection it went on, and what is told of that.
async fn request(pool: &Pool, customer: CustomerId) -> (u64, ConnectionUse) {
    let (pooled, conn) = go(pool, customer).await;
    let number = pooled.seen.as_ref().expect("it is watched").number();
    over(pool, customer, (pooled, conn));
    (number, conn)
}

#[tokio::test(start_paused = true)]
async fn whether_a_customer_kept_its_connection_is_told_as_it_was() {
    let (_listener, pool, told) = watched(10, &[]);
    assert_eq!(
        request(&pool, 1).await,
        (1, ConnectionUse::Kept),
        "a first one leaves nothing behind"
    );
    assert_eq!(request(&pool, 1).await, (1, ConnectionUse::Kept), "its own");
    sleep(RUN_GAP * 2).await;
    assert_eq!(
        request(&pool, 1).await,
        (1, ConnectionUse::Kept),
        "still its own"
    );
    assert_eq!(
        request(&pool, 2).await,
        (1, ConnectionUse::Kept),
        "another's first one"
    );
    assert_eq!(
        request(&pool, 1).await,
        (1, ConnectionUse::ChangedInRun),
        "another used it in between"
    );
    request(&pool, 2).await;
    sleep(RUN_GAP * 2).await;
    assert_eq!(
        request(&pool, 1).await,
        (1, ConnectionUse::ChangedBetween),
        "the same, after the run"
    );
    let busy = go(&pool, 2).await;
    assert_eq!(
        request(&pool, 1).await,
        (2, ConnectionUse::ChangedInRun),
        "on another"
    );
    sleep(RUN_GAP * 2).await;
    // A request that is not over is followed at once, however long it takes.
    let (pooled, conn) = go(&pool, 2).await;
    assert_eq!(
        (pooled.seen.as_ref().map(|seen| seen.number()), conn),
        (Some(2), ConnectionUse::ChangedInRun)
    );
    over(&pool, 2, (pooled, conn));
    over(&pool, 2, busy);
    // A run's pause begins at the end of a request, however long that took.
    let long = go(&pool, 1).await;
    sleep(RUN_GAP * 2).await;
    over(&pool, 1, long);
    sleep(REST).await;
    request(&pool, 2).await;
    assert_eq!(
        request(&pool, 1).await.1,
        ConnectionUse::ChangedInRun,
        "soon after a long one"
    );
    let notes = told.notes.take();
    assert_eq!(notes.len(), 13);
    let first = Attempt {
        customer: 1,
        server: ID,
        conn: ConnectionUse::Kept,
        outcome: Outcome::Fine,
    };
    assert_eq!(notes.first(), Some(&first));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_never_ran_changes_nobodys_last_connection() {
    let (_listener, pool, told) = watched(10, &[]);
    assert_eq!(request(&pool, 1).await, (1, ConnectionUse::Kept));
    for customer in [1, 2] {
        let (mut pooled, conn) = go(&pool, customer).await;
        pooled.used += 1;
        pool.take_back(ID, &mut pooled);
        pool.park(ID, pooled);
        pool.end(ID, customer, conn, false, None);
    }
    sleep(RUN_GAP * 2).await;
    assert_eq!(
        request(&pool, 1).await,
        (1, ConnectionUse::Kept),
        "the other's was turned away"
    );
    assert_eq!(
        request(&pool, 2).await,
        (1, ConnectionUse::Kept),
        "so it has no last one yet"
    );
    assert_eq!(told.notes.borrow().len(), 3, "what never ran is not told");
}

#[tokio::test(start_paused = true)]
async fn a_run_gets_its_own_connection_again_and_nobody_else_does_meanwhile() {
    let (_listener, pool, _) = watched(2, &[(1, Hold::Run)]);
    assert_eq!(request(&pool, 1).await, (1, ConnectionUse::Kept));
    assert_eq!(
        request(&pool, 2).await,
        (2, ConnectionUse::Kept),
        "it opens one, though one is idle"
    );
    sleep(REST).await;
    assert_eq!(
        request(&pool, 1).await,
        (1, ConnectionUse::Kept),
        "its own, not the warmest"
    );
    assert_eq!(
        request(&pool, 1).await,
        (1, ConnectionUse::Kept),
        "its own, after the rest"
    );
    sleep(REST).await;
    let busy = go(&pool, 2).await;
    assert_eq!(busy.1, ConnectionUse::Kept);
    let (pooled, conn) = go(&pool, 3).await;
    assert_eq!(
        pooled.seen.as_ref().map(|seen| seen.number()),
        Some(3),
        "it takes the idle one's descriptor"
    );
    over(&pool, 3, (pooled, conn));
    over(&pool, 2, busy);
    sleep(RUN_GAP * 2).await;
    let (number, conn) = request(&pool, 1).await;
    assert_eq!(
        (number, conn),
        (2, ConnectionUse::ChangedBetween),
        "a run that is over goes on anywhere"
    );
    sleep(RUN_GAP).await;
    assert_eq!(
        request(&pool, 2).await.0,
        2,
        "nor is its connection spared any more"
    );
    let busy = go(&pool, 2).await;
    let warmest = busy.0.seen.as_ref().map(|seen| seen.number());
    assert_ne!(Some(request(&pool, 1).await.0), warmest);
    sleep(REST).await;
    over(&pool, 2, busy);
    sleep(RUN_GAP * 2).await;
    assert_eq!(Some(request(&pool, 1).await.0), warmest, "not its own");
}

#[tokio::test(start_paused = true)]
async fn a_runs_connection_goes_to_another_if_none_can_be_opened() {
    let (listener, pool, _) = watched(10, &[(1, Hold::Run)]);
    assert_eq!(request(&pool, 1).await.0, 1);
    let (end, _) = listener.accept().expect("the first one");
    drop(listener);
    sleep(REST).await;
    assert_eq!(request(&pool, 2).await.0, 1);
    drop(end);
}

#[tokio::test(start_paused = true)]
async fn a_private_connection_is_its_owners_alone_and_is_given_back() {
    let (_listener, pool, told) = watched(16, &[(1, Hold::Private), (3, Hold::Private)]);
    assert_eq!(request(&pool, 1).await, (1, ConnectionUse::Kept));
    sleep(RUN_GAP * 2).await;
    assert_eq!(
        request(&pool, 2).await,
        (2, ConnectionUse::Kept),
        "another opens its own"
    );
    let own = go(&pool, 1).await;
    assert_eq!(own.1, ConnectionUse::Kept);
    assert_eq!(own.0.seen.as_ref().map(|seen| seen.number()), Some(1));
    assert_eq!(pool.private(), (1, 0));
    sleep(REST).await;
    assert_eq!(
        request(&pool, 1).await.0,
        2,
        "it has one alone, and shares beside that"
    );
    over(&pool, 1, own);
    assert_eq!(
        (pool.private(), pool.connections()),
        ((1, 1), (2, 0)),
        "idle private ones are idle ones"
    );

    // Two of sixteen are within an eighth; the third customer's is the last.
    request(&pool, 3).await;
    assert_eq!(pool.private().0, 2);
    told.holds.borrow_mut().insert(4, Hold::Private);
    sleep(REST).await;
    request(&pool, 4).await;
    assert_eq!(
        pool.private(),
        (2, 2),
        "past the bound it shares and is counted"
    );

    // Its hold ends: it is closed.
    told.holds.borrow_mut().remove(&3);
    request(&pool, 3).await;
    assert_eq!(pool.private().0, 1);
    // Its backend's life ends.
    pool.take_out(ID, true);
    pool.take_out(ID, false);
    assert_eq!((pool.private().0, pool.connections()), (0, (0, 0)));
    // It stands idle.
    request(&pool, 1).await;
    assert_eq!(pool.private().0, 1);
    let _ = timeout(62 * SECOND, pool.sweep()).await;
    assert_eq!(
        (pool.private().0, pool.connections()),
        (0, (0, 0)),
        "it may not stay unused for long"
    );
}

#[tokio::test(start_paused = true)]
async fn a_customers_last_connection_becomes_its_private_one() {
    let (_listener, pool, told) = watched(16, &[]);
    request(&pool, 1).await;
    told.holds.borrow_mut().insert(1, Hold::Private);
    assert_eq!(request(&pool, 1).await, (1, ConnectionUse::Kept));
    assert_eq!((pool.private().0, pool.connections()), (1, (1, 0)));
}

#[tokio::test(start_paused = true)]
async fn private_connections_are_shed_last() {
    let (_listener, pool, _) = watched(16, &[(1, Hold::Private)]);
    request(&pool, 1).await;
    sleep(SECOND).await;
    request(&pool, 2).await;
    assert!(pool.shed_idle());
    assert_eq!(
        (pool.private().0, pool.connections()),
        (1, (1, 0)),
        "the other, though it is younger"
    );
    assert!(pool.shed_idle());
    assert_eq!((pool.private().0, pool.connections()), (0, (0, 0)));
    assert!(!pool.shed_idle());
    assert_eq!(pool.descriptors.available_permits(), 16);

    // Nor before another backend's.
    request(&pool, 1).await;
    sleep(SECOND).await;
    pool.put(
        ID + 1,
        pool.ready_at(ID).expect("it is ready").address,
        0.0,
        true,
    );
    let place = pool.ready_at(ID + 1).expect("it is ready");
    pool.park(ID + 1, pool.connect(place).await.expect("it comes up"));
    assert!(pool.shed_idle());
    assert_eq!((pool.private().0, pool.connections()), (1, (1, 0)));
}

#[tokio::test(start_paused = true)]
async fn nobodys_idle_connection_is_closed_for_a_private_one() {
    let (_listener, pool, _) = watched(16, &[(1, Hold::Private)]);
    assert_eq!(request(&pool, 2).await.0, 1);
    let all = pool
        .descriptors
        .clone()
        .try_acquire_many_owned(15)
        .expect("they are free");
    assert_eq!(request(&pool, 1).await.0, 1);
    assert_eq!(
        (pool.private(), pool.connections()),
        ((0, 1), (1, 0)),
        "it shares and is counted"
    );
    drop(all);
    assert_eq!(request(&pool, 1).await.0, 1);
    assert_eq!(pool.private(), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn a_flood_of_customers_is_bounded() {
    let (_listener, pool, told) = watched(40, &[]);
    told.holds
        .borrow_mut()
        .extend((0..12_000).map(|customer| (customer, Hold::Private)));
    for customer in 0..12_000 {
        request(&pool, customer).await;
    }
    let watched = pool.watched.get().expect("it is watched");
    assert_eq!(watched.remembered(), MOST);
    assert_eq!(pool.private().0, 5, "an eighth of the descriptors");
    let (idle, busy) = pool.connections();
    assert!(idle <= 40 && busy == 0, "{idle} idle");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_remembered_unless_someone_watches() {
    let (_listener, _, pool) = pool(10, 1000 * SECOND, 7);
    let place = pool.ready_at(ID).expect("it is ready");
    let mut pooled = pool
        .have(ID, place, 1, Instant::now())
        .await
        .expect("it comes up");
    assert_eq!(pool.begin(ID, 1, &mut pooled), None);
    assert!(pooled.seen.is_none());
    pool.end(ID, 1, ConnectionUse::Kept, true, Some(Outcome::Fine));
    assert!(pool.watched.get().is_none() && pool.private() == (0, 0));
}

/// Time goes on, and the reactor has no turn: as for a process that stood still, or served a timer first.
#[tokio::test(start_paused = true)]
async fn what_the_reactor_has_not_told_of_ends_an_idle_connection_all_the_same() {
    type Say<'a> = &'a dyn Fn(TcpStream) -> Option<TcpStream>;
    let said: [(&str, Say); 4] = [
        ("a second answer", &|mut end| {
            end.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .expect("it goes out");
            Some(end)
        }),
        ("half a line", &|mut end| {
            end.write_all(b"HTT").expect("it goes out");
            Some(end)
        }),
        ("a close", &|_| None),
        ("a reset", &|end| {
            SockRef::from(&end)
                .set_linger(Some(Duration::ZERO))
                .expect("an option");
            None
        }),
    ];
    for (name, say) in said {
        let (listener, _, pool) = pool(1, 100 * SECOND, 7);
        let mut used = open(&pool).await;
        used.used = 1;
        let (end, _) = listener.accept().expect("it is there");
        assert!(used.link.is_usable().await);
        pool.park(ID, used);
        // The reactor looks for the last time, and finds nothing.
        sleep(REST).await;
        let mut context = Context::from_waker(Waker::noop());
        let mut idle = pin!(pool.idle(ID, Instant::now() + SECOND));
        let _end = say(end);
        let Poll::Ready(pooled) = idle.as_mut().poll(&mut context) else {
            panic!("it has rested")
        };
        assert!(pooled.is_none(), "{name}: it would have been used");
        assert_eq!(
            (pool.connections(), pool.descriptors.available_permits()),
            ((0, 0), 1),
            "{name}"
        );
    }
}
