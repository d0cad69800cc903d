//! The tables of the report. Writing to a string does not fail, so the results of `write!` are dropped.

use std::fmt::Write;

use ivyhatch_lab::{ClassReport, Report};

use super::format::{bounds, escaped, number};
use crate::latencies::class_latencies;
use crate::plan::Plan;
use crate::results::Results;
use crate::summary::{Cell, SeedReport, Verdict, reports};

/// Limit of the columns of the table of classes or zones: a table of a thousand zones would not be readable.
const MAX_COLUMNS: usize = 12;

/// Selects the classes or the zones of a report.
type Parts = fn(&Report) -> &Vec<ClassReport>;

/// Writes the table of a world's measures: one row per variant, one column per measure.
pub(super) fn measures(plan: &Plan, cells: &[&Cell], page: &mut String) {
    let measures = &plan.experiment.measures;
    let _ = write!(page, "<table><tr><th>variant</th>");
    for measure in measures {
        let _ = write!(page, "<th>{}</th>", measure.name());
    }
    let _ = write!(page, "</tr>");
    for variant in &plan.experiment.variants {
        let _ = write!(page, "<tr><td>{}</td>", escaped(&variant.name));
        for measure in measures {
            let is_cell = |cell: &&&Cell| cell.variant == variant.name && cell.measure == measure.name();
            measure_cell(cells.iter().copied().find(|cell| is_cell(&cell)), page);
        }
        let _ = write!(page, "</tr>");
    }
    let _ = writeln!(page, "</table>");
}

fn measure_cell(cell: Option<&Cell>, page: &mut String) {
    let Some(cell) = cell.filter(|cell| cell.seeds > 0) else {
        let _ = write!(page, "<td>not played</td>");
        return;
    };
    let highlighted = cell.verdict.filter(|verdict| matches!(verdict, Verdict::Better | Verdict::Worse));
    let class = highlighted.map_or("", Verdict::as_str);
    let _ = write!(page, "<td class=\"{class}\">{}{}</td>", number(cell.mean), bounds(cell.interval));
}

/// Writes two tables of a world, one by class and one by zone: the share served in time and the 99th percentile of the latency.
pub(super) fn classes_and_zones(plan: &Plan, results: &Results, world: usize, page: &mut String) {
    let variants = 0..plan.experiment.variants.len();
    let runs: Vec<Vec<SeedReport>> = variants.map(|variant| reports(plan, results, world, variant)).collect();
    part_table(plan, &runs, "class", |report| &report.classes, page);
    part_table(plan, &runs, "zone", |report| &report.zones, page);
}

/// Writes a table with one row per variant and one column per class or zone; nothing if no run has a result.
fn part_table(plan: &Plan, runs: &[Vec<SeedReport>], kind: &str, parts: Parts, page: &mut String) {
    let Some(first) = runs.iter().flatten().next() else { return };
    let names: Vec<String> =
        parts(first.report).iter().take(MAX_COLUMNS).map(|part| part.name.clone()).collect();
    let _ = write!(page, "<table><tr><th>served in time, p99 ms, by {kind}</th>");
    for name in &names {
        let _ = write!(page, "<th>{}</th>", escaped(name));
    }
    let _ = write!(page, "</tr>");
    for (variant, runs) in plan.experiment.variants.iter().zip(runs) {
        let _ = write!(page, "<tr><td>{}</td>", escaped(&variant.name));
        for column in 0..names.len() {
            let column: Vec<&ClassReport> =
                runs.iter().filter_map(|run| parts(run.report).get(column)).collect();
            part_cell(&column, page);
        }
        let _ = write!(page, "</tr>");
    }
    let _ = writeln!(page, "</table>");
}

/// Writes the cell of one class or zone, merged over all runs of a variant.
fn part_cell(parts: &[&ClassReport], page: &mut String) {
    let requests: u64 = parts.iter().map(|part| part.asked - part.left).sum();
    let in_time: u64 = parts.iter().map(|part| part.in_time).sum();
    let latencies = class_latencies(parts.iter().copied());
    let p99_ms = latencies.map_or(0.0, |latencies| latencies.value_at_quantile(0.99) as f64 / 1000.0);
    let share = in_time as f64 / requests.max(1) as f64;
    let _ = write!(page, "<td>{share:.3}, {p99_ms:.0}</td>");
}
