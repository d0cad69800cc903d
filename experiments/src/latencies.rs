//! Latency distributions merged over several runs or classes.

use hdrhistogram::Histogram;
use ivyhatch_lab::{ClassReport, Report};

/// The latencies of the served requests of several runs, in microseconds; `None` if no request was served.
pub(crate) fn run_latencies<'a>(reports: impl Iterator<Item = &'a Report>) -> Option<Histogram<u64>> {
    class_latencies(reports.flat_map(|report| &report.classes))
}

/// The latencies of the served requests of several classes or zones, in microseconds; `None` if no request was served.
pub(crate) fn class_latencies<'a>(classes: impl Iterator<Item = &'a ClassReport>) -> Option<Histogram<u64>> {
    classes.filter_map(ClassReport::histogram).reduce(|mut sum, other| {
        sum.add(&other).expect("all histograms of reports have the same bounds");
        sum
    })
}
