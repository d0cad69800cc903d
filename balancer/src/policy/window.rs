//! Windows: how many requests a node among many has out in a zone. None sees what the others send, so each
//! goes by how long its own answers take, and all windows together come to what the zone can hold.

use super::figures::*;
use crate::api::*;
use crate::state::*;

impl Window {
    /// Takes in which part of its aim an answer took, 1 at most. `most` is no strain yet; `own` were out.
    fn feed(&mut self, now: Nanos, part: f64, most: f64, own: f64) {
        self.mean.feed(now, part, 4 * SECOND, 0.5 / f64::from(WINDOW_ANSWERS));
        self.samples += 1;
        if self.mean.value > most && self.samples >= WINDOW_ANSWERS {
            self.size = (self.size * WINDOW_FALL).max(WINDOW_LEAST);
            (self.mean, self.samples, self.since, self.eased) = (Smooth::default(), 0, now, true);
        } else if self.mean.value <= most && own + 1.0 > self.size {
            // Each of a round's answers adds its part.
            self.size += self.size.min(1.0) * if self.eased { WINDOW_RISE.1 } else { WINDOW_RISE.0 };
        } else if self.mean.value <= most {
            self.size -= (self.size - own.max(self.idle)) * WINDOW_LAPSE;
        }
    }
}

impl Balancer {
    /// Whether the zone's window has room for it, and the backend an even part of that.
    pub(super) fn fits(&self, request: &Request, left: f64, slowness: f64, backend: &Backend) -> bool {
        let zone = &self.zones[backend.member.zone.0 as usize];
        let warm = slowness * backend.ramp(self.now, &self.settings.rules);
        let value = |class: usize| self.classes[class].value;
        let worthier = (0..self.classes.len()).filter(|&class| value(class) > value(request.class)).count();
        let Window { size, sent, .. } = zone.window;
        let room = size * PRECEDENCE.powi(worthier as i32 + i32::from(request.over));
        let each = (UNEVEN * size / SUBSET as f64).max(1.0);
        // Less than one at a time is one every so many answers' times.
        let apart = (1.0 / size - 1.0).max(0.0) * self.delay(request.class, IDLE_LOAD);
        zone.own + 1.0 <= room.max(1.0)
            && self.now >= sent + apart as Nanos
            && (f64::from(backend.in_flight) + 1.0) * warm <= each.max(warm)
            && (warm < IDLE_SLOW || warm * self.delay(request.class, 0.0) <= self.share(request) * left)
    }

    /// What an attempt's end says of its zone's window.
    pub(super) fn widen(&mut self, zone: ZoneId, class: usize, sent: Nanos, outcome: Outcome) {
        let part = match outcome {
            Outcome::Served => (self.now - sent) as f64 / self.settings.classes[class].latency_target as f64,
            Outcome::TimedOut | Outcome::Rejected => 1.0,
            _ => return,
        };
        let usual = |least: f64| (STRAIN_RISE * least).clamp(STRAINED.0, STRAINED.1);
        let most = self.strain.least().map_or(STRAINED.1, usual);
        if let Some(view) = self.zones.get_mut(zone.0 as usize).filter(|view| sent >= view.window.since) {
            view.window.feed(self.now, part.min(1.0), most, view.own);
        }
    }

    /// What is out for longer than its aim counts as late now: by its end the jam is old.
    pub(super) fn count_overdue(&mut self) {
        let mut overdue = Vec::new();
        for request in self.requests.values_mut() {
            let late = self.now.saturating_sub(self.settings.classes[request.class].latency_target);
            for attempt in request.attempts.iter_mut().filter(|a| a.out() && !a.overdue && a.sent <= late) {
                attempt.overdue = true;
                overdue.push((attempt.zone, attempt.backend, request.class, attempt.sent, attempt.load));
            }
        }
        for (zone, id, class, sent, load) in overdue {
            self.widen(zone, class, sent, Outcome::TimedOut);
            self.learn_late(id, (self.now - sent) as f64 / self.delay(class, load).max(1.0));
        }
    }
}
