//! The operators' requests without a response at a node, by themselves: their delivery to the leader.

use googletest::prelude::*;
use ivyhatch_control::requests::delivery::{REQUEST_TIMEOUT, RequestLeader};
use ivyhatch_control::requests::pending_requests::{PendingRequests, Route};
use ivyhatch_control::requests::request_queue::{QueuedRequest, Requester};
use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::peer::AdminRequest;
use ivyhatch_protocol::{MILLISECOND, Nanos};

const ID: u64 = 1;
const FORWARD_ID: u64 = 77;
const LEADER: RequestLeader = RequestLeader::Remote(NodeId(2));
const FORWARD_INTERVAL: Nanos = 300 * MILLISECOND;

fn pending() -> PendingRequests {
    let mut pending = PendingRequests::default();
    pending.insert(0, ID, FORWARD_ID, AdminRequest::Read);
    pending
}

fn forward(to: u32) -> Route {
    Route::Forward { to: NodeId(to), forward_id: FORWARD_ID, request: AdminRequest::Read }
}

#[gtest]
fn request_is_forwarded_again_only_after_the_forward_interval() {
    let mut pending = pending();
    expect_that!(pending.route(0, ID, LEADER), some(eq(&forward(2))));
    expect_that!(pending.route(FORWARD_INTERVAL - 1, ID, LEADER), none());
    expect_that!(pending.route(FORWARD_INTERVAL, ID, LEADER), some(eq(&forward(2))));
}

#[gtest]
fn request_is_forwarded_at_once_to_a_new_leader() {
    let mut pending = pending();
    pending.route(0, ID, LEADER);
    expect_that!(pending.route(1, ID, RequestLeader::Remote(NodeId(3))), some(eq(&forward(3))));
}

#[gtest]
fn request_is_put_once_into_the_queue_of_this_node_until_that_is_dropped() {
    let mut pending = pending();
    let request = AdminRequest::Read;
    let queued = QueuedRequest { requester: Requester::Local(ID), request, expires_at: REQUEST_TIMEOUT };
    let enqueue = Route::Enqueue(queued);
    expect_that!(pending.route(0, ID, RequestLeader::Local), some(eq(&enqueue)));
    expect_that!(pending.route(1, ID, RequestLeader::Local), none());
    pending.requeue(PartitionId(3));
    expect_that!(pending.route(2, ID, RequestLeader::Local), none());
    pending.requeue(PartitionId::CONFIGURATION);
    expect_that!(pending.route(3, ID, RequestLeader::Local), some(eq(&enqueue)));
}

#[gtest]
fn forwarded_request_is_found_by_its_forward_id_once() {
    let mut pending = pending();
    expect_that!(pending.remove_forwarded(FORWARD_ID + 1), none());
    expect_that!(pending.remove_forwarded(FORWARD_ID), some(eq(ID)));
    expect_that!(pending.remove_forwarded(FORWARD_ID), none());
}

#[gtest]
fn request_expires_after_the_request_timeout() {
    let mut pending = pending();
    expect_that!(pending.expire(REQUEST_TIMEOUT - 1), is_empty());
    expect_that!(pending.expire(REQUEST_TIMEOUT), elements_are![eq(&ID)]);
    expect_that!(pending.partition(ID), none());
    expect_that!(pending.route(REQUEST_TIMEOUT, ID, LEADER), none());
}
