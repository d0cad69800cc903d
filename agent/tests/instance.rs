//! One instance's life against a process that is simulated: it hangs, crashes, never gets ready and ignores what it is told.

use ivyhatch_agent::{Action, Event, Instance, Nanos, Patience, Phase, Wanted};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const PATIENCE: Patience = Patience {
    ready: 1000 * MS,
    drain: 5000 * MS,
    stop: 800 * MS,
    silent: 300 * MS,
    first_wait: 100 * MS,
    longest_wait: 2000 * MS,
    crashes: 4,
    crash_span: 10_000 * MS,
};

#[derive(Clone, Default, Debug)]
struct Process {
    ready: bool,
    draining: bool,
    hung: bool,
    /// Ends with the next step.
    ends: bool,
}

struct Stand {
    now: Nanos,
    instance: Instance,
    process: Option<Process>,
    starts: Vec<Nanos>,
    log: Vec<String>,
}

impl Stand {
    fn new(wanted: Wanted) -> Self {
        let instance = Instance::new(PATIENCE, wanted, 7, 0);
        Self { now: 0, instance, process: None, starts: Vec::new(), log: Vec::new() }
    }

    fn give(&mut self, event: Event) {
        self.log.push(format!("{} ms: {event:?} in {:?}", self.now / MS, self.instance.phase()));
        let mut actions = Vec::new();
        self.instance.handle(self.now, event, &mut actions);
        for action in actions {
            self.log.push(format!("  {action:?}"));
            match (action, &mut self.process) {
                (Action::Start, Some(_)) => panic!("a second process: {:#?}", self.log),
                (Action::Start, None) => {
                    self.process = Some(Process::default());
                    self.starts.push(self.now);
                }
                (Action::Drain, Some(process)) if !process.hung => process.draining = true,
                (Action::Undrain, Some(process)) if !process.hung => process.draining = false,
                (Action::Terminate, Some(process)) if !process.hung => process.ends = true,
                (Action::Kill, Some(process)) => process.ends = true,
                _ => {}
            }
        }
        let timed = !matches!(self.instance.phase(), Phase::Stopped | Phase::Crashed);
        assert!(!timed || self.instance.wake().is_some(), "nothing would ever be due: {:#?}", self.log);
        assert_eq!(self.instance.has_process(), self.process.is_some(), "{:#?}", self.log);
    }

    /// The process does what it has to.
    fn step(&mut self) {
        match &mut self.process {
            Some(process) if process.ends => {
                self.process = None;
                self.give(Event::Ended("it ended".into()));
            }
            Some(process) if !process.hung => {
                process.ready = true;
                let draining = process.draining;
                self.give(Event::Said { draining });
                if draining && self.process.as_ref().is_some_and(|process| process.draining) {
                    self.give(Event::Drained);
                }
            }
            _ => {}
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms * MS;
        self.give(Event::Tick);
    }

    /// Everything goes well for a minute.
    fn settle(&mut self) {
        for _ in 0..600 {
            if let Some(process) = &mut self.process {
                process.hung = false;
            }
            self.step();
            self.pass(100);
        }
    }

    fn phase(&self) -> Phase {
        self.instance.phase()
    }
}

#[test]
fn a_start_that_never_gets_ready_is_ended_and_tried_again_until_it_is_a_loop() {
    let mut stand = Stand::new(Wanted::Running);
    stand.pass(0);
    for _ in 0..2000 {
        if let Some(process) = &mut stand.process {
            process.hung = true;
        }
        stand.step();
        stand.pass(10);
    }
    assert_eq!(stand.phase(), Phase::Crashed, "{:?}", stand.instance);
    assert_eq!(
        stand.instance.reason(),
        "4 crashes in a row within the span; the last: not ready within 1000 ms"
    );
    assert_eq!(stand.starts.len(), PATIENCE.crashes);
    let waits: Vec<Nanos> = stand.starts.windows(2).map(|two| (two[1] - two[0]) / MS - 1000).collect();
    for (wait, most) in waits.iter().zip([100, 200, 400]) {
        assert!((most / 2..=most + 30).contains(wait), "jittered and doubled: {waits:?}");
    }
    stand.give(Event::Wants(Wanted::Running));
    assert_eq!((stand.phase(), stand.starts.len()), (Phase::Starting, 5), "whoever asks anew is heard");
}

#[test]
fn a_process_that_ignores_being_told_to_end_is_killed_in_time() {
    let mut stand = Stand::new(Wanted::Running);
    stand.pass(0);
    stand.step();
    assert_eq!(stand.phase(), Phase::Ready);
    stand.process.as_mut().unwrap().hung = true;
    stand.give(Event::Wants(Wanted::Stopped));
    assert_eq!(stand.phase(), Phase::Draining);
    // It answers, and something stays open on it.
    for _ in 0..49 {
        stand.pass(100);
        stand.give(Event::Said { draining: true });
    }
    stand.pass(99);
    assert_eq!(stand.phase(), Phase::Draining);
    stand.pass(1);
    assert_eq!(stand.phase(), Phase::Stopping, "the time to drain is up");
    stand.pass(799);
    assert!(!stand.process.as_ref().unwrap().ends);
    stand.pass(1);
    assert!(stand.process.as_ref().unwrap().ends, "killed");
    stand.step();
    assert_eq!((stand.phase(), stand.instance.reason()), (Phase::Stopped, "did not end within 800 ms"));
}

/// A hung process has nothing to finish: its restart does not wait for the time to drain.
#[test]
fn one_that_hangs_while_it_drains_is_not_waited_for() {
    let mut stand = Stand::new(Wanted::Running);
    stand.settle();
    stand.process.as_mut().unwrap().hung = true;
    stand.give(Event::Restarts);
    stand.pass(300);
    assert_eq!((stand.phase(), stand.instance.reason()), (Phase::Stopping, "said nothing while it drained"));
    stand.pass(800);
    stand.step();
    stand.settle();
    assert_eq!((stand.phase(), stand.starts.len()), (Phase::Ready, 2));
}

#[test]
fn one_that_falls_silent_is_unresponsive_and_comes_back_or_is_replaced() {
    let mut stand = Stand::new(Wanted::Running);
    stand.pass(0);
    stand.step();
    stand.process.as_mut().unwrap().hung = true;
    stand.pass(299);
    assert_eq!(stand.phase(), Phase::Ready);
    stand.pass(1);
    assert_eq!((stand.phase(), stand.instance.reason()), (Phase::Unresponsive, "said nothing for 300 ms"));
    stand.process.as_mut().unwrap().hung = false;
    stand.step();
    assert_eq!(stand.phase(), Phase::Ready);
    stand.process.as_mut().unwrap().hung = true;
    stand.pass(300);
    stand.pass(600);
    assert!(stand.process.as_ref().unwrap().ends, "killed after twice as long again");
    stand.settle();
    assert_eq!((stand.phase(), stand.starts.len()), (Phase::Ready, 2));
}

#[test]
fn a_drain_is_no_end_and_can_be_taken_back() {
    let mut stand = Stand::new(Wanted::Running);
    stand.settle();
    stand.give(Event::Wants(Wanted::Drained));
    stand.settle();
    assert!(stand.instance.is_drained() && stand.process.as_ref().unwrap().draining);
    stand.give(Event::Wants(Wanted::Running));
    stand.settle();
    assert_eq!((stand.phase(), stand.starts.len()), (Phase::Ready, 1));
    assert!(!stand.process.as_ref().unwrap().draining);
}

/// A clock that steps back must neither end anything early nor hang it up.
#[test]
fn a_clock_that_steps_back_counts_as_standing_still() {
    let mut stand = Stand::new(Wanted::Running);
    stand.now = 50_000 * MS;
    stand.pass(0);
    stand.now = 10 * MS;
    stand.pass(0);
    assert_eq!(stand.phase(), Phase::Starting);
    stand.now = 51_000 * MS;
    stand.pass(0);
    assert!(stand.process.as_ref().unwrap().ends, "its time to get ready is up");
}

#[derive(Clone, Debug)]
enum Does {
    Wants(Wanted),
    Restarts,
    Steps,
    Hangs(bool),
    Crashes,
    StartFails,
    Passes(u64),
    AgentDies,
}

fn anything() -> impl Strategy<Value = Does> {
    prop_oneof![
        2 => prop_oneof![Just(Wanted::Running), Just(Wanted::Drained), Just(Wanted::Stopped)].prop_map(Does::Wants),
        1 => Just(Does::Restarts),
        6 => Just(Does::Steps),
        2 => any::<bool>().prop_map(Does::Hangs),
        1 => Just(Does::Crashes),
        1 => Just(Does::StartFails),
        5 => (0u64..3000).prop_map(Does::Passes),
        1 => Just(Does::AgentDies),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]
    /// Whatever happens, there is never a second process, something is always due, and once all goes well it comes to what
    /// was wanted, or stands as a crash loop until it is asked for again.
    #[test]
    fn it_comes_to_what_was_wanted(story in proptest::collection::vec(anything(), 0..60)) {
        let mut stand = Stand::new(Wanted::Running);
        for does in story {
            match does {
                Does::Wants(wanted) => stand.give(Event::Wants(wanted)),
                Does::Restarts => stand.give(Event::Restarts),
                Does::Steps => stand.step(),
                Does::Hangs(hung) => if let Some(process) = &mut stand.process { process.hung = hung },
                Does::Crashes => if stand.process.take().is_some() {
                    stand.give(Event::Ended("it crashed".into()));
                },
                Does::StartFails => if stand.process.as_ref().is_some_and(|process| !process.ready) {
                    stand.process = None;
                    stand.give(Event::NotStarted("no memory".into()));
                },
                Does::Passes(ms) => stand.pass(ms),
                Does::AgentDies => {
                    // What was wanted is on disk; what runs is found.
                    let wanted = stand.instance.wanted();
                    stand.instance = Instance::new(PATIENCE, wanted, 7, stand.now);
                    if let Some(Process { ready, draining, .. }) = stand.process.clone() {
                        stand.give(Event::Adopted { ready, draining });
                    }
                }
            }
        }
        stand.settle();
        let process = stand.process.clone();
        match (stand.phase(), stand.instance.wanted()) {
            (Phase::Ready, Wanted::Running) => prop_assert!(!process.unwrap().draining, "{:#?}", stand.log),
            (Phase::Draining, Wanted::Drained) => {
                prop_assert!(stand.instance.is_drained() && process.unwrap().draining, "{:#?}", stand.log);
            }
            (Phase::Stopped, Wanted::Stopped) => prop_assert!(process.is_none()),
            (Phase::Crashed, wanted) => {
                prop_assert!(wanted != Wanted::Stopped && process.is_none());
                stand.give(Event::Restarts);
                stand.settle();
                prop_assert!(matches!(stand.phase(), Phase::Ready | Phase::Draining), "{:#?}", stand.log);
            }
            other => prop_assert!(false, "{other:?}: {:#?}", stand.log),
        }
    }
}
