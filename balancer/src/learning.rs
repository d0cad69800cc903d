//! What a node learns from answers and load reports: times, slowness, utilisation, capacity.

use crate::api::*;
use crate::policy::figures::*;
use crate::state::*;

impl Balancer {
    /// What this node serves of each unit of used capacity, by zone, so that the shares of all nodes add up
    /// to one capacity. It falls slowly: in a jam little is served, and cold backends are the way out of it.
    pub(crate) fn measure_served_capacity(&mut self) {
        // With very many backends only every so often, by as much more.
        let turns = 1 + self.backends.len() / 1024;
        self.refresh_count += 1;
        if !self.refresh_count.is_multiple_of(turns) {
            return;
        }
        let mut sums = vec![(0.0, 0.0); self.zones.len()];
        let (now, rules) = (self.now, &self.settings.rules);
        let warm = |b: &&Backend| {
            b.capacity_share(now, rules) >= 1.0 && b.utilisation.is_fresh(now, UTILISATION_MAX_AGE)
        };
        for peer in self.backends.values().filter(warm) {
            if let Some(sum) = sums.get_mut(peer.member.zone.0 as usize) {
                *sum = (
                    sum.0 + peer.served_work.per_second(now),
                    sum.1 + peer.weight() * peer.utilisation.value.max(0.05),
                );
            }
        }
        let unit = |(served, used): (f64, f64)| if used > 0.0 { served / used } else { 0.0 };
        let all = unit(sums.iter().fold((0.0, 0.0), |all, sum| (all.0 + sum.0, all.1 + sum.1)));
        for (zone, sum) in self.zones.iter_mut().zip(sums) {
            let change = unit(sum).max(all / f64::from(self.settings.nodes)) - zone.served_per_capacity;
            let step = turns as f64 * if change > 0.0 { CAPACITY_RISE_RATE } else { CAPACITY_FALL_RATE };
            zone.served_per_capacity += change * step.min(1.0);
        }
    }

    /// Takes a load report in; figures that are not possible are passed over.
    pub(crate) fn apply_load_report(&mut self, id: BackendId, report: LoadReport) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        if let Some(util) = report.utilisation.filter(|util| (0.0..=MAX_UTILISATION).contains(util)) {
            let mut own =
                Ewma { value: backend.in_flight_at_report, updated_at: backend.utilisation.updated_at };
            own.update(self.now, f64::from(backend.in_flight), UTILISATION_TIME_CONSTANT, 0.05);
            backend.in_flight_at_report = own.value;
            backend.utilisation.update(self.now, util, UTILISATION_TIME_CONSTANT, 0.05);
            let zone = backend.member.zone;
            self.invalidate_zone_utilisation(zone);
        }
    }

    /// Expected time of an answer at this load, from a backend of the usual speed: flat as long as cores are
    /// free, then in step with the load.
    pub(crate) fn expected_latency(&self, class: usize, load: f64) -> f64 {
        self.classes[class].idle_latency.hypot(self.latency_per_load * load)
    }

    /// The load at which an answer takes this time.
    pub(crate) fn load_for_latency(&self, class: usize, time: f64) -> f64 {
        let idle = self.classes[class].idle_latency;
        (time * time - idle * idle).max(0.0).sqrt() / self.latency_per_load.max(1.0)
    }

    /// Corrects the class's idle time, by a sample that found its backend idle, or else the time for each
    /// request, by its part in what was expected. One load alone can't tell the two apart. `ratio` is the
    /// sample's time against the expected one. Whether that was well known before.
    fn update_latency_model(&mut self, class: usize, load: f64, ratio: f64) -> bool {
        let queued = self.latency_per_load * load / self.expected_latency(class, load).max(1.0);
        // Where load hardly shows, that an answer was quick is no sign that it should show less: such answers
        // outnumber all others, and would let the time for each request sink for as long as the day lasts.
        let queued = match queued * queued {
            part if part >= MIN_LOAD_SAMPLE_WEIGHT => part,
            _ if ratio > 1.0 => MIN_LOAD_SAMPLE_WEIGHT,
            _ => 0.0,
        };
        let view = &mut self.classes[class];
        let (time, samples, part) = if load > 1.0 {
            (&mut self.latency_per_load, &mut self.load_samples, queued)
        } else {
            (&mut view.idle_latency, &mut view.idle_samples, 1.0)
        };
        let known = *samples >= MIN_LATENCY_SAMPLES;
        *samples = (*samples + part).min(MAX_LATENCY_SAMPLES);
        // Rises slowly, so that a jam does not come to pass for the normal state.
        let weight = if ratio > 1.0 && *samples > 50.0 { LATENCY_RISE_WEIGHT } else { 1.0 };
        *time *= 1.0 + (ratio.min(MAX_LATENCY_RATIO) - 1.0) * part * weight / (*samples + 4.0);
        known
    }

    /// Learns slowness, base time and served rate from one outcome.
    pub(crate) fn learn_from_attempt(
        &mut self,
        id: BackendId,
        class: usize,
        cost: f64,
        load: f64,
        settled: &AttemptEnd,
    ) {
        let ratio = settled.elapsed as f64 / self.expected_latency(class, load).max(1.0);
        let served = settled.outcome == Outcome::Served;
        let part = settled.elapsed as f64 / self.settings.classes[class].latency_target as f64;
        match settled.outcome {
            Outcome::Served => self.congestion.record(self.now, part.min(1.0)),
            // Not in the time that there was; or no place even at the end of the queue.
            Outcome::TimedOut | Outcome::Rejected => self.congestion.record(self.now, 1.0),
            _ => {}
        }
        let Some(backend) = self.backends.get_mut(&id) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        if backend.health != Health::Healthy {
            let zone = backend.member.zone;
            self.invalidate_zone_utilisation(zone);
        }
        // Against a time that is not known yet every backend would look slow, for seconds.
        let known = served && self.update_latency_model(class, load, ratio);
        let Some(backend) = self.backends.get_mut(&id) else { return };
        match settled.outcome {
            Outcome::Served => {
                if known {
                    let slow = ratio.min(MAX_LATENCY_RATIO * backend.latency_ratio.value.max(1.0));
                    backend.latency_ratio.update(self.now, slow, SLOWNESS_TIME_CONSTANT, 0.1);
                }
                backend.served_work.add(self.now, cost);
                backend.unreachable = false;
                if let Some(zone) = self.zones.get_mut(backend.member.zone.0 as usize) {
                    let elapsed = settled.elapsed as f64;
                    zone.min_latency = Some(zone.min_latency.map_or(elapsed, |least| least.min(elapsed)));
                }
            }
            Outcome::TimedOut => self.record_late_attempt(id, ratio),
            _ => {}
        }
    }

    /// No answer at all tells of a delay of at least the time waited; `ratio` is that against the expected one.
    pub(crate) fn record_late_attempt(&mut self, id: BackendId, ratio: f64) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let slow = ratio.min(MAX_LATENCY_RATIO * backend.latency_ratio.value.max(1.0));
        if slow > backend.latency_ratio.value {
            backend.latency_ratio.update(self.now, slow, SLOWNESS_TIME_CONSTANT, 0.1);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = SECOND / 1000;

    /// Over a day on which nothing was crowded, the bound on a backend's load grew from 4 to 17: its answers
    /// were a little quicker than those of the backends that stood idle.
    #[test]
    fn quick_answers_at_a_light_load_do_not_wear_the_bound_away() {
        let class = ClassSettings { latency_target: 400 * MS, deadline: SECOND, ..ClassSettings::default() };
        let settings = Settings { classes: vec![class], ..Settings::new(ZoneId(0), 1) };
        let mut node = Balancer::new(settings, 7, 100 * SECOND).expect("usable settings");
        node.apply_membership(ListScope::Full, vec![Member::default()], 1);
        let mut learn = |load, elapsed, times| {
            let (outcome, report) = (Outcome::Served, LoadReport::default());
            let settled = AttemptEnd {
                request: RequestId(0),
                attempt: 0,
                outcome,
                elapsed,
                request_ended: true,
                report,
            };
            (0..times).for_each(|_| node.learn_from_attempt(BackendId(0), 0, 1.0, load, &settled));
            node.load_for_latency(0, 125.0 * MS as f64)
        };
        learn(IDLE_LOAD, 100 * MS, 1000);
        let before = learn(12.0, 140 * MS, 1000);
        let after = learn(3.0, 70 * MS, 20_000);
        assert!(after < 1.5 * before, "room for {before}, then for {after}");
    }

    /// Day 7 of the real score: answers of 10 ms, some held up for a tenth of a second. What then looked more than
    /// six times slow got nothing, and so nothing that could show it well again.
    #[test]
    fn an_idle_backend_that_looks_very_slow_gets_one_request() {
        let class = ClassSettings { latency_target: 400 * MS, deadline: SECOND, ..ClassSettings::default() };
        let settings = Settings { classes: vec![class], ..Settings::new(ZoneId(0), 1) };
        let now = 100 * SECOND;
        let mut node = Balancer::new(settings, 7, now).expect("usable settings");
        node.apply_membership(ListScope::Full, vec![Member::default()], 1);
        (node.classes[0].idle_latency, node.latency_per_load) = (10.0 * MS as f64, 2.0 * MS as f64);
        node.classes[0].load_limit = 4.0;
        let backend = node.backends.get_mut(&BackendId(0)).expect("it is listed");
        backend.latency_ratio.update(now, 12.0, SECOND, 1.0);
        let sent = |request, node: &mut Balancer| {
            let (class, not_after, mut actions) = (ClassId(0), now + SECOND, Vec::new());
            let arrival = Arrival {
                request: RequestId(request),
                class,
                expected_work: None,
                is_retry: false,
                tenant: None,
                not_after,
            };
            node.handle(now, Event::Request(arrival), &mut actions);
            actions.iter().any(|action| matches!(action, Action::Send { .. }))
        };
        assert_eq!([sent(0, &mut node), sent(1, &mut node)], [true, false]);
    }
}
