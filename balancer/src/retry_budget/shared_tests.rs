use proptest::prelude::*;

use super::{SharedBudget, SharedRetryBudget};
use crate::api::{MILLISECOND, Nanos, SECOND};

const WINDOW: Nanos = 10 * SECOND;
const RATIO: f64 = 0.2;
/// The time of the first event of each test.
const START: Nanos = 100 * SECOND;

/// The parts of the slack that all nodes have together: in their first window, and later. With these parts
/// the limit holds if each node restarts at most twice within a window.
const STARTING_PART: f64 = 0.2;
const LATER_PART: f64 = 0.6;
const MAX_STARTS_IN_A_WINDOW: usize = 2;

fn settings(slack_share: f64, started_at: Nanos) -> SharedRetryBudget {
    let starting_slack_share = slack_share * STARTING_PART / LATER_PART;
    SharedRetryBudget { ratio: RATIO, window: WINDOW, slack_share, starting_slack_share, started_at }
}

fn payable(budget: &mut SharedBudget, now: Nanos) -> usize {
    (0..1000).take_while(|_| budget.pay(now)).count()
}

#[test]
fn nothing_is_payable_before_anything_was_earned() {
    let mut budget = SharedBudget::new(settings(0.9, 0));
    assert!(!budget.can_pay(START));
    assert_eq!(payable(&mut budget, START), 0);
}

#[test]
fn requests_earn_half_of_the_ratio_for_one_window() {
    let mut budget = SharedBudget::new(settings(0.0, 0));
    (0..100).for_each(|_| budget.earn(START));
    assert_eq!(payable(&mut budget, START + WINDOW), 0, "earnings are expired after one window");
    (0..100).for_each(|_| budget.earn(START + WINDOW));
    assert_eq!(payable(&mut budget, START + 2 * WINDOW - 1), 10);
}

#[test]
fn spent_slack_is_available_again_one_window_later() {
    let mut budget = SharedBudget::new(settings(2.0, 0));
    assert_eq!(payable(&mut budget, START), 2);
    assert_eq!(payable(&mut budget, START + WINDOW - 1), 0);
    assert_eq!(payable(&mut budget, START + WINDOW), 2);
}

#[test]
fn slack_share_is_smaller_in_the_first_window_of_a_process() {
    let mut budget = SharedBudget::new(settings(6.0, START));
    assert_eq!(payable(&mut budget, START), 2);
    assert_eq!(payable(&mut budget, START + WINDOW - 1), 0);
    assert_eq!(payable(&mut budget, START + WINDOW), 6);
}

#[test]
fn spending_of_a_starting_process_counts_towards_its_later_share() {
    let mut budget = SharedBudget::new(settings(6.0, START));
    assert_eq!(payable(&mut budget, START + WINDOW - 1), 2);
    assert_eq!(payable(&mut budget, START + WINDOW), 4);
}

#[test]
fn partial_earnings_and_partial_slack_together_pay_for_a_retry() {
    let mut budget = SharedBudget::new(settings(0.55, 0));
    (0..4).for_each(|_| budget.earn(START));
    assert!(!budget.can_pay(START));
    budget.earn(START);
    assert_eq!(payable(&mut budget, START), 1);
}

/// An event at one node.
#[derive(Clone, Copy, Debug)]
enum Event {
    Requests(u8),
    Retries(u8),
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1_u8..40).prop_map(Event::Requests),
        4 => (1_u8..20).prop_map(Event::Retries),
        1 => Just(Event::Restart),
    ]
}

/// Requests and retries of all nodes at one point in time.
struct Sample {
    at: Nanos,
    requests: usize,
    retries: usize,
}

/// Runs events, each after a pause in milliseconds and at one of the nodes.
fn run_events(nodes: usize, slack: f64, events: &[(u16, usize, Event)]) -> Vec<Sample> {
    let share = LATER_PART * slack / nodes as f64;
    let mut starts: Vec<Vec<Nanos>> = vec![Vec::new(); nodes];
    let mut fleet: Vec<SharedBudget> = (0..nodes).map(|_| SharedBudget::new(settings(share, 0))).collect();
    let mut now = START;
    let mut samples = Vec::new();
    for (pause, node, event) in events {
        now += Nanos::from(*pause) * MILLISECOND;
        let node = node % nodes;
        let mut sample = Sample { at: now, requests: 0, retries: 0 };
        match *event {
            Event::Requests(count) => {
                (0..count).for_each(|_| fleet[node].earn(now));
                sample.requests = usize::from(count);
            }
            Event::Retries(count) => {
                sample.retries = (0..count).filter(|_| fleet[node].pay(now)).count();
            }
            Event::Restart => {
                starts[node].retain(|at| now < at + WINDOW);
                if starts[node].len() < MAX_STARTS_IN_A_WINDOW {
                    starts[node].push(now);
                    fleet[node] = SharedBudget::new(settings(share, now));
                }
            }
        }
        samples.push(sample);
    }
    samples
}

proptest! {
    /// The limit itself: in no window do all nodes together send more retries than the slack plus the ratio
    /// of the requests of that window, or of the window before if that had more.
    #[test]
    fn retries_of_all_nodes_together_stay_within_the_budget(
        nodes in 1_usize..100,
        slack in 0.0..60.0_f64,
        events in prop::collection::vec((0_u16..1500, 0_usize..100, event()), 1..200),
    ) {
        let samples = run_events(nodes, slack, &events);
        let within = |from: Nanos| samples.iter().filter(move |sample| (from..from + WINDOW).contains(&sample.at));
        for first in &samples {
            let retries: usize = within(first.at).map(|sample| sample.retries).sum();
            let requests_from = |from: Nanos| within(from).map(|sample| sample.requests).sum::<usize>();
            let requests = requests_from(first.at).max(requests_from(first.at - WINDOW));
            let bound = RATIO * requests as f64 + slack;
            prop_assert!(retries as f64 <= bound + 1e-6, "{retries} retries in the window from {}, {bound} allowed", first.at);
        }
    }
}
