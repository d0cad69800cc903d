//! When to call discovery, how long a call may wait there, and when one that says nothing is given up. Decides; no I/O: it
//! is told the time and how calls ended, and tells for how long to wait.
//!
//! Where one discovery serves all nodes they start together and are turned away together, so each waits for a part of a
//! span, drawn by chance (full jitter). Watches that fall silent do so together as well; they are found out by the end of
//! their waits, which are drawn for the same reason. What a watch missed counts as told from a known moment on, whether or
//! not it came: until then another try is worth more than the peace of discovery, and waits are cut.

use std::time::Duration;

use ivyhatch_balancer::hash_mix;

/// What each node adds to the span: a call takes a single service some hundredths of a second, and it takes all nodes' in
/// turn. Three nodes hardly wait; a hundred that start together spread their calls over five seconds.
const EACH: Duration = Duration::from_millis(50);
/// The longest that a watch waits at discovery; the least is half of it. Short beside an agent on the node's own machine,
/// where a call costs nothing and one that has gone silent should be noticed; long where all nodes ask one service.
const HOLD_PUSHED: Duration = Duration::from_secs(3);
const HOLD_ASKED: Duration = Duration::from_secs(20);
/// What a silent call misses counts as told so long after it fell silent, and so long after its wait was over if that is
/// later; what has changed when discovery moves, so long after the move. The protocol has these.
const TOLD_SILENT: Duration = Duration::from_secs(6);
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);
const TOLD_MOVED: Duration = Duration::from_secs(4);
/// A watch that is not answered so long after its wait was over is not answered any more. Discovery ends waits to the
/// millisecond; a quarter of what is left until the change counts as told is for a slow way, the rest for the next call.
const OVERDUE: Duration = Duration::from_millis(500);
/// A call that does not wait may stand in discovery's queue, which turns away what has stood there for a second or two.
const QUEUED: Duration = Duration::from_secs(3);
/// First and last wait after a failure, doubled in between: spared where all nodes ask.
const AGAIN_PUSHED: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));
const AGAIN_ASKED: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(4800));
/// A connection that is not up by then is not waited for.
const CONNECT: Duration = Duration::from_millis(500);

/// What ended a call without a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was turned away, broke, or brought no list.
    Broken,
    /// Nothing came.
    Silent,
}

/// How a call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// How long a watch asks discovery to wait for a change.
    pub hold: Duration,
    /// When the call is given up.
    pub patience: Duration,
}

/// Paces a node's calls. All times are since some fixed moment.
pub struct DiscoverySchedule {
    hold: Duration,
    again: (Duration, Duration),
    span: Duration,
    most: Duration,
    /// Whether a call has been made.
    begun: bool,
    failures: u32,
    /// The last call was a watch that fell silent.
    silent_watch: bool,
    /// When what the call that is out may miss counts as told.
    told_by: Duration,
    /// When what has been missed counts as told.
    owed: Option<Duration>,
    random: u64,
}

impl DiscoverySchedule {
    /// One of `nodes` that share a discovery and must ask at least every `within`. `seed` should differ from node to node.
    pub fn shared(nodes: u32, within: Duration, seed: u64) -> Self {
        let most = within / 2;
        let span = (EACH * nodes.saturating_sub(1)).min(most);
        // A node whose call has failed is held to its list for four times `within`: it must have tried again by then.
        // Even where every moment is asked there is a pause: a call that is turned away at once must not make a tight loop.
        let again =
            (AGAIN_ASKED.0.min(most).max(AGAIN_PUSHED.0), AGAIN_ASKED.1.min(most).max(AGAIN_PUSHED.0));
        Self::new(HOLD_ASKED, again, span, most, seed)
    }

    /// For a discovery of the node's own. It is tried often enough that a list it has at its return is here well within
    /// `grace`, from when on nothing may be sent to a backend that the list says to leave.
    pub fn own(grace: Duration, seed: u64) -> Self {
        let last = (grace / 4).clamp(AGAIN_PUSHED.0, AGAIN_PUSHED.1);
        Self::new(HOLD_PUSHED, (AGAIN_PUSHED.0, last), Duration::ZERO, Duration::ZERO, seed)
    }

    fn new(hold: Duration, again: (Duration, Duration), span: Duration, most: Duration, random: u64) -> Self {
        let (told_by, owed) = (Duration::ZERO, None);
        Self {
            hold,
            again,
            span,
            most,
            begun: false,
            failures: 0,
            silent_watch: false,
            told_by,
            owed,
            random,
        }
    }

    /// How long a connection to discovery may take to come up: no longer than the longest wait between two tries.
    pub fn connect(&self) -> Duration {
        CONNECT.min(self.again.1)
    }

    /// A call goes out, a watch or for the `whole` list.
    pub fn turn(&mut self, now: Duration, whole: bool) -> CallTimeouts {
        self.begun = true;
        let hold = self.hold.mul_f64(0.5 + 0.5 * self.draw());
        self.silent_watch = !whole;
        self.told_by = now + if whole { TOLD_SILENT } else { TOLD_SILENT.max(hold + TOLD_AFTER_WAIT) };
        CallTimeouts { hold, patience: if whole { QUEUED } else { hold + OVERDUE } }
    }

    /// The call has brought a list.
    pub fn brought(&mut self) {
        (self.failures, self.owed) = (0, None);
    }

    /// The call has brought none.
    pub fn failed(&mut self, failure: Failure) {
        self.failures = self.failures.saturating_add(1);
        self.silent_watch &= failure == Failure::Silent;
        if failure == Failure::Silent {
            self.owed.get_or_insert(self.told_by);
        }
    }

    /// Discovery is elsewhere now.
    pub fn moved(&mut self, now: Duration) {
        (self.begun, self.failures, self.owed) = (true, 0, Some(now + TOLD_MOVED));
    }

    /// How long to wait before the next call.
    pub fn pause(&mut self, now: Duration) -> Duration {
        if self.failures == 0 {
            // A list that came is followed at once: for 200 ms its watch counts as continued, and what changes then as told.
            // So is what has moved.
            return if self.begun { Duration::ZERO } else { self.span.mul_f64(self.draw()) };
        }
        if self.failures == 1 && self.silent_watch {
            return Duration::ZERO;
        }
        let (first, last) = self.again;
        let doubled = |span: Duration, times: u32| span.saturating_mul(1 << times.min(16));
        let wait = doubled(first, self.failures - 1).min(last).mul_f64(0.75 + 0.5 * self.draw());
        let wait = wait + doubled(self.span, self.failures).min(self.most).mul_f64(self.draw());
        match self.owed.and_then(|owed| owed.checked_sub(now)) {
            // Half of what is left is for the call itself.
            Some(left) => wait.min((left / 2).mul_f64(self.draw()).max(first)),
            None => wait,
        }
    }

    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (hash_mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WITHIN: Duration = Duration::from_secs(10);
    const NONE: Duration = Duration::ZERO;
    const SECOND: Duration = Duration::from_secs(1);

    fn longest_pause(pace: &mut DiscoverySchedule) -> Duration {
        (0..1000).map(|_| pace.pause(NONE)).max().unwrap_or_default()
    }

    /// The most of these times that lie within any one second.
    fn crowd(times: &[Duration]) -> usize {
        let from = |&from: &Duration| times.iter().filter(|&&at| at >= from && at < from + SECOND).count();
        times.iter().map(from).max().unwrap_or_default()
    }

    /// A hundred nodes called at their start and at each change of the list, all in one moment: of the first hundred calls 85 were
    /// turned away, and a node that had been restarted routed for ten seconds by the list of its life before.
    #[test]
    fn calls_of_a_hundred_nodes_that_start_together_are_spread() {
        let calls: Vec<Duration> =
            (0..100).map(|seed| DiscoverySchedule::shared(100, WITHIN, seed << 32).pause(NONE)).collect();
        assert!(crowd(&calls) < 35, "{calls:?}");
        assert!(calls.iter().max() < Some(&(WITHIN / 2)));
    }

    #[test]
    fn a_few_nodes_hardly_wait_and_failures_lengthen_the_span_up_to_half_of_what_is_asked() {
        let mut pace = DiscoverySchedule::shared(3, WITHIN, 7);
        assert!(longest_pause(&mut pace) <= 2 * EACH);
        (0..3).for_each(|_| pace.failed(Failure::Broken));
        let (first, last) = AGAIN_ASKED;
        let longest = longest_pause(&mut pace) - first * 4;
        assert!((8 * EACH..=16 * EACH + first).contains(&longest), "{longest:?}");
        (0..100).for_each(|_| pace.failed(Failure::Broken));
        let longest = longest_pause(&mut pace) - last;
        assert!((WITHIN / 4..=WITHIN / 2 + last / 4).contains(&longest), "{longest:?}");
        pace.brought();
        assert!(longest_pause(&mut pace) <= 2 * EACH);
    }

    /// A restart's list is asked for in the process's first moment, and one that was not to be had within a part of the grace
    /// in which a backend that leaves may still be sent to.
    #[test]
    fn a_discovery_of_the_nodes_own_is_asked_at_once_and_again_well_within_the_grace() {
        for grace in [NONE, SECOND / 4, SECOND / 2, SECOND, 10 * SECOND] {
            let mut pace = DiscoverySchedule::own(grace, 9);
            assert_eq!(pace.pause(NONE), NONE);
            pace.turn(NONE, true);
            (0..30).for_each(|_| pace.failed(Failure::Broken));
            let most = (grace / 2).max(AGAIN_PUSHED.0 * 2);
            let longest = longest_pause(&mut pace);
            assert!(longest <= most && longest < SECOND && pace.connect() <= most, "{grace:?}: {longest:?}");
            assert!(longest > AGAIN_PUSHED.0 / 2, "never a tight loop");
        }
        assert_eq!(DiscoverySchedule::shared(u32::MAX, Duration::MAX, 1).span, EACH * (u32::MAX - 1));
    }

    /// On the other site's calm days six watches fell silent in one moment. They were given up together, 21 s later, and
    /// stood in discovery's queue for up to 1.9 s: drains counted as told from 22 s on.
    #[test]
    fn watches_that_fell_silent_together_are_opened_anew_one_after_another_and_before_it_counts() {
        for nodes in [6, 100] {
            let mut again = Vec::new();
            for seed in 0..u64::from(nodes) {
                let mut pace = DiscoverySchedule::shared(nodes, WITHIN, seed << 32);
                let turn = pace.turn(SECOND, false);
                assert!((HOLD_ASKED / 2..=HOLD_ASKED).contains(&turn.hold));
                pace.failed(Failure::Silent);
                let now = SECOND + turn.patience;
                let next = now + pace.pause(now);
                assert!(next + SECOND < SECOND + turn.hold + TOLD_AFTER_WAIT, "a second for the call");
                again.push(next);
            }
            // A tenth of a second for each of the nodes' calls is what ten seconds are for a hundred.
            assert!(crowd(&again) <= (nodes as usize / 4).max(3), "{again:?}");
        }
    }

    /// The first try is turned away, and so is each other one: they come soon until what was missed counts as told, never on
    /// the heels of each other, and as rarely as ever from then on.
    #[test]
    fn what_is_owed_is_tried_for_in_time_and_spared_afterwards() {
        let start = |moved: bool, whole: bool, seed| {
            let mut pace = DiscoverySchedule::shared(300, WITHIN, seed);
            let now = if moved {
                pace.moved(NONE);
                pace.turn(NONE, true);
                NONE
            } else {
                let turn = pace.turn(NONE, whole);
                pace.failed(Failure::Silent);
                turn.patience
            };
            let owed = pace.owed.expect("something is owed");
            (pace, now, owed)
        };
        for seed in 0..200 {
            for (moved, whole) in [(true, true), (false, true), (false, false)] {
                let (mut pace, mut now, owed) = start(moved, whole, seed << 32);
                let mut before = 0;
                pace.failed(Failure::Broken);
                while now < owed {
                    let pause = pace.pause(now);
                    let left = owed - now;
                    assert!(pause >= AGAIN_ASKED.0.mul_f64(0.75) || pause == NONE, "{pause:?}");
                    assert!(pause <= (left / 2).max(AGAIN_ASKED.0), "{pause:?} of {left:?}");
                    now += pause;
                    pace.turn(now, true);
                    pace.failed(Failure::Broken);
                    before += usize::from(now < owed);
                }
                assert!((1..=13).contains(&before), "{before} tries");
                assert!(longest_pause_at(&mut pace, owed + SECOND) > WITHIN / 4);
                pace.brought();
                assert_eq!(pace.pause(now), NONE);
            }
        }
    }

    fn longest_pause_at(pace: &mut DiscoverySchedule, now: Duration) -> Duration {
        (0..100).map(|_| pace.pause(now)).max().unwrap_or_default()
    }

    /// However often a node must ask: it has asked again within what its list is good for.
    #[test]
    fn failed_calls_are_made_again_within_what_the_settings_ask() {
        for within in [SECOND, 3 * SECOND, WITHIN, 60 * SECOND] {
            for nodes in [1, 3, 300] {
                let mut pace = DiscoverySchedule::shared(nodes, within, 5);
                (0..30).for_each(|_| pace.failed(Failure::Broken));
                assert!(longest_pause(&mut pace) <= within * 5 / 4, "{within:?}, {nodes}");
            }
        }
    }

    /// Settings that ask at every moment, and discovery turns each call away.
    #[test]
    fn failed_calls_make_no_tight_loop_however_often_the_settings_ask() {
        for within in [NONE, Duration::from_millis(1), SECOND / 20] {
            let mut pace = DiscoverySchedule::shared(300, within, 5);
            for _ in 0..100 {
                pace.failed(Failure::Broken);
                assert!(pace.pause(NONE) >= AGAIN_PUSHED.0 / 2, "{within:?}");
            }
        }
    }

    /// A call for the whole list does not wait at discovery, so that its silence counts sooner than a watch's.
    #[test]
    fn a_silent_call_for_the_whole_list_is_given_up_with_time_for_another() {
        for mut pace in [DiscoverySchedule::shared(300, WITHIN, 3), DiscoverySchedule::own(SECOND, 3)] {
            let turn = pace.turn(NONE, true);
            assert!(turn.patience * 2 <= TOLD_SILENT);
            pace.failed(Failure::Silent);
            let next = turn.patience + pace.pause(turn.patience);
            assert!(next + SECOND < TOLD_SILENT, "{next:?}");
        }
        let mut own = DiscoverySchedule::own(SECOND, 3);
        let turn = own.turn(NONE, false);
        assert!(turn.patience + SECOND < TOLD_SILENT);
    }
}
