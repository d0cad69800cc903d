//! The steps that are enabled in a state of a search.

use super::{Cluster, Step, node_id, node_number};

/// Only this many of the first voters start elections; the other first voters are symmetric to them.
const CANDIDATES: usize = 2;

impl Cluster {
    /// All steps that are enabled now.
    pub fn enabled_steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = (0..self.messages.len()).map(Step::Deliver).collect();
        if self.budget.replacements > 0 {
            steps.extend(self.membership_decisions());
        }
        for number in 0..self.members.len() {
            self.add_consensus_steps(number, &mut steps);
            self.add_failures(number, &mut steps);
            self.add_membership_steps(number, &mut steps);
        }
        steps
    }

    /// The replacements that may be decided now: a replica that is not a voter replaces the voter of its own node, or any voter if its
    /// node has none.
    fn membership_decisions(&self) -> Vec<Step> {
        let newest = self.newest_membership();
        let is_voter = |number: usize| newest.voter(self.members[number].replica).is_some();
        let successors: Vec<usize> = (0..self.members.len()).filter(|number| !is_voter(*number)).collect();
        let replaceable: Vec<usize> =
            newest.nodes().map(node_number).filter(|number| !successors.contains(number)).collect();
        let mut steps = Vec::new();
        for successor in successors {
            if newest.nodes().any(|voter| voter == node_id(successor)) {
                steps.push(Step::DecideMembership { replaced: successor, successor });
            } else {
                let decide = |replaced: &usize| Step::DecideMembership { replaced: *replaced, successor };
                steps.extend(replaceable.iter().map(decide));
            }
        }
        steps
    }

    /// Adds the write completions, proposals and elections that are enabled at a node.
    fn add_consensus_steps(&self, number: usize, steps: &mut Vec<Step>) {
        let member = &self.members[number];
        let votes = member.votes();
        if !member.writes.is_empty() {
            steps.push(Step::CompleteWrite(number));
        }
        if votes && self.budget.proposals > 0 && member.partition.can_propose() {
            steps.push(Step::Propose(number));
        }
        let is_candidate = number < CANDIDATES || number >= self.newest_membership().voters.len();
        if votes && is_candidate && self.budget.elections > 0 && !member.partition.is_contending() {
            steps.push(Step::StartElection(number));
        }
    }

    fn add_failures(&self, number: usize, steps: &mut Vec<Step>) {
        if self.budget.failures > 0 {
            steps.push(Step::Crash(number));
            if self.lost_disk.is_none() {
                steps.push(Step::LoseDisk(number));
            }
        }
    }

    /// Adds the adoption of the newest membership by a node, and state transfers to the node if it joins that membership.
    fn add_membership_steps(&self, number: usize, steps: &mut Vec<Step>) {
        let member = &self.members[number];
        let generation = member.membership.generation;
        if generation < self.newest_membership().generation {
            steps.push(Step::AdoptMembership(number));
        }
        if member.joining_generation().is_none() || member.has_collected {
            return;
        }
        for (source, other) in self.members.iter().enumerate() {
            let same_generation = other.membership.generation == generation;
            if source != number && same_generation && other.can_transfer_state() {
                steps.push(Step::TransferState { to: number, from: source });
            }
        }
    }
}
