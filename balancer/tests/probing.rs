//! Load reports by probe: what they may cost, and what a figure that lies, is old or does not come may not
//! do.

mod common;
use common::*;
use ivyhatch_balancer::*;

fn pulled() -> Settings {
    let mut given = settings(Idempotency::Idempotent);
    given.limits.probes = true;
    given.reports = LoadReporting::Pull;
    given.probe_cost = 0.01;
    given
}

/// Three zones of two: zone `z` has backends `2z` and `2z + 1`.
fn zones() -> Vec<Member> {
    (0..6).map(|backend| member(backend, backend / 2)).collect()
}

fn zone(backend: BackendId) -> u32 {
    backend.0 / 2
}

fn probes(actions: &[Action]) -> Vec<BackendId> {
    let to = |action: &Action| match action {
        Action::Probe { backend } => Some(*backend),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

fn probed(backend: BackendId, outcome: Outcome, report: LoadReport) -> Event {
    Event::ProbeEnded { backend, outcome, elapsed: 5 * MS, report }
}

/// What a server says to a probe: a figure, nothing within 500 ms (none), or what it likes.
type Says<'a> = &'a dyn Fn(BackendId) -> Option<f64>;

/// A node, and the probes and requests that are out.
struct Loop {
    node: Node,
    out: Vec<(RequestId, BackendId, Nanos)>,
    asked: Vec<(BackendId, Nanos)>,
    /// Whom requests, and probes, were sent to.
    sends: Vec<BackendId>,
    probes: Vec<BackendId>,
}

impl Loop {
    fn new(given: Settings, members: Vec<Member>) -> Self {
        let node = Node::new(given, members);
        Self { node, out: Vec::new(), asked: Vec::new(), sends: Vec::new(), probes: Vec::new() }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, backend, .. } => {
                    self.sends.push(backend);
                    self.out.push((request, backend, self.node.now));
                }
                Action::Probe { backend } => {
                    assert!(!self.asked.iter().any(|(out, _)| *out == backend), "two probes out to one");
                    self.probes.push(backend);
                    self.asked.push((backend, self.node.now));
                }
                _ => {}
            }
        }
    }

    /// Asks once in `gap` for `span`. Requests are served after 40 ms, or end as `refuses` says.
    fn run(&mut self, span: Nanos, gap: Nanos, says: Says, refuses: &dyn Fn(BackendId) -> Option<Outcome>) {
        let (end, mut next) = (self.node.now + span, self.node.now);
        while self.node.now < end {
            let mut actions = self.node.pass(5 * MS);
            let now = self.node.now;
            if now >= next {
                next += gap;
                actions.extend(self.node.ask(SECOND).1);
            }
            self.carry_out(actions);
            for (backend, sent) in std::mem::take(&mut self.asked) {
                let event = match says(backend) {
                    Some(figure) => probed(backend, Outcome::Served, util(figure)),
                    None if now >= sent + 500 * MS => {
                        probed(backend, Outcome::TimedOut, LoadReport::default())
                    }
                    None => {
                        self.asked.push((backend, sent));
                        continue;
                    }
                };
                let actions = self.node.tell(event);
                self.carry_out(actions);
            }
            for (request, to, sent) in std::mem::take(&mut self.out) {
                let outcome = refuses(to);
                if outcome.is_none() && now < sent + 40 * MS {
                    self.out.push((request, to, sent));
                    continue;
                }
                let outcome = outcome.unwrap_or(Outcome::Served);
                let attempt = self.node.attempt(request);
                let elapsed = now - sent;
                let actions =
                    self.node.settle_after(request, attempt, outcome, elapsed, LoadReport::default());
                self.carry_out(actions);
            }
        }
    }

    fn share(&self, from: usize, counts: impl Fn(BackendId) -> bool) -> f64 {
        let sends = &self.sends[from..];
        sends.iter().filter(|to| counts(**to)).count() as f64 / sends.len().max(1) as f64
    }
}

const SERVES: &dyn Fn(BackendId) -> Option<Outcome> = &|_| None;

#[test]
fn probes_stay_within_their_price_whatever_the_number_of_servers() {
    for servers in [6, 60, 600] {
        let members = (0..servers).map(|b| member(b, b % 3)).collect();
        let mut run = Loop::new(pulled(), members);
        run.run(30 * SECOND, 20 * MS, &|_| Some(0.3), SERVES);
        // A fifth of a point in 100 at a price of one point for a probe a request, and what it began with.
        let most = 1500.0 * 0.2 + 16.0;
        assert!(run.probes.len() as f64 <= most, "{} probes of {servers} servers", run.probes.len());
        assert!(run.probes.len() > 50, "{} probes of {servers} servers", run.probes.len());
    }
}

#[test]
fn nobody_asks_no_probes() {
    let mut run = Loop::new(pulled(), zones());
    run.run(60 * SECOND, 60 * SECOND, &|_| Some(0.3), SERVES);
    assert!(run.probes.len() <= 17, "{} probes for one request", run.probes.len());
}

#[test]
fn no_probe_where_the_settings_forbid_them_or_nothing_reports() {
    let mut forbidden = pulled();
    forbidden.limits.probes = false;
    let mut silent = pulled();
    silent.reports = LoadReporting::Disabled;
    for given in [forbidden, silent] {
        let mut run = Loop::new(given, zones());
        run.run(10 * SECOND, 20 * MS, &|_| Some(0.3), SERVES);
        assert!(run.probes.is_empty());
    }
}

#[test]
fn a_home_zone_is_left_and_taken_again_by_its_figures() {
    let mut run = Loop::new(pulled(), zones());
    run.run(3 * SECOND, 50 * MS, &|to| Some([0.97, 0.6, 0.1][zone(to) as usize]), SERVES);
    let late = run.sends.len();
    run.run(5 * SECOND, 50 * MS, &|to| Some([0.97, 0.6, 0.1][zone(to) as usize]), SERVES);
    assert!(run.share(late, |to| zone(to) == 2) > 0.9, "not all to the zone with headroom");
    run.run(3 * SECOND, 50 * MS, &|_| Some(0.2), SERVES);
    let late = run.sends.len();
    run.run(5 * SECOND, 50 * MS, &|_| Some(0.2), SERVES);
    assert!(run.share(late, |to| zone(to) == 0) > 0.9, "home was not taken again");
}

/// A process that runs and refuses every match reports no load at all: its zone must not look free by that.
#[test]
fn a_server_that_reports_room_and_refuses_all_gets_next_to_nothing() {
    let says = |to: BackendId| Some(if to.0 == 0 { 0.0 } else { [0.97, 0.2, 0.2][zone(to) as usize] });
    for outcome in [Outcome::Rejected, Outcome::Error, Outcome::ConnectFailed] {
        let mut run = Loop::new(pulled(), zones());
        let refuses = |to: BackendId| (to.0 == 0).then_some(outcome);
        run.run(5 * SECOND, 50 * MS, &says, &refuses);
        let late = run.sends.len();
        run.run(10 * SECOND, 50 * MS, &says, &refuses);
        let share = run.share(late, |to| to.0 == 0);
        assert!(share < 0.1, "{outcome:?}: {share} of the sends");
    }
}

#[test]
fn a_server_that_reports_no_room_and_serves_fast_goes_on_serving() {
    let members: Vec<Member> = (0..6).map(|b| member(b, b / 3)).collect();
    let mut run = Loop::new(Settings { zones: 2, ..pulled() }, members);
    run.run(10 * SECOND, 50 * MS, &|to| Some(if to.0 == 0 { 1.0 } else { 0.3 }), SERVES);
    assert!(run.share(0, |to| to.0 < 3) > 0.95, "home was left for one figure");
    assert!(run.share(0, |to| to.0 == 0) > 0.1, "it was left out");
}

/// The answer tells of a process that is no more.
#[test]
fn what_an_earlier_life_of_a_server_reports_is_passed_over() {
    let mut given = pulled();
    given.rules.warm_up_time = MS;
    let mut node = Node::new(given, zones());
    // The first probes of home are out when both of its servers start anew.
    let mut out = Vec::new();
    while out.iter().filter(|to| zone(**to) == 0).count() < 2 {
        out.extend(probes(&node.pass(10 * MS)));
    }
    let anew = |backend| Member { online_since: Some(SECOND / 2), ..member(backend, 0) };
    node.list(ListScope::Changes, vec![anew(0), anew(1)]);
    // Whatever becomes of these, nothing else is told.
    for to in out {
        node.tell(probed(to, Outcome::Served, util(if zone(to) == 0 { 0.99 } else { 0.1 })));
    }
    node.pass(200 * MS);
    assert_eq!(sent(&node.ask(SECOND).1).map(zone), Some(0), "home is not full");
}

#[test]
fn a_figure_is_of_no_use_once_it_is_old() {
    let mut run = Loop::new(pulled(), zones());
    run.run(3 * SECOND, 50 * MS, &|to| Some(if zone(to) == 0 { 0.97 } else { 0.1 }), SERVES);
    assert_ne!(run.sends.last().map(|to| zone(*to)), Some(0));
    // The trouble is over, and no probe comes back that would tell; nor are these taken for a sign of one.
    run.node.now += 5 * SECOND;
    assert_eq!(sent(&run.node.ask(SECOND).1).map(zone), Some(0));
}

/// Its last figures were low: by these, or by none at all, it would be the best place to go.
#[test]
fn a_zone_that_is_cut_does_not_look_free_and_takes_little_of_the_budget() {
    let mut run = Loop::new(pulled(), zones());
    run.run(3 * SECOND, 50 * MS, &|to| Some([0.97, 0.05, 0.5][zone(to) as usize]), SERVES);
    assert_eq!(run.sends.last().map(|to| zone(*to)), Some(1));
    let cut = |to: BackendId| (zone(to) != 1).then_some([0.97, 0.0, 0.5][zone(to) as usize]);
    run.run(3 * SECOND, 50 * MS, &cut, SERVES);
    let (late, asked) = (run.sends.len(), run.probes.len());
    run.run(20 * SECOND, 50 * MS, &cut, SERVES);
    assert_eq!(run.share(late, |to| zone(to) == 1), 0.0, "sent into the cut");
    assert!(run.share(late, |to| zone(to) == 2) > 0.9, "and not to where there is room");
    let into = run.probes[asked..].iter().filter(|to| zone(**to) == 1).count();
    let all = run.probes.len() - asked;
    assert!(into * 4 < all && into > 0, "{into} of {all} probes went into the cut");
}

#[test]
fn probing_goes_on_while_discovery_is_down() {
    let mut run = Loop::new(Settings { discovery: Discovery::OnRequest, ..pulled() }, zones());
    run.run(2 * SECOND, 50 * MS, &|_| Some(0.3), SERVES);
    run.node.tell(Event::DiscoveryFailed);
    let asked = run.probes.len();
    run.run(10 * SECOND, 50 * MS, &|_| Some(0.3), SERVES);
    assert!(run.probes.len() > asked + 10);
    let known: std::collections::BTreeSet<_> = run.probes[asked..].iter().collect();
    assert_eq!(known.len(), 6, "all that is known is probed");
}

/// Three nodes, each at home in a zone of its own, all zones just at the threshold: what one spills comes
/// back as what the others spill, for the price of two crossings.
#[test]
fn zones_at_the_threshold_do_not_swap_their_load() {
    const GAPS: [Nanos; 4] = [MS, 4 * MS, 2 * MS, 3 * MS];
    let mut loops: Vec<Loop> = (0..3)
        .map(|home| {
            let given = Settings { home: ZoneId(home), nodes: 3, ..pulled() };
            let mut run = Loop::new(given.clone(), vec![]);
            run.node = Node::seeded(u64::from(home), given, (0..18).map(|b| member(b, b / 6)).collect());
            run
        })
        .collect();
    let mut next = [SECOND; 3];
    let (mut turn, mut crossed, mut all) = (0, 0, 0);
    for _ in 0..4000 {
        let held: Vec<usize> =
            (0..18).map(|b| loops.iter().flat_map(|l| &l.out).filter(|out| out.1.0 == b).count()).collect();
        for home in 0..3 {
            let run = &mut loops[home];
            let before = run.sends.len();
            let mut actions = run.node.pass(5 * MS);
            let now = run.node.now;
            while now >= next[home] {
                turn += 1;
                next[home] += GAPS[turn % 4];
                actions.extend(run.node.ask(SECOND).1);
            }
            run.carry_out(actions);
            for (backend, _) in std::mem::take(&mut run.asked) {
                let busy = (held[backend.0 as usize] as f64 / 3.0).min(1.0);
                let actions = run.node.tell(probed(backend, Outcome::Served, util(busy)));
                run.carry_out(actions);
            }
            for (request, to, sent) in std::mem::take(&mut run.out) {
                if now < sent + 40 * MS {
                    run.out.push((request, to, sent));
                    continue;
                }
                let actions =
                    run.node.settle_after(request, 0, Outcome::Served, now - sent, LoadReport::default());
                run.carry_out(actions);
            }
            let new = &run.sends[before..];
            all += new.len();
            crossed += new.iter().filter(|to| to.0 as usize / 6 != home).count();
        }
    }
    let share = crossed as f64 / all as f64;
    assert!(all > 9000 && share < 0.2, "{share:.3} of {all} crossed");
}

/// One figure of many says too little of its zone to leave it, or to go there.
#[test]
fn few_figures_do_not_stand_for_a_zone() {
    let members: Vec<Member> = (0..20).map(|b| member(b, b / 10)).collect();
    let mut run = Loop::new(Settings { zones: 2, ..pulled() }, members);
    // Home's others answer without a figure.
    let says = |to: BackendId| Some(if matches!(to.0, 1..10) { f64::NAN } else { 0.99 });
    run.run(5 * SECOND, 10 * MS, &says, SERVES);
    assert!(run.share(0, |to| to.0 < 10) > 0.95, "home was left for one figure of ten");
    let says = |to: BackendId| {
        Some(if matches!(to.0, 3..10) { f64::NAN } else { 0.99 * f64::from(u8::from(to.0 < 10)) })
    };
    run.run(3 * SECOND, 10 * MS, &says, SERVES);
    let late = run.sends.len();
    run.run(3 * SECOND, 10 * MS, &says, SERVES);
    assert!(run.share(late, |to| to.0 >= 10) > 0.9, "three figures are enough");
}
