//! What goes wrong, when the world says so.

use std::rc::Rc;

use ivyhatch_lab::{Fault, FaultKind, ServerState};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::stage::{Nanos, Stage};
use crate::{NodeCommand, discovery, nodes};

pub(crate) async fn run(stage: Rc<Stage>, command: NodeCommand) {
    let mut steps: Vec<(Nanos, usize, bool)> = Vec::new();
    for (number, fault) in stage.world.faults.iter().enumerate() {
        let (from, to) = fault.span();
        steps.extend([(from, number, true), (to, number, false)]);
    }
    steps.sort_by_key(|step| step.0);
    for (at, number, begins) in steps {
        sleep_until(stage.instant(at)).await;
        let fault = stage.world.faults[number].clone();
        stage.tell(story(&fault, begins));
        strike(&stage, &fault, begins, &command);
    }
}

fn story(fault: &Fault, begins: bool) -> String {
    let (servers, nodes, zone) = (&fault.servers, &fault.nodes, fault.zone);
    let what = match fault.kind {
        FaultKind::NoisyNeighbour => {
            format!("a neighbour takes {:.0} % of servers {servers:?}", fault.fraction * 100.0)
        }
        FaultKind::FalseReadiness => format!("servers {servers:?} refuse all and report no load"),
        FaultKind::Drain => format!("servers {servers:?} drain"),
        FaultKind::Restart => format!("servers {servers:?} are down"),
        FaultKind::ZonePartition => format!("zone {zone} is cut off"),
        FaultKind::Burst => format!("{} times the usual load", fault.rate_multiplier),
        FaultKind::Errors => {
            format!("{:.0} % of the answers of servers {servers:?} are errors", fault.fraction * 100.0)
        }
        FaultKind::Hang => format!("servers {servers:?} answer nothing"),
        FaultKind::ProbeTimeout => format!("servers {servers:?} answer no probe"),
        FaultKind::AddedLatency => format!("zone {zone} is {} ms farther away", fault.added_latency_ms),
        FaultKind::PacketLoss => format!("{:.0} % loss to and from zone {zone}", fault.fraction * 100.0),
        FaultKind::DiscoveryDown => "discovery is down".into(),
        FaultKind::DiscoveryStale => "whole lists are stale".into(),
        FaultKind::NodeCrash => format!("nodes {nodes:?} are killed"),
        FaultKind::NodeShutdown => format!("nodes {nodes:?} stop"),
    };
    if begins { what } else { format!("over: {what}") }
}

/// A server's process dies, with its connections.
pub(crate) fn dies(stage: &Rc<Stage>, server: usize) {
    stage.servers[server].borrow_mut().die(stage.now());
    stage.lives[server].send_modify(|life| *life += 1);
    discovery::announce(stage, server);
}

fn strike(stage: &Rc<Stage>, fault: &Fault, begins: bool, command: &NodeCommand) {
    let part = if begins { fault.fraction } else { 0.0 };
    let (zone, sign) = (fault.zone as usize, if begins { 1.0 } else { -1.0 });
    let step = |count: &mut u32| *count = if begins { *count + 1 } else { *count - 1 };
    let each = |change: &dyn Fn(&mut ivyhatch_lab::Server)| {
        fault.servers.iter().for_each(|server| change(&mut stage.servers[*server as usize].borrow_mut()));
    };
    match fault.kind {
        // Told by the arrivals.
        FaultKind::Burst => {}
        FaultKind::NoisyNeighbour => each(&|server| server.neighbour = part),
        FaultKind::Errors => each(&|server| server.errors = part),
        FaultKind::FalseReadiness => each(&|server| server.lies = begins),
        FaultKind::Hang => each(&|server| server.hangs = begins),
        FaultKind::ProbeTimeout => each(&|server| server.deaf = begins),
        FaultKind::ZonePartition => stage.cut.send_modify(|cut| step(&mut cut[zone])),
        FaultKind::AddedLatency => stage.farther.borrow_mut()[zone] += sign * fault.added_latency_ms,
        FaultKind::PacketLoss => stage.lossy.borrow_mut()[zone] += sign * fault.fraction,
        FaultKind::DiscoveryDown => step(&mut stage.list.borrow_mut().down),
        FaultKind::DiscoveryStale => {
            let mut list = stage.list.borrow_mut();
            let now = list.now();
            let (count, shown) = list.stale.take().unwrap_or((0, now));
            let count = if begins { count + 1 } else { count - 1 };
            list.stale = (count > 0).then_some((count, shown));
        }
        FaultKind::Drain => fault.servers.iter().for_each(|server| {
            let server = *server as usize;
            let state = stage.servers[server].borrow().state;
            match (begins, state) {
                (true, ServerState::Serving) => {
                    stage.servers[server].borrow_mut().state = ServerState::Draining;
                    discovery::announce(stage, server);
                }
                (false, ServerState::Draining) => dies(stage, server),
                _ => {}
            }
        }),
        FaultKind::Restart => fault.servers.iter().for_each(|server| {
            let server = *server as usize;
            if begins {
                dies(stage, server);
            } else {
                stage.servers[server].borrow_mut().restart(stage.now());
                stage.lives[server].send_modify(|life| *life += 1);
                discovery::announce(stage, server);
            }
        }),
        FaultKind::NodeCrash | FaultKind::NodeShutdown => {
            for node in fault.nodes.iter().map(|node| *node as usize) {
                let (stage, command) = (stage.clone(), command.clone());
                let stops = fault.kind == FaultKind::NodeShutdown;
                spawn_local(async move {
                    if begins && stops {
                        // The front sends it nobody any more; it finishes what it has.
                        stage.nodes[node].borrow_mut().at = None;
                        return;
                    }
                    nodes::kill(&stage, node).await;
                    if !begins && let Err(error) = nodes::start(&stage, node, &command).await {
                        stage.tell(error.to_string());
                    }
                });
            }
        }
    }
}
