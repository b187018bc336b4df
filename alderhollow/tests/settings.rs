//! Settings files: what is read, and what is said of wrong ones.

use alderhollow::finding::Finding;
use alderhollow::settings::Settings;
use alderhollow_model::identity::Role;
use proptest::prelude::*;
use std::path::PathBuf;
use std::time::Duration;

const GATEWAY: &str = include_str!("fixtures/door.toml");
const STORE: &str = include_str!("fixtures/store.toml");

fn lines(findings: &[Finding]) -> String {
    findings
        .iter()
        .map(Finding::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

fn findings_of(text: &str, role: Role) -> String {
    lines(&Settings::parse(text, role).expect_err("the text is wrong"))
}

#[test]
fn a_gateways_settings_are_read() {
    let settings = Settings::parse(GATEWAY, Role::Gateway).expect("valid");
    assert_eq!(settings.node, "front-north-1");
    assert_eq!(settings.internal_ports, 7000..=7015);
    assert_eq!(settings.seeds.len(), 2);
    assert!(settings.first_start);
    assert_eq!(settings.data_dir, Some(PathBuf::from("/data/door")));
    assert_eq!(
        settings.listen.ready,
        Some("10.9.0.12:8140".parse().expect("address"))
    );
    assert_eq!(settings.tolerate.machines, 2);
    assert_eq!(settings.bounds.drain, Duration::from_millis(2500));
    assert_eq!(settings.bounds.catch_up, Duration::from_millis(5600));
    assert_eq!(settings.cloud.lag, Duration::from_millis(800));
    assert!(settings.serves("control_plane") && settings.has_contract("batch"));
    assert_eq!(
        settings.zones.keys().collect::<Vec<_>>(),
        ["north", "south"]
    );
}

#[test]
fn a_stores_settings_need_no_addresses_to_listen_on() {
    let settings = Settings::parse(STORE, Role::Store).expect("valid");
    assert_eq!(settings.listen, Default::default());
    assert_eq!(settings.log_level, Some(log::LevelFilter::Debug));
    assert!(settings.counts_for_quorum, "true where the key is missing");
    assert_eq!(
        settings.zones.get("south").map(String::as_str),
        Some("coast")
    );
    assert_eq!(
        settings,
        Settings::parse_for_any_role(STORE).expect("valid")
    );
}

#[test]
fn a_gateway_may_have_no_disk_but_a_store_must() {
    let diskless = GATEWAY.replace("data-dir = \"/data/door\"\n", "");
    assert_eq!(
        Settings::parse(&diskless, Role::Gateway)
            .expect("valid")
            .data_dir,
        None
    );
    let empty = GATEWAY.replace("/data/door", "");
    assert_eq!(
        Settings::parse(&empty, Role::Gateway)
            .expect("valid")
            .data_dir,
        None
    );
    let store = STORE.replace("data-dir = \"/data/store\"\n", "");
    insta::assert_snapshot!(findings_of(&store, Role::Store));
}

/// Settings of a process that serves operators alone.
fn core_settings() -> String {
    GATEWAY.replace(
        "serves = [\"edge\",\"control_plane\"]",
        "serves = [\"control_plane\"]",
    )
}

#[test]
fn a_process_that_serves_operators_alone_is_one_of_the_core() {
    let text = core_settings();
    let settings = Settings::parse(&text, Role::Core).expect("valid");
    assert_eq!(
        settings,
        Settings::parse_for_any_role(&text).expect("valid")
    );
    assert!(settings.serves("control_plane") && !settings.serves("edge"));
}

#[test]
fn a_process_of_the_core_needs_a_disk_and_operators() {
    let diskless = core_settings().replace("data-dir = \"/data/door\"\n", "");
    insta::assert_snapshot!("core_without_disk", findings_of(&diskless, Role::Core));
    let unreachable = core_settings().replace("serves = [\"control_plane\"]", "serves = []");
    insta::assert_snapshot!(
        "core_without_operators",
        findings_of(&unreachable, Role::Core)
    );
}

#[test]
fn an_empty_file_gives_all_missing_keys_at_once() {
    insta::assert_snapshot!(
        "empty_door",
        findings_of("serves = [\"edge\", \"control_plane\"]", Role::Gateway)
    );
    insta::assert_snapshot!("empty_store", findings_of("", Role::Store));
}

#[test]
fn senseless_values_are_named_with_their_lines() {
    let text = GATEWAY
        .replace("\"10.9.0.12\"\n", "\"10.9.0\"\n")
        .replace("[7000,7015]", "[7015,7000]")
        .replace("first-start = true", "first-start = \"yes\"")
        .replace(
            "seeds = [\"10.9.0.12:8146\",\"10.9.1.12:8146\"]",
            "seeds = []",
        )
        .replace("cpu-share = 0.45", "cpu-share = 0")
        .replace("machines = 2", "machines = -1")
        .replace("drain-ms = 2500", "drain-ms = nan")
        .replace("contact-ms = 3000", "contact-ms = 1e300")
        .replace("north = \"coast\"", "north = 3")
        .replace("lag-ms = 800", "lag-ms = []");
    insta::assert_snapshot!(findings_of(&text, Role::Gateway));
}

#[test]
fn a_table_that_is_none_is_a_finding() {
    insta::assert_snapshot!(findings_of(&format!("bounds = 3\n{STORE}"), Role::Store));
}

#[test]
fn a_text_that_is_not_toml_is_one_finding() {
    insta::assert_snapshot!(findings_of("node = \"a\"\nzone = ", Role::Store));
}

#[test]
fn a_file_cut_anywhere_never_panics() {
    for end in 0..GATEWAY.len() {
        if let Some(text) = GATEWAY.get(..end) {
            let _ = Settings::parse(text, Role::Gateway);
        }
    }
}

proptest! {
    #[test]
    fn any_text_gives_settings_or_findings(text in "\\PC{0,200}") {
        if let Err(findings) = Settings::parse(&text, Role::Gateway) {
            prop_assert!(!findings.is_empty());
        }
    }

    #[test]
    fn any_value_of_any_key_gives_settings_or_one_line_findings(
        line in 0_usize..60,
        value in prop::sample::select(vec![
            "", "-1", "0", "1e999", "nan", "inf", "-inf", "9223372036854775807", "true", "\"\"", "\"x\"", "[]", "{}",
            "[1,2]", "[\"\"]", "1979-05-27", "0xffffffff", "\"a\\nb\"",
        ]),
    ) {
        let mut lines: Vec<String> = GATEWAY.lines().map(str::to_string).collect();
        if let Some(changed) = lines.get_mut(line) {
            if let Some((key, _)) = changed.clone().split_once(" = ") {
                *changed = format!("{key} = {value}");
            }
        }
        let text = lines.join("\n");
        if let Err(findings) = Settings::parse(&text, Role::Gateway) {
            prop_assert!(!findings.is_empty());
            prop_assert!(findings.iter().all(|finding| !finding.to_string().contains('\n')));
        }
    }
}
