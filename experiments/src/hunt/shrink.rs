//! Reductions of a world: single steps that make it smaller or simpler.

use ivyhatch_lab::{DiscoverySettings, World};

use super::mutate::rounded;

/// Collects the valid worlds that differ from `world` by a single reduction.
struct Reductions<'a> {
    world: &'a World,
    reduced: Vec<World>,
}

impl Reductions<'_> {
    /// Adds the world with one reduction applied, if the result is valid and differs from the original.
    fn add(&mut self, reduce: impl FnOnce(&mut World)) {
        let mut reduced = self.world.clone();
        reduce(&mut reduced);
        if reduced.check().is_ok() && format!("{reduced:?}") != format!("{:?}", self.world) {
            self.reduced.push(reduced);
        }
    }
}

/// All valid worlds that are smaller or simpler by one reduction.
pub(super) fn smaller_worlds(world: &World) -> Vec<World> {
    let mut reductions = Reductions { world, reduced: Vec::new() };
    remove_parts(&mut reductions);
    simplify_servers(&mut reductions);
    simplify_settings(&mut reductions);
    simplify_faults(&mut reductions);
    reductions.reduced
}

fn remove_parts(reductions: &mut Reductions) {
    for number in 0..reductions.world.faults.len() {
        reductions.add(|world| drop(world.faults.remove(number)));
    }
    for number in 0..reductions.world.clients.classes.len() {
        reductions.add(|world| drop(world.clients.classes.remove(number)));
    }
}

fn simplify_servers(reductions: &mut Reductions) {
    let groups = reductions.world.servers.len();
    for number in 0..groups {
        // Faults target servers by number, so that only the last group can be removed without renumbering the targets.
        if number + 1 == groups && number > 0 {
            reductions.add(remove_last_group);
        }
        reductions.add(|world| {
            let group = &mut world.servers[number];
            group.speed = 1.0;
            group.error_ratio = 0.0;
            group.connections = 0;
        });
    }
}

fn remove_last_group(world: &mut World) {
    world.servers.pop();
    let remaining: u32 = world.servers.iter().map(|group| group.count).sum();
    world.faults.iter_mut().for_each(|fault| fault.servers.retain(|server| *server < remaining));
}

fn simplify_settings(reductions: &mut Reductions) {
    reductions.add(|world| world.jitter_ms = 0.0);
    reductions.add(|world| world.loss = 0.0);
    reductions.add(|world| world.clients.retries = 0);
    reductions.add(|world| world.clients.disconnect_ratio = 0.0);
    reductions.add(|world| world.reports_on_answers = false);
    reductions.add(|world| {
        world.discovery = DiscoverySettings { lag_ms: 0, jitter_ms: 0, full_list_interval_s: 0.0 };
    });
    reductions.add(|world| world.nodes = world.nodes.div_ceil(2));
    reductions.add(|world| world.seconds = rounded(world.seconds * 0.7));
}

fn simplify_faults(reductions: &mut Reductions) {
    for number in 0..reductions.world.faults.len() {
        reductions.add(|world| {
            let servers = &mut world.faults[number].servers;
            servers.truncate(servers.len().div_ceil(2));
        });
        reductions.add(|world| {
            let fault = &mut world.faults[number];
            fault.start_s = fault.start_s.round();
            fault.end_s = fault.end_s.round().max(fault.start_s + 1.0);
        });
    }
}
