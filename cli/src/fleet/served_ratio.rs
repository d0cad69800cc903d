//! The ratio of requests that nodes served, between two reports of their counters.

use std::collections::BTreeMap;

use ivyhatch_agent::InstanceStatus;

/// With fewer answers than this, a ratio says nothing.
const MIN_RESPONSES: u64 = 20;

/// Identifies a node's process: a new process of the same instance counts from 0.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessKey {
    instance: String,
    pid: i32,
}

/// Answers since a process started.
#[derive(Clone, Copy, Default)]
struct ResponseCount {
    served: u64,
    total: u64,
}

/// The answers of each process.
pub(super) struct FleetResponseCounts(BTreeMap<ProcessKey, ResponseCount>);

impl FleetResponseCounts {
    /// The counters of the instances whose nodes reported them.
    pub(super) fn from_instances(instances: &[InstanceStatus]) -> Self {
        Self(instances.iter().filter_map(count_responses).collect())
    }

    /// The ratio of answers since `before` that were served, from 0 to 1; `None` if there were fewer than [`MIN_RESPONSES`].
    pub(super) fn served_ratio_since(&self, before: &Self) -> Option<f64> {
        let (mut served, mut total) = (0, 0);
        for (process, now) in &self.0 {
            let before = before.0.get(process).copied().unwrap_or_default();
            served += now.served.saturating_sub(before.served);
            total += now.total.saturating_sub(before.total);
        }
        (total >= MIN_RESPONSES).then(|| served as f64 / total as f64)
    }
}

fn count_responses(instance: &InstanceStatus) -> Option<(ProcessKey, ResponseCount)> {
    let (state, _) = instance.node_state.as_ref()?;
    let responses = |name: &str| state["answers"][name].as_u64();
    let (served, rejected, failed) = (responses("served")?, responses("refused")?, responses("failed")?);
    let process = ProcessKey { instance: instance.name.clone(), pid: instance.pid? };
    Some((process, ResponseCount { served, total: served + rejected + failed }))
}

#[cfg(test)]
#[path = "served_ratio_tests.rs"]
mod tests;
