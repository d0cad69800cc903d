//! Exhaustive test with one lock, two callers and leader changes: all orders of sending, delivering, delivering a copy, waiting and
//! changing the leader, up to a given depth. The two callers must never consider themselves holders at the same time, and the fencing
//! tokens must increase from each acquisition to the next.

use googletest::prelude::*;
use ivyhatch_protocol::coordination::{Call, CallOutcome, Reply};

use crate::leader::{Leader, acquire, release, renew};

const DEPTH: usize = 9;
const HOLD_MS: u64 = 100;
/// Time that one wait step takes: less than the hold time, and more than half of it.
const WAIT_MS: u64 = 60;

/// A call that was sent, and the time when it was sent.
#[derive(Clone)]
struct SentCall {
    call: Call,
    at_ms: u64,
}

#[derive(Clone, Default)]
struct Caller {
    in_flight: Option<SentCall>,
    /// The last delivered call; the network may deliver a copy of it.
    delivered: Option<SentCall>,
    fence: u64,
    holds_until_ms: u64,
}

#[derive(Clone)]
struct Model {
    leader: Leader,
    now_ms: u64,
    callers: [Caller; 2],
    highest_fence: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Acquire(usize),
    Renew(usize),
    Release(usize),
    /// The call in flight is delivered, and its response is received.
    Deliver(usize),
    /// The call in flight is delivered, and its response is lost.
    DeliverAndLoseResponse(usize),
    DeliverCopy(usize),
    Wait,
    ChangeLeader,
}

const HOLDERS: [&str; 2] = ["a", "b"];

impl Model {
    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Wait, Step::ChangeLeader];
        for (index, caller) in self.callers.iter().enumerate() {
            if caller.in_flight.is_some() {
                steps.extend([Step::Deliver(index), Step::DeliverAndLoseResponse(index)]);
            } else if caller.holds_until_ms > self.now_ms {
                steps.extend([Step::Renew(index), Step::Release(index)]);
            } else {
                steps.push(Step::Acquire(index));
            }
            if caller.delivered.is_some() {
                steps.push(Step::DeliverCopy(index));
            }
        }
        steps
    }

    fn apply(&mut self, step: Step) {
        let now_ms = self.now_ms;
        match step {
            Step::Acquire(index) => self.send(index, acquire("l", HOLDERS[index], HOLD_MS)),
            Step::Renew(index) => {
                self.send(index, renew("l", HOLDERS[index], self.callers[index].fence, HOLD_MS));
            }
            Step::Release(index) => {
                // The caller considers itself the holder until it sends the release.
                self.callers[index].holds_until_ms = now_ms;
                self.send(index, release("l", HOLDERS[index], self.callers[index].fence));
            }
            Step::Deliver(index) => {
                if let Some((sent, outcome)) = self.deliver(index) {
                    self.handle_response(index, &sent, &outcome);
                }
            }
            Step::DeliverAndLoseResponse(index) => drop(self.deliver(index)),
            Step::DeliverCopy(index) => {
                if let Some(sent) = self.callers[index].delivered.take() {
                    self.leader.call(now_ms, &sent.call);
                }
            }
            Step::Wait => self.now_ms += WAIT_MS,
            Step::ChangeLeader => self.leader = self.leader.successor_at(now_ms),
        }
    }

    fn send(&mut self, index: usize, call: Call) {
        self.callers[index].in_flight = Some(SentCall { call, at_ms: self.now_ms });
    }

    fn deliver(&mut self, index: usize) -> Option<(SentCall, CallOutcome)> {
        let sent = self.callers[index].in_flight.take()?;
        let outcome = self.leader.call(self.now_ms, &sent.call);
        self.callers[index].delivered = Some(sent.clone());
        Some((sent, outcome))
    }

    fn handle_response(&mut self, index: usize, sent: &SentCall, outcome: &CallOutcome) {
        let (now_ms, caller) = (self.now_ms, &mut self.callers[index]);
        match outcome {
            CallOutcome::Applied(Reply::LockAcquired { fence }) => {
                assert!(
                    *fence > self.highest_fence,
                    "fencing token {fence} issued after {}",
                    self.highest_fence
                );
                (caller.fence, self.highest_fence) = (*fence, *fence);
                caller.holds_until_ms = sent.at_ms + HOLD_MS;
            }
            // A renewal whose response is received after the hold has expired has no effect.
            CallOutcome::Applied(Reply::LockRenewed) if now_ms < caller.holds_until_ms => {
                caller.holds_until_ms = caller.holds_until_ms.max(sent.at_ms + HOLD_MS);
            }
            _ => caller.holds_until_ms = caller.holds_until_ms.min(now_ms),
        }
    }

    fn holders(&self) -> usize {
        self.callers.iter().filter(|caller| caller.holds_until_ms > self.now_ms).count()
    }
}

/// Explores all sequences of `depth` steps from the state `model`. Returns the number of visited states.
fn explore(model: &Model, depth: usize, path: &mut Vec<Step>) -> u64 {
    assert!(model.holders() <= 1, "both callers hold the lock after the steps {path:?}");
    if depth == 0 {
        return 1;
    }
    let mut states = 1;
    for step in model.steps() {
        let mut next = model.clone();
        path.push(step);
        next.apply(step);
        states += explore(&next, depth - 1, path);
        path.pop();
    }
    states
}

#[gtest]
fn two_callers_never_hold_one_lock_whatever_the_order() {
    let model = Model { leader: Leader::new(), now_ms: 0, callers: Default::default(), highest_fence: 0 };
    let states = explore(&model, DEPTH, &mut Vec::new());
    println!("{states} states");
    expect_that!(states, gt(100_000));
}
