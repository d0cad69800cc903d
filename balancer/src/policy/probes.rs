//! Probes for load reports: what they may cost, what a fresh figure would change, and what one tells. Whose
//! turn comes when is the scheduler's, in `probing/`.

use ivyhatch_load_probing::{Candidate, End, Interest, Limits as Bounds, Scheduler};

use super::figures::*;
use crate::api::*;
use crate::state::*;

impl Balancer {
    /// The scheduler of a node that may probe and has something to gain by it.
    pub(crate) fn new_probe_scheduler(settings: &Settings, seed: u64, now: Nanos) -> Option<Scheduler> {
        let gains = settings.limits.probes && settings.reports != LoadReporting::Disabled;
        let per_request = MAX_PROBE_COST_SHARE / settings.probe_cost.max(MAX_PROBE_COST_SHARE);
        let bounds =
            Bounds { per_request, waits: PROBE_INTERVALS, useful: UTILISATION_MAX_AGE, ..Bounds::default() };
        gains.then(|| Scheduler::new(bounds, seed, now).ok()).flatten()
    }

    /// Tells the scheduler whom the list names.
    pub(crate) fn update_probe_candidates(&mut self) {
        let (home, zones) = (self.settings.home.0, self.settings.zones);
        let candidate = |(&id, backend): (&BackendId, &Backend)| {
            let Member { zone, state: stage, online_since, .. } = backend.member;
            let probed = stage == BackendState::InService && zone.0 < zones;
            let group = (zone.0 + zones).wrapping_sub(home) % zones;
            let incarnation = online_since.unwrap_or(0);
            probed.then_some(Candidate { id: id.0, group, lot: backend.subset_rank, incarnation })
        };
        if let Some(probes) = self.probe_scheduler.as_mut() {
            probes.list(self.backends.iter().filter_map(candidate).collect(), self.now);
        }
    }

    /// Sends the probes whose turn it is.
    pub(super) fn send_probes(&mut self, actions: &mut Vec<Action>) {
        let Some(probes) = self.probe_scheduler.as_mut() else { return };
        while let Some(id) = probes.next(self.now) {
            actions.push(Action::Probe { backend: BackendId(id) });
        }
    }

    /// When the next probe is due, if time alone brings it about.
    pub(super) fn next_probe_at(&self) -> Option<Nanos> {
        let at = self.probe_scheduler.as_ref()?.wakes()?;
        Some(at.max(self.now + self.housekeeping_interval()))
    }

    /// What a fresh figure would change of each server kept to, and what an arrival earns by now.
    pub(super) fn update_probe_interest(&mut self) {
        let Some(mut probes) = self.probe_scheduler.take() else { return };
        probes.review(self.now);
        // The work of probes stays a small part of that of requests, however little a probe is said to cost.
        let idle = self.classes.iter().map(|class| class.idle_latency).fold(f64::INFINITY, f64::min);
        probes.earn_by(MAX_PROBE_WORK_SHARE * idle / PROBE_WORK as f64);
        let (home, best) = (self.settings.home, self.overflow_zones.first().copied());
        let near = self
            .utilisation(home)
            .is_none_or(|util| util > self.overflow_threshold() - PROBE_THRESHOLD_MARGIN);
        for id in probes.kept().collect::<Vec<_>>() {
            let Some(backend) = self.backends.get(&BackendId(id)) else { continue };
            let cold = backend.capacity_share(self.now, &self.settings.rules) < 1.0;
            // What can't be reached is not asked more often for it.
            let suspect = !backend.unreachable
                && (backend.health != Health::Healthy
                    || backend.consecutive_rejections > 0
                    || backend.failure_rate.decayed(self.now, SLOWNESS_DECAY_TIME_CONSTANT)
                        > PROBE_FAILURE_RATE);
            let zone = backend.member.zone;
            let counts = zone == home || Some(zone) == best;
            let interest = match backend.utilisation.updated_at {
                None if !backend.unreachable => Interest::Urgent,
                _ if cold || suspect => Interest::Urgent,
                _ if counts && near => Interest::Near,
                _ if counts => Interest::Watched,
                _ => Interest::Idle,
            };
            probes.interest(id, interest);
        }
        self.probe_scheduler = Some(probes);
    }

    /// Takes the end of a probe in. What an earlier life of the server said, or one that has left, is passed
    /// over.
    pub(super) fn on_probe_end(
        &mut self,
        id: BackendId,
        outcome: Outcome,
        report: LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let util = report.utilisation.filter(|util| (0.0..=MAX_UTILISATION).contains(util));
        let end = match outcome {
            Outcome::Cancelled | Outcome::NotSent => End::Withdrawn,
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => End::Unreached,
            Outcome::Served if util.is_some() => End::Figure,
            _ => End::Empty,
        };
        let asked = self.probe_scheduler.as_mut().map(|probes| probes.ended(id.0, end, self.now));
        if asked == Some(false) || end == End::Withdrawn {
            return;
        }
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.unreachable = end == End::Unreached;
            let zone = backend.member.zone;
            self.invalidate_zone_utilisation(zone);
        }
        match end {
            // A server that can't be reached is out of order for requests too. One that answers a probe has
            // not yet shown that it serves.
            End::Unreached => self.update_health(id, outcome, actions),
            _ => self.apply_load_report(id, report),
        }
    }
}
