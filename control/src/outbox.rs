//! Collects the effects of one input: outputs in order, messages of the node to itself, and messages that wait for a write.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::PeerMessage;

use crate::interface::{Output, WriteToken};
use crate::log_event::LogEvent;
use crate::storage::record::Record;

/// A message and its receiver, which may be the node itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The receiving node, which may be the sender.
    pub to: NodeId,
    /// The content that the receiver handles.
    pub message: PeerMessage,
}

/// The outputs of a node, and its messages that are not sent or handled yet.
#[derive(Debug)]
pub struct Outbox {
    node: NodeId,
    outputs: Vec<Output>,
    loopback: VecDeque<PeerMessage>,
    last_token: WriteToken,
    waiting_for_write: BTreeMap<WriteToken, Vec<Envelope>>,
    /// Records that are stored with the next write.
    deferred: Vec<Record>,
}

impl Outbox {
    /// Creates an empty outbox for a node.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            outputs: Vec::new(),
            loopback: VecDeque::new(),
            last_token: 0,
            waiting_for_write: BTreeMap::new(),
            deferred: Vec::new(),
        }
    }

    /// Appends an output.
    pub fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Appends an event to be logged.
    pub fn log(&mut self, event: LogEvent) {
        self.push(Output::Log(event));
    }

    /// Sends a message. A message to the node itself is returned by [`Outbox::next_loopback`] instead.
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

    /// Sends a message to several other nodes, as one output.
    pub fn send_to_peers(&mut self, peers: Vec<NodeId>, message: PeerMessage) {
        match peers[..] {
            [] => {}
            [peer] => self.send_to_peer(peer, message),
            _ => self.push(Output::SendToAll(peers, message)),
        }
    }

    /// Stores records. No message that depends on these records may be sent before the write is durable. Returns the token of the write.
    pub fn store(&mut self, records: Vec<Record>) -> WriteToken {
        self.store_then_send(records, None)
    }

    /// Stores a record with the next write, so that the record costs no sync of its own. No message may depend on the record. The order of
    /// records is kept.
    pub fn store_deferred(&mut self, record: Record) {
        self.deferred.push(record);
    }

    /// Stores the deferred records, if there are any.
    pub fn flush_deferred(&mut self) {
        if !self.deferred.is_empty() {
            self.store(Vec::new());
        }
    }

    /// Stores records, and sends messages once these and all earlier records are durable. Returns the token of the write.
    pub fn store_then_send(
        &mut self,
        mut records: Vec<Record>,
        envelopes: impl IntoIterator<Item = Envelope>,
    ) -> WriteToken {
        self.last_token += 1;
        self.waiting_for_write.insert(self.last_token, envelopes.into_iter().collect());
        if !self.deferred.is_empty() {
            let deferred = std::mem::take(&mut self.deferred);
            records.splice(..0, deferred);
        }
        self.push(Output::Store(self.last_token, records));
        self.last_token
    }

    /// Sends the messages that waited for a write, which is durable now.
    pub fn write_completed(&mut self, token: WriteToken) {
        for envelope in self.waiting_for_write.remove(&token).unwrap_or_default() {
            self.send(envelope);
        }
    }

    /// Removes and returns the oldest message of the node to itself.
    pub fn next_loopback(&mut self) -> Option<PeerMessage> {
        self.loopback.pop_front()
    }

    /// Moves all outputs to the end of `out`.
    pub fn drain_into(&mut self, out: &mut Vec<Output>) {
        out.append(&mut self.outputs);
    }
}
