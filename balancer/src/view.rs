//! A node's view of what there is: how it begins, which backends the list names, how much of a zone is in use, and
//! which requests are held. It is kept up here, in step with the events, so that no decision has to walk
//! everything; what follows from it is decided under `policy/`.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;
use crate::held::{self, PendingQueue};
use crate::notices::RemovalNotices;
use crate::policy::figures::*;
use crate::state::*;
use crate::tally::Counters;

impl Balancer {
    /// A node that knows nothing yet. `seed` drives its jitter.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.validate()?;
        let other =
            ZoneView { window: ConcurrencyWindow::new(INITIAL_REMOTE_WINDOW, true), ..ZoneView::default() };
        let mut zones = vec![other; settings.zones as usize];
        zones[settings.home.0 as usize].window = ConcurrencyWindow::new(MIN_LOAD_LIMIT, false);
        let least = settings
            .classes
            .iter()
            .map(|class| class.latency_target as f64 / 16.0)
            .fold(f64::INFINITY, f64::min);
        let classes = settings.classes.iter().map(ClassView::new).collect();
        let tenants = vec![RateEstimator::default(); settings.tenant_quotas.len()];
        let probes = Self::new_probe_scheduler(&settings, seed, now);
        let held = PendingQueue::new(settings.classes.len());
        let in_zone = vec![Vec::new(); settings.zones as usize];
        let sums = vec![Cell::new(None); settings.zones as usize];
        Ok(Self {
            settings,
            tenant_arrivals: tenants,
            congestion: CongestionSignal::default(),
            suspected_retries: RateEstimator::default(),
            unserved: RateEstimator::default(),
            seed,
            random_state: seed ^ 0x9e37_79b9_7f4a_7c15,
            now,
            requests: BTreeMap::new(),
            pending: held,
            zone_backends: in_zone.clone(),
            zone_subsets: in_zone,
            in_service_count: 0,
            ejected_count: 0,
            total_failure_rate: (0.0, 0),
            refresh_count: 0,
            cached_zone_utilisation: sums,
            backends: BTreeMap::new(),
            zones,
            classes,
            latency_per_load: least,
            load_samples: 0.0,
            overflow_zones: Vec::new(),
            qualified_zones: 0,
            refresh_at: now,
            retry_tokens: 1.0,
            removal_notices: RemovalNotices::default(),
            poll_at: None,
            discovery_failures: 0,
            next_log_at: 0,
            timer_at: None,
            idle_weights: BTreeMap::new(),
            list_received_at: None,
            list_interval_s: 1.0,
            overflow_share_at: 0,
            probe_scheduler: probes,
            counters: Counters::default(),
            max_retry_tokens: None,
            advisor: None,
        })
    }

    /// Takes a list in: backends come, change and go, and the `subset` lowest lots of each zone are found.
    pub(crate) fn apply_membership(&mut self, scope: ListScope, members: Vec<Member>, subset: usize) {
        if scope != ListScope::Changes {
            let named: BTreeSet<BackendId> = members.iter().map(|member| member.backend).collect();
            for backend in self.backends.values_mut() {
                if !named.contains(&backend.member.backend) {
                    backend.member.state = BackendState::Removed;
                }
            }
        }
        let live = self.settings.weights == Weights::Live;
        for member in members.iter().filter(|member| live && member.weight.is_finite()) {
            let known = self.idle_weights.entry(member.machine_kind).or_insert(0.0);
            *known = known.max(member.weight);
        }
        for mut member in members {
            let told = member.weight;
            if live {
                member.weight = self.idle_weights.get(&member.machine_kind).copied().unwrap_or(1.0);
            }
            let backend = self.backends.entry(member.backend).or_insert_with(|| Backend::new(member));
            if backend.member.online_since != member.online_since {
                let in_flight = backend.in_flight;
                *backend = Backend { in_flight, ..Backend::new(member) };
            }
            backend.member = member;
            backend.subset_rank =
                hash_mix(self.seed ^ u64::from(member.backend.0).wrapping_mul(0xd6e8_feb8_6659_fd93));
            backend.listed_load = (live && told > 0.0).then(|| (member.weight / told - 1.0).max(0.0));
        }
        self.backends
            .retain(|_, backend| backend.member.state != BackendState::Removed || backend.in_flight > 0);
        self.zone_backends.iter_mut().for_each(Vec::clear);
        for (&id, backend) in &self.backends {
            let members = self.zone_backends.get_mut(backend.member.zone.0 as usize);
            members.into_iter().for_each(|members| members.push(id));
        }
        self.cached_zone_utilisation.iter().for_each(|sum| sum.set(None));
        let in_service = |b: &&Backend| b.member.state == BackendState::InService;
        self.in_service_count = self.backends.values().filter(in_service).count();
        self.ejected_count = self.backends.values().filter(|b| b.health != Health::Healthy).count();
        for ((view, members), own) in
            self.zones.iter_mut().zip(&self.zone_backends).zip(&mut self.zone_subsets)
        {
            let of = |id: &BackendId| self.backends.get(id);
            let mut lots: Vec<u64> =
                members.iter().filter_map(of).filter(in_service).map(|b| b.subset_rank).collect();
            view.in_service = lots.len() as f64;
            view.subset_cutoff = match subset.checked_sub(1).filter(|&last| last < lots.len()) {
                Some(last) => *lots.select_nth_unstable(last).1,
                None => u64::MAX,
            };
            own.clear();
            own.extend(
                members.iter().filter(|id| of(id).is_some_and(|b| b.subset_rank <= view.subset_cutoff)),
            );
        }
        // What crowds no backend, of each node's even part of them.
        let (home, crowd) = (self.settings.home.0 as usize, self.nodes_per_zone());
        let part = MIN_LOAD_LIMIT * self.zones[home].in_service / crowd;
        self.zones[home].window.raise_initial_size(part);
        self.update_probe_candidates();
    }

    /// Sums the reports of a zone's usable backends up, and keeps the sum until the time changes it; events that
    /// do call `unsettle`.
    pub(crate) fn compute_zone_utilisation(&self, zone: ZoneId) -> ZoneUtilisation {
        let members = &self.zone_backends[zone.0 as usize];
        let mut sum = ZoneUtilisation {
            used_weight: 0.0,
            total_weight: 0.0,
            usable_backends: 0,
            reporting_backends: 0,
            unreachable_backends: 0,
            valid_until: Nanos::MAX,
        };
        let mut add = |backend: &Backend| {
            sum.unreachable_backends +=
                usize::from(backend.unreachable && backend.member.state == BackendState::InService);
            if let Some(change) = self.usable_changes_at(backend) {
                sum.valid_until = sum.valid_until.min(change);
            }
            let usable = self.is_usable(backend) && backend.member.state == BackendState::InService;
            sum.usable_backends += usize::from(usable);
            if self.is_usable(backend) && backend.utilisation.is_fresh(self.now, UTILISATION_MAX_AGE) {
                sum.valid_until = sum
                    .valid_until
                    .min(backend.utilisation.updated_at.unwrap_or(self.now) + UTILISATION_MAX_AGE);
                sum.reporting_backends += usize::from(usable);
                sum.used_weight += backend.utilisation.value * backend.weight();
                sum.total_weight += backend.weight();
            }
        };
        if members.len() > MAX_SCANNED_BACKENDS {
            // One walk through all is quicker than as many look-ups.
            self.backends.values().filter(|backend| backend.member.zone == zone).for_each(add);
            sum.valid_until = sum.valid_until.min(self.now + REFRESH_INTERVAL);
        } else {
            members.iter().filter_map(|id| self.backends.get(id)).for_each(&mut add);
        }
        self.cached_zone_utilisation[zone.0 as usize].set(Some(sum));
        sum
    }

    /// Something has changed what is known of a zone's use. That of a large one stands until its time is over:
    /// it would be summed up for every answer otherwise.
    pub(crate) fn invalidate_zone_utilisation(&self, zone: ZoneId) {
        if self
            .zone_backends
            .get(zone.0 as usize)
            .is_some_and(|members| members.len() <= MAX_SCANNED_BACKENDS)
        {
            self.cached_zone_utilisation[zone.0 as usize].set(None);
        }
    }

    /// Notes where a request stands from now on; one that is held no longer leaves the orders of those that
    /// are. What has ended stays ended.
    pub(crate) fn set_phase(&mut self, id: RequestId, phase: RequestPhase) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.phase != RequestPhase::Ended) else {
            return;
        };
        request.phase = phase;
        let unsent = |a: &Attempt| matches!(a.outcome, Some(Outcome::ConnectFailed | Outcome::NotSent));
        match (phase, request.queue_entry) {
            (RequestPhase::Queued, None) => {
                let never_sent = request.attempts.iter().all(unsent);
                let end = if never_sent { request.queue_until } else { request.not_after };
                let (band, again) =
                    (held::band(request.class, request.over_quota), !request.attempts.is_empty());
                let aim = held::aim(request.class, again);
                request.queue_entry = Some(self.pending.insert(id, band, aim, request.target_at, end));
            }
            (RequestPhase::Queued, _) | (_, None) => {}
            (_, Some(hold)) => {
                request.queue_entry = None;
                self.pending.remove(id, hold);
            }
        }
    }
}

impl Balancer {
    /// Whether a backend takes requests, by the lists and the notices that bind against them.
    pub fn is_in_service(&self, backend: BackendId) -> bool {
        self.backends.get(&backend).is_some_and(|backend| backend.member.state == BackendState::InService)
    }

    /// The backends of the list as this node sees them now, by id.
    pub fn backend_snapshots(&self, now: Nanos) -> Vec<BackendSnapshot> {
        let figures = |(id, backend): (&BackendId, &Backend)| BackendSnapshot {
            backend: *id,
            zone: backend.member.zone,
            in_flight: backend.in_flight,
            utilisation: backend
                .utilisation
                .updated_at
                .map(|at| (backend.utilisation.value, now.saturating_sub(at))),
            slowness: backend.slowness(now, &self.settings.rules),
            ejected: backend.health != Health::Healthy,
            capacity_share: backend.capacity_share(now, &self.settings.rules),
        };
        self.backends.iter().map(figures).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A long life: servers come, start anew, drain and go, some unseen; requests, probes and clients that hang up. Nothing
    /// may stay behind that the present list and the open requests do not explain.
    #[test]
    fn what_is_kept_after_a_long_life_is_what_the_list_explains() {
        let class = ClassSettings { idempotency: Idempotency::NonIdempotent, ..ClassSettings::default() };
        let limits = Limits { probes: true, ..Settings::new(ZoneId(0), 3).limits };
        let (reports, nodes) = (LoadReporting::Pull, 300);
        let settings =
            Settings { classes: vec![class; 2], limits, reports, nodes, ..Settings::new(ZoneId(0), 3) };
        let mut node = Balancer::new(settings, 7, SECOND).expect("usable settings");
        let mut actions = Vec::new();
        let mut request = 0;
        for round in 0..20_000u64 {
            let now = SECOND * (1 + round);
            let born = |backend: u64| Member {
                backend: BackendId(backend as u32),
                zone: ZoneId((backend % 3) as u32),
                machine_kind: (backend % 2) as u32,
                online_since: Some(SECOND * backend / 2),
                ..Member::default()
            };
            // Thirty live at a time; every other one is told to leave, the others are missing from a whole list.
            let members: Vec<Member> = (round / 2..round / 2 + 30).map(born).collect();
            let leaving = Member { state: BackendState::Removed, ..born(round / 2) };
            let told =
                if round % 4 == 0 { (ListScope::Changes, vec![leaving]) } else { (ListScope::Full, members) };
            node.handle(now, Event::Membership { scope: told.0, members: told.1 }, &mut actions);
            for _ in 0..3 {
                let id = RequestId(request);
                request += 1;
                let arrival = Arrival {
                    request: id,
                    class: ClassId((request % 2) as u32),
                    expected_work: None,
                    is_retry: false,
                    tenant: None,
                    not_after: now + SECOND,
                };
                node.handle(now, Event::Request(arrival), &mut actions);
                if request.is_multiple_of(5) {
                    node.handle(now, Event::ClientDisconnected { request: id }, &mut actions);
                }
            }
            node.handle(now + SECOND / 4, Event::Timer { token: 0 }, &mut actions);
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send { request, .. } => {
                        let outcome = if round % 7 == 0 { Outcome::Reset } else { Outcome::Served };
                        let (elapsed, ended) = (SECOND / 5, outcome == Outcome::Served);
                        let report = LoadReport::default();
                        let settled = AttemptEnd {
                            request,
                            attempt: 0,
                            outcome,
                            elapsed,
                            request_ended: ended,
                            report,
                        };
                        node.handle(now + SECOND / 2, Event::AttemptEnded(settled), &mut actions);
                    }
                    Action::Probe { backend } => {
                        let report = LoadReport { utilisation: Some(0.5), ..LoadReport::default() };
                        let (outcome, elapsed) = (Outcome::Served, SECOND / 100);
                        let probed = Event::ProbeEnded { backend, outcome, elapsed, report };
                        node.handle(now + SECOND / 2, probed, &mut actions);
                    }
                    _ => {}
                }
            }
            node.handle(now + SECOND / 4 * 3, Event::Timer { token: 0 }, &mut actions);
        }
        let cold: usize = node.backends.values().map(|backend| backend.slow_start_sends.len()).sum();
        assert!(node.backends.len() <= 31, "{} backends", node.backends.len());
        assert_eq!(node.zone_backends.iter().map(Vec::len).sum::<usize>(), node.backends.len());
        assert!(node.requests.len() <= 3, "{} requests", node.requests.len());
        assert!(cold <= 31 * 3 * 30, "{cold} sends to cold backends");
        assert!(node.idle_weights.len() <= 2);
        // A notice binds for five minutes: so many were told in that time, and as many went missing.
        assert!(node.removal_notices.len() <= 320, "{} notices", node.removal_notices.len());
        assert!(node.probe_scheduler.as_ref().is_some_and(|probes| probes.kept().count() <= 31));
        assert_eq!(
            node.zones.iter().map(|zone| zone.in_flight).sum::<f64>(),
            0.0,
            "attempts that nobody makes"
        );
    }
}
