//! How the membership begins and changes, and how a replica becomes a voter, learns that it is none any longer, and leaves.

use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{
    AcceptedValue, AcceptorState, Heartbeat, Membership, PeerMessage, ReplicaStatus, Voter,
};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use speedy::{Readable, Writable};

use crate::Record;
use crate::control_plane::ControlPlane;
use crate::heartbeats::{ASK_AGAIN, HEARTBEAT_INTERVAL};
use crate::interface::Output;
use crate::log_event::LogEvent;
use crate::membership::{self, Candidate, VoterHealth};
use crate::partition::PartitionReplica;
use crate::state_transfer::StateCollector;

/// The founder waits for so long after its start, so that all who start with it are voters.
const BOOTSTRAP_DELAY: Nanos = 1500 * MILLISECOND;
/// A voter that nobody has heard for so long gives its seat to a successor in its zone, if there is one.
const SILENT_AFTER: Nanos = 2 * SECOND;
/// A node that is leaving stays for so long at least, so that others lead before it is gone.
const HAND_OVER: Nanos = 2 * HEARTBEAT_INTERVAL;
/// The first generation.
const FIRST_GENERATION: u64 = 1;

impl ControlPlane {
    /// The newest membership's number that is known here; 0 for none.
    pub(crate) fn generation(&self) -> u64 {
        self.membership.as_ref().map_or(0, |membership| membership.generation)
    }

    pub(crate) fn votes(&self) -> bool {
        self.status == ReplicaStatus::Voter
    }

    /// Whether this replica holds the state with which this voter may vote. Those of the first generation begin with nothing, as
    /// nothing had been decided before.
    fn holds_state_of(&self, voter: &Voter) -> bool {
        voter.joined_generation == FIRST_GENERATION || self.joined == Some(voter.joined_generation)
    }

    /// Where this replica stands towards the newest membership that is known here.
    pub(crate) fn status_in_membership(&self) -> ReplicaStatus {
        let Some(membership) = &self.membership else { return ReplicaStatus::Uninitialized };
        let Some(replica) = self.replica else { return ReplicaStatus::Learner };
        if let Some(voter) = membership.voter(replica) {
            let holds_state = self.holds_state_of(voter);
            return if holds_state { ReplicaStatus::Voter } else { ReplicaStatus::Learner };
        }
        let was_voter = membership.previous_voter(replica).is_some_and(|voter| self.holds_state_of(voter));
        if was_voter { ReplicaStatus::Removed } else { ReplicaStatus::Learner }
    }

    /// The one place at which the replica's status changes.
    fn set_status(&mut self, status: ReplicaStatus, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.status, status) != status {
            let generation = self.generation();
            out.push(Output::Log(LogEvent::ReplicaStatus { status, generation }));
        }
    }

    /// Tells the partitions who votes.
    pub(crate) fn set_voters(&mut self, out: &mut Vec<Output>) {
        let nodes: Vec<NodeId> = self.membership.iter().flat_map(Membership::nodes).collect();
        for part in PartitionId::all() {
            let mut effects = Vec::new();
            let partition = self.partitions.get_mut(&part);
            partition.into_iter().for_each(|partition| partition.set_voters(&nodes, &mut effects));
            self.carry_out(part, effects, out);
        }
        self.membership_partition.set_voters(&nodes, &mut Vec::new());
    }

    /// Takes a membership that has been decided, if it is newer. From here on nothing counts that was sent under an older one.
    pub(crate) fn adopt(&mut self, membership: Membership, out: &mut Vec<Output>) {
        if membership.generation <= self.generation() {
            return;
        }
        let voters = membership.voters.iter().map(|voter| voter.replica).collect();
        out.push(Output::Log(LogEvent::Membership { generation: membership.generation, voters }));
        let is_first = membership.generation == FIRST_GENERATION;
        self.membership = Some(membership.clone());
        let write = self.store(vec![Record::Membership(membership)], Vec::new(), out);
        self.bootstrap_write = is_first.then_some(write);
        let (node, incarnation) = (self.identity.node, self.identity.incarnation);
        self.membership_partition = PartitionReplica::new(node, incarnation, AcceptorState::default());
        self.collection = StateCollector::default();
        self.state_asked = 0;
        self.set_voters(out);
        self.set_status(self.status_in_membership(), out);
        self.heartbeat(out);
        self.collect_state(out);
    }

    /// On the very first start the lowest of the seeds makes up the membership, once it has heard from all seeds.
    pub(crate) fn bootstrap(&mut self, out: &mut Vec<Output>) {
        let seeds = &self.identity.seeds;
        let is_founder = self.may_bootstrap && seeds.iter().min() == Some(&self.identity.node);
        let waits = self.now < self.started + BOOTSTRAP_DELAY;
        if self.membership.is_some() || !is_founder || waits {
            return;
        }
        let is_there = |seed: &NodeId| *seed == self.identity.node || self.heartbeat_of(*seed).is_some();
        if !seeds.iter().all(is_there) {
            return;
        }
        let voter = |(node, zone): (NodeId, String)| {
            let replica = self.replica_of(node)?;
            Some(Voter { replica, zone, joined_generation: FIRST_GENERATION })
        };
        let others =
            self.peers.keys().filter_map(|node| Some((*node, self.heartbeat_of(*node)?.zone.clone())));
        let mut voters: Vec<Voter> = others.filter_map(voter).collect();
        let zone = self.identity.zone.clone();
        voters.extend(self.replica.map(|replica| Voter {
            replica,
            zone,
            joined_generation: FIRST_GENERATION,
        }));
        voters.sort_unstable_by_key(|voter| voter.replica);
        self.adopt(Membership { generation: FIRST_GENERATION, voters, previous: Vec::new() }, out);
    }

    /// Sends the membership to a node that has an older one.
    pub(crate) fn send_membership(&mut self, to: NodeId, out: &mut Vec<Output>) {
        let (Some(membership), None) = (&self.membership, self.bootstrap_write) else { return };
        let peer = self.peers.entry(to).or_default();
        if peer.membership_sent.is_none_or(|at| self.now >= at + ASK_AGAIN) {
            peer.membership_sent = Some(self.now);
            out.push(Output::Send(to, PeerMessage::Membership(membership.clone())));
        }
    }

    /// The leader of the membership has the next one decided where a voter's seat should go to another replica.
    pub(crate) fn replace_voters(&mut self, out: &mut Vec<Output>) {
        let leads = self.leader(PartitionId::MEMBERSHIP) == Some(self.identity.node);
        let next = if leads { self.next_membership() } else { None };
        let now = self.now;
        let partition = &mut self.membership_partition;
        let mut effects = Vec::new();
        match next {
            None => partition.step_down(&mut effects),
            Some(_) if !partition.is_contending() => partition.start_election(now, &mut effects),
            Some(next) if partition.ready_ballot().is_some() => {
                let value = next.write_to_vec().unwrap_or_default();
                partition.propose(now, value, &mut effects);
            }
            Some(_) => partition.tick(now, &mut effects),
        }
        self.carry_out(PartitionId::MEMBERSHIP, effects, out);
    }

    fn next_membership(&self) -> Option<Membership> {
        let membership = self.membership.as_ref()?;
        membership::next_membership(membership, &self.candidates(), |voter| self.health(voter))
    }

    /// Replicas that follow what is decided and are no voters.
    fn candidates(&self) -> Vec<Candidate> {
        let candidate = |node: NodeId| {
            let heartbeat = self.heartbeat_of(node)?;
            let replica = self.replica_of(node)?;
            let follows = matches!(heartbeat.status, ReplicaStatus::Learner | ReplicaStatus::Removed);
            let is_voter = self.membership.as_ref().is_some_and(|known| known.voter(replica).is_some());
            let wanted = follows && !heartbeat.draining && !is_voter;
            wanted.then(|| Candidate { replica, zone: heartbeat.zone.clone() })
        };
        self.peers.keys().filter_map(|node| candidate(*node)).collect()
    }

    fn health(&self, voter: &Voter) -> VoterHealth {
        let node = voter.replica.node;
        if node == self.identity.node {
            return if self.leaving_since.is_some() { VoterHealth::Leaving } else { VoterHealth::Present };
        }
        let peer = self.peers.get(&node);
        if peer.is_some_and(|peer| peer.is_reachable(self.now)) {
            let leaving = |heartbeat: &Heartbeat| heartbeat.draining;
            let is_leaving = peer.and_then(|peer| peer.heartbeat.as_ref()).is_some_and(leaving);
            return if is_leaving { VoterHealth::Leaving } else { VoterHealth::Present };
        }
        let silent_since = peer.and_then(|peer| peer.heard).unwrap_or(self.started);
        let others = self.membership.iter().flat_map(Membership::nodes);
        let heard_elsewhere = others
            .filter_map(|other| self.heartbeat_of(other))
            .any(|heartbeat| heartbeat.reachable.contains(&node));
        let is_silent = self.now >= silent_since + SILENT_AFTER && !heard_elsewhere;
        if is_silent { VoterHealth::Silent } else { VoterHealth::Present }
    }

    /// The next membership has been decided under this node's leadership.
    pub(crate) fn membership_decided(&mut self, value: &AcceptedValue, out: &mut Vec<Output>) {
        match Membership::read_from_buffer(&value.value) {
            Ok(membership) => {
                self.adopt(membership.clone(), out);
                self.send_to_all(&PeerMessage::Membership(membership), out);
            }
            Err(error) => {
                let error = error.to_string();
                out.push(Output::Log(LogEvent::MembershipUndecodable { error }));
            }
        }
    }

    /// The generation in which this replica joins, where it is a voter that does not hold its state yet.
    fn joining(&self) -> Option<u64> {
        let voter = self.membership.as_ref()?.voter(self.replica?)?;
        (!self.holds_state_of(voter)).then_some(voter.joined_generation)
    }

    /// A new voter asks the voters of the previous generation for their state.
    pub(crate) fn collect_state(&mut self, out: &mut Vec<Output>) {
        let asks = self.joining().is_some() && self.state_write.is_none();
        if !asks || (self.state_asked > 0 && self.now < self.state_asked + ASK_AGAIN) {
            return;
        }
        self.state_asked = self.now;
        let (incarnation, generation) = (self.identity.incarnation, self.generation());
        let sources: Vec<NodeId> = self
            .membership
            .iter()
            .flat_map(|membership| &membership.previous)
            .map(|voter| voter.replica.node)
            .filter(|node| *node != self.identity.node)
            .collect();
        out.extend(
            sources.into_iter().map(|node| {
                Output::Send(node, PeerMessage::StateTransferRequest { incarnation, generation })
            }),
        );
    }

    /// Hands out what this replica has promised and accepted, once all of it, and the membership, is on its disk.
    pub(crate) fn hand_out_state(
        &mut self,
        to: NodeId,
        incarnation: u64,
        generation: u64,
        out: &mut Vec<Output>,
    ) {
        let (Some(membership), Some(replica)) = (&self.membership, self.replica) else { return };
        let voter = membership.previous_voter(replica);
        if generation != membership.generation || !voter.is_some_and(|voter| self.holds_state_of(voter)) {
            return;
        }
        let state = |(part, partition): (&PartitionId, &PartitionReplica)| (*part, partition.state().clone());
        let partitions = self.partitions.iter().map(state).collect();
        let message = PeerMessage::StateTransfer { incarnation, generation, disk: replica.disk, partitions };
        self.store(Vec::new(), vec![(to, message)], out);
    }

    pub(crate) fn state_arrived(
        &mut self,
        source: ReplicaId,
        generation: u64,
        partitions: Vec<(PartitionId, AcceptorState)>,
        out: &mut Vec<Output>,
    ) {
        let Some(joined) = self.joining().filter(|_| self.state_write.is_none()) else { return };
        if generation != self.generation() {
            return;
        }
        self.collection.add(source, partitions);
        let complete = self.membership.as_ref().and_then(|known| self.collection.complete(known));
        let Some(complete) = complete else { return };
        let mut records = Vec::new();
        for (part, collected) in complete {
            let Some(partition) = self.partitions.get_mut(&part) else { continue };
            partition.merge(&collected);
            let state = partition.state().clone();
            records.push(Record::Promised(part, state.promised));
            records.extend(state.accepted.map(|value| Record::Accepted(part, value)));
        }
        records.push(Record::Joined(joined));
        let write = self.store(records, Vec::new(), out);
        self.state_write = Some((write, joined));
    }

    /// The collected state is on the disk: this replica votes, unless it has lost its seat meanwhile.
    pub(crate) fn state_stored(&mut self, joined: u64, out: &mut Vec<Output>) {
        self.joined = Some(joined);
        self.set_status(self.status_in_membership(), out);
        self.heartbeat(out);
    }

    /// The process has been told to end: others take over what it leads, and it waits for its successor if there is one.
    pub(crate) fn leave(&mut self, out: &mut Vec<Output>) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(self.now);
            self.heartbeat(out);
        }
    }

    pub(crate) fn end_if_left(&mut self, out: &mut Vec<Output>) {
        let Some(since) = self.leaving_since else { return };
        let patience_ends = self.now >= since + self.identity.drain_timeout;
        if patience_ends || (self.now >= since + HAND_OVER && !self.is_needed()) {
            out.push(Output::Drained);
        }
    }

    /// Whether the state of this replica is still needed: while others could not go on without it, while a candidate could take its
    /// seat, or while a new voter has not collected its state.
    fn is_needed(&self) -> bool {
        let (Some(membership), Some(replica)) = (&self.membership, self.replica) else { return false };
        let others = || membership.voters.iter().filter(|voter| voter.replica != replica);
        let active = others().filter(|voter| self.is_active_voter(voter.replica)).count();
        match self.status {
            ReplicaStatus::Voter => {
                let own = membership.voter(replica);
                let successor = |candidate: &Candidate| own.is_some_and(|own| own.zone == candidate.zone);
                let is_alone = membership.voters.len() == 1;
                is_alone || active < membership.quorum_size() || self.candidates().iter().any(successor)
            }
            ReplicaStatus::Removed => active < membership.voters.len(),
            ReplicaStatus::Uninitialized | ReplicaStatus::Learner => false,
        }
    }
}
