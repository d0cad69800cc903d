//! Random mutations of a world.

use ivyhatch_lab::{Fault, FaultKind, World};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Limit of the requests of a mutated world, so that a hunt can run many worlds.
const MAX_REQUESTS: f64 = 8_000.0;
/// The probability that a random fault targets a given server or node.
const TARGET_PROBABILITY: f64 = 0.3;

/// Rounds to three significant digits.
pub(super) fn rounded(value: f64) -> f64 {
    let scale = 10f64.powi(2 - value.abs().max(1e-9).log10().floor() as i32);
    (value * scale).round() / scale
}

/// Multiplies a value by a random factor between 0.5 and 2, and clamps the product to the bounds.
fn scaled(random: &mut ChaCha8Rng, value: f64, min: f64, max: f64) -> f64 {
    rounded((value * 2f64.powf(random.random_range(-1.0..1.0))).clamp(min, max))
}

/// A fault of a random kind, with a random period and random targets.
fn random_fault(random: &mut ChaCha8Rng, world: &World) -> Fault {
    let kind = FaultKind::ALL[random.random_range(0..FaultKind::ALL.len())];
    let from = rounded(world.seconds * random.random_range(0.0..0.7));
    let to = rounded(from + world.seconds * random.random_range(0.05..0.5));
    let servers: u32 = world.servers.iter().map(|group| group.count).sum();
    let mut random_targets = |count: u32| -> Vec<u32> {
        (0..count).filter(|_| random.random_range(0.0..1.0) < TARGET_PROBABILITY).collect()
    };
    let (servers, nodes) = (random_targets(servers), random_targets(world.nodes));
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

/// A copy of a world with one to three random mutations. Its fault targets and its load are valid; the rest is not checked.
pub(super) fn mutated(random: &mut ChaCha8Rng, world: &World) -> World {
    let mut world = world.clone();
    for _ in 0..random.random_range(1..=3) {
        mutate_once(random, &mut world);
    }
    restore_fault_targets(&mut world);
    limit_requests(&mut world);
    world
}

fn mutate_once(random: &mut ChaCha8Rng, world: &mut World) {
    let class = random.random_range(0..world.clients.classes.len());
    let group = random.random_range(0..world.servers.len().max(1));
    match random.random_range(0..16) {
        0..=3 => {
            let fault = random_fault(random, world);
            world.faults.push(fault);
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
            let class = &mut world.clients.classes[class];
            class.work_ms = scaled(random, class.work_ms, 1.0, 1000.0);
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

/// Makes the targets of faults valid again: drops nodes that no longer exist, and wraps zone numbers into the range.
fn restore_fault_targets(world: &mut World) {
    for fault in &mut world.faults {
        fault.nodes.retain(|node| *node < world.nodes);
        fault.zone %= world.zones;
    }
}

/// Caps the request rate so that the world has at most [`MAX_REQUESTS`] requests, bursts included.
fn limit_requests(world: &mut World) {
    let bursts = world.faults.iter().filter(|fault| fault.kind == FaultKind::Burst);
    let burst_factor = bursts.fold(1.0, |factor, burst| factor * burst.rate_multiplier.max(1.0));
    let max_rate = MAX_REQUESTS / (world.seconds * burst_factor);
    world.clients.rate = rounded(world.clients.rate.min(max_rate)).max(0.1);
}
