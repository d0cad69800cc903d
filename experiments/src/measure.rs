//! The measures of a run, computed from its report.

use ivyhatch_lab::{ClassReport, Report};
use serde::Deserialize;

use crate::latencies::run_latencies;

/// A measure of a run. Experiment files have the names of the variants in snake case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// The value of the requests served in time over the value of all requests, 0 to 1.
    Served,
    /// The share of requests served in time in the worst class, 0 to 1.
    WorstClass,
    /// The share of requests served in time in the worst zone, 0 to 1.
    WorstZone,
    /// Requests served per second, in time or late.
    Throughput,
    /// The mean latency of served requests in milliseconds, over all classes.
    MeanMs,
    /// The median latency of served requests in milliseconds.
    P50Ms,
    /// The 99th percentile of the latency of served requests in milliseconds.
    P99Ms,
    /// Mean number of attempts per request.
    Attempts,
    /// The share of attempts sent to a server outside the node's zone, 0 to 1.
    Crossed,
    /// Mean number of probes per request.
    Probes,
    /// Number of times that overload brought a server to a standstill.
    Chokes,
    /// The share of requests whose final outcome is a rejection, 0 to 1.
    Refused,
    /// Number of rule violations.
    RulesBroken,
    /// The highest number of requests that one node had in flight.
    MostOpen,
    /// The highest number of connections to servers that one node had.
    MostConnections,
}

impl Measure {
    /// The measure's name in experiment files and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::WorstClass => "worst_class",
            Self::WorstZone => "worst_zone",
            Self::Throughput => "throughput",
            Self::MeanMs => "mean_ms",
            Self::P50Ms => "p50_ms",
            Self::P99Ms => "p99_ms",
            Self::Attempts => "attempts",
            Self::Crossed => "crossed",
            Self::Probes => "probes",
            Self::Chokes => "chokes",
            Self::Refused => "refused",
            Self::RulesBroken => "rules_broken",
            Self::MostOpen => "most_open",
            Self::MostConnections => "most_connections",
        }
    }

    /// Whether a higher value is better; `None` if neither direction is better.
    pub fn more_is_better(self) -> Option<bool> {
        match self {
            Self::Served | Self::WorstClass | Self::WorstZone | Self::Throughput => Some(true),
            Self::Crossed | Self::MostOpen | Self::MostConnections => None,
            _ => Some(false),
        }
    }

    /// Computes the measure from the report of a run.
    pub fn of(self, report: &Report) -> f64 {
        let requests: u64 = report.classes.iter().map(|class| class.asked).sum();
        let per_request = |count: u64| count as f64 / requests.max(1) as f64;
        match self {
            Self::Served => report.served,
            Self::WorstClass => worst_share(&report.classes),
            Self::WorstZone => worst_share(&report.zones),
            Self::Throughput => served_requests(report) as f64 / report.seconds,
            Self::MeanMs => mean_latency_ms(report),
            Self::P50Ms => latency_quantile_ms(report, 0.5),
            Self::P99Ms => latency_quantile_ms(report, 0.99),
            Self::Attempts => per_request(report.attempts),
            Self::Crossed => report.crossed as f64 / report.attempts.max(1) as f64,
            Self::Probes => per_request(report.probes),
            Self::Chokes => f64::from(report.chokes),
            Self::Refused => per_request(report.classes.iter().map(|class| class.refused).sum()),
            Self::RulesBroken => report.rules_broken as f64,
            Self::MostOpen => f64::from(report.most_open),
            Self::MostConnections => f64::from(report.most_connections),
        }
    }
}

/// Number of requests served, in time or late.
fn served_requests(report: &Report) -> u64 {
    report.classes.iter().map(|class| class.in_time + class.late).sum()
}

/// The lowest share of requests served in time among the classes or zones. Requests whose clients disconnected don't count; parts
/// without other requests are skipped. 1 if no part is left.
fn worst_share(parts: &[ClassReport]) -> f64 {
    let counted = parts.iter().filter(|part| part.asked > part.left);
    counted.map(|part| part.in_time as f64 / (part.asked - part.left) as f64).fold(1.0, f64::min)
}

fn mean_latency_ms(report: &Report) -> f64 {
    let sum: f64 =
        report.classes.iter().map(|class| class.mean_ms * (class.in_time + class.late) as f64).sum();
    sum / served_requests(report).max(1) as f64
}

fn latency_quantile_ms(report: &Report, quantile: f64) -> f64 {
    let latencies = run_latencies(std::iter::once(report));
    latencies.map_or(0.0, |latencies| latencies.value_at_quantile(quantile) as f64 / 1000.0)
}
