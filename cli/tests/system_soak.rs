//! Runs the system as processes under overlapping disruptions, with a few seeds in CI and with many by hand:
//!
//! `SOAK_SEEDS=1-50 SOAK_ROUTERS=40 cargo test --release -p ivyhatch --test system_soak -- --nocapture`

mod soak;
mod system_common;

use std::env;
use std::time::Duration;

use soak::{Report, Scale, run};

/// Range of seeds, as `FIRST-LAST` or one number.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
/// Number of routers.
const ROUTERS_VARIABLE: &str = "SOAK_ROUTERS";
/// Number of seconds for which disruptions go on.
const SECONDS_VARIABLE: &str = "SOAK_SECONDS";
const DEFAULT_SEEDS: &str = "1-2";
const DEFAULT_ROUTERS: usize = 10;
const DEFAULT_SECONDS: u64 = 16;

/// The value of an environment variable; the default if it is unset or invalid.
fn variable_or<T: std::str::FromStr>(variable: &str, default: T) -> T {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The seeds to run.
fn seeds() -> std::ops::RangeInclusive<u64> {
    let text = env::var(SEEDS_VARIABLE).unwrap_or_else(|_| DEFAULT_SEEDS.to_owned());
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let seed = |text: &str| text.parse().expect("SOAK_SEEDS is FIRST-LAST or one number");
    seed(first)..=seed(last)
}

#[test]
fn rules_hold_while_signals_restarts_replacements_and_changes_overlap() {
    let scale = Scale {
        routers: variable_or(ROUTERS_VARIABLE, DEFAULT_ROUTERS),
        clients_per_router: 3,
        disruption_time: Duration::from_secs(variable_or(SECONDS_VARIABLE, DEFAULT_SECONDS)),
        max_pause: Duration::from_millis(900),
    };
    let reports: Vec<Report> = seeds()
        .map(|seed| {
            let report = run(seed, scale);
            println!("{report}");
            report.violations.iter().for_each(|violation| println!("  {violation}"));
            report
        })
        .collect();
    let largest = reports.iter().map(|report| report.budget.share).fold(0.0, f64::max);
    println!("{} seeds, at most {largest:.2} of a retry budget used", reports.len());
    let failed: Vec<u64> =
        reports.iter().filter(|report| !report.violations.is_empty()).map(|report| report.seed).collect();
    assert!(failed.is_empty(), "violations in seeds {failed:?}");
}
