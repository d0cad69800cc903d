//! Accepts the watch sessions of routers, and runs each in a task of its own.

use std::rc::Rc;
use std::time::Duration;

use ivyhatch_control::Input;
use ivyhatch_protocol::watch::WatchRequest;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::host::Host;
use crate::transport::reader::{ConnectionError, read_messages};
use crate::transport::socket::{accept_each, set_options};

/// A session is closed if nothing is received on it for this long.
const SESSION_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Accepts watch sessions; never returns.
pub async fn serve_watches(host: Rc<Host>, listener: TcpListener) {
    accept_each(listener, |stream, _| {
        spawn_local(run_session(host.clone(), stream));
    })
    .await;
}

/// Runs a session until its connection ends, or the state machine closes the session.
async fn run_session(host: Rc<Host>, mut stream: TcpStream) {
    set_options(&stream);
    let id = host.next_id();
    let mut queue = host.watch_sessions.open(id);
    let (mut reading, mut writing) = stream.split();
    let handle = |message: WatchRequest| host.handle_input(Input::Watch(id, message));
    let ended = tokio::select! {
        ended = read_messages(&mut reading, SESSION_IDLE_TIMEOUT, handle) => ended,
        ended = queue.write_to(&mut writing) => ended.map_err(ConnectionError::from),
    };
    if let Err(error @ ConnectionError::Frame(_)) = ended {
        log::warn!("event=watch_client_protocol_error error={:?}", error.to_string());
    }
    host.watch_sessions.close(id);
    host.handle_input(Input::SessionClosed(id));
}
