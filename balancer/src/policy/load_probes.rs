//! Probes for load reports: their cost limit, the priority of each backend, and how the outcome of a probe is
//! applied. `ivyhatch-load-probing` decides when each backend is probed.

use ivyhatch_load_probing::{Candidate, Limits as ProbeLimits, Priority, ProbeOutcome, Scheduler};

use super::tuning::{
    MAX_PROBE_COST_SHARE, MAX_PROBE_WORK_SHARE, PROBE_FAILURE_RATE, PROBE_INTERVALS, PROBE_THRESHOLD_MARGIN,
    PROBE_WORK, SLOWNESS_DECAY_TIME_CONSTANT, UTILISATION_MAX_AGE,
};
use crate::api::{Action, BackendId, LoadReport, LoadReporting, Nanos, Outcome, Settings, ZoneId};
use crate::state::{Backend, Balancer, Health};

impl Balancer {
    /// Creates the probe scheduler. `None` if the settings forbid probes or load reporting is disabled.
    pub(crate) fn new_probe_scheduler(settings: &Settings, seed: u64, now: Nanos) -> Option<Scheduler> {
        if !settings.limits.probes || settings.reports == LoadReporting::Disabled {
            return None;
        }
        let probes_per_request = MAX_PROBE_COST_SHARE / settings.probe_cost.max(MAX_PROBE_COST_SHARE);
        let limits = ProbeLimits {
            probes_per_request,
            intervals: PROBE_INTERVALS,
            report_ttl: UTILISATION_MAX_AGE,
            ..ProbeLimits::default()
        };
        Scheduler::new(limits, seed, now).ok()
    }

    /// Updates the scheduler's candidates to the backends in service.
    pub(crate) fn update_probe_candidates(&mut self) {
        let (home, zones) = (self.settings.home.0, self.settings.zones);
        let candidate = |(&id, backend): (&BackendId, &Backend)| {
            let zone = backend.member.zone.0;
            let is_probed = backend.is_in_service() && zone < zones;
            is_probed.then(|| Candidate {
                id: id.0,
                group: (zone + zones).wrapping_sub(home) % zones,
                rank: backend.subset_rank,
                incarnation: backend.member.online_since.unwrap_or(0),
            })
        };
        if let Some(scheduler) = self.probe_scheduler.as_mut() {
            scheduler.set_candidates(self.backends.iter().filter_map(candidate).collect(), self.now);
        }
    }

    /// Sends the probes that are due.
    pub(super) fn send_probes(&mut self, actions: &mut Vec<Action>) {
        let Some(scheduler) = self.probe_scheduler.as_mut() else { return };
        while let Some(id) = scheduler.next_probe(self.now) {
            actions.push(Action::Probe { backend: BackendId(id) });
        }
    }

    /// When the next probe is due. `None` if no probe can become due before another event.
    pub(super) fn next_probe_at(&self) -> Option<Nanos> {
        let at = self.probe_scheduler.as_ref()?.next_probe_at()?;
        Some(at.max(self.now + self.housekeeping_interval()))
    }

    /// Updates the priority of each probed backend, and the probe budget that an arrival adds.
    pub(super) fn update_probe_priorities(&mut self) {
        let Some(mut scheduler) = self.probe_scheduler.take() else { return };
        scheduler.resize_subset(self.now);
        // The work of probes must remain a small part of the work of requests, even if the configured probe
        // cost is low.
        let idle_latency = self.classes.iter().map(|class| class.idle_latency).fold(f64::INFINITY, f64::min);
        scheduler.set_probes_per_request(MAX_PROBE_WORK_SHARE * idle_latency / PROBE_WORK as f64);
        let best_zone = self.overflow_zones.first().copied();
        let home_utilisation = self.utilisation(self.settings.home);
        let near_threshold = home_utilisation
            .is_none_or(|utilisation| utilisation > self.overflow_threshold() - PROBE_THRESHOLD_MARGIN);
        for id in scheduler.subset().collect::<Vec<_>>() {
            if let Some(backend) = self.backends.get(&BackendId(id)) {
                scheduler.set_priority(id, self.probe_priority(backend, best_zone, near_threshold));
            }
        }
        self.probe_scheduler = Some(scheduler);
    }

    fn probe_priority(&self, backend: &Backend, best_zone: Option<ZoneId>, near_threshold: bool) -> Priority {
        let is_warming_up = backend.capacity_share(self.now, &self.settings.rules) < 1.0;
        let zone = backend.member.zone;
        let is_used_zone = zone == self.settings.home || Some(zone) == best_zone;
        match backend.utilisation.updated_at {
            None if !backend.unreachable => Priority::Urgent,
            _ if is_warming_up || self.is_suspect(backend) => Priority::Urgent,
            _ if is_used_zone && near_threshold => Priority::NearThreshold,
            _ if is_used_zone => Priority::Watched,
            _ => Priority::Idle,
        }
    }

    /// Whether the backend has been failing recently. An unreachable backend is not suspect: probing it more
    /// often would not help.
    fn is_suspect(&self, backend: &Backend) -> bool {
        let failure_rate = backend.failure_rate.decayed(self.now, SLOWNESS_DECAY_TIME_CONSTANT);
        let is_failing = backend.health != Health::Healthy
            || backend.consecutive_rejections > 0
            || failure_rate > PROBE_FAILURE_RATE;
        !backend.unreachable && is_failing
    }

    /// Handles the end of a probe. A probe of an earlier incarnation of a backend, or of a backend that is no
    /// longer listed, is ignored.
    pub(super) fn on_probe_end(
        &mut self,
        id: BackendId,
        outcome: Outcome,
        report: LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let probe_outcome = match outcome {
            Outcome::Cancelled | Outcome::NotSent => ProbeOutcome::Cancelled,
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Misdirected | Outcome::Reset => {
                ProbeOutcome::Unreachable
            }
            Outcome::Served if report.valid_utilisation().is_some() => ProbeOutcome::Report,
            _ => ProbeOutcome::NoReport,
        };
        let scheduler = self.probe_scheduler.as_mut();
        let was_expected =
            scheduler.is_none_or(|scheduler| scheduler.on_probe_ended(id.0, probe_outcome, self.now));
        if !was_expected || probe_outcome == ProbeOutcome::Cancelled {
            return;
        }
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.unreachable = probe_outcome == ProbeOutcome::Unreachable;
            let zone = backend.member.zone;
            self.invalidate_zone_utilisation(zone);
        }
        // An unreachable server cannot serve requests either. A server that answers a probe has not yet shown
        // that it serves requests.
        if probe_outcome == ProbeOutcome::Unreachable {
            self.update_health(id, outcome, actions);
        } else {
            self.apply_load_report(id, report);
        }
    }
}
