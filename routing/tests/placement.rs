//! Where a request may go: homes, the bound of cold servers, servers that could not be reached, and room by the expected delay.

use std::cell::RefCell;
use std::rc::Rc;

use googletest::prelude::*;
use ivyhatch_balancer::{Advice, BackendId, RequestId};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::placement::{
    ListedServer, Placement, RegionSet, ServiceSettings, SharedPlacement, SlowStartLimit,
};
use ivyhatch_routing::prefix_cache::Prompt;
use ivyhatch_routing::router_share::RouterShare;
use ivyhatch_routing::time_to_first_token::LoadReport;

const EVERYWHERE: RegionSet = RegionSet::MAX;
const AIM: Nanos = SECOND;
const NOW: Nanos = 10 * SECOND;
const HOME: u32 = 0;
const OTHER: u32 = 1;
const SERVER: BackendId = BackendId(1);

/// A router of region 0 of three, and one service's servers.
struct Router {
    shared: SharedPlacement,
    next: u64,
}

impl Router {
    fn new(is_model: bool, cold: SlowStartLimit) -> Self {
        let mut placement = Placement::new(HOME, 3);
        placement.configure(ServiceSettings { is_model, slow_start: cold });
        Self { shared: SharedPlacement(Rc::new(RefCell::new(placement))), next: 0 }
    }

    /// One with some servers at home that are warm.
    fn with_servers(is_model: bool, cold: SlowStartLimit, servers: u32) -> Self {
        let router = Self::new(is_model, cold);
        (1..=servers).for_each(|server| router.listed(BackendId(server), HOME, 0));
        router
    }

    fn listed(&self, id: BackendId, region: u32, cold_until: Nanos) {
        self.tell(|placement| {
            let name = &format!("i-{}", id.0);
            placement.upsert_server(
                id,
                ListedServer { name, region, slow_start_until: cold_until, is_last_resort: false },
            );
        });
    }

    fn tell<T>(&self, call: impl FnOnce(&mut Placement) -> T) -> T {
        call(&mut self.shared.0.borrow_mut())
    }

    fn ask_for(&mut self, homes: RegionSet, prompt: Prompt) -> RequestId {
        let request = RequestId(self.next);
        self.next += 1;
        self.tell(|placement| placement.add_request(request, homes, prompt, AIM));
        request
    }

    fn ask(&mut self) -> RequestId {
        self.ask_for(EVERYWHERE, Prompt::default())
    }

    fn allows(&self, now: Nanos, request: RequestId, to: BackendId) -> bool {
        self.shared.allows(now, request, to)
    }

    /// Whether one more request may go there; sends it if so.
    fn sends(&mut self, now: Nanos, to: BackendId) -> bool {
        let request = self.ask();
        let allowed = self.allows(now, request, to);
        if allowed {
            self.shared.sent(now, request, to);
        }
        allowed
    }

    /// Sends that a server is allowed in the second from `from` on, asked for every five milliseconds.
    fn sends_in_a_second(&mut self, from: Nanos, to: BackendId) -> usize {
        (0..200).filter(|turn| self.sends(from + turn * 5 * MILLISECOND, to)).count()
    }
}

fn bound(requests_per_second: f64) -> SlowStartLimit {
    SlowStartLimit { requests_per_second, duration: 5 * SECOND }
}

fn prompt(prefix: &str, counts: &str) -> Prompt {
    Prompt::from_headers("m", Some(prefix), Some(counts))
}

#[gtest]
fn a_request_goes_to_its_homes_alone() {
    let mut router = Router::new(false, SlowStartLimit::default());
    let servers = [BackendId(1), BackendId(2), BackendId(3)];
    servers.iter().zip(0..).for_each(|(id, region)| router.listed(*id, region, 0));
    for (homes, stays, allowed) in [
        (EVERYWHERE, true, vec![1, 2, 3]),
        (0b001, true, vec![1]),
        (0b110, false, vec![2, 3]),
        (0b100, false, vec![3]),
        (0, false, vec![]),
    ] {
        let request = router.ask_for(homes, Prompt::default());
        let may: Vec<u32> =
            servers.iter().filter(|id| router.allows(NOW, request, **id)).map(|id| id.0).collect();
        expect_that!(may, eq(&allowed), "{homes:b}");
        expect_that!(router.shared.may_stay(request), eq(stays), "{homes:b}");
    }
}

#[gtest]
fn a_server_that_is_not_listed_or_has_gone_gets_nothing() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 1);
    let request = router.ask();
    expect_that!(router.allows(NOW, request, BackendId(9)), eq(false));
    expect_that!(router.allows(NOW, request, SERVER), eq(true));
    router.tell(|placement| placement.remove_server(SERVER));
    expect_that!(router.allows(NOW, request, SERVER), eq(false));
}

#[gtest]
fn cold_servers_are_sent_no_more_than_their_bound_over_all_routers() {
    for (per_s, routers) in [(30.0, 1), (30.0, 3), (30.0, 9), (48.5, 6), (9.0, 9), (5.0, 9), (29.0, 40)] {
        let mut total = 0;
        for place in 0..routers {
            let mut router = Router::new(false, bound(per_s));
            router.listed(SERVER, HOME, NOW + 60 * SECOND);
            router.tell(|placement| placement.set_router_share(RouterShare { count: routers, index: place }));
            total += router.sends_in_a_second(NOW, SERVER);
        }
        expect_that!(total, all![ge((per_s / 2.0) as usize), le(per_s as usize)], "{per_s} over {routers}");
    }
}

#[gtest]
fn what_cannot_be_divided_falls_to_other_routers_for_other_servers() {
    let mut router = Router::new(false, bound(5.0));
    router.tell(|placement| placement.set_router_share(RouterShare { count: 9, index: 4 }));
    let servers = 1..=60;
    servers.clone().for_each(|server| router.listed(BackendId(server), HOME, NOW + 60 * SECOND));
    let shares: Vec<usize> = servers.map(|server| router.sends_in_a_second(NOW, BackendId(server))).collect();
    expect_that!(shares.iter().max(), some(eq(&1)));
    // Some four ninths of the servers are its own.
    expect_that!(shares.iter().sum::<usize>(), all![ge(12), le(42)]);
}

#[gtest]
fn no_second_holds_more_than_the_share_of_a_cold_server() {
    let mut router = Router::new(false, bound(20.0));
    router.listed(SERVER, HOME, NOW + 60 * SECOND);
    router.tell(|placement| placement.set_router_share(RouterShare { count: 2, index: 0 }));
    let sends: Vec<Nanos> =
        (0..1000).map(|turn| NOW + turn * 7 * MILLISECOND).filter(|at| router.sends(*at, SERVER)).collect();
    expect_that!(sends.len(), ge(20), "it goes on being sent some");
    let most =
        sends.iter().map(|from| sends.iter().filter(|at| (*from..*from + SECOND).contains(at)).count()).max();
    expect_that!(most, some(le(10)));
}

#[gtest]
fn while_the_number_of_routers_is_not_known_a_cold_server_gets_next_to_nothing() {
    let mut router = Router::new(false, bound(100.0));
    router.listed(SERVER, HOME, NOW + 60 * SECOND);
    expect_that!(router.sends_in_a_second(NOW, SERVER), le(1));
    router.tell(|placement| placement.set_router_share(RouterShare { count: 2, index: 0 }));
    expect_that!(router.sends_in_a_second(NOW + 3 * SECOND, SERVER), all![gt(10), le(50)]);
    router.tell(|placement| placement.set_router_share(RouterShare { count: 0, index: 0 }));
    expect_that!(router.sends_in_a_second(NOW + 6 * SECOND, SERVER), le(100), "there is at least this one");
    // Two control nodes may differ on who there is: a place beyond the number does no harm.
    router.tell(|placement| placement.set_router_share(RouterShare { count: 2, index: 7 }));
    expect_that!(router.sends_in_a_second(NOW + 9 * SECOND, SERVER), all![gt(10), le(50)]);
}

#[gtest]
fn a_server_is_warm_again_in_time_and_where_there_is_no_bound() {
    let mut router = Router::new(false, bound(5.0));
    router.listed(SERVER, HOME, NOW + 3 * SECOND);
    router.tell(|placement| placement.set_router_share(RouterShare { count: 1, index: 0 }));
    expect_that!(router.sends_in_a_second(NOW, SERVER), le(5));
    // An older word on its warmth takes nothing back.
    router.listed(SERVER, HOME, 0);
    expect_that!(router.sends_in_a_second(NOW + 3 * SECOND / 2, SERVER), le(5));
    expect_that!(router.sends_in_a_second(NOW + 3 * SECOND, SERVER), eq(200));
    let mut unbounded = Router::new(false, bound(0.0));
    unbounded.listed(SERVER, HOME, NOW + 3 * SECOND);
    expect_that!(unbounded.sends_in_a_second(NOW, SERVER), eq(200));
}

#[gtest]
fn a_server_whose_zone_was_taken_back_counts_as_cold() {
    let mut router = Router::with_servers(false, bound(10.0), 2);
    router.tell(|placement| {
        placement.set_router_share(RouterShare { count: 1, index: 0 });
        placement.restart_slow_start(NOW, SERVER);
        placement.restart_slow_start(NOW, BackendId(99));
    });
    expect_that!(router.sends_in_a_second(NOW, SERVER), le(10));
    expect_that!(router.sends_in_a_second(NOW, BackendId(2)), eq(200), "the others are warm");
    expect_that!(router.sends_in_a_second(NOW + 3 * SECOND, SERVER), le(10));
    expect_that!(router.sends_in_a_second(NOW + 5 * SECOND, SERVER), eq(200));
}

#[gtest]
fn sends_before_a_server_turned_cold_count_as_well() {
    let mut router = Router::with_servers(false, bound(10.0), 1);
    router.tell(|placement| placement.set_router_share(RouterShare { count: 1, index: 0 }));
    expect_that!((0..10).all(|_| router.sends(NOW, SERVER)), eq(true));
    router.tell(|placement| placement.restart_slow_start(NOW, SERVER));
    expect_that!(router.sends(NOW + SECOND / 2, SERVER), eq(false));
    expect_that!(router.sends(NOW + 2 * SECOND, SERVER), eq(true));
}

#[gtest]
fn a_server_that_was_not_reached_is_left_alone_for_longer_each_time() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 2);
    let request = router.ask();
    let mut at = NOW;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        router.tell(|placement| placement.record_connect_failure(at, SERVER));
        expect_that!(router.allows(at, request, SERVER), eq(false));
        expect_that!(router.allows(at, request, BackendId(2)), eq(true), "the others go on");
        let pause =
            (1..10_000).map(|ms| ms * MILLISECOND).find(|pause| router.allows(at + pause, request, SERVER));
        let pause = pause.expect("it is tried again");
        pauses.push(pause);
        at += pause;
    }
    expect_that!(pauses[0], all![ge(100 * MILLISECOND), le(SECOND)]);
    expect_that!(pauses.is_sorted(), eq(true), "{pauses:?}");
    expect_that!(pauses[7], all![eq(pauses[6]), le(5 * SECOND)], "there is a longest pause");
}

#[gtest]
fn one_request_at_a_time_tries_a_server_that_was_not_reached() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 1);
    router.tell(|placement| placement.record_connect_failure(NOW, SERVER));
    let later = NOW + SECOND;
    expect_that!(router.sends(later, SERVER), eq(true));
    expect_that!(router.sends(later, SERVER), eq(false), "one is on its way to it");
    router.tell(|placement| placement.record_response(SERVER));
    expect_that!((0..50).all(|_| router.sends(later, SERVER)), eq(true));
    router.tell(|placement| placement.record_connect_failure(later, SERVER));
    expect_that!(router.sends(later + 300 * MILLISECOND, SERVER), eq(true), "the pauses begin anew");
}

#[gtest]
fn what_serves_no_model_is_not_judged_by_prompts() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 1);
    let request = router.ask_for(EVERYWHERE, prompt("a:100000", "100000,9"));
    expect_that!(router.shared.delay(NOW, request, SERVER), none());
    expect_that!(router.tell(|placement| placement.utilisation(SERVER)), none());
    expect_that!((0..50).all(|_| router.sends(NOW, SERVER)), eq(true));
}

#[gtest]
fn a_prompt_goes_where_it_can_begin_in_time() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 1);
    let large = || prompt("1:30000", "30000,9");
    // Whatever its size: one goes to a server that has none of this router's.
    let first = router.ask_for(EVERYWHERE, prompt("2:9000000", "9000000,9"));
    expect_that!(router.allows(NOW, first, SERVER), eq(true));
    let mut sent = Vec::new();
    while sent.len() < 1000 {
        let request = router.ask_for(EVERYWHERE, large());
        if !router.allows(NOW, request, SERVER) {
            break;
        }
        router.shared.sent(NOW, request, SERVER);
        sent.push(request);
    }
    // About a hundred tokens in a millisecond: each takes 300 ms of the second's aim.
    expect_that!(sent.len(), all![ge(2), le(8)]);
    let small = router.ask_for(EVERYWHERE, prompt("3:10", "10,1"));
    let before = router.shared.delay(NOW, small, SERVER).expect("known");
    for request in &sent {
        router.tell(|placement| placement.record_first_token(NOW, *request, 300 * MILLISECOND));
    }
    let next = router.ask_for(EVERYWHERE, large());
    expect_that!(router.allows(NOW, next, SERVER), eq(true), "they have begun");
    expect_that!(router.shared.delay(NOW, small, SERVER), some(lt(before)));
}

#[gtest]
fn an_attempt_that_ends_unbegun_gives_its_room_back() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 1);
    let probe = router.ask_for(EVERYWHERE, prompt("1:10", "10,1"));
    let idle = router.shared.delay(NOW, probe, SERVER).expect("known");
    let (one, other) = (router.ask_for(EVERYWHERE, prompt("2:9000", "9000,1")), router.ask());
    router.shared.sent(NOW, other, SERVER);
    router.shared.sent(NOW, one, SERVER);
    expect_that!(router.shared.delay(NOW, probe, SERVER), some(gt(idle)));
    router.tell(|placement| placement.end_attempt(one));
    expect_that!(router.shared.delay(NOW, probe, SERVER), some(near(idle, 1000.0)));
    // Twice is once, and an end without an attempt is none.
    router.tell(|placement| {
        placement.end_attempt(one);
        placement.remove_request(one);
        placement.remove_request(other);
        placement.remove_request(other);
    });
    expect_that!(router.shared.delay(NOW, probe, SERVER), some(near(idle, 1000.0)));
}

#[gtest]
fn a_server_that_keeps_a_prompt_s_parts_is_expected_to_answer_sooner() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 2);
    let asked = || prompt("a:5000,b:300", "5300,9");
    let first = router.ask_for(EVERYWHERE, asked());
    let (one, two) = (SERVER, BackendId(2));
    router.shared.sent(NOW, first, one);
    router.tell(|placement| {
        placement.record_first_token(NOW, first, 60 * MILLISECOND);
        placement.remove_request(first);
    });
    // One with the same shared part, and one that shares nothing.
    let like = router.ask_for(EVERYWHERE, prompt("a:5000,c:300", "5300,9"));
    let unlike = router.ask_for(EVERYWHERE, prompt("d:5000,e:300", "5300,9"));
    let delay = |request, to| router.shared.delay(NOW + SECOND, request, to).expect("known");
    expect_that!(delay(like, one), lt(delay(unlike, one).max(delay(unlike, two))));
    expect_that!(delay(like, one), le(delay(like, two)));
}

#[gtest]
fn a_server_s_word_on_its_queue_is_heeded() {
    let mut router = Router::with_servers(true, SlowStartLimit::default(), 1);
    let request = router.ask_for(EVERYWHERE, prompt("1:10", "10,1"));
    let idle = router.shared.delay(NOW, request, SERVER).expect("known");
    router.tell(|placement| {
        placement.record_load_report(NOW, SERVER, LoadReport { running: 8.0, waiting: 8.0, slots: 8.0 });
        placement.record_load_report(NOW, BackendId(99), LoadReport::default());
    });
    expect_that!(router.shared.delay(NOW, request, SERVER), some(gt(idle)));
    expect_that!(router.tell(|placement| placement.utilisation(SERVER)), some(ge(1.0)));
}

#[gtest]
fn a_last_resort_gets_what_no_other_server_can_be_reached_for() {
    let mut router = Router::with_servers(false, SlowStartLimit::default(), 1);
    let last = BackendId(2);
    router.tell(|placement| {
        placement.upsert_server(
            last,
            ListedServer { name: "i-2", region: OTHER, slow_start_until: 0, is_last_resort: true },
        )
    });
    let request = router.ask();
    expect_that!(router.allows(NOW, request, last), eq(false));
    let elsewhere = router.ask_for(1 << OTHER, Prompt::default());
    expect_that!(router.allows(NOW, elsewhere, last), eq(true), "the other is not in its homes");
    router.tell(|placement| placement.record_connect_failure(NOW, SERVER));
    expect_that!(router.allows(NOW, request, last), eq(true));
    router.tell(|placement| placement.record_response(SERVER));
    expect_that!(router.allows(NOW, request, last), eq(false));
    router.listed(last, OTHER, 0);
    expect_that!(router.allows(NOW, request, last), eq(true), "its zone was taken back");
}
