//! All interleavings of one partition among its voters, to a stated depth.

use googletest::prelude::*;
use ivyhatch_simulation::search::{Budget, Core, Fault, Step, search};

#[gtest]
fn no_interleaving_breaks_a_partition_of_three() {
    // One more election, two proposals, one crash or lost disk, and the seat of a lost disk given to its successor.
    let budget = Budget { elections: 1, proposals: 2, harms: 1, replacements: 1 };
    let seen = search(Core::led(3, 0, budget), 14, usize::MAX);
    println!("{} states to a depth of {}", seen.states, seen.depth);
    expect_that!(seen.broken, none());
    expect_that!(seen.depth, eq(14));
    expect_that!(seen.states, gt(10_000));
}

#[gtest]
fn no_interleaving_breaks_the_first_election() {
    let budget = Budget { elections: 2, proposals: 1, harms: 1, replacements: 1 };
    let seen = search(Core::new(3, 0, budget), 10, usize::MAX);
    println!("{} states to a depth of {}", seen.states, seen.depth);
    expect_that!(seen.broken, none());
}

#[gtest]
fn no_interleaving_of_a_replacement_breaks_a_partition() {
    // A fourth node takes the seat of any voter, with one crash or lost disk of any node and one more election.
    let budget = Budget { elections: 1, proposals: 1, harms: 1, replacements: 1 };
    let seen = search(Core::led(3, 1, budget), 10, usize::MAX);
    println!("{} states to a depth of {}", seen.states, seen.depth);
    expect_that!(seen.broken, none());
    expect_that!(seen.depth, eq(10));
    expect_that!(seen.states, gt(10_000));
}

fn found(fault: Fault, spares: usize, depth: usize) -> Option<String> {
    let budget = Budget { elections: 1, proposals: 1, harms: 1, replacements: 1 };
    let seen = search(Core::led(3, spares, budget).with_fault(fault), depth, usize::MAX);
    let (steps, text) = seen.broken?;
    println!("{fault:?}: {text} after {steps:?}, {} states", seen.states);
    Some(text)
}

#[gtest]
fn a_vote_after_a_wipe_is_found() {
    expect_that!(found(Fault::VotesAfterWipe, 0, 14), some(anything()));
}

/// A value is committed by the first node and a second one, whose disk is lost then; its successor's seat is decided.
fn committed_and_replaced(fault: Fault, budget: Budget) -> Core {
    let mut story = Story(Core::led(3, 0, budget).with_fault(fault), None);
    story.take(Step::Propose(0));
    story.take(Step::Sync(0));
    story.accepted_by(2);
    story.take(Step::Wipe(2));
    story.take(Step::Decide(2, 2));
    story.0
}

#[gtest]
fn a_vote_before_the_state_is_held_is_found() {
    let budget = Budget { elections: 1, proposals: 1, harms: 1, replacements: 1 };
    let seen = search(committed_and_replaced(Fault::VotesBeforeState, budget), 12, usize::MAX);
    let (steps, text) = seen.broken.expect("it is found");
    println!("{text} after {steps:?}, {} states", seen.states);
}

#[gtest]
fn no_interleaving_breaks_a_partition_after_a_replacement() {
    // With one more proposal and a crash of any node.
    let budget = Budget { elections: 1, proposals: 2, harms: 2, replacements: 1 };
    let seen = search(committed_and_replaced(Fault::None, budget), 12, usize::MAX);
    println!("{} states to a depth of {}", seen.states, seen.depth);
    expect_that!(seen.broken, none());
    expect_that!(seen.states, gt(10_000));
}

/// Steps that are told one by one; a step that can't be taken is left out.
struct Story(Core, Option<String>);

impl Story {
    fn take(&mut self, step: Step) {
        if self.0.steps().contains(&step) {
            let broken = self.0.take(step);
            self.1 = self.1.take().or(broken);
        }
    }

    /// The first message between these two comes, if there is one.
    fn deliver(&mut self, from: usize, to: usize) {
        let place = self.0.messages().iter().position(|message| (message.0, message.1) == (from, to));
        if let Some(place) = place {
            self.take(Step::Deliver(place));
        }
    }

    /// A proposal of the first node's is accepted by the second, and the answer counted by the first.
    fn accepted_by(&mut self, other: usize) {
        self.deliver(0, other);
        self.take(Step::Sync(other));
        self.deliver(other, 0);
    }
}

/// The leader counts what the second member said before it lost its disk, and that member collects its state from others than the
/// leader; then it leads with members that never saw the proposal. `late` tells whether the third member accepts the proposal after
/// it has learned of the new membership, or before.
fn counts_a_former_disk(members: usize, late: bool) -> Option<String> {
    let budget = Budget { elections: 1, proposals: 1, harms: 1, replacements: 1 };
    let mut story = Story(Core::led(members, 0, budget), None);
    story.take(Step::Propose(0));
    story.take(Step::Sync(0));
    story.accepted_by(1);
    story.take(Step::Wipe(1));
    story.take(Step::Decide(1, 1));
    if !late {
        story.accepted_by(2);
    }
    for other in 1..members {
        story.take(Step::Adopt(other));
        story.take(Step::Sync(other));
    }
    // The leader is the last to hand out its state, if it is needed.
    for other in 2..members {
        story.take(Step::Collect(1, other));
    }
    if !story.0.votes(1) {
        story.take(Step::Sync(1));
    }
    if !story.0.votes(1) {
        story.take(Step::Adopt(0));
        story.take(Step::Sync(0));
        story.take(Step::Collect(1, 0));
        story.take(Step::Sync(1));
    }
    expect_true!(story.0.votes(1), "the new replica has joined");
    if late {
        story.accepted_by(2);
    }
    story.take(Step::Elect(1));
    story.take(Step::Sync(1));
    for other in (2..members).rev().chain([0]) {
        story.deliver(1, other);
        story.take(Step::Sync(other));
        story.deliver(other, 1);
    }
    expect_true!(story.0.leads(1), "the new replica leads");
    story.1
}

#[gtest]
fn in_a_group_of_three_nothing_of_a_former_life_counts() {
    expect_that!(counts_a_former_disk(3, true), none());
    expect_that!(counts_a_former_disk(3, false), none());
}

#[gtest]
fn in_a_group_of_five_nothing_of_a_former_life_counts() {
    expect_that!(counts_a_former_disk(5, true), none());
    expect_that!(counts_a_former_disk(5, false), none());
}

impl Story {
    /// A message and its answer: the receiver stores what it has promised or accepted in between.
    fn exchange(&mut self, from: usize, to: usize) {
        self.deliver(from, to);
        self.take(Step::Sync(to));
        self.deliver(to, from);
    }

    fn adopted_by_all(&mut self, members: usize) {
        for number in 0..members {
            self.take(Step::Adopt(number));
            self.take(Step::Sync(number));
        }
    }
}

/// Of five, the second leads with the promise of the fifth, and its proposal reaches nobody else. The fifth loses its disk, and the
/// first leads under a lower ballot, unless the fifth's successor knows of the promise. Then the second leads once more.
fn successor_without_promises(fault: Fault) -> Option<String> {
    let budget = Budget { elections: 3, proposals: 2, harms: 1, replacements: 1 };
    let mut story = Story(Core::led(5, 0, budget).with_fault(fault), None);
    story.take(Step::Elect(1));
    story.take(Step::Sync(1));
    story.exchange(1, 2);
    story.exchange(1, 4);
    expect_true!(story.0.leads(1));
    story.take(Step::Propose(1));
    story.take(Step::Sync(1));
    story.take(Step::Wipe(4));
    story.take(Step::Decide(4, 4));
    story.adopted_by_all(5);
    for source in [0, 3, 2] {
        story.take(Step::Collect(4, source));
    }
    story.take(Step::Sync(4));
    expect_true!(story.0.votes(4));
    story.take(Step::Elect(0));
    story.take(Step::Sync(0));
    story.exchange(0, 3);
    story.exchange(0, 4);
    expect_that!(story.0.leads(0), eq(fault == Fault::IgnoresPromises));
    story.take(Step::Propose(0));
    story.take(Step::Sync(0));
    story.exchange(0, 3);
    story.exchange(0, 4);
    story.take(Step::Elect(1));
    story.take(Step::Sync(1));
    story.exchange(1, 2);
    story.exchange(1, 3);
    expect_true!(story.0.leads(1));
    story.take(Step::Sync(1));
    story.exchange(1, 2);
    story.exchange(1, 3);
    story.1
}

#[gtest]
fn state_that_is_handed_over_without_promises_is_found() {
    let text = successor_without_promises(Fault::IgnoresPromises);
    expect_that!(text, some(contains_substring("two values")));
}

#[gtest]
fn a_successor_that_knows_of_promises_keeps_lower_epochs_out() {
    expect_that!(successor_without_promises(Fault::None), none());
}
