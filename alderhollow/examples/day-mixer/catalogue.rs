//! The troubles, planned work and final faults that days are drawn from.

/// A kind of trouble with the forms that it takes.
pub(crate) struct Trouble {
    /// Its name at the bench.
    pub kind: &'static str,
    /// The machines that it strikes; empty: the bench's choice.
    pub on: &'static [&'static str],
    /// Its variants.
    pub how: &'static [&'static str],
    /// Shortest and longest duration in seconds; `None`: it has none.
    pub duration_s: Option<(f32, f32)>,
    /// Fixed figures.
    pub figures: &'static [(&'static str, f64)],
    /// How many things it strikes at most; 0: not told.
    pub most: u32,
}

const NONE: &[&str] = &[""];
const CORE: &[&str] = &["core"];
const ANY: &[&str] = &[];

const fn trouble(
    kind: &'static str,
    on: &'static [&'static str],
    how: &'static [&'static str],
) -> Trouble {
    Trouble {
        kind,
        on,
        how,
        duration_s: None,
        figures: &[],
        most: 0,
    }
}

const fn lasting(trouble: Trouble, shortest_s: f32, longest_s: f32) -> Trouble {
    Trouble {
        duration_s: Some((shortest_s, longest_s)),
        ..trouble
    }
}

const fn with(trouble: Trouble, figures: &'static [(&'static str, f64)]) -> Trouble {
    Trouble { figures, ..trouble }
}

const fn up_to(trouble: Trouble, most: u32) -> Trouble {
    Trouble { most, ..trouble }
}

const KILLS: &[&str] = &[
    "",
    "leader",
    "power",
    "leader power meet",
    "reader",
    "turn race",
    "seed",
    "leader hard",
];
const CUTS: &[&str] = &[
    "",
    "all",
    "near",
    "oldest",
    "one_way",
    "seeds",
    "both",
    "leader",
    "leader one_way",
    "leader all meet",
    "leader reset",
    "refuse",
    "reader drain",
    "both leader",
    "seeds leader",
    "lure",
    "leader race",
    "turn near",
];
const ACK_KILLS: &[&str] = &["", "kill", "timed", "taken", "timed taken", "taken gone"];
const ACK_WIPES: &[&str] = &["", "timed", "oldest", "timed oldest", "taken"];
const STORES: &[&str] = &["core", "store"];

/// Troubles.
pub(crate) const TROUBLES: &[Trouble] = &[
    up_to(lasting(trouble("node_kill", STORES, KILLS), 0.5, 12.0), 2),
    up_to(lasting(trouble("node_freeze", STORES, KILLS), 0.4, 20.0), 2),
    up_to(
        lasting(
            with(trouble("node_slow", STORES, &["", "leader"]), &[("x", 5.0)]),
            3.0,
            12.0,
        ),
        2,
    ),
    lasting(
        trouble("herd_kill", CORE, &["", "power", "taken", "taken all"]),
        0.3,
        2.0,
    ),
    lasting(
        with(trouble("herd_kill", ANY, NONE), &[("share", 0.6)]),
        0.3,
        2.0,
    ),
    up_to(
        lasting(trouble("after_ack_kill", ANY, ACK_KILLS), 0.5, 6.0),
        2,
    ),
    up_to(trouble("after_ack_wipe", ANY, ACK_WIPES), 2),
    up_to(lasting(trouble("core_cut", ANY, CUTS), 1.0, 22.0), 2),
    lasting(
        with(trouble("ack_lost", ANY, NONE), &[("x", 0.7)]),
        4.0,
        20.0,
    ),
    lasting(
        with(
            trouble("disk_slow", STORES, &["", "leader"]),
            &[("x", 30.0)],
        ),
        1.0,
        8.0,
    ),
    lasting(trouble("disk_full", STORES, &["", "leader"]), 1.0, 8.0),
    lasting(trouble("disk_stall", STORES, &["", "leader"]), 0.5, 4.0),
    lasting(
        with(
            trouble("clock_step", ANY, &["ahead", "back"]),
            &[("x", 60_000.0)],
        ),
        2.0,
        8.0,
    ),
    with(
        trouble("reset_conns", ANY, NONE),
        &[("share", 0.5), ("x", 1.0)],
    ),
    lasting(trouble("zone_loss", ANY, NONE), 1.0, 4.0),
    lasting(trouble("zone_cut", ANY, NONE), 1.0, 8.0),
    lasting(
        with(trouble("node_cut", ANY, &["", "all"]), &[("share", 0.3)]),
        1.0,
        20.0,
    ),
];

/// Planned work.
pub(crate) const PLANNED: &[Trouble] = &[
    trouble("seed_turnover", ANY, NONE),
    with(trouble("hup", ANY, NONE), &[("share", 1.0), ("gap_s", 2.0)]),
    up_to(
        with(trouble("bad_config", ANY, BAD_CONFIGS), &[("gap_s", 0.5)]),
        4,
    ),
    up_to(
        with(trouble("config_race", ANY, NONE), &[("gap_s", 0.7)]),
        4,
    ),
    lasting(trouble("retire", ANY, &["", "wipe"]), 8.0, 9.0),
    with(
        trouble(
            "replace_core",
            ANY,
            &["", "oldest", "planned", "planned oldest"],
        ),
        &[("x", 1.0)],
    ),
    with(
        trouble("replace_core", &["store"], &["", "oldest", "planned"]),
        &[("x", 1.0)],
    ),
    with(
        trouble("roll_term", CORE, &["", "busy"]),
        &[("share", 1.0), ("x", 1.0), ("gap_s", 1.5)],
    ),
    with(
        trouble("roll_term", ANY, &["", "busy", "remove"]),
        &[("share", 0.5), ("x", 2.0), ("gap_s", 1.0)],
    ),
    trouble("add_nodes", ANY, NONE),
    lasting(trouble("evacuate", ANY, &["", "warm"]), 3.0, 8.0),
    with(
        trouble("scale_in", ANY, &["", "spot"]),
        &[("share", 0.15), ("x", 2.0)],
    ),
];

const BAD_CONFIGS: &[&str] = &[
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "stale_match",
    "shared_key",
];

/// Changes of the configuration.
pub(crate) const CHANGES: &[&str] = &["route", "weights", "timeout", "tenant", "quota", "idle"];

/// Final faults.
pub(crate) const CLOSINGS: &[(&str, &[&str])] = &[
    (
        "power_off_all",
        &["", "timed", "taken", "all", "all taken", "all timed"],
    ),
    (
        "wipe_after_ack",
        &[
            "",
            "timed",
            "taken",
            "oldest",
            "all",
            "all timed",
            "all oldest",
        ],
    ),
    ("kill_all", &["", "timed", "taken"]),
];
