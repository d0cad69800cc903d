//! Output that all commands with runs of worlds have in common.

use ivyhatch_lab::Report;

/// Prints each recorded violation of an invariant, with its trace of events, to standard error.
pub fn print_violations(report: &Report, seed: u64) {
    for violation in &report.broken {
        eprintln!("rule broken in {} with seed {seed}: {:?}", report.world, violation.rule);
        for event in &violation.events {
            eprintln!("    {event}");
        }
    }
}
