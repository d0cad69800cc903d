//! Starts and ends the world's faults, each at its time.

use std::rc::Rc;

use ivyhatch_lab::{Fault, FaultKind, Nanos, Server};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::node_processes::{NodeCommand, kill, start};
use crate::run_state::RunState;
use crate::server_processes::{drain_server, start_server, stop_drained_server, stop_server};

/// Whether a fault starts or ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FaultPhase {
    Start,
    End,
}

struct FaultChange {
    /// Time since the world's start.
    at: Nanos,
    fault: Fault,
    phase: FaultPhase,
}

/// Starts and ends all faults of the world, each at its time.
pub(crate) async fn run_faults(run: Rc<RunState>, command: NodeCommand) {
    let mut changes: Vec<FaultChange> = Vec::new();
    for fault in &run.world.faults {
        let period = fault.period();
        changes.push(FaultChange { at: period.start, fault: fault.clone(), phase: FaultPhase::Start });
        changes.push(FaultChange { at: period.end, fault: fault.clone(), phase: FaultPhase::End });
    }
    changes.sort_by_key(|change| change.at);
    for FaultChange { at, fault, phase } in changes {
        sleep_until(run.clock.instant(at)).await;
        let description = describe(&fault);
        run.log_fault_event(match phase {
            FaultPhase::Start => description,
            FaultPhase::End => format!("ended: {description}"),
        });
        apply(&run, &fault, phase, &command);
    }
}

/// A description of the fault for observers.
fn describe(fault: &Fault) -> String {
    let Fault { servers, nodes, zone, .. } = fault;
    let percent = fault.fraction * 100.0;
    match fault.kind {
        FaultKind::NoisyNeighbour => format!("a neighbour takes {percent:.0} % of servers {servers:?}"),
        FaultKind::FalseReadiness => format!("servers {servers:?} reject all requests and report no load"),
        FaultKind::Drain => format!("servers {servers:?} drain"),
        FaultKind::Restart => format!("servers {servers:?} are down"),
        FaultKind::ZonePartition => format!("zone {zone} is cut off"),
        FaultKind::Burst => format!("the request rate is multiplied by {}", fault.rate_multiplier),
        FaultKind::Errors => format!("{percent:.0} % of the responses of servers {servers:?} are errors"),
        FaultKind::Hang => format!("servers {servers:?} do not respond"),
        FaultKind::ProbeTimeout => format!("servers {servers:?} do not respond to probes"),
        FaultKind::AddedLatency => format!("zone {zone} has {} ms more latency", fault.added_latency_ms),
        FaultKind::PacketLoss => format!("{percent:.0} % packet loss to and from zone {zone}"),
        FaultKind::DiscoveryDown => "discovery is down".into(),
        FaultKind::DiscoveryStale => "full lists of discovery are stale".into(),
        FaultKind::NodeCrash => format!("nodes {nodes:?} are killed"),
        FaultKind::NodeShutdown => format!("nodes {nodes:?} shut down"),
    }
}

fn apply(run: &Rc<RunState>, fault: &Fault, phase: FaultPhase, command: &NodeCommand) {
    let starts = phase == FaultPhase::Start;
    let fraction = if starts { fault.fraction } else { 0.0 };
    let zone = fault.zone as usize;
    let count = |faults: &mut u32| *faults = if starts { *faults + 1 } else { *faults - 1 };
    match fault.kind {
        // A burst changes the arrival process, which reads it from the world itself.
        FaultKind::Burst => {}
        FaultKind::NoisyNeighbour => update_servers(run, fault, |server| server.neighbour_load = fraction),
        FaultKind::Errors => update_servers(run, fault, |server| server.extra_error_ratio = fraction),
        FaultKind::FalseReadiness => update_servers(run, fault, |server| server.false_readiness = starts),
        FaultKind::Hang => update_servers(run, fault, |server| server.hangs = starts),
        FaultKind::ProbeTimeout => update_servers(run, fault, |server| server.ignores_probes = starts),
        FaultKind::ZonePartition => run.partitions.send_modify(|partitions| count(&mut partitions[zone])),
        FaultKind::AddedLatency => {
            let change = if starts { fault.added_latency_ms } else { -fault.added_latency_ms };
            run.link_faults.borrow_mut().added_latency_ms[zone] += change;
        }
        FaultKind::PacketLoss => {
            let change = if starts { fault.fraction } else { -fault.fraction };
            run.link_faults.borrow_mut().added_loss[zone] += change;
        }
        FaultKind::DiscoveryDown => count(&mut run.endpoint_list.borrow_mut().outages),
        FaultKind::DiscoveryStale => match phase {
            FaultPhase::Start => run.endpoint_list.borrow_mut().freeze(),
            FaultPhase::End => run.endpoint_list.borrow_mut().unfreeze(),
        },
        FaultKind::Drain => fault.servers.iter().for_each(|server| match phase {
            FaultPhase::Start => drain_server(run, *server as usize),
            FaultPhase::End => stop_drained_server(run, *server as usize),
        }),
        FaultKind::Restart => fault.servers.iter().for_each(|server| match phase {
            FaultPhase::Start => stop_server(run, *server as usize),
            FaultPhase::End => start_server(run, *server as usize),
        }),
        FaultKind::NodeCrash | FaultKind::NodeShutdown => {
            for node in &fault.nodes {
                let change = change_node(run.clone(), *node as usize, fault.kind, phase, command.clone());
                spawn_local(change);
            }
        }
    }
}

/// Changes each server that a fault affects.
fn update_servers(run: &RunState, fault: &Fault, change: impl Fn(&mut Server)) {
    fault.servers.iter().for_each(|server| change(&mut run.servers[*server as usize].borrow_mut()));
}

/// Kills or restarts a node's process, or, at the start of a shutdown, makes the node unavailable to new clients.
async fn change_node(
    run: Rc<RunState>,
    node: usize,
    kind: FaultKind,
    phase: FaultPhase,
    command: NodeCommand,
) {
    if phase == FaultPhase::Start && kind == FaultKind::NodeShutdown {
        // New requests don't reach the node any more; the node completes the requests in flight.
        run.nodes[node].borrow_mut().address = None;
        return;
    }
    kill(&run, node).await;
    if phase == FaultPhase::End
        && let Err(error) = start(&run, node, &command).await
    {
        run.log_fault_event(error.to_string());
    }
}
