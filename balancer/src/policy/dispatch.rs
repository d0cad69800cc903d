//! Dispatch: the only place that sends requests.

use super::tuning::UTILISATION_TIME_CONSTANT;
use crate::api::{Action, BackendId, RequestId, ZoneId};
use crate::state::{Attempt, Backend, Balancer, Health, RequestPhase, SlowStartSend};

impl Balancer {
    /// Sends the request to the backend that is chosen for it, or queues the request if there is none.
    pub(super) fn dispatch_or_queue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(to) = self.choose_backend(id)
            && self.send(id, to, actions)
        {
            return;
        }
        if self.requests.get(&id).is_some_and(|request| request.phase == RequestPhase::Open) {
            self.set_phase(id, RequestPhase::Queued);
        }
    }

    /// Sends the request to this backend. Returns false if the send rules forbid it.
    pub(super) fn send(&mut self, id: RequestId, to: BackendId, actions: &mut Vec<Action>) -> bool {
        let request_and_backend = self.requests.get(&id).zip(self.backends.get(&to));
        if !request_and_backend.is_some_and(|(request, backend)| self.permits_send(request, backend)) {
            return false;
        }
        self.set_phase(id, RequestPhase::Open);
        self.pay_for_send(id);
        let Some(zone) = self.record_attempt(id, to) else { return false };
        actions.push(Action::Send { request: id, backend: to, timeout: None });
        self.notify_advisor(id, to);
        if let Some(view) = self.zones.get_mut(zone.0 as usize) {
            view.add_in_flight(self.now, 1.0, UTILISATION_TIME_CONSTANT);
            view.window.last_sent_at = self.now;
        }
        true
    }

    /// Records an attempt in the state of its request and its backend. Returns the zone of the backend.
    fn record_attempt(&mut self, id: RequestId, to: BackendId) -> Option<ZoneId> {
        let nodes_per_zone = self.nodes_per_zone();
        let request = self.requests.get_mut(&id)?;
        let backend = self.backends.get_mut(&to)?;
        let zone = backend.member.zone;
        request.attempts.push(Attempt {
            backend: to,
            zone,
            cell: backend.member.cell,
            sent_at: self.now,
            load_at_send: backend.load(nodes_per_zone),
            outcome: None,
            recorded_late: false,
        });
        backend.in_flight += 1;
        let view = self.zones.get(zone.0 as usize);
        self.counters.count_send(view.is_some_and(|view| backend.subset_rank > view.subset_cutoff));
        if backend.capacity_share(self.now, &self.settings.rules) < 1.0 {
            let send = SlowStartSend { sent_at: self.now, work: request.slow_start_work };
            backend.slow_start_sends.push_back(send);
        }
        if backend.health != Health::Healthy {
            backend.start_trial();
            self.invalidate_zone_utilisation(zone);
        }
        Some(zone)
    }
}

impl Backend {
    fn start_trial(&mut self) {
        if let Health::Ejected { .. } = self.health {
            self.health = Health::HalfOpen { served_trials: 0 };
        }
    }
}
