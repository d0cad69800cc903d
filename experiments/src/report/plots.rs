//! The plots of the report, each an SVG image. The drawing backend writes to memory, which does not fail, so its results are dropped.

use std::ops::Range;

use ivyhatch_lab::SERIES_BUCKETS;
use plotters::prelude::{
    BLACK, ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, PathElement, SVGBackend, WHITE,
};

use super::format::colour;
use crate::bootstrap::Interval;
use crate::latencies::run_latencies;
use crate::measure::Measure;
use crate::plan::Plan;
use crate::results::Results;
use crate::summary::{Cell, reports};

/// The width of each plot, and the height of line plots, in pixels.
const WIDTH: u32 = 560;
const HEIGHT: u32 = 300;
/// The font of captions.
const CAPTION_FONT: (&str, i32) = ("sans-serif", 15);
/// Ten times the number of nines of the last quantile that is plotted: 40 stands for 0.9999.
const MAX_TENTHS_OF_NINES: f64 = 40.0;

/// The line of one variant.
struct Line {
    variant: usize,
    points: Vec<(f64, f64)>,
}

/// The title and the axes of a plot.
struct Axes<'a> {
    title: &'a str,
    x: &'a str,
    y: &'a str,
    y_range: Range<f64>,
    /// Formats the label of a position on the x axis.
    x_label: &'a dyn Fn(f64) -> String,
}

/// A row of the plot of differences: one variant's difference from the baseline.
struct DifferenceRow {
    variant: usize,
    interval: Interval,
    difference: f64,
}

/// Draws a line plot. The result is empty if the points have fewer than two distinct values of x.
fn plot_lines(axes: Axes, lines: &[Line]) -> String {
    let mut svg = String::new();
    let xs = || lines.iter().flat_map(|line| &line.points).map(|point| point.0);
    let min = xs().fold(f64::INFINITY, f64::min);
    let max = xs().fold(f64::NEG_INFINITY, f64::max);
    if min >= max || max == f64::NEG_INFINITY {
        return svg;
    }
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        let _ = area.fill(&WHITE);
        let chart = ChartBuilder::on(&area)
            .caption(axes.title, CAPTION_FONT)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(min..max, axes.y_range);
        if let Ok(mut chart) = chart {
            let _ = chart
                .configure_mesh()
                .x_desc(axes.x)
                .y_desc(axes.y)
                .light_line_style(WHITE)
                .x_label_formatter(&|x| (axes.x_label)(*x))
                .draw();
            for Line { variant, points } in lines {
                let style = colour(*variant).stroke_width(2);
                let _ = chart.draw_series(LineSeries::new(points.iter().copied(), style));
            }
        }
        let _ = area.present();
    }
    svg
}

/// The share served over time, summed over all seeds of a variant, by the time of a request's first attempt.
pub(super) fn served_over_time(plan: &Plan, results: &Results, world: usize) -> String {
    let mut lines = Vec::new();
    for variant in 0..plan.experiment.variants.len() {
        let runs = reports(plan, results, world, variant);
        let point = |bucket: usize| {
            let buckets = runs.iter().filter_map(|run| run.report.series.get(bucket));
            let (requested, served) =
                buckets.fold((0.0, 0.0), |sum, bucket| (sum.0 + bucket.0, sum.1 + bucket.1));
            let at_s = (bucket as f64 + 0.5) / SERIES_BUCKETS as f64 * plan.worlds[world].seconds;
            (requested > 0.0).then_some((at_s, served / requested))
        };
        lines.push(Line { variant, points: (0..SERIES_BUCKETS).filter_map(point).collect() });
    }
    let axes = Axes {
        title: "Served in time",
        x: "seconds",
        y: "share of worth",
        y_range: 0.0..1.02,
        x_label: &|seconds| format!("{seconds:.0}"),
    };
    plot_lines(axes, &lines)
}

/// Latencies by quantile, on an axis with the same width for each additional nine.
pub(super) fn latency_quantiles(plan: &Plan, results: &Results, world: usize) -> String {
    let mut lines = Vec::new();
    let mut max_ms: f64 = 1.0;
    for variant in 0..plan.experiment.variants.len() {
        let runs = reports(plan, results, world, variant);
        let Some(latencies) = run_latencies(runs.into_iter().map(|run| run.report)) else { continue };
        let point = |tenths: i32| {
            let nines = f64::from(tenths) / 10.0;
            (nines, latencies.value_at_quantile(quantile(nines)) as f64 / 1000.0)
        };
        // Fewer than one request is beyond this quantile.
        let last = ((latencies.len() as f64).log10() * 10.0).min(MAX_TENTHS_OF_NINES) as i32;
        let points: Vec<(f64, f64)> = (0..=last).map(point).collect();
        max_ms = points.iter().map(|point| point.1).fold(max_ms, f64::max);
        lines.push(Line { variant, points });
    }
    let axes = Axes {
        title: "Answer time",
        x: "quantile",
        y: "ms",
        y_range: 0.0..max_ms * 1.05,
        x_label: &|nines| format!("{} %", (quantile(nines) * 1e5).round() / 1e3),
    };
    plot_lines(axes, &lines)
}

/// The quantile with `nines` nines: 0.9 for one, 0.99 for two.
fn quantile(nines: f64) -> f64 {
    1.0 - 10f64.powf(-nines)
}

/// Draws the differences of a measure from the baseline with their confidence intervals, one row per variant. The result is empty if
/// there are no differences, or all of them are 0.
pub(super) fn differences(plan: &Plan, cells: &[&Cell], measure: Measure) -> String {
    let rows = difference_rows(plan, cells, measure);
    let max_abs_bound =
        rows.iter().map(|row| row.interval.low.abs().max(row.interval.high.abs())).fold(0.0, f64::max);
    if max_abs_bound == 0.0 {
        return String::new();
    }
    let mut svg = String::new();
    {
        let height = 90 + 22 * rows.len() as u32;
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        let _ = area.fill(&WHITE);
        let baseline = &plan.experiment.variants[plan.baseline].name;
        let caption = format!("{}: difference to {baseline}, 95 % interval", measure.name());
        let chart = ChartBuilder::on(&area)
            .caption(caption, CAPTION_FONT)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(52)
            .build_cartesian_2d(-max_abs_bound * 1.1..max_abs_bound * 1.1, 0.0..rows.len() as f64);
        if let Ok(mut chart) = chart {
            let _ = chart.configure_mesh().disable_y_axis().disable_y_mesh().light_line_style(WHITE).draw();
            let zero = vec![(0.0, 0.0), (0.0, rows.len() as f64)];
            let _ = chart.draw_series([PathElement::new(zero, BLACK.mix(0.5))]);
            for (position, row) in rows.iter().enumerate() {
                let y = rows.len() as f64 - position as f64 - 0.5;
                let line = vec![(row.interval.low, y), (row.interval.high, y)];
                let colour = colour(row.variant);
                let _ = chart.draw_series([PathElement::new(line, colour.stroke_width(3))]);
                let _ = chart.draw_series([Circle::new((row.difference, y), 4, colour.filled())]);
            }
        }
        let _ = area.present();
    }
    svg
}

fn difference_rows(plan: &Plan, cells: &[&Cell], measure: Measure) -> Vec<DifferenceRow> {
    let row = |(variant, name): (usize, &String)| {
        let cell = cells.iter().find(|cell| cell.variant == *name && cell.measure == measure.name())?;
        let (interval, difference) = (cell.difference_interval?, cell.difference?);
        Some(DifferenceRow { variant, interval, difference })
    };
    let names = plan.experiment.variants.iter().map(|variant| &variant.name);
    names.enumerate().filter_map(row).collect()
}
