//! Builders of control nodes, memberships and heartbeats, and helpers that deliver inputs to a node and inspect its outputs.
#![allow(dead_code)]

use std::collections::BTreeSet;

use ivyhatch_control::{ControlPlane, Input, LogEvent, NodeConfig, Output, Record};
use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{ConsensusMessage, Heartbeat, Membership, PeerMessage, ReplicaStatus, Voter};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

pub const NODES: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];
pub const DRAIN_TIMEOUT: Nanos = 6 * SECOND;

pub fn replica(node: u32) -> ReplicaId {
    ReplicaId { node: NodeId(node), disk: u64::from(node) * 100 }
}

pub fn zone(node: u32) -> String {
    format!("zone-{node}")
}

/// The first membership of the three nodes, each in a zone of its own.
pub fn membership() -> Membership {
    let voter = |node| Voter { replica: replica(node), zone: zone(node), joined_generation: 1 };
    Membership { generation: 1, voters: (1..=3).map(voter).collect(), previous: Vec::new() }
}

pub fn node_config(node: u32, first_start: bool) -> NodeConfig {
    NodeConfig {
        node: NodeId(node),
        zone: zone(node),
        incarnation: 11,
        has_disk: true,
        first_start,
        seeds: NODES.to_vec(),
        zones: BTreeSet::from(["a".to_owned()]),
        server_list_interval: SECOND,
        drain_timeout: DRAIN_TIMEOUT,
        has_coordination: false,
        cell_history: 20 * SECOND,
    }
}

/// The disk records of a voter of this membership.
pub fn records(node: u32, membership: Membership) -> Vec<Record> {
    vec![Record::Formatted { replica: replica(node), first_start: true }, Record::Membership(membership)]
}

/// A voter of this membership that has just started.
pub fn voter(node: u32, membership: Membership) -> ControlPlane {
    let stored = records(node, membership).into_iter().collect();
    ControlPlane::new(node_config(node, false), stored, 0)
}

/// A heartbeat of another voter, under the first membership.
pub fn heartbeat(node: u32, number: u64) -> Heartbeat {
    Heartbeat {
        incarnation: u64::from(node),
        sequence: number,
        disk: Some(replica(node).disk),
        zone: zone(node),
        status: ReplicaStatus::Voter,
        generation: 1,
        reachable: (1..=9).map(NodeId).collect(),
        has_quorum: true,
        can_read_server_list: true,
        committed: Heartbeat::encode_committed(false, |_| 0),
        ..Heartbeat::default()
    }
}

/// Delivers messages to a node, and then a tick. Returns the outputs.
pub fn step(plane: &mut ControlPlane, at_ms: u64, messages: &[(u32, PeerMessage)]) -> Vec<Output> {
    let (at, mut out) = (at_ms * MILLISECOND, Vec::new());
    for (from, message) in messages {
        plane.handle(at, Input::Peer(NodeId(*from), message.clone()), &mut out);
    }
    plane.handle(at, Input::Tick, &mut out);
    out
}

/// Like [`step`], and then reports all writes as durable.
pub fn step_and_store(plane: &mut ControlPlane, at_ms: u64, messages: &[(u32, PeerMessage)]) -> Vec<Output> {
    let mut out = step(plane, at_ms, messages);
    let writes: Vec<u64> = out
        .iter()
        .filter_map(|output| match output {
            Output::Store(token, _) => Some(*token),
            _ => None,
        })
        .collect();
    for token in writes {
        plane.handle(at_ms * MILLISECOND, Input::Stored(token), &mut out);
    }
    out
}

/// The messages that the outputs send to a node.
pub fn sent_to(out: &[Output], node: u32) -> Vec<&PeerMessage> {
    let message = |output| match output {
        &Output::Send(to, ref message) if to == NodeId(node) => Some(message),
        Output::SendToAll(nodes, message) if nodes.contains(&NodeId(node)) => Some(message),
        _ => None,
    };
    out.iter().filter_map(message).collect()
}

/// The first log event of this name.
pub fn log_event<'a>(out: &'a [Output], name: &str) -> Option<&'a LogEvent> {
    out.iter().find_map(|output| match output {
        Output::Log(event) if event.name() == name => Some(event),
        _ => None,
    })
}

/// Whether the outputs start an election for this partition.
pub fn starts_election(out: &[Output], partition: PartitionId) -> bool {
    out.iter().any(|output| match output {
        Output::Send(
            _,
            PeerMessage::Consensus {
                partition: contended,
                message: ConsensusMessage::Prepare { .. } | ConsensusMessage::LegacyPrepare { .. },
                ..
            },
        ) => *contended == partition,
        _ => false,
    })
}
