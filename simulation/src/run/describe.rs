//! Messages in a few words, for the trace.

use ivyhatch_protocol::feed::ToFollower;
use ivyhatch_protocol::peer::{ConsensusMessage, Heartbeat, Peer};

/// A message between control nodes.
pub(super) fn peer_message(message: &Peer) -> String {
    match message {
        Peer::Heartbeat(heartbeat) => {
            let Heartbeat { number, status, generation, has_quorum, .. } = heartbeat;
            format!("heartbeat {number} {status:?} generation {generation} quorum: {has_quorum}")
        }
        Peer::Consensus { generation, part, message } => {
            let message = match message {
                ConsensusMessage::Accept(value) => format!("accept {} {}", value.epoch, value.sequence),
                ConsensusMessage::Promise { epoch, accepted } => {
                    let had = accepted.as_ref().map(|had| format!("{} {}", had.epoch, had.sequence));
                    format!("promise {epoch} had {had:?}")
                }
                ConsensusMessage::Committed(value) => format!("committed {} {}", value.epoch, value.sequence),
                other => format!("{other:?}"),
            };
            format!("generation {generation} part {} {message}", part.0)
        }
        Peer::Membership(membership) => {
            let voters: Vec<String> =
                membership.voters.iter().map(|voter| voter.replica.to_string()).collect();
            format!("membership {} {voters:?}", membership.generation)
        }
        Peer::StateTransferRequest { generation, .. } => format!("state request {generation}"),
        Peer::StateTransfer { generation, .. } => format!("state of generation {generation}"),
        Peer::Forward { number, request, .. } => format!("forward {number} part {}", request.part().0),
        Peer::Forwarded { number, response } => format!("forwarded {number} {response:?}"),
        Peer::Sessions(_) => "sessions".to_owned(),
        Peer::Servers(news) => format!("servers {} {}", news.epoch, news.to),
        Peer::WantServers => "want servers".to_owned(),
    }
}

/// What a control node says to a router.
pub(super) fn follower_message(message: &ToFollower) -> String {
    match message {
        ToFollower::Heads { position, in_touch, .. } => {
            format!("heads {} in touch: {in_touch}", position.configuration)
        }
        ToFollower::Whole { sequence, .. } => format!("whole {sequence}"),
        ToFollower::Change { from, to, .. } => format!("change {from} to {to}"),
        ToFollower::Evacuations(part) => {
            format!("evacuations part {} {} {:?}", part.part.0, part.sequence, part.zones)
        }
        ToFollower::Servers(news) => format!("servers {} {}", news.epoch, news.to),
    }
}
