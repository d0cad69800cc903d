use std::time::Duration;

use super::{
    BACKOFF_LOCAL, BACKOFF_SHARED, CallFailure, CallKind, DiscoverySchedule, MAX_LONG_POLL_SHARED,
    NOTIFIED_AFTER_LONG_POLL, NOTIFIED_AFTER_SILENCE, SPREAD_PER_NODE,
};

const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
const ZERO: Duration = Duration::ZERO;
const SECOND: Duration = Duration::from_secs(1);

fn longest_delay(schedule: &mut DiscoverySchedule) -> Duration {
    (0..1000).map(|_| schedule.next_delay(ZERO)).max().unwrap_or_default()
}

/// The largest number of `times` that lie within one second.
fn max_calls_in_one_second(times: &[Duration]) -> usize {
    let count_from = |&from: &Duration| times.iter().filter(|&&at| at >= from && at < from + SECOND).count();
    times.iter().map(count_from).max().unwrap_or_default()
}

/// A hundred nodes called discovery at the same time, at their start and at each change of the list: 85 of the first hundred calls
/// were rejected, and a restarted node routed by the list of its previous incarnation for ten seconds (docs/incidents/fleet-herd.md).
#[test]
fn calls_of_a_hundred_nodes_that_start_together_are_spread() {
    let calls: Vec<Duration> = (0..100)
        .map(|seed| {
            DiscoverySchedule::for_shared_service(100, MAX_POLL_INTERVAL, seed << 32).next_delay(ZERO)
        })
        .collect();
    assert!(max_calls_in_one_second(&calls) < 35, "{calls:?}");
    assert!(calls.iter().max() < Some(&(MAX_POLL_INTERVAL / 2)));
}

#[test]
fn few_nodes_hardly_wait_and_failures_widen_the_spread_up_to_half_the_poll_interval() {
    let mut schedule = DiscoverySchedule::for_shared_service(3, MAX_POLL_INTERVAL, 7);
    assert!(longest_delay(&mut schedule) <= 2 * SPREAD_PER_NODE);
    (0..3).for_each(|_| schedule.call_failed(CallFailure::Error));
    let (first, last) = (BACKOFF_SHARED.initial, BACKOFF_SHARED.max);
    let longest = longest_delay(&mut schedule) - first * 4;
    assert!((8 * SPREAD_PER_NODE..=16 * SPREAD_PER_NODE + first).contains(&longest), "{longest:?}");
    (0..100).for_each(|_| schedule.call_failed(CallFailure::Error));
    let longest = longest_delay(&mut schedule) - last;
    assert!((MAX_POLL_INTERVAL / 4..=MAX_POLL_INTERVAL / 2 + last / 4).contains(&longest), "{longest:?}");
    schedule.call_succeeded();
    assert!(longest_delay(&mut schedule) <= 2 * SPREAD_PER_NODE);
}

/// A restarted node requests the list at once. After a failure it must call again well before the drain grace ends, during which
/// requests may still be sent to a draining backend.
#[test]
fn local_agent_is_called_at_once_and_again_well_within_the_drain_grace() {
    for grace in [ZERO, SECOND / 4, SECOND / 2, SECOND, 10 * SECOND] {
        let mut schedule = DiscoverySchedule::for_local_agent(grace, 9);
        assert_eq!(schedule.next_delay(ZERO), ZERO);
        schedule.start_call(ZERO, CallKind::FullList);
        (0..30).for_each(|_| schedule.call_failed(CallFailure::Error));
        let max_delay = (grace / 2).max(BACKOFF_LOCAL.initial * 2);
        let longest = longest_delay(&mut schedule);
        assert!(
            longest <= max_delay && longest < SECOND && schedule.connect_timeout() <= max_delay,
            "{grace:?}: {longest:?}"
        );
        assert!(longest > BACKOFF_LOCAL.initial / 2, "never a tight loop");
    }
    assert_eq!(
        DiscoverySchedule::for_shared_service(u32::MAX, Duration::MAX, 1).spread,
        SPREAD_PER_NODE * (u32::MAX - 1)
    );
}

/// Six watches became unresponsive at the same time. They timed out together, 21 s later, and their next calls waited in
/// discovery's queue for up to 1.9 s, while drains counted as notified from 22 s on (docs/incidents/narrow-moments.md).
#[test]
fn watches_that_fell_silent_together_are_renewed_at_different_times_before_changes_count_as_notified() {
    for nodes in [6, 100] {
        let mut renewals = Vec::new();
        for seed in 0..u64::from(nodes) {
            let mut schedule = DiscoverySchedule::for_shared_service(nodes, MAX_POLL_INTERVAL, seed << 32);
            let timeouts = schedule.start_call(SECOND, CallKind::Watch);
            assert!((MAX_LONG_POLL_SHARED / 2..=MAX_LONG_POLL_SHARED).contains(&timeouts.long_poll));
            schedule.call_failed(CallFailure::TimedOut);
            let now = SECOND + timeouts.call;
            let next = now + schedule.next_delay(now);
            assert!(
                next + SECOND < SECOND + timeouts.long_poll + NOTIFIED_AFTER_LONG_POLL,
                "a second for the call"
            );
            renewals.push(next);
        }
        // The long polls of a hundred nodes end within a span of ten seconds: a tenth of a second for each node's call.
        assert!(max_calls_in_one_second(&renewals) <= (nodes as usize / 4).max(3), "{renewals:?}");
    }
}

/// Discovery rejects each call. Until the missed changes count as notified, calls follow each other soon, but never without a
/// delay; after that they are as rare as after any other failure.
#[test]
fn missed_changes_are_asked_for_often_until_they_count_as_notified_and_rarely_afterwards() {
    enum Missed {
        ByMove,
        BySilent(CallKind),
    }
    let start = |missed: &Missed, seed| {
        let mut schedule = DiscoverySchedule::for_shared_service(300, MAX_POLL_INTERVAL, seed);
        let now = match *missed {
            Missed::ByMove => {
                schedule.discovery_moved(ZERO);
                schedule.start_call(ZERO, CallKind::FullList);
                ZERO
            }
            Missed::BySilent(kind) => {
                let timeouts = schedule.start_call(ZERO, kind);
                schedule.call_failed(CallFailure::TimedOut);
                timeouts.call
            }
        };
        (schedule, now)
    };
    for seed in 0..200 {
        for missed in
            [Missed::ByMove, Missed::BySilent(CallKind::FullList), Missed::BySilent(CallKind::Watch)]
        {
            let (mut schedule, mut now) = start(&missed, seed << 32);
            let notified_at = schedule.missed_notified_at.expect("something was missed");
            let mut calls_in_time = 0;
            schedule.call_failed(CallFailure::Error);
            while now < notified_at {
                let delay = schedule.next_delay(now);
                let left = notified_at - now;
                assert!(delay >= BACKOFF_SHARED.initial.mul_f64(0.75) || delay == ZERO, "{delay:?}");
                assert!(delay <= (left / 2).max(BACKOFF_SHARED.initial), "{delay:?} of {left:?}");
                now += delay;
                schedule.start_call(now, CallKind::FullList);
                schedule.call_failed(CallFailure::Error);
                calls_in_time += usize::from(now < notified_at);
            }
            assert!((1..=13).contains(&calls_in_time), "{calls_in_time} calls");
            assert!(longest_delay_at(&mut schedule, notified_at + SECOND) > MAX_POLL_INTERVAL / 4);
            schedule.call_succeeded();
            assert_eq!(schedule.next_delay(now), ZERO);
        }
    }
}

fn longest_delay_at(schedule: &mut DiscoverySchedule, now: Duration) -> Duration {
    (0..100).map(|_| schedule.next_delay(now)).max().unwrap_or_default()
}

/// After failed calls a node must call again before its list expires, whatever the poll interval in the settings.
#[test]
fn failed_calls_are_retried_within_the_poll_interval_of_the_settings() {
    for interval in [SECOND, 3 * SECOND, MAX_POLL_INTERVAL, 60 * SECOND] {
        for nodes in [1, 3, 300] {
            let mut schedule = DiscoverySchedule::for_shared_service(nodes, interval, 5);
            (0..30).for_each(|_| schedule.call_failed(CallFailure::Error));
            assert!(longest_delay(&mut schedule) <= interval * 5 / 4, "{interval:?}, {nodes}");
        }
    }
}

/// The settings allow a poll interval near zero, and discovery rejects each call.
#[test]
fn failed_calls_make_no_tight_loop_with_a_poll_interval_near_zero() {
    for interval in [ZERO, Duration::from_millis(1), SECOND / 20] {
        let mut schedule = DiscoverySchedule::for_shared_service(300, interval, 5);
        for _ in 0..100 {
            schedule.call_failed(CallFailure::Error);
            assert!(schedule.next_delay(ZERO) >= BACKOFF_LOCAL.initial / 2, "{interval:?}");
        }
    }
}

/// A call for the full list has no long poll, so changes that it misses count as notified sooner than those that a watch misses.
#[test]
fn silent_call_for_the_full_list_is_abandoned_with_time_for_another() {
    for mut schedule in [
        DiscoverySchedule::for_shared_service(300, MAX_POLL_INTERVAL, 3),
        DiscoverySchedule::for_local_agent(SECOND, 3),
    ] {
        let timeouts = schedule.start_call(ZERO, CallKind::FullList);
        assert!(timeouts.call * 2 <= NOTIFIED_AFTER_SILENCE);
        schedule.call_failed(CallFailure::TimedOut);
        let next = timeouts.call + schedule.next_delay(timeouts.call);
        assert!(next + SECOND < NOTIFIED_AFTER_SILENCE, "{next:?}");
    }
    let mut local = DiscoverySchedule::for_local_agent(SECOND, 3);
    let timeouts = local.start_call(ZERO, CallKind::Watch);
    assert!(timeouts.call + SECOND < NOTIFIED_AFTER_SILENCE);
}
