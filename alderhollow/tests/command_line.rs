//! The program's command line: exit status and words of `check` and of a start with wrong settings.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_alderhollow"));
    command.env_remove("ALDERHOLLOW_BOOT");
    command
}

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn written(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the folder for tests can be written");
    path
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn run(command: &mut Command) -> Output {
    command.output().expect("the program starts")
}

#[test]
fn check_passes_good_files() {
    let output = run(program()
        .arg("check")
        .arg("--settings")
        .arg(fixture("door.toml")));
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let output = run(program()
        .arg("check")
        .arg("--config")
        .arg(fixture("config.json")));
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
}

#[test]
fn check_names_each_finding_on_its_own_line_and_exits_2() {
    let path = written(
        "wrong.json",
        r#"{"config-version":0,"routes":[{"name":"r"}],"services":3}"#,
    );
    let output = run(program().arg("check").arg("--config").arg(&path));
    assert_eq!(output.status.code(), Some(2));
    let shown = text(&output.stdout).replace(&path.display().to_string(), "wrong.json");
    insta::assert_snapshot!(shown);
}

#[test]
fn check_needs_a_file_that_exists() {
    let output = run(program()
        .arg("check")
        .arg("--config")
        .arg("/nowhere/at-all.json"));
    assert_eq!(output.status.code(), Some(2));
    let output = run(program().arg("check"));
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn a_role_without_settings_exits_2_and_says_what_to_do() {
    let output = run(program().arg("store"));
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!("no_variable", text(&output.stderr));
    let path = written("empty.toml", "");
    let output = run(program().arg("store").env("ALDERHOLLOW_BOOT", &path));
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output.stderr).lines().count() > 3,
        "all findings at once: {}",
        text(&output.stderr)
    );
}

/// Where a store tells its metrics.
const METRICS_PORT: u16 = 9464;

/// A loopback address of a test of this process: its ports are nobody else's, so that none has to be tried out.
fn own_address(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, number, high, low.max(1))
}

/// Settings of a store on loopback that finds no core; gives their file.
fn loopback_store(name: &str, address: Ipv4Addr) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("the folder for tests can be written");
    let settings = std::fs::read_to_string(fixture("store.toml")).expect("the fixture is there");
    let settings = settings
        .replace("10.9.2.15", &address.to_string())
        .replace("10.9.0.12:8146", "127.0.0.1:1")
        .replace("/data/store", &folder.display().to_string());
    written(&format!("{name}.toml"), &settings)
}

#[test]
fn a_store_takes_a_hangup_for_new_settings_and_lives_on() {
    let path = loopback_store("hangup-store", own_address(1));
    let mut command = program();
    command
        .arg("store")
        .env("ALDERHOLLOW_BOOT", &path)
        .stderr(Stdio::piped());
    let mut store = command.spawn().expect("the program starts");
    let mut lines = BufReader::new(store.stderr.take().expect("its log")).lines();
    let mut wait_for = |part: &str| {
        let found = lines
            .by_ref()
            .map_while(Result::ok)
            .any(|line| line.contains(part));
        assert!(found, "the process ended before it said: {part}");
    };
    let signal = |name: &str| {
        let status = Command::new("kill")
            .arg(name)
            .arg(store.id().to_string())
            .status()
            .expect("kill runs");
        assert!(status.success());
    };
    wait_for("alderhollow 0.1.0: ");
    wait_for("in zone south with disk");
    signal("-HUP");
    wait_for("the settings are read again");
    signal("-HUP");
    wait_for("the settings are read again");
    signal("-TERM");
    wait_for("told to end");
    assert!(store.wait().expect("it ends").success());
}

#[test]
fn a_store_tells_its_metrics_where_the_option_says() {
    let address = own_address(2);
    let path = loopback_store("metrics-store", address);
    let mut command = program();
    command
        .arg("store")
        .arg("--metrics")
        .arg(format!("{METRICS_PORT}/metrics"));
    let mut store = command
        .env("ALDERHOLLOW_BOOT", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut lines = BufReader::new(store.stderr.take().expect("its log")).lines();
    let started = lines
        .by_ref()
        .map_while(Result::ok)
        .any(|line| line.contains("in zone south with disk"));
    assert!(started, "the process ended at its start");
    let mut stream = TcpStream::connect((address, METRICS_PORT)).expect("it listens");
    stream
        .write_all(b"GET /metrics HTTP/1.1\r\nhost: store\r\nconnection: close\r\n\r\n")
        .expect("a request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(
        answer.contains("\nalderhollow_store_groups_led 0\n"),
        "{answer}"
    );
    store.kill().expect("it runs");
    store.wait().expect("it ends");
}

#[test]
fn a_store_whose_metrics_port_is_taken_says_so_and_runs() {
    let address = own_address(3);
    let path = loopback_store("taken-port-store", address);
    let taken = TcpListener::bind((address, 0)).expect("a port");
    let port = taken.local_addr().expect("an address").port();
    let mut command = program();
    command
        .arg("store")
        .arg("--metrics")
        .arg(format!("{port}/metrics"));
    let mut store = command
        .env("ALDERHOLLOW_BOOT", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut lines = BufReader::new(store.stderr.take().expect("its log")).lines();
    let mut wait_for = |part: &str| {
        let found = lines
            .by_ref()
            .map_while(Result::ok)
            .any(|line| line.contains(part));
        assert!(found, "the process ended before it said: {part}");
    };
    wait_for("the metrics can't be told");
    wait_for("in zone south with disk");
    store.kill().expect("it runs");
    store.wait().expect("it ends");
}

#[test]
fn a_metrics_place_that_is_wrong_exits_2() {
    let output = run(program().arg("door").arg("--metrics").arg("9464"));
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output.stderr).contains("write PORT/PATH"),
        "{}",
        text(&output.stderr)
    );
}
