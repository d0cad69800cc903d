//! Messages in a few words, for the trace.

use ivyhatch_protocol::peer::{ConsensusMessage, Heartbeat, PeerMessage};
use ivyhatch_protocol::watch::WatchResponse;

/// A message between control nodes.
pub(super) fn peer_message(message: &PeerMessage) -> String {
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            let Heartbeat { sequence: number, status, generation, has_quorum, .. } = heartbeat;
            format!("heartbeat {number} {status:?} generation {generation} quorum: {has_quorum}")
        }
        PeerMessage::Consensus { generation, partition: part, message } => {
            let message = match message {
                ConsensusMessage::Accept(value) => format!("accept {} {}", value.ballot, value.sequence),
                ConsensusMessage::Promise { ballot, accepted } => {
                    let had = accepted.as_ref().map(|had| format!("{} {}", had.ballot, had.sequence));
                    format!("promise {ballot} had {had:?}")
                }
                ConsensusMessage::Committed(value) => {
                    format!("committed {} {}", value.ballot, value.sequence)
                }
                other => format!("{other:?}"),
            };
            format!("generation {generation} part {} {message}", part.0)
        }
        PeerMessage::Membership(membership) => {
            let voters: Vec<String> =
                membership.voters.iter().map(|voter| voter.replica.to_string()).collect();
            format!("membership {} {voters:?}", membership.generation)
        }
        PeerMessage::StateTransferRequest { generation, .. } => format!("state request {generation}"),
        PeerMessage::StateTransfer { generation, .. } => format!("state of generation {generation}"),
        PeerMessage::ForwardRequest { request_id: number, request, .. } => {
            format!("forward {number} part {}", request.partition().0)
        }
        PeerMessage::ForwardResponse { request_id: number, response } => {
            format!("forwarded {number} {response:?}")
        }
        PeerMessage::RouterSessions(_) => "sessions".to_owned(),
        PeerMessage::ServerList(news) => format!("servers {} {}", news.ballot, news.to),
        PeerMessage::ServerListRequest => "want servers".to_owned(),
    }
}

/// What a control node says to a router.
pub(super) fn follower_message(message: &WatchResponse) -> String {
    match message {
        WatchResponse::Progress { position, has_quorum, .. } => {
            format!("heads {} in touch: {has_quorum}", position.configuration)
        }
        WatchResponse::Snapshot { sequence, .. } => format!("whole {sequence}"),
        WatchResponse::Change { from, to, .. } => format!("change {from} to {to}"),
        WatchResponse::Evacuations(part) => {
            format!("evacuations part {} {} {:?}", part.partition.0, part.sequence, part.zones)
        }
        WatchResponse::ServerList(news) => format!("servers {} {}", news.ballot, news.to),
    }
}
