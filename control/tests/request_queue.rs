//! The request queue of a partition's leader by itself: order, duplicates, shared proposals, commits, confirmations and expiry.

use googletest::prelude::*;
use ivyhatch_control::requests::request_queue::{
    Enqueued, QueuedRequest, ReadyResponse, RequestQueue, Requester, UnconfirmedResponse,
};
use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};

const EXPIRES_AT: Nanos = 1_000;

fn put(body: &str) -> AdminRequest {
    AdminRequest::Put { base: 1, body: body.as_bytes().to_vec() }
}

fn queued(requester: Requester, request: AdminRequest) -> QueuedRequest {
    QueuedRequest { requester, request, expires_at: EXPIRES_AT }
}

fn unconfirmed(requester: Requester) -> UnconfirmedResponse {
    UnconfirmedResponse { requester, response: None, expires_at: EXPIRES_AT }
}

#[gtest]
fn requests_are_returned_in_the_order_in_which_they_came() {
    let mut queue = RequestQueue::default();
    let (first, second) = (queued(Requester::Local(1), put("a")), queued(Requester::Local(2), put("b")));
    expect_that!(queue.enqueue(first.clone()), eq(Enqueued::Queued));
    expect_that!(queue.enqueue(second.clone()), eq(Enqueued::Queued));
    expect_that!(queue.next(0), some(eq(&first)));
    expect_that!(queue.next(0), some(eq(&second)));
    expect_that!(queue.next(0), none());
}

#[gtest]
fn forwarded_request_that_comes_twice_is_queued_once() {
    let mut queue = RequestQueue::default();
    let request = queued(Requester::Remote(NodeId(2), 7), put("a"));
    expect_that!(queue.enqueue(request.clone()), eq(Enqueued::Queued));
    expect_that!(queue.enqueue(request.clone()), eq(Enqueued::Duplicate));
    queue.next(0);
    queue.await_confirmation(1, unconfirmed(request.requester));
    expect_that!(queue.enqueue(request), eq(Enqueued::Duplicate));
}

#[gtest]
fn request_that_equals_the_proposal_in_flight_shares_its_response() {
    let mut queue = RequestQueue::default();
    let (first, second) = (Requester::Local(1), Requester::Remote(NodeId(2), 7));
    let response = AdminResponse::Applied { revision: 2 };
    queue.add_open_proposal(4, &put("a"), first, response.clone());
    expect_that!(queue.enqueue(queued(second, put("a"))), eq(Enqueued::JoinedProposal));
    expect_that!(queue.enqueue(queued(second, put("a"))), eq(Enqueued::JoinedProposal));
    expect_that!(queue.enqueue(queued(Requester::Local(3), put("b"))), eq(Enqueued::Queued));
    let ready = |requester| ReadyResponse { requester, response: response.clone() };
    expect_that!(queue.changes_committed(3).ready, is_empty());
    expect_that!(queue.changes_committed(4).ready, elements_are![eq(&ready(first)), eq(&ready(second))]);
    expect_that!(queue.changes_committed(4).ready, is_empty());
}

#[gtest]
fn commit_answers_all_proposals_up_to_it() {
    let mut queue = RequestQueue::default();
    let response = |revision| AdminResponse::Applied { revision };
    for number in 1..=3 {
        queue.add_open_proposal(
            number,
            &put(&number.to_string()),
            Requester::Local(number),
            response(number),
        );
    }
    let ready = |number| ReadyResponse { requester: Requester::Local(number), response: response(number) };
    expect_that!(queue.changes_committed(2).ready, elements_are![eq(&ready(1)), eq(&ready(2))]);
    expect_that!(queue.changes_committed(3).ready, elements_are![eq(&ready(3))]);
}

#[gtest]
fn response_on_a_proposed_state_waits_for_its_commit() {
    let mut queue = RequestQueue::default();
    queue.await_commit(5, unconfirmed(Requester::Local(1)));
    expect_that!(queue.changes_committed(4).unconfirmed, is_empty());
    let waiting =
        QueuedRequest { requester: Requester::Local(1), request: AdminRequest::Read, expires_at: EXPIRES_AT };
    expect_that!(queue.enqueue(waiting), eq(Enqueued::Duplicate));
    let committed = queue.changes_committed(5).unconfirmed;
    expect_that!(committed, elements_are![eq(&unconfirmed(Requester::Local(1)))]);
    queue.await_commit(6, unconfirmed(Requester::Local(2)));
    queue.expire(EXPIRES_AT);
    expect_that!(queue.changes_committed(6).unconfirmed, is_empty());
}

#[gtest]
fn reads_never_share_a_proposal() {
    let mut queue = RequestQueue::default();
    queue.add_open_proposal(1, &put("a"), Requester::Local(1), AdminResponse::Applied { revision: 2 });
    let read = queued(Requester::Local(2), AdminRequest::Read);
    expect_that!(queue.enqueue(read), eq(Enqueued::Queued));
}

#[gtest]
fn expired_request_is_not_returned() {
    let mut queue = RequestQueue::default();
    queue.enqueue(queued(Requester::Local(1), put("a")));
    let later = QueuedRequest { expires_at: EXPIRES_AT + 1, ..queued(Requester::Local(2), put("b")) };
    queue.enqueue(later.clone());
    expect_that!(queue.next(EXPIRES_AT), some(eq(&later)));
}

#[gtest]
fn cancelled_request_is_not_returned() {
    let mut queue = RequestQueue::default();
    queue.enqueue(queued(Requester::Local(1), put("a")));
    queue.cancel(1);
    expect_that!(queue.next(0), none());
}

#[gtest]
fn response_waits_for_the_confirmation_of_its_number() {
    let mut queue = RequestQueue::default();
    queue.await_confirmation(5, unconfirmed(Requester::Local(1)));
    expect_that!(queue.confirmed(4), none());
    expect_that!(queue.confirmed(5), some(eq(&unconfirmed(Requester::Local(1)))));
    expect_that!(queue.confirmed(5), none());
}

#[gtest]
fn expired_confirmations_are_dropped_and_their_numbers_returned() {
    let mut queue = RequestQueue::default();
    queue.await_confirmation(5, unconfirmed(Requester::Local(1)));
    expect_that!(queue.expire(EXPIRES_AT - 1), is_empty());
    expect_that!(queue.expire(EXPIRES_AT), elements_are![eq(&5)]);
    expect_that!(queue.confirmed(5), none());
}
