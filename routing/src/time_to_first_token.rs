//! The time to the first token at a model server, from what a router sees: its own sends that have not begun, what the server's
//! answers say of its queue, and how long first tokens took.
//!
//! An engine reads prompts one after another and puts tokens out for all that run meanwhile, so that the time to a first token is
//! that of the prompts before it and of its own, over the rate at which prompts are read. That rate and the time that even the
//! shortest prompt takes are learned.

use ivyhatch_protocol::{MILLISECOND, Nanos};

/// Tokens read in a millisecond before anything is known: that of a middling engine.
const RATE: f64 = 100.0;
/// Bounds of what is believed of it.
const RATES: (f64, f64) = (5.0, 5000.0);
/// Only a prompt that is long tells the rate: a short one's time is mostly other things.
const TELLING: u32 = 1500;
/// Weights of a sample above and below the present rate. Waiting makes a sample slow, nothing makes one quick.
const RATE_RISES: f64 = 0.2;
const RATE_FALLS: f64 = 0.01;
/// Time of a short prompt's first token before anything is known.
const FLOOR: f64 = 30.0 * MILLISECOND as f64;
/// Part by which the floor rises with each sample that is above it, and falls with each below.
const FLOOR_RISES: f64 = 0.01;
const FLOOR_FALLS: f64 = 0.3;
/// What a server's answer says of its queue counts for so long.
const TOLD: Nanos = 600 * MILLISECOND;
/// Weight of a sample in the mean wait, and in the mean prompt.
const MEAN: f64 = 0.1;

/// What is known of a service's engines, all alike but for the way to them.
#[derive(Clone, Debug)]
pub struct PrefillModel {
    /// Prompt tokens that are read in a nanosecond.
    rate: f64,
    /// Mean tokens of a prompt that have to be read.
    mean: f64,
    /// Time of a short prompt's first token, on the way included, by region.
    floors: Vec<f64>,
}

impl PrefillModel {
    /// Nothing is known yet of the engines in so many regions.
    pub fn new(regions: u32) -> Self {
        Self { rate: RATE / MILLISECOND as f64, mean: 2000.0, floors: vec![FLOOR; regions as usize + 1] }
    }

    fn floor(&self, region: u32) -> f64 {
        self.floors.get(region as usize).copied().unwrap_or(FLOOR)
    }

    /// The time that reading so many tokens takes, in nanoseconds.
    pub fn reading(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.rate
    }
}

/// What a server's answer says: requests that run, that wait, and places.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: f64,
    /// Requests that wait.
    pub waiting: f64,
    /// Places.
    pub slots: f64,
}

impl LoadReport {
    /// Reads the header: running, waiting, slots.
    pub fn from_header(text: &str) -> Option<Self> {
        let mut numbers = text
            .split(',')
            .map(|text| text.trim().parse::<f64>().ok().filter(|n| *n >= 0.0 && n.is_finite()));
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        (slots > 0.0).then_some(Self { running, waiting, slots })
    }

    /// Share of its places that are taken or asked for.
    pub fn utilisation(&self) -> f64 {
        (self.running + self.waiting) / self.slots.max(1.0)
    }
}

/// One server's engine, as a router sees it.
#[derive(Clone, Copy, Debug)]
pub struct ServerQueue {
    /// Tokens of own sends that have not begun to answer.
    unread: f64,
    /// Own sends that have not ended.
    own: u32,
    /// Mean time that a prompt waited for others.
    wait: f64,
    told: LoadReport,
    told_at: Option<Nanos>,
}

impl Default for ServerQueue {
    fn default() -> Self {
        Self { unread: 0.0, own: 0, wait: 0.0, told: LoadReport::default(), told_at: None }
    }
}

impl ServerQueue {
    /// Expected time to the first token of a prompt of which so many tokens have to be read there, in nanoseconds.
    pub fn delay(&self, now: Nanos, speed: &PrefillModel, region: u32, unread: u32) -> f64 {
        let fresh =
            self.told_at.map_or(0.0, |at| 1.0 - (now.saturating_sub(at) as f64 / TOLD as f64).min(1.0));
        let others = self.told.waiting * speed.mean * fresh;
        speed.floor(region) + (self.unread.max(others) + f64::from(unread)) / speed.rate
    }

    /// Own sends that have not ended.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// A request is sent there.
    pub fn sent(&mut self, unread: u32) {
        self.unread += f64::from(unread);
        self.own += 1;
    }

    /// A request that was sent there has begun to answer, or has ended without: its prompt is no longer before others.
    pub fn begun(&mut self, unread: u32) {
        self.unread = (self.unread - f64::from(unread)).max(0.0);
    }

    /// A request that was sent there has ended.
    pub fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
        if self.own == 0 {
            self.unread = 0.0;
        }
    }

    /// What the server has said of itself.
    pub fn told(&mut self, now: Nanos, load: LoadReport) {
        (self.told, self.told_at) = (load, Some(now));
    }

    /// Learns from a first token that took this long, from a server in this region.
    pub fn learn(&mut self, speed: &mut PrefillModel, region: u32, unread: u32, took: Nanos) {
        let took = took as f64;
        let tokens = f64::from(unread);
        let mut floor = speed.floor(region);
        if unread >= TELLING && took > floor {
            let rate = tokens / (took - floor);
            let weight = if rate > speed.rate { RATE_RISES } else { RATE_FALLS };
            speed.rate += (rate - speed.rate) * weight;
            let (least, most) = RATES;
            speed.rate = speed.rate.clamp(least / MILLISECOND as f64, most / MILLISECOND as f64);
        }
        speed.mean += (tokens - speed.mean) * MEAN;
        let bare = (took - tokens / speed.rate).max(0.0);
        let weight = if bare < floor { FLOOR_FALLS } else { FLOOR_RISES };
        floor += (bare - floor) * weight;
        if let Some(known) = speed.floors.get_mut(region as usize) {
            *known = floor;
        }
        let waited = (bare - floor).max(0.0);
        self.wait += (waited - self.wait) * MEAN;
    }

    /// The server's utilisation, from 0 to 1: that of a queue in which one waits so long, or the share of its places.
    pub fn utilisation(&self, speed: &PrefillModel) -> f64 {
        let service = (speed.mean / speed.rate).max(1.0);
        (self.wait / (self.wait + service)).max(self.told.utilisation().min(1.2))
    }
}
