//! A cluster of control nodes in virtual time, without faults of the network or the disks.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{ControlPlane, Input, NodeConfig, Output, Record, RequestId, WriteToken};
use ivyhatch_protocol::coordination::{Call, CallOutcome};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse, PeerMessage, ReplicaStatus};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use speedy::Writable;

const TICK: Nanos = 100 * MILLISECOND;
const NETWORK_DELAY: Nanos = 5 * MILLISECOND;
const SYNC_TIME: Nanos = 2 * MILLISECOND;

enum Event {
    Tick(u64),
    Message(NodeId, PeerMessage),
    Stored(u64, WriteToken, Vec<Record>),
}

struct Member {
    plane: ControlPlane,
    incarnation: u64,
    disk: DurableState,
    /// Bytes that other nodes have sent to this node since its start.
    received: u64,
}

/// A cluster. Each node has a zone of its own, except for successors.
#[derive(Default)]
pub struct Cluster {
    now: Nanos,
    queue: BTreeMap<(Nanos, u64), (NodeId, Event)>,
    scheduled_count: u64,
    members: BTreeMap<NodeId, Member>,
    start_count: u64,
    responses: BTreeMap<RequestId, AdminResponse>,
    outcomes: BTreeMap<RequestId, CallOutcome>,
    last_request_id: RequestId,
    has_coordination: bool,
}

impl Cluster {
    /// Three nodes with the first membership.
    pub fn bootstrapped() -> Self {
        Self::default().bootstrap()
    }

    /// Three nodes with the first membership and with the partitions of applications' calls.
    pub fn with_coordination() -> Self {
        let mut cluster = Self { has_coordination: true, ..Self::default() }.bootstrap();
        cluster.run_until("all nodes are in contact with a quorum", |cluster| {
            (1..=3).all(|node| cluster.plane(node).has_quorum())
        });
        cluster
    }

    fn bootstrap(self) -> Self {
        let mut cluster = self;
        for node in 1..=3 {
            cluster.start(node, node, DurableState::default(), true);
        }
        cluster
            .run_until("the first membership is in force", |cluster| (1..=3).all(|node| cluster.votes(node)));
        cluster
    }

    /// Starts a node in a zone, with this state on its disk.
    pub fn start(&mut self, node: u32, zone: u32, disk: DurableState, first_start: bool) {
        self.start_count += 1;
        let config = NodeConfig {
            node: NodeId(node),
            zone: format!("zone-{zone}"),
            incarnation: self.start_count << 32,
            has_disk: true,
            first_start,
            seeds: (1..=3).map(NodeId).collect(),
            zones: BTreeSet::from(["zone-1".to_owned()]),
            server_list_interval: SECOND,
            drain_timeout: 6 * SECOND,
            has_coordination: self.has_coordination,
            cell_history: 20 * SECOND,
        };
        let incarnation = config.incarnation;
        let plane = ControlPlane::new(config, disk.clone(), self.now);
        self.members.insert(NodeId(node), Member { plane, incarnation, disk, received: 0 });
        self.schedule(0, NodeId(node), Event::Tick(incarnation));
    }

    /// Stops a node, and returns the state on its disk.
    pub fn stop(&mut self, node: u32) -> DurableState {
        self.members.remove(&NodeId(node)).expect("the node is running").disk
    }

    pub fn plane(&self, node: u32) -> &ControlPlane {
        &self.members[&NodeId(node)].plane
    }

    pub fn disk(&self, node: u32) -> &DurableState {
        &self.members[&NodeId(node)].disk
    }

    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Bytes that a node was sent since its start.
    pub fn received(&self, node: u32) -> u64 {
        self.members[&NodeId(node)].received
    }

    pub fn votes(&self, node: u32) -> bool {
        self.plane(node).status() == ReplicaStatus::Voter
    }

    /// Sends an operator's request to a node, and returns the response.
    pub fn request(&mut self, node: u32, request: AdminRequest) -> AdminResponse {
        self.last_request_id += 1;
        let id = self.last_request_id;
        self.input(NodeId(node), Input::Admin(id, request));
        self.run_until("the request is answered", |cluster| cluster.responses.contains_key(&id));
        self.responses.remove(&id).expect("the request is answered")
    }

    /// Sends an application's call to a node.
    pub fn begin_call(&mut self, node: u32, call: Call) -> RequestId {
        self.last_request_id += 1;
        let id = self.last_request_id;
        self.input(NodeId(node), Input::Call(id, call));
        id
    }

    /// The outcome of a call; `None` until the call has ended.
    pub fn outcome(&self, id: RequestId) -> Option<&CallOutcome> {
        self.outcomes.get(&id)
    }

    /// Sends an application's call to a node, and returns the call's outcome.
    pub fn call(&mut self, node: u32, call: Call) -> CallOutcome {
        let id = self.begin_call(node, call);
        self.run_until("the call ends", |cluster| cluster.outcomes.contains_key(&id));
        self.outcomes.remove(&id).expect("the call has ended")
    }

    /// Sends an application's call to a node, and retries until the call is known to be applied or refused.
    pub fn call_until_known(&mut self, node: u32, call: Call) -> CallOutcome {
        loop {
            match self.call(node, call.clone()) {
                CallOutcome::Unknown | CallOutcome::NotStarted(_) => {
                    let retry_at = self.now + TICK;
                    self.run_until("the retry delay passes", |cluster| cluster.now >= retry_at);
                }
                outcome => return outcome,
            }
        }
    }

    /// Advances time until the condition holds; panics with `description` after 20 seconds of virtual time.
    pub fn run_until(&mut self, description: &str, mut is_done: impl FnMut(&Self) -> bool) {
        let end = self.now + 20 * SECOND;
        while !is_done(self) {
            assert!(self.now < end, "timed out: {description}");
            let ((at, _), (node, event)) = self.queue.pop_first().expect("ticks are scheduled");
            self.now = at;
            self.handle_event(node, event);
        }
    }

    fn schedule(&mut self, delay: Nanos, node: NodeId, event: Event) {
        self.scheduled_count += 1;
        self.queue.insert((self.now + delay, self.scheduled_count), (node, event));
    }

    fn handle_event(&mut self, node: NodeId, event: Event) {
        let is_running =
            |incarnation| self.members.get(&node).is_some_and(|member| member.incarnation == incarnation);
        match event {
            Event::Tick(incarnation) if is_running(incarnation) => {
                self.input(node, Input::Tick);
                self.schedule(TICK, node, Event::Tick(incarnation));
            }
            Event::Stored(incarnation, token, records) if is_running(incarnation) => {
                let member = self.members.get_mut(&node).expect("the node is running");
                records.into_iter().for_each(|record| member.disk.apply(record));
                self.input(node, Input::Stored(token));
            }
            Event::Message(from, message) => {
                let Some(member) = self.members.get_mut(&node) else { return };
                member.received += message.write_to_vec().map_or(0, |bytes| bytes.len() as u64);
                self.input(node, Input::Peer(from, message));
            }
            Event::Tick(_) | Event::Stored(..) => {}
        }
    }

    fn input(&mut self, node: NodeId, input: Input) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&node) else { return };
        let (incarnation, mut outputs) = (member.incarnation, Vec::new());
        member.plane.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send(to, message) => self.schedule(NETWORK_DELAY, to, Event::Message(node, message)),
                Output::SendToAll(nodes, message) => {
                    for to in nodes {
                        self.schedule(NETWORK_DELAY, to, Event::Message(node, message.clone()));
                    }
                }
                Output::Store(token, records) => {
                    self.schedule(SYNC_TIME, node, Event::Stored(incarnation, token, records));
                }
                Output::Respond(id, response) => {
                    self.responses.insert(id, response);
                }
                Output::EndCall(id, outcome) => {
                    self.outcomes.insert(id, outcome);
                }
                _ => {}
            }
        }
    }
}
