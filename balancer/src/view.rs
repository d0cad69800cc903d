//! A node's view of what there is: how it begins, which backends the list names, how much of a zone is in use, and
//! which requests are held. It is kept up here, in step with the events, so that no decision has to walk
//! everything; what follows from it is decided under `policy/`.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;
use crate::held::{self, Held};
use crate::notices::Notices;
use crate::policy::figures::*;
use crate::state::*;
use crate::tally::Tally;

impl Balancer {
    /// A node that knows nothing yet. `seed` drives its jitter.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.validate()?;
        let other = Zone { window: Window::new(WINDOW_AWAY, true), ..Zone::default() };
        let mut zones = vec![other; settings.zones as usize];
        zones[settings.home.0 as usize].window = Window::new(HANDFUL, false);
        let least = settings
            .classes
            .iter()
            .map(|class| class.latency_target as f64 / 16.0)
            .fold(f64::INFINITY, f64::min);
        let classes = settings.classes.iter().map(ClassView::new).collect();
        let tenants = vec![Rate::default(); settings.tenant_quotas.len()];
        let probes = Self::scheduler(&settings, seed, now);
        let held = Held::new(settings.classes.len());
        let in_zone = vec![Vec::new(); settings.zones as usize];
        let sums = vec![Cell::new(None); settings.zones as usize];
        Ok(Self {
            settings,
            tenants,
            strain: Strain::default(),
            short: Rate::default(),
            unserved: Rate::default(),
            seed,
            random: seed ^ 0x9e37_79b9_7f4a_7c15,
            now,
            requests: BTreeMap::new(),
            held,
            in_zone: in_zone.clone(),
            subsets: in_zone,
            in_service: 0,
            ejected: 0,
            failing: (0.0, 0),
            refreshes: 0,
            sums,
            backends: BTreeMap::new(),
            zones,
            classes,
            base: least,
            samples: 0.0,
            overflow: Vec::new(),
            qualified: 0,
            refresh_at: now,
            retry_tokens: 1.0,
            notices: Notices::default(),
            ask_at: None,
            ask_failures: 0,
            log_at: 0,
            armed: None,
            kind_size: BTreeMap::new(),
            listed_at: None,
            list_period: 1.0,
            share_at: 0,
            probes,
            tally: Tally::default(),
            saved: None,
            advice: None,
        })
    }

    /// Takes a list in: backends come, change and go, and the `subset` lowest lots of each zone are found.
    pub(crate) fn take_list(&mut self, scope: ListScope, members: Vec<Member>, subset: usize) {
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
            let known = self.kind_size.entry(member.machine_kind).or_insert(0.0);
            *known = known.max(member.weight);
        }
        for mut member in members {
            let told = member.weight;
            if live {
                member.weight = self.kind_size.get(&member.machine_kind).copied().unwrap_or(1.0);
            }
            let backend = self.backends.entry(member.backend).or_insert_with(|| Backend::new(member));
            if backend.member.online_since != member.online_since {
                let in_flight = backend.in_flight;
                *backend = Backend { in_flight, ..Backend::new(member) };
            }
            backend.member = member;
            backend.lot =
                hash_mix(self.seed ^ u64::from(member.backend.0).wrapping_mul(0xd6e8_feb8_6659_fd93));
            backend.held = (live && told > 0.0).then(|| (member.weight / told - 1.0).max(0.0));
        }
        self.backends
            .retain(|_, backend| backend.member.state != BackendState::Removed || backend.in_flight > 0);
        self.in_zone.iter_mut().for_each(Vec::clear);
        for (&id, backend) in &self.backends {
            let members = self.in_zone.get_mut(backend.member.zone.0 as usize);
            members.into_iter().for_each(|members| members.push(id));
        }
        self.sums.iter().for_each(|sum| sum.set(None));
        let in_service = |b: &&Backend| b.member.state == BackendState::InService;
        self.in_service = self.backends.values().filter(in_service).count();
        self.ejected = self.backends.values().filter(|b| b.health != Health::Healthy).count();
        for ((view, members), own) in self.zones.iter_mut().zip(&self.in_zone).zip(&mut self.subsets) {
            let of = |id: &BackendId| self.backends.get(id);
            let mut lots: Vec<u64> =
                members.iter().filter_map(of).filter(in_service).map(|b| b.lot).collect();
            view.listed = lots.len() as f64;
            view.subset = match subset.checked_sub(1).filter(|&last| last < lots.len()) {
                Some(last) => *lots.select_nth_unstable(last).1,
                None => u64::MAX,
            };
            own.clear();
            own.extend(members.iter().filter(|id| of(id).is_some_and(|b| b.lot <= view.subset)));
        }
        // What crowds no backend, of each node's even part of them.
        let (home, crowd) = (self.settings.home.0 as usize, self.crowd());
        let part = HANDFUL * self.zones[home].listed / crowd;
        self.zones[home].window.start_at(part);
        self.list_probed();
    }

    /// Sums the reports of a zone's usable backends up, and keeps the sum until the time changes it; events that
    /// do call `unsettle`.
    pub(crate) fn sum_up(&self, zone: ZoneId) -> ZoneSum {
        let members = &self.in_zone[zone.0 as usize];
        let mut sum = ZoneSum { used: 0.0, size: 0.0, usable: 0, known: 0, dark: 0, until: Nanos::MAX };
        let mut add = |backend: &Backend| {
            sum.dark += usize::from(backend.dark && backend.member.state == BackendState::InService);
            if let Some(change) = self.usable_changes(backend) {
                sum.until = sum.until.min(change);
            }
            let usable = self.usable(backend) && backend.member.state == BackendState::InService;
            sum.usable += usize::from(usable);
            if self.usable(backend) && backend.util.younger_than(self.now, UTIL_TRUST) {
                sum.until = sum.until.min(backend.util.at.unwrap_or(self.now) + UTIL_TRUST);
                sum.known += usize::from(usable);
                sum.used += backend.util.value * backend.size();
                sum.size += backend.size();
            }
        };
        if members.len() > SCAN {
            // One walk through all is quicker than as many look-ups.
            self.backends.values().filter(|backend| backend.member.zone == zone).for_each(add);
            sum.until = sum.until.min(self.now + REFRESH);
        } else {
            members.iter().filter_map(|id| self.backends.get(id)).for_each(&mut add);
        }
        self.sums[zone.0 as usize].set(Some(sum));
        sum
    }

    /// Something has changed what is known of a zone's use. That of a large one stands until its time is over:
    /// it would be summed up for every answer otherwise.
    pub(crate) fn unsettle(&self, zone: ZoneId) {
        if self.in_zone.get(zone.0 as usize).is_some_and(|members| members.len() <= SCAN) {
            self.sums[zone.0 as usize].set(None);
        }
    }

    /// Notes where a request stands from now on; one that is held no longer leaves the orders of those that
    /// are. What has ended stays ended.
    pub(crate) fn stand(&mut self, id: RequestId, phase: Phase) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.phase != Phase::Ended) else { return };
        request.phase = phase;
        let unsent = |a: &Attempt| matches!(a.outcome, Some(Outcome::ConnectFailed | Outcome::NotSent));
        match (phase, request.hold) {
            (Phase::Held, None) => {
                let never_sent = request.attempts.iter().all(unsent);
                let end = if never_sent { request.half } else { request.not_after };
                let (band, again) = (held::band(request.class, request.over), !request.attempts.is_empty());
                let aim = held::aim(request.class, again);
                request.hold = Some(self.held.put(id, band, aim, request.aim_end, end));
            }
            (Phase::Held, _) | (_, None) => {}
            (_, Some(hold)) => {
                request.hold = None;
                self.held.take(id, hold);
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
            utilisation: backend.util.at.map(|at| (backend.util.value, now.saturating_sub(at))),
            slowness: backend.slowness(now, &self.settings.rules),
            ejected: backend.health != Health::Healthy,
            capacity_share: backend.ramp(now, &self.settings.rules),
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
        let cold: usize = node.backends.values().map(|backend| backend.cold_sends.len()).sum();
        assert!(node.backends.len() <= 31, "{} backends", node.backends.len());
        assert_eq!(node.in_zone.iter().map(Vec::len).sum::<usize>(), node.backends.len());
        assert!(node.requests.len() <= 3, "{} requests", node.requests.len());
        assert!(cold <= 31 * 3 * 30, "{cold} sends to cold backends");
        assert!(node.kind_size.len() <= 2);
        // A notice binds for five minutes: so many were told in that time, and as many went missing.
        assert!(node.notices.len() <= 320, "{} notices", node.notices.len());
        assert!(node.probes.as_ref().is_some_and(|probes| probes.kept().count() <= 31));
        assert_eq!(node.zones.iter().map(|zone| zone.own).sum::<f64>(), 0.0, "attempts that nobody makes");
    }
}
