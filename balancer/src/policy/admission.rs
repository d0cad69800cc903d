//! Admission: what is sent now, held for a moment, or turned away.

use std::collections::BTreeSet;

use super::figures::*;
use crate::api::*;
use crate::held;
use crate::state::*;
use crate::tally::RejectReason;

impl Balancer {
    /// Whether a send there would be answered in time. Own idleness is no proof: only one not known as slow.
    pub(super) fn admits(&self, request: &Request, backend: &Backend) -> bool {
        let late = self.now >= request.target_at;
        let end = if late { request.not_after } else { request.target_at };
        let left = end.saturating_sub(self.now) as f64;
        let slowness = backend.slowness(self.now, &self.settings.rules);
        if self.has_many_nodes() {
            return self.fits_window(request, left, slowness, backend);
        }
        if self.is_idle(slowness, backend) || self.has_advised_delay(request, backend) {
            return true;
        }
        let load = backend.load(self.nodes_per_zone());
        load <= self.load_for_latency(request.class, self.latency_budget_share(request) * left / slowness)
            && self.is_within_load_limit(request.class, request.over_quota, slowness, load, backend)
    }

    /// What `admits` asks that does not depend on the request's own time.
    fn has_headroom(&self, class: usize, over: bool, backend: &Backend) -> bool {
        let slowness = backend.slowness(self.now, &self.settings.rules);
        self.is_idle(slowness, backend)
            || self.is_within_load_limit(class, over, slowness, backend.load(self.nodes_per_zone()), backend)
    }

    fn is_idle(&self, slowness: f64, backend: &Backend) -> bool {
        let idle = backend.in_flight == 0 && slowness < MAX_IDLE_SLOWNESS;
        // Where there is room by its own report, a client with little time takes it from nobody.
        let roomy = backend.utilisation.is_fresh(self.now, UTILISATION_MAX_AGE)
            && backend.utilisation.value < SPARE_UTILISATION;
        idle || (roomy && f64::from(backend.in_flight) < backend.weight())
    }

    /// What a backend's own report makes of the load that would crowd one.
    fn load_limit_factor(&self, backend: &Backend) -> f64 {
        if !backend.utilisation.is_fresh(self.now, UTILISATION_MAX_AGE) {
            return 1.0;
        }
        // Raised by the own sends since it was made: figures are a second old, and a crowd gathers in less.
        let since = (f64::from(backend.in_flight) + 1.0) / (backend.in_flight_at_report + 1.0);
        let util = backend.utilisation.value * since.max(1.0);
        if util < LOW_UTILISATION {
            1.0 + LOW_UTILISATION_BONUS * (1.0 - util / LOW_UTILISATION)
        } else {
            1.0 - HIGH_UTILISATION_PENALTY
                * ((util - HIGH_UTILISATION) / (1.0 - HIGH_UTILISATION)).clamp(0.0, 1.0)
        }
    }

    fn is_within_load_limit(
        &self,
        class: usize,
        over: bool,
        slowness: f64,
        load: f64,
        backend: &Backend,
    ) -> bool {
        let view = &self.classes[class];
        // A cold one's budget is its bound: what it lacks yet is no sign of a crowd.
        let crowd = slowness * backend.capacity_share(self.now, &self.settings.rules) * load;
        // What is beyond its tenant's share leaves room for what is not.
        let room = if over { view.load_limit * LOWER_PRIORITY_SHARE } else { view.load_limit };
        // One request crowds no backend: with none there, no answer would show that it is well again.
        let alone = backend.in_flight == 0;
        let room = room * self.load_limit_factor(backend);
        alone || crowd <= room
    }

    /// Share of the time left that a send's expected delay may take.
    pub(super) fn latency_budget_share(&self, request: &Request) -> f64 {
        // A repeat that waits for more room than this will be late: nothing is saved by it.
        if request.attempts.is_empty() { ADMISSION_SHARE } else { RETRY_ADMISSION_SHARE }
    }

    pub(super) fn dispatch_or_queue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(to) = self.choose_backend(id)
            && self.send(id, to, actions)
        {
            return;
        }
        if self.requests.get(&id).is_some_and(|r| r.phase == RequestPhase::Open) {
            self.set_phase(id, RequestPhase::Queued);
        }
    }

    /// Sends what is held as room appears, the worthiest first. Looks at what it sends and nine more at most.
    pub(super) fn dispatch_pending(&mut self, actions: &mut Vec<Action>) {
        if self.pending.is_empty() {
            return;
        }
        let worth = |band: usize| {
            let over = if band % 2 == 1 { self.settings.over_quota_value } else { 1.0 };
            self.classes[band / 2].value_density * over
        };
        // Each band's worth, its next request, and whether no backend has room for any of it.
        let bands = (0..2 * self.classes.len())
            .filter_map(|band| Some((band, self.pending.next_in_band(band, None)?)));
        let mut bands: Vec<(f64, RequestId, usize, bool)> =
            bands.map(|(band, first)| (worth(band), first, band, false)).collect();
        let mut misses = 0;
        while misses <= 8
            && let Some(at) = (0..bands.len())
                .min_by(|&a, &b| bands[b].0.total_cmp(&bands[a].0).then(bands[a].1.cmp(&bands[b].1)))
        {
            let (_, id, band, crowded) = bands[at];
            let sent = !crowded && self.choose_backend(id).is_some_and(|to| self.send(id, to, actions));
            if !sent {
                misses += 1;
                // Sends only take room away: what has none now has none for the rest of this.
                bands[at].3 = crowded || !self.any_backend_has_headroom(band / 2, band % 2 == 1);
            }
            match self.pending.next_in_band(band, Some(id)) {
                Some(next) => bands[at].1 = next,
                None => drop(bands.swap_remove(at)),
            }
        }
    }

    /// Whether some backend might be sent a request of this class, whatever time it has left.
    fn any_backend_has_headroom(&self, class: usize, over: bool) -> bool {
        let takes = |b: &Backend| self.is_usable(b) && self.has_headroom(class, over, b);
        self.has_many_nodes()
            || self.backends.len() > MAX_SCANNED_BACKENDS
            || self.backends.values().any(takes)
    }

    /// Ends at once what no backend would be sent any more, as it could not answer in time; and what was
    /// never sent, while a refusal is still early.
    pub(super) fn expire_pending(&mut self, actions: &mut Vec<Action>) {
        if self.pending.is_empty() {
            return;
        }
        let (tick, mut late) = (self.housekeeping_interval(), BTreeSet::new());
        for class in 0..self.classes.len() {
            for (again, share) in [(false, ADMISSION_SHARE), (true, RETRY_ADMISSION_SHARE)] {
                let least = (self.expected_latency(class, IDLE_LOAD) / share) as Nanos + tick;
                self.pending.collect_targets_by(held::aim(class, again), self.now + least, &mut late);
            }
        }
        self.pending.collect_expired_by(self.now + tick, &mut late);
        for (_, id) in late {
            self.end_unserved(id, RejectReason::QueueTimeout, self.settings.limits.max_retry_after, actions);
        }
    }

    /// What a unit of each class's work adds to the goal: worth, and more for the worst-served class.
    pub(super) fn update_class_values(&mut self) {
        let goal = self.settings.worst_class_weight.min(1.0);
        let rates: Vec<(f64, f64)> = self
            .classes
            .iter()
            .map(|c| (c.arrivals.per_second(self.now), c.served.per_second(self.now)))
            .collect();
        let worth: f64 = rates.iter().zip(&self.settings.classes).map(|(r, c)| r.0 * c.value).sum();
        let part = |(asked, served): (f64, f64)| if asked > 0.0 { served / asked } else { 1.0 };
        let worst = rates.iter().map(|&rate| part(rate)).fold(1.0, f64::min);
        for ((view, class), &rate) in self.classes.iter_mut().zip(&self.settings.classes).zip(&rates) {
            let mut value = (1.0 - goal) * class.value / worth.max(1e-9);
            if part(rate) <= worst {
                value += goal / rate.0.max(1e-9);
            }
            view.value_density =
                if self.settings.value_per_work { value } else { value / view.idle_latency.max(1.0) };
        }
        // A worthy class with a tight aim would find all room taken by lesser ones with a wide aim.
        let mut room = f64::INFINITY;
        for class in self.classes_by_value().into_iter().filter(|&class| rates[class].0 > 0.1) {
            let aim = self.settings.classes[class].latency_target as f64;
            let crowded = self
                .load_for_latency(class, MAX_QUEUEING_RATIO * self.classes[class].idle_latency)
                .max(MIN_LOAD_LIMIT);
            room = (room * LOWER_PRIORITY_SHARE)
                .min(crowded)
                .min(self.load_for_latency(class, ADMISSION_SHARE * aim));
            self.classes[class].load_limit = room;
        }
    }

    /// The share that spills where nodes are many: moved by what evens out the figures over what comes until
    /// the next ones.
    pub(super) fn update_overflow_share(&mut self) {
        let count = self.zones[self.settings.home.0 as usize].in_service.max(1.0);
        let coming = (self.arrival_rate() * self.nodes_per_zone() * 2.0 * self.list_interval_s / count)
            .max(MIN_EXPECTED_ARRIVALS);
        let wanted = SHARED_OVERFLOW_THRESHOLD / (1.0 - SHARED_OVERFLOW_THRESHOLD);
        let best = self.overflow_zones.first().filter(|_| self.qualified_zones > 0);
        let best = best.map(|zone| self.zones[zone.0 as usize].load_per_core);
        let view = &mut self.zones[self.settings.home.0 as usize];
        // A crossing has its price: the other zone must hold less by one request a core at least.
        let spilling = view.load_per_core - best.map_or(f64::INFINITY, |best| (best + 1.0).max(wanted));
        view.overflow_share = (view.overflow_share
            + OVERFLOW_GAIN * spilling.max(-view.load_per_core) / coming)
            .clamp(0.0, 1.0);
    }

    /// Part of a tenant's requests that is beyond this node's part of its share.
    pub(super) fn over_quota_fraction(&self, tenant: usize) -> f64 {
        let (Some(asked), Some(quota)) =
            (self.tenant_arrivals.get(tenant), self.settings.tenant_quotas.get(tenant))
        else {
            return 0.0;
        };
        let part = quota / f64::from(self.settings.nodes) / asked.per_second(self.now).max(1e-9);
        // A node sees few requests of a tenant: half as many again may be chance.
        if self.settings.over_quota_value < 1.0 { (1.0 - 1.5 * part).max(0.0) } else { 0.0 }
    }
}
