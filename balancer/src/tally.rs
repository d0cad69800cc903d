//! What a node counts of itself for its log: one line a span, whatever the traffic. Nothing is decided by it.

use crate::api::*;
use crate::state::*;

/// How often the log says what was counted.
const LOG_INTERVAL: Nanos = 5 * SECOND;
const OUTCOMES: usize = 9;

/// Why a request was ended without an answer.
#[derive(Clone, Copy)]
pub(crate) enum RejectReason {
    /// Its aim had passed when it came.
    PastTarget,
    /// Held until no backend could answer it in time.
    QueueTimeout,
    /// Its attempt did not serve, and there is no other.
    AttemptsFailed,
}

/// Counts since the last line.
#[derive(Default)]
pub(crate) struct Counters {
    logged_at: Nanos,
    pub(crate) arrivals: u32,
    unserved: [u32; 3],
    outcomes: [u32; OUTCOMES],
    sent_beyond_subset: u32,
    sent: u32,
}

impl Counters {
    pub(crate) fn count_unserved(&mut self, why: RejectReason) {
        self.unserved[why as usize] += 1;
    }

    pub(crate) fn count_outcome(&mut self, outcome: Outcome) {
        self.outcomes[outcome as usize] += 1;
    }

    /// A send, to one of the node's subset or beyond it.
    pub(crate) fn count_send(&mut self, beyond: bool) {
        self.sent += 1;
        self.sent_beyond_subset += u32::from(beyond);
    }
}

impl Balancer {
    /// Says what was counted, and how old the load reports are.
    pub(crate) fn log_counters(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.counters.logged_at + LOG_INTERVAL {
            return;
        }
        let tally = std::mem::take(&mut self.counters);
        self.counters.logged_at = self.now;
        if tally.logged_at == 0 {
            return;
        }
        let [served, error, spoilt, full, late, unconnected, reset, _, _] = tally.outcomes;
        let [past, held, tried] = tally.unserved;
        let uses: Vec<String> = (0..self.settings.zones)
            .map(|zone| match self.utilisation(ZoneId(zone)) {
                Some(util) => format!("{util:.2}"),
                None => "?".to_owned(),
            })
            .collect();
        let window = |zone: &ZoneView| format!("{:.1}/{:.0}", zone.window.size, zone.in_flight);
        let windows: Vec<String> = self.zones.iter().map(window).collect();
        actions.push(Action::Log(format!(
            "in {} s: {} asked; ended {past} past, {held} held, {tried} tried; {} sent, {} beyond \
             the subset: {served} served, {error} error, {spoilt} spoilt, {full} full, {late} late, {unconnected} \
             unconnected, {reset} reset; {} of {} ejected; zones use {}; spills {:.2}; windows {}",
            LOG_INTERVAL / SECOND,
            tally.arrivals,
            tally.sent,
            tally.sent_beyond_subset,
            self.ejected_count,
            self.in_service_count,
            uses.join(" "),
            self.zones[self.settings.home.0 as usize].overflow_share,
            windows.join(" ")
        )));
        if let Some(ages) = self.probe_scheduler.as_ref().map(|probes| probes.ages(self.now)) {
            actions.push(Action::Log(format!(
                "load reports: {} of {} probed backends ({} listed) known, the oldest {} ms old; {} unreached; {} probes so far",
                ages.known,
                ages.kept,
                ages.listed,
                ages.oldest / 1_000_000,
                ages.unreached,
                ages.sent
            )));
        }
    }
}
