//! The list of backends in discovery's wire format.

use std::net::SocketAddr;

use ivyhatch_balancer::{BackendState, ListScope};
use serde::Deserialize;

use crate::driver::BackendRecord;

/// A full list of backends, or the changes since an earlier revision.
#[derive(Deserialize)]
pub struct BackendList {
    /// The list's revision. Revisions from different discovery addresses can't be compared.
    pub rev: u64,
    /// Whether the list has all backends, or only those that have changed.
    pub all: bool,
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u64,
    state: TargetState,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Deserialize)]
enum TargetState {
    Ready,
    Terminating,
    Gone,
}

impl BackendList {
    /// The number of backends in the list.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether the list has all backends or only changes.
    pub fn scope(&self) -> ListScope {
        if self.all { ListScope::Full } else { ListScope::Changes }
    }

    /// Converts the list to the driver's records of its backends.
    pub fn into_records(self) -> Vec<BackendRecord> {
        self.targets.into_iter().map(BackendRecord::from).collect()
    }
}

impl From<Target> for BackendRecord {
    fn from(target: Target) -> Self {
        Self {
            uid: target.uid,
            endpoint: target.endpoint,
            zone: target.az,
            machine_kind: target.model,
            cell: target.pod_group,
            state: match target.state {
                TargetState::Ready => BackendState::InService,
                TargetState::Terminating => BackendState::Draining,
                TargetState::Gone => BackendState::Removed,
            },
            weight: target.capacity_hint,
            boot_ms: target.boot_ms,
        }
    }
}
