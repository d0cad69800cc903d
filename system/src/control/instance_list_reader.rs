//! Reads the platform's instance list whenever the state machine requests it.

use std::rc::Rc;

use ivyhatch_control::Input;
use ivyhatch_control::server_list::reader::ReadId;
use ivyhatch_protocol::watch::Server;
use tokio::sync::mpsc::UnboundedReceiver;

use super::host::Host;
use crate::instance_list::{InstanceListClient, InstanceListError};

/// Executes requested reads, one at a time. A newer request cancels the read in progress and drops its connection, so that no page of
/// the cancelled read can be mistaken for one of the newer read.
pub async fn run_reads(host: Rc<Host>, mut requests: UnboundedReceiver<ReadId>) {
    let mut client = InstanceListClient::new(host.settings.ip, host.settings.cloud_api.address);
    let mut next = requests.recv().await;
    while let Some(read) = next {
        tokio::select! {
            biased;
            newer = requests.recv() => next = newer,
            result = client.read() => {
                report(&host, read, result);
                next = requests.recv().await;
            }
        }
    }
}

fn report(host: &Rc<Host>, read: ReadId, result: Result<Vec<Server>, InstanceListError>) {
    match result {
        Ok(servers) => host.handle_input(Input::ServerList(read, servers)),
        Err(error) => {
            log::warn!("event=server_list_poll_failed error={:?}", error.to_string());
            host.handle_input(Input::ServerListFailed(read));
        }
    }
}
