//! The servers that a request may be sent to: home regions, slow start, back-off and the latency target.

use std::cell::RefCell;
use std::rc::Rc;

use googletest::prelude::*;
use ivyhatch_balancer::{BackendId, PlacementAdvisor, RequestId};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::load_report::LoadReport;
use ivyhatch_routing::placement::{
    ListedServer, Placement, RegionSet, ServiceSettings, SharedPlacement, SlowStartLimit,
};
use ivyhatch_routing::prompt::Prompt;
use ivyhatch_routing::router_share::RouterShare;

const EVERYWHERE: RegionSet = RegionSet::MAX;
const LATENCY_TARGET: Nanos = SECOND;
const NOW: Nanos = 10 * SECOND;
const HOME_REGION: u32 = 0;
const OTHER_REGION: u32 = 1;
const SERVER: BackendId = BackendId(1);

/// A router in region 0 of three regions, and the servers of one service.
struct Router {
    shared: SharedPlacement,
    next_id: u64,
}

impl Router {
    fn new(is_model: bool, slow_start: SlowStartLimit) -> Self {
        let mut placement = Placement::new(HOME_REGION, 3);
        placement.configure(ServiceSettings { is_model, slow_start });
        Self { shared: SharedPlacement(Rc::new(RefCell::new(placement))), next_id: 0 }
    }

    /// A router with this number of servers in its home region; no server is in slow start.
    fn with_servers(is_model: bool, slow_start: SlowStartLimit, servers: u32) -> Self {
        let router = Self::new(is_model, slow_start);
        (1..=servers).for_each(|server| router.upsert(BackendId(server), HOME_REGION, 0));
        router
    }

    fn upsert(&self, id: BackendId, region: u32, slow_start_until: Nanos) {
        self.update(|placement| {
            let name = &format!("i-{}", id.0);
            placement
                .upsert_server(id, ListedServer { name, region, slow_start_until, is_last_resort: false });
        });
    }

    fn update<T>(&self, call: impl FnOnce(&mut Placement) -> T) -> T {
        call(&mut self.shared.0.borrow_mut())
    }

    fn add_request_for(&mut self, home_regions: RegionSet, prompt: Prompt) -> RequestId {
        let request = RequestId(self.next_id);
        self.next_id += 1;
        self.update(|placement| placement.add_request(request, home_regions, prompt, LATENCY_TARGET));
        request
    }

    fn add_request(&mut self) -> RequestId {
        self.add_request_for(EVERYWHERE, Prompt::default())
    }

    fn allows(&self, now: Nanos, request: RequestId, to: BackendId) -> bool {
        self.shared.allows(now, request, to)
    }

    /// Adds a request and sends it to the server if that is allowed. Returns whether it was sent.
    fn try_send(&mut self, now: Nanos, to: BackendId) -> bool {
        let request = self.add_request();
        let allowed = self.allows(now, request, to);
        if allowed {
            self.shared.on_sent(now, request, to);
        }
        allowed
    }

    /// The number of requests that may be sent to a server in the second from `from` on, with one attempt every 5 ms.
    fn requests_in_a_second(&mut self, from: Nanos, to: BackendId) -> usize {
        (0..200).filter(|turn| self.try_send(from + turn * 5 * MILLISECOND, to)).count()
    }
}

fn limit(requests_per_second: f64) -> SlowStartLimit {
    SlowStartLimit { requests_per_second, duration: 5 * SECOND }
}

fn prompt(prefix: &str, counts: &str) -> Prompt {
    Prompt::from_headers("m", Some(prefix), Some(counts))
}

#[gtest]
fn request_is_allowed_in_its_home_regions_only() {
    let mut router = Router::new(false, SlowStartLimit::default());
    let servers = [BackendId(1), BackendId(2), BackendId(3)];
    servers.iter().zip(0..).for_each(|(id, region)| router.upsert(*id, region, 0));
    for (home_regions, is_home_allowed, allowed) in [
        (EVERYWHERE, true, vec![1, 2, 3]),
        (0b001, true, vec![1]),
        (0b110, false, vec![2, 3]),
        (0b100, false, vec![3]),
        (0, false, vec![]),
    ] {
        let request = router.add_request_for(home_regions, Prompt::default());
        let allowed_ids: Vec<u32> =
            servers.iter().filter(|id| router.allows(NOW, request, **id)).map(|id| id.0).collect();
        expect_that!(allowed_ids, eq(&allowed), "{home_regions:b}");
        expect_that!(router.shared.home_zone_allowed(request), eq(is_home_allowed), "{home_regions:b}");
    }
}

#[gtest]
fn unlisted_or_removed_server_is_not_allowed() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 1);
    let request = router.add_request();
    expect_that!(router.allows(NOW, request, BackendId(9)), eq(false));
    expect_that!(router.allows(NOW, request, SERVER), eq(true));
    router.update(|placement| placement.remove_server(SERVER));
    expect_that!(router.allows(NOW, request, SERVER), eq(false));
}

#[gtest]
fn slow_start_limit_holds_over_all_routers() {
    for (per_s, routers) in [(30.0, 1), (30.0, 3), (30.0, 9), (48.5, 6), (9.0, 9), (5.0, 9), (29.0, 40)] {
        let mut total = 0;
        for index in 0..routers {
            let mut router = Router::new(false, limit(per_s));
            router.upsert(SERVER, HOME_REGION, NOW + 60 * SECOND);
            router.update(|placement| placement.set_router_share(RouterShare { count: routers, index }));
            total += router.requests_in_a_second(NOW, SERVER);
        }
        expect_that!(total, all![ge((per_s / 2.0) as usize), le(per_s as usize)], "{per_s} over {routers}");
    }
}

/// Each router is restarted within the second, and the new process does not know what the previous process has sent.
#[gtest]
fn slow_start_limit_holds_across_router_restarts() {
    for (per_s, routers) in [(30.0, 9), (48.5, 10), (48.5, 88)] {
        let mut total = 0;
        for index in 0..routers {
            for started_at in [0, NOW + 300 * MILLISECOND] {
                let mut router = Router::new(false, limit(per_s));
                router.upsert(SERVER, HOME_REGION, NOW + 60 * SECOND);
                router.update(|placement| {
                    placement.set_started_at(started_at);
                    placement.set_router_share(RouterShare { count: routers, index });
                });
                let first_at = started_at.max(NOW);
                let sends = (first_at..NOW + SECOND).step_by(10_000_000);
                total += sends.filter(|at| router.try_send(*at, SERVER)).count();
            }
        }
        expect_that!(total as f64, all![gt(0.0), le(per_s)], "{routers} routers");
    }
}

#[gtest]
fn remainder_of_the_limit_goes_to_other_routers_for_other_servers() {
    let mut router = Router::new(false, limit(5.0));
    router.update(|placement| placement.set_router_share(RouterShare { count: 9, index: 4 }));
    let servers = 1..=60;
    servers.clone().for_each(|server| router.upsert(BackendId(server), HOME_REGION, NOW + 60 * SECOND));
    let shares: Vec<usize> =
        servers.map(|server| router.requests_in_a_second(NOW, BackendId(server))).collect();
    expect_that!(shares.iter().max(), some(eq(&1)));
    // Four ninths of the servers give the router a share: the limit of five, of which 85 % is used, allows four of nine routers.
    expect_that!(shares.iter().sum::<usize>(), all![ge(12), le(42)]);
}

#[gtest]
fn slow_start_share_holds_in_any_second() {
    let mut router = Router::new(false, limit(20.0));
    router.upsert(SERVER, HOME_REGION, NOW + 60 * SECOND);
    router.update(|placement| placement.set_router_share(RouterShare { count: 2, index: 0 }));
    let sends: Vec<Nanos> = (0..1000)
        .map(|turn| NOW + turn * 7 * MILLISECOND)
        .filter(|at| router.try_send(*at, SERVER))
        .collect();
    expect_that!(sends.len(), ge(20), "requests are still sent");
    let max_in_a_second =
        sends.iter().map(|from| sends.iter().filter(|at| (*from..*from + SECOND).contains(at)).count()).max();
    expect_that!(max_in_a_second, some(le(10)));
}

#[gtest]
fn slow_start_blocks_until_the_router_count_is_known() {
    let mut router = Router::new(false, limit(100.0));
    router.upsert(SERVER, HOME_REGION, NOW + 60 * SECOND);
    expect_that!(router.requests_in_a_second(NOW, SERVER), le(1));
    router.update(|placement| placement.set_router_share(RouterShare { count: 2, index: 0 }));
    expect_that!(router.requests_in_a_second(NOW + 3 * SECOND, SERVER), all![gt(10), le(50)]);
    router.update(|placement| placement.set_router_share(RouterShare { count: 0, index: 0 }));
    expect_that!(
        router.requests_in_a_second(NOW + 6 * SECOND, SERVER),
        le(100),
        "a count of 0 is treated as one router"
    );
    // Control nodes may disagree on the set of routers: an index beyond the count is handled.
    router.update(|placement| placement.set_router_share(RouterShare { count: 2, index: 7 }));
    expect_that!(router.requests_in_a_second(NOW + 9 * SECOND, SERVER), all![gt(10), le(50)]);
}

#[gtest]
fn slow_start_ends_in_time_and_needs_a_limit() {
    let mut router = Router::new(false, limit(5.0));
    router.upsert(SERVER, HOME_REGION, NOW + 3 * SECOND);
    router.update(|placement| placement.set_router_share(RouterShare { count: 1, index: 0 }));
    expect_that!(router.requests_in_a_second(NOW, SERVER), le(5));
    // An earlier end does not shorten the slow start.
    router.upsert(SERVER, HOME_REGION, 0);
    expect_that!(router.requests_in_a_second(NOW + 3 * SECOND / 2, SERVER), le(5));
    expect_that!(router.requests_in_a_second(NOW + 3 * SECOND, SERVER), eq(200));
    let mut unlimited = Router::new(false, limit(0.0));
    unlimited.upsert(SERVER, HOME_REGION, NOW + 3 * SECOND);
    expect_that!(unlimited.requests_in_a_second(NOW, SERVER), eq(200));
}

#[gtest]
fn restarted_slow_start_limits_the_server_again() {
    let mut router = Router::with_servers(false, limit(10.0), 2);
    router.update(|placement| {
        placement.set_router_share(RouterShare { count: 1, index: 0 });
        placement.restart_slow_start(NOW, SERVER);
        placement.restart_slow_start(NOW, BackendId(99));
    });
    expect_that!(router.requests_in_a_second(NOW, SERVER), le(10));
    expect_that!(
        router.requests_in_a_second(NOW, BackendId(2)),
        eq(200),
        "the other server is not in slow start"
    );
    expect_that!(router.requests_in_a_second(NOW + 3 * SECOND, SERVER), le(10));
    expect_that!(router.requests_in_a_second(NOW + 5 * SECOND, SERVER), eq(200));
}

#[gtest]
fn requests_before_slow_start_count_towards_its_limit() {
    let mut router = Router::with_servers(false, limit(10.0), 1);
    router.update(|placement| placement.set_router_share(RouterShare { count: 1, index: 0 }));
    expect_that!((0..10).all(|_| router.try_send(NOW, SERVER)), eq(true));
    router.update(|placement| placement.restart_slow_start(NOW, SERVER));
    expect_that!(router.try_send(NOW + SECOND / 2, SERVER), eq(false));
    expect_that!(router.try_send(NOW + 2 * SECOND, SERVER), eq(true));
}

#[gtest]
fn unreachable_server_is_backed_off_exponentially() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 2);
    let request = router.add_request();
    let mut at = NOW;
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        router.update(|placement| placement.record_connect_failure(at, SERVER));
        expect_that!(router.allows(at, request, SERVER), eq(false));
        expect_that!(router.allows(at, request, BackendId(2)), eq(true), "the other server is not affected");
        let backoff = (1..10_000)
            .map(|ms| ms * MILLISECOND)
            .find(|backoff| router.allows(at + backoff, request, SERVER));
        let backoff = backoff.expect("the server is retried");
        backoffs.push(backoff);
        at += backoff;
    }
    expect_that!(backoffs[0], all![ge(100 * MILLISECOND), le(SECOND)]);
    expect_that!(backoffs.is_sorted(), eq(true), "{backoffs:?}");
    expect_that!(backoffs[7], all![eq(backoffs[6]), le(5 * SECOND)], "the back-off is capped");
}

#[gtest]
fn unreachable_server_is_retried_by_one_request_at_a_time() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 1);
    router.update(|placement| placement.record_connect_failure(NOW, SERVER));
    let later = NOW + SECOND;
    expect_that!(router.try_send(later, SERVER), eq(true));
    expect_that!(router.try_send(later, SERVER), eq(false), "a request to the server is in flight");
    router.update(|placement| placement.record_response(SERVER));
    expect_that!((0..50).all(|_| router.try_send(later, SERVER)), eq(true));
    router.update(|placement| placement.record_connect_failure(later, SERVER));
    expect_that!(
        router.try_send(later + 300 * MILLISECOND, SERVER),
        eq(true),
        "the back-off starts again from its initial value"
    );
}

#[gtest]
fn region_whose_servers_all_fail_is_tried_by_one_request_at_a_time() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 6);
    let other = BackendId(9);
    router.upsert(other, OTHER_REGION, 0);
    for server in 1..=4 {
        expect_that!(
            router.try_send(NOW, BackendId(6)),
            eq(true),
            "the region counts as reachable before server {server} fails"
        );
        router.update(|placement| placement.record_connect_failure(NOW, BackendId(server)));
    }
    expect_that!(router.try_send(NOW, BackendId(6)), eq(false));
    expect_that!(router.try_send(NOW, other), eq(true), "the other region is not affected");
    let later = NOW + 300 * MILLISECOND;
    expect_that!(router.try_send(later, BackendId(6)), eq(true));
    expect_that!(router.try_send(later, BackendId(6)), eq(false), "a request to the region is in flight");
    router.update(|placement| placement.record_response(BackendId(6)));
    expect_that!(router.try_send(later, BackendId(6)), eq(true));
}

#[gtest]
fn replaced_server_is_not_tried_again() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 2);
    router.update(|placement| placement.record_replaced(SERVER));
    let request = router.add_request();
    expect_that!(router.allows(NOW + 1000 * SECOND, request, SERVER), eq(false));
    expect_that!(router.allows(NOW, request, BackendId(2)), eq(true), "the other server is not affected");
}

#[gtest]
fn server_that_failed_a_connect_is_used_after_those_that_did_not() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 2);
    let request = router.add_request();
    let delay = |router: &Router| router.shared.expected_delay(NOW, request, SERVER).expect("a model server");
    let before = delay(&router);
    router.update(|placement| placement.record_connect_failure(NOW, SERVER));
    expect_that!(delay(&router), gt(before + 100.0 * MILLISECOND as f64));
    router.update(|placement| placement.record_response(SERVER));
    expect_that!(delay(&router), eq(before));
}

#[gtest]
fn server_with_an_idle_connection_is_preferred_to_one_without() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 2);
    let request = router.add_request();
    let delay = |router: &Router, server| {
        router.shared.expected_delay(NOW, request, BackendId(server)).expect("a model server")
    };
    expect_that!(delay(&router, 1), eq(delay(&router, 2)));
    router.update(|placement| placement.record_idle_connections(|server| server == BackendId(2)));
    expect_that!(delay(&router, 2), lt(delay(&router, 1)));
    router.update(|placement| placement.record_idle_connections(|_| true));
    expect_that!(delay(&router, 1), eq(delay(&router, 2)));
}

#[gtest]
fn plain_service_is_placed_without_regard_to_prompts() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 1);
    let request = router.add_request_for(EVERYWHERE, prompt("a:100000", "100000,9"));
    expect_that!(router.shared.expected_delay(NOW, request, SERVER), none());
    expect_that!(router.update(|placement| placement.utilisation(SERVER)), none());
    expect_that!((0..50).all(|_| router.try_send(NOW, SERVER)), eq(true));
}

#[gtest]
fn prompt_is_allowed_where_it_meets_its_latency_target() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 1);
    let large = || prompt("1:30000", "30000,9");
    // An idle server is allowed for a request of any size.
    let first = router.add_request_for(EVERYWHERE, prompt("2:9000000", "9000000,9"));
    expect_that!(router.allows(NOW, first, SERVER), eq(true));
    let mut sent = Vec::new();
    while sent.len() < 1000 {
        let request = router.add_request_for(EVERYWHERE, large());
        if !router.allows(NOW, request, SERVER) {
            break;
        }
        router.shared.on_sent(NOW, request, SERVER);
        sent.push(request);
    }
    // At the initial rate of 100 tokens per millisecond, each prompt takes 300 ms; the latency target is one second.
    expect_that!(sent.len(), all![ge(2), le(8)]);
    let small = router.add_request_for(EVERYWHERE, prompt("3:10", "10,1"));
    let before = router.shared.expected_delay(NOW, small, SERVER).expect("known");
    for request in &sent {
        router.update(|placement| placement.record_first_token(NOW, *request, 300 * MILLISECOND));
    }
    let next = router.add_request_for(EVERYWHERE, large());
    expect_that!(router.allows(NOW, next, SERVER), eq(true), "the responses to all requests have begun");
    expect_that!(router.shared.expected_delay(NOW, small, SERVER), some(lt(before)));
}

#[gtest]
fn attempt_that_ends_before_its_response_frees_its_queued_tokens() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 1);
    let probe = router.add_request_for(EVERYWHERE, prompt("1:10", "10,1"));
    let idle = router.shared.expected_delay(NOW, probe, SERVER).expect("known");
    let (one, other) = (router.add_request_for(EVERYWHERE, prompt("2:9000", "9000,1")), router.add_request());
    router.shared.on_sent(NOW, other, SERVER);
    router.shared.on_sent(NOW, one, SERVER);
    expect_that!(router.shared.expected_delay(NOW, probe, SERVER), some(gt(idle)));
    router.update(|placement| placement.end_attempt(one));
    expect_that!(router.shared.expected_delay(NOW, probe, SERVER), some(near(idle, 1000.0)));
    // Ending an attempt twice, or removing a request without an attempt or an unknown request, changes nothing.
    router.update(|placement| {
        placement.end_attempt(one);
        placement.remove_request(one);
        placement.remove_request(other);
        placement.remove_request(other);
    });
    expect_that!(router.shared.expected_delay(NOW, probe, SERVER), some(near(idle, 1000.0)));
}

#[gtest]
fn cached_prefix_lowers_the_expected_latency() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 2);
    let with_prefix = || prompt("a:5000,b:300", "5300,9");
    let first = router.add_request_for(EVERYWHERE, with_prefix());
    let (one, two) = (SERVER, BackendId(2));
    router.shared.on_sent(NOW, first, one);
    router.update(|placement| {
        placement.record_first_token(NOW, first, 60 * MILLISECOND);
        placement.remove_request(first);
    });
    // A request with the same shared prefix, and a request with another prefix.
    let same_prefix = router.add_request_for(EVERYWHERE, prompt("a:5000,c:300", "5300,9"));
    let other_prefix = router.add_request_for(EVERYWHERE, prompt("d:5000,e:300", "5300,9"));
    let latency = |request, to| router.shared.expected_delay(NOW + SECOND, request, to).expect("known");
    expect_that!(latency(same_prefix, one), lt(latency(other_prefix, one).max(latency(other_prefix, two))));
    expect_that!(latency(same_prefix, one), le(latency(same_prefix, two)));
}

#[gtest]
fn load_report_raises_latency_and_utilisation() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 1);
    let request = router.add_request_for(EVERYWHERE, prompt("1:10", "10,1"));
    let idle = router.shared.expected_delay(NOW, request, SERVER).expect("known");
    router.update(|placement| {
        placement.record_load_report(NOW, SERVER, LoadReport { running: 8.0, waiting: 8.0, slots: 8.0 });
        placement.record_load_report(NOW, BackendId(99), LoadReport::default());
    });
    expect_that!(router.shared.expected_delay(NOW, request, SERVER), some(gt(idle)));
    expect_that!(router.update(|placement| placement.utilisation(SERVER)), some(ge(1.0)));
}

#[gtest]
fn last_resort_is_used_only_where_no_other_server_is_reachable() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 1);
    let last = BackendId(2);
    router.update(|placement| {
        placement.upsert_server(
            last,
            ListedServer { name: "i-2", region: OTHER_REGION, slow_start_until: 0, is_last_resort: true },
        )
    });
    let request = router.add_request();
    expect_that!(router.allows(NOW, request, last), eq(false));
    let elsewhere = router.add_request_for(1 << OTHER_REGION, Prompt::default());
    expect_that!(
        router.allows(NOW, elsewhere, last),
        eq(true),
        "the other server is not in the request's home regions"
    );
    router.update(|placement| placement.record_connect_failure(NOW, SERVER));
    expect_that!(router.allows(NOW, request, last), eq(true));
    router.update(|placement| placement.record_response(SERVER));
    expect_that!(router.allows(NOW, request, last), eq(false));
    router.upsert(last, OTHER_REGION, 0);
    expect_that!(router.allows(NOW, request, last), eq(true), "the zone is no longer evacuated");
}
