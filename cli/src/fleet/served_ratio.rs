//! The ratio of served requests to all responses of the nodes, between two reports of their counters.

use std::collections::BTreeMap;

use ivyhatch_agent::InstanceStatus;

/// Minimum number of responses for a meaningful ratio.
const MIN_RESPONSES: u64 = 20;

/// Identifies a node's process. The counters of a new process of the same instance start at 0.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessKey {
    instance: String,
    pid: i32,
}

/// Numbers of responses since the start of a process.
#[derive(Clone, Copy, Default)]
struct ResponseCount {
    served: u64,
    /// Served, rejected and failed requests.
    total: u64,
}

/// The numbers of responses of each process.
pub(super) struct FleetResponseCounts(BTreeMap<ProcessKey, ResponseCount>);

impl FleetResponseCounts {
    /// Reads the counters from the statuses of instances. Instances without a process or without reported counters are left out.
    pub(super) fn from_instances(instances: &[InstanceStatus]) -> Self {
        Self(instances.iter().filter_map(count_responses).collect())
    }

    /// The ratio of served requests to all responses since `before`, from 0 to 1; `None` if there were fewer than [`MIN_RESPONSES`].
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
