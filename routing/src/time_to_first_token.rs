//! The expected time to the first token (TTFT) at a model server, from what a router sees: its own requests there that have not
//! begun, the load that the server reports, and how long earlier first tokens took.
//!
//! An engine prefills prompts one after another and decodes for all running requests meanwhile. The model is linear:
//!
//! TTFT = base latency + (queued tokens + own uncached tokens) / prefill rate
//!
//! The base latency is that of the shortest prompt, by region, as it contains the network's round trip. Both it and the rate are
//! learned from samples by exponential moving averages.

use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::load_report::LoadReport;

/// Prefill rate of an average engine, in tokens a millisecond, before anything is known.
const INITIAL_TOKENS_PER_MS: f64 = 100.0;
/// Bounds of the learned prefill rate, in tokens a millisecond.
const MIN_TOKENS_PER_MS: f64 = 5.0;
const MAX_TOKENS_PER_MS: f64 = 5000.0;
/// Uncached tokens of a prompt from which the rate is learned; the time of a shorter one is mostly base latency.
const MIN_TOKENS_FOR_RATE: u32 = 1500;
/// Weights of a sample above and below the learned rate. Queueing makes a sample slow, nothing makes one fast.
const RATE_RISE_WEIGHT: f64 = 0.2;
const RATE_FALL_WEIGHT: f64 = 0.01;
/// Base latency in nanoseconds before anything is known.
const INITIAL_BASE_LATENCY_NS: f64 = 30.0 * MILLISECOND as f64;
/// Weights of a sample above and below the learned base latency, for the same reason.
const BASE_LATENCY_RISE_WEIGHT: f64 = 0.01;
const BASE_LATENCY_FALL_WEIGHT: f64 = 0.3;
/// Mean uncached tokens of a prompt before anything is known.
const INITIAL_MEAN_TOKENS: f64 = 2000.0;
/// Weight of a sample in the mean wait and in the mean prompt.
const MEAN_WEIGHT: f64 = 0.1;
/// A load report counts in full when it comes, less and less after that, and not at all after this time.
const LOAD_REPORT_LIFETIME: Nanos = 600 * MILLISECOND;
/// What other routers have at a server counts for so long after it was reported.
const PEER_LOAD_LIFETIME: Nanos = 500 * MILLISECOND;
/// Upper bound of the utilisation that a load report can show.
const MAX_REPORTED_UTILISATION: f64 = 1.2;

/// The latency model of one service, whose engines are alike but for the network's round trip to them.
#[derive(Clone, Debug)]
pub struct PrefillModel {
    tokens_per_ns: f64,
    /// Mean uncached tokens of a prompt.
    mean_tokens: f64,
    /// Base latency in nanoseconds, by region; the last one is for all regions that the settings do not name.
    base_latency_ns: Vec<f64>,
}

impl PrefillModel {
    /// A model of engines in so many regions of which nothing is known yet.
    pub fn new(regions: u32) -> Self {
        Self {
            tokens_per_ns: INITIAL_TOKENS_PER_MS / MILLISECOND as f64,
            mean_tokens: INITIAL_MEAN_TOKENS,
            base_latency_ns: vec![INITIAL_BASE_LATENCY_NS; regions as usize + 1],
        }
    }

    /// The time to prefill so many tokens, in nanoseconds.
    pub fn prefill_time(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.tokens_per_ns
    }

    fn base_latency(&self, region: u32) -> f64 {
        self.base_latency_ns.get(region as usize).copied().unwrap_or(INITIAL_BASE_LATENCY_NS)
    }

    /// Learns from a first token. Returns how much of its time the model does not explain, in nanoseconds: its wait in a queue.
    fn learn(&mut self, region: u32, uncached_tokens: u32, elapsed_ns: f64) -> f64 {
        let tokens = f64::from(uncached_tokens);
        let mut base_latency = self.base_latency(region);
        if uncached_tokens >= MIN_TOKENS_FOR_RATE && elapsed_ns > base_latency {
            self.learn_rate(tokens / (elapsed_ns - base_latency));
        }
        self.mean_tokens += (tokens - self.mean_tokens) * MEAN_WEIGHT;
        let without_prefill = (elapsed_ns - tokens / self.tokens_per_ns).max(0.0);
        let is_lower = without_prefill < base_latency;
        let weight = if is_lower { BASE_LATENCY_FALL_WEIGHT } else { BASE_LATENCY_RISE_WEIGHT };
        base_latency += (without_prefill - base_latency) * weight;
        if let Some(learned) = self.base_latency_ns.get_mut(region as usize) {
            *learned = base_latency;
        }
        (without_prefill - base_latency).max(0.0)
    }

    fn learn_rate(&mut self, tokens_per_ns: f64) {
        let weight = if tokens_per_ns > self.tokens_per_ns { RATE_RISE_WEIGHT } else { RATE_FALL_WEIGHT };
        self.tokens_per_ns += (tokens_per_ns - self.tokens_per_ns) * weight;
        let (min, max) = (MIN_TOKENS_PER_MS / MILLISECOND as f64, MAX_TOKENS_PER_MS / MILLISECOND as f64);
        self.tokens_per_ns = self.tokens_per_ns.clamp(min, max);
    }
}

/// The queue of one model server, as a router sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerQueue {
    /// Uncached tokens of this router's requests there whose responses have not begun.
    queued_tokens: f64,
    /// This router's requests there that have not ended.
    in_flight: u32,
    /// Mean time that a prompt waited for others, in nanoseconds.
    mean_wait_ns: f64,
    load: LoadReport,
    load_reported_at: Option<Nanos>,
    peer_load: PeerLoad,
}

/// What other routers have at a server, as they reported it some time ago.
#[derive(Clone, Copy, Debug, Default)]
struct PeerLoad {
    queued_tokens: f64,
    in_flight: u32,
    reported_at: Nanos,
}

impl PeerLoad {
    /// The time since the report; none where that is too long ago to count.
    fn age(&self, now: Nanos) -> Option<Nanos> {
        Some(now.saturating_sub(self.reported_at)).filter(|age| *age < PEER_LOAD_LIFETIME)
    }

    /// The tokens that are still queued: the engine has prefilled meanwhile.
    fn queued_tokens_at(&self, now: Nanos, model: &PrefillModel) -> f64 {
        let Some(age) = self.age(now) else { return 0.0 };
        (self.queued_tokens - age as f64 * model.tokens_per_ns).max(0.0)
    }
}

impl ServerQueue {
    /// Expected time to the first token of a prompt with so many uncached tokens there, in nanoseconds.
    pub fn time_to_first_token(
        &self,
        now: Nanos,
        model: &PrefillModel,
        region: u32,
        uncached_tokens: u32,
    ) -> f64 {
        let reported_tokens = self.load.waiting * model.mean_tokens * self.load_report_freshness(now);
        let routers_tokens = self.queued_tokens + self.peer_load.queued_tokens_at(now, model);
        // The routers' requests are among those that the server reports: the greater figure counts, not the sum.
        let queued_tokens = routers_tokens.max(reported_tokens);
        model.base_latency(region) + (queued_tokens + f64::from(uncached_tokens)) / model.tokens_per_ns
    }

    /// This router's requests there that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether no router is known to have a request there.
    pub fn is_idle(&self, now: Nanos) -> bool {
        self.in_flight == 0 && (self.peer_load.in_flight == 0 || self.peer_load.age(now).is_none())
    }

    /// Notes that a request is sent there.
    pub fn record_send(&mut self, uncached_tokens: u32) {
        self.queued_tokens += f64::from(uncached_tokens);
        self.in_flight += 1;
    }

    /// Notes that a request that was sent there has begun to be answered, or has ended before: its prompt delays no other any more.
    pub fn record_prefill_end(&mut self, uncached_tokens: u32) {
        self.queued_tokens = (self.queued_tokens - f64::from(uncached_tokens)).max(0.0);
    }

    /// Notes that a request that was sent there has ended.
    pub fn record_request_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.queued_tokens = 0.0;
        }
    }

    /// Takes what other routers have there.
    pub fn record_peer_load(&mut self, now: Nanos, queued_tokens: u64, in_flight: u32) {
        self.peer_load = PeerLoad { queued_tokens: queued_tokens as f64, in_flight, reported_at: now };
    }

    /// Prompt tokens of this router's requests there that have no response yet.
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens as u64
    }

    /// Takes the server's report of its load.
    pub fn record_load_report(&mut self, now: Nanos, load: LoadReport) {
        (self.load, self.load_reported_at) = (load, Some(now));
    }

    /// Learns from a first token that took `elapsed` from a server in this region.
    pub fn record_first_token(
        &mut self,
        model: &mut PrefillModel,
        region: u32,
        uncached_tokens: u32,
        elapsed: Nanos,
    ) {
        let wait_ns = model.learn(region, uncached_tokens, elapsed as f64);
        self.mean_wait_ns += (wait_ns - self.mean_wait_ns) * MEAN_WEIGHT;
    }

    /// The server's utilisation, from 0 to 1.2: that of an M/M/1 queue with the mean wait W and the mean
    /// service time S, which is W / (W + S), or that of its slots where it is higher.
    pub fn utilisation(&self, model: &PrefillModel) -> f64 {
        let service_time_ns = (model.mean_tokens / model.tokens_per_ns).max(1.0);
        let wait_utilisation = self.mean_wait_ns / (self.mean_wait_ns + service_time_ns);
        wait_utilisation.max(self.load.utilisation().min(MAX_REPORTED_UTILISATION))
    }

    /// Weight of the last load report: 1 when it comes, falling to 0.
    fn load_report_freshness(&self, now: Nanos) -> f64 {
        let Some(reported_at) = self.load_reported_at else { return 0.0 };
        let age = now.saturating_sub(reported_at) as f64;
        1.0 - (age / LOAD_REPORT_LIFETIME as f64).min(1.0)
    }
}
