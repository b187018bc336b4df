//! Draws a variant of a site: other numbers of disks, slow disks, thin links.

use super::day::pick;
use super::MixerError;
use oorandom::Rand32;
use toml::{Table, Value};

/// Core disks over the first three zones.
const CORE_DISKS: &[[i64; 3]] = &[[2, 2, 1], [2, 2, 2], [3, 3, 2]];
/// Stores over the first three zones.
const STORES: &[[i64; 3]] = &[[1, 1, 1], [2, 2, 1], [2, 2, 2]];
const SYNC_MS: &[f64] = &[0.5, 1.0, 5.0, 12.0];
const LINK_MBPS: &[f64] = &[30.0, 60.0, 100.0, 1000.0];
/// With at least so many core disks, two machines may be tolerated.
const DISKS_FOR_TWO: i64 = 6;

/// The site with other machines.
pub(crate) fn draw(site: &Table, random: &mut Rand32) -> Result<Table, MixerError> {
    let mut site = site.clone();
    let core_disks = *pick(CORE_DISKS, random);
    let stores = *pick(STORES, random);
    let sync_ms = *pick(SYNC_MS, random);
    let link_mbps = *pick(LINK_MBPS, random);
    let zones = zone_names(&site);
    let machines = site
        .get_mut("machines")
        .and_then(Value::as_array_mut)
        .ok_or(MixerError::NoMachines)?;
    for machine in machines.iter_mut().filter_map(Value::as_table_mut) {
        let zone = machine
            .get("zone")
            .and_then(Value::as_str)
            .map(str::to_string);
        let zone = zones.iter().position(|name| Some(name) == zone.as_ref());
        machine.insert("link_mbps".into(), Value::Float(link_mbps));
        let Some(disk) = machine.get_mut("disk").and_then(Value::as_table_mut) else {
            continue;
        };
        disk.insert("sync_ms".into(), Value::Float(sync_ms));
        let counts = if machine.get("class").and_then(Value::as_str) == Some("store") {
            stores
        } else {
            core_disks
        };
        if let Some(count) = zone.and_then(|zone| counts.get(zone)) {
            machine.insert("count".into(), Value::Integer(*count));
        }
    }
    let may_bear_two =
        core_disks.iter().sum::<i64>() >= DISKS_FOR_TWO && stores.iter().sum::<i64>() >= 5;
    let tolerated = if may_bear_two {
        i64::from(random.rand_range(1..3))
    } else {
        1
    };
    if let Some(tolerate) = site.get_mut("tolerate").and_then(Value::as_table_mut) {
        tolerate.insert("machines".into(), Value::Integer(tolerated));
    }
    Ok(site)
}

fn zone_names(site: &Table) -> Vec<String> {
    let zones = site
        .get("zones")
        .and_then(Value::as_array)
        .into_iter()
        .flatten();
    let names = zones.filter_map(|zone| zone.get("name").and_then(Value::as_str));
    names.map(str::to_string).collect()
}
