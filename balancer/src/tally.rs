//! What a node counts of itself for its log: one line a span, whatever the traffic. Nothing is decided by it.

use crate::api::*;
use crate::state::*;

/// How often the log says what was counted.
const EVERY: Nanos = 5 * SECOND;
const OUTCOMES: usize = 9;

/// Why a request was ended without an answer.
#[derive(Clone, Copy)]
pub(crate) enum Why {
    /// Its aim had passed when it came.
    Past,
    /// Held until no backend could answer it in time.
    Held,
    /// Its attempt did not serve, and there is no other.
    Tried,
}

/// Counts since the last line.
#[derive(Default)]
pub(crate) struct Tally {
    said: Nanos,
    pub(crate) asked: u32,
    ended: [u32; 3],
    outcomes: [u32; OUTCOMES],
    beyond: u32,
    sent: u32,
}

impl Tally {
    pub(crate) fn ended(&mut self, why: Why) {
        self.ended[why as usize] += 1;
    }

    pub(crate) fn outcome(&mut self, outcome: Outcome) {
        self.outcomes[outcome as usize] += 1;
    }

    /// A send, to one of the node's subset or beyond it.
    pub(crate) fn sent(&mut self, beyond: bool) {
        self.sent += 1;
        self.beyond += u32::from(beyond);
    }
}

impl Balancer {
    /// Says what was counted, and how old the load reports are.
    pub(crate) fn say_tally(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.tally.said + EVERY {
            return;
        }
        let tally = std::mem::take(&mut self.tally);
        self.tally.said = self.now;
        if tally.said == 0 {
            return;
        }
        let [served, error, spoilt, full, late, unconnected, reset, _, _] = tally.outcomes;
        let [past, held, tried] = tally.ended;
        let uses: Vec<String> = (0..self.settings.zones)
            .map(|zone| match self.utilisation(ZoneId(zone)) {
                Some(util) => format!("{util:.2}"),
                None => "?".to_owned(),
            })
            .collect();
        let window = |zone: &Zone| format!("{:.1}/{:.0}", zone.window.size, zone.own);
        let windows: Vec<String> = self.zones.iter().map(window).collect();
        actions.push(Action::Log(format!(
            "in {} s: {} asked; ended {past} past, {held} held, {tried} tried; {} sent, {} beyond \
             the subset: {served} served, {error} error, {spoilt} spoilt, {full} full, {late} late, {unconnected} \
             unconnected, {reset} reset; {} of {} ejected; zones use {}; spills {:.2}; windows {}",
            EVERY / SECOND,
            tally.asked,
            tally.sent,
            tally.beyond,
            self.ejected,
            self.in_service,
            uses.join(" "),
            self.zones[self.settings.home.0 as usize].spill,
            windows.join(" ")
        )));
        if let Some(ages) = self.probes.as_ref().map(|probes| probes.ages(self.now)) {
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
