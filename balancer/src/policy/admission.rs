//! Admission: what is sent now, held for a moment, or turned away.

use std::collections::BTreeSet;

use super::figures::*;
use crate::api::*;
use crate::held;
use crate::state::*;
use crate::tally::Why;

impl Balancer {
    /// Whether a send there would be answered in time. Own idleness is no proof: only one not known as slow.
    pub(super) fn admits(&self, request: &Request, backend: &Backend) -> bool {
        let late = self.now >= request.aim_end;
        let end = if late { request.not_after } else { request.aim_end };
        let left = end.saturating_sub(self.now) as f64;
        let slowness = backend.slowness(self.now, &self.settings.rules);
        if self.many() {
            return self.fits(request, left, slowness, backend);
        }
        if self.is_free(slowness, backend) || self.is_advised(request, backend) {
            return true;
        }
        let load = backend.load(self.crowd());
        load <= self.load_within(request.class, self.share(request) * left / slowness)
            && self.leaves_room(request.class, request.over, slowness, load, backend)
    }

    /// What `admits` asks that does not depend on the request's own time.
    fn uncrowded(&self, class: usize, over: bool, backend: &Backend) -> bool {
        let slowness = backend.slowness(self.now, &self.settings.rules);
        self.is_free(slowness, backend)
            || self.leaves_room(class, over, slowness, backend.load(self.crowd()), backend)
    }

    fn is_free(&self, slowness: f64, backend: &Backend) -> bool {
        let idle = backend.in_flight == 0 && slowness < IDLE_SLOW;
        // Where there is room by its own report, a client with little time takes it from nobody.
        let roomy = backend.util.younger_than(self.now, UTIL_TRUST) && backend.util.value < ROOMY;
        idle || (roomy && f64::from(backend.in_flight) < backend.size())
    }

    /// What a backend's own report makes of the load that would crowd one.
    fn room_by_report(&self, backend: &Backend) -> f64 {
        if !backend.util.younger_than(self.now, UTIL_TRUST) {
            return 1.0;
        }
        // Raised by the own sends since it was made: figures are a second old, and a crowd gathers in less.
        let since = (f64::from(backend.in_flight) + 1.0) / (backend.told_at + 1.0);
        let util = backend.util.value * since.max(1.0);
        if util < SPARE_UNDER {
            1.0 + SPARE_MORE * (1.0 - util / SPARE_UNDER)
        } else {
            1.0 - BUSY_LESS * ((util - BUSY_OVER) / (1.0 - BUSY_OVER)).clamp(0.0, 1.0)
        }
    }

    fn leaves_room(&self, class: usize, over: bool, slowness: f64, load: f64, backend: &Backend) -> bool {
        let view = &self.classes[class];
        // A cold one's budget is its bound: what it lacks yet is no sign of a crowd.
        let crowd = slowness * backend.ramp(self.now, &self.settings.rules) * load;
        // What is beyond its tenant's share leaves room for what is not.
        let room = if over { view.room * PRECEDENCE } else { view.room };
        // One request crowds no backend: with none there, no answer would show that it is well again.
        let alone = backend.in_flight == 0;
        let room = room * self.room_by_report(backend);
        alone || crowd <= room
    }

    /// Share of the time left that a send's expected delay may take.
    pub(super) fn share(&self, request: &Request) -> f64 {
        // A repeat that waits for more room than this will be late: nothing is saved by it.
        if request.attempts.is_empty() { ADMIT } else { ADMIT_AGAIN }
    }

    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(to) = self.choose(id)
            && self.send(id, to, actions)
        {
            return;
        }
        if self.requests.get(&id).is_some_and(|r| r.phase == Phase::Open) {
            self.stand(id, Phase::Held);
        }
    }

    /// Sends what is held as room appears, the worthiest first. Looks at what it sends and nine more at most.
    pub(super) fn pump(&mut self, actions: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let worth = |band: usize| {
            let over = if band % 2 == 1 { self.settings.over_quota_value } else { 1.0 };
            self.classes[band / 2].value * over
        };
        // Each band's worth, its next request, and whether no backend has room for any of it.
        let bands = (0..2 * self.classes.len()).filter_map(|band| Some((band, self.held.next(band, None)?)));
        let mut bands: Vec<(f64, RequestId, usize, bool)> =
            bands.map(|(band, first)| (worth(band), first, band, false)).collect();
        let mut misses = 0;
        while misses <= 8
            && let Some(at) = (0..bands.len())
                .min_by(|&a, &b| bands[b].0.total_cmp(&bands[a].0).then(bands[a].1.cmp(&bands[b].1)))
        {
            let (_, id, band, crowded) = bands[at];
            let sent = !crowded && self.choose(id).is_some_and(|to| self.send(id, to, actions));
            if !sent {
                misses += 1;
                // Sends only take room away: what has none now has none for the rest of this.
                bands[at].3 = crowded || !self.has_room(band / 2, band % 2 == 1);
            }
            match self.held.next(band, Some(id)) {
                Some(next) => bands[at].1 = next,
                None => drop(bands.swap_remove(at)),
            }
        }
    }

    /// Whether some backend might be sent a request of this class, whatever time it has left.
    fn has_room(&self, class: usize, over: bool) -> bool {
        let takes = |b: &Backend| self.usable(b) && self.uncrowded(class, over, b);
        self.many() || self.backends.len() > SCAN || self.backends.values().any(takes)
    }

    /// Ends at once what no backend would be sent any more, as it could not answer in time; and what was
    /// never sent, while a refusal is still early.
    pub(super) fn expire(&mut self, actions: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let (tick, mut late) = (self.tick(), BTreeSet::new());
        for class in 0..self.classes.len() {
            for (again, share) in [(false, ADMIT), (true, ADMIT_AGAIN)] {
                let least = (self.delay(class, IDLE_LOAD) / share) as Nanos + tick;
                self.held.aims_by(held::aim(class, again), self.now + least, &mut late);
            }
        }
        self.held.ends_by(self.now + tick, &mut late);
        for (_, id) in late {
            self.end(id, Why::Held, self.settings.limits.max_retry_after, actions);
        }
    }

    /// What a unit of each class's work adds to the goal: worth, and more for the worst-served class.
    pub(super) fn value_classes(&mut self) {
        let goal = self.settings.worst_class_weight.min(1.0);
        let rates: Vec<(f64, f64)> =
            self.classes.iter().map(|c| (c.asked.now(self.now), c.served.now(self.now))).collect();
        let worth: f64 = rates.iter().zip(&self.settings.classes).map(|(r, c)| r.0 * c.value).sum();
        let part = |(asked, served): (f64, f64)| if asked > 0.0 { served / asked } else { 1.0 };
        let worst = rates.iter().map(|&rate| part(rate)).fold(1.0, f64::min);
        for ((view, class), &rate) in self.classes.iter_mut().zip(&self.settings.classes).zip(&rates) {
            let mut value = (1.0 - goal) * class.value / worth.max(1e-9);
            if part(rate) <= worst {
                value += goal / rate.0.max(1e-9);
            }
            view.value = if self.settings.value_per_work { value } else { value / view.idle.max(1.0) };
        }
        // A worthy class with a tight aim would find all room taken by lesser ones with a wide aim.
        let mut room = f64::INFINITY;
        for class in self.by_value().into_iter().filter(|&class| rates[class].0 > 0.1) {
            let aim = self.settings.classes[class].latency_target as f64;
            let crowded = self.load_within(class, CROWDED * self.classes[class].idle).max(HANDFUL);
            room = (room * PRECEDENCE).min(crowded).min(self.load_within(class, ADMIT * aim));
            self.classes[class].room = room;
        }
    }

    /// The share that spills where nodes are many: moved by what evens out the figures over what comes until
    /// the next ones.
    pub(super) fn share_out(&mut self) {
        let count = self.zones[self.settings.home.0 as usize].listed.max(1.0);
        let coming = (self.asked() * self.crowd() * 2.0 * self.list_period / count).max(LEAST_COMING);
        let wanted = SHARED_THRESHOLD / (1.0 - SHARED_THRESHOLD);
        let best = self.overflow.first().filter(|_| self.qualified > 0);
        let best = best.map(|zone| self.zones[zone.0 as usize].held);
        let view = &mut self.zones[self.settings.home.0 as usize];
        // A crossing has its price: the other zone must hold less by one request a core at least.
        let spilling = view.held - best.map_or(f64::INFINITY, |best| (best + 1.0).max(wanted));
        view.spill = (view.spill + GAIN * spilling.max(-view.held) / coming).clamp(0.0, 1.0);
    }

    /// Part of a tenant's requests that is beyond this node's part of its share.
    pub(super) fn over_share(&self, tenant: usize) -> f64 {
        let (Some(asked), Some(quota)) = (self.tenants.get(tenant), self.settings.tenant_quotas.get(tenant))
        else {
            return 0.0;
        };
        let part = quota / f64::from(self.settings.nodes) / asked.now(self.now).max(1e-9);
        // A node sees few requests of a tenant: half as many again may be chance.
        if self.settings.over_quota_value < 1.0 { (1.0 - 1.5 * part).max(0.0) } else { 0.0 }
    }
}
