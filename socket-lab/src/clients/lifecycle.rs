//! The lifecycle of one client: attempts, retries and outcome.

use std::rc::Rc;
use std::time::Duration;

use ivyhatch_lab::{ClientRequest, Nanos, RECONNECT_DELAY};
use tokio::time::sleep;

use super::exchange::{Exchange, ExchangeResult, RetryMark};
use crate::clock::NANOS_PER_MS;
use crate::run_state::RunState;

/// Runs a client from the first attempt to the outcome. Returns the time that a closed-loop client waits before the next
/// request, in nanoseconds.
pub(super) async fn run_client(run: Rc<RunState>, request: ClientRequest) -> Nanos {
    run.outcomes.borrow_mut().request_arrived(&request);
    let workload = &run.world.clients;
    let class = &workload.classes[request.class];
    let first_sent_at = run.clock.now();
    let deadline = first_sent_at + class.deadline_ms * NANOS_PER_MS;
    let mut retries_left = workload.retries;
    loop {
        let timeout = class.attempt_timeout(run.random.client_timeouts.borrow_mut().unit());
        let not_after = (run.clock.now() + timeout).min(deadline);
        let mark = if retries_left < workload.retries { RetryMark::Retry } else { RetryMark::First };
        let result = Exchange { run: &run, request: &request, not_after, mark }.perform().await;
        let now = run.clock.now();
        let retry_delay = match result {
            ExchangeResult::Rejected { retry_after } => Some(workload.retry_delay(retry_after)),
            ExchangeResult::ConnectionLost if !class.non_idempotent => {
                Some(workload.retry_delay(RECONNECT_DELAY))
            }
            _ => None,
        };
        let in_time = retry_delay.filter(|delay| now.saturating_add(*delay) < deadline);
        if let Some(delay) = in_time.filter(|_| retries_left > 0) {
            retries_left -= 1;
            sleep(Duration::from_nanos(delay)).await;
            continue;
        }
        record_outcome(&run, &request, &result, now - first_sent_at);
        return match result {
            ExchangeResult::Served => 0,
            ExchangeResult::Rejected { retry_after } => {
                workload.retry_delay(retry_after).max(RECONNECT_DELAY)
            }
            _ => RECONNECT_DELAY,
        };
    }
}

fn record_outcome(run: &RunState, request: &ClientRequest, result: &ExchangeResult, latency: Nanos) {
    let mut outcomes = run.outcomes.borrow_mut();
    match result {
        ExchangeResult::Served => outcomes.served(request, latency),
        ExchangeResult::Rejected { .. } => outcomes.rejected(request),
        ExchangeResult::Failed | ExchangeResult::ConnectionLost => outcomes.failed(request),
        ExchangeResult::Disconnected => outcomes.client_disconnected(request),
    }
}
