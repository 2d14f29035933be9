//! Plots of an experiment as SVG files.

use std::path::Path;

use plotters::prelude::*;

use super::ExperimentError;
use super::report::Comparison;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 540);

/// Colours of the policies, from the colour-blind safe palette of Okabe and Ito.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(0, 0, 0),
];

/// Line of a plot.
struct Line {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

/// Plot with its axes and lines.
struct Plot {
    file: &'static str,
    title: String,
    x_label: &'static str,
    y_label: &'static str,
    lines: Vec<Line>,
}

/// Writes the plots of `comparison` into `folder`.
///
/// # Errors
/// Fails when the folder can't be created or a file can't be written.
pub fn write(folder: &Path, comparison: &Comparison) -> Result<(), ExperimentError> {
    std::fs::create_dir_all(folder).map_err(ExperimentError::Folder)?;
    let profile = comparison.profile.as_str();
    let curve = |measure: &super::measure::Measure| {
        let points = measure.ttft_curve_ms.iter().enumerate();
        points.map(|(index, millis)| (index as f64 + 1.0, *millis)).collect()
    };
    let hits = |measure: &super::measure::Measure| {
        let points = measure.hit_rate_by_second.iter();
        points.map(|(second, rate)| (*second as f64, *rate)).collect()
    };
    let lines = |points: &dyn Fn(&super::measure::Measure) -> Vec<(f64, f64)>| {
        let policies = comparison.policies.iter();
        policies.map(|known| Line { name: known.policy, points: points(&known.measure) }).collect()
    };
    draw(
        folder,
        &Plot {
            file: "ttft.svg",
            title: format!("Time to first token, {profile}, seed {}", comparison.seed),
            x_label: "percentile of requests",
            y_label: "milliseconds",
            lines: lines(&curve),
        },
    )?;
    draw(
        folder,
        &Plot {
            file: "hit-rate.svg",
            title: format!("Prefix hit rate, {profile}, seed {}", comparison.seed),
            x_label: "second of arrival",
            y_label: "share of prompt tokens",
            lines: lines(&hits),
        },
    )
}

fn draw(folder: &Path, plot: &Plot) -> Result<(), ExperimentError> {
    let path = folder.join(plot.file);
    draw_file(&path, plot)
        .map_err(|error| ExperimentError::Plot { file: plot.file, reason: error.to_string() })
}

type DrawResult = Result<(), DrawingAreaErrorKind<std::io::Error>>;

fn draw_file(path: &Path, plot: &Plot) -> DrawResult {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let all = || plot.lines.iter().flat_map(|line| line.points.iter().copied());
    let max_x = all().map(|point| point.0).fold(1.0, f64::max);
    let max_y = all().map(|point| point.1).fold(1e-9, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(&area)
        .caption(&plot.title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart.configure_mesh().x_desc(plot.x_label).y_desc(plot.y_label).draw()?;
    for (line, colour) in plot.lines.iter().zip(COLOURS) {
        let style = ShapeStyle { color: colour.to_rgba(), filled: false, stroke_width: 2 };
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), style))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()
}
