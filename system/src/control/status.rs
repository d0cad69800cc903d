//! Encodes a control node's status report as JSON, the response to `GET /-/status`.

use ivyhatch_control::report::{PartitionReport, ReplicaReport, Report};
use ivyhatch_protocol::peer::ReplicaStatus;
use serde_json::{Value, json};

/// Encodes a report as JSON text.
pub fn to_json(report: &Report) -> String {
    json!({
        "node": report.node.to_string(),
        "has_quorum": report.has_quorum,
        "generation": report.generation,
        "replicas": report.replicas.iter().map(replica).collect::<Vec<_>>(),
        "partitions": report.partitions.iter().map(partition).collect::<Vec<_>>(),
    })
    .to_string()
}

fn replica(report: &ReplicaReport) -> Value {
    json!({
        "node": report.replica.node.to_string(),
        "replica": report.replica.to_string(),
        "zone": report.zone,
        "has_seat": report.is_voter,
        "status": report.status.map_or("unreachable", status_name),
        "is_leaving": report.is_draining,
        "changes_behind": report.changes_behind,
    })
}

fn status_name(status: ReplicaStatus) -> &'static str {
    match status {
        ReplicaStatus::Uninitialized => "uninitialized",
        ReplicaStatus::Learner => "learner",
        ReplicaStatus::Voter => "voter",
        ReplicaStatus::Removed => "removed",
    }
}

fn partition(report: &PartitionReport) -> Value {
    json!({
        "partition": report.partition.0,
        "committed": report.committed,
        "leader": report.leader.map(|node| node.to_string()),
    })
}
