//! The time to the first token at a model server: what is learned of it, and how own sends and waits move it.

use googletest::prelude::*;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::time_to_first_token::{LoadReport, PrefillModel, ServerQueue};

const MS: f64 = MILLISECOND as f64;
const NEAR: u32 = 0;
const FAR: u32 = 1;

/// An engine in a region, and what is known of all of its service.
#[derive(Clone)]
struct Known {
    engine: ServerQueue,
    speed: PrefillModel,
}

impl Known {
    fn nothing() -> Self {
        Self { engine: ServerQueue::default(), speed: PrefillModel::new(2) }
    }

    /// First tokens of an engine that reads so many tokens in a millisecond and needs so long for the shortest prompt.
    fn taught(rate: f64, floor_ms: f64, prompts: &[u32], times: usize) -> Self {
        let mut known = Self::nothing();
        for unread in prompts.iter().cycle().take(times * prompts.len()) {
            known.learn(*unread, (floor_ms + f64::from(*unread) / rate) * MS);
        }
        known
    }

    fn learn(&mut self, unread: u32, took: f64) {
        self.engine.learn(&mut self.speed, NEAR, unread, took as Nanos);
    }

    fn delay_at(&self, now: Nanos, unread: u32) -> f64 {
        self.engine.delay(now, &self.speed, NEAR, unread)
    }

    fn delay(&self, unread: u32) -> f64 {
        self.delay_at(SECOND, unread)
    }

    fn utilisation(&self) -> f64 {
        self.engine.utilisation(&self.speed)
    }
}

#[gtest]
fn loads_are_read_and_garbage_is_none() {
    let load = LoadReport { running: 3.0, waiting: 1.0, slots: 8.0 };
    expect_that!(LoadReport::from_header("3,1,8"), some(eq(load)));
    expect_that!(LoadReport::from_header(" 3 , 1 , 8 "), some(eq(load)));
    expect_that!(load.utilisation(), near(0.5, 1e-9));
    for text in ["", "3", "3,1", "3,1,0", "-3,1,8", "3,-1,8", "a,b,c", "3;1;8", ",,", "NaN,1,8", "1,1,NaN"] {
        expect_that!(LoadReport::from_header(text), none(), "{text}");
    }
}

#[gtest]
fn no_server_holds_an_endless_number_of_requests() {
    for text in ["inf,0,8", "0,inf,8", "0,0,inf", "1e999,0,8"] {
        expect_that!(LoadReport::from_header(text), none(), "{text}");
    }
}

#[gtest]
fn the_rate_is_learned_from_long_prompts() {
    for rate in [40.0, 150.0, 400.0] {
        let known = Known::taught(rate, 10.0, &[200, 6000], 1500);
        let more = known.delay(7000) - known.delay(1000);
        expect_that!(more / MS, near(6000.0 / rate, 6000.0 / rate * 0.25), "{rate}");
        expect_that!(known.speed.reading(6000), near(more, 1.0));
    }
}

#[gtest]
fn the_floor_is_learned_from_short_prompts() {
    for floor in [5.0, 25.0, 120.0] {
        let known = Known::taught(100.0, floor, &[100], 1000);
        expect_that!(known.delay(0) / MS, near(floor, floor * 0.3), "{floor}");
    }
}

#[gtest]
fn a_region_s_way_is_learned_by_itself_and_shared_by_its_servers() {
    let mut known = Known::nothing();
    let before = known.engine.delay(SECOND, &known.speed, FAR, 0);
    for _ in 0..1000 {
        known.learn(100, 6.0 * MS);
    }
    expect_that!(
        known.engine.delay(SECOND, &known.speed, FAR, 0),
        near(before, 1.0),
        "nothing was seen of it"
    );
    for _ in 0..1000 {
        known.engine.learn(&mut known.speed, FAR, 100, (80.0 * MS) as Nanos);
    }
    let other = ServerQueue::default();
    expect_that!(other.delay(SECOND, &known.speed, NEAR, 0) / MS, le(10.0));
    expect_that!(other.delay(SECOND, &known.speed, FAR, 0) / MS, near(80.0, 20.0));
    // A region that the settings do not name takes no harm.
    known.engine.learn(&mut known.speed, 99, 100, SECOND);
    expect_that!(known.engine.delay(SECOND, &known.speed, 99, 0), all![gt(0.0), lt(f64::INFINITY)]);
}

#[gtest]
fn one_slow_answer_moves_little_and_one_quick_answer_much() {
    let before = Known::taught(100.0, 20.0, &[100, 5000], 500);
    let delay = before.delay(5000);
    let mut slow = before.clone();
    slow.learn(5000, delay * 10.0);
    expect_that!(slow.delay(5000), le(delay * 1.25));
    let mut quick = before.clone();
    quick.learn(5000, delay * 0.3);
    expect_that!(quick.delay(5000), le(delay * 0.9));
}

#[gtest]
fn own_sends_raise_the_delay_until_they_begin() {
    let mut known = Known::nothing();
    let idle = known.delay(1000);
    known.engine.sent(5000);
    let behind_one = known.delay(1000);
    known.engine.sent(5000);
    let behind_two = known.delay(1000);
    expect_that!(behind_one, gt(idle));
    expect_that!(behind_two - behind_one, near(behind_one - idle, 1.0));
    expect_that!(known.engine.own(), eq(2));
    known.engine.begun(5000);
    expect_that!(known.delay(1000), near(behind_one, 1.0));
    known.engine.begun(5000);
    expect_that!(known.delay(1000), near(idle, 1.0));
    expect_that!(known.engine.own(), eq(2), "they still run");
    (0..3).for_each(|_| known.engine.ended());
    expect_that!(known.engine.own(), eq(0));
}

#[gtest]
fn what_never_began_is_forgotten_with_the_last_send() {
    let mut known = Known::nothing();
    let idle = known.delay(0);
    known.engine.sent(4000);
    known.engine.ended();
    expect_that!(known.delay(0), near(idle, 1.0));
    known.engine.begun(4000);
    expect_that!(known.delay(0), near(idle, 1.0), "never below");
}

#[gtest]
fn what_a_server_tells_of_its_queue_counts_while_it_is_fresh() {
    let mut known = Known::nothing();
    let idle = known.delay(0);
    known.engine.told(SECOND, LoadReport { running: 8.0, waiting: 4.0, slots: 8.0 });
    let told = known.delay(0);
    let aged = known.delay_at(SECOND + 300 * MILLISECOND, 0);
    expect_that!(told, gt(aged));
    expect_that!(aged, gt(idle));
    expect_that!(known.delay_at(2 * SECOND, 0), near(idle, 1.0));
    // Own sends are among those that wait: the greater one counts, not the sum.
    known.engine.sent(1);
    expect_that!(known.delay(0), near(told, 1.0));
}

#[gtest]
fn utilisation_rises_with_waits() {
    let mut known = Known::taught(100.0, 20.0, &[2000], 300);
    let mut last = known.utilisation();
    expect_that!(last, le(0.3), "nothing waits");
    for _ in 0..20 {
        known.learn(2000, known.delay(2000) + 300.0 * MS);
        let now = known.utilisation();
        expect_that!(now, gt(last));
        last = now;
    }
    expect_that!(last, all![gt(0.6), lt(1.0)]);
}

#[gtest]
fn utilisation_is_the_share_of_places_where_that_is_more() {
    for (running, share) in [(0.0, 0.0), (4.0, 0.5), (8.0, 1.0), (900.0, 1.2)] {
        let mut known = Known::nothing();
        known.engine.told(SECOND, LoadReport { running, waiting: 0.0, slots: 8.0 });
        expect_that!(known.utilisation(), near(share, 1e-9));
    }
}

#[gtest]
fn no_sample_takes_the_figures_out_of_their_bounds() {
    for unread in [0, 1, 1500, 1_000_000, u32::MAX] {
        for took in [0, 1, MILLISECOND, SECOND, 3600 * SECOND, u64::MAX] {
            let mut known = Known::nothing();
            for _ in 0..50 {
                known.learn(unread, took as f64);
            }
            expect_that!(known.delay(1000), all![ge(0.0), lt(f64::INFINITY)], "{unread} in {took}");
            expect_that!(known.utilisation(), all![ge(0.0), le(1.2)], "{unread} in {took}");
            // Between 5 and 5000 tokens in a millisecond.
            expect_that!(known.speed.reading(1000) / MS, all![ge(0.199), le(200.1)], "{unread} in {took}");
        }
    }
}
