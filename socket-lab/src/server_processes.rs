//! The processes of the model servers: starting, draining and stopping them, and the publication of their states in discovery.

use std::rc::Rc;
use std::time::Duration;

use ivyhatch_lab::ServerState;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::run_state::RunState;

/// Publishes a server's current state in the endpoint list, after discovery's lag.
pub(crate) fn announce(run: &Rc<RunState>, server: usize) {
    let (state, started) = {
        let server = run.servers[server].borrow();
        (server.state, server.started)
    };
    let run = run.clone();
    spawn_local(async move {
        sleep(Duration::from_millis(run.world.discovery.lag_ms)).await;
        let revision = run.endpoint_list.borrow_mut().update(server, state, started);
        run.list_revision.send_replace(revision);
    });
}

/// Ends a server's process and closes the server's connections.
pub(crate) fn stop_server(run: &Rc<RunState>, server: usize) {
    run.servers[server].borrow_mut().stop(run.clock.now());
    run.incarnations[server].send_modify(|incarnation| *incarnation += 1);
    announce(run, server);
}

/// Starts a new process for a server.
pub(crate) fn start_server(run: &Rc<RunState>, server: usize) {
    run.servers[server].borrow_mut().restart(run.clock.now());
    run.incarnations[server].send_modify(|incarnation| *incarnation += 1);
    announce(run, server);
}

/// Starts draining a server, if the server is in service.
pub(crate) fn drain_server(run: &Rc<RunState>, server: usize) {
    let is_serving = run.servers[server].borrow().state == ServerState::Serving;
    if is_serving {
        run.servers[server].borrow_mut().state = ServerState::Draining;
        announce(run, server);
    }
}

/// Ends the process of a draining server. Does nothing if the server is not draining any more.
pub(crate) fn stop_drained_server(run: &Rc<RunState>, server: usize) {
    let is_draining = run.servers[server].borrow().state == ServerState::Draining;
    if is_draining {
        stop_server(run, server);
    }
}
