//! Settings files.

use alderhollow_standins::settings::{settings_file, Machine, MachineClass, Ports, Site};
use std::collections::BTreeMap;

fn site() -> Site {
    Site {
        ports: Ports {
            front: 8144,
            ready: 8140,
            control: 8146,
            internal: [7660, 7675],
        },
        zones: BTreeMap::from([("east".to_string(), "coast".to_string())]),
        seeds: vec!["127.0.0.11:8146".parse().unwrap()],
        platform: "127.0.0.4:8142".parse().unwrap(),
        first_start: true,
    }
}

fn machine(class: MachineClass) -> Machine {
    Machine {
        node: "edge-east-1".into(),
        class,
        ip: "127.0.0.11".parse().unwrap(),
        zone: "east".into(),
        data_dir: Some("/data/door".into()),
    }
}

#[test]
fn a_gateway_listens_at_its_own_address() {
    let file: toml::Table = settings_file(&site(), &machine(MachineClass::Edge))
        .unwrap()
        .parse()
        .unwrap();
    assert_eq!(file["listen"]["front"].as_str(), Some("127.0.0.11:8144"));
    assert_eq!(file["listen"]["control"].as_str(), Some("127.0.0.11:8146"));
    assert_eq!(file["region"].as_str(), Some("coast"));
    assert_eq!(file["data-dir"].as_str(), Some("/data/door"));
    assert_eq!(file["bounds"]["pass_ms"].as_integer(), Some(120));
    assert_eq!(file["bounds"]["config-apply-ms"].as_integer(), Some(2000));
    assert_eq!(file["cloud"]["address"].as_str(), Some("127.0.0.4:8142"));
    assert_eq!(file["first-start"].as_bool(), Some(true));
}

#[test]
fn a_store_listens_to_nobody_outside() {
    let file: toml::Table = settings_file(&site(), &machine(MachineClass::Storage))
        .unwrap()
        .parse()
        .unwrap();
    assert_eq!(file["machine-class"].as_str(), Some("storage"));
    assert!(file["listen"].as_table().unwrap().is_empty());
}
