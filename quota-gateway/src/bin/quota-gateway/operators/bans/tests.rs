use super::*;
use tokio::time::{timeout, Instant};

#[test]
fn what_one_process_was_told_another_reads() {
    let folder = env::temp_dir().join(format!("bans-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let (one, other) = (Bans::new(&folder), Bans::new(&folder));
    assert_eq!(other.read().expect("readable"), Standing::default());
    one.take_out("s-1/../x").expect("writable");
    one.take_out("s-1/../x").expect("twice is once");
    // What others left there is no ban.
    for stray in ["out-", "out-zz", "out-é", "half"] {
        fs::write(one.folder.join(stray), b"").expect("writable");
    }
    let mut out = other.read().expect("readable").out;
    out.remove("");
    assert_eq!(out.into_iter().collect::<Vec<_>>(), ["s-1/../x"]);
    other.give_back("s-1/../x").expect("writable");
    let standing = one.read().expect("readable");
    assert!(!standing.out.contains("s-1/../x") && standing.back.contains_key("s-1/../x"));
    fs::remove_dir_all(&folder).expect("removed");
}

#[tokio::test(start_paused = true)]
async fn changes_are_told_and_nothing_wakes_the_program_while_there_are_none() {
    let folder = env::temp_dir().join(format!("changes-{}", std::process::id()));
    let (one, other) = (Bans::new(&folder), Bans::new(&folder));
    let mut changes = one.changes();
    let (take_out, give_back) = (|| other.take_out("s-1"), || other.give_back("s-1"));
    let begun = Instant::now();
    for change in [
        &take_out as &dyn Fn() -> io::Result<()>,
        &give_back,
        &give_back,
    ] {
        change().expect("writable");
        changes.next().await;
    }
    assert_eq!(
        begun.elapsed(),
        Duration::ZERO,
        "they were told, not looked for"
    );
    // The clock leaps to the next moment at which anything is due.
    let hour = Duration::from_secs(3600);
    assert!(
        timeout(hour, changes.next()).await.is_err(),
        "woken for nothing"
    );
    // Without the folder it is looked for, and found when it is there again.
    fs::remove_dir_all(&folder).expect("removed");
    changes.next().await;
    changes.next().await;
    assert!(begun.elapsed() < hour + 2 * LOOK);
    other.take_out("s-2").expect("writable");
    changes.next().await;
    let watched = Instant::now();
    other.take_out("s-3").expect("writable");
    changes.next().await;
    assert_eq!(watched.elapsed(), Duration::ZERO, "told again");
    fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn the_folder_and_the_files_of_bans_have_the_recorded_names() {
    let listen: SocketAddr = "127.0.0.1:8080".parse().expect("an address");
    let shared = shared_folder(listen);
    assert_eq!(shared, env::temp_dir().join("brassport-127.0.0.1-8080"));
    let folder = env::temp_dir().join(format!("ban-names-{}", std::process::id()));
    fs::create_dir_all(folder.join("bans")).expect("a folder");
    // As an earlier build left them: `s-1` is out, `s-2` was given back.
    fs::write(folder.join("bans/out-732d31"), b"").expect("writable");
    fs::write(folder.join("bans/back-732d32"), b"").expect("writable");
    let read = Bans::new(&folder).read().expect("readable");
    assert_eq!(read.out.into_iter().collect::<Vec<_>>(), ["s-1"]);
    assert_eq!(read.back.into_keys().collect::<Vec<_>>(), ["s-2"]);
    Bans::new(&folder).take_out("s-3").expect("writable");
    assert!(folder.join("bans/out-732d33").exists());
    fs::remove_dir_all(&folder).expect("removed");
}
