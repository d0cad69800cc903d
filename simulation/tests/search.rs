//! Tests by exhaustive search of one partition's interleavings, and by single interleavings, step by step.

use googletest::prelude::*;
use ivyhatch_simulation::search::{Budget, Cluster, Counterexample, InFlight, ProtocolBug, Step, search};

#[gtest]
fn no_interleaving_of_three_voters_violates_an_invariant() {
    // One more election, two proposals, one crash or disk loss, and the replacement of the replica whose disk was lost.
    let budget = Budget { elections: 1, proposals: 2, failures: 1, replacements: 1 };
    let result = search(Cluster::with_leader(3, 0, budget), 14, usize::MAX);
    println!("{} states to a depth of {}", result.states, result.depth);
    expect_that!(result.counterexample, none());
    expect_that!(result.depth, eq(14));
    expect_that!(result.states, gt(10_000));
}

#[gtest]
fn no_interleaving_of_the_first_election_violates_an_invariant() {
    let budget = Budget { elections: 2, proposals: 1, failures: 1, replacements: 1 };
    let result = search(Cluster::new(3, 0, budget), 10, usize::MAX);
    println!("{} states to a depth of {}", result.states, result.depth);
    expect_that!(result.counterexample, none());
}

#[gtest]
fn no_interleaving_of_a_replacement_violates_an_invariant() {
    // A fourth node may replace any voter, with one crash or disk loss of any node and one more election.
    let budget = Budget { elections: 1, proposals: 1, failures: 1, replacements: 1 };
    let result = search(Cluster::with_leader(3, 1, budget), 10, usize::MAX);
    println!("{} states to a depth of {}", result.states, result.depth);
    expect_that!(result.counterexample, none());
    expect_that!(result.depth, eq(10));
    expect_that!(result.states, gt(10_000));
}

fn violation_found(bug: ProtocolBug, spare_nodes: usize, depth: usize) -> Option<String> {
    let budget = Budget { elections: 1, proposals: 1, failures: 1, replacements: 1 };
    let result = search(Cluster::with_leader(3, spare_nodes, budget).with_bug(bug), depth, usize::MAX);
    let Counterexample { steps, violation } = result.counterexample?;
    println!("{bug:?}: {violation} after {steps:?}, {} states", result.states);
    Some(violation)
}

#[gtest]
fn vote_after_a_lost_disk_is_found() {
    expect_that!(violation_found(ProtocolBug::VotesAfterDiskLoss, 0, 14), some(anything()));
}

/// A cluster in which nodes 0 and 2 have committed a value, node 2 has then lost its disk, and the membership that makes its new
/// replica a voter is decided.
fn committed_and_replaced(bug: ProtocolBug, budget: Budget) -> Cluster {
    let mut interleaving = Interleaving::new(Cluster::with_leader(3, 0, budget).with_bug(bug));
    interleaving.apply_if_enabled(Step::Propose(0));
    interleaving.apply_if_enabled(Step::CompleteWrite(0));
    interleaving.accepted_by(2);
    interleaving.apply_if_enabled(Step::LoseDisk(2));
    interleaving.apply_if_enabled(Step::DecideMembership { replaced: 2, successor: 2 });
    interleaving.cluster
}

#[gtest]
fn vote_before_the_state_transfer_is_found() {
    let budget = Budget { elections: 1, proposals: 1, failures: 1, replacements: 1 };
    let result =
        search(committed_and_replaced(ProtocolBug::VotesBeforeStateTransfer, budget), 12, usize::MAX);
    let Counterexample { steps, violation } = result.counterexample.expect("the bug is found");
    println!("{violation} after {steps:?}, {} states", result.states);
}

#[gtest]
fn no_interleaving_after_a_replacement_violates_an_invariant() {
    // One more proposal and one more crash of any node.
    let budget = Budget { elections: 1, proposals: 2, failures: 2, replacements: 1 };
    let result = search(committed_and_replaced(ProtocolBug::None, budget), 12, usize::MAX);
    println!("{} states to a depth of {}", result.states, result.depth);
    expect_that!(result.counterexample, none());
    expect_that!(result.states, gt(10_000));
}

/// A cluster in which only nodes 0 and 2 have accepted the proposal of node 0, and node 1 has started an election.
fn accepted_by_two(bug: ProtocolBug) -> Cluster {
    let budget = Budget { elections: 1, proposals: 1, failures: 0, replacements: 0 };
    let mut interleaving = Interleaving::with_proposal_accepted_by(2, 3, budget, bug);
    interleaving.apply_if_enabled(Step::StartElection(1));
    interleaving.cluster
}

fn violation_after_acceptance(bug: ProtocolBug) -> Option<String> {
    let result = search(accepted_by_two(bug), 12, usize::MAX);
    let Counterexample { steps, violation } = result.counterexample?;
    println!("{bug:?}: {violation} after {steps:?}, {} states", result.states);
    Some(violation)
}

#[gtest]
fn register_that_a_promise_leaves_out_is_noticed_by_the_candidate() {
    let violation = violation_after_acceptance(ProtocolBug::PromiseOmitsRegister);
    expect_that!(violation, some(contains_substring("other contents than a sender")));
}

#[gtest]
fn register_that_a_digest_hides_is_found() {
    // The next leader proposes contents without the register, which differ from the committed contents.
    let violation = violation_after_acceptance(ProtocolBug::DigestHidesRegister);
    expect_that!(violation, some(contains_substring("other contents than a sender")));
    expect_that!(violation_after_acceptance(ProtocolBug::None), none());
}

/// One interleaving, applied step by step. Steps that are not enabled are skipped.
struct Interleaving {
    cluster: Cluster,
    violation: Option<String>,
}

impl Interleaving {
    fn new(cluster: Cluster) -> Self {
        Self { cluster, violation: None }
    }

    /// Node 0 is leader of `members` nodes, and has counted its own acceptance of its proposal and that of node `voter`.
    fn with_proposal_accepted_by(voter: usize, members: usize, budget: Budget, bug: ProtocolBug) -> Self {
        let mut interleaving = Self::new(Cluster::with_leader(members, 0, budget).with_bug(bug));
        interleaving.apply_if_enabled(Step::Propose(0));
        interleaving.apply_if_enabled(Step::CompleteWrite(0));
        interleaving.accepted_by(voter);
        interleaving
    }

    fn apply_if_enabled(&mut self, step: Step) {
        if self.cluster.enabled_steps().contains(&step) {
            let violation = self.cluster.apply(step);
            self.violation = self.violation.take().or(violation);
        }
    }

    /// Delivers the first message in flight from one node to the other, if there is one.
    fn deliver(&mut self, from: usize, to: usize) {
        let is_between = |message: &InFlight| (message.from, message.to) == (from, to);
        if let Some(position) = self.cluster.messages().iter().position(is_between) {
            self.apply_if_enabled(Step::Deliver(position));
        }
    }

    /// Delivers the proposal of node 0 to another node, completes that node's write, and delivers its response to node 0.
    fn accepted_by(&mut self, other: usize) {
        self.deliver(0, other);
        self.apply_if_enabled(Step::CompleteWrite(other));
        self.deliver(other, 0);
    }
}

/// When node 2 accepts the proposal: before or after it adopts the new membership.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Acceptance {
    BeforeMembership,
    AfterMembership,
}

/// Guards against counting the vote of a replica whose disk was lost. The leader, node 0, counts the acceptance of node 1, which then
/// loses its disk and collects its state from nodes other than the leader, if these suffice. Then node 1 is elected by nodes that may
/// never have received the proposal. Node 2 accepts the proposal before or after it adopts the new membership.
fn violation_by_vote_of_lost_disk(members: usize, acceptance: Acceptance) -> Option<String> {
    let budget = Budget { elections: 1, proposals: 1, failures: 1, replacements: 1 };
    let mut interleaving = Interleaving::with_proposal_accepted_by(1, members, budget, ProtocolBug::None);
    interleaving.apply_if_enabled(Step::LoseDisk(1));
    interleaving.apply_if_enabled(Step::DecideMembership { replaced: 1, successor: 1 });
    if acceptance == Acceptance::BeforeMembership {
        interleaving.accepted_by(2);
    }
    for other in 1..members {
        interleaving.apply_if_enabled(Step::AdoptMembership(other));
        interleaving.apply_if_enabled(Step::CompleteWrite(other));
    }
    // The leader transfers its state last, and only if the states of the other nodes do not suffice.
    for other in 2..members {
        interleaving.apply_if_enabled(Step::TransferState { to: 1, from: other });
    }
    if !interleaving.cluster.votes(1) {
        interleaving.apply_if_enabled(Step::CompleteWrite(1));
    }
    if !interleaving.cluster.votes(1) {
        interleaving.apply_if_enabled(Step::AdoptMembership(0));
        interleaving.apply_if_enabled(Step::CompleteWrite(0));
        interleaving.apply_if_enabled(Step::TransferState { to: 1, from: 0 });
        interleaving.apply_if_enabled(Step::CompleteWrite(1));
    }
    expect_true!(interleaving.cluster.votes(1), "the new replica has joined");
    if acceptance == Acceptance::AfterMembership {
        interleaving.accepted_by(2);
    }
    interleaving.apply_if_enabled(Step::StartElection(1));
    interleaving.apply_if_enabled(Step::CompleteWrite(1));
    for other in (2..members).rev().chain([0]) {
        interleaving.deliver(1, other);
        interleaving.apply_if_enabled(Step::CompleteWrite(other));
        interleaving.deliver(other, 1);
    }
    expect_true!(interleaving.cluster.leads(1), "the new replica leads");
    interleaving.violation
}

#[gtest]
fn vote_of_a_lost_disk_never_counts_among_three_voters() {
    expect_that!(violation_by_vote_of_lost_disk(3, Acceptance::AfterMembership), none());
    expect_that!(violation_by_vote_of_lost_disk(3, Acceptance::BeforeMembership), none());
}

#[gtest]
fn vote_of_a_lost_disk_never_counts_among_five_voters() {
    expect_that!(violation_by_vote_of_lost_disk(5, Acceptance::AfterMembership), none());
    expect_that!(violation_by_vote_of_lost_disk(5, Acceptance::BeforeMembership), none());
}

impl Interleaving {
    /// Delivers a message and its response; in between, the receiver's promise or acceptance becomes durable.
    fn exchange(&mut self, from: usize, to: usize) {
        self.deliver(from, to);
        self.apply_if_enabled(Step::CompleteWrite(to));
        self.deliver(to, from);
    }

    fn adopted_by_all(&mut self, members: usize) {
        for number in 0..members {
            self.apply_if_enabled(Step::AdoptMembership(number));
            self.apply_if_enabled(Step::CompleteWrite(number));
        }
    }
}

/// Guards against state transfers that lose promises. Among five nodes, node 1 is elected with the promise of node 4, and its proposal
/// reaches no other node. Node 4 loses its disk. Node 0 then becomes leader under a lower ballot, unless the new replica of node 4 has
/// received the promise by state transfer. Finally node 1 is elected again.
fn violation_without_promises(bug: ProtocolBug) -> Option<String> {
    let budget = Budget { elections: 3, proposals: 2, failures: 1, replacements: 1 };
    let mut interleaving = Interleaving::new(Cluster::with_leader(5, 0, budget).with_bug(bug));
    interleaving.apply_if_enabled(Step::StartElection(1));
    interleaving.apply_if_enabled(Step::CompleteWrite(1));
    interleaving.exchange(1, 2);
    interleaving.exchange(1, 4);
    expect_true!(interleaving.cluster.leads(1));
    interleaving.apply_if_enabled(Step::Propose(1));
    interleaving.apply_if_enabled(Step::CompleteWrite(1));
    interleaving.apply_if_enabled(Step::LoseDisk(4));
    interleaving.apply_if_enabled(Step::DecideMembership { replaced: 4, successor: 4 });
    interleaving.adopted_by_all(5);
    for source in [0, 3, 2] {
        interleaving.apply_if_enabled(Step::TransferState { to: 4, from: source });
    }
    interleaving.apply_if_enabled(Step::CompleteWrite(4));
    expect_true!(interleaving.cluster.votes(4));
    interleaving.apply_if_enabled(Step::StartElection(0));
    interleaving.apply_if_enabled(Step::CompleteWrite(0));
    interleaving.exchange(0, 3);
    interleaving.exchange(0, 4);
    expect_that!(interleaving.cluster.leads(0), eq(bug == ProtocolBug::IgnoresPromises));
    interleaving.apply_if_enabled(Step::Propose(0));
    interleaving.apply_if_enabled(Step::CompleteWrite(0));
    interleaving.exchange(0, 3);
    interleaving.exchange(0, 4);
    interleaving.apply_if_enabled(Step::StartElection(1));
    interleaving.apply_if_enabled(Step::CompleteWrite(1));
    interleaving.exchange(1, 2);
    interleaving.exchange(1, 3);
    expect_true!(interleaving.cluster.leads(1));
    interleaving.apply_if_enabled(Step::CompleteWrite(1));
    interleaving.exchange(1, 2);
    interleaving.exchange(1, 3);
    interleaving.violation
}

#[gtest]
fn state_transfer_without_promises_is_found() {
    let text = violation_without_promises(ProtocolBug::IgnoresPromises);
    expect_that!(text, some(contains_substring("two values")));
}

#[gtest]
fn transferred_promise_rejects_lower_ballots() {
    expect_that!(violation_without_promises(ProtocolBug::None), none());
}

/// Guards against state transfers that lose an accepted proposal. Node 0 commits a proposal with node 1 and loses its disk. Its new
/// replica collects the states of the other nodes. Of these only node 1 has the proposal, and does not know that it is committed. Then
/// node 0 is elected with node 2.
fn violation_by_state_transfer(bug: ProtocolBug) -> Option<String> {
    let budget = Budget { elections: 1, proposals: 1, failures: 1, replacements: 1 };
    let mut interleaving = Interleaving::with_proposal_accepted_by(1, 3, budget, bug);
    interleaving.apply_if_enabled(Step::LoseDisk(0));
    interleaving.apply_if_enabled(Step::DecideMembership { replaced: 0, successor: 0 });
    interleaving.adopted_by_all(3);
    for source in [1, 2] {
        interleaving.apply_if_enabled(Step::TransferState { to: 0, from: source });
    }
    interleaving.apply_if_enabled(Step::CompleteWrite(0));
    expect_true!(interleaving.cluster.votes(0));
    interleaving.apply_if_enabled(Step::StartElection(0));
    interleaving.apply_if_enabled(Step::CompleteWrite(0));
    interleaving.exchange(0, 2);
    expect_true!(interleaving.cluster.leads(0));
    interleaving.apply_if_enabled(Step::CompleteWrite(0));
    interleaving.exchange(0, 2);
    interleaving.violation
}

#[gtest]
fn snapshot_taken_between_two_accepts_is_found() {
    let violation = violation_by_state_transfer(ProtocolBug::SnapshotBetweenAccepts);
    expect_that!(violation, some(contains_substring("two values")));
    expect_that!(violation_by_state_transfer(ProtocolBug::None), none());
}
