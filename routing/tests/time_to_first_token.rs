//! The expected time to the first token at a model server: learning from samples, and the effect of requests in flight and queues.

use googletest::prelude::*;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::load_report::LoadReport;
use ivyhatch_routing::time_to_first_token::{PrefillModel, ServerQueue};

const MS: f64 = MILLISECOND as f64;
const NEAR: u32 = 0;
const FAR: u32 = 1;

/// A server in region `NEAR`, and the latency model of its service.
#[derive(Clone)]
struct ModelServer {
    queue: ServerQueue,
    model: PrefillModel,
}

impl ModelServer {
    fn new() -> Self {
        Self { queue: ServerQueue::default(), model: PrefillModel::new(2) }
    }

    /// A server that has learned from `times` rounds of first tokens of these prompts, at an engine with this prefill rate and base
    /// latency.
    fn trained(tokens_per_ms: f64, base_latency_ms: f64, prompts: &[u32], times: usize) -> Self {
        let mut server = Self::new();
        for tokens in prompts.iter().cycle().take(times * prompts.len()) {
            server.learn(*tokens, (base_latency_ms + f64::from(*tokens) / tokens_per_ms) * MS);
        }
        server
    }

    fn learn(&mut self, tokens: u32, elapsed_ns: f64) {
        self.queue.record_first_token(&mut self.model, NEAR, tokens, elapsed_ns as Nanos);
    }

    fn latency_at(&self, now: Nanos, tokens: u32) -> f64 {
        self.queue.time_to_first_token(now, &self.model, NEAR, tokens)
    }

    fn latency(&self, tokens: u32) -> f64 {
        self.latency_at(SECOND, tokens)
    }

    fn utilisation(&self) -> f64 {
        self.queue.utilisation(&self.model)
    }
}

#[gtest]
fn prefill_rate_is_learned_from_long_prompts() {
    for rate in [40.0, 150.0, 400.0] {
        let server = ModelServer::trained(rate, 10.0, &[200, 6000], 1500);
        let more = server.latency(7000) - server.latency(1000);
        expect_that!(more / MS, near(6000.0 / rate, 6000.0 / rate * 0.25), "{rate}");
        expect_that!(server.model.prefill_time(6000), near(more, 1.0));
    }
}

#[gtest]
fn base_latency_is_learned_from_short_prompts() {
    for base_latency_ms in [5.0, 25.0, 120.0] {
        let server = ModelServer::trained(100.0, base_latency_ms, &[100], 1000);
        expect_that!(
            server.latency(0) / MS,
            near(base_latency_ms, base_latency_ms * 0.3),
            "{base_latency_ms}"
        );
    }
}

#[gtest]
fn base_latency_is_learned_by_region_and_shared_by_its_servers() {
    let mut server = ModelServer::new();
    let before = server.queue.time_to_first_token(SECOND, &server.model, FAR, 0);
    for _ in 0..1000 {
        server.learn(100, 6.0 * MS);
    }
    expect_that!(
        server.queue.time_to_first_token(SECOND, &server.model, FAR, 0),
        near(before, 1.0),
        "there were no samples of this region"
    );
    for _ in 0..1000 {
        server.queue.record_first_token(&mut server.model, FAR, 100, (80.0 * MS) as Nanos);
    }
    let other = ServerQueue::default();
    expect_that!(other.time_to_first_token(SECOND, &server.model, NEAR, 0) / MS, le(10.0));
    expect_that!(other.time_to_first_token(SECOND, &server.model, FAR, 0) / MS, near(80.0, 20.0));
    // An index beyond the configured regions is handled.
    server.queue.record_first_token(&mut server.model, 99, 100, SECOND);
    expect_that!(
        server.queue.time_to_first_token(SECOND, &server.model, 99, 0),
        all![gt(0.0), lt(f64::INFINITY)]
    );
}

#[gtest]
fn slow_sample_moves_the_model_little_and_fast_one_much() {
    let before = ModelServer::trained(100.0, 20.0, &[100, 5000], 500);
    let latency = before.latency(5000);
    let mut slow = before.clone();
    slow.learn(5000, latency * 10.0);
    expect_that!(slow.latency(5000), le(latency * 1.25));
    let mut fast = before.clone();
    fast.learn(5000, latency * 0.3);
    expect_that!(fast.latency(5000), le(latency * 0.9));
}

#[gtest]
fn requests_in_flight_raise_the_latency_until_they_begin() {
    let mut server = ModelServer::new();
    let idle = server.latency(1000);
    server.queue.record_send(5000);
    let behind_one = server.latency(1000);
    server.queue.record_send(5000);
    let behind_two = server.latency(1000);
    expect_that!(behind_one, gt(idle));
    expect_that!(behind_two - behind_one, near(behind_one - idle, 1.0));
    expect_that!(server.queue.in_flight(), eq(2));
    server.queue.record_prefill_end(5000);
    expect_that!(server.latency(1000), near(behind_one, 1.0));
    server.queue.record_prefill_end(5000);
    expect_that!(server.latency(1000), near(idle, 1.0));
    expect_that!(server.queue.in_flight(), eq(2), "both requests are still running");
    (0..3).for_each(|_| server.queue.record_request_end());
    expect_that!(server.queue.in_flight(), eq(0));
}

#[gtest]
fn queued_tokens_are_reset_when_nothing_is_in_flight() {
    let mut server = ModelServer::new();
    let idle = server.latency(0);
    server.queue.record_send(4000);
    server.queue.record_request_end();
    expect_that!(server.latency(0), near(idle, 1.0));
    server.queue.record_prefill_end(4000);
    expect_that!(server.latency(0), near(idle, 1.0), "the latency never falls below that of an idle server");
}

#[gtest]
fn load_report_counts_while_it_is_fresh() {
    let mut server = ModelServer::new();
    let idle = server.latency(0);
    server.queue.record_load_report(SECOND, LoadReport { running: 8.0, waiting: 4.0, slots: 8.0 });
    let reported = server.latency(0);
    let aged = server.latency_at(SECOND + 300 * MILLISECOND, 0);
    expect_that!(reported, gt(aged));
    expect_that!(aged, gt(idle));
    expect_that!(server.latency_at(2 * SECOND, 0), near(idle, 1.0));
    // The reported load includes the router's requests: the maximum counts, not the sum.
    server.queue.record_send(1);
    expect_that!(server.latency(0), near(reported, 1.0));
}

#[gtest]
fn utilisation_rises_with_queueing_time() {
    let mut server = ModelServer::trained(100.0, 20.0, &[2000], 300);
    let mut last = server.utilisation();
    expect_that!(last, le(0.3), "no request waits");
    for _ in 0..20 {
        server.learn(2000, server.latency(2000) + 300.0 * MS);
        let utilisation = server.utilisation();
        expect_that!(utilisation, gt(last));
        last = utilisation;
    }
    expect_that!(last, all![gt(0.6), lt(1.0)]);
}

#[gtest]
fn utilisation_is_that_of_the_slots_where_it_is_higher() {
    for (running, slot_utilisation) in [(0.0, 0.0), (4.0, 0.5), (8.0, 1.0), (900.0, 1.2)] {
        let mut server = ModelServer::new();
        server.queue.record_load_report(SECOND, LoadReport { running, waiting: 0.0, slots: 8.0 });
        expect_that!(server.utilisation(), near(slot_utilisation, 1e-9));
    }
}

#[gtest]
fn learned_figures_stay_within_bounds_for_any_sample() {
    for tokens in [0, 1, 1500, 1_000_000, u32::MAX] {
        for elapsed_ns in [0, 1, MILLISECOND, SECOND, 3600 * SECOND, u64::MAX] {
            let mut server = ModelServer::new();
            for _ in 0..50 {
                server.learn(tokens, elapsed_ns as f64);
            }
            expect_that!(server.latency(1000), all![ge(0.0), lt(f64::INFINITY)], "{tokens} in {elapsed_ns}");
            expect_that!(server.utilisation(), all![ge(0.0), le(1.2)], "{tokens} in {elapsed_ns}");
            // The bounds of the prefill rate: between 5 and 5000 tokens per millisecond.
            expect_that!(
                server.model.prefill_time(1000) / MS,
                all![ge(0.199), le(200.1)],
                "{tokens} in {elapsed_ns}"
            );
        }
    }
}

#[gtest]
fn queue_of_other_routers_counts_until_it_is_prefilled_or_too_old() {
    let model = PrefillModel::new(1);
    let mut queue = ServerQueue::default();
    let latency = |queue: &ServerQueue, now| queue.time_to_first_token(now, &model, 0, 100);
    let idle = latency(&queue, SECOND);
    queue.record_peer_load(SECOND, 40_000, 2);
    let busy = latency(&queue, SECOND);
    expect_that!(busy, gt(idle + 100.0 * MILLISECOND as f64));
    expect_that!(
        latency(&queue, SECOND + 100 * MILLISECOND),
        all![lt(busy), gt(idle)],
        "a part of the queue has been prefilled"
    );
    expect_that!(latency(&queue, SECOND + 500 * MILLISECOND), eq(idle), "the report expires after 500 ms");
    queue.record_peer_load(SECOND, 0, 0);
    expect_that!(latency(&queue, SECOND), eq(idle));
}

#[gtest]
fn server_is_idle_where_no_router_has_a_request_there() {
    let mut queue = ServerQueue::default();
    expect_that!(queue.is_idle(SECOND), eq(true));
    queue.record_peer_load(SECOND, 0, 1);
    expect_that!(queue.is_idle(SECOND), eq(false));
    expect_that!(queue.is_idle(2 * SECOND), eq(true), "the report has expired");
    queue.record_send(10);
    expect_that!(queue.is_idle(2 * SECOND), eq(false));
}
