//! Updates of the latency model by the outcomes of attempts.

use super::LatencySample;
use crate::api::{
    Action, Arrival, BackendId, ClassId, ClassSettings, Event, ListScope, MILLISECOND as MS, Member, Outcome,
    RequestId, SECOND, Settings, ZoneId,
};
use crate::policy::tuning::IDLE_LOAD;
use crate::state::Balancer;

/// On a day without any congestion, the load limit of a backend grew from 4 to 17: responses at light load
/// were slightly quicker than those of idle backends.
#[test]
fn quick_responses_at_light_load_do_not_raise_the_load_limit() {
    let class = ClassSettings { latency_target: 400 * MS, deadline: SECOND, ..ClassSettings::default() };
    let settings = Settings { classes: vec![class], ..Settings::new(ZoneId(0), 1) };
    let mut node = Balancer::new(settings, 7, 100 * SECOND).expect("usable settings");
    node.apply_membership(ListScope::Full, vec![Member::default()], 1);
    let mut learn = |load_at_send, elapsed, count| {
        let sample = LatencySample {
            backend: BackendId(0),
            class: 0,
            expected_work: 1.0,
            load_at_send,
            outcome: Outcome::Served,
            elapsed,
        };
        (0..count).for_each(|_| node.learn_from_attempt(&sample));
        node.load_for_latency(0, 125.0 * MS as f64)
    };
    learn(IDLE_LOAD, 100 * MS, 1000);
    let before = learn(12.0, 140 * MS, 1000);
    let after = learn(3.0, 70 * MS, 20_000);
    assert!(after < 1.5 * before, "load limit {before} before, {after} after quick responses at light load");
}

/// On day 7 of a scored run, responses took 10 ms and some were delayed by a tenth of a second. A backend
/// whose slowness exceeded six then received no requests, so that no response could show its recovery.
#[test]
fn idle_backend_of_high_measured_slowness_gets_one_request() {
    let class = ClassSettings { latency_target: 400 * MS, deadline: SECOND, ..ClassSettings::default() };
    let settings = Settings { classes: vec![class], ..Settings::new(ZoneId(0), 1) };
    let now = 100 * SECOND;
    let mut node = Balancer::new(settings, 7, now).expect("usable settings");
    node.apply_membership(ListScope::Full, vec![Member::default()], 1);
    (node.classes[0].idle_latency, node.latency_per_load) = (10.0 * MS as f64, 2.0 * MS as f64);
    node.classes[0].load_limit = 4.0;
    let backend = node.backends.get_mut(&BackendId(0)).expect("a listed backend");
    backend.latency_ratio.update(now, 12.0, SECOND, 1.0);
    let sent = |request, node: &mut Balancer| {
        let (class, not_after, mut actions) = (ClassId(0), now + SECOND, Vec::new());
        let arrival = Arrival {
            request: RequestId(request),
            class,
            expected_work: None,
            is_retry: false,
            tenant: None,
            not_after,
        };
        node.handle(now, Event::Request(arrival), &mut actions);
        actions.iter().any(|action| matches!(action, Action::Send { .. }))
    };
    assert_eq!([sent(0, &mut node), sent(1, &mut node)], [true, false]);
}
