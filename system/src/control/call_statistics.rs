//! Counts the calls that the control listener has answered, by kind, method and status, for the log and for `GET /-/metrics`.
//!
//! The table is bounded, as kinds and methods are fixed sets: requests with any other path or method are counted as unknown or other.

use std::collections::BTreeMap;
use std::fmt;

use hyper::{Method, StatusCode};
use strum::{Display, EnumString};

/// The kind of a call: the first segment of its path after `/-/`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum CallKind {
    /// Reads and writes of the configuration.
    Config,
    /// Begin or end of the evacuation of a zone.
    Evacuations,
    /// Reads of the control node's status report.
    Status,
    /// Reads of the numbers that this module counts.
    Metrics,
    /// Calls on locks, which also serve for leader elections.
    Locks,
    /// Calls on number sequences.
    Numbers,
    /// Reads and writes of cells.
    Cells,
    /// Watches on groups of cells.
    Watch,
    /// Calls with any other path.
    Unknown,
}

impl CallKind {
    /// The kind of a path, given by its segments.
    pub fn of_path(segments: &[&str]) -> Self {
        match segments {
            ["-", kind, ..] => kind.parse().unwrap_or(Self::Unknown),
            _ => Self::Unknown,
        }
    }

    /// Whether the call belongs to the coordination interface, which applications use.
    pub fn is_coordination(self) -> bool {
        matches!(self, Self::Locks | Self::Numbers | Self::Cells | Self::Watch)
    }
}

/// The HTTP methods that are counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "lowercase")]
enum CallMethod {
    Get,
    Put,
    Post,
    Patch,
    Delete,
    Other,
}

impl From<&Method> for CallMethod {
    fn from(method: &Method) -> Self {
        match method.as_str() {
            "GET" => Self::Get,
            "PUT" => Self::Put,
            "POST" => Self::Post,
            "PATCH" => Self::Patch,
            "DELETE" => Self::Delete,
            _ => Self::Other,
        }
    }
}

/// The key of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Row {
    kind: CallKind,
    method: CallMethod,
    status: u16,
}

/// The numbers of answered calls since the start of the process.
#[derive(Debug, Default)]
pub struct CallStatistics {
    counts: BTreeMap<Row, u64>,
    has_changed: bool,
}

impl CallStatistics {
    /// Counts an answered call with the status of its response.
    pub fn record(&mut self, kind: CallKind, method: &Method, status: StatusCode) {
        let row = Row { kind, method: method.into(), status: status.as_u16() };
        *self.counts.entry(row).or_default() += 1;
        self.has_changed = true;
    }

    /// Returns the totals as fields of a log line, or `None` if no call was counted since they were last taken.
    pub fn take_log_fields(&mut self) -> Option<String> {
        if !std::mem::take(&mut self.has_changed) {
            return None;
        }
        let field =
            |(row, count): (&Row, &u64)| format!("{}_{}_{}={count}", row.kind, row.method, row.status);
        Some(self.counts.iter().map(field).collect::<Vec<_>>().join(" "))
    }
}

/// Writes the totals in the text format of Prometheus.
impl fmt::Display for CallStatistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "# TYPE ivyhatch_control_calls_total counter")?;
        for (Row { kind, method, status }, count) in &self.counts {
            writeln!(
                f,
                "ivyhatch_control_calls_total{{kind=\"{kind}\",method=\"{method}\",status=\"{status}\"}} {count}"
            )?;
        }
        Ok(())
    }
}
