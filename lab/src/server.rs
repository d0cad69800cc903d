//! A server: cores, a queue, choking on its load, warming up, a neighbour, load reports that lag.

use crate::Nanos;
use crate::world::Group;

const SECOND: Nanos = 1_000_000_000;
/// With so many waiting for each core ...
const CHOKES_AT: usize = 5;
/// ... for so long, it turns so many times slower ...
const CHOKES_AFTER: Nanos = 2 * SECOND;
const CHOKED: f64 = 2.8;
/// ... until it has had nothing to do for so long, or this has passed.
const RESTS: Nanos = 3 * SECOND;
const CHOKED_FOR: Nanos = 25 * SECOND;
/// More waiting for each core are sent away.
const FULL_AT: usize = 12;
/// It starts with this part of its capacity, and is warm after that.
pub(crate) const COLD: f64 = 0.33;
pub(crate) const WARM_AFTER: Nanos = 6 * SECOND;
/// Its figures are renewed this often.
const REPORTS_EVERY: Nanos = 700_000_000;
/// Work of answering a probe.
const PROBE_WORK: f64 = 4e6;

/// Whether it takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Serving,
    Draining,
    Gone,
}

/// One server.
pub(crate) struct Server {
    group: Group,
    pub(crate) state: State,
    /// When it started, if during the day.
    pub(crate) started: Option<Nanos>,
    /// The part of it that a neighbour takes.
    pub(crate) neighbour: f64,
    pub(crate) lies: bool,
    /// When each core has done what it was given, and when what waits will begin.
    free: Vec<Nanos>,
    begins: std::collections::BinaryHeap<std::cmp::Reverse<Nanos>>,
    crowded_since: Option<Nanos>,
    choked_until: Nanos,
    /// The figure last made, the one shown, and when.
    made: (Nanos, f64),
    shown: f64,
    /// How often it has choked.
    pub(crate) chokes: u32,
}

impl Server {
    pub(crate) fn new(group: Group) -> Self {
        Self {
            group,
            state: State::Serving,
            started: None,
            neighbour: 0.0,
            lies: false,
            free: vec![0; group.cores as usize],
            begins: Default::default(),
            crowded_since: None,
            choked_until: 0,
            made: (0, 0.0),
            shown: 0.0,
            chokes: 0,
        }
    }

    /// Starts anew, cold and with nothing to do.
    pub(crate) fn restart(&mut self, now: Nanos) {
        *self = Self { started: Some(now), chokes: self.chokes, ..Self::new(self.group) };
    }

    fn waiting(&mut self, now: Nanos) -> usize {
        while self.begins.peek().is_some_and(|begins| begins.0 <= now) {
            self.begins.pop();
        }
        self.begins.len()
    }

    fn busy(&self, now: Nanos) -> usize {
        self.free.iter().filter(|free| **free > now).count()
    }

    /// Takes work that needs so much of a core of speed 1, in nanoseconds; when it is done, or none where it is sent
    /// away unseen.
    pub(crate) fn take(&mut self, work: f64, now: Nanos) -> Option<Nanos> {
        let (waiting, cores) = (self.waiting(now), self.group.cores as usize);
        if self.state != State::Serving || self.lies || waiting >= FULL_AT * cores {
            return None;
        }
        self.choke(waiting, now);
        Some(self.work(work, now))
    }

    fn choke(&mut self, waiting: usize, now: Nanos) {
        let idle_since = self.free.iter().max().copied().unwrap_or(0);
        if now.saturating_sub(idle_since) >= RESTS {
            self.choked_until = 0;
        }
        if waiting < CHOKES_AT * self.group.cores as usize {
            self.crowded_since = None;
            return;
        }
        let since = *self.crowded_since.get_or_insert(now);
        if now - since >= CHOKES_AFTER && self.choked_until <= now {
            self.choked_until = now + CHOKED_FOR;
            self.chokes += 1;
        }
    }

    fn work(&mut self, work: f64, now: Nanos) -> Nanos {
        let warm = self.started.map_or(1.0, |started| {
            let age = now.saturating_sub(started) as f64 / WARM_AFTER as f64;
            (COLD + (1.0 - COLD) * age).min(1.0)
        });
        let choked = if self.choked_until > now { CHOKED } else { 1.0 };
        let takes = work * choked / (self.group.speed * (1.0 - self.neighbour) * warm);
        let core = self.free.iter_mut().min().expect("at least one core");
        let begins = now.max(*core);
        *core = begins + takes as Nanos;
        if begins > now {
            self.begins.push(std::cmp::Reverse(begins));
        }
        *core
    }

    /// Answers a probe: when, and with which figure. `noise` is a number from 0 to 1.
    pub(crate) fn probe(&mut self, noise: f64, now: Nanos) -> (Nanos, f64) {
        if now.saturating_sub(self.made.0) >= REPORTS_EVERY {
            self.shown = self.made.1;
            let busy = self.busy(now) as f64 / f64::from(self.group.cores);
            self.made = (now, (busy + self.neighbour).min(1.0));
        }
        let figure = if self.lies { 0.0 } else { self.shown * (0.95 + 0.1 * noise) };
        (self.work(PROBE_WORK, now), figure)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server() -> Server {
        Server::new(Group { count: 1, cores: 2, speed: 2.0 })
    }

    #[test]
    fn work_waits_for_a_core_and_too_much_is_sent_away() {
        let mut server = server();
        let done: Vec<_> = (0..4).filter_map(|_| server.take(1e9, 0)).collect();
        assert_eq!(done, [SECOND / 2, SECOND / 2, SECOND, SECOND]);
        let taken = (0..100).filter_map(|_| server.take(1e9, 0)).count();
        assert_eq!(taken, 2 * FULL_AT - 2);
    }

    #[test]
    fn it_chokes_after_a_while_of_crowding_and_recovers_by_rest() {
        let mut server = server();
        assert_eq!((0..24).filter_map(|_| server.take(1e9, 0)).count(), 24);
        assert_eq!(server.take(1e9, SECOND).map(|_| server.chokes), Some(0));
        server.take(1e9, 2 * SECOND + SECOND / 2);
        server.take(1e9, 3 * SECOND);
        assert_eq!(server.chokes, 1, "over two seconds");
        let rested = 60 * SECOND;
        assert_eq!(server.take(1e9, rested), Some(rested + SECOND / 2), "well again");
    }

    #[test]
    fn a_new_life_is_cold_and_empty() {
        let mut server = server();
        server.take(1e9, 0);
        server.restart(SECOND);
        assert_eq!(server.started, Some(SECOND));
        let cold = server.take(1e9, SECOND).unwrap() - SECOND;
        assert!((SECOND * 3 / 2..SECOND * 8 / 5).contains(&cold), "{cold}");
    }
}
