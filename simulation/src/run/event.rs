//! The events of a run, and their dispatch to the handlers.

use ivyhatch_control::server_list::reader::ReadId;
use ivyhatch_control::{Input, RequestId, SessionId};
use ivyhatch_protocol::coordination::{Call, CallOutcome};
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse, PeerMessage};
use ivyhatch_protocol::watch::{WatchRequest, WatchResponse};

use super::{CHECK_INTERVAL, Simulation};
use crate::oracle::CallAttempt;

/// A message on a link.
#[derive(Clone, Debug)]
pub(super) enum LinkMessage {
    /// Between control nodes.
    Peer(PeerMessage),
    /// From a router, on this session.
    WatchRequest(SessionId, WatchRequest),
    /// To a router, on this session.
    WatchResponse(SessionId, WatchResponse),
}

/// A message in flight to one incarnation of its receiver.
#[derive(Clone, Debug)]
pub(super) struct Delivery {
    /// The sender's index among machines and routers.
    pub(super) from: usize,
    /// The receiver's index among machines and routers.
    pub(super) to: usize,
    /// The receiver's incarnation when the message was sent; another incarnation does not receive it.
    pub(super) incarnation: u64,
    pub(super) message: LinkMessage,
}

/// An event at a point of virtual time. An event with an incarnation is dropped if that process has ended in the meantime.
#[derive(Clone, Debug)]
pub(super) enum Event {
    NodeStarts(usize),
    NodeTick {
        machine: usize,
        incarnation: u64,
    },
    NodeResumes(usize),
    ShutdownRequested(usize),
    MachineRemoved {
        machine: usize,
        incarnation: u64,
    },
    WriteCompleted {
        machine: usize,
        incarnation: u64,
    },
    ServerListRead {
        machine: usize,
        incarnation: u64,
        read: ReadId,
    },
    PeerConnected {
        machine: usize,
        incarnation: u64,
        peer: usize,
    },
    MessageArrives(Delivery),
    RouterStarts(usize),
    RouterTick {
        router: usize,
        incarnation: u64,
    },
    RouterSettingsReloaded(usize),
    /// A router's session with a machine is established. `incarnation` is that of the router.
    SessionOpened {
        router: usize,
        incarnation: u64,
        machine: usize,
        session: SessionId,
    },
    /// The router detects that its session has ended.
    SessionLost {
        router: usize,
        machine: usize,
        session: SessionId,
    },
    /// The machine detects that a router's session has ended. `incarnation` is that of the machine.
    SessionClosed {
        machine: usize,
        incarnation: u64,
        session: SessionId,
    },
    OperationDue(usize),
    OperatorResumes(usize),
    RequestArrives {
        id: RequestId,
        machine: usize,
        request: AdminRequest,
    },
    ResponseArrives {
        id: RequestId,
        response: AdminResponse,
    },
    RequestTimeout(RequestId),
    /// The pause of this caller is over, so it may start its next call.
    CallDue(usize),
    CallArrives {
        id: RequestId,
        machine: usize,
        call: Call,
    },
    OutcomeArrives {
        id: RequestId,
        outcome: CallOutcome,
    },
    CallTimeout(RequestId),
    CallRetried(CallAttempt),
    FaultBegins(usize),
    FaultEnds(usize),
    DeadlineCheck,
}

impl Simulation<'_> {
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::NodeStarts(machine) => self.start_node(machine),
            Event::NodeTick { machine, incarnation } => self.tick_node(machine, incarnation),
            Event::NodeResumes(machine) => self.resume_node(machine),
            Event::ShutdownRequested(machine) => {
                if self.accepts_event(machine, None, || Event::ShutdownRequested(machine)) {
                    self.input_to_node(machine, Input::Drain);
                }
            }
            Event::MachineRemoved { machine, incarnation } => {
                if self.machines[machine].incarnation == incarnation {
                    self.remove_machine(machine);
                }
            }
            Event::WriteCompleted { machine, incarnation } => self.complete_write(machine, incarnation),
            Event::ServerListRead { machine, incarnation, read } => {
                self.server_list_read(machine, incarnation, read);
            }
            Event::PeerConnected { machine, incarnation, peer } => {
                self.peer_connected(machine, incarnation, peer);
            }
            Event::MessageArrives(delivery) => self.message_arrives(delivery),
            Event::RouterStarts(router) => self.start_router(router),
            Event::RouterTick { router, incarnation } => self.tick_router(router, incarnation),
            Event::RouterSettingsReloaded(router) => self.reload_router_settings(router),
            Event::SessionOpened { router, incarnation, machine, session } => {
                self.session_opened(router, incarnation, machine, session);
            }
            Event::SessionLost { router, machine, session } => self.session_lost(router, machine, session),
            Event::SessionClosed { machine, incarnation, session } => {
                self.session_closed(machine, incarnation, session);
            }
            Event::OperationDue(number) => self.operation_due(number),
            Event::OperatorResumes(operator) => self.operator_resumes(operator),
            Event::RequestArrives { id, machine, request } => self.request_arrives(id, machine, request),
            Event::ResponseArrives { id, response } => self.response_arrives(id, &response),
            Event::RequestTimeout(id) => self.retry_request(id),
            Event::CallDue(caller) => self.call_due(caller),
            Event::CallArrives { id, machine, call } => self.call_arrives(id, machine, call),
            Event::OutcomeArrives { id, outcome } => self.outcome_arrives(id, &outcome),
            Event::CallTimeout(id) => self.call_timed_out(id),
            Event::CallRetried(attempt) => self.call_retried(attempt),
            Event::FaultBegins(number) => self.begin_fault(number),
            Event::FaultEnds(number) => self.end_fault(number),
            Event::DeadlineCheck => {
                self.check_deadlines();
                self.schedule_after(CHECK_INTERVAL, Event::DeadlineCheck);
            }
        }
    }
}
