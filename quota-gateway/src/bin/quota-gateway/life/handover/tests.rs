//! Tests of the hand-over that need its inner parts.

use super::*;
use tokio::net::UnixListener;
use tokio::time::Instant;

#[tokio::test]
async fn a_listening_socket_changes_hands_with_what_waits_in_its_queue() {
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("it listens");
    let address = listener.local_addr().expect("an address");
    let waiting = std::net::TcpStream::connect(address).expect("it waits in the queue");
    let folder = std::env::temp_dir().join(format!("{}-{}", "x".repeat(120), std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder with a long name");
    let socket: UnixListener = bind(&folder).expect("it is bound");
    // One that died there before is no obstacle.
    drop(socket);
    let socket = bind(&folder).expect("it is bound again");
    let path = folder.clone();
    let joining = tokio::spawn(async move {
        let folder = File::open(&path).expect("a folder");
        let stream = UnixStream::connect(short(&path, &folder, NAME))
            .await
            .expect("it is there");
        receive(&stream).await.expect("a listening socket comes")
    });
    let (stream, _) = socket.accept().await.expect("it is joined");
    send(&stream, &listener).await.expect("it goes out");
    let handed = joining.await.expect("it came");
    drop(listener);
    handed.set_nonblocking(false).expect("a plain one");
    let (_, from) = handed.accept().expect("nothing was reset");
    assert_eq!(from, waiting.local_addr().expect("an address"));
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[tokio::test]
async fn a_message_that_was_cut_off_is_none() {
    let (one, other) = UnixStream::pair().expect("a pair");
    let (mut writer, mut reader) = (BufReader::new(one), BufReader::new(other));
    write(&mut writer, &BTreeMap::from([(7_u64, 2_u32)]))
        .await
        .expect("it goes out");
    writer
        .get_mut()
        .write_all(b"{\"8\":")
        .await
        .expect("half of one");
    drop(writer);
    let whole = read::<BTreeMap<CustomerId, u32>>(&mut reader)
        .await
        .expect("readable");
    assert_eq!(whole, Some(BTreeMap::from([(7, 2)])));
    assert_eq!(
        read::<BTreeMap<CustomerId, u32>>(&mut reader)
            .await
            .expect("no error"),
        None
    );
}

/// The way to a first process, and that one's end of it.
fn predecessor() -> (Predecessor, UnixStream) {
    let (one, other) = UnixStream::pair().expect("a pair");
    let introduction = Introduction {
        epoch: 0.0,
        targets: Vec::new(),
        standby: false,
        numbers: None,
    };
    (
        Predecessor {
            introduction,
            stream: BufReader::new(one),
        },
        other,
    )
}

#[tokio::test(start_paused = true)]
async fn a_successor_waits_for_a_backend_only_while_there_is_a_predecessor() {
    let (mut second, first) = predecessor();
    let began = Instant::now();
    second.wait(std::future::ready(())).await;
    assert_eq!(began.elapsed(), Duration::ZERO, "it could serve");
    second.wait(std::future::pending::<()>()).await;
    assert_eq!(
        began.elapsed(),
        SERVES_WITHIN,
        "clients are served by the other"
    );
    drop(first);
    second.wait(std::future::pending::<()>()).await;
    assert_eq!(began.elapsed(), SERVES_WITHIN, "nobody serves them");
}

#[test]
fn an_introduction_has_the_recorded_form() {
    let recorded = r#"{"epoch":1.5,"targets":[{"uid":"s-1","endpoint":"10.0.0.1:80","az":"east","pod_group":2,"state":"draining","capacity_hint":0.5,"boot_ms":12.0}],"standby":true,"numbers":{"classes":["gold"],"plans":["small"]}}"#;
    let introduction: Introduction =
        serde_json::from_str(recorded).expect("an earlier build's introduction");
    assert_eq!(
        serde_json::to_string(&introduction).expect("it can be written"),
        recorded
    );
}
