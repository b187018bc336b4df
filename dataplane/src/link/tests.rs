use super::*;
use std::net::Ipv4Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// More than the buffers of both sides hold.
const LONG: usize = 32 << 20;

fn unanswered(answer: Result<Response<Incoming>, ExchangeError>) -> Failure {
    match answer {
        Err(ExchangeError::Unanswered(failure)) => failure,
        other => panic!("an answer has begun: {other:?}"),
    }
}

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
    let failure = unanswered(answer);
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
        let failure = unanswered(link.send(request).await);
        assert_eq!(failure.written, Written::Nothing, "{size}");
    }
}

/// A peer that answers the first request with `answer` and keeps the connection; tells when the other side has closed it.
async fn answer_and_wait_for_close(listener: TcpListener, answer: &[u8]) {
    let (mut stream, _) = listener.accept().await.expect("it comes up");
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_buf(&mut request).await.expect("a request");
    }
    stream.write_all(answer).await.expect("a reader");
    while matches!(stream.read_buf(&mut request).await, Ok(1..)) {}
}

/// What an exchange with a peer that sends this answer brings, and whether its connection is usable then. The peer sees
/// that the connection is closed afterwards.
async fn exchange_with(answer: &str) -> (Result<Vec<u8>, ExchangeError>, bool) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("an address");
    let exchange = async {
        let mut link = Link::open(address, Rc::default())
            .await
            .expect("it comes up");
        let body = read_answer(&mut link).await;
        (body, link.is_usable().await)
    };
    let peer = answer_and_wait_for_close(listener, answer.as_bytes());
    tokio::join!(exchange, peer).0
}

async fn read_answer(link: &mut Link) -> Result<Vec<u8>, ExchangeError> {
    let body = Upload::new(Bytes::new(), None);
    let request = Request::get("/").body(body).expect("a request");
    let mut body = link.send(request).await?.into_body();
    let mut read = Vec::new();
    while let Some(chunk) = link.next_chunk(&mut body).await {
        read.extend_from_slice(&chunk?);
    }
    Ok(read)
}

/// Guards against a damaged answer being taken for a whole one with another body, and against its rest being read as the
/// answer to the next request.
#[tokio::test]
async fn a_malformed_answer_is_broken_and_ends_its_connection() {
    use MalformedResponse::{
        ChunkExtension, ConflictingLengths, FieldName, LineEnd, Status, TransferEncoding,
    };
    let chunks = "2\r\nok\r\n0\r\n\r\n";
    for (answer, rule) in [
        (
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkd\r\n\r\n{chunks}"),
            TransferEncoding,
        ),
        (
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n{chunks}"),
            TransferEncoding,
        ),
        (
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n{chunks}"),
            ConflictingLengths,
        ),
        (
            "HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 2\r\n\r\nok".into(),
            FieldName,
        ),
        (
            "HTTP/1.1 200 OK\r\nin side: x\r\nContent-Length: 2\r\n\r\nok".into(),
            FieldName,
        ),
        (
            "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok".into(),
            Status(0),
        ),
        (
            "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok".into(),
            Status(600),
        ),
        (
            "HTTP/1.1 101 Switching\r\n\r\n".into(),
            Status(101),
        ),
        (
            "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok".into(),
            LineEnd,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\u{1}\r\nok\r\n0\r\n\r\n".into(),
            ChunkExtension,
        ),
    ] {
        let malformed = ExchangeError::Broken(BrokenResponse::Malformed(rule));
        assert_eq!(exchange_with(&answer).await, (Err(malformed), false), "{answer:?}");
    }
}

/// Guards against a request that waits for the rest of a line which is known to be none.
#[tokio::test]
async fn a_malformed_part_of_a_line_is_not_awaited_to_its_end() {
    for answer in [
        "HTTP/1.1 200 OK\r\nin side: x\r\n",
        "HTTP/1.1 2x",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nz",
    ] {
        let malformed =
            ExchangeError::Broken(BrokenResponse::Malformed(MalformedResponse::Unreadable));
        assert_eq!(
            exchange_with(answer).await,
            (Err(malformed), false),
            "{answer:?}"
        );
    }
}

#[tokio::test]
async fn a_well_formed_answer_leaves_a_usable_connection_and_surplus_bytes_do_not() {
    for (answer, is_usable) in [
        ("HTTP/1.1 200\r\ncontent-length: 2\r\n\r\nok", true),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true),
        ("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokay", false),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false),
    ] {
        assert_eq!(exchange_with(answer).await, (Ok(b"ok".to_vec()), is_usable), "{answer:?}");
    }
}
