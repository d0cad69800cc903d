//! Checks of the replicated state of nodes and routers: partition values, configurations, server lists, memberships and votes.

use ivyhatch_protocol::ids::{PartitionId, ReplicaId};
use ivyhatch_protocol::peer::Membership;

use super::responses::TrackedOperation;
use super::{Invariant, Oracle};
use crate::workload::OperationKind;

/// One process of a control node or a router; a restarted process is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId {
    /// The address of the control node or router.
    pub node: u32,
    /// The number of process starts on that node so far, from 1.
    pub incarnation: u64,
}

/// The version of a server list: the reader that published the list and the reader's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerListVersion {
    /// The counter of the ballot under which the reader was elected.
    pub ballot_counter: u64,
    /// A digest of the reader's node and process, to distinguish readers with equal ballot counters.
    pub reader: u64,
    /// The number that the reader assigned to the list.
    pub number: u64,
}

impl Oracle {
    /// Records that a process has the value with this digest under this sequence number of a partition. Sequence number 0 means no
    /// value and is ignored. Checks [`Invariant::MonotonicSequence`] and [`Invariant::SingleValuePerSequence`], invariants 9 and 5 of
    /// `control-safety.md`.
    pub fn observe_value(&mut self, process: ProcessId, partition: PartitionId, sequence: u64, digest: u64) {
        if sequence == 0 {
            return;
        }
        let newest = self.sequences.entry((process, partition)).or_default();
        if sequence < *newest {
            let text = format!(
                "{process:?}: partition {} went from sequence number {newest} back to {sequence}",
                partition.0
            );
            return self.report(Invariant::MonotonicSequence, text);
        }
        *newest = sequence;
        if *self.digests.entry((partition, sequence)).or_insert(digest) != digest {
            let text = format!(
                "{process:?}: partition {} has a different value under sequence number {sequence}",
                partition.0
            );
            self.report(Invariant::SingleValuePerSequence, text);
        }
    }

    /// Records that a node or a router has a configuration revision in effect under this sequence number. Sequence number 0 means no
    /// configuration and is ignored. Checks [`Invariant::ContentIntegrity`], [`Invariant::InvalidNeverApplied`], and the parts of
    /// invariant 8 of `control-safety.md` that are [`Invariant::RejectedNeverApplied`] and [`Invariant::CompareAndSet`].
    pub fn observe_configuration(&mut self, sequence: u64, revision: u64, digest: u64) {
        if sequence == 0 || self.revision_by_sequence.get(&sequence) == Some(&revision) {
            return;
        }
        self.revision_by_sequence.insert(sequence, revision);
        if let Some((invariant, text)) = self.configuration_violation(sequence, revision, digest) {
            self.report(invariant, format!("revision {revision} is in effect: {text}"));
        }
    }

    fn configuration_violation(
        &self,
        sequence: u64,
        revision: u64,
        digest: u64,
    ) -> Option<(Invariant, String)> {
        let sender = self.operation_by_revision.get(&revision).and_then(|number| self.operations.get(number));
        let Some(TrackedOperation {
            kind: OperationKind::SetConfiguration { base, digest: sent_digest, valid, .. },
            is_rejected,
            ..
        }) = sender
        else {
            return Some((Invariant::ContentIntegrity, "no operator sent this revision".to_owned()));
        };
        let previous =
            if sequence == 1 { Some(0) } else { self.revision_by_sequence.get(&(sequence - 1)).copied() };
        if !valid {
            Some((Invariant::InvalidNeverApplied, "its configuration is invalid".to_owned()))
        } else if *is_rejected {
            Some((Invariant::RejectedNeverApplied, "its request was rejected".to_owned()))
        } else if digest != *sent_digest {
            Some((Invariant::ContentIntegrity, "its content differs from the request".to_owned()))
        } else {
            let other = previous.filter(|previous| previous != base)?;
            Some((Invariant::CompareAndSet, format!("it follows revision {other}, expected its base {base}")))
        }
    }

    /// Records that a node has a server list. Checks [`Invariant::SingleServerListPerNumber`].
    pub fn observe_server_list(&mut self, version: ServerListVersion, digest: u64) {
        if *self.server_lists.entry(version).or_insert(digest) != digest {
            self.report(
                Invariant::SingleServerListPerNumber,
                format!("two different server lists have the version {version:?}"),
            );
        }
    }

    /// Records that a node has a membership. Checks [`Invariant::SingleMembershipPerGeneration`], invariant 2 of
    /// `control-safety.md`.
    pub fn observe_membership(&mut self, membership: &Membership) {
        let generation = membership.generation;
        let known = self.memberships.entry(generation).or_insert_with(|| membership.clone());
        if known != membership {
            let text = format!("two different memberships have generation {generation}");
            return self.report(Invariant::SingleMembershipPerGeneration, text);
        }
        let Some(previous) = self.memberships.get(&generation.saturating_sub(1)) else { return };
        let new_voters =
            membership.voters.iter().filter(|voter| previous.voter(voter.replica).is_none()).count();
        if membership.previous != previous.voters || new_voters != 1 {
            let text = format!(
                "membership of generation {generation} is not the previous one with one voter replaced"
            );
            self.report(Invariant::SingleMembershipPerGeneration, text);
        }
    }

    /// Records that a replica votes under the membership of a generation. Checks [`Invariant::OnlyVotersVote`], invariant 1 of
    /// `control-safety.md`.
    pub fn observe_vote(&mut self, generation: u64, replica: ReplicaId) {
        let membership = self.memberships.get(&generation);
        if membership.is_some_and(|membership| membership.voter(replica).is_none()) {
            let text =
                format!("replica {replica} voted under generation {generation} but is not one of its voters");
            self.report(Invariant::OnlyVotersVote, text);
        }
    }
}
