//! Prints what runs in the lab have in common.

use ivyhatch_lab::Report;

/// Prints each broken rule with the events that led to it to standard error.
pub fn print_violations(report: &Report, seed: u64) {
    for violation in &report.broken {
        eprintln!("rule broken in {} with seed {seed}: {:?}", report.world, violation.rule);
        for event in &violation.events {
            eprintln!("    {event}");
        }
    }
}
