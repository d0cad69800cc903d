//! Experiments in the lab: runs each variant in each world with each seed, stores the results, and derives a summary with confidence
//! intervals and an HTML report. Also contains a search (`hunt`) for the worlds in which the balancer performs worst.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `spec`, `world_spec` | the experiment as parsed from its TOML file, and its validation |
//! | `plan` | the runs of an experiment, and the keys of their results |
//! | `run` | executes the runs that have no result yet, in parallel |
//! | `results` | storage of results in a file |
//! | `measure`, `latencies` | the measures of a run, computed from its report |
//! | `summary`, `bootstrap` | means and differences with confidence intervals |
//! | `report` | the report: one HTML file with embedded plots |
//! | `hunt` | searches for worlds in which the balancer performs worst, and shrinks them |

mod bootstrap;
mod fingerprint;
mod hunt;
mod latencies;
mod measure;
mod plan;
mod report;
mod results;
mod run;
mod spec;
mod summary;
#[cfg(test)]
mod summary_tests;
mod world_spec;

pub use bootstrap::Interval;
pub use fingerprint::fingerprint;
pub use hunt::{Finding, HuntConfig, ReferenceShare, hunt};
pub use measure::Measure;
pub use plan::{Plan, Run};
pub use report::render_report;
pub use results::{ResultLine, Results, ResultsError};
pub use run::{Failure, Progress, RunError, run_missing};
pub use spec::{Experiment, SpecError, Variant, WorldSpec};
pub use summary::{Cell, Summary, Verdict, summarise};

/// The built-in experiments: the name and the TOML text of each.
pub const BUILT_IN: [(&str, &str); 2] = [
    ("policies", include_str!("../../lab/experiments/policies.toml")),
    ("paper", include_str!("../../lab/experiments/paper.toml")),
];
