//! The lifecycle of an instance with a simulated process that hangs, crashes, never becomes ready or ignores signals.

use ivyhatch_agent::{DesiredState, Input, InstanceLifecycle, LifecycleSettings, Nanos, Output, Phase};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const SETTINGS: LifecycleSettings = LifecycleSettings {
    ready_timeout: 1000 * MS,
    drain_timeout: 5000 * MS,
    stop_timeout: 800 * MS,
    silence_timeout: 300 * MS,
    initial_backoff: 100 * MS,
    max_backoff: 2000 * MS,
    crash_loop_threshold: 4,
    crash_loop_window: 10_000 * MS,
};

#[derive(Clone, Default, Debug)]
struct Process {
    ready: bool,
    draining: bool,
    hung: bool,
    /// Whether the process exits at the next step.
    exits: bool,
}

struct Harness {
    now: Nanos,
    instance: InstanceLifecycle,
    process: Option<Process>,
    starts: Vec<Nanos>,
    log: Vec<String>,
}

impl Harness {
    fn new(desired_state: DesiredState) -> Self {
        let instance = InstanceLifecycle::new(SETTINGS, desired_state, 7, 0);
        Self { now: 0, instance, process: None, starts: Vec::new(), log: Vec::new() }
    }

    fn feed(&mut self, input: Input) {
        self.log.push(format!("{} ms: {input:?} in {:?}", self.now / MS, self.instance.phase()));
        let mut outputs = Vec::new();
        self.instance.handle(self.now, input, &mut outputs);
        for output in outputs {
            self.log.push(format!("  {output:?}"));
            match (output, &mut self.process) {
                (Output::Start, Some(_)) => panic!("a second process: {:#?}", self.log),
                (Output::Start, None) => {
                    self.process = Some(Process::default());
                    self.starts.push(self.now);
                }
                (Output::Drain, Some(process)) if !process.hung => process.draining = true,
                (Output::Undrain, Some(process)) if !process.hung => process.draining = false,
                (Output::Terminate, Some(process)) if !process.hung => process.exits = true,
                (Output::Kill, Some(process)) => process.exits = true,
                _ => {}
            }
        }
        let has_timeout = !matches!(self.instance.phase(), Phase::Stopped | Phase::Crashed);
        assert!(
            !has_timeout || self.instance.next_deadline().is_some(),
            "no timeout is running: {:#?}",
            self.log
        );
        assert_eq!(self.instance.has_process(), self.process.is_some(), "{:#?}", self.log);
    }

    /// Lets the process exit if it is to exit, or report its state if it does not hang.
    fn step(&mut self) {
        match &mut self.process {
            Some(process) if process.exits => {
                self.process = None;
                self.feed(Input::Exited("it ended".into()));
            }
            Some(process) if !process.hung => {
                process.ready = true;
                let draining = process.draining;
                self.feed(Input::Reported { is_draining: draining });
                if draining && self.process.as_ref().is_some_and(|process| process.draining) {
                    self.feed(Input::Drained);
                }
            }
            _ => {}
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now += ms * MS;
        self.feed(Input::Tick);
    }

    /// Runs for a minute without faults.
    fn settle(&mut self) {
        for _ in 0..600 {
            if let Some(process) = &mut self.process {
                process.hung = false;
            }
            self.step();
            self.advance(100);
        }
    }

    fn phase(&self) -> Phase {
        self.instance.phase()
    }
}

#[test]
fn instance_that_never_becomes_ready_is_restarted_until_crash_loop() {
    let mut harness = Harness::new(DesiredState::Running);
    harness.advance(0);
    for _ in 0..2000 {
        if let Some(process) = &mut harness.process {
            process.hung = true;
        }
        harness.step();
        harness.advance(10);
    }
    assert_eq!(harness.phase(), Phase::Crashed, "{:?}", harness.instance);
    assert_eq!(
        harness.instance.reason(),
        "4 crashes in a row within the span; the last: not ready within 1000 ms"
    );
    assert_eq!(harness.starts.len(), SETTINGS.crash_loop_threshold);
    let backoffs: Vec<Nanos> = harness.starts.windows(2).map(|two| (two[1] - two[0]) / MS - 1000).collect();
    for (backoff, limit) in backoffs.iter().zip([100, 200, 400]) {
        assert!((limit / 2..=limit + 30).contains(backoff), "jittered and doubled: {backoffs:?}");
    }
    harness.feed(Input::DesiredStateSet(DesiredState::Running));
    assert_eq!(
        (harness.phase(), harness.starts.len()),
        (Phase::Starting, 5),
        "a new request starts it again"
    );
}

#[test]
fn process_that_ignores_termination_is_killed_after_the_stop_timeout() {
    let mut harness = Harness::new(DesiredState::Running);
    harness.advance(0);
    harness.step();
    assert_eq!(harness.phase(), Phase::Ready);
    harness.process.as_mut().unwrap().hung = true;
    harness.feed(Input::DesiredStateSet(DesiredState::Stopped));
    assert_eq!(harness.phase(), Phase::Draining);
    // The process reports that it drains, with a request still in flight.
    for _ in 0..49 {
        harness.advance(100);
        harness.feed(Input::Reported { is_draining: true });
    }
    harness.advance(99);
    assert_eq!(harness.phase(), Phase::Draining);
    harness.advance(1);
    assert_eq!(harness.phase(), Phase::Stopping, "the drain deadline has passed");
    harness.advance(799);
    assert!(!harness.process.as_ref().unwrap().exits);
    harness.advance(1);
    assert!(harness.process.as_ref().unwrap().exits, "killed");
    harness.step();
    assert_eq!((harness.phase(), harness.instance.reason()), (Phase::Stopped, "did not end within 800 ms"));
}

/// A hung process can't complete its requests: its restart must not wait for the drain timeout.
#[test]
fn process_that_hangs_while_draining_is_terminated_early() {
    let mut harness = Harness::new(DesiredState::Running);
    harness.settle();
    harness.process.as_mut().unwrap().hung = true;
    harness.feed(Input::RestartRequested);
    harness.advance(300);
    assert_eq!(
        (harness.phase(), harness.instance.reason()),
        (Phase::Stopping, "said nothing while it drained")
    );
    harness.advance(800);
    harness.step();
    harness.settle();
    assert_eq!((harness.phase(), harness.starts.len()), (Phase::Ready, 2));
}

#[test]
fn silent_process_is_unresponsive_and_recovers_or_is_replaced() {
    let mut harness = Harness::new(DesiredState::Running);
    harness.advance(0);
    harness.step();
    harness.process.as_mut().unwrap().hung = true;
    harness.advance(299);
    assert_eq!(harness.phase(), Phase::Ready);
    harness.advance(1);
    assert_eq!(
        (harness.phase(), harness.instance.reason()),
        (Phase::Unresponsive, "said nothing for 300 ms")
    );
    harness.process.as_mut().unwrap().hung = false;
    harness.step();
    assert_eq!(harness.phase(), Phase::Ready);
    harness.process.as_mut().unwrap().hung = true;
    harness.advance(300);
    harness.advance(600);
    assert!(harness.process.as_ref().unwrap().exits, "killed after twice as long again");
    harness.settle();
    assert_eq!((harness.phase(), harness.starts.len()), (Phase::Ready, 2));
}

#[test]
fn drained_instance_keeps_its_process_and_can_be_undrained() {
    let mut harness = Harness::new(DesiredState::Running);
    harness.settle();
    harness.feed(Input::DesiredStateSet(DesiredState::Drained));
    harness.settle();
    assert!(harness.instance.is_drained() && harness.process.as_ref().unwrap().draining);
    harness.feed(Input::DesiredStateSet(DesiredState::Running));
    harness.settle();
    assert_eq!((harness.phase(), harness.starts.len()), (Phase::Ready, 1));
    assert!(!harness.process.as_ref().unwrap().draining);
}

/// A clock that steps back must neither end a timeout early nor keep it from expiring.
#[test]
fn clock_that_steps_back_counts_as_unchanged() {
    let mut harness = Harness::new(DesiredState::Running);
    harness.now = 50_000 * MS;
    harness.advance(0);
    harness.now = 10 * MS;
    harness.advance(0);
    assert_eq!(harness.phase(), Phase::Starting);
    harness.now = 51_000 * MS;
    harness.advance(0);
    assert!(harness.process.as_ref().unwrap().exits, "the ready timeout has expired");
}

#[derive(Clone, Debug)]
enum Step {
    SetDesiredState(DesiredState),
    Restart,
    ProcessRuns,
    Hang(bool),
    Crash,
    StartFails,
    Advance(u64),
    AgentRestarts,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => prop_oneof![Just(DesiredState::Running), Just(DesiredState::Drained), Just(DesiredState::Stopped)].prop_map(Step::SetDesiredState),
        1 => Just(Step::Restart),
        6 => Just(Step::ProcessRuns),
        2 => any::<bool>().prop_map(Step::Hang),
        1 => Just(Step::Crash),
        1 => Just(Step::StartFails),
        5 => (0u64..3000).prop_map(Step::Advance),
        1 => Just(Step::AgentRestarts),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]
    /// Under any faults there is never a second process, and an instance that is neither stopped nor in a crash loop always has a
    /// timeout running. Once the faults end, the instance converges to the desired state, or stays in a crash loop until a new command.
    #[test]
    fn instance_converges_to_the_desired_state(steps in proptest::collection::vec(any_step(), 0..60)) {
        let mut harness = Harness::new(DesiredState::Running);
        for step in steps {
            match step {
                Step::SetDesiredState(desired_state) => harness.feed(Input::DesiredStateSet(desired_state)),
                Step::Restart => harness.feed(Input::RestartRequested),
                Step::ProcessRuns => harness.step(),
                Step::Hang(hung) => if let Some(process) = &mut harness.process { process.hung = hung },
                Step::Crash => if harness.process.take().is_some() {
                    harness.feed(Input::Exited("it crashed".into()));
                },
                Step::StartFails => if harness.process.as_ref().is_some_and(|process| !process.ready) {
                    harness.process = None;
                    harness.feed(Input::StartFailed("no memory".into()));
                },
                Step::Advance(ms) => harness.advance(ms),
                Step::AgentRestarts => {
                    // The desired state is on disk, and the running process is adopted.
                    let desired_state = harness.instance.desired_state();
                    harness.instance = InstanceLifecycle::new(SETTINGS, desired_state, 7, harness.now);
                    if let Some(Process { ready, draining, .. }) = harness.process.clone() {
                        harness.feed(Input::Adopted { is_ready: ready, is_draining: draining });
                    }
                }
            }
        }
        harness.settle();
        let process = harness.process.clone();
        match (harness.phase(), harness.instance.desired_state()) {
            (Phase::Ready, DesiredState::Running) => prop_assert!(!process.unwrap().draining, "{:#?}", harness.log),
            (Phase::Draining, DesiredState::Drained) => {
                prop_assert!(harness.instance.is_drained() && process.unwrap().draining, "{:#?}", harness.log);
            }
            (Phase::Stopped, DesiredState::Stopped) => prop_assert!(process.is_none()),
            (Phase::Crashed, desired_state) => {
                prop_assert!(desired_state != DesiredState::Stopped && process.is_none());
                harness.feed(Input::RestartRequested);
                harness.settle();
                prop_assert!(matches!(harness.phase(), Phase::Ready | Phase::Draining), "{:#?}", harness.log);
            }
            other => prop_assert!(false, "{other:?}: {:#?}", harness.log),
        }
    }
}
