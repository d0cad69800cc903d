//! The judge by itself: each rule is broken once, and what is proper is let pass.

use std::collections::BTreeSet;

use googletest::prelude::*;
use ivyhatch_protocol::SECOND;
use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse, Membership, Voter};
use ivyhatch_simulation::Invariant;
use ivyhatch_simulation::demand::{Demand, Kind, Operators, digest};
use ivyhatch_simulation::oracle::{FollowerView, Oracle};
use ivyhatch_simulation::plan::Undertaking;

const WHO: (u32, u64) = (1, 1);

fn set(base: u64, revision: u64, valid: bool) -> Demand {
    let kind = Kind::Set { base, revision, digest: revision, valid };
    Demand { order: AdminRequest::Put { base, body: Vec::new() }, kind }
}

fn taken(revision: u64) -> AdminResponse {
    AdminResponse::Applied { revision }
}

fn rule(oracle: &Oracle) -> Option<Invariant> {
    oracle.violation().map(|violation| violation.invariant)
}

/// Two versions, the first acknowledged and in force.
fn begun() -> Oracle {
    let mut oracle = Oracle::default();
    oracle.time(SECOND);
    oracle.began(1, &set(0, 5, true));
    oracle.in_force(1, 5, 5);
    oracle.answered(1, &taken(5));
    oracle
}

fn view(revision: u64, evacuated: bool, in_touch: bool) -> FollowerView {
    FollowerView { number: 0, revision, evacuated: vec![evacuated; 3], in_touch }
}

#[gtest]
fn what_is_proper_is_let_pass() {
    let mut oracle = begun();
    oracle.began(2, &set(5, 7, true));
    oracle.began(3, &set(5, 8, true));
    oracle.seen(WHO, PartitionId::CONFIGURATION, 1, 5);
    oracle.answered(2, &taken(7));
    oracle.answered(3, &AdminResponse::Conflict { revision: 7 });
    oracle.seen(WHO, PartitionId::CONFIGURATION, 2, 7);
    oracle.in_force(2, 7, 7);
    oracle.end(&BTreeSet::from([vec![2]]), &BTreeSet::from([vec![7, 2]]), true);
    expect_that!(oracle.violation(), none());
    expect_that!(oracle.taken(), eq(2));
}

#[gtest]
fn two_winners_on_one_version() {
    let mut oracle = begun();
    for (number, revision) in [(2, 7), (3, 8)] {
        oracle.began(number, &set(5, revision, true));
        oracle.answered(number, &taken(revision));
    }
    expect_that!(rule(&oracle), some(eq(Invariant::OneWinner)));
    let mut unseen = begun();
    unseen.began(2, &set(0, 7, true));
    unseen.in_force(2, 7, 7);
    expect_that!(rule(&unseen), some(eq(Invariant::OneWinner)));
}

#[gtest]
fn refused_and_invalid_ones_in_force() {
    let mut before = begun();
    before.began(2, &set(5, 7, true));
    before.answered(2, &AdminResponse::Conflict { revision: 5 });
    before.in_force(2, 7, 7);
    expect_that!(rule(&before), some(eq(Invariant::RefusedStaysOut)));
    let mut after = begun();
    after.began(2, &set(5, 7, true));
    after.in_force(2, 7, 7);
    after.answered(2, &AdminResponse::Invalid(String::new()));
    expect_that!(rule(&after), some(eq(Invariant::RefusedStaysOut)));
    let mut invalid = begun();
    invalid.began(2, &set(5, 7, false));
    invalid.answered(2, &taken(7));
    expect_that!(rule(&invalid), some(eq(Invariant::InvalidStaysOut)));
    let mut silent = begun();
    silent.began(2, &set(5, 7, false));
    silent.in_force(2, 7, 7);
    expect_that!(rule(&silent), some(eq(Invariant::InvalidStaysOut)));
}

#[gtest]
fn what_nobody_sent_and_what_was_altered() {
    let mut unsent = begun();
    unsent.in_force(2, 9, 9);
    expect_that!(rule(&unsent), some(eq(Invariant::AsSent)));
    let mut altered = begun();
    altered.began(2, &set(5, 7, true));
    altered.in_force(2, 7, 99);
    expect_that!(rule(&altered), some(eq(Invariant::AsSent)));
}

#[gtest]
fn two_values_under_one_number_and_a_way_back() {
    let mut oracle = begun();
    oracle.seen(WHO, PartitionId(3), 4, 1);
    oracle.seen((2, 1), PartitionId(3), 4, 2);
    expect_that!(rule(&oracle), some(eq(Invariant::OneValueANumber)));
    let mut back = begun();
    back.seen(WHO, PartitionId(3), 4, 1);
    // Another life may begin anew.
    back.seen((1, 2), PartitionId(3), 3, 1);
    expect_that!(back.violation(), none());
    back.seen(WHO, PartitionId(3), 3, 1);
    expect_that!(rule(&back), some(eq(Invariant::NoWayBack)));
    let mut lists = begun();
    lists.list((1, 2, 3), 4);
    lists.list((1, 2, 3), 5);
    expect_that!(rule(&lists), some(eq(Invariant::OneListANumber)));
}

#[gtest]
fn a_read_is_no_older_than_what_was_acknowledged_before_it() {
    let read = Demand { order: AdminRequest::Read, kind: Kind::Read };
    let document = |revision: u64| AdminResponse::Document(format!(r#"{{"revision":{revision}}}"#));
    let mut oracle = begun();
    oracle.began(2, &read);
    oracle.began(3, &set(5, 7, true));
    oracle.answered(3, &taken(7));
    oracle.answered(2, &document(5));
    expect_that!(oracle.violation(), none());
    oracle.began(4, &read);
    oracle.answered(4, &document(5));
    expect_that!(rule(&oracle), some(eq(Invariant::FreshRead)));
    let mut nothing = begun();
    nothing.began(2, &read);
    nothing.answered(2, &AdminResponse::NotConfigured);
    expect_that!(rule(&nothing), some(eq(Invariant::FreshRead)));
}

#[gtest]
fn followers_in_touch_have_it_in_time() {
    let mut oracle = begun();
    oracle.time(4 * SECOND);
    oracle.sample(&[view(0, false, false), view(5, false, true)], None);
    expect_that!(oracle.violation(), none());
    oracle.sample(&[view(0, false, true)], None);
    expect_that!(rule(&oracle), some(eq(Invariant::ConfiguredInTime)));

    let evacuate = |active| Demand {
        order: AdminRequest::Evacuate { zone: "zone-1".to_owned(), active, change_count: 0 },
        kind: Kind::Evacuate { zone: 1, active },
    };
    let mut oracle = begun();
    oracle.began(2, &evacuate(true));
    oracle.answered(2, &taken(0));
    oracle.time(6 * SECOND);
    oracle.sample(&[view(5, false, true)], None);
    expect_that!(oracle.violation(), none());
    oracle.time(6 * SECOND + 1);
    // Once it is being taken back either may be in force.
    oracle.sample(&[view(5, true, true)], None);
    oracle.began(3, &evacuate(false));
    oracle.sample(&[view(5, false, true)], None);
    expect_that!(oracle.violation(), none());
    oracle.answered(3, &taken(0));
    oracle.time(12 * SECOND);
    oracle.sample(&[view(5, true, true)], None);
    expect_that!(rule(&oracle), some(eq(Invariant::EvacuatedInTime)));
}

#[gtest]
fn orders_are_answered_in_time_while_the_core_is_stable() {
    let mut oracle = begun();
    oracle.began(2, &set(5, 7, true));
    expect_that!(oracle.answered(2, &AdminResponse::Unavailable(String::new())), eq(false));
    oracle.time(20 * SECOND);
    oracle.sample(&[], None);
    oracle.sample(&[], Some(16 * SECOND));
    expect_that!(oracle.violation(), none());
    oracle.sample(&[], Some(14 * SECOND));
    expect_that!(rule(&oracle), some(eq(Invariant::AcknowledgedInTime)));
}

#[gtest]
fn at_the_end_all_are_alike_and_nothing_is_lost() {
    let end = |places: &[u64], in_force: &[&[u64]], reader| {
        let mut oracle = begun();
        let places = places.iter().map(|place| vec![*place]).collect();
        oracle.end(&places, &in_force.iter().map(|one| one.to_vec()).collect(), reader);
        rule(&oracle)
    };
    expect_that!(end(&[1], &[&[5, 1]], true), none());
    expect_that!(end(&[1, 2], &[&[5, 1]], true), some(eq(Invariant::Converges)));
    expect_that!(end(&[1], &[&[5, 1], &[4, 1]], true), some(eq(Invariant::Converges)));
    expect_that!(end(&[1], &[&[5, 1]], false), some(eq(Invariant::Converges)));
    expect_that!(end(&[0], &[&[0, 0]], true), some(eq(Invariant::NothingLost)));
    let mut unseen = begun();
    unseen.began(2, &set(5, 7, true));
    unseen.answered(2, &taken(7));
    unseen.end(&BTreeSet::from([vec![1]]), &BTreeSet::from([vec![5, 1]]), true);
    expect_that!(rule(&unseen), some(eq(Invariant::NothingLost)));
}

#[gtest]
fn orders_are_proper_and_their_content_follows_from_the_version() {
    let mut operators = Operators::default();
    let put = operators.demand(Undertaking::Put, 3);
    let AdminRequest::Put { base: 0, body } = &put.order else { panic!("{put:?}") };
    let document = Document::parse(body).expect("it reads");
    expect_that!(document.validate(0), ok(anything()));
    let Kind::Set { revision: 3, digest: sent, .. } = put.kind else { panic!("{put:?}") };
    expect_that!(digest(&document), eq(sent));
    operators.heard(3);
    let patch = operators.demand(Undertaking::Patch, 2);
    let AdminRequest::Patch { base: 3, body } = &patch.order else { panic!("{patch:?}") };
    let change = ivyhatch_protocol::configuration::Change::parse(body).expect("it reads");
    let Kind::Set { digest: sent, .. } = patch.kind else { panic!("{patch:?}") };
    expect_that!(digest(&document.with_change(&change)), eq(sent));
    let invalid = operators.demand(Undertaking::Invalid, 1);
    let AdminRequest::Put { body, .. } = &invalid.order else { panic!("{invalid:?}") };
    expect_that!(Document::parse(body).expect("it reads").validate(3), err(anything()));
}

fn replica(node: u32, disk: u64) -> ReplicaId {
    ReplicaId { node: NodeId(node), disk }
}

fn first_membership() -> Membership {
    let voter = |node| Voter { replica: replica(node, 1), zone: String::new(), joined_generation: 1 };
    Membership { generation: 1, voters: (1..=3).map(voter).collect(), previous: Vec::new() }
}

#[gtest]
fn one_generation_is_one_membership() {
    let mut oracle = Oracle::default();
    let first = first_membership();
    oracle.membership(&first);
    oracle.membership(&first.with_replacement(replica(3, 1), replica(4, 1), ""));
    expect_that!(oracle.violation(), none());
    oracle.membership(&first.with_replacement(replica(2, 1), replica(4, 1), ""));
    expect_that!(rule(&oracle), some(eq(Invariant::OneMembershipAGeneration)));
}

#[gtest]
fn a_generation_follows_on_the_one_before() {
    let mut oracle = Oracle::default();
    let first = first_membership();
    oracle.membership(&first);
    let mut two_at_once = first.with_replacement(replica(3, 1), replica(4, 1), "");
    two_at_once.voters[0].replica = replica(1, 2);
    oracle.membership(&two_at_once);
    expect_that!(rule(&oracle), some(eq(Invariant::OneMembershipAGeneration)));
}

#[gtest]
fn only_voters_vote() {
    let mut oracle = Oracle::default();
    let first = first_membership();
    oracle.membership(&first);
    oracle.membership(&first.with_replacement(replica(3, 1), replica(3, 2), ""));
    oracle.vote(1, replica(3, 1));
    oracle.vote(2, replica(3, 2));
    expect_that!(oracle.violation(), none());
    oracle.vote(2, replica(3, 1));
    expect_that!(rule(&oracle), some(eq(Invariant::OnlyVotersVote)));
}

#[gtest]
fn what_was_taken_is_not_refused_when_it_is_sent_again() {
    let mut oracle = begun();
    oracle.began(2, &set(5, 7, true));
    oracle.answer_lost(2, &taken(7));
    expect_that!(oracle.violation(), none());
    oracle.answered(2, &AdminResponse::Conflict { revision: 9 });
    expect_that!(rule(&oracle), some(eq(Invariant::TakenStaysTaken)));
    let mut invalid = begun();
    invalid.began(2, &set(5, 7, true));
    invalid.answer_lost(2, &taken(7));
    invalid.answered(2, &AdminResponse::Invalid(String::new()));
    expect_that!(rule(&invalid), some(eq(Invariant::TakenStaysTaken)));
    let mut again = begun();
    again.began(2, &set(5, 7, true));
    again.answer_lost(2, &taken(7));
    again.in_force(2, 7, 7);
    again.answered(2, &taken(7));
    expect_that!(again.violation(), none());
    let mut refused = begun();
    refused.began(2, &set(4, 7, true));
    refused.answer_lost(2, &AdminResponse::Conflict { revision: 5 });
    refused.answered(2, &AdminResponse::Conflict { revision: 5 });
    expect_that!(refused.violation(), none());
}

#[gtest]
fn an_answer_that_was_lost_binds_as_one_that_was_heard() {
    let mut winners = begun();
    winners.began(2, &set(5, 7, true));
    winners.began(3, &set(5, 8, true));
    winners.answer_lost(2, &taken(7));
    winners.answered(3, &taken(8));
    expect_that!(rule(&winners), some(eq(Invariant::OneWinner)));
    let mut lost = begun();
    lost.began(2, &set(5, 7, true));
    lost.answer_lost(2, &taken(7));
    lost.end(&BTreeSet::from([vec![1]]), &BTreeSet::from([vec![5, 1]]), true);
    expect_that!(rule(&lost), some(eq(Invariant::NothingLost)));
}

#[gtest]
fn after_a_lost_answer_an_order_has_its_time_anew() {
    let mut oracle = begun();
    oracle.began(2, &set(5, 7, true));
    oracle.time(4 * SECOND);
    oracle.answer_lost(2, &taken(7));
    oracle.time(9 * SECOND);
    oracle.sample(&[], Some(0));
    expect_that!(oracle.violation(), none());
    oracle.time(9 * SECOND + 1);
    oracle.sample(&[], Some(0));
    expect_that!(rule(&oracle), some(eq(Invariant::AcknowledgedInTime)));
}
