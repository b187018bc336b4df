//! The tier's own protocol: frames from arbitrary bytes, and calls over loopback.

use alderhollow::internal::frame::{
    Frame, FrameError, FrameKind, MAX_PAYLOAD_BYTES, PROTOCOL_VERSION,
};
use alderhollow::internal::server::{serve, HandlerFuture};
use alderhollow::internal::{CallError, Handler, Network, Refusal, ServiceId, Services};
use proptest::prelude::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::LocalSet;

const LONG: Duration = Duration::from_secs(20);

fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

fn any_kind() -> impl Strategy<Value = FrameKind> {
    prop_oneof![
        Just(FrameKind::Request),
        Just(FrameKind::Notice),
        Just(FrameKind::Response),
        Just(FrameKind::Refused)
    ]
}

fn any_service() -> impl Strategy<Value = Option<ServiceId>> {
    prop_oneof![
        Just(None),
        Just(Some(ServiceId::Core)),
        Just(Some(ServiceId::Distribution)),
        Just(Some(ServiceId::Batch)),
        Just(Some(ServiceId::Replication))
    ]
}

fn any_frame() -> impl Strategy<Value = Frame> {
    (
        any_kind(),
        any_service(),
        any::<u64>(),
        prop::collection::vec(any::<u8>(), 0..300),
    )
        .prop_map(|(kind, service, call, payload)| Frame {
            kind,
            service,
            call,
            payload,
        })
}

proptest! {
    #[test]
    fn frames_come_back_as_they_were_written(frames in prop::collection::vec(any_frame(), 0..5)) {
        let mut bytes = Vec::new();
        for frame in &frames {
            frame.encode(&mut bytes);
        }
        let read = block_on(async {
            let mut source = bytes.as_slice();
            let mut read = Vec::new();
            while let Some(frame) = Frame::read(&mut source).await.expect("whole frames") {
                read.push(frame);
            }
            read
        });
        prop_assert_eq!(read, frames);
    }

    #[test]
    fn arbitrary_bytes_end_in_frames_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        block_on(async {
            let mut source = bytes.as_slice();
            while let Ok(Some(frame)) = Frame::read(&mut source).await {
                assert!(frame.payload.len() <= bytes.len());
            }
        });
    }

    #[test]
    fn a_frame_that_is_cut_is_an_error(frame in any_frame(), cut in any::<prop::sample::Index>()) {
        let mut bytes = Vec::new();
        frame.encode(&mut bytes);
        let kept = 1 + cut.index(bytes.len() - 1);
        let read = block_on(async { Frame::read(&mut &bytes[..kept]).await });
        prop_assert!(matches!(read, Err(FrameError::Connection(_))));
    }
}

#[test]
fn frames_that_are_too_long_or_of_another_version_are_errors() {
    let too_long = u32::try_from(MAX_PAYLOAD_BYTES + 12)
        .expect("fits")
        .to_be_bytes();
    let read = block_on(async { Frame::read(&mut too_long.as_slice()).await });
    assert!(matches!(read, Err(FrameError::Length(_))));

    let mut bytes = Vec::new();
    Frame {
        kind: FrameKind::Notice,
        service: None,
        call: 0,
        payload: Vec::new(),
    }
    .encode(&mut bytes);
    bytes[4] = PROTOCOL_VERSION + 1;
    let read = block_on(async { Frame::read(&mut bytes.as_slice()).await });
    assert!(matches!(read, Err(FrameError::Version(_))));
}

/// Answers with the payload reversed; keeps notices; holds requests that begin with `h`; refuses those with `x`.
#[derive(Default)]
struct Reverser {
    notices: RefCell<Vec<Vec<u8>>>,
    noticed: Notify,
    released: Rc<Notify>,
}

impl Handler for Reverser {
    fn request(&self, mut payload: Vec<u8>) -> HandlerFuture {
        let released = self.released.clone();
        Box::pin(async move {
            match payload.first() {
                Some(b'h') => released.notified().await,
                Some(b'x') => return Err(Refusal::Malformed),
                _ => (),
            }
            payload.reverse();
            Ok(payload)
        })
    }

    fn notice(&self, payload: Vec<u8>) {
        self.notices.borrow_mut().push(payload);
        self.noticed.notify_one();
    }
}

async fn start_server() -> (SocketAddr, Rc<Reverser>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = Rc::new(Reverser::default());
    let mut services = Services::default();
    services.register(ServiceId::Batch, handler.clone());
    tokio::task::spawn_local(serve(listener, services));
    (address, handler)
}

#[test]
fn one_connection_carries_several_calls_at_once() {
    block_on(async {
        let (address, handler) = start_server().await;
        let network = Network::new(1);
        let held = network.call(address, ServiceId::Batch, b"held".to_vec(), LONG);
        let others = async {
            for text in ["abc", "", "defg"] {
                let answer = network
                    .call(address, ServiceId::Batch, text.into(), LONG)
                    .await;
                let expected: String = text.chars().rev().collect();
                assert_eq!(answer, Ok(expected.into_bytes()));
            }
            handler.released.notify_one();
        };
        let (held, ()) = tokio::join!(held, others);
        assert_eq!(held, Ok(b"dleh".to_vec()));
    });
}

#[test]
fn large_payloads_pass_whole() {
    block_on(async {
        let (address, _handler) = start_server().await;
        let network = Network::new(1);
        let payload: Vec<u8> = (0..3_000_000_u32)
            .map(|number| (number % 251) as u8)
            .collect();
        let mut expected = payload.clone();
        expected.reverse();
        assert_eq!(
            network.call(address, ServiceId::Batch, payload, LONG).await,
            Ok(expected)
        );
        let too_large = vec![0; MAX_PAYLOAD_BYTES + 1];
        let answer = network
            .call(address, ServiceId::Batch, too_large, LONG)
            .await;
        assert_eq!(answer, Err(CallError::TooLarge));
    });
}

#[test]
fn notices_arrive_in_order() {
    block_on(async {
        let (address, handler) = start_server().await;
        let network = Network::new(1);
        for number in 0..20_u8 {
            network.notify(address, ServiceId::Batch, vec![number]);
        }
        while handler.notices.borrow().len() < 20 {
            handler.noticed.notified().await;
        }
        let expected: Vec<Vec<u8>> = (0..20_u8).map(|number| vec![number]).collect();
        assert_eq!(*handler.notices.borrow(), expected);
    });
}

#[test]
fn refusals_say_that_nothing_was_done() {
    block_on(async {
        let (address, _handler) = start_server().await;
        let network = Network::new(1);
        let answer = network
            .call(address, ServiceId::Core, Vec::new(), LONG)
            .await;
        assert_eq!(answer, Err(CallError::Refused(Refusal::NoService)));
        let answer = network
            .call(address, ServiceId::Batch, b"x".to_vec(), LONG)
            .await;
        assert_eq!(answer, Err(CallError::Refused(Refusal::Malformed)));
        assert!(CallError::Refused(Refusal::Malformed).surely_not_served());
    });
}

#[test]
fn a_call_that_may_have_been_served_is_not_called_unreachable() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let network = Network::new(1);
        let breaking = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut first = [0; 1];
            stream.read_exact(&mut first).await.expect("a byte");
            drop(stream);
            drop(listener);
        };
        let (answer, ()) = tokio::join!(
            network.call(address, ServiceId::Batch, b"abc".to_vec(), LONG),
            breaking
        );
        assert_eq!(answer, Err(CallError::Broken));
        assert!(!CallError::Broken.surely_not_served());
        let answer = network
            .call(address, ServiceId::Batch, b"abc".to_vec(), LONG)
            .await;
        assert_eq!(answer, Err(CallError::Unreachable));
        assert!(CallError::Unreachable.surely_not_served());
    });
}

#[test]
fn a_peer_that_comes_back_is_reached_again() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let network = Network::new(1);
        let answer = network
            .call(address, ServiceId::Batch, b"abc".to_vec(), LONG)
            .await;
        assert_eq!(answer, Err(CallError::Unreachable));
        let listener = TcpListener::bind(address).await.expect("the same port");
        let mut services = Services::default();
        services.register(ServiceId::Batch, Rc::new(Reverser::default()));
        tokio::task::spawn_local(serve(listener, services));
        tokio::time::pause();
        tokio::time::advance(Duration::from_secs(2)).await;
        tokio::time::resume();
        let answer = network
            .call(address, ServiceId::Batch, b"abc".to_vec(), LONG)
            .await;
        assert_eq!(answer, Ok(b"cba".to_vec()));
    });
}

/// Length of a frame with a payload of five bytes.
const SHORT_FRAME_BYTES: usize = 20;

/// Takes one connection, reads so many bytes and drops it.
async fn drop_after(listener: &TcpListener, bytes: usize) -> Vec<u8> {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut read = vec![0; bytes];
    stream.read_exact(&mut read).await.expect("so many bytes");
    read
}

/// Calls once the network has a connection: it pauses after one that broke.
async fn call_when_reachable(network: &Network, to: SocketAddr, payload: &[u8]) -> CallError {
    loop {
        let end = network
            .call(to, ServiceId::Batch, payload.to_vec(), LONG)
            .await;
        match end.expect_err("no answer came") {
            CallError::Unreachable => tokio::task::yield_now().await,
            error => return error,
        }
    }
}

/// A call is never surely unserved once the peer has all of it, and is never sent a second time: what comes on the next
/// connection is the next call.
#[test]
fn a_call_that_is_cut_at_any_byte_is_not_sent_again() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let network = Network::new(3);
        for cut in 1..=SHORT_FRAME_BYTES {
            let first = call_when_reachable(&network, address, b"first");
            let (error, seen) = tokio::join!(first, drop_after(&listener, cut));
            assert!(
                !error.surely_not_served(),
                "cut after {cut} bytes: {error:?}"
            );
            assert_eq!(seen.ends_with(b"first"), cut == SHORT_FRAME_BYTES);
            let next = call_when_reachable(&network, address, b"later");
            let (_, seen) = tokio::join!(next, drop_after(&listener, SHORT_FRAME_BYTES));
            assert!(seen.ends_with(b"later"), "cut after {cut} bytes: {seen:?}");
        }
    });
}

/// Takes one connection and a short call, answers with these bytes, and waits until the caller closes the connection.
async fn answer_with(listener: &TcpListener, answer: &[u8]) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut call = vec![0; SHORT_FRAME_BYTES];
    stream.read_exact(&mut call).await.expect("a call");
    stream.write_all(answer).await.expect("a reader");
    while matches!(stream.read(&mut call).await, Ok(1..)) {}
}

/// Guards against a damaged answer of a peer being taken for an answer, or for the promise that a call was not served.
#[test]
fn a_malformed_answer_to_a_call_is_none_and_ends_its_connection() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let network = Network::new(3);
        let mut refused = Vec::new();
        Frame {
            kind: FrameKind::Refused,
            service: Some(ServiceId::Batch),
            call: 1,
            payload: vec![Refusal::Busy.code()],
        }
        .encode(&mut refused);
        // The length, the version, the kind.
        for (at, byte) in [(0, 0xff), (3, 10), (4, 0), (5, 0), (5, 9)] {
            let mut damaged = refused.clone();
            damaged[at] = byte;
            let call = call_when_reachable(&network, address, b"first");
            let (error, ()) = tokio::join!(call, answer_with(&listener, &damaged));
            assert!(!error.surely_not_served(), "{damaged:?}: {error:?}");
        }
    });
}
