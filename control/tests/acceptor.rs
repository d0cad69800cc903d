//! The acceptor of one replica: accepted and committed contents, in every order in which updates arrive.

use googletest::prelude::*;
use ivyhatch_control::consensus::acceptor::{AcceptOutcome, Acceptor, CommitOutcome, LearnOutcome};
use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::registers::{
    RegisterKey, RegisterValue, RegisterWrite, StateUpdate, UpdateBase, Version, register_digest,
    writes_digest,
};

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: NodeId(1), incarnation: 1 }
}

fn key(name: &str) -> RegisterKey {
    RegisterKey::Zone(name.to_owned())
}

fn value(value: u8) -> Option<RegisterValue> {
    Some(vec![value].into())
}

/// The leader's replica after these changes under the first ballot, of which the first `committed` ones are committed.
fn leader(changes: &[(&str, Option<u8>)], committed: u64) -> Acceptor {
    let mut leader = Acceptor::default();
    for (name, byte) in changes {
        let update = leader.next_change(ballot(1), vec![(key(name), byte.and_then(value))]);
        assert_eq!(leader.accept(&update), AcceptOutcome::Accepted);
    }
    for sequence in 1..=committed {
        let version = Version { ballot: ballot(1), sequence };
        assert_eq!(leader.commit(version), CommitOutcome::Committed);
    }
    leader
}

fn names(acceptor: &Acceptor) -> Vec<String> {
    let name = |key: &RegisterKey| match key {
        RegisterKey::Zone(name) => name.clone(),
        other => format!("{other:?}"),
    };
    acceptor.registers().values().map(|(key, _)| name(key)).collect()
}

#[gtest]
fn catch_up_update_leads_to_the_same_contents_from_any_earlier_commit() {
    let changes = [("a", Some(1)), ("b", Some(2)), ("a", Some(3)), ("b", None), ("c", Some(5))];
    for committed_at_leader in 0..=5 {
        let leader = leader(&changes, committed_at_leader);
        for known in 0..=5 {
            let mut follower = self::leader(&changes[..known as usize], known);
            let mut update = leader.accepted_update(Some(known));
            update.version.ballot = ballot(2);
            expect_that!(follower.accept(&update), eq(AcceptOutcome::Accepted));
            if known < 5 {
                expect_that!(follower.commit(update.version), eq(CommitOutcome::Committed));
            }
            expect_that!(names(&follower), elements_are![eq("a"), eq("c")]);
            expect_that!(follower.registers().digest(), eq(update.digest));
        }
    }
}

#[gtest]
fn update_of_a_later_ballot_replaces_what_was_not_committed() {
    let mut follower = leader(&[("a", Some(1)), ("b", Some(2)), ("c", Some(3))], 1);
    let mut other = leader(&[("a", Some(1))], 1);
    let update = other.next_change(ballot(2), vec![(key("d"), value(4))]);
    expect_that!(follower.accept(&update), eq(AcceptOutcome::Accepted));
    expect_that!(other.accept(&update), eq(AcceptOutcome::Accepted));
    expect_that!(follower.commit(update.version), eq(CommitOutcome::Committed));
    expect_that!(names(&follower), elements_are![eq("a"), eq("d")]);
}

#[gtest]
fn learned_contents_drop_what_was_accepted_under_a_lower_ballot() {
    let mut follower = leader(&[("a", Some(1)), ("b", Some(2))], 1);
    let mut other = leader(&[("a", Some(1))], 1);
    let update = other.next_change(ballot(2), vec![(key("d"), value(4))]);
    expect_that!(other.accept(&update), eq(AcceptOutcome::Accepted));
    expect_that!(other.commit(update.version), eq(CommitOutcome::Committed));
    expect_that!(follower.learn(&other.committed_update(Some(1))), eq(LearnOutcome::Learned));
    expect_that!(names(&follower), elements_are![eq("a"), eq("d")]);
    expect_that!(follower.accepted(), eq(update.version));
    expect_that!(follower.promised(), eq(ballot(2)));
}

#[gtest]
fn learned_contents_keep_what_was_accepted_after_them() {
    let changes = [("a", Some(1)), ("b", Some(2)), ("c", Some(3))];
    let mut follower = leader(&changes, 0);
    let leader = leader(&changes, 2);
    expect_that!(follower.learn(&leader.committed_update(Some(0))), eq(LearnOutcome::Learned));
    expect_that!(follower, eq(&leader));
}

#[gtest]
fn update_without_its_base_or_with_another_digest_changes_nothing() {
    let leader = leader(&[("a", Some(1)), ("b", Some(2)), ("c", Some(3))], 3);
    let mut follower = self::leader(&[("a", Some(1))], 1);
    let before = follower.clone();
    let later = leader.committed_update(Some(2));
    expect_that!(follower.learn(&later), eq(LearnOutcome::Behind));
    let mut accepted = leader.accepted_update(Some(2));
    accepted.version.ballot = ballot(2);
    expect_that!(follower.accept(&accepted), eq(AcceptOutcome::Behind));
    let mut incomplete = leader.committed_update(Some(1));
    incomplete.writes.pop();
    expect_that!(follower.learn(&incomplete), eq(LearnOutcome::Diverged));
    incomplete.version.ballot = ballot(2);
    expect_that!(follower.accept(&incomplete), eq(AcceptOutcome::Diverged));
    expect_that!(follower, eq(&before));
}

#[gtest]
fn whole_contents_replace_diverged_ones() {
    let leader = leader(&[("a", Some(1)), ("b", Some(2))], 2);
    let mut follower = self::leader(&[("x", Some(9))], 1);
    let update = leader.committed_update(None);
    expect_that!(update.base, eq(UpdateBase::Empty));
    expect_that!(follower.learn(&update), eq(LearnOutcome::Learned));
    expect_that!(names(&follower), elements_are![eq("a"), eq("b")]);
    expect_that!(follower.registers().digest(), eq(leader.registers().digest()));
}

#[gtest]
fn receiver_that_may_have_forgotten_registers_gets_whole_contents() {
    let removals: Vec<String> = (0..1100).map(|number| format!("z{number}")).collect();
    let mut leader = Acceptor::default();
    let set = removals.iter().map(|name| (key(name), value(1))).collect();
    let update = leader.next_change(ballot(1), set);
    expect_that!(leader.accept(&update), eq(AcceptOutcome::Accepted));
    for name in &removals {
        let update = leader.next_change(ballot(1), vec![(key(name), None)]);
        expect_that!(leader.accept(&update), eq(AcceptOutcome::Accepted));
        expect_that!(leader.commit(update.version), any![eq(CommitOutcome::Committed)]);
    }
    expect_that!(leader.committed_update(Some(1)).base, eq(UpdateBase::Empty));
    expect_that!(leader.committed_update(Some(1000)).base, eq(UpdateBase::Since(1000)));
}

#[gtest]
fn outdated_update_is_not_accepted() {
    let mut follower = leader(&[("a", Some(1)), ("b", Some(2))], 2);
    let update = StateUpdate {
        version: Version { ballot: ballot(3), sequence: 1 },
        base: UpdateBase::Empty,
        writes: Vec::new(),
        digest: 0,
    };
    expect_that!(follower.accept(&update), eq(AcceptOutcome::Outdated));
}

#[gtest]
fn digest_is_the_sum_over_the_registers() {
    let leader = leader(&[("a", Some(1)), ("b", Some(2)), ("a", Some(3))], 3);
    let expected = register_digest(&key("a"), &[3]).wrapping_add(register_digest(&key("b"), &[2]));
    expect_that!(leader.registers().digest(), eq(expected));
}

/// The leader's committed contents split into other registers, with the same sequence number under a later ballot.
fn in_other_registers(leader: &Acceptor) -> StateUpdate {
    let sequence = leader.committed().sequence;
    let writes: Vec<RegisterWrite> = [("a", 1), ("x", 2)]
        .map(|(name, byte)| RegisterWrite { key: key(name), sequence, value: value(byte) })
        .into();
    let digest = writes_digest(&writes);
    let version = Version { ballot: ballot(2), sequence };
    StateUpdate { version, base: UpdateBase::Empty, writes, digest }
}

#[gtest]
fn committed_contents_that_are_proposed_again_in_other_registers_are_taken_over() {
    let mut follower = leader(&[("a", Some(1)), ("b", Some(2))], 2);
    let update = in_other_registers(&follower);
    expect_that!(follower.accept(&update), eq(AcceptOutcome::Accepted));
    expect_that!(names(&follower), elements_are![eq("a"), eq("x")]);
    // The replica can propose these contents again itself, and then propose further changes.
    let mut again = follower.accepted_update(Some(2));
    again.version.ballot = ballot(3);
    expect_that!(follower.accept(&again), eq(AcceptOutcome::Accepted));
    let next = follower.next_change(ballot(3), vec![(key("c"), value(3))]);
    expect_that!(follower.accept(&next), eq(AcceptOutcome::Accepted));
    let whole = follower.accepted_update(None);
    expect_that!(whole.digest, eq(writes_digest(&whole.writes)));
}
