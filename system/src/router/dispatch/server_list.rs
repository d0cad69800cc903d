//! Applies the server list to the services: determines which servers take new requests, drain, warm up, or have been removed.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use ivyhatch_balancer::{BackendId, BackendState, Event, ListScope, Member, ZoneId};
use ivyhatch_protocol::watch::Server;
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::placement::ListedServer;
use ivyhatch_routing::watch_client::EvacuationState;

use super::service::{ServerEntry, Service};
use super::state::{DispatcherState, Outputs, WARM_UP_MARGIN};
use crate::router::attempt::{ServerKey, ServiceId};

/// A server of the server list, with the region and the evacuation state of its zone.
struct ListedInZone {
    server: Server,
    region: u32,
    evacuation: EvacuationState,
}

/// The changes that a new server list makes to a service.
#[derive(Default)]
struct MembershipChange {
    /// Servers that were added, changed or removed, for the balancer.
    members: Vec<Member>,
    /// Servers whose idle connections are to be closed.
    drained: Vec<BackendId>,
}

impl DispatcherState {
    /// Records for each service's placement to which servers there is an idle connection.
    pub(super) fn record_idle_connections(&self, has_idle_connection: impl Fn(ServerKey) -> bool) {
        for (id, service) in &self.services {
            let has_idle = |backend| has_idle_connection(ServerKey { service: *id, backend });
            service.placement.borrow_mut().record_idle_connections(has_idle);
        }
    }

    pub(super) fn set_servers(
        &mut self,
        servers: Vec<Server>,
        evacuation: impl Fn(&str) -> EvacuationState,
        outputs: &mut Outputs,
    ) {
        let now = self.clock.now();
        let is_quorum_reachable = self.is_quorum_reachable;
        // Services without servers in the list are included, so that all their previous servers are removed.
        let mut by_service: BTreeMap<ServiceId, Vec<ListedInZone>> =
            self.services.keys().map(|service| (*service, Vec::new())).collect();
        for server in servers {
            let service = self.service_id(&server.service);
            let region = self.regions.index_of_zone(&server.zone);
            let evacuation = evacuation(&server.zone);
            by_service.entry(service).or_default().push(ListedInZone { server, region, evacuation });
        }
        for (id, servers) in by_service {
            let Some(service) = self.services.get_mut(&id) else { continue };
            let MembershipChange { members, drained } =
                service.set_servers(now, servers, is_quorum_reachable);
            let drained = drained.into_iter().map(|backend| ServerKey { service: id, backend });
            outputs.drained_servers.extend(drained);
            if !members.is_empty() {
                self.handle_event(id, Event::Membership { scope: ListScope::Changes, members }, outputs);
            }
        }
    }
}

impl Service {
    /// Replaces the list of this service's servers. A server whose address is malformed is logged and left out.
    fn set_servers(
        &mut self,
        now: Nanos,
        servers: Vec<ListedInZone>,
        is_quorum_reachable: bool,
    ) -> MembershipChange {
        let mut change = MembershipChange::default();
        let mut listed = HashSet::new();
        for server in servers {
            let Ok(endpoint) = server.server.address.parse::<SocketAddr>() else {
                let Server { id, address, .. } = &server.server;
                log::warn!("event=server_address_invalid id={id} address={address:?}");
                continue;
            };
            let id = self.backend_id(&server.server.id);
            listed.insert(id);
            self.update_placement(now, id, &server, is_quorum_reachable);
            self.update_server(id, endpoint, &server, is_quorum_reachable, &mut change);
        }
        self.remove_unlisted_servers(&listed, &mut change);
        change
    }

    fn update_placement(
        &mut self,
        now: Nanos,
        id: BackendId,
        listed: &ListedInZone,
        is_quorum_reachable: bool,
    ) {
        let evacuation = listed.evacuation;
        let warm_up_remaining = Nanos::from(listed.server.warm_up_remaining_ms) * MILLISECOND;
        let slow_start_until =
            if warm_up_remaining > 0 { now + warm_up_remaining + WARM_UP_MARGIN } else { 0 };
        let mut placement = self.placement.borrow_mut();
        placement.upsert_server(
            id,
            ListedServer {
                name: &listed.server.id,
                region: listed.region,
                slow_start_until,
                // Without a quorum it is unknown whether the evacuation is still in force.
                is_last_resort: evacuation.active && !is_quorum_reachable,
            },
        );
        let previous = self.servers.get(&id);
        let was_evacuated =
            previous.is_some_and(|previous| previous.evacuation_changes != evacuation.change_count);
        if was_evacuated && !evacuation.active {
            // The server received no requests during the evacuation, and may have lost its caches.
            placement.restart_slow_start(now, id);
        }
    }

    fn update_server(
        &mut self,
        id: BackendId,
        endpoint: SocketAddr,
        listed: &ListedInZone,
        is_quorum_reachable: bool,
        change: &mut MembershipChange,
    ) {
        let server = &listed.server;
        let is_evacuated = listed.evacuation.active && is_quorum_reachable;
        let is_draining = server.draining || server.lifetime_remaining_ms.is_some() || is_evacuated;
        let state = if is_draining { BackendState::Draining } else { BackendState::InService };
        let previous = self.servers.get(&id);
        if previous.is_none_or(|previous| previous.state != state || previous.endpoint != endpoint) {
            if is_draining {
                change.drained.push(id);
            }
            change.members.push(Member {
                backend: id,
                zone: ZoneId(listed.region),
                state,
                weight: f64::from(server.slots.max(1)),
                ..Member::default()
            });
        }
        let entry = ServerEntry {
            endpoint,
            region: listed.region,
            instance: Rc::from(server.id.as_str()),
            state,
            evacuation_changes: listed.evacuation.change_count,
        };
        self.servers.insert(id, entry);
    }

    fn remove_unlisted_servers(&mut self, listed: &HashSet<BackendId>, change: &mut MembershipChange) {
        let mut placement = self.placement.borrow_mut();
        let removed: Vec<BackendId> =
            self.servers.keys().filter(|id| !listed.contains(*id)).copied().collect();
        for id in removed {
            if let Some(server) = self.servers.remove(&id) {
                self.backend_ids.remove(&*server.instance);
            }
            placement.remove_server(id);
            change.drained.push(id);
            change.members.push(Member { backend: id, state: BackendState::Removed, ..Member::default() });
        }
    }
}
