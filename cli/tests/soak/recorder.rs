//! Records what clients and servers observe of each request, and checks the rules that must hold.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::system_common::RetryBudget;

/// The retry budget of a run.
pub const RETRY_BUDGET: RetryBudget = RetryBudget { ratio: 0.2, slack: 58.0 };
/// Time window of the retry budget, as in the settings.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// A service that clients reach through the routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Service {
    /// Requests may be executed more than once.
    Safe,
    /// Requests must not be executed more than once.
    Unsafe,
}

impl Service {
    pub const ALL: [Self; 2] = [Self::Safe, Self::Unsafe];

    /// Name of the service and of its route in the configuration.
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
        }
    }
}

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a complete response that has this status.
    Answered { status: u16 },
    /// With a complete response that belongs to another request or lacks the server's stamp.
    Mixed { status: u16, problem: String },
    /// The connection ended, or the response timed out, within the body of the response.
    Cut,
    /// The connection ended, or the response timed out, before the end of the response's head.
    Unanswered,
    /// The client could not connect to the router.
    NotConnected,
}

/// A client's request.
#[derive(Debug)]
struct Request {
    service: Service,
    router: u8,
    sent_at: Instant,
    ending: Option<(Ending, Instant)>,
    /// How often the request reached a server.
    arrivals: u64,
    /// How often a server began to execute the request.
    runs: u64,
    /// Whether a server crashed while it executed the request.
    was_broken_off: bool,
}

/// A period in which a router was killed or frozen.
struct Disruption {
    router: u8,
    started_at: Instant,
    /// `None` until the router runs again.
    ended_at: Option<Instant>,
}

/// A violated rule, as text.
#[derive(Clone, Debug)]
pub struct Violation(pub String);

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The largest share of a retry budget that was used in any window.
#[derive(Clone, Copy, Debug, Default)]
pub struct BudgetUse {
    /// `repeats` relative to the retries that the budget allows for `requests`; more than 1 is a violation.
    pub share: f64,
    pub repeats: usize,
    pub requests: usize,
}

#[derive(Default)]
struct Records {
    requests: HashMap<u64, Request>,
    /// Service and time of each arrival of a request after its first one.
    repeats: Vec<(Service, Instant)>,
    disruptions: Vec<Disruption>,
    violations: Vec<Violation>,
}

/// The records of a run, shared by all of its threads.
#[derive(Default)]
pub struct Recorder {
    records: Mutex<Records>,
}

/// Numbers of requests of a run by outcome, and of repeated arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub requests: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    pub repeats: usize,
}

impl Recorder {
    /// Records that a client is about to send a request to a router.
    pub fn request_sent(&self, id: u64, service: Service, router: u8) {
        let request = Request {
            service,
            router,
            sent_at: Instant::now(),
            ending: None,
            arrivals: 0,
            runs: 0,
            was_broken_off: false,
        };
        self.records.lock().unwrap().requests.insert(id, request);
    }

    /// Records how a client's request ended.
    pub fn request_ended(&self, id: u64, ending: Ending) {
        let mut records = self.records.lock().unwrap();
        if let Ending::Mixed { status, problem } = &ending {
            let text = format!("MIXED: request {id} was answered {status}: {problem}");
            records.violations.push(Violation(text));
        }
        if let Some(request) = records.requests.get_mut(&id) {
            request.ending = Some((ending, Instant::now()));
        }
    }

    /// Records that a request reached a server of a service. `runs` says whether the server begins to execute it.
    pub fn request_arrived(&self, id: Option<u64>, server_service: Service, runs: bool) {
        let mut records = self.records.lock().unwrap();
        let Some(request) = id.and_then(|id| records.requests.get_mut(&id)) else {
            records
                .violations
                .push(Violation(format!("UNASKED: {id:?} reached a server of {server_service:?}")));
            return;
        };
        request.arrivals += 1;
        request.runs += u64::from(runs);
        let (is_repeat, runs, service) = (request.arrivals > 1, request.runs, request.service);
        if is_repeat {
            records.repeats.push((server_service, Instant::now()));
        }
        if runs > 1 && service == Service::Unsafe {
            records.violations.push(Violation(format!("TWICE: request {id:?} ran {runs} times")));
        }
        if service != server_service {
            records
                .violations
                .push(Violation(format!("ROUTE: {id:?} of {service:?} reached {server_service:?}")));
        }
    }

    /// Records that a server crashed while it executed a request.
    pub fn execution_interrupted(&self, id: u64) {
        if let Some(request) = self.records.lock().unwrap().requests.get_mut(&id) {
            request.was_broken_off = true;
        }
    }

    /// Records that a router is killed or frozen.
    pub fn disruption_started(&self, router: u8) {
        let disruption = Disruption { router, started_at: Instant::now(), ended_at: None };
        self.records.lock().unwrap().disruptions.push(disruption);
    }

    /// Records that a router runs again.
    pub fn disruption_ended(&self, router: u8) {
        let mut records = self.records.lock().unwrap();
        let of_router = records.disruptions.iter_mut().filter(|disruption| disruption.router == router);
        of_router.filter(|disruption| disruption.ended_at.is_none()).for_each(|disruption| {
            disruption.ended_at = Some(Instant::now());
        });
    }

    /// Records a violation that another part of the run has found.
    pub fn report(&self, violation: String) {
        self.records.lock().unwrap().violations.push(Violation(violation));
    }

    /// All violations, including those that can be found only after the run.
    pub fn violations(&self) -> Vec<Violation> {
        let records = self.records.lock().unwrap();
        let mut violations = records.violations.clone();
        for (id, request) in &records.requests {
            violations.extend(request_violation(*id, request, &records.disruptions));
        }
        violations
    }

    /// The largest share of its retry budget that any service used.
    pub fn budget_use(&self) -> BudgetUse {
        largest_budget_use(&self.records.lock().unwrap())
    }

    /// The totals so far.
    pub fn totals(&self) -> Totals {
        let records = self.records.lock().unwrap();
        let mut totals = Totals { requests: records.requests.len(), ..Totals::default() };
        totals.repeats = records.repeats.len();
        for request in records.requests.values() {
            match &request.ending {
                Some((Ending::Answered { status: 200 }, _)) => totals.served += 1,
                Some((Ending::Answered { status: 429 | 503 }, _)) => totals.refused += 1,
                _ => totals.failed += 1,
            }
        }
        totals
    }

    /// Fraction of the ended requests sent since then that were answered with status 200; `None` without such requests.
    pub fn served_fraction_since(&self, since: Instant) -> Option<f64> {
        let records = self.records.lock().unwrap();
        let recent: Vec<&Request> = records
            .requests
            .values()
            .filter(|request| request.sent_at >= since && request.ending.is_some())
            .collect();
        let is_served =
            |request: &&&Request| matches!(request.ending, Some((Ending::Answered { status: 200 }, _)));
        let served = recent.iter().filter(is_served).count();
        (!recent.is_empty()).then(|| served as f64 / recent.len() as f64)
    }
}

/// The rule that a request violates, if any: after the execution of an unsafe request its status must not deny the execution, and a request
/// that reached a server must be answered unless the server crashed or the router was killed or frozen meanwhile.
fn request_violation(id: u64, request: &Request, disruptions: &[Disruption]) -> Option<Violation> {
    let (ending, ended_at) = request.ending.as_ref()?;
    let is_refusal = matches!(ending, Ending::Answered { status: 408 | 421 | 429 | 503 });
    if is_refusal && request.service == Service::Unsafe && request.runs > 0 {
        return Some(Violation(format!("REFUSED: request {id} has run, and was answered {ending:?}")));
    }
    let is_lost = matches!(ending, Ending::Unanswered | Ending::Cut) && request.arrivals > 0;
    let overlaps_disruption = |disruption: &Disruption| {
        disruption.router == request.router
            && disruption.started_at <= *ended_at
            && disruption.ended_at.is_none_or(|end| request.sent_at <= end)
    };
    if is_lost && !request.was_broken_off && !disruptions.iter().any(overlaps_disruption) {
        let text = format!(
            "LOST: request {id} reached a server and was not answered by {}: {request:?}",
            request.router
        );
        return Some(Violation(text));
    }
    None
}

/// The largest use of a retry budget in any window that begins with a repeated arrival. The number of requests is the largest of three
/// windows: the same one, one that begins half a window earlier, and the preceding one.
fn largest_budget_use(records: &Records) -> BudgetUse {
    let mut largest = BudgetUse::default();
    for service in Service::ALL {
        let mut sent: Vec<Instant> = records
            .requests
            .values()
            .filter(|request| request.service == service)
            .map(|request| request.sent_at)
            .collect();
        sent.sort_unstable();
        let mut repeats: Vec<Instant> = records
            .repeats
            .iter()
            .filter(|(server_service, _)| *server_service == service)
            .map(|(_, at)| *at)
            .collect();
        repeats.sort_unstable();
        for window_start in &repeats {
            let count_in_window = |times: &[Instant], from: Instant| {
                times.partition_point(|at| *at < from + BUDGET_WINDOW)
                    - times.partition_point(|at| *at < from)
            };
            let earlier = [Duration::ZERO, BUDGET_WINDOW / 2, BUDGET_WINDOW];
            let requests = earlier.into_iter().filter_map(|back| window_start.checked_sub(back));
            let requests = requests.map(|from| count_in_window(&sent, from)).max().unwrap_or(0);
            let repeats = count_in_window(&repeats, *window_start);
            let share = repeats as f64 / (RETRY_BUDGET.ratio * requests as f64 + RETRY_BUDGET.slack);
            if share > largest.share {
                largest = BudgetUse { share, repeats, requests };
            }
        }
    }
    largest
}
