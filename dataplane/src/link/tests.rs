use super::*;
use std::net::Ipv4Addr;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// More than the buffers of both sides hold.
const LONG: usize = 32 << 20;

/// How much of a request with a body of `size` bytes was written to a peer that resets the connection once `reads` holds
/// for what it has read.
async fn written_before_reset(reads: impl Fn(&[u8]) -> bool, size: usize) -> Written {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("an address");
    let written = Rc::new(Cell::new(0));
    let mut link = Link::open(address, written.clone())
        .await
        .expect("it comes up");
    let peer = async {
        let (mut stream, _) = listener.accept().await.expect("it comes up");
        let mut got = Vec::new();
        while !reads(&got) {
            stream.read_buf(&mut got).await.expect("there is more");
        }
        SockRef::from(&stream)
            .set_linger(Some(std::time::Duration::ZERO))
            .expect("an option");
    };
    let body = Upload::new(Bytes::from(vec![b'x'; size]), None);
    let (answer, ()) = tokio::join!(
        link.send(Request::post("/").body(body).expect("a request")),
        peer
    );
    let failure = answer.expect_err("there is no answer");
    assert_eq!(
        written.get(),
        u64::from(failure.written == Written::Wholly),
        "{failure:?}"
    );
    assert_eq!(link.written(), failure.written);
    assert!(!link.is_usable().await);
    failure.written
}

/// Guards against a long request counting as one that never reached its peer, which may have begun to work on it.
#[tokio::test]
async fn a_request_of_which_a_part_was_written_is_partly_written() {
    assert_eq!(written_before_reset(|_| true, LONG).await, Written::Partly);
    let has_head = |got: &[u8]| got.windows(4).any(|window| window == b"\r\n\r\n");
    assert_eq!(written_before_reset(has_head, LONG).await, Written::Partly);
    let has_part_of_body = |got: &[u8]| got.len() > 100_000;
    assert_eq!(
        written_before_reset(has_part_of_body, LONG).await,
        Written::Partly
    );
}

#[tokio::test]
async fn a_request_that_the_system_took_over_is_wholly_written() {
    for size in [0, 1, 1000] {
        assert_eq!(
            written_before_reset(|got| !got.is_empty(), size).await,
            Written::Wholly,
            "{size}"
        );
    }
    assert_eq!(
        written_before_reset(|got| got.ends_with(b"xxx"), 3).await,
        Written::Wholly
    );
}

/// A reset that comes before the first write leaves a request that can safely be sent elsewhere.
#[tokio::test]
async fn nothing_is_written_to_a_connection_that_was_reset_before() {
    for size in [0, LONG] {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mut link = Link::open(address, Rc::default())
            .await
            .expect("it comes up");
        let (peer, _) = listener.accept().await.expect("it comes up");
        SockRef::from(&peer)
            .set_linger(Some(std::time::Duration::ZERO))
            .expect("an option");
        drop(peer);
        let body = Upload::new(Bytes::from(vec![b'x'; size]), None);
        let request = Request::post("/").body(body).expect("a request");
        let failure = link.send(request).await.expect_err("there is no answer");
        assert_eq!(failure.written, Written::Nothing, "{size}");
    }
}
