//! What goes wrong, when the world says so.

use std::rc::Rc;

use ivyhatch_lab::{Kind, State, Trouble};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::stage::{Nanos, Stage};
use crate::{Command, discovery, nodes};

pub(crate) async fn run(stage: Rc<Stage>, command: Command) {
    let mut steps: Vec<(Nanos, usize, bool)> = Vec::new();
    for (number, trouble) in stage.world.trouble.iter().enumerate() {
        let (from, to) = trouble.span();
        steps.extend([(from, number, true), (to, number, false)]);
    }
    steps.sort_by_key(|step| step.0);
    for (at, number, begins) in steps {
        sleep_until(stage.instant(at)).await;
        let trouble = stage.world.trouble[number].clone();
        stage.tell(story(&trouble, begins));
        strike(&stage, &trouble, begins, &command);
    }
}

fn story(trouble: &Trouble, begins: bool) -> String {
    let (servers, nodes, zone) = (&trouble.servers, &trouble.nodes, trouble.zone);
    let what = match trouble.kind {
        Kind::Neighbour => format!("a neighbour takes {:.0} % of servers {servers:?}", trouble.part * 100.0),
        Kind::Liar => format!("servers {servers:?} refuse all and report no load"),
        Kind::Drain => format!("servers {servers:?} drain"),
        Kind::Restart => format!("servers {servers:?} are down"),
        Kind::ZoneCut => format!("zone {zone} is cut off"),
        Kind::Burst => format!("{} times the usual load", trouble.times),
        Kind::Errors => {
            format!("{:.0} % of the answers of servers {servers:?} are errors", trouble.part * 100.0)
        }
        Kind::Hang => format!("servers {servers:?} answer nothing"),
        Kind::Deaf => format!("servers {servers:?} answer no probe"),
        Kind::Far => format!("zone {zone} is {} ms farther away", trouble.ms),
        Kind::Lossy => format!("{:.0} % loss to and from zone {zone}", trouble.part * 100.0),
        Kind::ListDown => "discovery is down".into(),
        Kind::ListStale => "whole lists are stale".into(),
        Kind::NodeCrash => format!("nodes {nodes:?} are killed"),
        Kind::NodeStop => format!("nodes {nodes:?} stop"),
    };
    if begins { what } else { format!("over: {what}") }
}

/// A server's process dies, with its connections.
pub(crate) fn dies(stage: &Rc<Stage>, server: usize) {
    stage.servers[server].borrow_mut().die(stage.now());
    stage.lives[server].send_modify(|life| *life += 1);
    discovery::announce(stage, server);
}

fn strike(stage: &Rc<Stage>, trouble: &Trouble, begins: bool, command: &Command) {
    let part = if begins { trouble.part } else { 0.0 };
    let (zone, sign) = (trouble.zone as usize, if begins { 1.0 } else { -1.0 });
    let step = |count: &mut u32| *count = if begins { *count + 1 } else { *count - 1 };
    let each = |change: &dyn Fn(&mut ivyhatch_lab::Server)| {
        trouble.servers.iter().for_each(|server| change(&mut stage.servers[*server as usize].borrow_mut()));
    };
    match trouble.kind {
        // Told by the arrivals.
        Kind::Burst => {}
        Kind::Neighbour => each(&|server| server.neighbour = part),
        Kind::Errors => each(&|server| server.errors = part),
        Kind::Liar => each(&|server| server.lies = begins),
        Kind::Hang => each(&|server| server.hangs = begins),
        Kind::Deaf => each(&|server| server.deaf = begins),
        Kind::ZoneCut => stage.cut.send_modify(|cut| step(&mut cut[zone])),
        Kind::Far => stage.farther.borrow_mut()[zone] += sign * trouble.ms,
        Kind::Lossy => stage.lossy.borrow_mut()[zone] += sign * trouble.part,
        Kind::ListDown => step(&mut stage.list.borrow_mut().down),
        Kind::ListStale => {
            let mut list = stage.list.borrow_mut();
            let now = list.now();
            let (count, shown) = list.stale.take().unwrap_or((0, now));
            let count = if begins { count + 1 } else { count - 1 };
            list.stale = (count > 0).then_some((count, shown));
        }
        Kind::Drain => trouble.servers.iter().for_each(|server| {
            let server = *server as usize;
            let state = stage.servers[server].borrow().state;
            match (begins, state) {
                (true, State::Serving) => {
                    stage.servers[server].borrow_mut().state = State::Draining;
                    discovery::announce(stage, server);
                }
                (false, State::Draining) => dies(stage, server),
                _ => {}
            }
        }),
        Kind::Restart => trouble.servers.iter().for_each(|server| {
            let server = *server as usize;
            if begins {
                dies(stage, server);
            } else {
                stage.servers[server].borrow_mut().restart(stage.now());
                stage.lives[server].send_modify(|life| *life += 1);
                discovery::announce(stage, server);
            }
        }),
        Kind::NodeCrash | Kind::NodeStop => {
            for node in trouble.nodes.iter().map(|node| *node as usize) {
                let (stage, command) = (stage.clone(), command.clone());
                let stops = trouble.kind == Kind::NodeStop;
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
