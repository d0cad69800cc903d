//! Parsing of an input line, and of the values that several kinds of messages have in common.

use ivyhatch_balancer::{BackendState, LoadReport, Nanos, Outcome};
use ivyhatch_node_settings::{FieldError, Fields};
use serde_json::Value;

use crate::error::LineError;

/// Tag of the message that defines a server list.
pub(crate) const MANIFEST: &str = "MANIFEST";

/// A message: a JSON object with one key, the tag, whose value is the object of the message's fields.
pub(crate) struct Message<'a> {
    pub(crate) tag: &'a str,
    pub(crate) fields: Fields<'a>,
}

impl<'a> Message<'a> {
    /// Splits a message into its tag and its fields.
    ///
    /// # Errors
    /// If the value is not an object with one key, or the key's value is not an object.
    pub(crate) fn parse(value: &'a Value) -> Result<Self, LineError> {
        let object = value.as_object().filter(|object| object.len() == 1).ok_or(LineError::NoSingleKey)?;
        let (tag, body) = object.iter().next().ok_or(LineError::NoSingleKey)?;
        let map = body.as_object().ok_or_else(|| LineError::BodyNotObject { tag: tag.clone() })?;
        Ok(Self { tag, fields: Fields { object: tag, map } })
    }
}

/// The outcome of an attempt or a probe.
///
/// # Errors
/// If the field is missing or has an unknown code.
pub(crate) fn outcome(fields: &Fields) -> Result<Outcome, FieldError> {
    Ok(match fields.text("disposition")? {
        "S" => Outcome::Served,
        "E" => Outcome::Error,
        "F" => Outcome::Rejected,
        "T" => Outcome::TimedOut,
        "C" => Outcome::ConnectFailed,
        "R" => Outcome::Reset,
        "X" => Outcome::Cancelled,
        "N" => Outcome::NotSent,
        _ => return Err(fields.invalid("disposition")),
    })
}

/// The load report in the `usage` field; empty if the field is missing or null.
///
/// # Errors
/// If the field is neither null nor an object.
pub(crate) fn load_report(fields: &Fields) -> Result<LoadReport, FieldError> {
    let Some(usage) = fields.map.get("usage").filter(|usage| !usage.is_null()) else {
        return Ok(LoadReport::default());
    };
    let usage = usage.as_object().ok_or_else(|| fields.invalid("usage"))?;
    let figure = |name: &str| usage.get(name).and_then(Value::as_f64);
    Ok(LoadReport {
        utilisation: figure("load_share"),
        requests_per_second: figure("tps"),
        in_flight: figure("concurrent"),
    })
}

/// An entry of a server list: one backend, with names as the message has them.
pub(crate) struct ManifestEntry {
    pub(crate) backend: String,
    pub(crate) zone: String,
    pub(crate) machine_kind: String,
    pub(crate) cell: u64,
    pub(crate) state: BackendState,
    pub(crate) weight: f64,
    pub(crate) online_since: Option<Nanos>,
}

/// The entries of a server list.
///
/// # Errors
/// For the first field that is missing or invalid.
pub(crate) fn manifest_entries(fields: &Fields) -> Result<Vec<ManifestEntry>, FieldError> {
    let entry = |value: &Value| {
        let map = value.as_object().ok_or_else(|| fields.invalid("members-list"))?;
        manifest_entry(&Fields { object: MANIFEST, map })
    };
    fields.array("members-list")?.iter().map(entry).collect()
}

fn manifest_entry(fields: &Fields) -> Result<ManifestEntry, FieldError> {
    Ok(ManifestEntry {
        backend: fields.text("backend")?.to_owned(),
        zone: fields.text("hall")?.to_owned(),
        machine_kind: fields.text("type")?.to_owned(),
        cell: fields.unsigned_or("pod", 0)?,
        state: match fields.text("stage-state")? {
            "in_service" => BackendState::InService,
            "terminating" => BackendState::Draining,
            "terminated" => BackendState::Removed,
            _ => return Err(fields.invalid("stage-state")),
        },
        weight: fields.number_or("power-hint", 1.0)?,
        online_since: Some(fields.unsigned_or("online-since-ns", 0)?).filter(|&at| at > 0),
    })
}
