//! Tests of the retry budget of a service whose requests are handled by many routers, in virtual time. Guards against routers that
//! together exceed the budget: servers have been replaced at their addresses and answer that they are not the expected instance, so that
//! all routers retry at once.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use hyper::{HeaderMap, Method};
use ivyhatch_balancer::Outcome;
use ivyhatch_protocol::configuration::Route;
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::watch::Server;
use ivyhatch_protocol::{Nanos, SECOND};
use ivyhatch_routing::prompt::Prompt;
use ivyhatch_routing::router_share::RouterShare;
use ivyhatch_routing::watch_client::EvacuationState;
use tokio::sync::oneshot;
use tokio::time::advance;

use super::requests::IncomingRequest;
use super::state::{DispatcherState, Outputs};
use crate::clock::Clock;
use crate::router::attempt::{AttemptOutcome, ForwardedRequest};
use crate::router::client_response::ClientResponse;

const BUDGET_RATIO: f64 = 0.2;
const BUDGET_SLACK: f64 = 60.0;
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const SERVERS: usize = 8;
const FIRST_PORT: u16 = 9000;

fn settings() -> Settings {
    let text = format!(
        r#"{{"node_name":"n","ip":"127.0.0.1","zone":"za","region":"ra","zones":{{"za":"ra","zb":"rb","zc":"rc"}},"listen":{{}},
            "inner_ports":[7720,7735],"cloud_api":{{"address":"127.0.0.1:1"}},
            "bounds":{{"budget_ratio":{BUDGET_RATIO},"budget_window_s":{},"budget_slack":{BUDGET_SLACK}}}}}"#,
        BUDGET_WINDOW.as_secs()
    );
    Settings::from_text(&text, "node.json").expect("settings")
}

fn route() -> Rc<Route> {
    let text = r#"{"name":"r","host":"h","path_prefix":"/","route_kind":"safe","timeout_ms":2500,"latency_target_ms":400,
        "max_tries":2,"service":"s"}"#;
    Rc::new(serde_json::from_str(text).expect("a route"))
}

/// The server at the address with this number, after `replacements` earlier servers there.
fn server(number: u32, replacements: u32) -> Server {
    Server {
        id: format!("i-{number}-{replacements}"),
        service: "s".to_owned(),
        address: format!("127.0.0.9:{}", u32::from(FIRST_PORT) + number),
        zone: "za".to_owned(),
        slots: 64,
        draining: false,
        warm_up_remaining_ms: 0,
        lifetime_remaining_ms: None,
    }
}

/// The order in which a router receives its share and the server list when it starts.
#[derive(Clone, Copy, Debug)]
enum StartupOrder {
    ShareFirst,
    ServersFirst,
}

/// A router's dispatcher. The test ends its attempts itself, without connections.
struct TestRouter {
    state: DispatcherState,
    /// How often the server at each address has been replaced.
    replacements: [u32; SERVERS],
    requests: u64,
    responses: Vec<oneshot::Receiver<ClientResponse>>,
}

impl TestRouter {
    fn start(clock: Clock, share: RouterShare, startup_order: StartupOrder) -> Self {
        let state = DispatcherState::new(&settings(), clock);
        let mut router = Self { state, replacements: [0; SERVERS], requests: 0, responses: Vec::new() };
        match startup_order {
            StartupOrder::ShareFirst => {
                router.state.set_router_share(share);
                router.list_servers();
            }
            StartupOrder::ServersFirst => {
                router.list_servers();
                router.state.set_router_share(share);
            }
        }
        router
    }

    fn list_servers(&mut self) {
        let servers = (0..).zip(self.replacements).map(|(number, count)| server(number, count)).collect();
        self.state.set_servers(servers, |_| EvacuationState::default(), &mut Outputs::default());
    }

    /// Submits a request. Its first `misdirected` attempts reach another instance than expected, and the next one is served. Returns how
    /// many attempts reached a server.
    fn request(&mut self, misdirected: u64) -> u64 {
        self.requests += 1;
        let mut outputs = Outputs::default();
        let (sender, response) = oneshot::channel();
        self.responses.push(response);
        let incoming = self.incoming();
        self.state.submit(incoming, sender, &mut outputs).expect("a new id");
        let mut arrivals = 0;
        while let Some(attempt) = outputs.attempts.pop() {
            arrivals += 1;
            let is_misdirected = arrivals <= misdirected;
            let outcome = if is_misdirected { Outcome::Misdirected } else { Outcome::Served };
            let finished = AttemptOutcome::without_response(outcome);
            self.state.attempt_finished(attempt.id, finished, &mut outputs);
            self.replacements[usize::from(attempt.endpoint.port() - FIRST_PORT)] += u32::from(is_misdirected);
        }
        if misdirected > 0 {
            // The server list is up to date before the next request.
            self.list_servers();
        }
        arrivals
    }

    fn incoming(&self) -> IncomingRequest {
        let forwarded = ForwardedRequest {
            method: Method::GET,
            target: None,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        IncomingRequest {
            id: Rc::from(format!("{:x}", self.requests)),
            not_after: self.state.clock.now() + 2 * SECOND,
            route: route(),
            prompt: Prompt::default(),
            last_event_id: None,
            forwarded,
        }
    }
}

/// The numbers of requests and of repeats (attempts after the first of a request) over all routers, by the time of the request.
#[derive(Default)]
struct ServiceUsage {
    by_time: BTreeMap<Nanos, (u64, u64)>,
}

impl ServiceUsage {
    fn add(&mut self, now: Nanos, arrivals: u64) {
        let (requests, repeats) = self.by_time.entry(now).or_default();
        *requests += 1;
        *repeats += arrivals.saturating_sub(1);
    }

    fn repeats(&self) -> u64 {
        self.by_time.values().map(|(_, repeats)| repeats).sum()
    }

    /// By how many repeats the worst window exceeds the budget; negative if all windows are within the budget.
    fn largest_excess(&self) -> f64 {
        let window = BUDGET_WINDOW.as_nanos() as Nanos;
        let excess = |begin: &Nanos| {
            let requests_from = |from: Nanos| {
                self.by_time.range(from..from + window).map(|(_, (requests, _))| requests).sum::<u64>()
            };
            let requests = [*begin, begin - window / 2, begin - window].map(requests_from);
            let requests = requests.into_iter().max().unwrap_or(0);
            let repeats: u64 =
                self.by_time.range(begin..&(begin + window)).map(|(_, (_, repeats))| repeats).sum();
            repeats as f64 - (BUDGET_RATIO * requests as f64 + BUDGET_SLACK)
        };
        self.by_time.keys().map(excess).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Routers that share a service and its retry budget.
struct Fleet {
    clock: Clock,
    routers: Vec<TestRouter>,
    startup_order: StartupOrder,
    usage: ServiceUsage,
}

impl Fleet {
    fn start(count: u32, startup_order: StartupOrder) -> Self {
        let clock = Clock::start();
        let share = |index| RouterShare { count, index };
        let routers = (0..count).map(|index| TestRouter::start(clock, share(index), startup_order)).collect();
        Self { clock, routers, startup_order, usage: ServiceUsage::default() }
    }

    /// Submits a request to each router; the first `misdirected` attempts of each are misdirected, and the next one is served.
    fn request_everywhere(&mut self, misdirected: u64) {
        let now = self.clock.now();
        for router in &mut self.routers {
            let arrivals = router.request(misdirected);
            self.usage.add(now, arrivals);
        }
    }

    /// Kills and restarts all routers.
    fn restart_all(&mut self) {
        let count = self.routers.len() as u32;
        for index in 0..count {
            let share = RouterShare { count, index };
            self.routers[index as usize] = TestRouter::start(self.clock, share, self.startup_order);
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn repeats_of_all_routers_together_stay_within_the_retry_budget() {
    for startup_order in [StartupOrder::ServersFirst, StartupOrder::ShareFirst] {
        for count in [12, 48, 88, 300] {
            for starts in [1, 2, 3] {
                let mut fleet = Fleet::start(count, startup_order);
                for start in 0..starts {
                    if start > 0 {
                        fleet.restart_all();
                    }
                    for _ in 0..2 {
                        fleet.request_everywhere(1);
                        advance(Duration::from_millis(100)).await;
                    }
                }
                let excess = fleet.usage.largest_excess();
                expect_that!(excess, le(0.0), "{count} routers, {starts} starts, {startup_order:?}");
            }
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn many_routers_repeat_what_the_retry_budget_of_all_allows() {
    for count in [12, 48, 88, 300] {
        let mut fleet = Fleet::start(count, StartupOrder::ServersFirst);
        // One request in twenty reaches a replaced server: a quarter of the repeats that the budget allows.
        for request in 0..200 {
            fleet.request_everywhere(u64::from(request % 20 == 19));
            advance(Duration::from_millis(500)).await;
        }
        let wanted = u64::from(count) * 10;
        expect_that!(fleet.usage.repeats(), ge(wanted * 9 / 10), "{count} routers");
        expect_that!(fleet.usage.largest_excess(), le(0.0), "{count} routers");
    }
}
