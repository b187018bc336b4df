//! Injection of random faults, and their end.

use crate::cluster::{AfterAcknowledgement, Cluster, LinkFaults};
use alderhollow_coordination::replica::interface::{Input, Millis};

/// A kind of fault or load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill,
    KillAll,
    Freeze,
    BlockOneDirection,
    Isolate,
    Partition,
    HealLinks,
    DiskStall,
    DiskSlow,
    DiskFull,
    UnreliableLinks,
    Leave,
    CrashLoop,
    PowerLossAfterAcknowledgement,
    WipeAfterAcknowledgement,
    Wipe,
    Replace,
    ReplacePlanned,
    Add,
    WipeTwo,
    LeaveWhilePartitioned,
    LongIsolation,
    RequestBurst,
}

const FAULTS: [Fault; 23] = [
    Fault::Kill,
    Fault::KillAll,
    Fault::Freeze,
    Fault::BlockOneDirection,
    Fault::Isolate,
    Fault::Partition,
    Fault::HealLinks,
    Fault::DiskStall,
    Fault::DiskSlow,
    Fault::DiskFull,
    Fault::UnreliableLinks,
    Fault::Leave,
    Fault::CrashLoop,
    Fault::PowerLossAfterAcknowledgement,
    Fault::WipeAfterAcknowledgement,
    Fault::Wipe,
    Fault::Replace,
    Fault::ReplacePlanned,
    Fault::Add,
    Fault::WipeTwo,
    Fault::LeaveWhilePartitioned,
    Fault::LongIsolation,
    Fault::RequestBurst,
];
/// Interval between requests in a burst.
const BURST_REQUEST_INTERVAL_MS: Millis = 4;
/// Maximum number of machines, added ones included.
const MAX_MACHINES: usize = 9;

/// Injects random faults for a time; some of them overlap.
pub(crate) fn inject_faults(cluster: &mut Cluster, span: Millis) {
    let end = cluster.now + span;
    while cluster.now < end {
        let fault = FAULTS[cluster.random(FAULTS.len() as u64) as usize];
        inject(cluster, fault);
        let pause = match cluster.random(4) {
            0 => 0,
            1 => cluster.random(30),
            2 => cluster.random(300),
            _ => cluster.random(1_500),
        };
        cluster.run_for(pause);
    }
}

/// Ends all faults: all machines run, all links and disks work.
pub(crate) fn end_faults(cluster: &mut Cluster) {
    cluster.trace(|| String::from("end of faults"));
    cluster.link_faults = LinkFaults::default();
    cluster.blocked_links.clear();
    cluster.after_acknowledgement = None;
    let now = cluster.now;
    for number in 0..cluster.machines.len() {
        let machine = &mut cluster.machines[number];
        machine.disk.stalled_until = machine.disk.stalled_until.min(now);
        machine.disk.slow_until = now;
        machine.disk.full_until = now;
        machine.frozen_until = machine.frozen_until.min(now + 1);
        if machine
            .process
            .as_ref()
            .is_some_and(|process| process.leaving)
        {
            cluster.kill_for(number, 1);
        } else if machine.process.is_none() && !machine.removed {
            cluster.start_at(number, now + 1);
        }
    }
}

fn inject(cluster: &mut Cluster, fault: Fault) {
    cluster.trace(|| format!("fault: {fault:?}"));
    let machine = any_machine(cluster);
    let span = 20 + cluster.random(1_500);
    match fault {
        Fault::Kill => kill(cluster, machine, span),
        Fault::KillAll => kill_all(cluster),
        Fault::Freeze => cluster.freeze(machine, span),
        Fault::BlockOneDirection => block_one_direction(cluster, machine),
        Fault::Isolate => isolate(cluster, machine),
        Fault::Partition => partition(cluster),
        Fault::HealLinks => heal_links(cluster),
        Fault::DiskStall => cluster.machines[machine].disk.stalled_until = cluster.now + span,
        Fault::DiskSlow => cluster.machines[machine].disk.slow_until = cluster.now + span,
        Fault::DiskFull => cluster.machines[machine].disk.full_until = cluster.now + span,
        Fault::UnreliableLinks => make_links_unreliable(cluster),
        Fault::CrashLoop => crash_loop(cluster),
        Fault::Leave => leave(cluster, machine, span),
        Fault::PowerLossAfterAcknowledgement => {
            cluster.after_acknowledgement = Some(AfterAcknowledgement::PowerLoss);
        }
        Fault::WipeAfterAcknowledgement => {
            let count = 1 + cluster.random(cluster.tolerate.max(1) as u64) as usize;
            cluster.after_acknowledgement = Some(AfterAcknowledgement::Wipe { count });
        }
        Fault::Wipe => wipe(cluster, machine, span),
        Fault::Replace => replace(cluster, machine),
        Fault::ReplacePlanned => replace_planned(cluster, machine),
        Fault::Add => add(cluster, span),
        Fault::WipeTwo => wipe_two(cluster, machine, span),
        Fault::LeaveWhilePartitioned => leave_while_partitioned(cluster, machine, span),
        Fault::LongIsolation => isolate_for_long(cluster, machine),
        Fault::RequestBurst => request_burst(cluster, span),
    }
}

fn any_machine(cluster: &mut Cluster) -> usize {
    let present: Vec<usize> = cluster
        .machines
        .iter()
        .filter(|machine| !machine.removed)
        .map(|machine| machine.number)
        .collect();
    let chosen = cluster.random(present.len() as u64) as usize;
    // Often choose the primary, whose faults affect most.
    match cluster.lease_holder() {
        Some(primary) if cluster.random(3) == 0 => primary,
        _ => present[chosen],
    }
}

fn kill(cluster: &mut Cluster, machine: usize, span: Millis) {
    if cluster.machines[machine].process.is_some() {
        cluster.kill_for(machine, span);
    }
}

fn kill_all(cluster: &mut Cluster) {
    for machine in 0..cluster.machines.len() {
        let span = 50 + cluster.random(900);
        kill(cluster, machine, span);
    }
}

fn block_one_direction(cluster: &mut Cluster, machine: usize) {
    let outwards = cluster.random(2) == 0;
    for other in 0..cluster.machines.len() {
        if other != machine && cluster.random(4) > 0 {
            let (from, to) = if outwards {
                (machine, other)
            } else {
                (other, machine)
            };
            cluster.block_link(from, to);
        }
    }
}

fn isolate(cluster: &mut Cluster, machine: usize) {
    for other in 0..cluster.machines.len() {
        if other != machine {
            cluster.block_link(machine, other);
            cluster.block_link(other, machine);
        }
    }
}

fn partition(cluster: &mut Cluster) {
    let sides: Vec<bool> = (0..cluster.machines.len())
        .map(|_| cluster.random(2) == 0)
        .collect();
    for (one, its_side) in sides.iter().enumerate() {
        for (other, other_side) in sides.iter().enumerate() {
            if its_side != other_side {
                cluster.block_link(one, other);
            }
        }
    }
}

fn heal_links(cluster: &mut Cluster) {
    cluster.blocked_links.clear();
    cluster.link_faults = LinkFaults::default();
}

fn make_links_unreliable(cluster: &mut Cluster) {
    cluster.link_faults = LinkFaults {
        loss_percent: cluster.random(20),
        duplicated_percent: cluster.random(20),
        delayed_percent: cluster.random(10),
    };
}

fn leave(cluster: &mut Cluster, machine: usize, span: Millis) {
    if cluster.machines[machine].process.is_some()
        && cluster.machines[machine].frozen_until <= cluster.now
    {
        cluster.handle_input(machine, Input::Leave);
        cluster.run_for(span.min(700));
        kill(cluster, machine, span);
    }
}

/// Machines with slow disks crash and restart at once, one after the other.
fn crash_loop(cluster: &mut Cluster) {
    for _ in 0..6 {
        let machine = any_machine(cluster);
        cluster.machines[machine].disk.slow_until = cluster.now + 500;
        let (run_ms, pause) = (cluster.random(60), 1 + cluster.random(20));
        cluster.run_for(run_ms);
        kill(cluster, machine, pause);
    }
}

fn wipe(cluster: &mut Cluster, machine: usize, span: Millis) {
    if cluster.disks_to_spare() > 0 {
        cluster.wipe_for(machine, span);
    }
}

/// Two disks are lost at the same time, if two are tolerated.
fn wipe_two(cluster: &mut Cluster, machine: usize, span: Millis) {
    if cluster.disks_to_spare() < 2 {
        return;
    }
    let others = cluster.machines.len() as u64 - 1;
    let other = (machine + 1 + cluster.random(others) as usize) % cluster.machines.len();
    cluster.wipe_for(machine, span);
    if !cluster.machines[other].removed {
        cluster.wipe_for(other, span / 2 + 1);
    }
}

/// A machine leaves while some links from or to it are blocked, so that only some members receive its hand-over.
fn leave_while_partitioned(cluster: &mut Cluster, machine: usize, span: Millis) {
    block_one_direction(cluster, machine);
    leave(cluster, machine, span);
}

/// A machine is isolated while hundreds of commands are committed, and returns far behind.
fn isolate_for_long(cluster: &mut Cluster, machine: usize) {
    isolate(cluster, machine);
    request_burst(cluster, 2_500);
    heal_links(cluster);
}

/// Clients send frequent requests for a time.
fn request_burst(cluster: &mut Cluster, span: Millis) {
    let usual = std::mem::replace(&mut cluster.request_interval_ms, BURST_REQUEST_INTERVAL_MS);
    cluster.run_for(span);
    cluster.request_interval_ms = usual;
}

fn replace(cluster: &mut Cluster, machine: usize) {
    if cluster.disks_to_spare() > 0 && cluster.machines.len() < MAX_MACHINES {
        cluster.remove(machine);
        cluster.add(1_000);
    }
}

fn replace_planned(cluster: &mut Cluster, machine: usize) {
    if cluster.disks_to_spare() == 0 || cluster.machines.len() >= MAX_MACHINES {
        return;
    }
    cluster.add(10);
    cluster.run_for(1_000);
    if cluster.disks_to_spare() > 0 && cluster.machines[machine].process.is_some() {
        cluster.handle_input(machine, Input::Leave);
        cluster.run_for(300);
        if cluster.disks_to_spare() > 0 {
            cluster.remove(machine);
        }
    }
}

fn add(cluster: &mut Cluster, span: Millis) {
    if cluster.machines.len() < MAX_MACHINES {
        cluster.add(span);
    }
}
