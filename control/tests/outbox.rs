//! The outbox by itself: messages to the node itself, and messages that wait for a write.

use googletest::prelude::*;
use ivyhatch_control::outbox::{Envelope, Outbox};
use ivyhatch_control::{Output, Record};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::PeerMessage;

const OWN: NodeId = NodeId(1);
const PEER: NodeId = NodeId(2);

fn outputs(outbox: &mut Outbox) -> Vec<Output> {
    let mut out = Vec::new();
    outbox.drain_into(&mut out);
    out
}

fn envelope(to: NodeId) -> Envelope {
    Envelope { to, message: PeerMessage::ServerListRequest }
}

#[gtest]
fn message_to_the_node_itself_is_looped_back() {
    let mut outbox = Outbox::new(OWN);
    outbox.send(envelope(OWN));
    outbox.send(envelope(PEER));
    let sent = Output::Send(PEER, PeerMessage::ServerListRequest);
    expect_that!(outputs(&mut outbox), elements_are![eq(&sent)]);
    expect_that!(outbox.next_loopback(), some(eq(&PeerMessage::ServerListRequest)));
    expect_that!(outbox.next_loopback(), none());
}

#[gtest]
fn message_that_waits_for_a_write_is_sent_once_that_write_is_durable() {
    let mut outbox = Outbox::new(OWN);
    let first = outbox.store_then_send(vec![Record::Joined(1)], [envelope(PEER)]);
    let second = outbox.store(vec![Record::Joined(2)]);
    let stores =
        [Output::Store(first, vec![Record::Joined(1)]), Output::Store(second, vec![Record::Joined(2)])];
    expect_that!(second, gt(first));
    expect_that!(outputs(&mut outbox), eq(&stores.to_vec()));
    outbox.write_completed(second);
    expect_that!(outputs(&mut outbox), is_empty());
    outbox.write_completed(first);
    outbox.write_completed(first);
    expect_that!(outputs(&mut outbox), eq(&vec![Output::Send(PEER, PeerMessage::ServerListRequest)]));
}

#[gtest]
fn message_to_several_peers_is_one_output() {
    let mut outbox = Outbox::new(OWN);
    let message = PeerMessage::ServerListRequest;
    let peers = vec![NodeId(3), PEER];
    outbox.send_to_peers(peers.clone(), message.clone());
    expect_that!(outputs(&mut outbox), elements_are![eq(&Output::SendToAll(peers, message.clone()))]);
    outbox.send_to_peers(vec![PEER], message.clone());
    expect_that!(outputs(&mut outbox), elements_are![eq(&Output::Send(PEER, message.clone()))]);
    outbox.send_to_peers(Vec::new(), message);
    expect_that!(outputs(&mut outbox), is_empty());
}
