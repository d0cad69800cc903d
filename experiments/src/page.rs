//! The report: one HTML file that needs nothing else. The same results give the same page, byte for byte.

use std::fmt::Write;

use ivyhatch_lab::SERIES_BUCKETS;
use plotters::prelude::*;

use crate::results::Results;
use crate::spec::{Measure, Plan};
use crate::summary::{Cell, Interval, Summary, reports, times, together};

const COLOURS: [RGBColor; 8] = [
    RGBColor(0x1b, 0x4f, 0x9c),
    RGBColor(0xc4, 0x4e, 0x14),
    RGBColor(0x2d, 0x7d, 0x32),
    RGBColor(0x8e, 0x24, 0x8a),
    RGBColor(0x00, 0x83, 0x8f),
    RGBColor(0xb0, 0x89, 0x00),
    RGBColor(0x6d, 0x4c, 0x41),
    RGBColor(0x60, 0x60, 0x60),
];

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:76em;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}\
td:first-child,th:first-child{text-align:left}.better{color:#1b6e20}.worse{color:#b3261e}.plots{display:flex;flex-wrap:wrap}\
.plots svg{max-width:100%}small{color:#666}.key span{margin-right:1.2em;white-space:nowrap}";

fn colour(variant: usize) -> RGBColor {
    COLOURS[variant % COLOURS.len()]
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn figure(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}

fn spread(interval: Option<Interval>) -> String {
    interval.map_or(String::new(), |i| format!(" <small>[{}, {}]</small>", figure(i.low), figure(i.high)))
}

/// One line of a plot, with its variant's position.
type Lines = Vec<(usize, Vec<(f64, f64)>)>;

/// Draws lines on a plane of these axes. None where there is nothing to draw.
fn plot(
    title: &str,
    (x, y): (&str, &str),
    upright: (f64, f64),
    lines: &Lines,
    mark: &dyn Fn(f64) -> String,
) -> String {
    let mut svg = String::new();
    let points = || lines.iter().flat_map(|(_, points)| points);
    let least = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let most = points().map(|point| point.0).fold(f64::NEG_INFINITY, f64::max);
    if least >= most || most == f64::NEG_INFINITY {
        return svg;
    }
    {
        let area = SVGBackend::with_string(&mut svg, (560, 300)).into_drawing_area();
        // The backend writes into memory, which does not fail.
        let _ = area.fill(&WHITE);
        let chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(least..most, upright.0..upright.1);
        if let Ok(mut chart) = chart {
            let _ = chart
                .configure_mesh()
                .x_desc(x)
                .y_desc(y)
                .light_line_style(WHITE)
                .x_label_formatter(&|at| mark(*at))
                .draw();
            for (variant, points) in lines {
                let _ = chart
                    .draw_series(LineSeries::new(points.iter().copied(), colour(*variant).stroke_width(2)));
            }
        }
        let _ = area.present();
    }
    svg
}

/// The served share over time: all seeds of a variant together, by when a request was first asked.
fn course(plan: &Plan, results: &Results, world: usize) -> String {
    let mut lines = Lines::new();
    for variant in 0..plan.experiment.variants.len() {
        let plays = reports(plan, results, world, variant);
        let bucket = |number: usize| {
            let of = plays.iter().filter_map(|(_, report)| report.series.get(number));
            let (asked, served) = of.fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
            let at = (number as f64 + 0.5) / SERIES_BUCKETS as f64 * plan.worlds[world].seconds;
            (asked > 0.0).then_some((at, served / asked))
        };
        lines.push((variant, (0..SERIES_BUCKETS).filter_map(bucket).collect()));
    }
    plot("Served in time", ("seconds", "share of worth"), (0.0, 1.02), &lines, &|at| format!("{at:.0}"))
}

/// Answer times by quantile, on an axis on which each nine takes as much room.
fn quantiles(plan: &Plan, results: &Results, world: usize) -> String {
    let mut lines = Lines::new();
    let mut most: f64 = 1.0;
    for variant in 0..plan.experiment.variants.len() {
        let plays = reports(plan, results, world, variant);
        let Some(times) = times(plays.into_iter().map(|(_, report)| report)) else { continue };
        let point = |step: i32| {
            let nines = f64::from(step) / 10.0;
            (nines, times.value_at_quantile(1.0 - 10f64.powf(-nines)) as f64 / 1000.0)
        };
        // Beyond this quantile there is less than one answer.
        let last = ((times.len() as f64).log10() * 10.0).min(40.0) as i32;
        let points: Vec<(f64, f64)> = (0..=last).map(point).collect();
        most = points.iter().map(|point| point.1).fold(most, f64::max);
        lines.push((variant, points));
    }
    let mark = |nines: f64| format!("{}", ((1.0 - 10f64.powf(-nines)) * 1e5).round() / 1e3) + " %";
    plot("Answer time", ("quantile", "ms"), (0.0, most * 1.05), &lines, &mark)
}

/// Differences to the baseline with their intervals, one row a variant.
fn differences(plan: &Plan, cells: &[&Cell], measure: Measure) -> String {
    let rows: Vec<(usize, Interval, f64)> = plan
        .experiment
        .variants
        .iter()
        .enumerate()
        .filter_map(|(number, variant)| {
            let cell =
                cells.iter().find(|cell| cell.variant == variant.name && cell.measure == measure.name())?;
            Some((number, cell.difference_interval?, cell.difference?))
        })
        .collect();
    let reach = rows.iter().map(|(_, i, _)| i.low.abs().max(i.high.abs())).fold(0.0, f64::max);
    if reach == 0.0 {
        return String::new();
    }
    let mut svg = String::new();
    {
        let height = 90 + 22 * rows.len() as u32;
        let area = SVGBackend::with_string(&mut svg, (560, height)).into_drawing_area();
        let _ = area.fill(&WHITE);
        let baseline = &plan.experiment.variants[plan.baseline].name;
        let chart = ChartBuilder::on(&area)
            .caption(
                format!("{}: difference to {baseline}, 95 % interval", measure.name()),
                ("sans-serif", 15),
            )
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(52)
            .build_cartesian_2d(-reach * 1.1..reach * 1.1, 0.0..rows.len() as f64);
        if let Ok(mut chart) = chart {
            let _ = chart.configure_mesh().disable_y_axis().disable_y_mesh().light_line_style(WHITE).draw();
            let zero = vec![(0.0, 0.0), (0.0, rows.len() as f64)];
            let _ = chart.draw_series([PathElement::new(zero, BLACK.mix(0.5))]);
            for (row, (variant, interval, difference)) in rows.iter().enumerate() {
                let at = rows.len() as f64 - row as f64 - 0.5;
                let line = vec![(interval.low, at), (interval.high, at)];
                let _ = chart.draw_series([PathElement::new(line, colour(*variant).stroke_width(3))]);
                let _ = chart.draw_series([Circle::new((*difference, at), 4, colour(*variant).filled())]);
            }
        }
        let _ = area.present();
    }
    svg
}

fn table(plan: &Plan, cells: &[&Cell], page: &mut String) {
    let measures = &plan.experiment.measures;
    let _ = write!(page, "<table><tr><th>variant</th>");
    for measure in measures {
        let _ = write!(page, "<th>{}</th>", measure.name());
    }
    let _ = write!(page, "</tr>");
    for variant in &plan.experiment.variants {
        let _ = write!(page, "<tr><td>{}</td>", escaped(&variant.name));
        for measure in measures {
            let cell =
                cells.iter().find(|cell| cell.variant == variant.name && cell.measure == measure.name());
            let Some(cell) = cell.filter(|cell| cell.seeds > 0) else {
                let _ = write!(page, "<td>not played</td>");
                continue;
            };
            let class = cell.verdict.filter(|verdict| matches!(*verdict, "better" | "worse")).unwrap_or("");
            let _ = write!(page, "<td class=\"{class}\">{}{}</td>", figure(cell.mean), spread(cell.interval));
        }
        let _ = write!(page, "</tr>");
    }
    let _ = writeln!(page, "</table>");
}

/// Shares served in time and answer times, by class or by zone.
fn parts(plan: &Plan, results: &Results, world: usize, page: &mut String) {
    type Parts = fn(&ivyhatch_lab::Report) -> &Vec<ivyhatch_lab::ClassReport>;
    let kinds: [(&str, Parts); 2] = [("class", |report| &report.classes), ("zone", |report| &report.zones)];
    for (kind, of) in kinds {
        let all = (0..plan.experiment.variants.len())
            .map(|variant| (variant, reports(plan, results, world, variant)));
        let all: Vec<_> = all.collect();
        let Some((_, first)) = all.iter().flat_map(|(_, plays)| plays).next() else { return };
        // A world of a thousand zones has no table that anybody reads.
        let names: Vec<String> = of(first).iter().take(12).map(|part| part.name.clone()).collect();
        let _ = write!(page, "<table><tr><th>served in time, p99 ms, by {kind}</th>");
        for name in &names {
            let _ = write!(page, "<th>{}</th>", escaped(name));
        }
        let _ = write!(page, "</tr>");
        for (variant, plays) in &all {
            let _ = write!(page, "<tr><td>{}</td>", escaped(&plan.experiment.variants[*variant].name));
            for number in 0..names.len() {
                let parts: Vec<_> = plays.iter().filter_map(|(_, report)| of(report).get(number)).collect();
                let asked: u64 = parts.iter().map(|part| part.asked - part.left).sum();
                let in_time: u64 = parts.iter().map(|part| part.in_time).sum();
                let times = together(parts.iter().copied());
                let p99 = times.map_or(0.0, |times| times.value_at_quantile(0.99) as f64 / 1000.0);
                let _ = write!(page, "<td>{:.3}, {p99:.0}</td>", in_time as f64 / asked.max(1) as f64);
            }
            let _ = write!(page, "</tr>");
        }
        let _ = writeln!(page, "</table>");
    }
}

/// The report of an experiment, over those of its runs that have a result.
pub fn page(plan: &Plan, results: &Results, summary: &Summary) -> String {
    let mut page = String::new();
    let name = escaped(&summary.name);
    let _ = writeln!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title><style>{STYLE}</style>"
    );
    let _ = writeln!(
        page,
        "<h1>{name}</h1><p>{} of {} plays. Means over seeds; in brackets where the mean of all seeds lies with 95 % confidence (percentile bootstrap, from 5 seeds on). Green and red: better or worse than <b>{}</b>, seed by seed, by more than chance. ",
        summary.played,
        summary.planned,
        escaped(&summary.baseline)
    );
    let _ = writeln!(
        page,
        "Rules broken by the module or another build: <b>{}</b>.</p><p class=\"key\">",
        summary.module_rules_broken
    );
    for (number, variant) in plan.experiment.variants.iter().enumerate() {
        let RGBColor(r, g, b) = colour(number);
        let _ = write!(
            page,
            "<span><b style=\"color:rgb({r},{g},{b})\">&#9632;</b> {}</span>",
            escaped(&variant.name)
        );
    }
    let _ = writeln!(page, "</p>");
    for (number, world) in plan.worlds.iter().enumerate() {
        let cells: Vec<&Cell> = summary.cells.iter().filter(|cell| cell.world == world.name).collect();
        let _ = writeln!(page, "<h2>{}</h2>", escaped(&world.name));
        table(plan, &cells, &mut page);
        let _ = writeln!(
            page,
            "<div class=\"plots\">{}{}",
            course(plan, results, number),
            quantiles(plan, results, number)
        );
        let first = plan.experiment.measures.first().copied().unwrap_or(Measure::Served);
        let _ = writeln!(page, "{}</div>", differences(plan, &cells, first));
        parts(plan, results, number, &mut page);
    }
    let _ = writeln!(page, "</html>");
    page
}
