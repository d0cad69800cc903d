//! Conversion of the operators' configuration into the configuration of a node, which has the format that the platform passes in
//! `EDGE_CONFIG`.

use serde_json::{Value, json};

use crate::config::{Config, InstanceSettings, RequestClass, Tenant};

const NANOS_PER_MS: u64 = 1_000_000;

fn nanos(ms: u64) -> u64 {
    ms * NANOS_PER_MS
}

impl Config {
    /// The configuration of an instance's node. `seed` is that of the node's random numbers; each start has to pass a new one.
    pub fn node_configuration(&self, instance: &InstanceSettings, seed: u64) -> Value {
        let discovery = instance.discovery.unwrap_or(self.fleet.discovery);
        json!({
            "name": instance.name,
            "listen": instance.listen.to_string(),
            "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {
                "cores": self.limits.cores,
                "memory_mb": instance.memory_mb.unwrap_or(self.limits.memory_mb),
                "sockets": instance.sockets.unwrap_or(self.limits.sockets),
            },
            "settings": self.node_settings(instance),
        })
    }

    fn node_settings(&self, instance: &InstanceSettings) -> Value {
        let fleet = &self.fleet;
        let mut settings = json!({
            "az": instance.zone,
            "zones": fleet.zones,
            "kinds": fleet.kinds,
            "n-instances": self.instances.len(),
            "discovery": fleet.list,
            "classes": self.classes.iter().map(class_settings).collect::<Vec<_>>(),
            "projects": self.tenants.iter().map(tenant_settings).collect::<Vec<_>>(),
            "report": {"how": fleet.reports},
            "prices": {"probe": fleet.probe_price},
            "callers": {"marks-retry": fleet.marks_repeats},
            "goal": {"worst-class": fleet.worst_class},
            "policy-limits": self.policy_limits(),
            "rules": self.rule_settings(),
        });
        if fleet.worth_by == "work" {
            settings["worth-by"] = json!("work");
        }
        settings
    }

    fn policy_limits(&self) -> Value {
        let limits = &self.limits;
        json!({
            "attempts-cap": limits.attempts,
            "may-cancel": limits.may_cancel,
            "second-copies": limits.second_copies,
            "probes": limits.probes,
            "retry-after": limits.longest_pause_ms > 0,
            "max-retry-after-ns": nanos(limits.longest_pause_ms),
            "conn-idle-ns": nanos(limits.idle_ms),
            "connect-timeout-ns": nanos(limits.connect_ms),
        })
    }

    fn rule_settings(&self) -> Value {
        let rules = &self.rules;
        json!({
            "answer-slack-ns": nanos(rules.answer_slack_ms),
            "drain-grace-ns": nanos(rules.drain_grace_ms),
            "fall-ns": nanos(rules.fall_ms),
            "start-capacity": rules.start_capacity,
            "tip-multiple": rules.tip_multiple,
            "warm-after-ns": nanos(rules.warm_after_ms),
        })
    }
}

fn class_settings(class: &RequestClass) -> Value {
    let mut settings = json!({
        "name": class.name,
        "effect": class.effect,
        "on-time-ns": nanos(class.aim_ms),
        "deadline-ns": nanos(class.deadline_ms),
        "importance": class.worth,
        "late-share": class.late_worth,
    });
    if let (Some(scope), Some(window)) = (&class.key_scope, class.window_ms) {
        settings["key-scope"] = json!(scope);
        settings["window-ns"] = json!(nanos(window));
    }
    settings
}

fn tenant_settings(tenant: &Tenant) -> Value {
    json!({"name": tenant.name, "quota-rps": tenant.quota})
}
