//! The report of an experiment: one self-contained HTML file. Equal results give equal bytes. Writing to a string does not fail, so
//! the results of `write!` are dropped.

mod format;
mod plots;
mod tables;

use std::fmt::Write;

use plotters::style::RGBColor;

use crate::measure::Measure;
use crate::plan::Plan;
use crate::results::Results;
use crate::summary::{Cell, Summary};

use format::{colour, escaped};

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:76em;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}\
td:first-child,th:first-child{text-align:left}.better{color:#1b6e20}.worse{color:#b3261e}.plots{display:flex;flex-wrap:wrap}\
.plots svg{max-width:100%}small{color:#666}.key span{margin-right:1.2em;white-space:nowrap}";

/// Renders the HTML report of an experiment from the runs that have a result. `summary` is the summary of the same results.
pub fn render_report(plan: &Plan, results: &Results, summary: &Summary) -> String {
    let mut page = String::new();
    write_heading(plan, summary, &mut page);
    for number in 0..plan.worlds.len() {
        write_world(plan, results, summary, number, &mut page);
    }
    let _ = writeln!(page, "</html>");
    page
}

fn write_heading(plan: &Plan, summary: &Summary, page: &mut String) {
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
}

/// The tables and plots of one world.
fn write_world(plan: &Plan, results: &Results, summary: &Summary, number: usize, page: &mut String) {
    let name = &plan.worlds[number].name;
    let cells: Vec<&Cell> = summary.cells.iter().filter(|cell| cell.world == *name).collect();
    let _ = writeln!(page, "<h2>{}</h2>", escaped(name));
    tables::measures(plan, &cells, page);
    let served = plots::served_over_time(plan, results, number);
    let latencies = plots::latency_quantiles(plan, results, number);
    let _ = writeln!(page, "<div class=\"plots\">{served}{latencies}");
    let first = plan.experiment.measures.first().copied().unwrap_or(Measure::Served);
    let _ = writeln!(page, "{}</div>", plots::differences(plan, &cells, first));
    tables::classes_and_zones(plan, results, number, page);
}
