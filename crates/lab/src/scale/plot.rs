//! Plots resource usage per node against the number of nodes over several runs.

use std::io::{self, BufRead};
use std::path::Path;

use plotters::prelude::*;

use super::report::Report;

const SIZE: (u32, u32) = (900, 720);

/// Resource budgets for one node.
const CORE_PERCENT_BUDGET: f64 = 3.5;
const MEBIBYTES_BUDGET: f64 = 32.0;
const BYTES_BUDGET: f64 = 3_072.0;
const IN_FORCE_BUDGET_MS: f64 = 4_000.0;

/// Failure to draw the plot.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(super) enum PlotError {
    /// Standard input could not be read.
    #[error("can't read the reports: {0}")]
    Read(#[from] io::Error),
    /// A line is not a report.
    #[error("not a report: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The drawing library failed.
    #[error("can't draw: {0}")]
    Draw(String),
}

struct Panel {
    title: &'static str,
    budget: f64,
    value: fn(&Report) -> f64,
}

const PANELS: [Panel; 4] = [
    Panel {
        title: "share of a core for a node, percent (budget 3.5)",
        budget: CORE_PERCENT_BUDGET,
        value: |report| report.hollow_node.core_percent,
    },
    Panel {
        title: "resident MiB for a node (budget 32)",
        budget: MEBIBYTES_BUDGET,
        value: |report| report.hollow_node.resident_bytes as f64 / (1 << 20) as f64,
    },
    Panel {
        title: "control bytes a second for a node (budget 3 KB)",
        budget: BYTES_BUDGET,
        value: |report| report.hollow_node.control_bytes_per_second,
    },
    Panel {
        title: "accepted to in force, p99 ms (budget 4,000)",
        budget: IN_FORCE_BUDGET_MS,
        value: |report| report.in_force_quiet.p99_ms,
    },
];

/// Plots the reports from standard input into the SVG file `file`.
pub(super) fn draw(file: &Path) -> Result<(), PlotError> {
    let mut reports: Vec<Report> = Vec::new();
    for line in io::stdin().lock().lines() {
        reports.push(serde_json::from_str(&line?)?);
    }
    reports.sort_by_key(|report| report.nodes);
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(draw_error)?;
    for (part, panel) in area.split_evenly((2, 2)).iter().zip(&PANELS) {
        draw_panel(part, panel, &reports)?;
    }
    area.present().map_err(draw_error)
}

fn draw_error<E: std::fmt::Display>(error: E) -> PlotError {
    PlotError::Draw(error.to_string())
}

fn draw_panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    panel: &Panel,
    reports: &[Report],
) -> Result<(), PlotError> {
    let points: Vec<(f64, f64)> =
        reports.iter().map(|report| (report.nodes as f64, (panel.value)(report))).collect();
    let widest = points.iter().map(|point| point.0).fold(1.0, f64::max);
    let highest = points.iter().map(|point| point.1).fold(panel.budget, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(panel.title, ("sans-serif", 15))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..widest * 1.05, 0.0..highest * 1.1)
        .map_err(draw_error)?;
    chart.configure_mesh().x_desc("nodes").draw().map_err(draw_error)?;
    let budget = [(0.0, panel.budget), (widest * 1.05, panel.budget)];
    chart.draw_series(LineSeries::new(budget, &RED)).map_err(draw_error)?;
    chart.draw_series(LineSeries::new(points.clone(), &BLUE)).map_err(draw_error)?;
    let dots = points.into_iter().map(|point| Circle::new(point, 3, BLUE.filled()));
    chart.draw_series(dots).map_err(draw_error)?;
    Ok(())
}
