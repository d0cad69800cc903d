//! Takes the platform's list of servers in, service by service.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use ivyhatch_balancer::{BackendId, BackendState, Event, ListScope, Member, ZoneId};
use ivyhatch_protocol::watch::Server;
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::placement::ListedServer;
use ivyhatch_routing::watch_client::EvacuationState;

use super::COLD_MORE;
use super::attempt::Service;
use super::state::{Balanced, DispatcherState, Known, Outputs};

impl DispatcherState {
    pub(super) fn servers(
        &mut self,
        servers: Vec<Server>,
        evacuation: impl Fn(&str) -> EvacuationState,
        outputs: &mut Outputs,
    ) {
        let (now, quorum_reachable) = (self.clock.now(), self.quorum_reachable);
        let mut by_service: BTreeMap<Service, Vec<(Server, u32)>> =
            self.services.keys().map(|service| (*service, Vec::new())).collect();
        for server in servers {
            let (service, region) = (self.service(&server.service), self.region(&server.zone));
            by_service.entry(service).or_default().push((server, region));
        }
        for (id, servers) in by_service {
            let Some(service) = self.services.get_mut(&id) else { continue };
            let (members, retired) = service.list(now, servers, quorum_reachable, &evacuation);
            outputs.retired.extend(retired.into_iter().map(|backend| (id, backend)));
            if !members.is_empty() {
                self.handle_event(id, Event::Membership { scope: ListScope::Changes, members }, outputs);
            }
        }
    }
}

impl Balanced {
    /// Takes the list of this service's servers in. Returns what has changed, and whose idle connections are of no more use.
    fn list(
        &mut self,
        now: Nanos,
        servers: Vec<(Server, u32)>,
        quorum_reachable: bool,
        evacuation: &impl Fn(&str) -> EvacuationState,
    ) -> (Vec<Member>, Vec<BackendId>) {
        let (mut members, mut retired, mut there) = (Vec::new(), Vec::new(), HashSet::new());
        let mut placement = self.placement.borrow_mut();
        for (server, region) in servers {
            let Ok(endpoint) = server.address.parse::<SocketAddr>() else {
                log::warn!("event=server_without_address id={} address={:?}", server.id, server.address);
                continue;
            };
            let id = *self.ids.entry(server.id.clone()).or_insert_with(|| {
                self.next_backend += 1;
                BackendId(self.next_backend)
            });
            there.insert(id);
            let EvacuationState { active: evacuated, change_count: evacuations } = evacuation(&server.zone);
            let leaves = server.draining || server.lifetime_remaining_ms.is_some();
            // Out of touch nobody knows whether the zone is evacuated still.
            let last_resort = evacuated && !quorum_reachable;
            let leaves = leaves || (evacuated && quorum_reachable);
            let stage = if leaves { BackendState::Draining } else { BackendState::InService };
            let cold_left = Nanos::from(server.warm_up_remaining_ms) * MILLISECOND;
            let cold_until = if cold_left > 0 { now + cold_left + COLD_MORE } else { 0 };
            let listed = ListedServer {
                name: &server.id,
                region,
                slow_start_until: cold_until,
                is_last_resort: last_resort,
            };
            placement.upsert_server(id, listed);
            let known = self.backends.get(&id);
            // Its zone has just been taken back: its servers may have turned cold meanwhile.
            if known.is_some_and(|known| known.evacuations != evacuations) && !evacuated {
                placement.restart_slow_start(now, id);
            }
            let changed = known.is_none_or(|known| known.stage != stage || known.endpoint != endpoint);
            if changed {
                if stage != BackendState::InService {
                    retired.push(id);
                }
                members.push(Member {
                    backend: id,
                    zone: ZoneId(region),
                    state: stage,
                    weight: f64::from(server.slots.max(1)),
                    ..Member::default()
                });
            }
            let instance = Rc::from(server.id.as_str());
            self.backends.insert(id, Known { endpoint, region, instance, server, stage, evacuations });
        }
        let gone: Vec<BackendId> = self.backends.keys().filter(|id| !there.contains(*id)).copied().collect();
        for id in gone {
            if let Some(known) = self.backends.remove(&id) {
                self.ids.remove(&known.server.id);
            }
            placement.remove_server(id);
            retired.push(id);
            members.push(Member { backend: id, state: BackendState::Removed, ..Member::default() });
        }
        (members, retired)
    }
}
