//! Looks for worlds on which the module does worst against the reference policies, and shrinks what it finds.
//!
//! A random climb: a few of the worst worlds so far are kept, and each round changes them in one to three places and
//! plays the new ones. A broken rule counts for more than any score. Rounds are of one size whatever the number of
//! threads, so the same seed finds the same world.

use std::sync::atomic::{AtomicUsize, Ordering};

use ivyhatch_lab::{Fault, FaultKind, Policy, PolicyConfig, World, simulate, simulate_with};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Worlds tried in a round, and kept after one.
const ROUND: usize = 16;
const KEPT: usize = 6;
/// Each world is played with so many seeds: luck with one is no finding.
const SEEDS: u64 = 3;
/// A shrunk world must show this part of what was found.
const SHOWS: f64 = 0.8;
/// No world that is tried asks for more requests, so that a hunt goes through many.
const MOST_REQUESTS: f64 = 8_000.0;

/// What to look for, and for how long.
#[derive(Clone, Debug)]
pub struct Hunt {
    /// Where it starts.
    pub from: World,
    /// Whom the module is compared with: the best of them on each world.
    pub against: Vec<Policy>,
    /// Rounds; each tries 16 worlds with three seeds.
    pub rounds: u32,
    /// Drives the search.
    pub seed: u64,
    /// Threads that play.
    pub threads: usize,
    /// A gap under this is not worth a file.
    pub least: f64,
}

/// A world on which the module does badly.
#[derive(Clone, Debug)]
pub struct Found {
    /// The world, shrunk.
    pub world: World,
    /// Share served by the module, on the mean.
    pub module: f64,
    /// The best of the others, and its share.
    pub best: (Policy, f64),
    /// Rules that the module broke.
    pub rules_broken: usize,
    /// Worlds that were played.
    pub played: usize,
}

#[derive(Clone, Copy)]
struct Score {
    module: f64,
    best: (Policy, f64),
    rules_broken: usize,
}

impl Score {
    /// What is looked for: more is worse for the module.
    fn gap(&self) -> f64 {
        self.best.1 - self.module + self.rules_broken.min(1) as f64
    }
}

fn score(world: &World, against: &[Policy]) -> Score {
    let mean = |policy: Policy| {
        let served = |seed| simulate_with(world, &PolicyConfig::new(policy), seed, &mut |_| {}).served;
        (1..=SEEDS).map(served).sum::<f64>() / SEEDS as f64
    };
    let own: Vec<_> = (1..=SEEDS).map(|seed| simulate(world, seed, &mut |_| {})).collect();
    let module = own.iter().map(|report| report.served).sum::<f64>() / SEEDS as f64;
    let best = against.iter().map(|policy| (*policy, mean(*policy))).max_by(|a, b| a.1.total_cmp(&b.1));
    let rules_broken = own.iter().map(|report| report.rules_broken).sum();
    Score { module, best: best.unwrap_or((Policy::Balancer, module)), rules_broken }
}

/// Scores worlds in parallel, in their order.
fn scores(worlds: &[World], hunt: &Hunt) -> Vec<Score> {
    let next = AtomicUsize::new(0);
    let mut all: Vec<(usize, Score)> = std::thread::scope(|scope| {
        let one = || {
            let mut mine = Vec::new();
            while let Some((number, world)) = {
                let number = next.fetch_add(1, Ordering::Relaxed);
                worlds.get(number).map(|world| (number, world))
            } {
                mine.push((number, score(world, &hunt.against)));
            }
            mine
        };
        let threads: Vec<_> =
            (0..hunt.threads.clamp(1, worlds.len().max(1))).map(|_| scope.spawn(one)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a play does not panic")).collect()
    });
    all.sort_by_key(|(number, _)| *number);
    all.into_iter().map(|(_, score)| score).collect()
}

fn rounded(value: f64) -> f64 {
    let scale = 10f64.powi(2 - value.abs().max(1e-9).log10().floor() as i32);
    (value * scale).round() / scale
}

/// A number scaled by up to twice or down to half, to three digits.
fn scaled(random: &mut ChaCha8Rng, value: f64, least: f64, most: f64) -> f64 {
    rounded((value * 2f64.powf(random.random_range(-1.0..1.0))).clamp(least, most))
}

fn random_fault(random: &mut ChaCha8Rng, world: &World) -> Fault {
    let kind = FaultKind::ALL[random.random_range(0..FaultKind::ALL.len())];
    let from = rounded(world.seconds * random.random_range(0.0..0.7));
    let to = rounded(from + world.seconds * random.random_range(0.05..0.5));
    let servers: u32 = world.servers.iter().map(|group| group.count).sum();
    let mut some =
        |of: u32| -> Vec<u32> { (0..of).filter(|_| random.random_range(0.0..1.0) < 0.3).collect() };
    let (servers, nodes) = (some(servers), some(world.nodes));
    Fault {
        servers,
        nodes,
        zone: random.random_range(0..world.zones),
        fraction: rounded(random.random_range(0.05..if kind == FaultKind::PacketLoss { 0.4 } else { 0.9 })),
        rate_multiplier: rounded(random.random_range(0.3..4.0)),
        added_latency_ms: rounded(random.random_range(2.0..150.0)),
        ..Fault::new(kind, from, to)
    }
}

fn changed(random: &mut ChaCha8Rng, world: &World) -> World {
    let mut world = world.clone();
    for _ in 0..random.random_range(1..=3) {
        let class = random.random_range(0..world.clients.classes.len());
        let group = random.random_range(0..world.servers.len().max(1));
        match random.random_range(0..16) {
            0..=3 => {
                let more = random_fault(random, &world);
                world.faults.push(more);
            }
            4 if !world.faults.is_empty() => {
                let number = random.random_range(0..world.faults.len());
                world.faults.remove(number);
            }
            5 | 6 => world.clients.rate = scaled(random, world.clients.rate, 1.0, 5000.0),
            7 => world.nodes = random.random_range(1..=12),
            8 => world.discovery.lag_ms = random.random_range(0..4000),
            9 => world.cross_ms = scaled(random, world.cross_ms.max(0.5), 0.1, 100.0),
            10 => {
                world.clients.classes[class].work_ms =
                    scaled(random, world.clients.classes[class].work_ms, 1.0, 1000.0)
            }
            11 => {
                let class = &mut world.clients.classes[class];
                class.downstream_ms = scaled(random, class.downstream_ms.max(1.0), 0.0, 2000.0);
            }
            12 if !world.servers.is_empty() => {
                let group = &mut world.servers[group];
                group.speed = scaled(random, group.speed, 0.1, 10.0);
            }
            13 => world.reports_on_answers = !world.reports_on_answers,
            14 => world.clients.retries = random.random_range(0..4),
            _ => world.jitter_ms = rounded(random.random_range(0.0..20.0)),
        }
    }
    let mut times = 1.0;
    for fault in &mut world.faults {
        fault.nodes.retain(|node| *node < world.nodes);
        fault.zone %= world.zones;
        if fault.kind == FaultKind::Burst {
            times *= fault.rate_multiplier.max(1.0);
        }
    }
    let most = MOST_REQUESTS / (world.seconds * times);
    world.clients.rate = rounded(world.clients.rate.min(most)).max(0.1);
    world
}

/// Smaller worlds than this one, each in one step.
fn smaller(world: &World) -> Vec<World> {
    let mut all = Vec::new();
    let mut with = |change: &dyn Fn(&mut World)| {
        let mut smaller = world.clone();
        change(&mut smaller);
        if smaller.check().is_ok() {
            all.push(smaller);
        }
    };
    for number in 0..world.faults.len() {
        with(&|world| drop(world.faults.remove(number)));
    }
    for number in 0..world.clients.classes.len() {
        with(&|world| drop(world.clients.classes.remove(number)));
    }
    for number in 0..world.servers.len() {
        // Troubles name servers by number, so only the last group can go without a change of meaning.
        if number + 1 == world.servers.len() && number > 0 {
            with(&|world| {
                world.servers.pop();
                let left: u32 = world.servers.iter().map(|group| group.count).sum();
                world.faults.iter_mut().for_each(|fault| fault.servers.retain(|server| *server < left));
            });
        }
        with(&|world| {
            let group = &mut world.servers[number];
            (group.speed, group.error_ratio, group.connections) = (1.0, 0.0, 0);
        });
    }
    with(&|world| world.jitter_ms = 0.0);
    with(&|world| world.loss = 0.0);
    with(&|world| world.clients.retries = 0);
    with(&|world| world.clients.disconnect_ratio = 0.0);
    with(&|world| world.reports_on_answers = false);
    with(&|world| {
        world.discovery =
            ivyhatch_lab::DiscoverySettings { lag_ms: 0, jitter_ms: 0, full_list_interval_s: 0.0 }
    });
    with(&|world| world.nodes = world.nodes.div_ceil(2));
    with(&|world| world.seconds = rounded(world.seconds * 0.7));
    for number in 0..world.faults.len() {
        with(&|world| {
            let servers = &mut world.faults[number].servers;
            servers.truncate(servers.len().div_ceil(2));
        });
        with(&|world| {
            let fault = &mut world.faults[number];
            (fault.start_s, fault.end_s) =
                (fault.start_s.round(), fault.end_s.round().max(fault.start_s.round() + 1.0));
        });
    }
    let same = |smaller: &World| format!("{smaller:?}") == format!("{world:?}");
    all.retain(|smaller| !same(smaller));
    all
}

/// Hunts. `progress` is told of rounds done, out of how many, and the largest gap so far; shrinking follows.
///
/// Gives none where no gap reaches [`Hunt::least`].
pub fn hunt(hunt: &Hunt, progress: &mut dyn FnMut(u32, u32, f64)) -> Option<Found> {
    let mut random = ChaCha8Rng::seed_from_u64(hunt.seed);
    let mut kept: Vec<(f64, Score, World)> = Vec::new();
    let mut played = 0;
    for round in 0..hunt.rounds {
        let worlds: Vec<World> = (0..ROUND)
            .map(|number| match kept.get(number % KEPT) {
                Some((_, _, world)) if number < 3 * ROUND / 4 => changed(&mut random, world),
                _ => changed(&mut random, &hunt.from),
            })
            .filter(|world| world.check().is_ok())
            .collect();
        let scores = scores(&worlds, hunt);
        played += worlds.len();
        kept.extend(scores.into_iter().zip(worlds).map(|(score, world)| (score.gap(), score, world)));
        // Stable: of worlds alike in what they show, the older stays.
        kept.sort_by(|a, b| b.0.total_cmp(&a.0));
        kept.truncate(KEPT);
        progress(round + 1, hunt.rounds, kept.first().map_or(0.0, |best| best.0));
    }
    let (gap, mut score, mut world) = kept.into_iter().next()?;
    if gap < hunt.least {
        return None;
    }
    let shows = SHOWS * gap;
    loop {
        let steps = smaller(&world);
        let scores = scores(&steps, hunt);
        played += steps.len();
        let Some(at) = scores.iter().position(|score| score.gap() >= shows) else { break };
        (score, world) = (scores[at], steps[at].clone());
    }
    world.name = format!("found with seed {}", hunt.seed);
    Some(Found { world, module: score.module, best: score.best, rules_broken: score.rules_broken, played })
}
