//! Short descriptions of messages, for the trace and for descriptions of violations.

use ivyhatch_protocol::peer::{ConsensusMessage, Heartbeat, PeerMessage};
use ivyhatch_protocol::registers::StateUpdate;
use ivyhatch_protocol::watch::{ServerListChange, WatchResponse};

/// Describes a message between control nodes.
pub(super) fn peer_message(message: &PeerMessage) -> String {
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            let Heartbeat { sequence, status, generation, has_quorum, .. } = heartbeat;
            format!("heartbeat {sequence} {status:?} generation {generation} quorum: {has_quorum}")
        }
        PeerMessage::Consensus { generation, partition, message } => {
            format!("generation {generation} partition {} {}", partition.0, consensus_message(message))
        }
        PeerMessage::Membership(membership) => {
            let voters: Vec<String> =
                membership.voters.iter().map(|voter| voter.replica.to_string()).collect();
            format!("membership {} {voters:?}", membership.generation)
        }
        PeerMessage::StateTransferRequest { generation, .. }
        | PeerMessage::RegisterTransferRequest { generation, .. } => format!("state request {generation}"),
        PeerMessage::StateTransfer { generation, .. } | PeerMessage::RegisterTransfer { generation, .. } => {
            format!("state of generation {generation}")
        }
        PeerMessage::ForwardRequest { request_id, request, .. } => {
            format!("forward {request_id} partition {}", request.partition().0)
        }
        PeerMessage::ForwardResponse { request_id, response } => {
            format!("forwarded {request_id} {response:?}")
        }
        PeerMessage::RouterSessions(_) => "router sessions".to_owned(),
        PeerMessage::ServerList(update) => format!("server list {} {}", update.ballot, update.to),
        PeerMessage::ServerListChange(change) => server_list_change(change),
        PeerMessage::ServerListRequest | PeerMessage::ServerListFetch(_) => "server list request".to_owned(),
        PeerMessage::RouterChanges(changes) => {
            format!("router changes {} and {}", changes.upsert.len(), changes.removed.len())
        }
        PeerMessage::RouterSessionsRequest => "router sessions request".to_owned(),
        PeerMessage::ForwardCall { request_id, call, .. } => format!("forward {request_id} {call:?}"),
        PeerMessage::ForwardCallOutcome { request_id, outcome } => {
            format!("forwarded {request_id} {outcome:?}")
        }
    }
}

fn consensus_message(message: &ConsensusMessage) -> String {
    match message {
        ConsensusMessage::Accept(update) => format!("accept {}", state_update(update)),
        ConsensusMessage::Promise { ballot, accepted, committed } => {
            let accepted = accepted.as_ref().map(state_update);
            format!("promise {ballot} committed {committed} accepted {accepted:?}")
        }
        ConsensusMessage::Committed(update) => format!("committed {}", state_update(update)),
        other => format!("{other:?}"),
    }
}

fn state_update(update: &StateUpdate) -> String {
    let StateUpdate { version, base, writes, .. } = update;
    format!("{} {} {base:?} {} registers", version.ballot, version.sequence, writes.len())
}

/// Describes a message from a control node to a router.
pub(super) fn watch_response(message: &WatchResponse) -> String {
    match message {
        WatchResponse::Progress { position, has_quorum, .. } => {
            format!("progress {} quorum: {has_quorum}", position.configuration)
        }
        WatchResponse::Snapshot { sequence, .. } => format!("snapshot {sequence}"),
        WatchResponse::Change { from, to, .. } => format!("change {from} to {to}"),
        WatchResponse::Evacuations(evacuations) => {
            let (partition, sequence) = (evacuations.partition.0, evacuations.sequence);
            format!("evacuations partition {partition} {sequence} {:?}", evacuations.zones)
        }
        WatchResponse::ServerList(update) => format!("server list {} {}", update.ballot, update.to),
        WatchResponse::ServerListChange(change) => server_list_change(change),
        WatchResponse::Alive => "alive".to_owned(),
        WatchResponse::ControlNodes(nodes) => format!("{} control nodes", nodes.len()),
    }
}

fn server_list_change(change: &ServerListChange) -> String {
    let ServerListChange { base, position, .. } = change;
    format!("server list {base:?} to {} {}", position.ballot, position.number)
}
