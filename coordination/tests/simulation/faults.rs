//! Troubles by chance, and their end.

use crate::cluster::{AfterAcknowledgement, LinkFaults, World};
use alderhollow_coordination::replica::interface::{Input, Millis};

/// A kind of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Kill,
    KillAll,
    Freeze,
    CutOneWay,
    CutOff,
    Split,
    Mend,
    DiskStall,
    DiskSlow,
    DiskFull,
    Storm,
    Leave,
    Flicker,
    PowerLossAfterAcknowledgement,
    WipeAfterAcknowledgement,
    Wipe,
    Replace,
    ReplacePlanned,
    Add,
    WipeTwo,
    LeaveCutOff,
    LongCut,
    Rush,
}

const TROUBLES: [Trouble; 23] = [
    Trouble::Kill,
    Trouble::KillAll,
    Trouble::Freeze,
    Trouble::CutOneWay,
    Trouble::CutOff,
    Trouble::Split,
    Trouble::Mend,
    Trouble::DiskStall,
    Trouble::DiskSlow,
    Trouble::DiskFull,
    Trouble::Storm,
    Trouble::Leave,
    Trouble::Flicker,
    Trouble::PowerLossAfterAcknowledgement,
    Trouble::WipeAfterAcknowledgement,
    Trouble::Wipe,
    Trouble::Replace,
    Trouble::ReplacePlanned,
    Trouble::Add,
    Trouble::WipeTwo,
    Trouble::LeaveCutOff,
    Trouble::LongCut,
    Trouble::Rush,
];
/// Pause between requests in a rush.
const RUSH_REQUEST_MS: Millis = 4;
/// Machines are added up to this number.
const MOST_MACHINES: usize = 9;

/// Troubles, one after the other, some of them together.
pub(crate) fn trouble_for(world: &mut World, span: Millis) {
    let end = world.now + span;
    while world.now < end {
        let trouble = TROUBLES[world.random(TROUBLES.len() as u64) as usize];
        strike(world, trouble);
        let pause = match world.random(4) {
            0 => 0,
            1 => world.random(30),
            2 => world.random(300),
            _ => world.random(1_500),
        };
        world.run_for(pause);
    }
}

/// All machines run, all links and disks are well.
pub(crate) fn end_troubles(world: &mut World) {
    world.trace(|| String::from("end of troubles"));
    world.link_faults = LinkFaults::default();
    world.cuts.clear();
    world.after_acknowledgement = None;
    let now = world.now;
    for number in 0..world.machines.len() {
        let machine = &mut world.machines[number];
        machine.disk.stalled_until = machine.disk.stalled_until.min(now);
        machine.disk.slow_until = now;
        machine.disk.full_until = now;
        machine.frozen_until = machine.frozen_until.min(now + 1);
        if machine
            .process
            .as_ref()
            .is_some_and(|process| process.leaving)
        {
            world.kill_for(number, 1);
        } else if machine.process.is_none() && !machine.gone {
            world.start_at(number, now + 1);
        }
    }
}

fn strike(world: &mut World, trouble: Trouble) {
    world.trace(|| format!("trouble: {trouble:?}"));
    let machine = any_machine(world);
    let span = 20 + world.random(1_500);
    match trouble {
        Trouble::Kill => kill(world, machine, span),
        Trouble::KillAll => kill_all(world),
        Trouble::Freeze => world.freeze(machine, span),
        Trouble::CutOneWay => cut_one_way(world, machine),
        Trouble::CutOff => cut_off(world, machine),
        Trouble::Split => split(world),
        Trouble::Mend => mend(world),
        Trouble::DiskStall => world.machines[machine].disk.stalled_until = world.now + span,
        Trouble::DiskSlow => world.machines[machine].disk.slow_until = world.now + span,
        Trouble::DiskFull => world.machines[machine].disk.full_until = world.now + span,
        Trouble::Storm => storm(world),
        Trouble::Flicker => flicker(world),
        Trouble::Leave => leave(world, machine, span),
        Trouble::PowerLossAfterAcknowledgement => {
            world.after_acknowledgement = Some(AfterAcknowledgement::PowerLoss);
        }
        Trouble::WipeAfterAcknowledgement => {
            let count = 1 + world.random(world.tolerate.max(1) as u64) as usize;
            world.after_acknowledgement = Some(AfterAcknowledgement::Wipe { count });
        }
        Trouble::Wipe => wipe(world, machine, span),
        Trouble::Replace => replace(world, machine),
        Trouble::ReplacePlanned => replace_planned(world, machine),
        Trouble::Add => add(world, span),
        Trouble::WipeTwo => wipe_two(world, machine, span),
        Trouble::LeaveCutOff => leave_cut_off(world, machine, span),
        Trouble::LongCut => long_cut(world, machine),
        Trouble::Rush => rush(world, span),
    }
}

fn any_machine(world: &mut World) -> usize {
    let present: Vec<usize> = world
        .machines
        .iter()
        .filter(|machine| !machine.gone)
        .map(|machine| machine.number)
        .collect();
    let chosen = world.random(present.len() as u64) as usize;
    // The primary is where it hurts most.
    match world.lease_holder() {
        Some(primary) if world.random(3) == 0 => primary,
        _ => present[chosen],
    }
}

fn kill(world: &mut World, machine: usize, span: Millis) {
    if world.machines[machine].process.is_some() {
        world.kill_for(machine, span);
    }
}

fn kill_all(world: &mut World) {
    for machine in 0..world.machines.len() {
        let span = 50 + world.random(900);
        kill(world, machine, span);
    }
}

fn cut_one_way(world: &mut World, machine: usize) {
    let outwards = world.random(2) == 0;
    for other in 0..world.machines.len() {
        if other != machine && world.random(4) > 0 {
            let (from, to) = if outwards {
                (machine, other)
            } else {
                (other, machine)
            };
            world.cut(from, to);
        }
    }
}

fn cut_off(world: &mut World, machine: usize) {
    for other in 0..world.machines.len() {
        if other != machine {
            world.cut(machine, other);
            world.cut(other, machine);
        }
    }
}

fn split(world: &mut World) {
    let sides: Vec<bool> = (0..world.machines.len())
        .map(|_| world.random(2) == 0)
        .collect();
    for (one, its_side) in sides.iter().enumerate() {
        for (other, other_side) in sides.iter().enumerate() {
            if its_side != other_side {
                world.cut(one, other);
            }
        }
    }
}

fn mend(world: &mut World) {
    world.cuts.clear();
    world.link_faults = LinkFaults::default();
}

fn storm(world: &mut World) {
    world.link_faults = LinkFaults {
        loss_percent: world.random(20),
        doubled_percent: world.random(20),
        late_percent: world.random(10),
    };
}

fn leave(world: &mut World, machine: usize, span: Millis) {
    if world.machines[machine].process.is_some()
        && world.machines[machine].frozen_until <= world.now
    {
        world.tell(machine, Input::Leave);
        world.run_for(span.min(700));
        kill(world, machine, span);
    }
}

/// Machines with slow disks die and are back at once, one after the other.
fn flicker(world: &mut World) {
    for _ in 0..6 {
        let machine = any_machine(world);
        world.machines[machine].disk.slow_until = world.now + 500;
        let (life, pause) = (world.random(60), 1 + world.random(20));
        world.run_for(life);
        kill(world, machine, pause);
    }
}

fn wipe(world: &mut World, machine: usize, span: Millis) {
    if world.disks_to_spare() > 0 {
        world.wipe_for(machine, span);
    }
}

/// Two disks are lost in the same moment, where that many are tolerated.
fn wipe_two(world: &mut World, machine: usize, span: Millis) {
    if world.disks_to_spare() < 2 {
        return;
    }
    let others = world.machines.len() as u64 - 1;
    let other = (machine + 1 + world.random(others) as usize) % world.machines.len();
    world.wipe_for(machine, span);
    if !world.machines[other].gone {
        world.wipe_for(other, span / 2 + 1);
    }
}

/// A machine is told to end while some links from or to it are cut: a hand-over is heard by some alone.
fn leave_cut_off(world: &mut World, machine: usize, span: Millis) {
    cut_one_way(world, machine);
    leave(world, machine, span);
}

/// A machine is cut off while hundreds of commands are committed, and comes back behind all of them.
fn long_cut(world: &mut World, machine: usize) {
    cut_off(world, machine);
    rush(world, 2_500);
    mend(world);
}

/// Clients send without pauses for a while.
fn rush(world: &mut World, span: Millis) {
    let usual = std::mem::replace(&mut world.request_every, RUSH_REQUEST_MS);
    world.run_for(span);
    world.request_every = usual;
}

fn replace(world: &mut World, machine: usize) {
    if world.disks_to_spare() > 0 && world.machines.len() < MOST_MACHINES {
        world.remove(machine);
        world.add(1_000);
    }
}

fn replace_planned(world: &mut World, machine: usize) {
    if world.disks_to_spare() == 0 || world.machines.len() >= MOST_MACHINES {
        return;
    }
    world.add(10);
    world.run_for(1_000);
    if world.disks_to_spare() > 0 && world.machines[machine].process.is_some() {
        world.tell(machine, Input::Leave);
        world.run_for(300);
        if world.disks_to_spare() > 0 {
            world.remove(machine);
        }
    }
}

fn add(world: &mut World, span: Millis) {
    if world.machines.len() < MOST_MACHINES {
        world.add(span);
    }
}
