//! A process's status as text: one line a fact, the name of the fact first.

use super::message::{
    CoreRole, CoreStatus, RouteTokens, StatusReport, StoreGroupStatus, StoreStatus, TablesGroup,
    TablesStatus,
};
use crate::distribution::message::CoreView;
use std::fmt::{self, Display, Formatter};

/// Width of the column of names.
const NAME_WIDTH: usize = 16;

fn line(f: &mut Formatter<'_>, name: &str, value: impl Display) -> fmt::Result {
    writeln!(f, "{name:NAME_WIDTH$}{value}")
}

fn yes_or_no(value: bool) -> &'static str {
    if value {
        "yes"
    } else {
        "no"
    }
}

impl Display for StatusReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let role = self.node.role.name();
        line(
            f,
            "process",
            format_args!("{role} {} in zone {}", self.node.node, self.node.zone),
        )?;
        line(
            f,
            "life",
            format_args!("{:016x}, {} ms", self.node.incarnation.0, self.uptime_ms),
        )?;
        match self.node.disk {
            Some(disk) => line(f, "disk", disk)?,
            None => line(f, "disk", "none")?,
        }
        show_directions(f, &self.core_view)?;
        show_tables(f, &self.tables)?;
        if let Some(core) = &self.core {
            show_core(f, core)?;
        }
        if let Some(store) = &self.store {
            show_store(f, store)?;
        }
        Ok(())
    }
}

fn show_directions(f: &mut Formatter<'_>, core_view: &CoreView) -> fmt::Result {
    match &core_view.primary {
        Some(primary) => line(
            f,
            "core primary",
            format_args!("{} at {}", primary.disk, primary.internal.0),
        )?,
        None => line(f, "core primary", "not known")?,
    }
    for member in &core_view.members {
        line(
            f,
            "core member",
            format_args!("{} at {}", member.disk, member.internal.0),
        )?;
    }
    Ok(())
}

fn show_tables(f: &mut Formatter<'_>, tables: &TablesStatus) -> fmt::Result {
    match tables.validated_ms_ago {
        Some(ago_ms) => line(f, "validated", format_args!("{ago_ms} ms ago"))?,
        None => line(f, "validated", "never in this life")?,
    }
    line(
        f,
        "control state",
        format_args!("version {}", tables.control),
    )?;
    match tables.config {
        Some(version) => line(f, "configuration", format_args!("version {version}"))?,
        None => line(f, "configuration", "none")?,
    }
    if !tables.evacuated.is_empty() {
        line(f, "evacuated", tables.evacuated.join(", "))?;
    }
    let stamp = tables.backends_stamp;
    line(
        f,
        "backends",
        format_args!(
            "{} in list {} of epoch {}",
            tables.backends, stamp.sequence, stamp.epoch
        ),
    )?;
    line(f, "senders", tables.senders)?;
    for placer in &tables.placers {
        line(
            f,
            "placer",
            format_args!(
                "{} at {} for zone {}",
                placer.node, placer.internal, placer.zone
            ),
        )?;
    }
    if tables.groups.is_empty() {
        return line(f, "batch group", "none");
    }
    for TablesGroup {
        group,
        epoch,
        primary,
    } in &tables.groups
    {
        line(
            f,
            "batch group",
            format_args!("{group}: epoch {epoch}, primary {primary}"),
        )?;
    }
    Ok(())
}

fn show_core(f: &mut Formatter<'_>, core: &CoreStatus) -> fmt::Result {
    let role = match core.role {
        CoreRole::Outside => "not a member",
        CoreRole::Follower => "follower",
        CoreRole::Candidate => "candidate",
        CoreRole::Primary => "primary",
    };
    line(
        f,
        "core",
        format_args!("{role}, epoch {}, version {}", core.epoch, core.version),
    )?;
    match core.lease_ms {
        Some(lease_ms) => line(f, "lease", format_args!("{lease_ms} ms more")),
        None => line(f, "lease", "none"),
    }
}

fn show_store(f: &mut Formatter<'_>, store: &StoreStatus) -> fmt::Result {
    let counts = (store.groups.len(), store.led(), store.active());
    line(
        f,
        "store",
        format_args!(
            "{} batch groups, {} led, {} of these active",
            counts.0, counts.1, counts.2
        ),
    )?;
    store
        .groups
        .iter()
        .try_for_each(|group| show_store_group(f, group))?;
    line(f, "batch jobs", store.jobs())?;
    line(
        f,
        "items",
        format_args!(
            "{} waiting, {} running",
            store.waiting_items(),
            store.running_items()
        ),
    )?;
    store
        .waiting_tokens
        .iter()
        .try_for_each(|tokens| show_tokens(f, tokens))
}

fn show_store_group(f: &mut Formatter<'_>, status: &StoreGroupStatus) -> fmt::Result {
    let role = match (status.is_primary, status.is_active, status.is_synced) {
        (true, true, _) => "primary, active",
        (true, false, _) => "primary, brings its members up to date",
        (false, _, true) => "follower, up to date",
        (false, _, false) => "follower, not yet up to date",
    };
    let group = status.group;
    line(
        f,
        "store group",
        format_args!("{group}: {role}, epoch {}", status.epoch),
    )?;
    line(
        f,
        "may start items",
        format_args!("{group}: {}", yes_or_no(status.is_sure)),
    )?;
    line(f, "batch jobs", format_args!("{group}: {}", status.jobs))?;
    let (waiting, running) = (status.waiting_items, status.running_items);
    line(
        f,
        "items",
        format_args!("{group}: {waiting} waiting, {running} running"),
    )?;
    for disk in &status.silent_members {
        line(f, "silent member", format_args!("{group}: {disk}"))?;
    }
    Ok(())
}

fn show_tokens(f: &mut Formatter<'_>, tokens: &RouteTokens) -> fmt::Result {
    match tokens.limit {
        0 => line(
            f,
            "waiting tokens",
            format_args!("{}: {}, no limit", tokens.route, tokens.waiting),
        ),
        limit => line(
            f,
            "waiting tokens",
            format_args!("{}: {} of {limit}", tokens.route, tokens.waiting),
        ),
    }
}
