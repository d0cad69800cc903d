//! A server: cores, a queue, choking on its load, warming up and falling over when rushed, connections, a
//! neighbour, load reports that lag.

use std::collections::VecDeque;

use crate::Nanos;
use crate::world::ServerGroup;

const SECOND: Nanos = 1_000_000_000;
/// With so many waiting for each core ...
const CHOKES_AT: usize = 5;
/// ... for so long, it turns so many times slower ...
const CHOKES_AFTER: Nanos = 2 * SECOND;
const CHOKED: f64 = 2.8;
/// ... until it has had nothing to do for so long, or this has passed.
const RESTS: Nanos = 3 * SECOND;
const CHOKED_FOR: Nanos = 25 * SECOND;
/// It starts with this part of its capacity ...
pub const COLD_START_CAPACITY: f64 = 0.33;
/// ... and is warm after that.
pub const WARM_UP_PERIOD: Nanos = 6 * SECOND;
/// While cold it falls over when, in any span of this length, [`OVERLOAD_CRASH_MULTIPLE`] times its capacity reaches it ...
pub const OVERLOAD_WINDOW: Nanos = 2 * SECOND;
/// See [`OVERLOAD_WINDOW`].
pub const OVERLOAD_CRASH_MULTIPLE: f64 = 3.0;
/// ... and this much, in seconds of one core's work, for chance.
const OVERLOAD_ALLOWANCE_CORE_SECONDS: f64 = 0.5;
/// Its figures are renewed this often.
const REPORTS_EVERY: Nanos = 700_000_000;
/// The time constant of the utilisation that policies with perfect sight see.
const SMOOTHING: f64 = 400e6;

/// Whether it takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// There is no process.
    Gone,
}

/// Something to work on, known by a number that its sender made up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Its number.
    pub id: u64,
    /// Nanoseconds on a core of speed 1.
    pub work: f64,
}

/// What became of work that was given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// A core works on it, until then.
    Begins(Nanos),
    /// No core is free.
    Waits,
    /// Sent away unseen.
    Full,
    /// The server fell over under it; `rushed` where most of what felled it came from those who knew it was cold.
    Falls {
        /// Two thirds of it did.
        rushed: bool,
    },
}

/// One server.
pub struct Server {
    /// What it is made of.
    pub group: ServerGroup,
    /// What it takes.
    pub state: ServerState,
    /// When it started, if during the day.
    pub started: Option<Nanos>,
    /// The part of it that a neighbour takes.
    pub neighbour: f64,
    /// It refuses all and says that it has room.
    pub lies: bool,
    /// It takes all and answers nothing.
    pub hangs: bool,
    /// It answers no probe.
    pub deaf: bool,
    /// The part of its answers that are errors, beyond its usual ones.
    pub errors: f64,
    /// Connections open to it.
    pub connections: u32,
    running: Vec<u64>,
    queue: VecDeque<Job>,
    idle_since: Nanos,
    crowded_since: Option<Nanos>,
    choked_until: Nanos,
    /// What reached it while cold: when, how much, and whether its sender knew.
    rush: VecDeque<(Nanos, f64, bool)>,
    /// The figure last made, the one shown, and when.
    made: (Nanos, f64),
    shown: f64,
    /// Nanoseconds of core time used since that figure, up to when.
    used: (Nanos, f64),
    smoothed: (Nanos, f64),
    /// How often it has choked.
    pub chokes: u32,
}

impl Server {
    /// A warm server with nothing to do.
    pub fn new(group: ServerGroup) -> Self {
        Self {
            group,
            state: ServerState::Serving,
            started: None,
            neighbour: 0.0,
            lies: false,
            hangs: false,
            deaf: false,
            errors: 0.0,
            connections: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            idle_since: 0,
            crowded_since: None,
            choked_until: 0,
            rush: VecDeque::new(),
            made: (0, 0.0),
            shown: 0.0,
            used: (0, 0.0),
            smoothed: (0, 0.0),
            chokes: 0,
        }
    }

    /// Starts anew, cold and with nothing to do. A neighbour stays, as do lies: they are not its process's.
    pub fn restart(&mut self, now: Nanos) {
        *self = Self {
            started: Some(now),
            chokes: self.chokes,
            neighbour: self.neighbour,
            lies: self.lies,
            hangs: self.hangs,
            deaf: self.deaf,
            errors: self.errors,
            ..Self::new(self.group)
        };
    }

    /// Is gone, with all that it had.
    pub fn die(&mut self, now: Nanos) {
        self.smooth(now);
        self.state = ServerState::Gone;
        self.running.clear();
        self.queue.clear();
        self.connections = 0;
    }

    fn busy(&self) -> f64 {
        self.running.len() as f64 / f64::from(self.group.cores)
    }

    fn smoothed_at(&self, now: Nanos) -> f64 {
        let past = now.saturating_sub(self.smoothed.0) as f64;
        self.smoothed.1 + (self.busy() - self.smoothed.1) * (1.0 - (-past / SMOOTHING).exp())
    }

    fn smooth(&mut self, now: Nanos) {
        self.smoothed = (now, self.smoothed_at(now));
        let more = now.saturating_sub(self.used.0) as f64 * self.running.len() as f64;
        self.used = (now, self.used.1 + more);
    }

    /// Its utilisation as it truly is, smoothed over the last moments.
    pub fn utilisation(&self, now: Nanos) -> f64 {
        (self.smoothed_at(now) + self.neighbour).min(1.0)
    }

    /// Nanoseconds that new work of this size would take, waiting included, as far as the server itself could know.
    pub fn expected(&self, work: f64, now: Nanos) -> f64 {
        let ahead: f64 = self.queue.iter().map(|job| job.work).sum();
        // What runs is half done, on the mean.
        let running = self.running.len() as f64 * work / 2.0;
        let cores = f64::from(self.group.cores);
        let waits =
            if self.running.len() < self.group.cores as usize { 0.0 } else { (ahead + running) / cores };
        (waits + work) / self.pace(now)
    }

    /// Whether one more waiting would have it choke, should it last.
    pub fn crowds(&self) -> bool {
        let most =
            if self.group.degrades_under_backlog { CHOKES_AT } else { self.group.queue_per_core as usize };
        self.queue.len() + 1 >= most * self.group.cores as usize
    }

    /// Work done in a nanosecond of one core.
    fn pace(&self, now: Nanos) -> f64 {
        let choked = if self.choked_until > now { CHOKED } else { 1.0 };
        self.group.speed * (1.0 - self.neighbour) * self.warm(now) / choked
    }

    fn warm(&self, now: Nanos) -> f64 {
        self.started.map_or(1.0, |started| {
            let age = now.saturating_sub(started) as f64 / WARM_UP_PERIOD as f64;
            (COLD_START_CAPACITY + (1.0 - COLD_START_CAPACITY) * age).min(1.0)
        })
    }

    /// Takes work; `informed` where its sender knew when the server started.
    pub fn take(&mut self, job: Job, informed: bool, now: Nanos) -> Admission {
        if self.state == ServerState::Gone {
            return Admission::Full;
        }
        if let Some(rushed) = self.rushed(job.work, informed, now) {
            self.die(now);
            return Admission::Falls { rushed };
        }
        let (waiting, cores) = (self.queue.len(), self.group.cores as usize);
        if self.state != ServerState::Serving
            || self.lies
            || waiting >= self.group.queue_per_core as usize * cores
        {
            return Admission::Full;
        }
        self.choke(waiting, now);
        self.add(job, now)
    }

    fn rushed(&mut self, work: f64, informed: bool, now: Nanos) -> Option<bool> {
        let started = self.started?;
        if now.saturating_sub(started) >= WARM_UP_PERIOD {
            self.rush.clear();
            return None;
        }
        while self.rush.front().is_some_and(|(at, ..)| at + OVERLOAD_WINDOW < now) {
            self.rush.pop_front();
        }
        self.rush.push_back((now, work, informed));
        let sum = |informed: bool| -> f64 {
            self.rush.iter().filter(|(.., knew)| !informed || *knew).map(|(_, work, _)| work).sum()
        };
        let capacity = self.warm(now) * self.group.speed * f64::from(self.group.cores);
        let bears = OVERLOAD_CRASH_MULTIPLE * capacity * OVERLOAD_WINDOW as f64
            + OVERLOAD_ALLOWANCE_CORE_SECONDS * SECOND as f64;
        (sum(false) > bears).then(|| sum(true) * 3.0 >= sum(false) * 2.0)
    }

    fn choke(&mut self, waiting: usize, now: Nanos) {
        if self.running.is_empty() && now.saturating_sub(self.idle_since) >= RESTS {
            self.choked_until = 0;
        }
        if !self.group.degrades_under_backlog || waiting < CHOKES_AT * self.group.cores as usize {
            self.crowded_since = None;
            return;
        }
        let since = *self.crowded_since.get_or_insert(now);
        if now - since >= CHOKES_AFTER && self.choked_until <= now {
            self.choked_until = now + CHOKED_FOR;
            self.chokes += 1;
        }
    }

    fn add(&mut self, job: Job, now: Nanos) -> Admission {
        self.smooth(now);
        if self.running.len() < self.group.cores as usize {
            self.running.push(job.id);
            return Admission::Begins(now + (job.work / self.pace(now)) as Nanos);
        }
        self.queue.push_back(job);
        Admission::Waits
    }

    /// A core has done a job, and takes the next: which, until when. False first where it no longer had the job.
    pub fn finish(&mut self, id: u64, now: Nanos) -> (bool, Option<(u64, Nanos)>) {
        let Some(at) = self.running.iter().position(|running| *running == id) else { return (false, None) };
        self.smooth(now);
        self.running.swap_remove(at);
        (true, self.next(now))
    }

    fn next(&mut self, now: Nanos) -> Option<(u64, Nanos)> {
        let Some(job) = self.queue.pop_front() else {
            self.idle_since = now;
            return None;
        };
        self.running.push(job.id);
        Some((job.id, now + (job.work / self.pace(now)) as Nanos))
    }

    /// Nobody waits for a job any more. What has begun is stopped too, so the next begins.
    pub fn cancel(&mut self, id: u64, now: Nanos) -> Option<(u64, Nanos)> {
        if !self.group.cancels_abandoned_work {
            return None;
        }
        self.queue.retain(|job| job.id != id);
        self.finish(id, now).1
    }

    /// What it says of its load now. `noise` is a number from 0 to 1.
    pub fn figure(&mut self, noise: f64, now: Nanos) -> f64 {
        if now.saturating_sub(self.made.0) >= REPORTS_EVERY {
            // As a machine tells it: the part of its cores' time that was used since the last figure.
            self.smooth(now);
            let cores = now.saturating_sub(self.made.0.max(self.started.unwrap_or(0))) as f64
                * f64::from(self.group.cores);
            let busy = if cores > 0.0 { self.used.1 / cores } else { 0.0 };
            self.shown = self.made.1;
            self.made = (now, (busy + self.neighbour).min(1.0));
            self.used.1 = 0.0;
        }
        if self.lies { 0.0 } else { self.shown * (0.95 + 0.1 * noise) }
    }

    /// The work of answering a probe, which waits for a core as all work does.
    pub fn probe(&mut self, id: u64, now: Nanos) -> Admission {
        self.add(Job { id, work: self.group.probe_ms * 1e6 }, now)
    }

    /// A new connection: whether there is room for it.
    pub fn connect(&mut self) -> bool {
        let room = self.group.connections == 0 || self.connections < self.group.connections;
        self.connections += u32::from(room);
        room
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server() -> Server {
        Server::new(ServerGroup {
            cores: 2,
            speed: 2.0,
            cancels_abandoned_work: true,
            ..ServerGroup::default()
        })
    }

    fn job(id: u64) -> Job {
        Job { id, work: 1e9 }
    }

    #[test]
    fn work_waits_for_a_core_and_too_much_is_sent_away() {
        let mut server = server();
        let taken: Vec<_> = (0..4).map(|id| server.take(job(id), true, 0)).collect();
        let half = Admission::Begins(SECOND / 2);
        assert_eq!(taken, [half, half, Admission::Waits, Admission::Waits]);
        assert_eq!(server.finish(0, SECOND / 2), (true, Some((2, SECOND))));
        assert_eq!(server.finish(0, SECOND / 2), (false, None), "done once");
        let full = (10..110).filter(|&id| server.take(job(id), true, SECOND / 2) == Admission::Full).count();
        assert_eq!(full, 100 - (2 * 12 - 1), "one waited already");
    }

    #[test]
    fn what_nobody_waits_for_makes_room_if_the_server_cancels() {
        for cancels in [true, false] {
            let mut server = server();
            server.group.cancels_abandoned_work = cancels;
            for id in 0..4 {
                server.take(job(id), true, 0);
            }
            server.cancel(2, 0);
            let next = server.cancel(0, SECOND / 4);
            assert_eq!(next, cancels.then_some((3, SECOND / 4 + SECOND / 2)));
        }
    }

    #[test]
    fn it_chokes_after_a_while_of_crowding_and_recovers_by_rest() {
        let mut server = server();
        for id in 0..26 {
            server.take(job(id), true, 0);
        }
        server.take(job(30), true, SECOND);
        assert_eq!(server.chokes, 0);
        server.finish(0, 2 * SECOND);
        server.take(job(31), true, 3 * SECOND + 1);
        assert_eq!(server.chokes, 1, "over two seconds");
        let slow = server.finish(1, 4 * SECOND).1.expect("more waits").1 - 4 * SECOND;
        assert_eq!(slow, (0.5 * CHOKED * SECOND as f64) as Nanos);
        server.queue.clear();
        server.running.clear();
        server.idle_since = 5 * SECOND;
        assert_eq!(
            server.take(job(40), true, 8 * SECOND),
            Admission::Begins(8 * SECOND + SECOND / 2),
            "well again"
        );
    }

    #[test]
    fn a_new_life_is_cold_and_empty_and_falls_when_rushed() {
        let mut server = server();
        server.take(job(0), true, 0);
        server.restart(SECOND);
        let Admission::Begins(done) = server.take(job(1), true, SECOND) else { panic!("it has no work") };
        assert!((SECOND * 3 / 2..SECOND * 8 / 5).contains(&(done - SECOND)), "{done}");
        // A third of four units of work a second, times three, over two seconds, and the slack: 8.4.
        let mut take = |id, informed| server.take(job(id), informed, SECOND + id);
        assert!((2..9).all(|id| !matches!(take(id, true), Admission::Falls { .. })));
        assert_eq!(take(9, true), Admission::Falls { rushed: true });
        assert_eq!(
            (server.state, server.take(job(10), true, 2 * SECOND)),
            (ServerState::Gone, Admission::Full)
        );
        server.restart(9 * SECOND);
        let fell = (0..9)
            .map(|id| server.take(job(id), id < 4, 9 * SECOND))
            .find(|t| matches!(t, Admission::Falls { .. }));
        assert_eq!(fell, Some(Admission::Falls { rushed: false }), "most came from those who did not know");
    }
}
