//! The number of tokens that a server has to prefill, given the estimated contents of its prefix cache.

use googletest::prelude::*;
use ivyhatch_protocol::SECOND;
use ivyhatch_routing::prefix_cache::PrefixCache;
use ivyhatch_routing::prompt::Prompt;

fn prompt(prefix: &str, counts: &str) -> Prompt {
    Prompt::from_headers("m", Some(prefix), Some(counts))
}

#[gtest]
fn oversized_token_counts_do_not_overflow() {
    let max = u32::MAX;
    let huge = prompt(&format!("a:{max},b:{max},c:{max}"), "");
    expect_that!(huge.segments, len(eq(3)));
    expect_that!(huge.tokens, ge(max / 2), "the total saturates");
    let mut cache = PrefixCache::default();
    cache.insert(SECOND, &huge);
    expect_that!(cache.uncached_tokens(SECOND, &huge), eq(0));
}

#[gtest]
fn only_a_cached_prefix_is_not_prefilled_again() {
    let mut cache = PrefixCache::default();
    let prefilled = prompt("a:800,b:400,c:200", "1500,9");
    expect_that!(cache.uncached_tokens(SECOND, &prefilled), eq(1500));
    cache.insert(SECOND, &prefilled);
    expect_that!(cache.uncached_tokens(SECOND, &prefilled), eq(100), "100 tokens are in no segment");
    expect_that!(cache.uncached_tokens(SECOND, &prompt("a:800,b:400,d:300", "1500,9")), eq(300));
    expect_that!(
        cache.uncached_tokens(SECOND, &prompt("a:800,d:300,b:400", "1500,9")),
        eq(700),
        "segment b is cached, but segment d before it is not"
    );
    expect_that!(cache.uncached_tokens(SECOND, &prompt("d:300,a:800,b:400", "1500,9")), eq(1500));
    expect_that!(
        cache.uncached_tokens(SECOND, &prompt("b:400,c:200", "600,9")),
        eq(0),
        "a cached segment counts also if it was not the first one of the earlier prompt"
    );
    expect_that!(cache.uncached_tokens(SECOND, &prompt("a:800", "300,9")), eq(0), "never below 0");
}

#[gtest]
fn unused_segment_expires_and_use_renews_it() {
    let (mut cache, prefilled) = (PrefixCache::default(), prompt("a:800,b:400", "1200,9"));
    cache.insert(SECOND, &prefilled);
    expect_that!(cache.uncached_tokens(60 * SECOND, &prefilled), eq(0));
    expect_that!(cache.uncached_tokens(600 * SECOND, &prefilled), eq(1200));
    cache.insert(80 * SECOND, &prompt("a:800", "800,9"));
    expect_that!(cache.uncached_tokens(120 * SECOND, &prefilled), eq(400), "use renews segment a");
}

#[gtest]
fn cache_is_bounded_and_keeps_the_newest_segments() {
    let mut cache = PrefixCache::default();
    let numbered = |number: u32| prompt(&format!("{number:x}:10"), "10,1");
    const MANY: u32 = 50_000;
    for number in 0..MANY {
        cache.insert(SECOND + u64::from(number), &numbered(number));
    }
    let now = SECOND + u64::from(MANY);
    let known = (0..MANY).filter(|number| cache.uncached_tokens(now, &numbered(*number)) == 0).count();
    expect_that!(known, all![ge(1000), le(5000)]);
    expect_that!(
        (MANY - 1000..MANY).all(|number| cache.uncached_tokens(now, &numbered(number)) == 0),
        eq(true)
    );
}
