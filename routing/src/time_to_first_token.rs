//! The expected time to the first token (TTFT) at a model server, estimated from what a router can observe: its own requests to the
//! server that have no response yet, the load that the server and the other routers report, and the TTFTs of earlier requests.
//!
//! An engine prefills prompts one after another, and decodes for all running requests at the same time. The model is linear:
//!
//! TTFT = base latency + (queued tokens + own uncached tokens) / prefill rate
//!
//! The base latency is the TTFT of a very short prompt at an idle server. It is kept per region, since it includes the network round
//! trip. The base latency and the prefill rate are learned from samples by exponential moving averages.

use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::load_report::LoadReport;

/// Prefill rate in tokens per millisecond that is assumed before the first sample.
const INITIAL_TOKENS_PER_MS: f64 = 100.0;
/// Bounds of the learned prefill rate, in tokens per millisecond.
const MIN_TOKENS_PER_MS: f64 = 5.0;
const MAX_TOKENS_PER_MS: f64 = 5000.0;
/// The minimum number of uncached tokens of a prompt from which the prefill rate is learned; for a shorter prompt, the base latency
/// dominates the TTFT.
const MIN_TOKENS_FOR_RATE: u32 = 1500;
/// Weights of a sample above and below the learned rate. A slow sample may be due to queueing; a fast sample has no such cause, so
/// it weighs more.
const RATE_RISE_WEIGHT: f64 = 0.2;
const RATE_FALL_WEIGHT: f64 = 0.01;
/// Base latency in nanoseconds that is assumed before the first sample.
const INITIAL_BASE_LATENCY_NS: f64 = 30.0 * MILLISECOND as f64;
/// Weights of a sample above and below the learned base latency. As with the rate, a slow sample may be due to queueing.
const BASE_LATENCY_RISE_WEIGHT: f64 = 0.01;
const BASE_LATENCY_FALL_WEIGHT: f64 = 0.3;
/// Mean number of uncached tokens of a prompt that is assumed before the first sample.
const INITIAL_MEAN_TOKENS: f64 = 2000.0;
/// Weight of a sample in the mean queueing time and in the mean number of uncached tokens.
const MEAN_WEIGHT: f64 = 0.1;
/// The weight of a load report falls linearly from 1 on receipt to 0 after this time.
const LOAD_REPORT_LIFETIME: Nanos = 600 * MILLISECOND;
/// Time after a report of other routers' load on a server during which the report is taken into account.
const PEER_LOAD_LIFETIME: Nanos = 500 * MILLISECOND;
/// Upper bound of the utilisation that is derived from a load report.
const MAX_REPORTED_UTILISATION: f64 = 1.2;

/// The latency model of one service. Its engines are assumed to be identical except for the network round trip.
#[derive(Clone, Debug)]
pub struct PrefillModel {
    tokens_per_ns: f64,
    /// Mean number of uncached tokens of a prompt.
    mean_tokens: f64,
    /// Base latency in nanoseconds by region index; the last element is for all regions that are not in the settings.
    base_latency_ns: Vec<f64>,
}

impl PrefillModel {
    /// Creates a model with the initial assumptions, for engines in this number of regions.
    pub fn new(regions: u32) -> Self {
        Self {
            tokens_per_ns: INITIAL_TOKENS_PER_MS / MILLISECOND as f64,
            mean_tokens: INITIAL_MEAN_TOKENS,
            base_latency_ns: vec![INITIAL_BASE_LATENCY_NS; regions as usize + 1],
        }
    }

    /// The time to prefill this number of tokens, in nanoseconds.
    pub fn prefill_time(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.tokens_per_ns
    }

    fn base_latency(&self, region: u32) -> f64 {
        self.base_latency_ns.get(region as usize).copied().unwrap_or(INITIAL_BASE_LATENCY_NS)
    }

    /// Updates the model with the time to a first token. Returns the part of that time that is neither prefill nor base latency, in
    /// nanoseconds: the queueing time.
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

/// A router's estimate of the queue of one model server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerQueue {
    /// Uncached prompt tokens of this router's requests to the server that have no response yet.
    queued_tokens: f64,
    /// The number of this router's requests to the server that have not ended.
    in_flight: u32,
    /// Mean queueing time of a prompt, in nanoseconds.
    mean_wait_ns: f64,
    load: LoadReport,
    load_reported_at: Option<Nanos>,
    peer_load: PeerLoad,
}

/// The load of the other routers on a server, as last reported.
#[derive(Clone, Copy, Debug, Default)]
struct PeerLoad {
    queued_tokens: f64,
    in_flight: u32,
    reported_at: Nanos,
}

impl PeerLoad {
    /// The time since the report; `None` if the report has expired.
    fn age(&self, now: Nanos) -> Option<Nanos> {
        Some(now.saturating_sub(self.reported_at)).filter(|age| *age < PEER_LOAD_LIFETIME)
    }

    /// The estimated number of reported tokens that are still queued at `now`: the engine has prefilled some of them since the report.
    fn queued_tokens_at(&self, now: Nanos, model: &PrefillModel) -> f64 {
        let Some(age) = self.age(now) else { return 0.0 };
        (self.queued_tokens - age as f64 * model.tokens_per_ns).max(0.0)
    }
}

impl ServerQueue {
    /// Expected time to the first token of a prompt with this number of uncached tokens at the server, in nanoseconds.
    pub fn time_to_first_token(
        &self,
        now: Nanos,
        model: &PrefillModel,
        region: u32,
        uncached_tokens: u32,
    ) -> f64 {
        let reported_tokens = self.load.waiting * model.mean_tokens * self.load_report_freshness(now);
        let routers_tokens = self.queued_tokens + self.peer_load.queued_tokens_at(now, model);
        // The server's report includes the routers' requests, so the maximum is used and not the sum.
        let queued_tokens = routers_tokens.max(reported_tokens);
        model.base_latency(region) + (queued_tokens + f64::from(uncached_tokens)) / model.tokens_per_ns
    }

    /// The number of this router's requests to the server that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether no router is known to have a request in flight to the server.
    pub fn is_idle(&self, now: Nanos) -> bool {
        self.in_flight == 0 && (self.peer_load.in_flight == 0 || self.peer_load.age(now).is_none())
    }

    /// Records that a request is sent to the server.
    pub fn record_send(&mut self, uncached_tokens: u32) {
        self.queued_tokens += f64::from(uncached_tokens);
        self.in_flight += 1;
    }

    /// Records that the response to a request of this router has begun, or that the request has ended without a response: its prompt
    /// no longer delays other requests.
    pub fn record_prefill_end(&mut self, uncached_tokens: u32) {
        self.queued_tokens = (self.queued_tokens - f64::from(uncached_tokens)).max(0.0);
    }

    /// Records that a request of this router to the server has ended.
    pub fn record_request_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.queued_tokens = 0.0;
        }
    }

    /// Records the total load of the other routers on the server.
    pub fn record_peer_load(&mut self, now: Nanos, queued_tokens: u64, in_flight: u32) {
        self.peer_load = PeerLoad { queued_tokens: queued_tokens as f64, in_flight, reported_at: now };
    }

    /// Uncached prompt tokens of this router's requests to the server that have no response yet.
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens as u64
    }

    /// Records the server's report of its load.
    pub fn record_load_report(&mut self, now: Nanos, load: LoadReport) {
        (self.load, self.load_reported_at) = (load, Some(now));
    }

    /// Records that the first token of a prompt arrived `elapsed` after the request was sent to this server, which is in `region`.
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

    /// The server's utilisation, from 0 to 1.2: the greater of the utilisation of an M/M/1 queue with the mean queueing time W and the
    /// mean service time S, which is W / (W + S), and the reported utilisation of the slots, capped at 1.2.
    pub fn utilisation(&self, model: &PrefillModel) -> f64 {
        let service_time_ns = (model.mean_tokens / model.tokens_per_ns).max(1.0);
        let wait_utilisation = self.mean_wait_ns / (self.mean_wait_ns + service_time_ns);
        wait_utilisation.max(self.load.utilisation().min(MAX_REPORTED_UTILISATION))
    }

    /// Weight of the last load report: 1 on receipt, falling linearly to 0; 0 if there is no report.
    fn load_report_freshness(&self, now: Nanos) -> f64 {
        let Some(reported_at) = self.load_reported_at else { return 0.0 };
        let age = now.saturating_sub(reported_at) as f64;
        1.0 - (age / LOAD_REPORT_LIFETIME as f64).min(1.0)
    }
}
