//! Windows: how many requests a node among many has out in a zone. None sees what the others send, so each
//! goes by how long its own answers take, and all windows together come to what the zone can hold.

use super::figures::*;
use crate::api::*;
use crate::state::*;

impl ConcurrencyWindow {
    /// Takes in which part of its aim an answer took, 1 at most. `most` is no strain yet; `own` were out.
    fn record_latency(&mut self, now: Nanos, part: f64, most: f64, own: f64) {
        self.latency_fraction.update(now, part, 4 * SECOND, 0.5 / f64::from(MIN_WINDOW_SAMPLES));
        self.samples += 1;
        if self.latency_fraction.value > most && self.samples >= MIN_WINDOW_SAMPLES {
            self.size = (self.size * WINDOW_DECREASE_FACTOR).max(MIN_WINDOW);
            (self.latency_fraction, self.samples, self.decreased_at, self.slow_start_done) =
                (Ewma::default(), 0, now, true);
        } else if self.latency_fraction.value <= most && own + 1.0 > self.size {
            // Each of a round's answers adds its part.
            self.size +=
                self.size.min(1.0) * if self.slow_start_done { WINDOW_RISE.1 } else { WINDOW_RISE.0 };
        } else if self.latency_fraction.value <= most {
            self.size -= (self.size - own.max(self.idle_size)) * WINDOW_IDLE_DECAY;
        }
    }
}

impl Balancer {
    /// Whether the zone's window has room for it, and the backend an even part of that.
    pub(super) fn fits_window(&self, request: &Request, left: f64, slowness: f64, backend: &Backend) -> bool {
        let zone = &self.zones[backend.member.zone.0 as usize];
        let warm = slowness * backend.capacity_share(self.now, &self.settings.rules);
        let value = |class: usize| self.classes[class].value_density;
        let worthier = (0..self.classes.len()).filter(|&class| value(class) > value(request.class)).count();
        let ConcurrencyWindow { size, last_sent_at: sent, .. } = zone.window;
        let room = size * LOWER_PRIORITY_SHARE.powi(worthier as i32 + i32::from(request.over_quota));
        let each = (BACKEND_WINDOW_SKEW * size / SUBSET_SIZE as f64).max(1.0);
        // Less than one at a time is one every so many answers' times.
        let apart = (1.0 / size - 1.0).max(0.0) * self.expected_latency(request.class, IDLE_LOAD);
        zone.in_flight + 1.0 <= room.max(1.0)
            && self.now >= sent + apart as Nanos
            && (f64::from(backend.in_flight) + 1.0) * warm <= each.max(warm)
            && (warm < MAX_IDLE_SLOWNESS
                || warm * self.expected_latency(request.class, 0.0)
                    <= self.latency_budget_share(request) * left)
    }

    /// What an attempt's end says of its zone's window.
    pub(super) fn update_window(&mut self, zone: ZoneId, class: usize, sent: Nanos, outcome: Outcome) {
        let part = match outcome {
            Outcome::Served => (self.now - sent) as f64 / self.settings.classes[class].latency_target as f64,
            Outcome::TimedOut | Outcome::Rejected => 1.0,
            _ => return,
        };
        let usual = |least: f64| (CONGESTION_RISE * least).clamp(STRAINED.0, STRAINED.1);
        let most = self.congestion.baseline().map_or(STRAINED.1, usual);
        if let Some(view) =
            self.zones.get_mut(zone.0 as usize).filter(|view| sent >= view.window.decreased_at)
        {
            view.window.record_latency(self.now, part.min(1.0), most, view.in_flight);
        }
    }

    /// What is out for longer than its aim counts as late now: by its end the jam is old.
    pub(super) fn record_overdue_attempts(&mut self) {
        let mut overdue = Vec::new();
        for request in self.requests.values_mut() {
            let late = self.now.saturating_sub(self.settings.classes[request.class].latency_target);
            for attempt in request
                .attempts
                .iter_mut()
                .filter(|a| a.is_in_flight() && !a.counted_late && a.sent_at <= late)
            {
                attempt.counted_late = true;
                overdue.push((
                    attempt.zone,
                    attempt.backend,
                    request.class,
                    attempt.sent_at,
                    attempt.load_at_send,
                ));
            }
        }
        for (zone, id, class, sent, load) in overdue {
            self.update_window(zone, class, sent, Outcome::TimedOut);
            self.record_late_attempt(
                id,
                (self.now - sent) as f64 / self.expected_latency(class, load).max(1.0),
            );
        }
    }
}
