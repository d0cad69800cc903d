//! Prints what runs in the lab have in common.

use ivyhatch_lab::Report;

/// Prints each broken rule with the events that led to it to standard error.
pub fn print_broken_rules(report: &Report, seed: u64) {
    for broken in &report.broken {
        eprintln!("rule broken in {} with seed {seed}: {:?}", report.world, broken.rule);
        for event in &broken.events {
            eprintln!("    {event}");
        }
    }
}
