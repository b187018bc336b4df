//! What a run comes to, for people: as text, and as one HTML page with plots that needs nothing else.

use crate::check::{Summary, Verdict};
use crate::fleet::Facts;
use crate::record::{Ending, Entry, Event, Life, Owner};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

const SIZE: (u32, u32) = (1000, 260);
const COLOURS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(227, 119, 194),
    RGBColor(90, 90, 90),
];

/// The summary in plain lines.
pub fn text(summary: &Summary) -> String {
    let Summary {
        scenario,
        seed,
        verdict,
        findings,
        figures,
    } = summary;
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{scenario}, seed {seed}: {}", word(*verdict));
    for finding in findings {
        let _ = writeln!(
            text,
            "  {:<11}{} of {} broken, {} excused by a fault",
            finding.check, finding.broken, finding.cases, finding.excused
        );
        for example in &finding.examples {
            let _ = writeln!(text, "    {example}");
        }
    }
    if let Ok(serde_json::Value::Object(figures)) = serde_json::to_value(figures) {
        for (name, figure) in figures.into_iter().filter(|(name, _)| name != "bound") {
            let _ = match figure.as_f64().filter(|_| figure.is_f64()) {
                Some(number) => writeln!(text, "  {name:<30}{number:.3}"),
                None => writeln!(text, "  {name:<30}{figure}"),
            };
        }
    }
    for line in figures.bound.iter().flat_map(super::kinds::Bound::lines) {
        let _ = writeln!(text, "  {line}");
    }
    text
}

fn word(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Kept => "all checks are kept",
        Verdict::Broken => "a check is broken",
        Verdict::None => "no verdict: this machine could not keep up",
    }
}

/// A line of a plot: its name and its points by second.
type Line = (String, Vec<(f64, f64)>);

fn by_second(name: &str, points: &BTreeMap<u64, f64>, seconds: u64) -> Line {
    let at = |second: u64| {
        (
            second as f64 + 0.5,
            points.get(&second).copied().unwrap_or(0.0),
        )
    };
    (name.to_string(), (0..seconds).map(at).collect())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// The whole page.
#[expect(
    clippy::too_many_lines,
    reason = "not split by step yet: docs/ROADMAP.md, Readable code"
)]
pub fn html(facts: &Facts, entries: &[Entry], summary: &Summary) -> String {
    let start = entries
        .iter()
        .find(|entry| matches!(entry.event, Event::Sent { .. }))
        .map_or(0, |entry| entry.us);
    let second = |us: u64| us.saturating_sub(start) / 1_000_000;
    let seconds = facts.seconds.ceil() as u64;
    let mut ends: BTreeMap<Ending, BTreeMap<u64, f64>> = BTreeMap::new();
    let (mut doors, mut backends) = (BTreeMap::new(), BTreeMap::new());
    let (mut due, mut took) = (BTreeMap::new(), BTreeMap::<u64, Vec<u64>>::new());
    for entry in entries {
        let at = second(entry.us);
        match &entry.event {
            Event::Sent { id, due: at, .. } => drop(due.insert(id, *at)),
            Event::Ended { id, ending, .. } => {
                *ends.entry(*ending).or_default().entry(at).or_default() += 1.0;
                if *ending == Ending::Served {
                    let since = due.get(id).copied().unwrap_or(entry.us);
                    took.entry(second(since))
                        .or_default()
                        .push(entry.us.saturating_sub(since));
                }
            }
            Event::Arrived { backend, door, .. } => {
                *add(&mut doors, *door).entry(at).or_default() += 1.0;
                *add(&mut backends, *backend).entry(at).or_default() += 1.0;
            }
            _ => {}
        }
    }
    let outcome =
        |ending, points| by_second(&format!("{ending:?}").to_lowercase(), points, seconds);
    let outcomes: Vec<Line> = ends
        .iter()
        .map(|(ending, points)| outcome(*ending, points))
        .collect();
    let percentile = |part: f64| {
        let at = |times: &Vec<u64>| {
            let mut times = times.clone();
            times.sort_unstable();
            times[((times.len() - 1) as f64 * part) as usize] as f64 / 1000.0
        };
        took.iter()
            .map(|(second, times)| (*second as f64 + 0.5, at(times)))
            .collect()
    };
    let latencies = vec![
        ("median".to_string(), percentile(0.5)),
        ("99th percentile".to_string(), percentile(0.99)),
    ];
    let each = |letter: &str, loads: &BTreeMap<usize, BTreeMap<u64, f64>>| -> Vec<Line> {
        loads
            .iter()
            .map(|(number, points)| by_second(&format!("{letter}{number}"), points, seconds))
            .collect()
    };
    let bands = bands(entries, start, facts.seconds);
    let plots = [
        ("Requests a second by how they ended", outcomes),
        (
            "Time from when a request was due to its answer, ms",
            latencies,
        ),
        ("Sends a second by front door", each("d", &doors)),
        ("Sends a second by backend", each("b", &backends)),
    ];
    let mut page = String::new();
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}, seed {1}</title>\
         <style>body{{font:14px sans-serif;margin:2em;max-width:1040px}}pre{{background:#f4f4f4;padding:1em}}\
         svg{{max-width:100%;height:auto}}</style><h1>{0}, seed {1}</h1><p>{2}. Grey bands are faults: {3}.</p>",
        escape(&summary.scenario),
        summary.seed,
        word(summary.verdict),
        if bands.is_empty() {
            "none".to_string()
        } else {
            bands
                .iter()
                .map(|(from, to, text)| format!("{} ({from:.1} to {to:.1} s)", escape(text)))
                .collect::<Vec<_>>()
                .join("; ")
        },
    );
    for (title, lines) in &plots {
        let _ = write!(
            page,
            "<h2>{}</h2>{}",
            escape(title),
            plot(lines, &bands, facts.seconds)
        );
    }
    let _ = write!(
        page,
        "<h2>Front doors</h2>{}",
        strips(facts, entries, start)
    );
    if entries
        .iter()
        .any(|entry| matches!(entry.event, Event::View { .. }))
    {
        let _ = write!(
            page,
            "<h2>Views of the fleet</h2>{}",
            views(facts, entries, start)
        );
    }
    if entries
        .iter()
        .any(|entry| matches!(entry.event, Event::Owner { .. }))
    {
        let _ = write!(page, "<h2>The owner</h2>{}", owners(facts, entries, start));
    }
    let _ = write!(
        page,
        "<h2>Checks and figures</h2><pre>{}</pre></html>",
        escape(&text(summary))
    );
    page
}

fn add(loads: &mut BTreeMap<usize, BTreeMap<u64, f64>>, number: usize) -> &mut BTreeMap<u64, f64> {
    loads.entry(number).or_default()
}

/// When each fault began and ended, in seconds, and what it was.
fn bands(entries: &[Entry], start: u64, end: f64) -> Vec<(f64, f64, String)> {
    let mut bands: BTreeMap<usize, (f64, f64, String)> = BTreeMap::new();
    for entry in entries {
        let Event::Fault {
            number,
            text,
            begins,
        } = &entry.event
        else {
            continue;
        };
        let at = entry.us.saturating_sub(start) as f64 / 1e6;
        let band = bands.entry(*number).or_insert((at, end, text.clone()));
        if !begins {
            band.1 = at;
        }
    }
    bands.into_values().collect()
}

/// A plot as SVG. One that cannot be drawn says so in the page.
fn plot(lines: &[Line], bands: &[(f64, f64, String)], seconds: f64) -> String {
    let mut svg = String::new();
    let most = lines
        .iter()
        .flat_map(|(_, points)| points)
        .map(|point| point.1)
        .fold(1.0, f64::max)
        * 1.05;
    let mut drawn = || -> Result<(), Box<dyn std::error::Error + '_>> {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds, 0.0..most)?;
        for (from, to, _) in bands {
            let band = [(*from, 0.0), (to.max(from + 0.05), most)];
            chart.draw_series([Rectangle::new(
                band,
                RGBColor(200, 200, 200).mix(0.5).filled(),
            )])?;
        }
        chart.configure_mesh().disable_mesh().x_desc("s").draw()?;
        for (number, (name, points)) in lines.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            let series = chart.draw_series(LineSeries::new(points.iter().copied(), &colour))?;
            // More names than this hide the plot.
            if lines.len() <= COLOURS.len() {
                series
                    .label(name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
            }
        }
        if lines.len() <= COLOURS.len() {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .draw()?;
        }
        area.present()?;
        Ok(())
    };
    let problem = drawn().err().map(|error| error.to_string());
    problem.map_or(svg, |problem| {
        format!("<p>this plot cannot be drawn: {}</p>", escape(&problem))
    })
}

/// The width of a strip, and the height that it takes with the space below it.
const STRIP: (f64, f64) = (900.0, 14.0);

/// Where a moment stands on a strip.
fn strip_x(facts: &Facts, start: u64, us: u64) -> f64 {
    60.0 + us.saturating_sub(start) as f64 / 1e6 / facts.seconds * STRIP.0
}

/// The beginning of a picture with a strip for each front door.
fn strip_frame(facts: &Facts) -> String {
    let tall = facts.doors as f64 * STRIP.1 + 10.0;
    format!(
        "<svg viewBox=\"0 0 1000 {tall}\" xmlns=\"http://www.w3.org/2000/svg\" font-size=\"10\">"
    )
}

/// Names the front door at the beginning of its strip. Returns where that stands from above.
fn strip_begin(svg: &mut String, door: usize) -> f64 {
    let y = door as f64 * STRIP.1;
    let _ = write!(svg, "<text x=\"20\" y=\"{}\">d{door}</text>", y + 10.0);
    y
}

/// A strip for each front door with what its view held: one colour for each state of the whole.
fn views(facts: &Facts, entries: &[Entry], start: u64) -> String {
    let x = |us| strip_x(facts, start, us);
    let mut svg = strip_frame(facts);
    let wide = STRIP.0 * 0.26 / facts.seconds;
    for door in 0..facts.doors {
        let y = strip_begin(&mut svg, door);
        for entry in entries {
            let Event::View { door: of, view } = &entry.event else {
                continue;
            };
            if *of != door || entry.us < start {
                continue;
            }
            let colour = match (view.side.as_str(), view.suspect.is_empty()) {
                ("whole", true) => "#2ca02c",
                ("whole", false) => "#dbdb8d",
                ("majority", _) => "#1f77b4",
                ("minority", _) => "#ff7f0e",
                _ => "#d62728",
            };
            let dead = escape(&view.dead.join(" "));
            let _ = write!(
                svg,
                "<rect x=\"{:.1}\" y=\"{y}\" width=\"{wide:.2}\" height=\"11\" fill=\"{colour}\"><title>\
                 {:.2} s, gone: {dead}; doubted: {}</title></rect>",
                x(entry.us),
                entry.us.saturating_sub(start) as f64 / 1e6,
                escape(&view.suspect.join(" "))
            );
        }
    }
    svg + "</svg><p>Green: all live; yellow: all live and one is doubted; blue: more than half; orange: half or less; red: \
           alone; nothing: it did not answer. Each piece tells who is gone.</p>"
}

/// A strip for each front door with who it told that the owner is, in one piece for as long as it told the same.
fn owners(facts: &Facts, entries: &[Entry], start: u64) -> String {
    let mut svg = strip_frame(facts);
    for door in 0..facts.doors {
        let y = strip_begin(&mut svg, door);
        let mut piece: Option<(u64, u64, &Owner)> = None;
        let mut draw = |(from, to, told): (u64, u64, &Owner)| {
            let (x, end) = (strip_x(facts, start, from), strip_x(facts, start, to));
            let (colour, owner) = match (&told.owner, told.mine) {
                (_, true) => ("#d62728", "it is itself"),
                (Some(owner), false) => ("#9ecae1", owner.as_str()),
                (None, false) => ("#cccccc", "none that it knows"),
            };
            let _ = write!(
                svg,
                "<rect x=\"{x:.1}\" y=\"{y}\" width=\"{:.2}\" height=\"11\" fill=\"{colour}\"><title>{:.2} s, owner: \
                 {}, epoch {}</title></rect>",
                (end - x).max(0.5),
                from.saturating_sub(start) as f64 / 1e6,
                escape(owner),
                told.epoch
            );
        };
        for entry in entries {
            let Event::Owner {
                door: of,
                answered_us: at,
                answer,
                ..
            } = &entry.event
            else {
                continue;
            };
            if *of != door {
                continue;
            }
            let same = |told: &Owner| {
                (&told.owner, told.mine, told.epoch) == (&answer.owner, answer.mine, answer.epoch)
            };
            piece = match piece {
                // One that was silent for longer than this told nothing meanwhile.
                Some((from, to, told)) if same(told) && at.saturating_sub(to) < 500_000 => {
                    Some((from, *at, told))
                }
                before => {
                    before.into_iter().for_each(&mut draw);
                    Some((*at, *at, answer))
                }
            };
        }
        piece.into_iter().for_each(&mut draw);
    }
    svg + "</svg><p>Red: it told that it is the owner; blue: that it knows one; grey: that it knows none; nothing: it did not \
           answer. Each piece tells who and under which epoch.</p>"
}

/// A strip for each front door: green while the front deals to it, grey while its process is gone, orange while it
/// stands still.
fn strips(facts: &Facts, entries: &[Entry], start: u64) -> String {
    let x = |us| strip_x(facts, start, us);
    let end = start + (facts.seconds * 1e6) as u64;
    let mut svg = strip_frame(facts);
    for door in 0..facts.doors {
        let y = strip_begin(&mut svg, door);
        let (mut since, mut colour) = (start, "#cccccc");
        let mut change = |at: u64, next: &'static str| {
            let (from, to) = (x(since), x(at.min(end)));
            let wide = (to - from).max(0.0);
            let _ = write!(
                svg,
                "<rect x=\"{from:.1}\" y=\"{y}\" width=\"{wide:.1}\" height=\"11\" fill=\"{colour}\"/>"
            );
            (since, colour) = (at.max(start), next);
        };
        for entry in entries {
            match entry.event {
                Event::Front { door: of, taken } if of == door => {
                    change(entry.us, if taken { "#2ca02c" } else { "#a6d8a6" });
                }
                Event::Door { door: of, life } if of == door => match life {
                    Life::Stopped => change(entry.us, "#ff7f0e"),
                    Life::Killed | Life::Ended | Life::Crashed => change(entry.us, "#cccccc"),
                    Life::Terminated => change(entry.us, "#9ecae1"),
                    Life::Ready | Life::Continued => change(entry.us, "#2ca02c"),
                    Life::Started => change(entry.us, "#eeeeee"),
                },
                _ => {}
            }
        }
        change(end, "");
    }
    svg + "</svg><p>Green: clients are dealt to it; pale green: the front has taken it out; orange: it stands still; blue: \
           it was told to end; grey: its process is gone.</p>"
}
