//! Probes for load reports: what they may cost, what a fresh figure would change, and what one tells. Whose
//! turn comes when is the scheduler's, in `probing/`.

use ivyhatch_load_probing::{Candidate, End, Interest, Limits as Bounds, Scheduler};

use super::figures::*;
use crate::api::*;
use crate::state::*;

impl Balancer {
    /// The scheduler of a node that may probe and has something to gain by it.
    pub(crate) fn scheduler(settings: &Settings, seed: u64, now: Nanos) -> Option<Scheduler> {
        let gains = settings.limits.probes && settings.reports != LoadReporting::Disabled;
        let per_request = PROBE_SPEND / settings.probe_cost.max(PROBE_SPEND);
        let bounds = Bounds { per_request, waits: PROBE_WAITS, useful: UTIL_TRUST, ..Bounds::default() };
        gains.then(|| Scheduler::new(bounds, seed, now).ok()).flatten()
    }

    /// Tells the scheduler whom the list names.
    pub(crate) fn list_probed(&mut self) {
        let (home, zones) = (self.settings.home.0, self.settings.zones);
        let candidate = |(&id, backend): (&BackendId, &Backend)| {
            let Member { zone, state: stage, online_since, .. } = backend.member;
            let probed = stage == BackendState::InService && zone.0 < zones;
            let group = (zone.0 + zones).wrapping_sub(home) % zones;
            let incarnation = online_since.unwrap_or(0);
            probed.then_some(Candidate { id: id.0, group, lot: backend.lot, incarnation })
        };
        if let Some(probes) = self.probes.as_mut() {
            probes.list(self.backends.iter().filter_map(candidate).collect(), self.now);
        }
    }

    /// Sends the probes whose turn it is.
    pub(super) fn probe(&mut self, actions: &mut Vec<Action>) {
        let Some(probes) = self.probes.as_mut() else { return };
        while let Some(id) = probes.next(self.now) {
            actions.push(Action::Probe { backend: BackendId(id) });
        }
    }

    /// When the next probe is due, if time alone brings it about.
    pub(super) fn probe_at(&self) -> Option<Nanos> {
        let at = self.probes.as_ref()?.wakes()?;
        Some(at.max(self.now + self.tick()))
    }

    /// What a fresh figure would change of each server kept to, and what an arrival earns by now.
    pub(super) fn weigh_probes(&mut self) {
        let Some(mut probes) = self.probes.take() else { return };
        probes.review(self.now);
        // The work of probes stays a small part of that of requests, however little a probe is said to cost.
        let idle = self.classes.iter().map(|class| class.idle).fold(f64::INFINITY, f64::min);
        probes.earn_by(PROBE_WORK_SHARE * idle / PROBE_WORK as f64);
        let (home, best) = (self.settings.home, self.overflow.first().copied());
        let near = self.utilisation(home).is_none_or(|util| util > self.threshold() - PROBE_NEAR);
        for id in probes.kept().collect::<Vec<_>>() {
            let Some(backend) = self.backends.get(&BackendId(id)) else { continue };
            let cold = backend.ramp(self.now, &self.settings.rules) < 1.0;
            // What can't be reached is not asked more often for it.
            let suspect = !backend.dark
                && (backend.health != Health::Healthy
                    || backend.full_in_row > 0
                    || backend.failing.fading(self.now, SLOW_FORGET) > PROBE_SUSPECT);
            let zone = backend.member.zone;
            let counts = zone == home || Some(zone) == best;
            let interest = match backend.util.at {
                None if !backend.dark => Interest::Urgent,
                _ if cold || suspect => Interest::Urgent,
                _ if counts && near => Interest::Near,
                _ if counts => Interest::Watched,
                _ => Interest::Idle,
            };
            probes.interest(id, interest);
        }
        self.probes = Some(probes);
    }

    /// Takes the end of a probe in. What an earlier life of the server said, or one that has left, is passed
    /// over.
    pub(super) fn probed(
        &mut self,
        id: BackendId,
        outcome: Outcome,
        report: LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let util = report.utilisation.filter(|util| (0.0..=UTIL_MOST).contains(util));
        let end = match outcome {
            Outcome::Cancelled | Outcome::NotSent => End::Withdrawn,
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => End::Unreached,
            Outcome::Served if util.is_some() => End::Figure,
            _ => End::Empty,
        };
        let asked = self.probes.as_mut().map(|probes| probes.ended(id.0, end, self.now));
        if asked == Some(false) || end == End::Withdrawn {
            return;
        }
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.dark = end == End::Unreached;
            let zone = backend.member.zone;
            self.unsettle(zone);
        }
        match end {
            // A server that can't be reached is out of order for requests too. One that answers a probe has
            // not yet shown that it serves.
            End::Unreached => self.judge(id, outcome, actions),
            _ => self.report(id, report),
        }
    }
}
