//! Experiments in the lab: worlds, seeds and variants go in; results, a summary with confidence intervals and an HTML report come
//! out. Beside them the hunt for worlds in which the balancer does worst.
//!
//! | module | its one job |
//! | --- | --- |
//! | `spec`, `world_spec` | the experiment as its TOML file words it, validated |
//! | `plan` | the runs of an experiment and their keys |
//! | `run` | runs what has no result yet, in parallel |
//! | `results` | results on disk |
//! | `measure`, `latencies` | the measures of a run |
//! | `summary`, `bootstrap` | means and differences with confidence intervals |
//! | `report` | the report: one HTML file with its plots inside |
//! | `hunt` | looks for worlds in which the balancer does worst, and shrinks them |

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

/// The built-in experiments: name and TOML text.
pub const BUILT_IN: [(&str, &str); 2] = [
    ("policies", include_str!("../../lab/experiments/policies.toml")),
    ("paper", include_str!("../../lab/experiments/paper.toml")),
];
