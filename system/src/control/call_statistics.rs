//! How many calls of each kind the control listener has answered, by method and status: for the log and for `GET /-/metrics`.
//!
//! The table is bounded: kinds and methods are fixed sets, whatever callers send.

use std::collections::BTreeMap;
use std::fmt;

use hyper::{Method, StatusCode};
use strum::{Display, EnumString};

/// What a call is about: the first segment of its path after `/-/`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum CallKind {
    /// The operators' configuration.
    Config,
    /// Evacuations of zones.
    Evacuations,
    /// The state of the cluster.
    Status,
    /// The figures of this module.
    Metrics,
    /// Locks and elections.
    Locks,
    /// Numbers that rise.
    Numbers,
    /// Cells.
    Cells,
    /// Watches of groups of cells.
    Watch,
    /// Any other path.
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

    /// Whether it is one of applications' calls.
    pub fn is_coordination(self) -> bool {
        matches!(self, Self::Locks | Self::Numbers | Self::Cells | Self::Watch)
    }
}

/// The methods that are distinguished.
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

/// One row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Row {
    kind: CallKind,
    method: CallMethod,
    status: u16,
}

/// The number of answered calls.
#[derive(Debug, Default)]
pub struct CallStatistics {
    counts: BTreeMap<Row, u64>,
    has_changed: bool,
}

impl CallStatistics {
    /// Counts an answered call.
    pub fn record(&mut self, kind: CallKind, method: &Method, status: StatusCode) {
        let row = Row { kind, method: method.into(), status: status.as_u16() };
        *self.counts.entry(row).or_default() += 1;
        self.has_changed = true;
    }

    /// The totals as fields of a log line; `None` where nothing was counted since the last time.
    pub fn take_log_fields(&mut self) -> Option<String> {
        if !std::mem::take(&mut self.has_changed) {
            return None;
        }
        let field =
            |(row, count): (&Row, &u64)| format!("{}_{}_{}={count}", row.kind, row.method, row.status);
        Some(self.counts.iter().map(field).collect::<Vec<_>>().join(" "))
    }
}

/// The totals in the text format of Prometheus.
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
