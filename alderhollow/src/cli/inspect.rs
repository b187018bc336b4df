//! `inspect`: what a data folder holds. Nothing in it is changed.

use super::CommandError;
use crate::control_state::ControlState;
use crate::store::journal_records::restore_states;
use alderhollow_batch::job::Job;
use alderhollow_batch::state::State;
use alderhollow_coordination::replica::inspection::{read_member, MemberImage};
use alderhollow_coordination::replica::interface::{EpochRecord, Recovered as CoreRecovered};
use alderhollow_model::snapshot::GroupId;
use alderhollow_storage::{inspect, read, Inspection, LogReport, Recovered, SlotReport};
use std::collections::BTreeMap;
use std::path::Path;

/// Prints what the folder of a process that is not running holds.
pub(super) fn run(folder: &Path) -> Result<(), CommandError> {
    std::fs::read_dir(folder).map_err(|source| CommandError::NoFile {
        path: folder.to_path_buf(),
        source,
    })?;
    let inspection = inspect(folder)?;
    show_files(&inspection);
    if let Some(recovered) = read(folder)? {
        show_contents(&recovered);
    }
    for finding in &inspection.findings {
        println!("finding: {finding}");
    }
    Ok(())
}

fn show_files(inspection: &Inspection) {
    match inspection.identity {
        Some(identity) => println!("disk: {identity:016x}"),
        None => println!("disk: no identity"),
    }
    inspection.slots.iter().for_each(show_slot);
    inspection.logs.iter().for_each(show_log);
}

fn show_slot(slot: &SlotReport) {
    let generation = slot
        .generation
        .map_or("none".to_string(), |generation| generation.to_string());
    let state = match (slot.is_whole, slot.is_in_force) {
        (true, true) => "whole, in force",
        (true, false) => "whole, older",
        (false, _) => "not whole",
    };
    println!(
        "{}: generation {generation}, {} bytes, {state}",
        slot.file, slot.bytes
    );
}

fn show_log(log: &LogReport) {
    let bytes: usize = log.records.iter().sum();
    let state = if log.is_in_force {
        "in force"
    } else {
        "not in force"
    };
    println!(
        "{}: {} records, {bytes} bytes, {state}",
        log.file,
        log.records.len()
    );
}

/// Shows the contents as those of a core member, whose first entry is its identity, else as those of a store.
fn show_contents(recovered: &Recovered) {
    let core = CoreRecovered {
        snapshot: recovered.snapshot.clone(),
        records: recovered.records.clone(),
    };
    match read_member(&core, ControlState::default()) {
        Ok(member) if member.id.is_some() => show_member(&member),
        _ => match restore_states(recovered.snapshot.as_deref(), &recovered.records) {
            Ok(states) => show_groups(&states),
            Err(error) => println!("contents: neither of the core nor of a store ({error})"),
        },
    }
}

fn show_member(member: &MemberImage<ControlState>) {
    println!("contents: a member of the core");
    println!(
        "member: {:016x}{}",
        member.id.unwrap_or_default(),
        if member.founder { ", founder" } else { "" }
    );
    println!("promised: epoch {}", member.promised);
    match &member.record {
        Some(record) => show_record(record),
        None => println!("record: none"),
    }
    let pending = if member.has_pending_command {
        ", and one command not known as committed"
    } else {
        ""
    };
    println!("control state: version {}{pending}", member.version);
    let view = member.state.view();
    match &view.config {
        Some(config) => println!("configuration: version {}", config.config_version),
        None => println!("configuration: none"),
    }
    if !view.evacuated.is_empty() {
        println!(
            "evacuated: {}",
            view.evacuated.into_iter().collect::<Vec<_>>().join(", ")
        );
    }
    for (id, group) in member.state.view().numbered_groups() {
        let (members, learners) = (group.members.len(), group.learners.len());
        println!(
            "batch group {id}: epoch {}, primary {}, {members} members, {learners} learners",
            group.epoch, group.primary
        );
    }
}

fn show_record(record: &EpochRecord) {
    println!(
        "record: epoch {}, primary {:016x}, {} replicas, {} witnesses",
        record.number,
        record.primary,
        record.replicas.len(),
        record.witnesses.len()
    );
    for witness in &record.witnesses {
        let part = if record.replicas.contains(&witness.id) {
            "replica"
        } else {
            "witness"
        };
        println!(
            "{part}: {:016x} on {} in zone {}",
            witness.id, witness.node, witness.zone
        );
    }
}

fn show_groups(states: &BTreeMap<GroupId, State>) {
    println!("contents: a store's batch jobs");
    if states.is_empty() {
        println!("batch group: none");
    }
    for (group, state) in states {
        println!("batch group: {group}");
        show_jobs(state);
    }
}

fn show_jobs(state: &State) {
    let marks = &state.progress;
    println!("newest epoch followed: {}", marks.following.epoch);
    println!("newest epoch as primary: {}", marks.session.epoch);
    println!("newest epoch up to date: {}", marks.synced_epoch);
    println!("newest epoch known as active: {}", marks.active_epoch);
    let count =
        |is_counted: fn(&Job) -> bool| state.jobs.values().filter(|job| is_counted(job)).count();
    let ended = count(|job| job.ended);
    let complete = count(|job| !job.ended && job.is_complete());
    let open = count(|job| !job.ended && !job.is_complete());
    println!("batch jobs: {open} open, {complete} complete, {ended} ended by their clients");
    let items: usize = state
        .jobs
        .values()
        .map(|job| job.accepted.items.len())
        .sum();
    let results: usize = state.jobs.values().map(|job| job.results.len()).sum();
    println!("items: {items}, of which {results} have results");
}
