//! Tables and plots of runs.

use crate::policy::Policy;
use crate::simulation::RunResult;
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

/// Size of a plot, in points.
const PLOT_SIZE: (u32, u32) = (900, 540);
/// Room for labels.
const MARGIN: u32 = 46;

/// A plot that can't be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the plot can't be drawn: {0}")]
pub struct PlotError(String);

/// The table of one run.
pub fn table(policy: Policy, seed: u64, result: &RunResult) -> String {
    let mut text = String::new();
    for class in &result.classes {
        let late = 100.0 * class.late() as f64 / class.asked.max(1) as f64;
        let _ = writeln!(
            text,
            "{:9} seed {seed:3}  {:8} asked {:6}  late {late:6.2}% (first {:5}, pause {:5}, no end {:4}; hopeless {:4})  worth {:.3}",
            policy.name(),
            class.name,
            class.asked,
            class.late_first,
            class.late_pause,
            class.unfinished,
            class.hopeless,
            class.worth
        );
    }
    let _ = writeln!(
        text,
        "{:9} seed {seed:3}  {} prompt tokens read",
        policy.name(),
        result.tokens_read
    );
    text
}

/// A line of a plot: what it shows, and its points (load, late requests in 100).
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// What it shows.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// Draws late requests against the load.
///
/// # Errors
/// The file cannot be written.
pub fn plot(path: &Path, title: &str, lines: &[Line]) -> Result<(), PlotError> {
    draw(path, title, lines).map_err(|error| PlotError(error.to_string()))
}

fn draw(path: &Path, title: &str, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let most_load = points().map(|point| point.0).fold(0.1, f64::max);
    let most_late = points().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(MARGIN)
        .y_label_area_size(MARGIN)
        .build_cartesian_2d(0.0..most_load, 0.0..most_late * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("load")
        .y_desc("late in 100")
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
