//! Parses the settings object.

use std::collections::HashMap;

use ivyhatch_balancer::{
    ClassSettings, Discovery, Idempotency, IdempotencyScope, Limits, LoadReporting, Nanos, RuleSettings,
    Settings, Weights, ZoneId,
};
use serde_json::{Map, Value};

use crate::error::{FieldError, SettingsError};
use crate::fields::Fields;
use crate::name_table::NameTable;

/// The quantum of time if the settings don't set it, in nanoseconds.
const DEFAULT_QUANTUM: Nanos = 1_000_000;
/// The idle timeout of backends if the settings don't set it, in nanoseconds.
const DEFAULT_IDLE_TIMEOUT: Nanos = 15_000_000_000;
/// The connect timeout if the settings don't set it, in nanoseconds.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250_000_000;

/// The settings of connections to backends, for embedders that use sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// A backend may close a connection that has been idle for this time, in nanoseconds.
    pub idle_timeout: Nanos,
    /// A connect that takes longer than this time, in nanoseconds, has failed.
    pub connect_timeout: Nanos,
}

/// The parsed settings of a node.
pub struct NodeSettings {
    /// The settings of the balancer.
    pub balancer: Settings,
    /// The names in the settings, and their numbers.
    pub names: NameTable,
    /// The settings of connections to backends.
    pub connections: ConnectionSettings,
}

/// Parses the settings object. The values are not checked further: the balancer validates its own settings.
///
/// # Errors
/// [`SettingsError`] names the first field that is missing or of the wrong type.
pub fn parse(settings: &Value) -> Result<NodeSettings, SettingsError> {
    let map = settings.as_object().ok_or(SettingsError::NotAnObject)?;
    let fields = Fields { object: "settings", map };
    let zones = fields.texts("zones")?;
    let home = fields.text("az")?;
    let home = zones.iter().position(|zone| zone == home).ok_or_else(|| fields.invalid("az"))?;
    let (class_names, classes) = parse_classes(&fields)?;
    let (tenants, tenant_quotas) = parse_tenants(&fields)?;
    let limits = fields.object("policy-limits")?;
    let rules = fields.object("rules")?;
    let goal = fields.object("goal")?;
    let max_retry_after = parse_max_retry_after(&limits)?;
    let balancer = Settings {
        home: ZoneId(home as u32),
        zones: zones.len() as u32,
        nodes: u32::try_from(fields.unsigned_or("n-instances", 1)?).unwrap_or(u32::MAX),
        classes,
        tenant_quotas,
        over_quota_value: fields.number_or("over-share-worth", 1.0)?,
        discovery: parse_discovery(&fields)?,
        weights: parse_weights(map),
        reports: parse_load_reporting(map),
        probe_cost: parse_probe_cost(map)?,
        limits: parse_limits(&limits, max_retry_after)?,
        rules: parse_rules(&rules)?,
        worst_class_weight: goal.number_or("worst-class", 0.0)?,
        clients_mark_retries: nested(map, "callers", "marks-retry").and_then(Value::as_bool).unwrap_or(false),
        value_per_work: map.get("worth-by").and_then(Value::as_str) == Some("work"),
        quantum: fields.unsigned_or("quantum-ns", DEFAULT_QUANTUM)?,
    };
    let kinds = if map.contains_key("kinds") { fields.texts("kinds")? } else { Vec::new() };
    let connections = parse_connections(&limits)?;
    let names = NameTable { zones, classes: class_names, kinds, tenants };
    Ok(NodeSettings { balancer, names, connections })
}

/// The numbers of the request classes by name, and the settings of the classes by number.
fn parse_classes(fields: &Fields) -> Result<(HashMap<String, u32>, Vec<ClassSettings>), SettingsError> {
    let classes = fields.array("classes")?.iter().map(parse_class).collect::<Result<Vec<_>, _>>()?;
    let (names, classes): (Vec<String>, Vec<ClassSettings>) = classes.into_iter().unzip();
    Ok((names.into_iter().zip(0..).collect(), classes))
}

fn parse_class(value: &Value) -> Result<(String, ClassSettings), SettingsError> {
    let map = value.as_object().ok_or(SettingsError::ItemNotAnObject { list: "classes" })?;
    let fields = Fields { object: "settings: classes", map };
    let idempotency = parse_idempotency(&fields)?;
    let settings = ClassSettings {
        latency_target: fields.unsigned("on-time-ns")?,
        deadline: fields.unsigned("deadline-ns")?,
        value: fields.number_or("importance", 1.0)?,
        late_value_share: fields.number_or("late-share", 0.0)?,
        idempotency,
        ..ClassSettings::default()
    };
    Ok((fields.text("name")?.to_owned(), settings))
}

fn parse_idempotency(class: &Fields) -> Result<Idempotency, FieldError> {
    match class.text("effect")? {
        "repeatable" => Ok(Idempotency::Idempotent),
        "once" => Ok(Idempotency::NonIdempotent),
        "by_key" => {
            let scope = match class.text("key-scope")? {
                "all" => IdempotencyScope::All,
                "zone" => IdempotencyScope::Zone,
                "cell" => IdempotencyScope::Cell,
                _ => return Err(class.invalid("key-scope")),
            };
            Ok(Idempotency::Keyed { scope, window: class.unsigned("window-ns")? })
        }
        _ => Err(class.invalid("effect")),
    }
}

/// The names of the tenants and their quotas in requests per second, both by number; empty if the settings have no tenants.
fn parse_tenants(fields: &Fields) -> Result<(Vec<String>, Vec<f64>), SettingsError> {
    if !fields.map.contains_key("projects") {
        return Ok((Vec::new(), Vec::new()));
    }
    let tenant = |value: &Value| {
        let map = value.as_object().ok_or(SettingsError::ItemNotAnObject { list: "projects" })?;
        let fields = Fields { object: "settings: projects", map };
        Ok::<_, SettingsError>((fields.text("name")?.to_owned(), fields.number("quota-rps")?))
    };
    let tenants = fields.array("projects")?.iter().map(tenant).collect::<Result<Vec<_>, _>>()?;
    Ok(tenants.into_iter().unzip())
}

fn parse_discovery(fields: &Fields) -> Result<Discovery, FieldError> {
    match fields.text("discovery")? {
        "pushed" => Ok(Discovery::Pushed),
        "on_request" => Ok(Discovery::OnRequest),
        _ => Err(fields.invalid("discovery")),
    }
}

fn parse_weights(map: &Map<String, Value>) -> Weights {
    match map.get("weights").and_then(Value::as_str) {
        Some("live") => Weights::Live,
        _ => Weights::Size,
    }
}

fn parse_load_reporting(map: &Map<String, Value>) -> LoadReporting {
    match nested(map, "report", "how").and_then(Value::as_str) {
        Some("pull") => LoadReporting::Pull,
        Some("piggyback") => LoadReporting::Piggyback,
        _ => LoadReporting::Disabled,
    }
}

fn parse_probe_cost(map: &Map<String, Value>) -> Result<f64, SettingsError> {
    nested(map, "prices", "probe").map_or(Ok(0.0), |price| price.as_f64().ok_or(SettingsError::ProbePrice))
}

/// The longest time, in nanoseconds, for which a rejected client is asked to wait before a retry; 0 if rejections
/// contain no such time.
fn parse_max_retry_after(limits: &Fields) -> Result<Nanos, FieldError> {
    if flag(limits, "retry-after") { limits.unsigned_or("max-retry-after-ns", 0) } else { Ok(0) }
}

fn parse_limits(limits: &Fields, max_retry_after: Nanos) -> Result<Limits, FieldError> {
    Ok(Limits {
        max_attempts: u32::try_from(limits.unsigned("attempts-cap")?).unwrap_or(u32::MAX),
        hedging: flag(limits, "second-copies"),
        probes: flag(limits, "probes"),
        cancellation: flag(limits, "may-cancel"),
        max_retry_after,
    })
}

fn parse_rules(rules: &Fields) -> Result<RuleSettings, FieldError> {
    Ok(RuleSettings {
        answer_grace: rules.unsigned("answer-slack-ns")?,
        max_poll_interval: rules.unsigned_or("ask-within-ns", u64::MAX)?,
        drain_grace: rules.unsigned("drain-grace-ns")?,
        initial_capacity: rules.number("start-capacity")?,
        warm_up_time: rules.unsigned("warm-after-ns")?,
        overload_multiple: rules.number("tip-multiple")?,
        overload_window: rules.unsigned("fall-ns")?,
    })
}

fn parse_connections(limits: &Fields) -> Result<ConnectionSettings, FieldError> {
    Ok(ConnectionSettings {
        idle_timeout: limits.unsigned_or("conn-idle-ns", DEFAULT_IDLE_TIMEOUT)?,
        connect_timeout: limits.unsigned_or("connect-timeout-ns", DEFAULT_CONNECT_TIMEOUT)?,
    })
}

/// A boolean that is false if the field is missing or of another type.
fn flag(fields: &Fields, field: &str) -> bool {
    fields.map.get(field).and_then(Value::as_bool).unwrap_or(false)
}

/// The value of `field` in the object that is the value of `object`; `None` if either is missing.
fn nested<'a>(map: &'a Map<String, Value>, object: &str, field: &str) -> Option<&'a Value> {
    map.get(object)?.get(field)
}
