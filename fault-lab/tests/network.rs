//! The relays between two parties, over real sockets.

use fault_lab::net::{open_connections, Net};
use fault_lab::process::raise_descriptor_limit;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};

/// Nothing here takes that long unless it fails.
const PATIENCE: Duration = Duration::from_secs(20);
/// What is held is not seen within this; only a relay that lets it pass would show it.
const MOMENT: Duration = Duration::from_millis(200);
const OWN: Ipv4Addr = Ipv4Addr::LOCALHOST;

async fn within<T>(work: impl std::future::Future<Output = T>) -> T {
    timeout(PATIENCE, work).await.expect("it takes too long")
}

/// Both ends of a connection through a relay.
async fn pair(net: &Net) -> (TcpStream, TcpStream, SocketAddr, TcpListener) {
    let listener = TcpListener::bind((OWN, 0)).await.expect("a port");
    let relay = net
        .tcp("a", "b", listener.local_addr().expect("an address"))
        .await
        .expect("a relay");
    let near = within(TcpStream::connect(relay))
        .await
        .expect("it comes up");
    let (far, _) = within(listener.accept()).await.expect("it comes through");
    (near, far, relay, listener)
}

fn net() -> Net {
    Net::new(OWN.into(), 1, None)
}

async fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    within(stream.read_exact(&mut bytes))
        .await
        .expect("bytes come");
    bytes
}

#[tokio::test]
async fn one_side_may_end_while_the_other_goes_on() {
    let net = net();
    let (mut near, mut far, ..) = pair(&net).await;
    near.write_all(b"question").await.expect("it goes out");
    near.shutdown().await.expect("its end goes out");
    let mut question = String::new();
    within(far.read_to_string(&mut question))
        .await
        .expect("it ends");
    assert_eq!(question, "question");
    far.write_all(b"answer")
        .await
        .expect("the other direction stands");
    drop(far);
    let mut answer = String::new();
    within(near.read_to_string(&mut answer))
        .await
        .expect("it ends");
    assert_eq!(answer, "answer");
}

#[tokio::test]
async fn what_is_cut_is_held_in_that_direction_alone_and_goes_on_when_it_heals() {
    let net = net();
    let (mut near, mut far, relay, listener) = pair(&net).await;
    net.change("a", "b", |condition| condition.cut = true);
    near.write_all(b"held").await.expect("the relay takes it");
    far.write_all(b"free").await.expect("it goes out");
    assert_eq!(read(&mut near, 4).await, b"free");
    assert!(
        timeout(MOMENT, far.read(&mut [0])).await.is_err(),
        "it is held"
    );
    let dial = tokio::spawn(TcpStream::connect(relay));
    assert!(
        timeout(MOMENT, listener.accept()).await.is_err(),
        "no connection comes through"
    );
    assert!(!dial.is_finished(), "nor does one come up");
    net.heal();
    assert_eq!(read(&mut far, 4).await, b"held");
    let mut late = within(dial)
        .await
        .expect("it runs")
        .expect("it comes up at last");
    let (mut other, _) = within(listener.accept()).await.expect("it comes through");
    late.write_all(b"late").await.expect("it goes out");
    assert_eq!(read(&mut other, 4).await, b"late");
}

#[tokio::test]
async fn a_partition_cuts_between_groups_and_not_within() {
    let net = net();
    net.partition(&["a", "c"], &["b"]);
    let cut = |from, to| net.condition(from, to).cut;
    assert!(cut("a", "b") && cut("b", "a") && cut("c", "b") && cut("b", "c"));
    assert!(!cut("a", "c") && !cut("c", "a"));
    net.heal();
    assert!(!cut("a", "b") && !cut("b", "c"));
}

#[tokio::test]
async fn a_reset_and_an_end_that_dies_reach_the_other_end_and_leave_nothing() {
    let net = net();
    let (mut near, mut far, relay, listener) = pair(&net).await;
    net.change("a", "b", |condition| condition.resets += 1);
    for end in [&mut near, &mut far] {
        let error = within(end.read(&mut [0])).await.expect_err("a reset");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
    let mut again = within(TcpStream::connect(relay))
        .await
        .expect("a new one comes up");
    let (far, _) = within(listener.accept()).await.expect("it comes through");
    socket2::SockRef::from(&far)
        .set_linger(Some(Duration::ZERO))
        .expect("an option");
    drop(far);
    within(again.read(&mut [0])).await.expect_err("a reset");
    // Both ends die at once.
    let near = within(TcpStream::connect(relay))
        .await
        .expect("a new one comes up");
    let (far, _) = within(listener.accept()).await.expect("it comes through");
    drop((near, far, again, listener));
    // Nobody listens behind the relay any more.
    let mut refused = within(TcpStream::connect(relay))
        .await
        .expect("the relay takes it");
    within(refused.read(&mut [0])).await.expect_err("a reset");
    net.close();
}

#[tokio::test]
async fn a_thousand_connections_pass_through_one_relay() {
    raise_descriptor_limit();
    let net = net();
    let listener = TcpListener::bind((OWN, 0)).await.expect("a port");
    let relay = net
        .tcp("a", "b", listener.local_addr().expect("an address"))
        .await
        .expect("a relay");
    let echo = tokio::spawn(async move {
        let mut streams = Vec::new();
        for _ in 0..1000 {
            streams.push(listener.accept().await.expect("it comes through").0);
        }
        for stream in &mut streams {
            let number = stream.read_u32().await.expect("a number");
            stream.write_u32(number + 1).await.expect("it goes out");
        }
        streams
    });
    let mut streams = Vec::new();
    for number in 0..1000 {
        let mut stream = within(TcpStream::connect(relay))
            .await
            .expect("it comes up");
        stream.write_u32(number).await.expect("it goes out");
        streams.push(stream);
    }
    for (number, stream) in streams.iter_mut().enumerate() {
        assert_eq!(
            within(stream.read_u32()).await.expect("an answer"),
            number as u32 + 1
        );
    }
    let far = within(echo).await.expect("all came through");
    assert!(open_connections() >= 1000);
    drop((streams, far));
    within(async {
        // Other tests of this file have a few of their own.
        while open_connections() >= 100 {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

#[tokio::test]
async fn bytes_that_are_delayed_come_whole_and_in_order() {
    let net = net();
    let (mut near, mut far, ..) = pair(&net).await;
    net.change("a", "b", |condition| {
        condition.jitter = Duration::from_millis(5);
    });
    let wanted: Vec<u8> = (0..300_000u32).map(|n| (n % 251) as u8).collect();
    let sent = wanted.clone();
    let write = tokio::spawn(async move {
        for piece in sent.chunks(7001) {
            near.write_all(piece).await.expect("it goes out");
        }
        near
    });
    assert!(read(&mut far, wanted.len()).await == wanted);
    drop(write);
}

#[tokio::test]
async fn datagrams_are_lost_doubled_cut_and_held_as_told() {
    let net = net();
    let far = UdpSocket::bind((OWN, 0)).await.expect("a port");
    let near = UdpSocket::bind((OWN, 0)).await.expect("a port");
    let relay = net
        .udp("a", "b", far.local_addr().expect("an address"))
        .await
        .expect("a relay");
    let send = |number: u32| {
        let near = &near;
        async move {
            near.send_to(&number.to_be_bytes(), relay)
                .await
                .map(drop)
                .expect("it goes out");
        }
    };
    /// All that comes up to this number.
    async fn until(far: &UdpSocket, last: u32) -> Vec<u32> {
        let mut all = Vec::new();
        let mut bytes = [0; 4];
        while all.last() != Some(&last) {
            within(far.recv_from(&mut bytes)).await.expect("it comes");
            all.push(u32::from_be_bytes(bytes));
        }
        all
    }
    send(1).await;
    assert_eq!(until(&far, 1).await, [1]);
    net.change("a", "b", |condition| condition.double = 1.0);
    send(2).await;
    net.change("a", "b", |condition| condition.double = 1.0);
    assert_eq!(
        [until(&far, 2).await, until(&far, 2).await].concat(),
        [2, 2]
    );
    net.heal();
    net.change("a", "b", |condition| condition.loss = 0.5);
    for number in 100..300 {
        send(number).await;
        // One at a time, so that only the relay loses any.
        sleep(Duration::from_millis(1)).await;
    }
    net.heal();
    sleep(MOMENT).await;
    send(3).await;
    let came = until(&far, 3).await.len();
    assert!(
        (50..150).contains(&came),
        "{came} of 200 came at a loss of a half"
    );
    net.change("a", "b", |condition| condition.cut = true);
    send(4).await;
    sleep(MOMENT).await;
    net.heal();
    net.change("a", "b", |condition| condition.stall = true);
    send(5).await;
    sleep(MOMENT).await;
    net.heal();
    assert_eq!(
        until(&far, 5).await,
        [5],
        "what was cut is lost, what was held comes"
    );
}
