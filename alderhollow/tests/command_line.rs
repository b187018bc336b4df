//! The program's command line: exit status and words of `check` and of a start with wrong settings.

use std::path::PathBuf;
use std::process::{Command, Output};

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_alderhollow"));
    command.env_remove("ALDERHOLLOW_BOOT");
    command
}

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
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
    let output = run(program().arg("check").arg("--settings").arg(fixture("door.toml")));
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let output = run(program().arg("check").arg("--config").arg(fixture("config.json")));
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
}

#[test]
fn check_names_each_finding_on_its_own_line_and_exits_2() {
    let path = written("wrong.json", r#"{"config-version":0,"routes":[{"name":"r"}],"services":3}"#);
    let output = run(program().arg("check").arg("--config").arg(&path));
    assert_eq!(output.status.code(), Some(2));
    let shown = text(&output.stdout).replace(&path.display().to_string(), "wrong.json");
    insta::assert_snapshot!(shown);
}

#[test]
fn check_needs_a_file_that_exists() {
    let output = run(program().arg("check").arg("--config").arg("/nowhere/at-all.json"));
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
    assert!(text(&output.stderr).lines().count() > 3, "all findings at once: {}", text(&output.stderr));
}
