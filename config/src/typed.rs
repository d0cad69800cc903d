//! The configuration as the program has it. Ranges, defaults and purposes of the fields are in `schema.rs`; times are in
//! milliseconds.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    pub version: u64,
    pub fleet: Fleet,
    pub limits: Limits,
    pub rules: Rules,
    pub log: Log,
    pub agent: Agent,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    #[serde(rename = "instance")]
    pub instances: Vec<Instance>,
}

/// What all nodes share.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub name: String,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub discovery: SocketAddr,
    pub list: String,
    pub reports: String,
    pub probe_price: f64,
    pub marks_repeats: bool,
    pub worst_class: f64,
    pub worth_by: String,
}

/// What a node may take, and do.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    pub cores: f64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub attempts: u64,
    pub may_cancel: bool,
    pub second_copies: bool,
    pub probes: bool,
    pub longest_pause_ms: u64,
    pub idle_ms: u64,
    pub connect_ms: u64,
}

/// What a node must keep.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    pub answer_slack_ms: u64,
    pub drain_grace_ms: u64,
    pub start_capacity: f64,
    pub warm_after_ms: u64,
    pub tip_multiple: f64,
    pub fall_ms: u64,
}

/// What is written of what happens.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    pub level: String,
    pub format: String,
}

/// How the agent keeps its instances.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    pub state: PathBuf,
    pub ready_ms: u64,
    pub drain_ms: u64,
    pub stop_ms: u64,
    pub silent_ms: u64,
    pub first_wait_ms: u64,
    pub longest_wait_ms: u64,
    pub crashes: u64,
    pub crashes_ms: u64,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub effect: String,
    pub key_scope: Option<String>,
    pub window_ms: Option<u64>,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub worth: f64,
    pub late_worth: f64,
}

/// Whose requests come.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub quota: f64,
}

/// A node.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub listen: SocketAddr,
    pub discovery: Option<SocketAddr>,
    pub sockets: Option<u64>,
    pub memory_mb: Option<u64>,
    pub labels: BTreeMap<String, String>,
    pub enabled: bool,
}

/// The platform counts in nanoseconds.
fn nanos(ms: u64) -> u64 {
    ms * 1_000_000
}

impl Config {
    /// An instance by its name.
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.instances.iter().find(|instance| instance.name == name)
    }

    /// What the platform would tell this instance by `EDGE_CONFIG`. `seed` is for this start alone.
    pub fn node(&self, instance: &Instance, seed: u64) -> Value {
        let discovery = instance.discovery.unwrap_or(self.fleet.discovery);
        json!({
            "name": instance.name, "listen": instance.listen.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": self.limits.cores,
                "memory_mb": instance.memory_mb.unwrap_or(self.limits.memory_mb),
                "sockets": instance.sockets.unwrap_or(self.limits.sockets)},
            "settings": self.settings(instance),
        })
    }

    fn settings(&self, instance: &Instance) -> Value {
        let (fleet, limits, rules) = (&self.fleet, &self.limits, &self.rules);
        let class = |class: &Class| {
            let mut value = json!({"name": class.name, "effect": class.effect, "on-time-ns": nanos(class.aim_ms),
                "deadline-ns": nanos(class.deadline_ms), "importance": class.worth, "late-share": class.late_worth});
            if let (Some(scope), Some(window)) = (&class.key_scope, class.window_ms) {
                value["key-scope"] = json!(scope);
                value["window-ns"] = json!(nanos(window));
            }
            value
        };
        let classes: Vec<Value> = self.classes.iter().map(class).collect();
        let tenant = |tenant: &Tenant| json!({"name": tenant.name, "quota-rps": tenant.quota});
        let mut settings = json!({
            "az": instance.zone, "zones": fleet.zones, "kinds": fleet.kinds, "n-instances": self.instances.len(),
            "discovery": fleet.list, "classes": classes,
            "projects": self.tenants.iter().map(tenant).collect::<Vec<_>>(),
            "report": {"how": fleet.reports}, "prices": {"probe": fleet.probe_price},
            "callers": {"marks-retry": fleet.marks_repeats}, "goal": {"worst-class": fleet.worst_class},
            "policy-limits": {"attempts-cap": limits.attempts, "may-cancel": limits.may_cancel,
                "second-copies": limits.second_copies, "probes": limits.probes,
                "retry-after": limits.longest_pause_ms > 0, "max-retry-after-ns": nanos(limits.longest_pause_ms),
                "conn-idle-ns": nanos(limits.idle_ms), "connect-timeout-ns": nanos(limits.connect_ms)},
            "rules": {"answer-slack-ns": nanos(rules.answer_slack_ms), "drain-grace-ns": nanos(rules.drain_grace_ms),
                "fall-ns": nanos(rules.fall_ms), "start-capacity": rules.start_capacity,
                "tip-multiple": rules.tip_multiple, "warm-after-ns": nanos(rules.warm_after_ms)},
        });
        if fleet.worth_by == "work" {
            settings["worth-by"] = json!("work");
        }
        settings
    }
}
