//! Collects what one input causes: outputs in their order, messages of the node to itself, and messages that wait for a write.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::PeerMessage;

use crate::interface::{Output, WriteToken};
use crate::log_event::LogEvent;
use crate::storage::record::Record;

/// A message and its receiver, which may be the node itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: PeerMessage,
}

/// The outputs of a node, and the messages that are not on their way yet.
#[derive(Debug)]
pub struct Outbox {
    node: NodeId,
    outputs: Vec<Output>,
    loopback: VecDeque<PeerMessage>,
    last_token: WriteToken,
    sent_after_write: BTreeMap<WriteToken, Vec<Envelope>>,
    /// Records that go to the disk with the next write.
    deferred: Vec<Record>,
}

impl Outbox {
    /// An empty outbox of a node.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            outputs: Vec::new(),
            loopback: VecDeque::new(),
            last_token: 0,
            sent_after_write: BTreeMap::new(),
            deferred: Vec::new(),
        }
    }

    /// Appends an output.
    pub fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Appends a line for the log.
    pub fn log(&mut self, event: LogEvent) {
        self.push(Output::Log(event));
    }

    /// Sends a message; one to the node itself is returned by [`Outbox::next_loopback`].
    pub fn send(&mut self, envelope: Envelope) {
        if envelope.to == self.node {
            self.loopback.push_back(envelope.message);
        } else {
            self.send_to_peer(envelope.to, envelope.message);
        }
    }

    /// Sends a message to another node.
    pub fn send_to_peer(&mut self, to: NodeId, message: PeerMessage) {
        self.push(Output::Send(to, message));
    }

    /// Sends a message to each of these other nodes.
    pub fn send_to_peers(&mut self, peers: Vec<NodeId>, message: PeerMessage) {
        match peers[..] {
            [] => {}
            [peer] => self.send_to_peer(peer, message),
            _ => self.push(Output::SendToAll(peers, message)),
        }
    }

    /// Stores records. No message may speak of them before they are durable.
    pub fn store(&mut self, records: Vec<Record>) -> WriteToken {
        self.store_then_send(records, None)
    }

    /// Stores a record that no message waits for, with the next write: it costs no sync of its own. The order of records stays.
    pub fn store_deferred(&mut self, record: Record) {
        self.deferred.push(record);
    }

    /// Stores the deferred records, if there are any.
    pub fn flush_deferred(&mut self) {
        if !self.deferred.is_empty() {
            self.store(Vec::new());
        }
    }

    /// Stores records, and sends a message once they and all earlier ones are durable.
    pub fn store_then_send(
        &mut self,
        mut records: Vec<Record>,
        envelopes: impl IntoIterator<Item = Envelope>,
    ) -> WriteToken {
        self.last_token += 1;
        self.sent_after_write.insert(self.last_token, envelopes.into_iter().collect());
        if !self.deferred.is_empty() {
            let deferred = std::mem::take(&mut self.deferred);
            records.splice(..0, deferred);
        }
        self.push(Output::Store(self.last_token, records));
        self.last_token
    }

    /// A write is durable: what has waited for it is sent.
    pub fn write_completed(&mut self, token: WriteToken) {
        for envelope in self.sent_after_write.remove(&token).unwrap_or_default() {
            self.send(envelope);
        }
    }

    /// The oldest message of the node to itself that has not been handled.
    pub fn next_loopback(&mut self) -> Option<PeerMessage> {
        self.loopback.pop_front()
    }

    /// Moves the outputs behind those that are there.
    pub fn drain_into(&mut self, out: &mut Vec<Output>) {
        out.append(&mut self.outputs);
    }
}
