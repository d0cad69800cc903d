//! The operators' clients. Each client has at most one operation in flight, and retries the operation unchanged at another node after
//! a timeout, a refused connection or an indefinite response.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ivyhatch_control::{Input, RequestId};
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::Simulation;
use super::event::Event;
use crate::injected_bugs::InjectedBug;
use crate::plan::FaultTrigger;
use crate::workload::{Operation, Workload};

/// The timeout of a request.
const REQUEST_TIMEOUT: Nanos = SECOND;
/// An operator pauses for this long after the response to an evacuation or to its end.
const PAUSE_AFTER_EVACUATION: Nanos = 10 * MILLISECOND;
/// An operation that has not started this long after the last fault is dropped, so that the run can end.
const LATEST_START_AFTER_FAULTS_MS: u64 = 4_000;

/// An operation without a definite response yet.
#[derive(Debug)]
struct PendingOperation {
    number: usize,
    operation: Operation,
    /// The id of the latest attempt of the operation.
    request_id: RequestId,
    /// A bit mask of the member slots that were tried since all of them had been tried.
    tried_slots: u64,
}

/// The clients of all operators, indexed by operator.
#[derive(Debug)]
pub(super) struct OperatorClients {
    workload: Workload,
    backlogs: BTreeMap<usize, VecDeque<usize>>,
    pending: BTreeMap<usize, PendingOperation>,
    paused: BTreeSet<usize>,
    last_id: u64,
}

impl OperatorClients {
    pub(super) fn new(operations: usize) -> Self {
        Self {
            workload: Workload::default(),
            backlogs: BTreeMap::new(),
            pending: BTreeMap::new(),
            paused: BTreeSet::new(),
            last_id: operations as u64,
        }
    }

    /// A new id for a request, a call or a session, unique within the run.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The operator and the pending operation whose latest request has this id.
    fn pending_request(&self, id: RequestId) -> Option<(usize, &PendingOperation)> {
        self.pending
            .iter()
            .find(|(_, pending)| pending.request_id == id)
            .map(|(operator, pending)| (*operator, pending))
    }
}

impl Simulation<'_> {
    pub(super) fn operation_due(&mut self, number: usize) {
        let operator = self.plan.operations[number].operator;
        self.operators.backlogs.entry(operator).or_default().push_back(number);
        self.start_next_operation(operator);
    }

    pub(super) fn operator_resumes(&mut self, operator: usize) {
        self.operators.paused.remove(&operator);
        self.start_next_operation(operator);
    }

    /// Starts an operator's next operation, unless the operator is paused or has one in flight.
    fn start_next_operation(&mut self, operator: usize) {
        if self.operators.pending.contains_key(&operator) || self.operators.paused.contains(&operator) {
            return;
        }
        let backlog = self.operators.backlogs.get_mut(&operator);
        let Some(number) = backlog.and_then(VecDeque::pop_front) else { return };
        if self.now_ms() > self.plan.faults_end_ms + LATEST_START_AFTER_FAULTS_MS {
            return;
        }
        let revision_step = 1 + self.random_below(5);
        let planned = self.plan.operations[number].operation;
        let operation = self.operators.workload.next_operation(planned, revision_step);
        self.record(|| format!("operator {operator} starts {number}: {:?}", operation.kind));
        self.oracle.operation_started(number, &operation);
        let pending = PendingOperation { number, operation, request_id: 0, tried_slots: 0 };
        self.operators.pending.insert(operator, pending);
        self.send_request(operator);
    }

    /// Sends the pending operation to a random member that has not been tried yet, or to any member once all have been tried.
    fn send_request(&mut self, operator: usize) {
        let members = self.plan.members as u64;
        let first_slot = self.random_below(members);
        let id = self.operators.next_id();
        let Some(pending) = self.operators.pending.get_mut(&operator) else { return };
        if u64::from(pending.tried_slots.count_ones()) == members {
            pending.tried_slots = 0;
        }
        let slot = (0..members)
            .map(|step| (first_slot + step) % members)
            .find(|slot| pending.tried_slots >> slot & 1 == 0)
            .unwrap_or(first_slot);
        pending.tried_slots |= 1 << slot;
        pending.request_id = id;
        let request = pending.operation.request.clone();
        let machine = self.slots[slot as usize];
        let delay = (3 + self.random_below(10)) * MILLISECOND;
        self.schedule_after(delay, Event::RequestArrives { id, machine, request });
        self.schedule_after(REQUEST_TIMEOUT, Event::RequestTimeout(id));
    }

    /// Retries a request that has no definite response.
    pub(super) fn retry_request(&mut self, id: RequestId) {
        if let Some((operator, _)) = self.operators.pending_request(id) {
            self.send_request(operator);
        }
    }

    pub(super) fn request_arrives(&mut self, id: RequestId, machine: usize, request: AdminRequest) {
        if !self.machines[machine].is_running() {
            // The connection is refused.
            let delay = (50 + self.random_below(100)) * MILLISECOND;
            return self.schedule_after(delay, Event::RequestTimeout(id));
        }
        // An operator that timed out has closed its connection to a suspended process, so an evacuation is not started. A configuration
        // may still be applied.
        let is_evacuation = matches!(request, AdminRequest::Evacuate { .. });
        if is_evacuation && self.operators.pending_request(id).is_none() {
            return;
        }
        let deferred = || Event::RequestArrives { id, machine, request: request.clone() };
        if !self.accepts_event(machine, None, deferred) {
            return;
        }
        let request = self.corrupt_request(id, machine, request);
        self.record(|| format!("request {id} at node {machine}, partition {}", request.partition().0));
        self.input_to_node(machine, Input::Admin(id, request));
    }

    /// Returns the request as the injected bug alters it; unchanged if the bug does not concern requests.
    fn corrupt_request(&self, id: RequestId, machine: usize, mut request: AdminRequest) -> AdminRequest {
        if let AdminRequest::Put { base, body } = &mut request {
            match self.injected_bug {
                // Trailing blanks give the same configuration another digest, so that its retry is not recognised.
                Some(InjectedBug::TreatsRetryAsNew) => {
                    body.extend(std::iter::repeat_n(b' ', id as usize % 16));
                }
                Some(InjectedBug::IgnoresBase) => *base = self.machines[machine].revision(),
                _ => {}
            }
        }
        request
    }

    pub(super) fn response_arrives(&mut self, id: RequestId, response: &AdminResponse) {
        let Some((operator, pending)) = self.operators.pending_request(id) else { return };
        let number = pending.number;
        let is_configuration = pending.operation.request.partition() == PartitionId::CONFIGURATION;
        if !self.oracle.response_received(number, response) {
            let delay = (50 + self.random_below(300)) * MILLISECOND;
            return self.schedule_after(delay, Event::RequestTimeout(id));
        }
        match response {
            AdminResponse::Applied { revision } | AdminResponse::Conflict { revision }
                if is_configuration =>
            {
                self.operators.workload.observe_revision(*revision);
            }
            _ => {}
        }
        self.record(|| format!("operator {operator} receives for {number}: {response:?}"));
        self.operators.pending.remove(&operator);
        self.trigger_faults();
        if is_configuration {
            return self.start_next_operation(operator);
        }
        self.operators.paused.insert(operator);
        self.schedule_after(PAUSE_AFTER_EVACUATION, Event::OperatorResumes(operator));
    }

    /// Draws whether the next response to an operator or a caller is lost.
    pub(super) fn draws_lost_response(&mut self) -> bool {
        let faults_may_occur = self.now_ms() < self.plan.faults_end_ms;
        let percent = self.plan.lost_response_percent;
        faults_may_occur && percent > 0 && self.random_below(100) < percent
    }

    /// Reports a lost response to the oracle. The operator retries after the request's timeout.
    pub(super) fn response_lost(&mut self, id: RequestId, response: &AdminResponse) {
        let Some((operator, pending)) = self.operators.pending_request(id) else { return };
        let number = pending.number;
        self.oracle.response_lost(number, response);
        self.record(|| format!("operator {operator} does not receive {response:?} for {number}"));
    }

    /// Schedules the faults whose trigger count of acknowledged changes has been reached.
    fn trigger_faults(&mut self) {
        let acknowledged = self.oracle.acknowledged_changes();
        for (number, scheduled) in self.plan.faults.iter().enumerate() {
            if let FaultTrigger::AfterAcknowledgements(trigger) = scheduled.trigger
                && acknowledged >= trigger.count
                && self.now_ms() + trigger.delay_ms < self.plan.faults_end_ms
                && self.triggered_faults.insert(number)
            {
                self.schedule_after(trigger.delay_ms * MILLISECOND, Event::FaultBegins(number));
            }
        }
    }
}
